//! Framing of requests: a request whose end can be determined in two ways is rejected.

mod common;

use std::rc::Rc;

use bytes::Bytes;
use common::{exchange, with_server};
use hyper::Response;
use web::{BodyError, Handler, IncomingRequest};

/// Returns a handler that answers with the method, the URI and the body of the request.
fn echo_handler() -> Handler {
    Rc::new(|request: IncomingRequest| {
        Box::pin(async move {
            request.position.allow_concurrency();
            let body = match request.body {
                Ok(body) => String::from_utf8_lossy(&body).into_owned(),
                Err(BodyError::TooLarge) => "too large".into(),
                Err(BodyError::Malformed) => "broken".into(),
                Err(BodyError::TimedOut) => "slow".into(),
            };
            let head = request.head;
            Response::new(Bytes::from(format!("<{} {} {body}>", head.method, head.uri)))
        })
    })
}

/// Sends the request of a case in `framing.txt`, in which `\r`, `\n` and `\0` are escaped.
/// Returns the bodies of the answers in angle brackets, and the statuses of rejections.
fn run_case(case: &str) -> String {
    let bytes = case.replace("\\r", "\r").replace("\\n", "\n").replace("\\0", "\0");
    let answer =
        with_server(|_| echo_handler(), move |address| exchange(address, bytes.as_bytes()));
    let mut seen = Vec::new();
    for part in answer.split("HTTP/1.1 ").skip(1) {
        let status = part.split(' ').next().unwrap_or_default();
        let body = part.split('<').nth(1).and_then(|rest| rest.split('>').next());
        seen.push(body.map_or_else(|| status.to_owned(), |body| format!("<{body}>")));
    }
    seen.join(" ")
}

#[test]
fn each_request_is_framed_as_the_case_table_states() {
    let cases = include_str!("framing.txt");
    let lines = cases.lines().filter(|line| !line.starts_with('#') && !line.is_empty());
    let mut mismatches = Vec::new();
    for line in lines {
        let (sent, expected) = line.split_once(" => ").expect("a request and the expected answers");
        let seen = run_case(sent);
        if seen != expected.trim() {
            mismatches.push(format!("{sent}\n  expected {expected}\n  seen     {seen}"));
        }
    }
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
}
