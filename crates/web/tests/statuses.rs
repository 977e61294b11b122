//! Status lines that are not valid as the final answer to a request.

mod common;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use bytes::Bytes;
use common::listener;
use hyper::{Request, StatusCode};
use kernel::Kernel;
use web::{Client, ClientError, Reuse};

/// Time within which the client must close a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a server that sends `answer` to the first request of each connection, and reports
/// whether the client then closes the connection.
fn spawn_server(answer: String) -> (SocketAddr, Receiver<bool>) {
    let listener = listener();
    let address = listener.local_addr().expect("the listener is bound");
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let (answer, sender) = (answer.clone(), sender.clone());
            std::thread::spawn(move || {
                let mut head = [0; 1024];
                // Connections that only check whether the server is alive send no request.
                if !matches!(stream.read(&mut head), Ok(1..)) {
                    return;
                }
                let _ = stream.write_all(answer.as_bytes());
                let _ = stream.set_read_timeout(Some(CLOSE_TIMEOUT));
                let is_open = matches!(stream.read(&mut head), Err(error)
                    if matches!(error.kind(), std::io::ErrorKind::WouldBlock));
                let _ = sender.send(!is_open);
            });
        }
    });
    (address, receiver)
}

/// Sends one request. Returns the status, and whether the client closed the connection.
fn send_request(status_line: &str) -> (Result<StatusCode, ClientError>, bool) {
    let (address, closed) = spawn_server(format!("{status_line}\r\ncontent-length: 4\r\n\r\nbody"));
    let kernel = Kernel::new().expect("a runtime");
    let client = Client::new(kernel.clone(), address, 2);
    let request =
        Request::builder().header("host", "a").body(Bytes::new()).expect("a valid request");
    kernel.run(async {
        let answer = client.send(request, Reuse::Allowed).await;
        // The task of the connection closes it.
        kernel.clock().sleep(Duration::from_millis(50)).await;
        let is_closed = closed.recv_timeout(CLOSE_TIMEOUT * 2).expect("the server reports");
        (answer.map(|answer| answer.status()), is_closed)
    })
}

/// A failing target's answers with the statuses 600 to 999 were passed on to the caller, and
/// so was 101, which no request asks for.
#[test]
fn an_invalid_status_is_no_answer_and_closes_the_connection() {
    let invalid = [
        "HTTP/1.1 000 Oops",
        "HTTP/1.1 99 x",
        "HTTP/1.1 1000 x",
        "HTTP/1.1 abc x",
        "HTTP/1.1 -20 x",
        "HTTP/1.1  x",
        "HTTP/1.1",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 600 x",
        "HTTP/1.1 999 x",
    ];
    let mut accepted = Vec::new();
    for status_line in invalid {
        let (answer, is_closed) = send_request(status_line);
        let is_rejected =
            matches!(answer, Err(ClientError::ConnectionLost | ClientError::InvalidStatus));
        if !is_rejected || !is_closed {
            accepted.push(format!("{status_line}: {answer:?}, closed: {is_closed}"));
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
}

#[test]
fn a_valid_status_is_an_answer_and_keeps_the_connection() {
    for (status_line, status) in [
        ("HTTP/1.1 200 OK", 200),
        ("HTTP/1.1 299 x", 299),
        ("HTTP/1.1 599 x", 599),
        ("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 Not Found", 404),
    ] {
        let (answer, is_closed) = send_request(status_line);
        let answer = answer.map(|answer| answer.as_u16());
        assert_eq!((answer, is_closed), (Ok(status), false), "{status_line}");
    }
}
