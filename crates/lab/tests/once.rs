//! At-most-once execution, and a `not-run` outcome only for requests that never run, under
//! killed and paused processes, cut connections, lost responses and outages of the platform.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use common::{Response, call, call_with, json, plan, runs};
use lab::fleet::{Fleet, wait_until};
use lab::proxy::{Fault, Proxy};

const READY_TIMEOUT: Duration = Duration::from_secs(10);

fn fleet_with_service_time(targets: usize, millis: u64) -> Fleet {
    Fleet::start(plan(targets, 4, Duration::from_millis(millis), 5)).expect("the fleet starts")
}

fn order(entry: SocketAddr, id: &str) -> Response {
    call(entry, "POST", "/orders", id, "pay")
}

fn order_in_background(entry: SocketAddr, id: &'static str) -> JoinHandle<Response> {
    std::thread::spawn(move || order(entry, id))
}

/// Returns the index of the host whose target has started the request with this id.
fn host_that_ran(fleet: &mut Fleet, id: &str) -> usize {
    std::thread::sleep(Duration::from_millis(150));
    fleet.collect_runs();
    let ran = |host: &lab::fleet::Host| host.runs.iter().any(|run| **run == *id);
    fleet.hosts.iter().position(ran).expect("the request has reached a target")
}

#[test]
fn a_repeated_request_gets_the_first_answer_through_any_daemon() {
    let mut fleet = fleet_with_service_time(3, 5);
    for index in [0, 1, 2, 0] {
        let response = order(fleet.hosts[index].callers, "first");
        assert_eq!((response.status, &*response.outcome), (200, "ran"), "{response:?}");
        assert_eq!(json(&response.body)["echo"], "pay");
    }
    assert_eq!(runs(&mut fleet, "first"), 1);
}

#[test]
fn a_reused_idempotency_key_with_another_body_is_rejected() {
    let mut fleet = fleet_with_service_time(2, 5);
    assert_eq!(order(fleet.hosts[0].callers, "id").status, 200);
    let other = call(fleet.hosts[1].callers, "POST", "/orders", "id", "another order");
    assert_eq!((other.status, &*other.reason), (422, "conflict"), "{other:?}");
    assert_ne!(other.outcome, "not-run", "the request with this id has run");
    assert!(!other.body.contains("pay"), "{other:?}");
    assert_eq!(runs(&mut fleet, "id"), 1);
}

#[test]
fn concurrent_duplicates_run_once() {
    let mut fleet = fleet_with_service_time(3, 300);
    let entries: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let copies: Vec<_> =
        (0..6).map(|copy| order_in_background(entries[copy % entries.len()], "both")).collect();
    for copy in copies {
        let response = copy.join().expect("the caller thread finishes");
        assert_ne!(response.outcome, "not-run", "{response:?}");
    }
    assert_eq!(runs(&mut fleet, "both"), 1);
    let after = order(entries[0], "both");
    assert_eq!((after.status, &*after.outcome), (200, "ran"), "{after:?}");
}

#[test]
fn a_daemon_killed_during_the_run_leaves_the_outcome_unknown() {
    let mut fleet = fleet_with_service_time(2, 800);
    let entries: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let first = order_in_background(entries[0], "killed");
    std::thread::sleep(Duration::from_millis(200));
    let index = host_that_ran(&mut fleet, "killed");
    if let Some(daemon) = &mut fleet.hosts[index].daemon {
        daemon.kill();
    }
    let response = first.join().expect("the caller thread finishes");
    assert_eq!(response.outcome, "unknown", "{response:?}");
    let again = order(entries[1 - index], "killed");
    assert_eq!(again.outcome, "unknown", "{again:?}");
    fleet.start_daemon(index).expect("the daemon starts");
    fleet.wait_until_ready(READY_TIMEOUT).expect("the fleet is ready");
    let later = order(entries[index], "killed");
    assert_eq!(later.outcome, "unknown", "{later:?}");
    assert_eq!(runs(&mut fleet, "killed"), 1);
}

#[test]
fn a_request_whose_target_is_killed_during_the_run_is_not_sent_again() {
    let mut fleet = fleet_with_service_time(2, 800);
    let entries: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let first = order_in_background(entries[0], "crashed");
    std::thread::sleep(Duration::from_millis(200));
    let index = host_that_ran(&mut fleet, "crashed");
    if let Some(target) = &mut fleet.hosts[index].target_process {
        target.kill();
    }
    let response = first.join().expect("the caller thread finishes");
    assert_eq!((&*response.outcome, &*response.reason), ("unknown", "crashed"), "{response:?}");
    for entry in &entries {
        assert_eq!(order(*entry, "crashed").outcome, "unknown");
    }
    assert_eq!(runs(&mut fleet, "crashed"), 1);
}

#[test]
fn non_repeatable_requests_are_refused_while_the_platform_is_down() {
    let mut fleet = fleet_with_service_time(2, 5);
    fleet.set_faults(&serde_json::json!({ "down": true }));
    let entry = fleet.hosts[0].callers;
    for _ in 0..3 {
        let response = order(entry, "outage");
        assert_eq!((response.status, &*response.reason), (503, "store-down"), "{response:?}");
        assert!(response.retry_after.is_some(), "{response:?}");
    }
    let read = call(entry, "GET", "/read/1", "read", "");
    assert_eq!(read.status, 200, "repeatable requests are still served: {read:?}");
    assert_eq!(runs(&mut fleet, "outage"), 0);
    fleet.set_faults(&serde_json::json!({ "down": false }));
    let is_back = wait_until(READY_TIMEOUT, || order(entry, "outage").status == 200);
    assert!(is_back.is_some(), "the request runs once the platform is up again");
    assert_eq!(runs(&mut fleet, "outage"), 1);
}

#[test]
fn lost_platform_responses_are_resolved_by_reading_back() {
    let mut fleet = fleet_with_service_time(2, 5);
    fleet.set_faults(&serde_json::json!({ "lose_answers": 1.0 }));
    let headers = [("idempotency-key", "lost"), ("bronzeport-deadline-ms", "8000")];
    let response = call_with(fleet.hosts[0].callers, "POST", "/orders", &headers, "pay");
    assert_eq!((response.status, &*response.outcome), (200, "ran"), "{response:?}");
    assert_eq!(runs(&mut fleet, "lost"), 1);
}

#[test]
fn a_guard_resumed_after_the_deadline_starts_no_execution() {
    let mut fleet = fleet_with_service_time(2, 5);
    // Host 0 is drained, so that only host 1 can take the order.
    cli::admin::AdminClient::default()
        .post(fleet.hosts[0].admin, "/drain", &serde_json::Value::Null)
        .expect("the admin page responds");
    fleet.set_faults(&serde_json::json!({ "slow_ms": 400 }));
    let headers = [("idempotency-key", "paused"), ("bronzeport-deadline-ms", "1500")];
    let entry = fleet.hosts[0].callers;
    let caller = std::thread::spawn(move || call_with(entry, "POST", "/orders", &headers, "pay"));
    // The platform delays each call by 400 ms: the entry's read ends at 400 ms and the
    // guard's claim at 800 ms, so the pause at 600 ms falls within the claim.
    std::thread::sleep(Duration::from_millis(600));
    let daemon = fleet.hosts[1].daemon.as_ref().expect("the daemon is running");
    daemon.signal("STOP");
    let response = caller.join().expect("the caller thread finishes");
    assert_eq!(response.outcome, "unknown", "{response:?}");
    std::thread::sleep(Duration::from_millis(600));
    fleet.hosts[1].daemon.as_ref().expect("the daemon is running").signal("CONT");
    std::thread::sleep(Duration::from_millis(1200));
    assert_eq!(runs(&mut fleet, "paused"), 0);
}

#[test]
fn not_run_is_reported_only_if_no_earlier_copy_can_run() {
    let plan = plan(1, 1, Duration::from_millis(700), 5);
    let mut fleet = Fleet::start(plan).expect("the fleet starts");
    let entry = fleet.hosts[0].callers;
    // With a single slot, one request runs and the others wait in the queue.
    let fillers: Vec<_> = ["a", "b", "c"].map(|id| order_in_background(entry, id)).into();
    std::thread::sleep(Duration::from_millis(100));
    let headers = [("idempotency-key", "late"), ("bronzeport-deadline-ms", "900")];
    let late = call_with(entry, "POST", "/orders", &headers, "pay");
    assert_eq!(late.outcome, "not-run", "{late:?}");
    assert!(matches!(late.status, 409 | 503), "{late:?}");
    assert_eq!(runs(&mut fleet, "late"), 0);
    for filler in fillers {
        filler.join().expect("the caller thread finishes");
    }
    // A copy sent before the refusal may arrive at any later time, so the id must stay
    // refused permanently.
    let again = order(entry, "late");
    let refusal = (again.status, &*again.outcome, &*again.reason);
    assert_eq!(refusal, (409, "not-run", "refused-before"), "{again:?}");
    assert_eq!(runs(&mut fleet, "late"), 0);
}

/// A pipelined request is refused if its deadline passes before the earlier requests on the
/// connection are answered. A later copy of the refused request must not run either.
#[test]
fn a_pipelined_request_that_expires_before_its_turn_never_runs() {
    let mut fleet = fleet_with_service_time(1, 900);
    let entry = fleet.hosts[0].callers;
    let head = |line: &str, headers: &str| {
        format!("{line} HTTP/1.1\r\nhost: a\r\nbronzeport-service: desk\r\n{headers}\r\n")
    };
    let bytes = head("GET /read/slow", "")
        + &head(
            "POST /orders",
            "idempotency-key: ahead\r\nbronzeport-deadline-ms: 300\r\ncontent-length: 3\r\n\
             connection: close\r\n",
        )
        + "pay";
    let mut stream = TcpStream::connect(entry).expect("the daemon accepts connections");
    stream.write_all(bytes.as_bytes()).expect("the requests are sent");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("complete responses");
    assert!(answers.contains("HTTP/1.1 200 OK"), "{answers}");
    assert!(answers.contains("HTTP/1.1 503"), "{answers}");
    assert!(answers.contains("bronzeport-outcome: not-run"), "{answers}");
    let copy = order(entry, "ahead");
    assert_eq!((copy.status, &*copy.reason), (409, "refused-before"), "{copy:?}");
    assert_eq!(runs(&mut fleet, "ahead"), 0);
}

/// Starts a fleet of one host whose daemon reaches the target through a proxy.
fn fleet_behind_proxy() -> (Fleet, Proxy) {
    let mut fleet = Fleet::start_platform(plan(1, 4, Duration::from_millis(20), 9))
        .expect("the platform starts");
    let proxy = Proxy::spawn(fleet.hosts[0].target).expect("the proxy starts");
    fleet.set_daemon_flag(0, "--target", &proxy.address().to_string());
    fleet.publish_initial().expect("the publication is accepted");
    fleet.start_hosts().expect("the hosts start");
    fleet.wait_until_ready(READY_TIMEOUT).expect("the fleet is ready");
    (fleet, proxy)
}

#[test]
fn a_connection_cut_in_the_request_or_answer_gives_unknown_and_no_retry() {
    let (mut fleet, proxy) = fleet_behind_proxy();
    let entry = fleet.hosts[0].callers;
    for (id, fault) in [
        ("cut-head", Fault::CutRequest(20)),
        ("cut-answer", Fault::CutAnswer(0)),
        ("truncated", Fault::CutAnswer(60)),
    ] {
        proxy.set(fault);
        let response = order(entry, id);
        assert_eq!(
            (&*response.outcome, &*response.reason),
            ("unknown", "cut"),
            "{id}: {response:?}"
        );
        proxy.set(Fault::None);
        let again = order(entry, id);
        assert_eq!(again.outcome, "unknown", "{id}: {again:?}");
        assert!(runs(&mut fleet, id) <= 1);
    }
    proxy.set(Fault::Refuse);
    std::thread::sleep(Duration::from_millis(50));
    let response = call(entry, "GET", "/read/1", "read", "");
    assert_ne!(response.status, 200, "{response:?}");
    proxy.set(Fault::None);
    let is_back =
        wait_until(READY_TIMEOUT, || call(entry, "GET", "/read/1", "again", "").status == 200);
    assert!(is_back.is_some(), "the target is back in use");
}

#[test]
fn a_request_to_a_frozen_target_expires_and_its_late_answer_is_discarded() {
    let (mut fleet, proxy) = fleet_behind_proxy();
    let entry = fleet.hosts[0].callers;
    proxy.set(Fault::Freeze);
    let headers = [("idempotency-key", "frozen"), ("bronzeport-deadline-ms", "300")];
    let response = call_with(entry, "GET", "/read/1", &headers, "");
    assert_eq!((response.status, &*response.reason), (504, "expired"), "{response:?}");
    proxy.set(Fault::None);
    for number in 0..20 {
        let id = format!("after-{number}");
        let path = format!("/read/{number}");
        let response = call(entry, "GET", &path, &id, "");
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(json(&response.body)["id"], *id);
        assert_eq!(json(&response.body)["path"], *path);
    }
    assert!(runs(&mut fleet, "frozen") <= 1);
}
