//! A target that sends an answer twice on a connection that the client reuses. The duplicate
//! must not be taken for the answer to the next request.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use common::listener;
use hyper::{HeaderMap, Request};
use kernel::Kernel;
use web::{Client, ClientError, Reuse};

/// When the target sends the duplicate answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DuplicateTiming {
    /// While the connection is idle.
    WhileIdle,
    /// After the next request, before the answer to it.
    InPlaceOfNext,
}

fn answer(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 2\r\n\r\n{id}")
}

/// Reads one request and returns its id.
fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut head = [0; 1024];
    let length = stream.read(&mut head).ok().filter(|length| *length > 0)?;
    let text = String::from_utf8_lossy(&head[..length]).into_owned();
    text.lines().find_map(|line| line.strip_prefix("id: ")).map(str::to_owned)
}

/// Starts a target that sends the answer to `r1` twice.
fn spawn_target(timing: DuplicateTiming) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut previous_id = None;
                while let Some(id) = read_id(&mut stream) {
                    let duplicate = previous_id.replace(id.clone()).filter(|id| id == "r1");
                    if let Some(duplicate) =
                        duplicate.filter(|_| timing == DuplicateTiming::InPlaceOfNext)
                    {
                        let _ = stream.write_all(answer(&duplicate).as_bytes());
                    }
                    let _ = stream.write_all(answer(&id).as_bytes());
                    if id == "r1" && timing == DuplicateTiming::WhileIdle {
                        std::thread::sleep(Duration::from_millis(50));
                        let _ = stream.write_all(answer(&id).as_bytes());
                    }
                }
            });
        }
    });
    address
}

/// Sends three requests with connection reuse and returns the body of each answer.
fn send_requests(timing: DuplicateTiming) -> Vec<Result<Bytes, ClientError>> {
    let kernel = Kernel::new().expect("a runtime");
    let client = Client::new(kernel.clone(), spawn_target(timing), 4);
    kernel.run(async {
        let mut answers = Vec::new();
        for id in ["r1", "r2", "r3"] {
            let request = Request::builder().header("host", "a").header("id", id);
            let request = request.body(Bytes::new()).expect("a valid request");
            let has_id = |headers: &HeaderMap| headers.get("id").is_some_and(|value| value == id);
            let answer = client.send_checked(request, Reuse::Allowed, has_id).await;
            answers.push(answer.map(|answer| answer.into_body()));
            kernel.clock().sleep(Duration::from_millis(100)).await;
        }
        answers
    })
}

#[test]
fn a_duplicate_answer_on_an_idle_connection_is_discarded() {
    assert_eq!(
        send_requests(DuplicateTiming::WhileIdle),
        ["r1", "r2", "r3"].map(|id| Ok(Bytes::from(id)))
    );
}

#[test]
fn a_duplicate_answer_in_place_of_the_next_one_is_rejected_and_closes_the_connection() {
    let expected = |id| Ok(Bytes::from_static(id));
    assert_eq!(
        send_requests(DuplicateTiming::InPlaceOfNext),
        [expected(b"r1"), Err(ClientError::MismatchedAnswer), expected(b"r3")]
    );
}
