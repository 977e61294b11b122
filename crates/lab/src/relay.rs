//! A relay that only forwards bytes. It shows the minimum latency that two processes on a
//! call's path add on a machine.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Forwards the bytes of each connection to `to` and back, on two threads.
pub fn serve(listener: &TcpListener, to: SocketAddr) {
    for client in listener.incoming().map_while(Result::ok) {
        let Ok(server) = TcpStream::connect(to) else {
            continue;
        };
        let pairs = [(client.try_clone(), server.try_clone()), (Ok(server), Ok(client))];
        for pair in pairs {
            if let (Ok(from), Ok(to)) = pair {
                std::thread::spawn(move || forward(from, to));
            }
        }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    let _ = to.set_nodelay(true);
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}
