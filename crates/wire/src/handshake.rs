//! Handshake of a connection between daemons: each side sends a magic number and the
//! version of its protocol.

use std::fmt;
use std::io;

use futures::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of the protocol between daemons.
pub const VERSION: u8 = 1;

const MAGIC: [u8; 7] = *b"bronzep";

/// Why the handshake of a connection failed.
#[derive(Debug)]
pub enum HandshakeError {
    /// The connection failed.
    Io(io::Error),
    /// The peer's handshake did not arrive within the time limit.
    TimedOut,
    /// The peer sent another magic number, so it uses another protocol.
    UnknownProtocol,
    /// The peer uses this version of the protocol instead of [`VERSION`].
    VersionMismatch(u8),
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "connection failed: {error}"),
            Self::TimedOut => write!(f, "the peer's handshake did not arrive in time"),
            Self::UnknownProtocol => {
                write!(f, "the peer does not use the protocol between daemons")
            }
            Self::VersionMismatch(received) => {
                write!(f, "the peer uses protocol version {received}, this daemon {VERSION}")
            }
        }
    }
}

impl std::error::Error for HandshakeError {}

impl From<io::Error> for HandshakeError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Sends this daemon's handshake and checks the peer's.
pub(crate) async fn exchange(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
) -> Result<(), HandshakeError> {
    let mut sent = [VERSION; 8];
    sent[..7].copy_from_slice(&MAGIC);
    stream.write_all(&sent).await?;
    stream.flush().await?;
    let mut received = [0; 8];
    stream.read_exact(&mut received).await?;
    match received {
        [magic @ .., VERSION] if magic == MAGIC => Ok(()),
        [magic @ .., version] if magic == MAGIC => Err(HandshakeError::VersionMismatch(version)),
        _ => Err(HandshakeError::UnknownProtocol),
    }
}
