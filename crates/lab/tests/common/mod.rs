//! Helpers for the tests that run real processes.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use lab::fleet::{Fleet, Plan, ServicePlan};
use lab::soak::host::Mesh;
use serde_json::Value;

/// Service file of `desk`: a read, an order that must not be repeated, and a repeatable upload.
pub const DESK: &str = r#"service = "desk"
answer_within = "2s"
retry_share = "100%"

[[request]]
name = "read"
method = "GET"
path = "/read/*"
repeat = "safe"

[[request]]
name = "order"
method = "POST"
path = "/orders"
repeat = "never"

[[request]]
name = "upload"
method = "PUT"
path = "/upload"
repeat = "safe"
"#;

/// Response to a caller; its status is 0 if the call failed without a response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub outcome: String,
    pub reason: String,
    pub retry_after: Option<String>,
    pub body: String,
}

/// Plans a fleet with the single service `desk`.
pub fn plan(targets: usize, slots: usize, service_time: Duration, seed: u64) -> Plan {
    use_test_binary();
    let service =
        ServicePlan { name: "desk".into(), targets, slots, service_time, file: DESK.into() };
    Plan::single_service(service, seed)
}

fn use_test_binary() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
}

pub fn fleet(targets: usize) -> Fleet {
    Fleet::start(plan(targets, 4, Duration::from_millis(5), 1)).expect("the fleet starts")
}

/// Sends a request with an idempotency key and reads the whole response.
pub fn call(entry: SocketAddr, method: &str, path: &str, id: &str, body: &str) -> Response {
    call_with(entry, method, path, &[("idempotency-key", id)], body)
}

pub fn call_with(
    entry: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    let agent = ureq::Agent::new_with_config(
        ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_secs(10)))
            .http_status_as_error(false)
            .build(),
    );
    let mut request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{entry}{path}"))
        .header("bronzeport-service", "desk");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.to_owned()).expect("a valid request");
    let mut response = match agent.run(request) {
        Ok(response) => response,
        Err(error) => {
            return Response {
                status: 0,
                outcome: "unknown".into(),
                reason: error.to_string(),
                retry_after: None,
                body: String::new(),
            };
        }
    };
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    Response {
        status: response.status().as_u16(),
        outcome: header("bronzeport-outcome").unwrap_or_default(),
        reason: header("bronzeport-reason").unwrap_or_default(),
        retry_after: header("retry-after"),
        body: response.body_mut().read_to_string().unwrap_or_default(),
    }
}

/// Returns how many times the request with this id ran on any target.
pub fn runs(fleet: &mut Fleet, id: &str) -> usize {
    std::thread::sleep(Duration::from_millis(50));
    fleet.collect_runs();
    let runs = fleet.hosts.iter().flat_map(|host| &host.runs);
    runs.filter(|run| ***run == *id).count()
}

pub fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}

/// A notice of a target of `desk` that a test sends.
pub struct Notice<'a> {
    pub instance: &'a str,
    pub service: &'a str,
    pub target: SocketAddr,
    pub slots: usize,
    /// Time of birth after the current time, so that the daemon takes the process for a later
    /// one than the host's regular target.
    pub born_after_ms: u64,
    pub state: &'a str,
}

/// Announces a target of `desk`, simulated by the test, to the daemon whose announce address
/// is `to`.
pub fn announce(
    to: SocketAddr,
    instance: &str,
    target: SocketAddr,
    slots: usize,
    born_after_ms: u64,
) {
    let state = "ready";
    let notice = Notice { instance, service: "desk", target, slots, born_after_ms, state };
    assert_eq!(send_notice(to, &notice), 200);
}

/// Sends a notice and returns the status of the response.
pub fn send_notice(to: SocketAddr, notice: &Notice<'_>) -> u16 {
    let Notice { instance, service, target, slots, born_after_ms, state } = notice;
    let body = serde_json::json!({
        "address": target.to_string(),
        "born": lab::sidecar::unix_millis() + born_after_ms,
        "info": { "service": service, "version": "v1", "zone": "zone-0", "slots": slots },
        "status": { "state": state, "sequence": 1, "cold_remaining": "0ms" },
    });
    let body = body.to_string();
    let head = format!(
        "POST /api/Instances.Heartbeat/{instance} HTTP/1.1\r\nhost: a\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(to).expect("the daemon accepts connections");
    stream.set_read_timeout(Some(Duration::from_secs(1))).expect("a socket option");
    stream.write_all(format!("{head}{body}").as_bytes()).expect("the announcement is sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a complete response");
    response.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Writes a configuration with a single path rule to the store, as an operator does.
pub fn publish(mesh: &Mesh, prefix: &str, kind: &str, services: &Value) {
    let path = serde_json::json!({
        "name": "r", "prefix": prefix, "kind": kind, "timeout": "5s",
        "service": "desk", "max_attempts": 2,
    });
    let config = serde_json::json!({
        "version": 1000,
        "services": services,
        "virtual_hosts": [{ "hostname": "soak.example", "paths": [path] }],
    });
    let write = store::Write {
        key: "op/config".into(),
        condition: store::Condition::Always,
        value: config.to_string().into(),
    };
    lab::fleet::with_store(mesh.store(), async |store| store.commit(vec![write]).await);
}

/// Sends a read over the platform's interface and returns the status of the response.
pub fn read_status(entry: SocketAddr, path: &str, id: &str) -> u16 {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(10)))
        .http_status_as_error(false)
        .build();
    let request = ureq::http::Request::builder()
        .uri(format!("http://{entry}{path}"))
        .header("host", "soak.example")
        .header("bronzeport-request-id", id)
        .header("bronzeport-deadline-ms", "900")
        .body(())
        .expect("a valid request");
    let response = ureq::Agent::new_with_config(config).run(request);
    response.expect("the daemon answers").status().as_u16()
}
