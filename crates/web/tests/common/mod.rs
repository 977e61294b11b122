//! Starts servers on free ports and exchanges bytes with them.

#![allow(dead_code, reason = "each test binary uses a part of this module")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use kernel::Kernel;
use web::{Handler, Limits, serve};

/// Maximum number of simultaneous connections of the test servers.
pub const MAX_CONNECTIONS: usize = 4;
/// Limits of the test servers.
pub const LIMITS: Limits = Limits {
    header_timeout: Duration::from_millis(300),
    max_header_bytes: 16 * 1024,
    max_headers: 16,
    body_timeout: Duration::from_millis(300),
    max_body_bytes: 1000,
    max_connections: MAX_CONNECTIONS,
};

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Runs a server with the handler that `make_handler` returns while `exchange` runs on its
/// own thread, and returns the result of `exchange`.
pub fn with_server<T: Send + 'static>(
    make_handler: impl FnOnce(Kernel) -> Handler,
    exchange: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> T {
    let kernel = Kernel::new().expect("a runtime");
    let handler = make_handler(kernel.clone());
    kernel.run(async {
        let serving = serve(&kernel, listener(), LIMITS, handler).expect("the server starts");
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
    // The write fails if the server closes the connection before it has read all bytes.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}
