//! Limits of the server, and the errors and connection limit of the client.

mod common;

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{MAX_CONNECTIONS, exchange, listener, with_server};
use hyper::{Request, Response};
use kernel::Kernel;
use web::{BodyError, Client, ClientError, Handler, IncomingRequest, Reuse};

fn async_listener() -> (tokio::net::TcpListener, SocketAddr) {
    let listener = listener();
    let address = listener.local_addr().expect("the listener is bound");
    listener.set_nonblocking(true).expect("a socket option");
    (tokio::net::TcpListener::from_std(listener).expect("a listener"), address)
}

fn fixed_handler(text: &'static str) -> Handler {
    Rc::new(move |_| Box::pin(async move { Response::new(Bytes::from_static(text.as_bytes())) }))
}

#[test]
fn an_incomplete_head_gets_no_answer_from_the_handler() {
    let answer =
        with_server(|_| fixed_handler("ok"), |address| exchange(address, b"GET / HTTP/1.1\r\nx: "));
    assert!(!answer.contains("200"), "{answer}");
}

#[test]
fn an_oversized_head_is_rejected() {
    let answer = with_server(
        |_| fixed_handler("ok"),
        |address| {
            exchange(
                address,
                format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(64 * 1024)).as_bytes(),
            )
        },
    );
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
}

#[test]
fn connections_over_the_limit_are_closed_and_the_others_served() {
    let answers = with_server(
        |_| fixed_handler("ok"),
        |address| {
            let idle: Vec<TcpStream> =
                (0..4).map(|_| TcpStream::connect(address).expect("the port is open")).collect();
            std::thread::sleep(Duration::from_millis(50));
            let rejected = exchange(address, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n");
            drop(idle);
            std::thread::sleep(Duration::from_millis(100));
            let after =
                exchange(address, b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            (rejected, after)
        },
    );
    assert!(answers.0.is_empty(), "{answers:?}");
    assert!(answers.1.contains("200 OK"), "{answers:?}");
}

#[test]
fn the_handler_is_cancelled_when_the_caller_disconnects() {
    struct DropFlag(Rc<Cell<bool>>);
    impl Drop for DropFlag {
        fn drop(&mut self) {
            self.0.set(true);
        }
    }
    let is_dropped = Rc::new(Cell::new(false));
    let seen = is_dropped.clone();
    let handler: Handler = Rc::new(move |_| {
        let flag = DropFlag(seen.clone());
        Box::pin(async move {
            let _flag = flag;
            std::future::pending().await
        })
    });
    with_server(
        |_| handler,
        |address| {
            let mut stream = TcpStream::connect(address).expect("the port is open");
            stream
                .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                .expect("the server reads the bytes");
            std::thread::sleep(Duration::from_millis(50));
            drop(stream);
            std::thread::sleep(Duration::from_millis(100));
        },
    );
    assert!(is_dropped.get());
}

#[test]
fn an_oversized_body_is_read_to_its_end_and_rejected() {
    let handler: Handler = Rc::new(|request: IncomingRequest| {
        Box::pin(async move {
            let text = match request.body {
                Ok(_) => "whole",
                Err(BodyError::TooLarge) => "too large",
                Err(BodyError::Malformed) => "broken",
                Err(BodyError::TimedOut) => "slow",
            };
            Response::new(Bytes::from_static(text.as_bytes()))
        })
    });
    let answer = with_server(
        |_| handler,
        |address| {
            let head =
                "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 4000\r\n\r\n";
            exchange(address, format!("{head}{}", "x".repeat(4000)).as_bytes())
        },
    );
    assert!(answer.contains("too large"), "{answer}");
}

/// Starts a server that sends fixed bytes on each connection and closes it.
fn spawn_raw_server(answer: &'static [u8]) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut head = [0; 1024];
            let _ = stream.read(&mut head);
            let _ = stream.write_all(answer);
        }
    });
    address
}

fn send_request(address: SocketAddr) -> Result<Bytes, ClientError> {
    let kernel = Kernel::new().expect("a runtime");
    let client = Client::new(kernel.clone(), address, 2);
    let request =
        Request::builder().header("host", "a").body(Bytes::new()).expect("a valid request");
    kernel.run(client.send(request, Reuse::Never)).map(Response::into_body)
}

#[test]
fn only_a_whole_answer_counts() {
    let complete = spawn_raw_server(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    assert_eq!(send_request(complete), Ok(Bytes::from_static(b"ok")));
    for truncated in [
        &b""[..],
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"nonsense\r\n\r\n",
    ] {
        assert_eq!(
            send_request(spawn_raw_server(truncated)),
            Err(ClientError::ConnectionLost),
            "{}",
            String::from_utf8_lossy(truncated)
        );
    }
    let closed = listener().local_addr().expect("the listener was bound");
    assert_eq!(send_request(closed), Err(ClientError::NotSent));
}

/// Issue 10: the client ignored the number of connections that the operator configures for
/// a target. A request that needs a new connection at the limit closes an idle one first.
#[test]
fn a_client_never_exceeds_its_maximum_number_of_connections() {
    const REQUESTS: usize = 40;
    let (open, peak) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let kernel = Kernel::new().expect("a runtime");
    kernel.run(async {
        let (listener, address) = async_listener();
        let (server_open, server_peak, server) = (open.clone(), peak.clone(), kernel.clone());
        kernel.start(async move {
            while let Ok((stream, _)) = listener.accept().await {
                server_open.set(server_open.get() + 1);
                server_peak.set(server_peak.get().max(server_open.get()));
                server.start(answer_until_closed(stream, server_open.clone()));
            }
        });
        let client = Client::new(kernel.clone(), address, MAX_CONNECTIONS * 2);
        client.set_max_connections(MAX_CONNECTIONS);
        for number in 0..REQUESTS {
            let reuse = [Reuse::Never, Reuse::Allowed][number % 2];
            let request = || Request::builder().header("host", "a").body(Bytes::new());
            let pair = [request(), request()].map(|request| request.expect("a valid request"));
            let [first, second] = pair.map(|request| client.send(request, reuse));
            let answers = futures_lite::future::zip(first, second).await;
            assert!(answers.0.is_ok() && answers.1.is_ok(), "request {number}: {answers:?}");
        }
    });
    assert!(peak.get() <= MAX_CONNECTIONS, "{} connections at a time", peak.get());
}

/// Answers each request on a connection until the peer closes it, and then decrements `open`.
async fn answer_until_closed(mut stream: tokio::net::TcpStream, open: Rc<Cell<usize>>) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut head = [0; 1024];
    while let Ok(1..) = stream.read(&mut head).await {
        if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.is_err() {
            break;
        }
    }
    open.set(open.get() - 1);
}

/// Returns what [`Client::is_alive`] reports for a server that closes its first connection
/// at once, and then its listening port if `closes_port` is set.
fn is_alive_after(closes_port: bool) -> bool {
    let kernel = Kernel::new().expect("a runtime");
    kernel.run(async {
        let (listener, address) = async_listener();
        let client = Client::new(kernel.clone(), address, 1);
        let closing = async {
            let first = listener.accept().await;
            let open = (!closes_port).then_some(listener);
            drop(first);
            open
        };
        futures_lite::future::zip(client.is_alive(), closing).await.0
    })
}

/// CI, 2026-12-04: a killed process may close its connections before its listening port. A
/// new connection could still be opened in between, and the crash was reported as a broken
/// connection (in 15 of 120 runs, with six others in parallel).
#[test]
fn a_process_whose_port_closes_after_its_connections_is_not_alive() {
    assert!(!is_alive_after(true));
}

#[test]
fn a_process_that_closes_a_connection_and_accepts_another_is_alive() {
    assert!(is_alive_after(false));
}
