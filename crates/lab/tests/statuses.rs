//! A target whose answers have no valid status.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lab::fleet::wait_until;
use lab::soak::host::Mesh;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Pace and service time of the simulated target, as of the other targets. Otherwise one of them
/// might get no requests, or hedges of the slower one's would use up the retry budget.
const SERVICE_TIME: Duration = Duration::from_millis(25);
const LOAD: &str = "bronzeport-server-load: 0,0,4,100";
/// Present in the invalid answers of the simulated target.
const MARK: &str = "not-for-callers";

/// Status lines of the simulated target. The number in the path of a request selects one.
const STATUS_LINES: [&str; 12] = [
    "HTTP/1.1 000 Oops",
    "HTTP/1.1 99 x",
    "HTTP/1.1 1000 x",
    "HTTP/1.1 abc x",
    "HTTP/1.1 -20 x",
    "HTTP/1.1",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 x",
    "HTTP/1.1 999 x",
    "HTTP/1.1 000",
    "HTTP/1.1 065 x",
    "HTTP/1.1 700",
];

/// A target that this test simulates.
#[derive(Debug, Default)]
struct SimulatedTarget {
    /// Whether the health page has an invalid status; it then states that the target is leaving.
    breaks_health_page: AtomicBool,
    /// Ids of the requests that got an invalid status.
    invalid: Mutex<Vec<String>>,
}

fn simulate_target(listener: TcpListener, target: Arc<SimulatedTarget>) {
    for stream in listener.incoming().map_while(Result::ok) {
        let target = target.clone();
        std::thread::spawn(move || answer_requests(stream, &target));
    }
}

fn answer_requests(mut stream: TcpStream, target: &SimulatedTarget) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    loop {
        let lines = reader.by_ref().lines().map_while(Result::ok);
        let head: Vec<String> = lines.take_while(|line| !line.is_empty()).collect();
        let Some(first) = head.first() else {
            return;
        };
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let id = head.iter().find_map(|line| line.strip_prefix("bronzeport-request-id: "));
        let number = path.rsplit_once("/bad-").and_then(|(_, name)| name.split('-').next());
        let invalid = number.and_then(|number| STATUS_LINES.get(number.parse::<usize>().ok()?));
        if id.is_some() {
            std::thread::sleep(SERVICE_TIME);
        }
        if let (Some(id), Some(_)) = (id, invalid) {
            target.invalid.lock().expect("no thread panics").push(id.to_owned());
        }
        let answer = match (id, invalid) {
            (None, _) if target.breaks_health_page.load(Ordering::SeqCst) => {
                "HTTP/1.1 600 x\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
            }
            (None, _) => format!("HTTP/1.1 200 OK\r\n{LOAD}\r\ncontent-length: 0\r\n\r\n"),
            // The connection closes within the status line, or within an interim answer.
            (Some(_), None) if path.contains("/cut") => "HTTP/1.1 20".to_owned(),
            (Some(_), None) if path.contains("/interim") => "HTTP/1.1 100 Continue\r\n".to_owned(),
            (Some(id), invalid) => format!(
                "{}\r\n{LOAD}\r\nbronzeport-request-id: {id}\r\nx-mark: {MARK}\r\n\
                 bronzeport-server-signature: s\r\ncontent-length: {}\r\n\r\n{MARK}",
                invalid.unwrap_or(&"HTTP/1.1 200 OK"),
                MARK.len()
            ),
        };
        let is_written = stream.write_all(answer.as_bytes()).is_ok();
        if !is_written || !answer.ends_with(MARK) && !answer.ends_with("\r\n\r\n") {
            return;
        }
    }
}

/// Sends a request and returns the whole answer, and its status.
fn call(entry: SocketAddr, method: &str, path: &str) -> (String, String) {
    let id = path.rsplit('/').next().unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: soak.example\r\nbronzeport-request-id: {id}\r\n\
         bronzeport-deadline-ms: 1000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    let mut stream = TcpStream::connect(entry).expect("the daemon accepts connections");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket option");
    stream.write_all(head.as_bytes()).expect("the request is sent");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    let status = answer.split(' ').nth(1).unwrap_or_default().to_owned();
    (answer, status)
}

/// Starts `hosts` hosts, of which every second serves `desk`. The simulated target takes the
/// place of the target of host 0.
fn start(hosts: usize) -> (Mesh, Arc<SimulatedTarget>) {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let mesh = Mesh::start(hosts, 7, None).expect("the processes start");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let target = Arc::new(SimulatedTarget::default());
    let simulated = target.clone();
    std::thread::spawn(move || simulate_target(listener, simulated));
    let announced = mesh.replace_target(0, address);
    common::announce(mesh.announce(0), "i-statuses", announced, 4, 60_000);
    let is_served = || call(mesh.callers(0), "POST", "/order/first").0.contains(MARK);
    wait_until(TIMEOUT, is_served).expect("the simulated target is in use");
    (mesh, target)
}

/// Callers of a failing target got its answers with the statuses 101 and 600 to 999, and their
/// bodies.
#[test]
fn an_answer_without_a_valid_status_becomes_a_502() {
    let (mesh, target) = start(2);
    let mut wrong = Vec::new();
    let numbered = (0..STATUS_LINES.len()).map(|number| format!("bad-{number}"));
    for name in numbered.chain(["cut".into(), "interim".into()]) {
        // The second host is the entry of one request, so that the answer passes between daemons.
        for (entry, method, path) in [(0, "POST", "/order/o"), (1, "GET", "/read/r")] {
            let path = format!("{path}-{entry}/{name}");
            let (answer, status) = call(mesh.callers(entry), method, &path);
            if status != "502" || answer.contains(MARK) {
                wrong.push(format!("{method} {path}: {answer}"));
            }
            let after = format!("/order/after-{entry}-{name}");
            assert_eq!(call(mesh.callers(0), "POST", &after).1, "200", "{after}");
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    // A health page without a valid status says nothing about the target.
    target.breaks_health_page.store(true, Ordering::SeqCst);
    for number in 0..12 {
        std::thread::sleep(Duration::from_millis(100));
        let (answer, status) = call(mesh.callers(0), "POST", &format!("/order/health{number}"));
        assert_eq!(status, "200", "{answer}");
    }
}

/// A request that may run more than once is sent to another target.
#[test]
fn an_idempotent_request_is_retried_after_an_invalid_status() {
    let (mesh, target) = start(3);
    // The retry budget starts empty, and each request adds 0.03 of a retry.
    for number in 0..100 {
        call(mesh.callers(0), "GET", &format!("/read/first-{number}"));
    }
    let (mut wrong, mut answered) = (Vec::new(), Vec::new());
    for number in 0..40 {
        let id = format!("bad-{}-{number}", number % STATUS_LINES.len());
        let (answer, status) = call(mesh.callers(0), "GET", &format!("/read/{id}"));
        match &*status {
            "200" if !answer.contains(MARK) => answered.push(id),
            // The retry budget allows only some of the requests to be retried.
            "502" if !answer.contains(MARK) => {}
            _ => wrong.push(format!("{id}: {answer}")),
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    let invalid = target.invalid.lock().expect("no thread panics").clone();
    let retried = invalid.iter().filter(|id| answered.contains(id)).count();
    assert!(retried > 0, "none of the {} requests was answered by the other target", invalid.len());
}
