//! Answers of targets that arrive in another exchange on the same connection.

use std::net::SocketAddr;
use std::time::Duration;

use lab::proxy::Fault;
use lab::soak::host::Mesh;

/// Hosts 0, 2 and 4 serve `desk`, hosts 1 and 3 serve `desk-archive`.
const HOSTS: usize = 5;
const CALLERS: usize = 8;
const REQUESTS_PER_CALLER: usize = 60;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Sends requests one after the other and returns those that got a success with another
/// body than their own, or without a signature.
fn send_requests(entry: SocketAddr, caller: usize) -> Vec<String> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let mut mixed = Vec::new();
    for number in 0..REQUESTS_PER_CALLER {
        let id = format!("{caller}-{number}");
        let (method, path) = match number % 3 {
            0 => ("POST", format!("/order/{id}")),
            _ => ("GET", format!("/read/{id}")),
        };
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header("host", "soak.example")
            .header("bronzeport-request-id", &id)
            .header("bronzeport-deadline-ms", "900")
            .body("body")
            .expect("a valid request");
        let mut response = agent.run(request).expect("the daemon answers");
        let is_signed = response.headers().contains_key("bronzeport-server-signature");
        let body = response.body_mut().read_to_string().unwrap_or_default();
        if response.status() == 200 && (!is_signed || body != format!("{id} {path} body")) {
            mixed.push(format!("{method} {path}: signed {is_signed}, body {body:?}"));
        }
    }
    mixed
}

/// A target sent an answer twice. The copy arrived in a health check, and the answer of the
/// health check went to a caller as the success of its request (issue 35).
#[test]
fn a_repeated_answer_reaches_no_other_request_or_health_check() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let mesh = Mesh::start(HOSTS, 7, None).expect("the processes start");
    for host in 0..HOSTS {
        mesh.set_target_link_fault(host, Fault::RepeatAnswer);
    }
    let callers = (0..CALLERS).map(|caller| {
        let entry = mesh.callers(caller % HOSTS);
        std::thread::spawn(move || send_requests(entry, caller))
    });
    let callers: Vec<_> = callers.collect();
    let mixed: Vec<String> =
        callers.into_iter().flat_map(|caller| caller.join().expect("the caller ends")).collect();
    assert!(mixed.is_empty(), "{} requests: {mixed:?}", mixed.len());
}
