//! End-to-end tests of the platform's interface with real processes.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lab::fleet::{wait_for_listener, wait_until};
use lab::ports::free_addresses;
use lab::soak::host::Mesh;
use serde_json::json;

/// Hosts 0, 2 and 4 serve `desk`, hosts 1 and 3 serve `desk-archive`.
const HOSTS: usize = 5;
const TIMEOUT: Duration = Duration::from_secs(10);

fn mesh() -> Mesh {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    Mesh::start(HOSTS, 7, None).expect("the processes start")
}

struct Response {
    status: u16,
    body: String,
    retry_after: Option<String>,
    has_signature: bool,
    took: Duration,
}

fn call(entry: SocketAddr, method: &str, path: &str, id: &str, deadline_ms: u64) -> Response {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build();
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{entry}{path}"))
        .header("host", "soak.example")
        .header("bronzeport-request-id", id)
        .header("bronzeport-deadline-ms", deadline_ms.to_string())
        .header("bronzeport-caller-service", "forged")
        .body(String::from("body"))
        .expect("a valid request");
    let started = Instant::now();
    let mut response =
        ureq::Agent::new_with_config(config).run(request).expect("the daemon answers");
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    Response {
        status: response.status().as_u16(),
        retry_after: header("retry-after"),
        has_signature: header("bronzeport-server-signature").is_some(),
        body: response.body_mut().read_to_string().unwrap_or_default(),
        took: started.elapsed(),
    }
}

/// Sends raw bytes and returns the received text. Reading ends when the peer closes the
/// connection or sends nothing for a second.
fn exchange(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).expect("the daemon accepts connections");
    stream.set_read_timeout(Some(Duration::from_secs(1))).expect("a socket option");
    stream.write_all(bytes).expect("the request is sent");
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        text.extend_from_slice(&buffer[..length]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Returns the new lines of all targets that begin with `word`.
fn lines_starting_with(mesh: &Mesh, word: &str) -> Vec<Box<str>> {
    std::thread::sleep(Duration::from_millis(50));
    let lines = (0..HOSTS).flat_map(|host| mesh.target_lines(host));
    lines.filter(|line| line.starts_with(word)).collect()
}

#[test]
fn a_request_carries_the_callers_service_and_the_remaining_deadline_to_the_target() {
    let mesh = mesh();
    let read = call(mesh.callers(1), "GET", "/read/x?q=1", "r-1", 700);
    assert_eq!((read.status, &*read.body), (200, "r-1 /read/x body"));
    assert!(read.has_signature);
    let order = call(mesh.callers(2), "POST", "/order/y", "o-1", 700);
    assert_eq!((order.status, &*order.body), (200, "o-1 /order/y body"));
    let runs = lines_starting_with(&mesh, "run ");
    let words: Vec<Vec<&str>> = runs.iter().map(|line| line.split(' ').collect()).collect();
    let run =
        |id: &str| words.iter().find(|words| words[2] == id).expect("the request ran").clone();
    assert_eq!(run("r-1")[3], mesh.service(1));
    assert_eq!(run("o-1")[3], mesh.service(2));
    for id in ["r-1", "o-1"] {
        let left: u64 = run(id)[4].parse().expect("a number");
        assert!((300..=700).contains(&left), "{left} ms of 700 are left");
    }
    assert_eq!(call(mesh.callers(0), "GET", "/none/x", "n-1", 700).status, 404);
}

#[test]
fn a_daemon_without_a_configuration_is_not_ready_and_answers_503() {
    let mut mesh = mesh();
    for host in 0..HOSTS {
        mesh.kill_daemon(host);
    }
    mesh.set_store_faults(&json!({ "silent": true }));
    mesh.start_daemon(0).expect("the daemon starts");
    wait_for_listener(mesh.callers(0)).expect("the daemon accepts connections");
    let response = call(mesh.callers(0), "GET", "/none/x", "n-1", 700);
    assert_eq!(response.status, 503, "{}", response.body);
    assert!(
        exchange(mesh.ready(0), b"GET /api/readyz HTTP/1.1\r\nhost: x\r\n\r\n").contains(" 503 ")
    );
}

#[test]
fn a_daemon_killed_and_restarted_without_the_store_syncs_from_its_peers() {
    let mut mesh = mesh();
    mesh.set_store_faults(&json!({ "silent": true }));
    mesh.kill_daemon(0);
    std::thread::sleep(Duration::from_millis(500));
    mesh.start_daemon(0).expect("the daemon starts");
    mesh.wait_until_ready().expect("the daemon syncs from its peers");
    let response = call(mesh.callers(0), "GET", "/read/x", "r-1", 700);
    assert_eq!(response.status, 200, "{}", response.body);
}

/// Incident inc-5ca9 (bench, empadas-vale): after a planned stop the other daemons no longer
/// tried to contact the address, so a replacement that could not read the store stayed alone.
#[test]
fn a_daemon_stopped_and_replaced_without_the_store_syncs_from_its_peers() {
    let mut mesh = mesh();
    mesh.set_store_faults(&json!({ "silent": true }));
    mesh.signal_daemon(0, "TERM");
    let stopping_mesh = std::cell::RefCell::new(&mut mesh);
    wait_until(TIMEOUT, || stopping_mesh.borrow_mut().has_exited(0)).expect("the daemon exits");
    std::thread::sleep(Duration::from_millis(500));
    mesh.start_daemon(0).expect("the daemon starts");
    let entry = mesh.callers(0);
    wait_for_listener(entry).expect("the daemon accepts connections");
    let is_served = || call(entry, "GET", "/read/x", "r-1", 700).status == 200;
    wait_until(Duration::from_secs(2), is_served)
        .expect("its peers contact the new daemon within two seconds");
}

#[test]
fn a_leaving_target_gets_no_new_requests_while_the_store_is_down() {
    let mesh = mesh();
    mesh.set_store_faults(&json!({ "down": true }));
    mesh.set_target_behaviour(0, &json!({ "leave": true }));
    let acked = || mesh.target_lines(0).iter().any(|line| line.starts_with("acked"));
    wait_until(TIMEOUT, acked).expect("the daemon acknowledges the target's leaving");
    let _before = lines_starting_with(&mesh, "run ");
    for number in 0..30 {
        let entry = mesh.callers(number % HOSTS);
        let response =
            call(entry, "POST", &format!("/order/{number}"), &format!("o-{number}"), 700);
        assert_eq!(response.status, 200, "{}", response.body);
    }
    let late_runs = mesh.target_lines(0).into_iter().filter(|line| line.starts_with("run "));
    assert_eq!(late_runs.count(), 0);
    assert_eq!(
        lines_starting_with(&mesh, "run ").len(),
        30,
        "each order runs once, on the other targets"
    );
}

#[test]
fn a_caller_disconnect_cancels_the_request_on_both_hops() {
    let mesh = mesh();
    for number in 0..8 {
        let mut stream =
            TcpStream::connect(mesh.callers(0)).expect("the daemon accepts connections");
        let head = format!(
            "GET /slow/{number} HTTP/1.1\r\nhost: soak.example\r\n\
             bronzeport-request-id: s-{number}\r\nbronzeport-deadline-ms: 4000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("the request is sent");
        std::thread::sleep(Duration::from_millis(150));
    }
    std::thread::sleep(Duration::from_millis(2500));
    let all = lines_starting_with(&mesh, "ra");
    assert_eq!(all.iter().filter(|line| line.starts_with("ran ")).count(), 0, "{all:?}");
}

#[test]
fn malformed_smuggled_and_oversized_requests_reach_no_target() {
    let mesh = mesh();
    let entry = mesh.callers(0);
    let head = "POST /order/x HTTP/1.1\r\nhost: soak.example\r\nbronzeport-request-id: b-1\r\n";
    let cases = [
        ("garbage\r\n\r\n".to_owned(), "400"),
        (format!("{head}content-length: 3\r\ncontent-length: 5\r\n\r\nabcde"), "400"),
        (format!("{head}bronzeport-deadline-ms: soon\r\ncontent-length: 0\r\n\r\n"), "400"),
        (format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"), "400"),
        (format!("{head}x: {}\r\n\r\n", "y".repeat(400_000)), "431"),
        ("POST /order/x HTTP/1.1\r\nhost: soak.example\r\ncontent-length: 0\r\n\r\n".into(), "400"),
    ];
    for (bytes, status) in cases {
        let response = exchange(entry, bytes.as_bytes());
        let first = response.lines().next().unwrap_or_default();
        assert!(first.contains(status), "got `{first}`, expected status {status}");
    }
    // A request with both a content length and chunked encoding is refused, and the bytes
    // after it are not parsed as another request.
    let both = format!(
        "{head}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n\
         POST /order/smuggled HTTP/1.1\r\nhost: soak.example\r\n\r\n"
    );
    let response = exchange(entry, both.as_bytes());
    assert!(!response.contains("smuggled"), "{response}");
    let runs = lines_starting_with(&mesh, "run ");
    assert!(runs.iter().all(|line| line.contains(" b-1 ")), "{runs:?}");
    assert!(runs.len() <= 1, "{runs:?}");
    assert_eq!(
        call(entry, "GET", "/read/x", "r-1", 700).status,
        200,
        "the daemon still serves requests"
    );
}

#[test]
fn forged_notices_have_no_effect() {
    let mesh = mesh();
    let text = r#"{"address":"10.0.0.9:1","info":{"service":9},"status":{}}"#;
    for body in [text, "", "{", "[]"] {
        let post = format!(
            "POST /api/Instances.Heartbeat/forged HTTP/1.1\r\nhost: x\r\n\
             content-length: {}\r\nconnection: close\r\n\r\n{body}",
            body.len()
        );
        assert!(exchange(mesh.announce(0), post.as_bytes()).starts_with("HTTP/1.1 400"));
    }
    let response = call(mesh.callers(0), "GET", "/read/x", "r-1", 700);
    assert_eq!(response.status, 200, "{}", response.body);
}

#[test]
fn a_stopping_daemon_answers_accepted_requests_even_after_a_second_signal() {
    let mut mesh = mesh();
    let entry = mesh.callers(1);
    let call = std::thread::spawn(move || call(entry, "GET", "/slow/x", "s-1", 4000));
    std::thread::sleep(Duration::from_millis(300));
    mesh.signal_daemon(1, "TERM");
    // A readiness check may arrive before the process handles the signal. The daemon must
    // report that it is not ready while the request is still in flight.
    let check = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let is_unready = || exchange(mesh.ready(1), check).contains(" 503 ");
    wait_until(TIMEOUT, is_unready).expect("the daemon reports that it is not ready");
    assert!(
        !call.is_finished(),
        "the daemon reported that it is not ready only after the request had ended"
    );
    std::thread::sleep(Duration::from_millis(300));
    mesh.signal_daemon(1, "TERM");
    let response = call.join().expect("the caller gets an answer");
    assert_eq!(response.status, 200, "{}", response.body);
    let stopping_mesh = std::cell::RefCell::new(&mut mesh);
    wait_until(TIMEOUT, || stopping_mesh.borrow_mut().has_exited(1)).expect("the daemon exits");
}

/// Returns the new log lines about requests of all daemons, read with the parser of the
/// operators' command.
fn request_lines(mesh: &Mesh) -> Vec<(Box<str>, cli::logs::Line)> {
    // Daemons buffer log lines for 100 ms before they write them.
    std::thread::sleep(Duration::from_millis(300));
    let lines = (0..HOSTS).flat_map(|host| mesh.daemon_lines(host));
    lines.filter_map(|line| cli::logs::parse(&line)).collect()
}

/// Returns the lines about the request with this id in causal order.
fn lines_about(lines: &[(Box<str>, cli::logs::Line)], id: &str) -> String {
    let matching = lines.iter().filter(|(found, _)| **found == *id).map(|(_, line)| line.clone());
    let texts = cli::logs::sort_causally(matching.collect()).into_iter().map(|line| line.text());
    texts.collect::<Vec<_>>().join("\n")
}

fn explain(mesh: &Mesh, id: &str) -> String {
    lines_about(&request_lines(mesh), id)
}

#[test]
fn the_log_explains_a_request_refused_in_overload() {
    let mesh = mesh();
    let entry = mesh.callers(0);
    for host in [0, 2, 4] {
        mesh.set_target_behaviour(host, &json!({ "pace": 40.0 }));
    }
    std::thread::sleep(Duration::from_millis(200));
    let calls: Vec<_> = (0..80)
        .map(|number| {
            std::thread::spawn(move || {
                let id = format!("o-{number}");
                (call(entry, "POST", &format!("/order/{number}"), &id, 900), id)
            })
        })
        .collect();
    let responses: Vec<_> =
        calls.into_iter().map(|call| call.join().expect("the caller thread finishes")).collect();
    let refused: Vec<_> = responses.iter().filter(|(response, _)| response.status == 503).collect();
    assert!(refused.len() >= 10, "expected at least 10 of 80 requests to be refused");
    let lines = request_lines(&mesh);
    for (response, id) in refused {
        assert!(response.retry_after.is_some(), "{id}");
        let text = lines_about(&lines, id);
        assert!(text.contains(" refused ") && text.contains("in_flight="), "{id}: {text}");
        assert!(text.contains(" ended ") && text.contains("status=503"), "{id}: {text}");
    }
}

#[test]
fn the_log_explains_an_unknown_outcome_after_a_daemon_is_killed() {
    let mut mesh = mesh();
    for host in [2, 4] {
        mesh.set_target_behaviour(host, &json!({ "leave": true }));
    }
    mesh.set_target_behaviour(0, &json!({ "pace": 40.0 }));
    std::thread::sleep(Duration::from_millis(1200));
    let entry = mesh.callers(1);
    let order = std::thread::spawn(move || call(entry, "POST", "/order/x", "o-x", 4000));
    std::thread::sleep(Duration::from_millis(300));
    mesh.kill_daemon(0);
    let response = order.join().expect("the caller gets an answer");
    assert_eq!(response.status, 502, "{}", response.body);
    assert!(
        response.took < Duration::from_secs(2),
        "the call must fail at once, not at its deadline"
    );
    let text = explain(&mesh, "o-x");
    assert!(text.contains(" failed ") && text.contains("reason=cut"), "{text}");
    assert!(text.contains("outcome=unknown"), "{text}");
}

#[test]
fn the_log_explains_a_late_answer_of_a_slow_target() {
    let mesh = mesh();
    for host in [0, 2, 4] {
        mesh.set_target_behaviour(host, &json!({ "pace": 20.0 }));
    }
    std::thread::sleep(Duration::from_millis(300));
    let response = call(mesh.callers(1), "POST", "/order/x", "o-x", 4000);
    assert_eq!(response.status, 200, "{}", response.body);
    let text = explain(&mesh, "o-x");
    assert!(text.contains("is_late=true") && text.contains("pace=2000"), "{text}");
    assert!(text.contains(" ran ") && text.contains("service_ms="), "{text}");
}

/// Sends orders whose 1 ms deadline cannot be met. Each order causes log lines of its own.
fn send_expiring_orders(entry: SocketAddr, count: usize) {
    let senders = (0..8).map(|sender| {
        std::thread::spawn(move || {
            for number in 0..count / 8 {
                let id = format!("h-{sender}-{number}");
                call(entry, "POST", &format!("/order/{id}"), &id, 1);
            }
        })
    });
    for sender in senders.collect::<Vec<_>>() {
        sender.join().expect("each call is answered");
    }
}

#[test]
fn the_rate_of_request_log_lines_is_bounded() {
    let mesh = mesh();
    let _before = mesh.daemon_lines(0);
    let started = Instant::now();
    send_expiring_orders(mesh.callers(0), 2000);
    std::thread::sleep(Duration::from_millis(300));
    let lines = mesh.daemon_lines(0);
    let count = lines.iter().filter(|line| cli::logs::parse(line).is_some()).count() as f64;
    let allowed = 240.0 + 60.0 * (started.elapsed().as_secs_f64() + 1.0);
    assert!(
        count > 100.0 && count <= allowed,
        "{count} lines about requests, expected 100 to {allowed}"
    );
}

#[test]
fn a_blocked_standard_output_delays_no_request() {
    let mesh = mesh();
    let [callers, peers, admin] = free_addresses().expect("ports are left");
    let flags = [
        ("--interface", "platform".to_owned()),
        ("--listen", callers.to_string()),
        ("--peer-listen", peers.to_string()),
        ("--admin", admin.to_string()),
        ("--data-centre", "zone-0".into()),
        ("--platform", mesh.store().to_string()),
    ];
    let flags = flags.iter().flat_map(|(flag, value)| [*flag, &**value]);
    let mut command = Command::new(env!("CARGO_BIN_EXE_lab"));
    command.arg("daemon").args(flags).stdin(Stdio::null()).stdout(Stdio::piped());
    let mut daemon = lab::ports::spawn(&mut command).expect("the daemon starts");
    wait_for_listener(callers).expect("the daemon accepts connections");
    let is_up = || call(callers, "GET", "/read/x", "up", 900).status == 200;
    wait_until(TIMEOUT, is_up).expect("the daemon syncs from its peers");
    // A pipe holds 64 KiB, and the lines about these orders are longer than that.
    for _ in 0..4 {
        send_expiring_orders(callers, 400);
        std::thread::sleep(Duration::from_millis(1000));
    }
    for number in 0..20 {
        let response =
            call(callers, "GET", &format!("/read/{number}"), &format!("r-{number}"), 900);
        assert_eq!(response.status, 200, "{}", response.body);
    }
    daemon.kill().expect("the daemon is killed");
    daemon.wait().expect("the daemon has exited");
}

/// Issue 10: the operator's limit on the connections to a target was not used.
#[test]
fn max_connections_limits_concurrent_requests_below_the_slots() {
    let mesh = mesh();
    // Two of the three connections are reserved for health checks, which leaves one for
    // requests.
    let services = json!([{ "name": "desk", "health_path": "/healthz", "max_connections": 3 }]);
    // Each order is sent to one target only and is not cancelled there.
    common::publish(&mesh, "/order/", "unsafe", &services);
    let is_published = || call(mesh.callers(0), "GET", "/read/x", "gone", 500).status == 404;
    wait_until(TIMEOUT, is_published).expect("the configuration is in force");
    std::thread::scope(|scope| {
        for number in 0..48 {
            let entry = mesh.callers(number % HOSTS);
            let id = format!("s-{number}");
            scope.spawn(move || call(entry, "POST", "/order/x", &id, 4500).status);
        }
    });
    std::thread::sleep(Duration::from_millis(50));
    for host in [0, 2, 4] {
        let lines = mesh.target_lines(host);
        let mut running = 0;
        for line in lines.iter().filter(|line| line.contains(" s-")) {
            running += if line.starts_with("run ") { 1 } else { -1 };
            assert!(running <= 1, "{lines:?}");
        }
    }
}

#[test]
fn a_target_without_a_configured_health_path_stays_in_use() {
    let mesh = mesh();
    common::publish(&mesh, "/read/", "safe", &json!([]));
    let is_published = || call(mesh.callers(0), "GET", "/slow/x", "gone", 500).status == 404;
    wait_until(TIMEOUT, is_published).expect("the configuration is in force");
    let _before = mesh.daemon_lines(0);
    std::thread::sleep(Duration::from_millis(3500));
    let lines = mesh.daemon_lines(0);
    let lost = lines.iter().filter(|line| line.contains("takes no connections"));
    assert_eq!(lost.count(), 0, "{lines:?}");
    assert_eq!(call(mesh.callers(1), "GET", "/read/x", "r-1", 900).status, 200);
}

/// Simulates a target on `listener`. It holds the request with the id `held` until a message
/// arrives on `go_on`, and then answers 421: the request was meant for another process.
fn simulate_target(listener: TcpListener, go_on: Receiver<()>) {
    let go_on = Arc::new(Mutex::new(go_on));
    for stream in listener.incoming().map_while(Result::ok) {
        let go_on = go_on.clone();
        std::thread::spawn(move || {
            let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
            let mut stream = stream;
            loop {
                let head: Vec<String> = reader
                    .by_ref()
                    .lines()
                    .map_while(Result::ok)
                    .take_while(|line| !line.is_empty())
                    .collect();
                let Some(first) = head.first() else {
                    return;
                };
                let id = head.iter().find_map(|line| {
                    let (name, value) = line.split_once(": ")?;
                    name.eq_ignore_ascii_case("bronzeport-request-id").then(|| value.to_owned())
                });
                let id = id.unwrap_or_default();
                let status = match (first.contains("/healthz"), &*id) {
                    (false, "held") => {
                        let _ = go_on.lock().expect("a single request is held").recv();
                        "421 Misdirected"
                    }
                    _ => "200 OK",
                };
                let answer = format!(
                    "HTTP/1.1 {status}\r\nbronzeport-request-id: {id}\r\n\
                     bronzeport-server-signature: s\r\ncontent-length: 0\r\n\r\n"
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// Soak seed 24, when run at the same time as other seeds: a target was restarted at the same
/// address and answered 421 to a request for its earlier process. The guard attributed the
/// answer to the new process, which stayed out of use because no further notice about it
/// followed.
#[test]
fn a_late_421_for_an_earlier_process_does_not_eject_its_successor() {
    let mesh = mesh();
    for host in [2, 4] {
        mesh.set_target_behaviour(host, &json!({ "leave": true }));
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let announced = mesh.replace_target(0, address);
    let (release, go_on) = std::sync::mpsc::channel();
    std::thread::spawn(move || simulate_target(listener, go_on));
    let announce = |instance: &str, born_after_ms: u64| {
        common::announce(mesh.announce(0), instance, announced, 8, born_after_ms);
    };
    announce("i-earlier", 60_000);
    let entry = mesh.callers(0);
    let held = std::thread::spawn(move || call(entry, "GET", "/read/1", "held", 4000));
    std::thread::sleep(Duration::from_millis(300));
    announce("i-later", 120_000);
    release.send(()).expect("the simulated target is running");
    held.join().expect("the caller gets an answer");
    // Answers of the simulated target are empty, unlike those of the host's regular target.
    let is_served = || {
        let response = call(entry, "GET", "/read/2", "next", 1000);
        response.status == 200 && response.body.is_empty()
    };
    assert!(
        wait_until(Duration::from_secs(3), is_served).is_some(),
        "the later process is not in use within 3 s"
    );
    std::thread::sleep(Duration::from_secs(1));
    assert!(is_served(), "the later process is no longer in use");
}
