//! A server on a free port and plain exchanges with it.

#![allow(dead_code, reason = "each test program uses a part of it")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use kernel::Kernel;
use web::{Handler, Limits, serve};

/// Connections that the servers here take at a time.
pub const MAX_OPEN: usize = 4;
/// Bounds of the servers here.
pub const LIMITS: Limits = Limits {
    head_time: Duration::from_millis(300),
    head_bytes: 16 * 1024,
    headers: 16,
    body_time: Duration::from_millis(300),
    body_bytes: 1000,
    connections: MAX_OPEN,
};

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Serves with the handler that `open` gives while `exchange` runs on a thread of its own.
pub fn with_server<T: Send + 'static>(
    open: impl FnOnce(Kernel) -> Handler,
    exchange: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> T {
    let kernel = Kernel::new().expect("a runtime");
    let handler = open(kernel.clone());
    kernel.run(async {
        let serving = serve(&kernel, listener(), LIMITS, handler).expect("it serves");
        let address = serving.address();
        let thread = std::thread::spawn(move || exchange(address));
        while !thread.is_finished() {
            kernel.clock().sleep(Duration::from_millis(5)).await;
        }
        thread.join().expect("the exchange ends")
    })
}

/// Sends `bytes` and reads until the connection closes.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the port is open");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a valid time");
    // The server may close before it has read all.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}
