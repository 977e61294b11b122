//! Where a request ends: what could be read in two ways is refused.

mod common;

use std::rc::Rc;

use bytes::Bytes;
use common::{exchange, with_server};
use hyper::Response;
use web::{Arrival, BodyError, Handler};

/// A handler that repeats what it has read.
fn repeating() -> Handler {
    Rc::new(|arrival: Arrival| {
        Box::pin(async move {
            arrival.place.share();
            let body = match arrival.body {
                Ok(body) => String::from_utf8_lossy(&body).into_owned(),
                Err(BodyError::TooLarge) => "too large".into(),
                Err(BodyError::Broken) => "broken".into(),
                Err(BodyError::Slow) => "slow".into(),
            };
            let head = arrival.head;
            Response::new(Bytes::from(format!("<{} {} {body}>", head.method, head.uri)))
        })
    })
}

/// A case of `framing.txt`: what is sent, with `\r` and `\n` spelled out, and what comes
/// back: the bodies between angle brackets and the status of a refusal.
fn play(case: &str) -> String {
    let bytes = case.replace("\\r", "\r").replace("\\n", "\n").replace("\\0", "\0");
    let answer = with_server(|_| repeating(), move |address| exchange(address, bytes.as_bytes()));
    let mut seen = Vec::new();
    for one in answer.split("HTTP/1.1 ").skip(1) {
        let status = one.split(' ').next().unwrap_or_default();
        let body = one.split('<').nth(1).and_then(|rest| rest.split('>').next());
        seen.push(body.map_or_else(|| status.to_owned(), |body| format!("<{body}>")));
    }
    seen.join(" ")
}

#[test]
fn each_case_is_framed_in_one_way() {
    let cases = include_str!("framing.txt");
    let lines = cases.lines().filter(|line| !line.starts_with('#') && !line.is_empty());
    let mut wrong = Vec::new();
    for line in lines {
        let (sent, expected) = line.split_once(" => ").expect("a case and what comes back");
        let seen = play(sent);
        if seen != expected.trim() {
            wrong.push(format!("{sent}\n  expected {expected}\n  seen     {seen}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
