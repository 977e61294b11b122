//! Bytes that are no answer and no request, and that do not end until the other side
//! closes.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lab::fleet::wait_until;
use lab::soak::host::Mesh;

/// Host 0 answers for `desk`, host 1 for `desk-archive`.
const HOSTS: usize = 2;
const LIMIT: Duration = Duration::from_secs(10);
/// Requests that the target here runs at a time.
const SLOTS: usize = 2;
/// Memory of a daemon, by the target size.
const MAX_MEMORY_KB: u64 = 128 * 1024;

fn mesh() -> Mesh {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    Mesh::start(HOSTS, 7, None).expect("the processes start")
}

/// Sends a request and gives the status of its answer, which may be cut short.
fn call(entry: SocketAddr, method: &str, path: &str, deadline_ms: u64) -> String {
    let id = path.rsplit('/').next().unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: soak.example\r\nbronzeport-request-id: {id}\r\n\
         bronzeport-deadline-ms: {deadline_ms}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    let mut stream = TcpStream::connect(entry).expect("it listens");
    stream.set_read_timeout(Some(LIMIT)).expect("a socket option");
    stream.write_all(head.as_bytes()).expect("it reads");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Writes `first` and then `more` for ever, with a pause between, until that fails.
fn write_for_ever(stream: &mut TcpStream, first: &str, more: &[u8], pause: Duration) {
    let mut is_open = stream.write_all(first.as_bytes()).is_ok();
    while is_open {
        is_open = stream.write_all(more).is_ok();
        std::thread::sleep(pause);
    }
}

/// Waits until the other side closes.
fn wait_for_close(stream: &mut TcpStream) {
    let mut byte = [0];
    while let Ok(1..) = stream.read(&mut byte) {}
}

/// Plays a target whose answers do not end, by the path of the request, and counts those
/// that are under way.
fn play_target(listener: TcpListener, under_way: Arc<AtomicUsize>) {
    for stream in listener.incoming().map_while(Result::ok) {
        let under_way = under_way.clone();
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
                under_way.fetch_add(1, Ordering::SeqCst);
                let none = Duration::ZERO;
                match id.split('-').next().unwrap_or_default() {
                    "head" => {
                        write_for_ever(&mut stream, &answer, b"x: yyyyyyyyyyyyyyyy\r\n", none)
                    }
                    "body" => {
                        let first = format!("{answer}transfer-encoding: chunked\r\n\r\n");
                        write_for_ever(&mut stream, &first, b"4\r\nyyyy\r\n", none);
                    }
                    "drip" => {
                        let first = format!("{answer}content-length: 100000\r\n\r\n");
                        write_for_ever(&mut stream, &first, b"y", Duration::from_millis(20));
                    }
                    "hang" => wait_for_close(&mut stream),
                    _ => {
                        let whole = format!("{answer}content-length: 0\r\n\r\n");
                        let is_open = stream.write_all(whole.as_bytes()).is_ok();
                        under_way.fetch_sub(1, Ordering::SeqCst);
                        if is_open {
                            continue;
                        }
                        return;
                    }
                }
                under_way.fetch_sub(1, Ordering::SeqCst);
                return;
            }
        });
    }
}

/// Most memory that a host's daemon has had.
fn peak_memory_kb(mesh: &Mesh, host: usize) -> u64 {
    let process = mesh.daemon_id(host).expect("it runs");
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("the kernel tells it");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).expect("a number")
}

/// Requests that may not be repeated and have begun at a target are not given up when
/// their callers go. One whose answer never ended held its slot for ever.
#[test]
fn answers_without_end_hold_no_slot_beyond_the_deadline() {
    let mesh = mesh();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let under_way = Arc::new(AtomicUsize::new(0));
    let counted = under_way.clone();
    std::thread::spawn(move || play_target(listener, counted));
    common::announce(mesh.announce(0), "i-endless", address, SLOTS, 60_000);
    let entry = mesh.callers(0);
    let is_served = || call(entry, "POST", "/order/first", 1000) == "200";
    wait_until(LIMIT, is_served).expect("the new target is served");
    for kind in ["head", "body", "drip", "hang"] {
        let callers: Vec<_> = (0..2 * SLOTS)
            .map(|number| {
                let path = format!("/order/{kind}-{number}");
                std::thread::spawn(move || call(entry, "POST", &path, 400))
            })
            .collect();
        for caller in callers {
            let status = caller.join().expect("it ends");
            assert!(["502", "503", "504"].contains(&&*status), "{kind}: {status}");
        }
        let is_over = || under_way.load(Ordering::SeqCst) == 0;
        assert!(wait_until(Duration::from_secs(2), is_over).is_some(), "{kind} goes on");
        assert_eq!(call(entry, "POST", &format!("/order/after-{kind}"), 1000), "200");
    }
    let peak = peak_memory_kb(&mesh, 0);
    assert!(peak < MAX_MEMORY_KB, "{peak} kB");
}

#[test]
fn requests_without_end_are_refused_in_bounded_memory() {
    let mesh = mesh();
    let head = "POST /order/x HTTP/1.1\r\nhost: soak.example\r\nbronzeport-request-id: x\r\n";
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    for (first, more) in [(head, &b"x: yyyyyyyyyyyyyyyy\r\n"[..]), (&*chunked, b"4\r\nyyyy\r\n")] {
        let mut stream = TcpStream::connect(mesh.callers(0)).expect("it listens");
        stream.set_write_timeout(Some(LIMIT)).expect("a socket option");
        let started = Instant::now();
        write_for_ever(&mut stream, first, &more.repeat(64), Duration::ZERO);
        assert!(started.elapsed() < LIMIT * 2, "it took {:?}", started.elapsed());
    }
    assert_eq!(call(mesh.callers(0), "GET", "/read/after", 1000), "200");
    let peak = peak_memory_kb(&mesh, 0);
    assert!(peak < MAX_MEMORY_KB, "{peak} kB");
}
