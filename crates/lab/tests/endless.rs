//! Answers and requests that never end: the sender writes until the peer closes the
//! connection.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lab::fleet::wait_until;
use lab::soak::host::Mesh;

/// Host 0 serves `desk`, host 1 serves `desk-archive`.
const HOSTS: usize = 2;
const TIMEOUT: Duration = Duration::from_secs(10);
/// Slots of the simulated target.
const SLOTS: usize = 2;
/// Limit on the peak resident memory of a daemon, from its size objective.
const MAX_MEMORY_KB: u64 = 128 * 1024;

fn mesh() -> Mesh {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    Mesh::start(HOSTS, 7, None).expect("the processes start")
}

/// Sends a request and returns the status of its answer. The answer may be truncated.
fn call(entry: SocketAddr, method: &str, path: &str, deadline_ms: u64) -> String {
    let id = path.rsplit('/').next().unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: soak.example\r\nbronzeport-request-id: {id}\r\n\
         bronzeport-deadline-ms: {deadline_ms}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    let mut stream = TcpStream::connect(entry).expect("the daemon accepts connections");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket option");
    stream.write_all(head.as_bytes()).expect("the request is sent");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Writes `first` and then `more` repeatedly, with a pause after each write, until a write
/// fails.
fn write_endlessly(stream: &mut TcpStream, first: &str, more: &[u8], pause: Duration) {
    let mut is_open = stream.write_all(first.as_bytes()).is_ok();
    while is_open {
        is_open = stream.write_all(more).is_ok();
        std::thread::sleep(pause);
    }
}

/// Waits until the peer closes the connection.
fn wait_for_close(stream: &mut TcpStream) {
    let mut byte = [0];
    while let Ok(1..) = stream.read(&mut byte) {}
}

/// Simulates a target and counts its requests in flight. The path of a request selects which
/// kind of endless answer it gets.
fn simulate_target(listener: TcpListener, in_flight: Arc<AtomicUsize>) {
    for stream in listener.incoming().map_while(Result::ok) {
        let in_flight = in_flight.clone();
        std::thread::spawn(move || {
            let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
            let mut stream = stream;
            loop {
                let lines = reader.by_ref().lines().map_while(Result::ok);
                let head: Vec<String> = lines.take_while(|line| !line.is_empty()).collect();
                let Some(first) = head.first() else {
                    return;
                };
                let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
                let id = path.rsplit('/').next().unwrap_or_default();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nbronzeport-request-id: {id}\r\n\
                     bronzeport-server-signature: s\r\n"
                );
                in_flight.fetch_add(1, Ordering::SeqCst);
                let none = Duration::ZERO;
                match id.split('-').next().unwrap_or_default() {
                    "head" => {
                        write_endlessly(&mut stream, &answer, b"x: yyyyyyyyyyyyyyyy\r\n", none)
                    }
                    "body" => {
                        let first = format!("{answer}transfer-encoding: chunked\r\n\r\n");
                        write_endlessly(&mut stream, &first, b"4\r\nyyyy\r\n", none);
                    }
                    "drip" => {
                        let first = format!("{answer}content-length: 100000\r\n\r\n");
                        write_endlessly(&mut stream, &first, b"y", Duration::from_millis(20));
                    }
                    "hang" => wait_for_close(&mut stream),
                    _ => {
                        let whole = format!("{answer}content-length: 0\r\n\r\n");
                        let is_open = stream.write_all(whole.as_bytes()).is_ok();
                        in_flight.fetch_sub(1, Ordering::SeqCst);
                        if is_open {
                            continue;
                        }
                        return;
                    }
                }
                in_flight.fetch_sub(1, Ordering::SeqCst);
                return;
            }
        });
    }
}

/// Returns the peak resident memory of a host's daemon.
fn peak_memory_kb(mesh: &Mesh, host: usize) -> u64 {
    let process = mesh.daemon_id(host).expect("the daemon is running");
    let status =
        std::fs::read_to_string(format!("/proc/{process}/status")).expect("the daemon is running");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .expect("the kernel reports the peak memory");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).expect("a number")
}

/// A non-repeatable request that a target has started is not cancelled when its caller
/// disconnects. Such a request with an endless answer used to hold its slot for ever.
#[test]
fn endless_answers_hold_no_slot_beyond_the_deadline() {
    let mesh = mesh();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let in_flight = Arc::new(AtomicUsize::new(0));
    let target_in_flight = in_flight.clone();
    std::thread::spawn(move || simulate_target(listener, target_in_flight));
    let announced = mesh.replace_target(0, address);
    common::announce(mesh.announce(0), "i-endless", announced, SLOTS, 60_000);
    let entry = mesh.callers(0);
    let is_served = || call(entry, "POST", "/order/first", 1000) == "200";
    wait_until(TIMEOUT, is_served).expect("the simulated target is in use");
    for kind in ["head", "body", "drip", "hang"] {
        let callers: Vec<_> = (0..2 * SLOTS)
            .map(|number| {
                let path = format!("/order/{kind}-{number}");
                std::thread::spawn(move || call(entry, "POST", &path, 400))
            })
            .collect();
        for caller in callers {
            let status = caller.join().expect("the caller thread finishes");
            assert!(["502", "503", "504"].contains(&&*status), "{kind}: {status}");
        }
        let is_over = || in_flight.load(Ordering::SeqCst) == 0;
        assert!(
            wait_until(Duration::from_secs(2), is_over).is_some(),
            "{kind}: requests are still in flight after 2 s"
        );
        assert_eq!(call(entry, "POST", &format!("/order/after-{kind}"), 1000), "200");
    }
    let peak = peak_memory_kb(&mesh, 0);
    assert!(peak < MAX_MEMORY_KB, "peak memory of {peak} kB, the limit is {MAX_MEMORY_KB} kB");
}

#[test]
fn endless_requests_are_refused_in_bounded_memory() {
    let mesh = mesh();
    let head = "POST /order/x HTTP/1.1\r\nhost: soak.example\r\nbronzeport-request-id: x\r\n";
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    for (first, more) in [(head, &b"x: yyyyyyyyyyyyyyyy\r\n"[..]), (&*chunked, b"4\r\nyyyy\r\n")] {
        let mut stream =
            TcpStream::connect(mesh.callers(0)).expect("the daemon accepts connections");
        stream.set_write_timeout(Some(TIMEOUT)).expect("a socket option");
        let started = Instant::now();
        write_endlessly(&mut stream, first, &more.repeat(64), Duration::ZERO);
        assert!(
            started.elapsed() < TIMEOUT * 2,
            "the endless request was refused only after {:?}",
            started.elapsed()
        );
    }
    assert_eq!(call(mesh.callers(0), "GET", "/read/after", 1000), "200");
    let peak = peak_memory_kb(&mesh, 0);
    assert!(peak < MAX_MEMORY_KB, "peak memory of {peak} kB, the limit is {MAX_MEMORY_KB} kB");
}
