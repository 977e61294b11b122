//! Messages between daemons and the connections that carry them.
//!
//! Calls use Cap'n Proto RPC over TCP. One connection carries many calls concurrently, and
//! they may complete in any order. Dropping the future of a call cancels the call at the
//! peer. Gossip uses UDP datagrams. The schema is `schema/bronzeport.capnp`; the code that
//! is generated from it is part of the repository.
//!
//! ```
//! use member::Kind;
//! use wire::{Gossip, decode_gossip, encode_gossip};
//!
//! let ping = Gossip { kind: Kind::Ping, sequence: 7, ..Gossip::default() };
//! let datagram = encode_gossip(&ping);
//! assert_eq!(decode_gossip(&datagram).unwrap().sequence, 7);
//! assert!(decode_gossip(b"garbage").is_err());
//! ```

mod client;
mod convert;
mod datagram;
mod handshake;
mod message;
mod serve;
mod uplink;

#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
mod bronzeport_capnp;

pub use client::{PeerClient, connect};
pub use datagram::{MAX_DATAGRAM_BYTES, decode_gossip, encode_gossip};
pub use handshake::{HandshakeError, VERSION};
pub use message::{
    Answer, Changes, Evacuation, Gossip, Header, Outcome, QuotaGrant, QuotaRequest, QuotaWant,
    Reason, Request, RpcReply, RpcRequest, list_size,
};
pub use serve::{RpcHandler, serve};
pub use uplink::{PART_BYTES, PacedMessage, SendDecision, Uplink};

/// Error of a call between daemons, or of decoding a message.
pub type Error = capnp::Error;

/// Largest body of a request or an answer, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Largest message that is accepted, in words of 8 bytes.
pub(crate) const MAX_MESSAGE_WORDS: usize = 512 * 1024;

pub(crate) fn reader_options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options.nesting_limit(32);
    options
}
