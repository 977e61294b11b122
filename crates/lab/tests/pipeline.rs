//! Requests sent before earlier ones have their answers, over the whole path with real
//! processes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use lab::fleet::wait_until;
use lab::soak::host::Mesh;

const HOSTS: usize = 3;
const LIMIT: Duration = Duration::from_secs(10);

fn mesh() -> Mesh {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    Mesh::start(HOSTS, 7, None).expect("the processes start")
}

/// The bytes of a request without a body, its id the last part of its path.
fn request(method: &str, path: &str, headers: &str) -> String {
    let id = path.rsplit('/').next().unwrap_or_default();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: soak.example\r\nbronzeport-request-id: {id}\r\n\
         bronzeport-deadline-ms: 8000\r\n{headers}content-length: 0\r\n\r\n"
    )
}

/// Sends bytes on a connection of its own and reads until the other side closes.
fn send(entry: SocketAddr, bytes: String) -> JoinHandle<String> {
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(entry).expect("it listens");
        stream.set_read_timeout(Some(LIMIT)).expect("a socket option");
        stream.write_all(bytes.as_bytes()).expect("it reads");
        let mut answer = Vec::new();
        // What came before a reset counts, too.
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    })
}

/// The ids whose bodies came back, in order.
fn answered(answer: &str) -> Vec<String> {
    let bodies = answer.split("\r\n\r\n").skip(1);
    let ids = bodies.filter_map(|body| body.split(' ').next().map(str::to_owned));
    ids.filter(|id| id.contains('-') && !id.contains("HTTP")).collect()
}

/// What the targets have written, in full: each line comes once.
#[derive(Default)]
struct Lines(Vec<Box<str>>);

impl Lines {
    /// Times and ids of all lines so far that begin with `word`.
    fn of(&mut self, mesh: &Mesh, word: &str) -> Vec<(u64, String)> {
        self.0.extend((0..HOSTS).flat_map(|host| mesh.target_lines(host)));
        let words = self.0.iter().filter_map(|line| {
            let mut words = line.split(' ');
            let is_wanted = words.next() == Some(word);
            let time = words.next()?.parse().ok()?;
            is_wanted.then(|| (time, words.next().unwrap_or_default().to_owned()))
        });
        words.collect()
    }

    /// Waits until so many lines begin with `word`.
    fn wait_for(&mut self, mesh: &Mesh, word: &str, count: usize) {
        let lines = std::cell::RefCell::new(self);
        let is_there = || lines.borrow_mut().of(mesh, word).len() >= count;
        wait_until(LIMIT, is_there).expect("so many requests get there");
    }
}

fn time_of(lines: &[(u64, String)], id: &str) -> u64 {
    let found = lines.iter().find(|(_, known)| known == id);
    found.unwrap_or_else(|| panic!("{id} is not among {lines:?}")).0
}

#[test]
fn reads_run_beside_each_other_and_an_order_after_all_before_it() {
    let mesh = mesh();
    let bytes = request("GET", "/slow/s-1", "")
        + &request("GET", "/read/r-2", "")
        + &request("POST", "/order/o-3", "")
        + &request("GET", "/read/r-4", "connection: close\r\n");
    let answer = send(mesh.callers(0), bytes).join().expect("it ends");
    assert_eq!(answered(&answer), ["s-1", "r-2", "o-3", "r-4"], "{answer}");
    let mut lines = Lines::default();
    lines.wait_for(&mesh, "ran", 4);
    let (begun, ended) = (lines.of(&mesh, "run"), lines.of(&mesh, "ran"));
    assert!(time_of(&begun, "r-2") < time_of(&ended, "s-1"), "{begun:?} {ended:?}");
    assert!(time_of(&begun, "o-3") >= time_of(&ended, "s-1"), "{begun:?} {ended:?}");
    assert!(time_of(&begun, "r-4") >= time_of(&ended, "o-3"), "{begun:?} {ended:?}");
}

#[test]
fn a_caller_that_leaves_cancels_all_that_it_has_sent() {
    let mesh = mesh();
    let mut stream = TcpStream::connect(mesh.callers(1)).expect("it listens");
    let bytes: String =
        (0..4).map(|number| request("GET", &format!("/slow/s-{number}"), "")).collect();
    stream.write_all(bytes.as_bytes()).expect("it reads");
    let mut lines = Lines::default();
    lines.wait_for(&mesh, "run", 4);
    drop(stream);
    std::thread::sleep(Duration::from_millis(2500));
    assert!(lines.of(&mesh, "ran").is_empty());
}

/// Pattern: a planned stop under callers that send on. Whatever a target has begun comes
/// back; what does not come back was not begun.
#[test]
fn a_planned_stop_cuts_nothing_that_was_passed_on() {
    let mut mesh = mesh();
    let entry = mesh.callers(1);
    let callers: Vec<JoinHandle<String>> = (0..6)
        .map(|caller| {
            let slow = request("GET", &format!("/slow/s-{caller}"), "");
            let reads: String = (0..30)
                .map(|number| request("GET", &format!("/read/r-{caller}-{number}"), ""))
                .collect();
            let order = request("POST", &format!("/order/o-{caller}"), "");
            send(entry, slow + &reads + &order)
        })
        .collect();
    let mut lines = Lines::default();
    lines.wait_for(&mesh, "run", 6);
    mesh.signal_daemon(1, "TERM");
    let answers = callers.into_iter().map(|caller| caller.join().expect("it ends"));
    let came: Vec<String> = answers.flat_map(|answer| answered(&answer)).collect();
    // A line may reach this process a little later than the answer.
    std::thread::sleep(Duration::from_millis(200));
    let begun = lines.of(&mesh, "run").into_iter().map(|(_, id)| id);
    let lost: Vec<String> = begun.filter(|id| !came.contains(id)).collect();
    assert!(lost.is_empty(), "{lost:?} ran without an answer; {} came", came.len());
    assert!(came.len() >= 6, "{came:?}");
    let waited = std::cell::RefCell::new(&mut mesh);
    wait_until(LIMIT, || waited.borrow_mut().has_exited(1)).expect("it ends");
}
