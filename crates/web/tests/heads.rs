//! A server whose heads take long or many bytes.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use common::listener;
use hyper::Request;
use kernel::Kernel;
use web::{Client, ClientError, Reuse};

/// Bytes after which the server ends even if the client still reads.
const END_BYTES: usize = 64 * 1024 * 1024;
/// Limit on what the client reads, together with the buffers of the two sockets.
const MAX_BYTES: usize = 16 * 1024 * 1024;
const BODY_BYTES: usize = 900 * 1024;

fn request() -> Request<Bytes> {
    Request::builder().header("host", "a").body(Bytes::new()).expect("a valid request")
}

/// Answers each request on the connection with a long body after an interim answer.
fn answer_with_long_bodies(mut stream: TcpStream) {
    let body = vec![b'x'; BODY_BYTES];
    let mut head = [0; 1024];
    while let Ok(1..) = stream.read(&mut head) {
        let answer = format!(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        );
        let mut message = answer.into_bytes();
        message.extend_from_slice(&body);
        if stream.write_all(&message).is_err() {
            return;
        }
    }
}

/// A target that sent interim answers without end kept the daemon beside it busy, and its callers
/// got no answers (review of issue 32, case 3).
#[test]
fn interim_answers_without_end_are_cut_off() {
    let listener = listener();
    let address = listener.local_addr().expect("the listener is bound");
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let heads = "HTTP/1.1 100 Continue\r\n\r\n".repeat(1000);
        while counter.load(Ordering::Relaxed) < END_BYTES
            && stream.write_all(heads.as_bytes()).is_ok()
        {
            counter.fetch_add(heads.len(), Ordering::Relaxed);
        }
    });
    let kernel = Kernel::new().expect("a runtime");
    let client = Client::new(kernel.clone(), address, 4);
    let answer = kernel.run(client.send(request(), Reuse::Allowed));
    assert_eq!(answer.map(|answer| answer.status()), Err(ClientError::ConnectionLost));
    drop((client, kernel));
    server.join().expect("the server ends");
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < MAX_BYTES, "the client read up to {sent} bytes");
}

#[test]
fn a_long_body_does_not_count_as_a_head() {
    let listener = listener();
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || answer_with_long_bodies(stream));
        }
    });
    let kernel = Kernel::new().expect("a runtime");
    let client = Client::new(kernel.clone(), address, 4);
    kernel.run(async {
        for number in 0..50 {
            let answer = client.send(request(), Reuse::Allowed).await;
            let length = answer.map(|answer| answer.body().len());
            assert_eq!(length, Ok(BODY_BYTES), "answer {number}");
        }
    });
}
