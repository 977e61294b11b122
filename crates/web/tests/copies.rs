//! A second copy of an answer that comes late, on a connection that is in use again.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::Bytes;
use common::listener;
use hyper::{HeaderMap, Request};
use kernel::Kernel;
use web::{Client, Fault, Reuse};

/// When a target sends the copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sent {
    /// While the connection is idle.
    Idle,
    /// In place of the answer to the next request.
    InPlace,
}

fn answer(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 2\r\n\r\n{id}")
}

/// Reads one request and gives its id.
fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut head = [0; 1024];
    let length = stream.read(&mut head).ok().filter(|length| *length > 0)?;
    let text = String::from_utf8_lossy(&head[..length]).into_owned();
    text.lines().find_map(|line| line.strip_prefix("id: ")).map(str::to_owned)
}

/// A target that sends the answer to `r1` twice.
fn serve(sent: Sent) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut earlier = None;
                while let Some(id) = read_id(&mut stream) {
                    let copy = earlier.replace(id.clone()).filter(|id| id == "r1");
                    if let Some(copy) = copy.filter(|_| sent == Sent::InPlace) {
                        let _ = stream.write_all(answer(&copy).as_bytes());
                    }
                    let _ = stream.write_all(answer(&id).as_bytes());
                    if id == "r1" && sent == Sent::Idle {
                        std::thread::sleep(Duration::from_millis(50));
                        let _ = stream.write_all(answer(&id).as_bytes());
                    }
                }
            });
        }
    });
    address
}

/// Sends requests on kept connections and gives the body of each answer.
fn play(sent: Sent) -> Vec<Result<Bytes, Fault>> {
    let kernel = Kernel::new().expect("a runtime");
    let client = Client::new(kernel.clone(), serve(sent), 4);
    kernel.run(async {
        let mut seen = Vec::new();
        for id in ["r1", "r2", "r3"] {
            let request = Request::builder().header("host", "a").header("id", id);
            let request = request.body(Bytes::new()).expect("valid");
            let is_own = |headers: &HeaderMap| headers.get("id").is_some_and(|value| value == id);
            let answer = client.send_checked(request, Reuse::Allowed, is_own).await;
            seen.push(answer.map(|answer| answer.into_body()));
            kernel.clock().sleep(Duration::from_millis(100)).await;
        }
        seen
    })
}

#[test]
fn a_copy_on_an_idle_connection_belongs_to_nobody() {
    assert_eq!(play(Sent::Idle), ["r1", "r2", "r3"].map(|id| Ok(Bytes::from(id))));
}

#[test]
fn a_copy_in_place_of_an_answer_is_not_taken_and_ends_the_connection() {
    let own = |id| Ok(Bytes::from_static(id));
    assert_eq!(play(Sent::InPlace), [own(b"r1"), Err(Fault::Foreign), own(b"r3")]);
}
