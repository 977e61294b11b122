//! End-to-end tests of HTTP pipelining: callers send requests before the earlier ones on the
//! connection are answered.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use lab::fleet::wait_until;
use lab::soak::host::Mesh;

const HOSTS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(10);

fn mesh() -> Mesh {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    Mesh::start(HOSTS, 7, None).expect("the processes start")
}

/// Returns the bytes of a request without a body. Its id is the last segment of the path.
fn request(method: &str, path: &str, headers: &str) -> String {
    let id = path.rsplit('/').next().unwrap_or_default();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: soak.example\r\nbronzeport-request-id: {id}\r\n\
         bronzeport-deadline-ms: 8000\r\n{headers}content-length: 0\r\n\r\n"
    )
}

/// Sends bytes on a new connection and reads until the peer closes it.
fn send(entry: SocketAddr, bytes: String) -> JoinHandle<String> {
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(entry).expect("the daemon accepts connections");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket option");
        stream.write_all(bytes.as_bytes()).expect("the requests are sent");
        let mut answer = Vec::new();
        // Answers received before a connection reset count, too.
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    })
}

/// Returns the ids of the requests whose response bodies were received, in order.
fn response_ids(answer: &str) -> Vec<String> {
    let bodies = answer.split("\r\n\r\n").skip(1);
    let ids = bodies.filter_map(|body| body.split(' ').next().map(str::to_owned));
    ids.filter(|id| id.contains('-') && !id.contains("HTTP")).collect()
}

/// All lines that the targets have printed. [`Mesh`] returns each line only once, so they are
/// kept here.
#[derive(Default)]
struct TargetLines(Vec<Box<str>>);

impl TargetLines {
    /// Returns the times and ids of all lines so far that begin with `word`.
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

    /// Waits until `count` lines begin with `word`.
    fn wait_for(&mut self, mesh: &Mesh, word: &str, count: usize) {
        let lines = std::cell::RefCell::new(self);
        let has_enough = || lines.borrow_mut().of(mesh, word).len() >= count;
        wait_until(TIMEOUT, has_enough).expect("the targets print the expected number of lines");
    }
}

fn time_of(lines: &[(u64, String)], id: &str) -> u64 {
    let found = lines.iter().find(|(_, line_id)| line_id == id);
    found.unwrap_or_else(|| panic!("request {id} is missing in {lines:?}")).0
}

#[test]
fn pipelined_reads_run_concurrently_and_an_order_waits_for_earlier_requests() {
    let mesh = mesh();
    let bytes = request("GET", "/slow/s-1", "")
        + &request("GET", "/read/r-2", "")
        + &request("POST", "/order/o-3", "")
        + &request("GET", "/read/r-4", "connection: close\r\n");
    let answer = send(mesh.callers(0), bytes).join().expect("the caller thread finishes");
    assert_eq!(response_ids(&answer), ["s-1", "r-2", "o-3", "r-4"], "{answer}");
    let mut lines = TargetLines::default();
    lines.wait_for(&mesh, "ran", 4);
    let (started, ended) = (lines.of(&mesh, "run"), lines.of(&mesh, "ran"));
    assert!(time_of(&started, "r-2") < time_of(&ended, "s-1"), "{started:?} {ended:?}");
    assert!(time_of(&started, "o-3") >= time_of(&ended, "s-1"), "{started:?} {ended:?}");
    assert!(time_of(&started, "r-4") >= time_of(&ended, "o-3"), "{started:?} {ended:?}");
}

#[test]
fn a_caller_disconnect_cancels_all_pipelined_requests() {
    let mesh = mesh();
    let mut stream = TcpStream::connect(mesh.callers(1)).expect("the daemon accepts connections");
    let bytes: String =
        (0..4).map(|number| request("GET", &format!("/slow/s-{number}"), "")).collect();
    stream.write_all(bytes.as_bytes()).expect("the requests are sent");
    let mut lines = TargetLines::default();
    lines.wait_for(&mesh, "run", 4);
    drop(stream);
    std::thread::sleep(Duration::from_millis(2500));
    assert!(lines.of(&mesh, "ran").is_empty());
}

/// During a planned stop, while callers pipeline requests, each request that a target has
/// started is answered, and a request without an answer has not been started.
#[test]
fn a_planned_stop_cuts_off_no_forwarded_request() {
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
    let mut lines = TargetLines::default();
    lines.wait_for(&mesh, "run", 6);
    mesh.signal_daemon(1, "TERM");
    let answers =
        callers.into_iter().map(|caller| caller.join().expect("the caller thread finishes"));
    let received: Vec<String> = answers.flat_map(|answer| response_ids(&answer)).collect();
    // A line that a target prints may reach this process later than the answer.
    std::thread::sleep(Duration::from_millis(200));
    let started = lines.of(&mesh, "run").into_iter().map(|(_, id)| id);
    let unanswered: Vec<String> = started.filter(|id| !received.contains(id)).collect();
    assert!(
        unanswered.is_empty(),
        "{unanswered:?} ran without an answer; {} answers were received",
        received.len()
    );
    assert!(received.len() >= 6, "{received:?}");
    let stopping_mesh = std::cell::RefCell::new(&mut mesh);
    wait_until(TIMEOUT, || stopping_mesh.borrow_mut().has_exited(1)).expect("the daemon exits");
}
