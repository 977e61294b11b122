//! Requests that a caller sends before it has the answers to earlier ones.

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
use web::{Arrival, Handler};

/// What the requests of a test have done so far.
#[derive(Debug, Default)]
struct Seen {
    started: RefCell<Vec<String>>,
    finished: RefCell<Vec<String>>,
    dropped: Cell<usize>,
}

/// Notes a request that ends without an answer.
struct Running {
    seen: Rc<Seen>,
    is_answered: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.is_answered {
            self.seen.dropped.set(self.seen.dropped.get() + 1);
        }
    }
}

/// A handler whose requests take as many milliseconds as their path says. `/close`
/// closes the connection, `GET` lets others run beside it, and `POST` runs alone.
fn timed(kernel: kernel::Kernel, seen: Rc<Seen>) -> Handler {
    Rc::new(move |arrival: Arrival| {
        let (clock, seen) = (*kernel.clock(), seen.clone());
        Box::pin(async move {
            let path = arrival.head.uri.path().trim_start_matches('/').to_owned();
            match arrival.head.method.as_str() {
                "GET" => arrival.place.share(),
                _ => arrival.place.first().await,
            }
            seen.started.borrow_mut().push(path.clone());
            let mut running = Running { seen: seen.clone(), is_answered: false };
            let millis = path.split('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
            clock.sleep(Duration::from_millis(millis)).await;
            running.is_answered = true;
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

/// Sends `bytes` and gives what came back and what was seen.
fn play(bytes: String, last: &'static str) -> (String, Rc<Seen>) {
    let seen = Rc::new(Seen::default());
    let noted = seen.clone();
    let answer = with_server(
        move |kernel| timed(kernel, noted),
        move |address| {
            let last = format!("{last} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            exchange(address, format!("{bytes}{last}").as_bytes())
        },
    );
    (answer, seen)
}

/// Texts between angle brackets, which the bodies consist of.
fn bodies(answer: &str) -> Vec<&str> {
    answer.split('<').skip(1).filter_map(|rest| rest.split('>').next()).collect()
}

#[test]
fn answers_keep_the_order_of_their_requests() {
    let (answer, seen) = play(requests(&["GET /90/a", "GET /50/b"]), "GET /10/c");
    assert_eq!(bodies(&answer), ["90/a", "50/b", "10/c"]);
    assert_eq!(*seen.finished.borrow(), ["10/c", "50/b", "90/a"], "they run beside each other");
}

/// Callers send further reads while the first one waits; what is not a read waits for
/// all before it, and nothing starts beside it.
#[test]
fn what_may_not_be_repeated_runs_alone() {
    let (answer, seen) =
        play(requests(&["GET /60/a", "GET /20/b", "POST /30/c", "GET /1/d"]), "GET /1/e");
    assert_eq!(bodies(&answer), ["60/a", "20/b", "30/c", "1/d", "1/e"]);
    assert_eq!(*seen.finished.borrow(), ["20/b", "60/a", "30/c", "1/d", "1/e"]);
}

/// A planned stop: what has been accepted is still answered, the close goes on the last
/// of it, and what is behind that has not been started.
#[test]
fn a_close_goes_on_the_last_request_under_way() {
    let (answer, seen) =
        play(requests(&["GET /20/close", "GET /60/b", "POST /1/c", "GET /1/d"]), "GET /1/e");
    assert_eq!(bodies(&answer), ["20/close", "60/b", "1/c"]);
    assert_eq!(*seen.started.borrow(), ["20/close", "60/b", "1/c"]);
    let closing: Vec<bool> =
        answer.split("HTTP/1.1").skip(1).map(|one| one.contains("connection: close")).collect();
    assert_eq!(closing, [false, false, true], "{answer}");
}

#[test]
fn what_is_behind_the_callers_own_close_is_not_read() {
    let bytes = "GET /1/a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_owned();
    let (answer, seen) = play(bytes + &requests(&["GET /1/b"]), "GET /1/c");
    assert_eq!(bodies(&answer), ["1/a"]);
    assert_eq!(*seen.started.borrow(), ["1/a"]);
}

#[test]
fn what_is_no_request_is_refused_in_its_turn() {
    let (answer, _) = play(requests(&["GET /40/a"]) + "nonsense\r\n\r\n", "GET /1/b");
    assert_eq!(bodies(&answer), ["40/a"]);
    let refusal = answer.find("HTTP/1.1 400").expect("it is refused");
    assert!(refusal > answer.find("40/a").expect("the first is answered"), "{answer}");
}

#[test]
fn a_caller_that_leaves_cancels_all_that_it_had_under_way() {
    let seen = Rc::new(Seen::default());
    let noted = seen.clone();
    with_server(
        move |kernel| timed(kernel, noted),
        |address| {
            let mut stream = TcpStream::connect(address).expect("the port is open");
            let all = requests(&["GET /5000/a", "GET /5000/b", "GET /5000/c"]);
            stream.write_all(all.as_bytes()).expect("it takes bytes");
            std::thread::sleep(Duration::from_millis(100));
            drop(stream);
            std::thread::sleep(Duration::from_millis(100));
        },
    );
    assert_eq!((seen.started.borrow().len(), seen.dropped.get()), (3, 3));
}

/// The head of a second request that does not end must not hold back the first answer,
/// and a request under way is not an idle connection.
#[test]
fn a_slow_second_request_holds_nothing_back() {
    let answer = with_server(
        |kernel| timed(kernel, Rc::default()),
        |address| {
            let mut stream = TcpStream::connect(address).expect("the port is open");
            let bytes = requests(&["GET /500/a"]) + "GET /1/b HTTP/1.1\r\nx: ";
            stream.write_all(bytes.as_bytes()).expect("it takes bytes");
            let mut first = [0; 1024];
            let length = stream.read(&mut first).expect("an answer");
            String::from_utf8_lossy(&first[..length]).into_owned()
        },
    );
    assert_eq!(bodies(&answer), ["500/a"], "{answer}");
}

#[test]
fn requests_under_way_are_bounded() {
    let lines: Vec<String> = (0..40).map(|number| format!("GET /30/{number}")).collect();
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    let (answer, seen) = play(requests(&lines), "GET /1/last");
    assert_eq!(bodies(&answer).len(), 41);
    let started = seen.started.borrow();
    let finished = seen.finished.borrow();
    let first_finished = &finished[0];
    let before = started.iter().position(|path| path == first_finished).expect("it started");
    assert!(before < 16, "{started:?}");
    assert_eq!(started.len(), 41);
}
/// A caller that waits for a go-ahead gets it once the answers before it are written.
#[test]
fn a_go_ahead_comes_in_its_turn() {
    let answer = with_server(
        |kernel| timed(kernel, Rc::default()),
        |address| {
            let mut stream = TcpStream::connect(address).expect("the port is open");
            let bytes = requests(&["GET /50/a"])
                + "POST /1/b HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
            stream.write_all(bytes.as_bytes()).expect("it takes bytes");
            let mut seen = String::new();
            let mut some = [0; 1024];
            while !seen.contains("1/b") {
                let length = stream.read(&mut some).expect("it goes on");
                assert!(length > 0, "{seen}");
                seen += &String::from_utf8_lossy(&some[..length]);
                if seen.ends_with("100 Continue\r\n\r\n") {
                    stream.write_all(b"xy").expect("it takes bytes");
                }
            }
            seen
        },
    );
    let places = ["50/a", "100 Continue", "1/b"].map(|text| answer.find(text));
    assert!(places.is_sorted() && places[0].is_some(), "{answer}");
}
