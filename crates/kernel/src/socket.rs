//! Options of TCP sockets.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Number of unanswered keep-alive probes after which an idle connection fails.
const KEEPALIVE_PROBES: u32 = 2;
/// Shortest interval between keep-alive probes that the operating system accepts.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes a connection fail when its peer has not responded for `limit`, either
/// because sent data is not acknowledged or because keep-alive probes on an idle
/// connection are not answered.
pub fn set_dead_peer_timeout(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let interval = (limit / (KEEPALIVE_PROBES + 1)).max(MIN_PROBE_INTERVAL);
    let probes = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(limit))
}
