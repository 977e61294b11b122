//! Options of TCP sockets.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Unanswered probes after which an idle connection counts as broken.
const PROBES: u32 = 2;
/// Shortest time between two probes that the system takes.
const MIN_PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Has a connection fail when the other side has been silent for `limit`: data
/// that is not acknowledged, or probes of an idle connection without an answer.
pub fn detect_silence(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let pause = (limit / (PROBES + 1)).max(MIN_PROBE_PAUSE);
    let probes = TcpKeepalive::new().with_time(pause).with_interval(pause).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(limit))
}
