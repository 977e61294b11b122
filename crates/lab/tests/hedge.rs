//! Hedged requests of a daemon with an operator's limit.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lab::fleet::wait_until;
use lab::soak::host::Mesh;

/// Hosts 0 and 2 serve `desk`.
const HOSTS: usize = 3;
const ENTRY: usize = 1;
/// Host whose target is simulated.
const SLOW: usize = 2;
const TIMEOUT: Duration = Duration::from_secs(10);
/// Load of the simulated target: without a pace, its costs could not be compared with those of
/// the other target, and it might get no requests.
const LOAD: &str = "bronzeport-server-load: 0,0,4,100";
const MAX_ROUNDS: usize = 30;
const CALLS_PER_ROUND: usize = 60;

/// Requests at the simulated target.
#[derive(Debug, Default)]
struct Log {
    /// Number of answers.
    answers: usize,
    /// Ids of the requests that get no answer.
    unanswered: Vec<String>,
    /// Those of them whose connection has been closed.
    cancelled: Vec<String>,
}

/// Simulates a target that answers requests except those whose id starts with `hang`.
fn simulate_target(listener: TcpListener, log: Arc<Mutex<Log>>) {
    for stream in listener.incoming().map_while(Result::ok) {
        let log = log.clone();
        std::thread::spawn(move || answer_requests(stream, &log));
    }
}

fn answer_requests(mut stream: TcpStream, log: &Mutex<Log>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    loop {
        let lines = reader.by_ref().lines().map_while(Result::ok);
        let head: Vec<String> = lines.take_while(|line| !line.is_empty()).collect();
        if head.is_empty() {
            return;
        }
        let id = head.iter().find_map(|line| line.strip_prefix("bronzeport-request-id: "));
        if let Some(id) = id.filter(|id| id.starts_with("hang")) {
            log.lock().expect("no thread panics").unanswered.push(id.to_owned());
            let _ = reader.read(&mut [0]);
            log.lock().expect("no thread panics").cancelled.push(id.to_owned());
            return;
        }
        if id.is_some() {
            log.lock().expect("no thread panics").answers += 1;
        }
        let id = id.map_or(String::new(), |id| format!("bronzeport-request-id: {id}\r\n"));
        let answer = format!("HTTP/1.1 200 OK\r\n{LOAD}\r\n{id}content-length: 0\r\n\r\n");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends requests of which some get no answer from the simulated target, at a limit of hedges.
/// Ends after a hedged one, or after `max_unanswered` of them. Returns the ids of those without
/// an answer, and the ids of all requests that were answered.
fn run(share: &str, max_unanswered: usize) -> (Vec<String>, Vec<String>) {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let mut mesh = Mesh::start(HOSTS, 7, None).expect("the processes start");
    mesh.kill_daemon(ENTRY);
    mesh.add_daemon_flag(ENTRY, "hedge-share", share);
    mesh.start_daemon(ENTRY).expect("the daemon starts");
    mesh.wait_until_ready().expect("the daemon is ready");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let log = Arc::new(Mutex::new(Log::default()));
    let target_log = log.clone();
    std::thread::spawn(move || simulate_target(listener, target_log));
    let announced = mesh.replace_target(SLOW, address);
    common::announce(mesh.announce(SLOW), "i-slow", announced, 4, 60_000);
    let is_in_use = || {
        common::read_status(mesh.callers(ENTRY), "/read/first", "first");
        log.lock().expect("no thread panics").answers > 0
    };
    wait_until(TIMEOUT, is_in_use).expect("the simulated target is in use");
    let unanswered = || log.lock().expect("no thread panics").unanswered.clone();
    let mut answered = Vec::new();
    for round in 0..MAX_ROUNDS {
        // The budget of hedges grows with the calls.
        for number in 0..CALLS_PER_ROUND {
            let id = format!("quick-{round}-{number}");
            common::read_status(mesh.callers(ENTRY), &format!("/read/{id}"), &id);
        }
        let id = format!("hang-{round}");
        if common::read_status(mesh.callers(ENTRY), &format!("/read/{id}"), &id) == 200 {
            answered.push(id);
        }
        if unanswered().iter().any(|id| answered.contains(id))
            || unanswered().len() >= max_unanswered
        {
            break;
        }
    }
    let is_cancelled = || {
        let log = log.lock().expect("no thread panics");
        log.cancelled.len() == log.unanswered.len()
    };
    wait_until(TIMEOUT, is_cancelled).expect("each request without an answer is cancelled");
    (unanswered(), answered)
}

/// A setting that reached no pool, or a budget without deposits, would send no hedges.
#[test]
fn a_request_without_an_answer_is_hedged_within_the_limit_only() {
    let (unanswered, answered) = run("4%", 3);
    let hedged = unanswered.iter().filter(|id| answered.contains(id)).count();
    assert!(hedged > 0, "none of {unanswered:?} was answered by the other target");
    let (unanswered, answered) = run("0%", 1);
    assert!(!unanswered.is_empty(), "no request reached the simulated target");
    let hedged: Vec<_> = unanswered.iter().filter(|id| answered.contains(id)).collect();
    assert!(hedged.is_empty(), "hedges are off, but {hedged:?} were answered");
}
