//! Callers' keys and organisations on the platform's interface, with real processes.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use lab::fleet::wait_until;
use lab::soak::host::Mesh;
use serde_json::{Value, json};

const KEY: &str = "k-9f3b71c2";
const TIMEOUT: Duration = Duration::from_secs(10);

/// Writes a configuration with a public and a non-public route and these tenants.
fn publish(mesh: &Mesh, version: u64, tenants: &Value) {
    let path = |name: &str, prefix: &str, public: bool| {
        json!({
            "name": name, "prefix": prefix, "kind": "safe", "timeout": "8s",
            "service": "desk", "max_attempts": 2, "public": public,
        })
    };
    let paths = [
        path("read", "/read/", false),
        path("slow", "/slow/", false),
        path("inner", "/inner/", true),
    ];
    let config = json!({
        "version": version,
        "services": [{ "name": "desk", "health_path": "/healthz" }],
        "virtual_hosts": [{ "hostname": "soak.example", "paths": paths }],
        "tenants": tenants,
    });
    let write = store::Write {
        key: "op/config".into(),
        condition: store::Condition::Always,
        value: config.to_string().into(),
    };
    lab::fleet::with_store(mesh.store(), async |store| store.commit(vec![write]).await);
}

/// A connection of a caller that stays open.
struct Caller(TcpStream);

impl Caller {
    fn connect(entry: SocketAddr) -> Self {
        let stream = TcpStream::connect(entry).expect("the daemon accepts connections");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket option");
        Self(stream)
    }

    /// Sends a request and returns the status of the response.
    fn call(&self, path: &str, id: &str, headers: &str) -> u16 {
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: soak.example\r\nbronzeport-request-id: {id}\r\n\
             bronzeport-deadline-ms: 8000\r\nbronzeport-tenant-id: forged\r\n{headers}\r\n"
        );
        (&self.0).write_all(head.as_bytes()).expect("the request is sent");
        let mut response = Vec::new();
        while !response.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            (&self.0).read_exact(&mut byte).expect("the head of the response is complete");
            response.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&response).to_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        (&self.0).read_exact(&mut vec![0; length]).expect("the body of the response is complete");
        head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Returns the new lines of all targets that begin with `word`.
fn target_lines(mesh: &Mesh, word: &str) -> Vec<Box<str>> {
    std::thread::sleep(Duration::from_millis(50));
    let lines = (0..5).flat_map(|host| mesh.target_lines(host));
    lines.filter(|line| line.starts_with(word)).collect()
}

/// Guards against a key that reaches a target or a log line, an organisation that a caller
/// claims, and a removed key that still works on an open connection.
#[test]
fn callers_are_identified_by_key_as_long_as_it_is_in_force() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let mesh = Mesh::start(5, 7, None).expect("the processes start");
    let bearer = format!("authorization: Bearer {KEY}\r\n");
    let caller = Caller::connect(mesh.callers(1));
    assert_eq!(caller.call("/read/x", "plain", &bearer), 200);
    let lines = target_lines(&mesh, "");
    assert!(lines.iter().any(|line| **line == *"authorization plain"), "{lines:?}");
    assert!(!lines.iter().any(|line| line.starts_with("organisation")), "{lines:?}");

    publish(&mesh, 1000, &json!([{ "name": "north", "api_keys": [KEY], "priority": 1 }]));
    let is_in_force = || caller.call("/read/x", "probe", "") == 401;
    wait_until(TIMEOUT, is_in_force).expect("the configuration is in force");
    let _before = target_lines(&mesh, "");
    assert_eq!(caller.call("/read/x", "keyed", &bearer), 200);
    assert_eq!(caller.call("/inner/x", "keyed-inner", &bearer), 200);
    assert_eq!(caller.call("/inner/x", "inner", ""), 200);
    assert_eq!(caller.call("/inner/x", "odd", "authorization: Bearer x\r\n"), 200);
    assert_eq!(caller.call("/read/x", "unknown", "authorization: Bearer x\r\n"), 401);
    assert_eq!(caller.call("/read/x", "twice", &bearer.repeat(2)), 401);
    assert_eq!(caller.call("/none/x", "none", ""), 404);
    let lines = target_lines(&mesh, "");
    let mut identified: Vec<&str> =
        lines.iter().filter_map(|line| line.strip_prefix("organisation ")).collect();
    identified.sort_unstable();
    assert_eq!(identified, ["keyed north", "keyed-inner north"]);
    assert!(!lines.iter().any(|line| line.starts_with("authorization")), "{lines:?}");

    publish(&mesh, 1001, &json!([{ "name": "north", "api_keys": ["k-other"] }]));
    let is_removed = || caller.call("/read/x", "removed", &bearer) == 401;
    wait_until(TIMEOUT, is_removed).expect("the key is no longer in force");
    let mut is_logged = false;
    for host in 0..5 {
        let lines = mesh.daemon_lines(host);
        is_logged |= lines.iter().any(|line| line.contains("unknown-key"));
        assert!(!lines.iter().any(|line| line.contains(KEY)), "{lines:?}");
    }
    assert!(is_logged, "a refusal of an unknown key is logged");
}

/// Sends requests of 2 s at the same time over connections of their own. Returns the threads, which
/// end with the statuses of the responses.
fn send_slow(mesh: &Mesh, name: &str, key: &str, count: usize) -> Vec<JoinHandle<u16>> {
    let send = |number: usize| {
        let caller = Caller::connect(mesh.callers(number % 5));
        let (id, bearer) = (format!("{name}-{number}"), format!("authorization: Bearer {key}\r\n"));
        std::thread::spawn(move || caller.call("/slow/x", &id, &bearer))
    };
    (0..count).map(send).collect()
}

/// An organisation of a low priority sends more requests than can be answered in time, and then
/// one of a high priority sends some. Guards against an organisation or a priority that is lost
/// between the key and the guard's queue: the latter would be refused, since they come last.
#[test]
fn a_higher_priority_is_served_when_a_lower_one_has_filled_the_queues() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let mesh = Mesh::start(5, 7, None).expect("the processes start");
    let tenants = json!([
        { "name": "low", "api_keys": ["k-low"], "priority": 5 },
        { "name": "high", "api_keys": ["k-high"], "priority": 1 },
    ]);
    publish(&mesh, 1000, &tenants);
    let caller = Caller::connect(mesh.callers(0));
    wait_until(TIMEOUT, || caller.call("/read/x", "probe", "") == 401).expect("it is in force");
    let low = send_slow(&mesh, "low", "k-low", 150);
    std::thread::sleep(Duration::from_millis(500));
    let high = send_slow(&mesh, "high", "k-high", 12);
    let statuses = |threads: Vec<JoinHandle<u16>>| -> Vec<u16> {
        threads.into_iter().map(|thread| thread.join().expect("a response arrives")).collect()
    };
    let (low, high) = (statuses(low), statuses(high));
    assert!(low.contains(&503) && low.contains(&200), "{low:?}");
    assert!(high.iter().all(|status| *status == 200), "{high:?} beside {low:?}");
}
