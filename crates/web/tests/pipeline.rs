//! Pipelined requests, which a caller sends before it has the answers to earlier ones.

mod common;

use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{exchange, with_server};
use hyper::Response;
use hyper::header::{CONNECTION, HeaderValue};
use web::{Handler, IncomingRequest};

/// Paths of the requests that have started and of those that have finished, each in the
/// order of the events, and the number of cancelled requests.
#[derive(Debug, Default)]
struct Seen {
    started: RefCell<Vec<String>>,
    finished: RefCell<Vec<String>>,
    cancelled: Cell<usize>,
}

/// Counts a request as cancelled if its handler is dropped before it has an answer.
struct CancelCounter {
    seen: Rc<Seen>,
    is_answered: bool,
}

impl Drop for CancelCounter {
    fn drop(&mut self) {
        if !self.is_answered {
            self.seen.cancelled.set(self.seen.cancelled.get() + 1);
        }
    }
}

/// Returns a handler that takes the number of milliseconds at the start of the path. A path
/// with `close` closes the connection. `GET` allows later requests to run concurrently;
/// `POST` waits for earlier requests and runs alone.
fn timed_handler(kernel: kernel::Kernel, seen: Rc<Seen>) -> Handler {
    Rc::new(move |request: IncomingRequest| {
        let (clock, seen) = (*kernel.clock(), seen.clone());
        Box::pin(async move {
            let path = request.head.uri.path().trim_start_matches('/').to_owned();
            match request.head.method.as_str() {
                "GET" => request.position.allow_concurrency(),
                _ => request.position.wait_for_earlier().await,
            }
            seen.started.borrow_mut().push(path.clone());
            let mut cancel_counter = CancelCounter { seen: seen.clone(), is_answered: false };
            let millis = path.split('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
            clock.sleep(Duration::from_millis(millis)).await;
            cancel_counter.is_answered = true;
            seen.finished.borrow_mut().push(path.clone());
            let mut answer = Response::new(Bytes::from(format!("<{path}>")));
            if path.contains("close") {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            answer
        })
    })
}

fn requests(lines: &[&str]) -> String {
    lines.iter().map(|line| format!("{line} HTTP/1.1\r\nhost: a\r\n\r\n")).collect()
}

/// Sends `bytes` and a request `last` that closes the connection. Returns the received text
/// and the events at the handler.
fn run_pipeline(bytes: String, last: &'static str) -> (String, Rc<Seen>) {
    let seen = Rc::new(Seen::default());
    let handler_seen = seen.clone();
    let answer = with_server(
        move |kernel| timed_handler(kernel, handler_seen),
        move |address| {
            let last = format!("{last} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            exchange(address, format!("{bytes}{last}").as_bytes())
        },
    );
    (answer, seen)
}

/// Returns the bodies of the answers, which are in angle brackets.
fn bodies(answer: &str) -> Vec<&str> {
    answer.split('<').skip(1).filter_map(|rest| rest.split('>').next()).collect()
}

#[test]
fn answers_keep_the_order_of_their_requests() {
    let (answer, seen) = run_pipeline(requests(&["GET /90/a", "GET /50/b"]), "GET /10/c");
    assert_eq!(bodies(&answer), ["90/a", "50/b", "10/c"]);
    assert_eq!(*seen.finished.borrow(), ["10/c", "50/b", "90/a"], "the requests run concurrently");
}

/// Later reads start while an earlier one runs. A request that is not a read waits for all
/// earlier ones, and no later request starts before it ends.
#[test]
fn a_request_that_allows_no_concurrency_runs_alone() {
    let (answer, seen) =
        run_pipeline(requests(&["GET /60/a", "GET /20/b", "POST /30/c", "GET /1/d"]), "GET /1/e");
    assert_eq!(bodies(&answer), ["60/a", "20/b", "30/c", "1/d", "1/e"]);
    assert_eq!(*seen.finished.borrow(), ["20/b", "60/a", "30/c", "1/d", "1/e"]);
}

/// During a planned stop the requests in flight still get their answers, the last of these
/// has `Connection: close`, and later requests on the connection are not started.
#[test]
fn connection_close_is_sent_with_the_last_answer_in_flight() {
    let (answer, seen) = run_pipeline(
        requests(&["GET /20/close", "GET /60/b", "POST /1/c", "GET /1/d"]),
        "GET /1/e",
    );
    assert_eq!(bodies(&answer), ["20/close", "60/b", "1/c"]);
    assert_eq!(*seen.started.borrow(), ["20/close", "60/b", "1/c"]);
    let closing: Vec<bool> = answer
        .split("HTTP/1.1")
        .skip(1)
        .map(|answer| answer.contains("connection: close"))
        .collect();
    assert_eq!(closing, [false, false, true], "{answer}");
}

#[test]
fn requests_after_the_callers_connection_close_are_ignored() {
    let bytes = "GET /1/a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_owned();
    let (answer, seen) = run_pipeline(bytes + &requests(&["GET /1/b"]), "GET /1/c");
    assert_eq!(bodies(&answer), ["1/a"]);
    assert_eq!(*seen.started.borrow(), ["1/a"]);
}

#[test]
fn an_invalid_request_is_rejected_after_the_earlier_answers() {
    let (answer, _) = run_pipeline(requests(&["GET /40/a"]) + "nonsense\r\n\r\n", "GET /1/b");
    assert_eq!(bodies(&answer), ["40/a"]);
    let refusal = answer.find("HTTP/1.1 400").expect("the invalid request is rejected");
    assert!(refusal > answer.find("40/a").expect("the first request is answered"), "{answer}");
}

#[test]
fn a_disconnect_cancels_all_requests_in_flight() {
    let seen = Rc::new(Seen::default());
    let handler_seen = seen.clone();
    with_server(
        move |kernel| timed_handler(kernel, handler_seen),
        |address| {
            let mut stream = TcpStream::connect(address).expect("the port is open");
            let all = requests(&["GET /5000/a", "GET /5000/b", "GET /5000/c"]);
            stream.write_all(all.as_bytes()).expect("the server reads the bytes");
            std::thread::sleep(Duration::from_millis(100));
            drop(stream);
            std::thread::sleep(Duration::from_millis(100));
        },
    );
    assert_eq!((seen.started.borrow().len(), seen.cancelled.get()), (3, 3));
}

/// An incomplete head of a second request must not delay the first answer, and the time
/// limit of the head must not close a connection with a request in flight.
#[test]
fn an_incomplete_second_request_does_not_delay_the_first_answer() {
    let answer = with_server(
        |kernel| timed_handler(kernel, Rc::default()),
        |address| {
            let mut stream = TcpStream::connect(address).expect("the port is open");
            let bytes = requests(&["GET /500/a"]) + "GET /1/b HTTP/1.1\r\nx: ";
            stream.write_all(bytes.as_bytes()).expect("the server reads the bytes");
            let mut first = [0; 1024];
            let length = stream.read(&mut first).expect("an answer");
            String::from_utf8_lossy(&first[..length]).into_owned()
        },
    );
    assert_eq!(bodies(&answer), ["500/a"], "{answer}");
}

#[test]
fn the_number_of_requests_in_flight_is_limited() {
    let lines: Vec<String> = (0..40).map(|number| format!("GET /30/{number}")).collect();
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    let (answer, seen) = run_pipeline(requests(&lines), "GET /1/last");
    assert_eq!(bodies(&answer).len(), 41);
    let started = seen.started.borrow();
    let finished = seen.finished.borrow();
    let first_finished = &finished[0];
    let before =
        started.iter().position(|path| path == first_finished).expect("the request has started");
    assert!(before < 16, "{started:?}");
    assert_eq!(started.len(), 41);
}

/// A caller that waits for `100 Continue` gets it after the answers to its earlier requests.
#[test]
fn a_100_continue_is_sent_after_the_earlier_answers() {
    let answer = with_server(
        |kernel| timed_handler(kernel, Rc::default()),
        |address| {
            let mut stream = TcpStream::connect(address).expect("the port is open");
            let bytes = requests(&["GET /50/a"])
                + "POST /1/b HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
            stream.write_all(bytes.as_bytes()).expect("the server reads the bytes");
            let mut seen = String::new();
            let mut buffer = [0; 1024];
            while !seen.contains("1/b") {
                let length = stream.read(&mut buffer).expect("more bytes");
                assert!(length > 0, "{seen}");
                seen += &String::from_utf8_lossy(&buffer[..length]);
                if seen.ends_with("100 Continue\r\n\r\n") {
                    stream.write_all(b"xy").expect("the server reads the bytes");
                }
            }
            seen
        },
    );
    let offsets = ["50/a", "100 Continue", "1/b"].map(|text| answer.find(text));
    assert!(offsets.is_sorted() && offsets[0].is_some(), "{answer}");
}
