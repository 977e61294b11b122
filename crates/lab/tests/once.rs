//! At most once, and `not-run` is true: under kills, pauses, cuts, lost answers
//! and outages of the platform.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use common::{Seen, call, call_with, json, plan, runs};
use lab::fleet::{Fleet, wait_until};
use lab::proxy::{Fault, Proxy};

const READY: Duration = Duration::from_secs(10);

fn slow_fleet(targets: usize, millis: u64) -> Fleet {
    Fleet::start(plan(targets, 4, Duration::from_millis(millis), 5)).expect("the fleet starts")
}

fn order(entry: SocketAddr, id: &str) -> Seen {
    call(entry, "POST", "/orders", id, "pay")
}

fn order_later(entry: SocketAddr, id: &'static str) -> JoinHandle<Seen> {
    std::thread::spawn(move || order(entry, id))
}

/// The host whose target has run an id.
fn ran_at(fleet: &mut Fleet, id: &str) -> usize {
    std::thread::sleep(Duration::from_millis(150));
    fleet.collect_runs();
    let ran = |host: &lab::fleet::Host| host.runs.iter().any(|run| **run == *id);
    fleet.hosts.iter().position(ran).expect("it has started")
}

#[test]
fn a_repeated_request_gets_the_first_answer_through_any_daemon() {
    let mut fleet = slow_fleet(3, 5);
    for index in [0, 1, 2, 0] {
        let seen = order(fleet.hosts[index].callers, "first");
        assert_eq!((seen.status, &*seen.outcome), (200, "ran"), "{seen:?}");
        assert_eq!(json(&seen.body)["echo"], "pay");
    }
    assert_eq!(runs(&mut fleet, "first"), 1);
}

#[test]
fn the_same_id_with_another_body_never_runs() {
    let mut fleet = slow_fleet(2, 5);
    assert_eq!(order(fleet.hosts[0].callers, "id").status, 200);
    let other = call(fleet.hosts[1].callers, "POST", "/orders", "id", "another order");
    assert_eq!((other.status, &*other.reason), (422, "conflict"), "{other:?}");
    assert_ne!(other.outcome, "not-run", "the id has run");
    assert!(!other.body.contains("pay"), "{other:?}");
    assert_eq!(runs(&mut fleet, "id"), 1);
}

#[test]
fn copies_in_flight_together_run_once() {
    let mut fleet = slow_fleet(3, 300);
    let entries: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let copies: Vec<_> =
        (0..6).map(|copy| order_later(entries[copy % entries.len()], "both")).collect();
    for copy in copies {
        let seen = copy.join().expect("the caller ends");
        assert_ne!(seen.outcome, "not-run", "{seen:?}");
    }
    assert_eq!(runs(&mut fleet, "both"), 1);
    let after = order(entries[0], "both");
    assert_eq!((after.status, &*after.outcome), (200, "ran"), "{after:?}");
}

#[test]
fn a_daemon_killed_during_the_run_leaves_the_outcome_unknown() {
    let mut fleet = slow_fleet(2, 800);
    let entries: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let first = order_later(entries[0], "killed");
    std::thread::sleep(Duration::from_millis(200));
    let index = ran_at(&mut fleet, "killed");
    if let Some(daemon) = &mut fleet.hosts[index].daemon {
        daemon.kill();
    }
    let seen = first.join().expect("the caller ends");
    assert_eq!(seen.outcome, "unknown", "{seen:?}");
    let again = order(entries[1 - index], "killed");
    assert_eq!(again.outcome, "unknown", "{again:?}");
    fleet.start_daemon(index).expect("the daemon starts");
    fleet.wait_until_ready(READY).expect("the fleet is ready");
    let later = order(entries[index], "killed");
    assert_eq!(later.outcome, "unknown", "{later:?}");
    assert_eq!(runs(&mut fleet, "killed"), 1);
}

#[test]
fn a_target_killed_during_the_run_is_never_sent_the_request_again() {
    let mut fleet = slow_fleet(2, 800);
    let entries: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let first = order_later(entries[0], "crashed");
    std::thread::sleep(Duration::from_millis(200));
    let index = ran_at(&mut fleet, "crashed");
    if let Some(target) = &mut fleet.hosts[index].target_process {
        target.kill();
    }
    let seen = first.join().expect("the caller ends");
    assert_eq!((&*seen.outcome, &*seen.reason), ("unknown", "crashed"), "{seen:?}");
    for entry in &entries {
        assert_eq!(order(*entry, "crashed").outcome, "unknown");
    }
    assert_eq!(runs(&mut fleet, "crashed"), 1);
}

#[test]
fn while_the_platform_is_down_nothing_runs_that_may_not_be_repeated() {
    let mut fleet = slow_fleet(2, 5);
    fleet.set_faults(&serde_json::json!({ "down": true }));
    let entry = fleet.hosts[0].callers;
    for _ in 0..3 {
        let seen = order(entry, "outage");
        assert_eq!((seen.status, &*seen.reason), (503, "store-down"), "{seen:?}");
        assert!(seen.retry_after.is_some(), "{seen:?}");
    }
    let read = call(entry, "GET", "/read/1", "read", "");
    assert_eq!(read.status, 200, "what may be repeated goes on: {read:?}");
    assert_eq!(runs(&mut fleet, "outage"), 0);
    fleet.set_faults(&serde_json::json!({ "down": false }));
    let is_back = wait_until(READY, || order(entry, "outage").status == 200);
    assert!(is_back.is_some(), "the same id runs when the platform is back");
    assert_eq!(runs(&mut fleet, "outage"), 1);
}

#[test]
fn lost_answers_of_the_platform_are_settled_by_reading_back() {
    let mut fleet = slow_fleet(2, 5);
    fleet.set_faults(&serde_json::json!({ "lose_answers": 1.0 }));
    let headers = [("idempotency-key", "lost"), ("bronzeport-deadline-ms", "8000")];
    let seen = call_with(fleet.hosts[0].callers, "POST", "/orders", &headers, "pay");
    assert_eq!((seen.status, &*seen.outcome), (200, "ran"), "{seen:?}");
    assert_eq!(runs(&mut fleet, "lost"), 1);
}

#[test]
fn a_paused_guard_that_wakes_after_the_deadline_starts_nothing() {
    let mut fleet = slow_fleet(2, 5);
    // Host 1 alone takes the order: host 0 leaves.
    cli::admin::AdminClient::default()
        .post(fleet.hosts[0].admin, "/drain", &serde_json::Value::Null)
        .expect("the page answers");
    fleet.set_faults(&serde_json::json!({ "slow_ms": 400 }));
    let headers = [("idempotency-key", "paused"), ("bronzeport-deadline-ms", "1500")];
    let entry = fleet.hosts[0].callers;
    let caller = std::thread::spawn(move || call_with(entry, "POST", "/orders", &headers, "pay"));
    // The entry's read ends at 400 ms, the guard's claim at 800 ms.
    std::thread::sleep(Duration::from_millis(600));
    let daemon = fleet.hosts[1].daemon.as_ref().expect("it runs");
    daemon.signal("STOP");
    let seen = caller.join().expect("the caller ends");
    assert_eq!(seen.outcome, "unknown", "{seen:?}");
    std::thread::sleep(Duration::from_millis(600));
    fleet.hosts[1].daemon.as_ref().expect("it runs").signal("CONT");
    std::thread::sleep(Duration::from_millis(1200));
    assert_eq!(runs(&mut fleet, "paused"), 0);
}

#[test]
fn not_run_is_told_only_when_no_earlier_copy_can_run() {
    let plan = plan(1, 1, Duration::from_millis(700), 5);
    let mut fleet = Fleet::start(plan).expect("the fleet starts");
    let entry = fleet.hosts[0].callers;
    // One slot: one runs and the others wait.
    let fillers: Vec<_> = ["a", "b", "c"].map(|id| order_later(entry, id)).into();
    std::thread::sleep(Duration::from_millis(100));
    let headers = [("idempotency-key", "late"), ("bronzeport-deadline-ms", "900")];
    let late = call_with(entry, "POST", "/orders", &headers, "pay");
    assert_eq!(late.outcome, "not-run", "{late:?}");
    assert!(matches!(late.status, 409 | 503), "{late:?}");
    assert_eq!(runs(&mut fleet, "late"), 0);
    for filler in fillers {
        filler.join().expect("the caller ends");
    }
    // A copy that was sent before the refusal may arrive at any time after it, so
    // that the id is refused for good.
    let again = order(entry, "late");
    let told = (again.status, &*again.outcome, &*again.reason);
    assert_eq!(told, (409, "not-run", "refused-before"), "{again:?}");
    assert_eq!(runs(&mut fleet, "late"), 0);
}

/// A request that was sent ahead is refused when its time is over before its turn comes.
/// A copy of it must not run after that.
#[test]
fn not_run_is_true_of_a_request_whose_turn_did_not_come() {
    let mut fleet = slow_fleet(1, 900);
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
    let mut stream = TcpStream::connect(entry).expect("it listens");
    stream.write_all(bytes.as_bytes()).expect("it reads");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("whole answers");
    assert!(answers.contains("HTTP/1.1 200 OK"), "{answers}");
    assert!(answers.contains("HTTP/1.1 503"), "{answers}");
    assert!(answers.contains("bronzeport-outcome: not-run"), "{answers}");
    let copy = order(entry, "ahead");
    assert_eq!((copy.status, &*copy.reason), (409, "refused-before"), "{copy:?}");
    assert_eq!(runs(&mut fleet, "ahead"), 0);
}

/// A fleet of one host whose target is reached through a proxy.
fn fleet_behind_proxy() -> (Fleet, Proxy) {
    let mut fleet =
        Fleet::start_platform(plan(1, 4, Duration::from_millis(20), 9)).expect("a platform");
    let proxy = Proxy::spawn(fleet.hosts[0].target).expect("a proxy");
    fleet.set_daemon_flag(0, "--target", &proxy.address().to_string());
    fleet.publish_initial().expect("it is accepted");
    fleet.start_hosts().expect("the hosts start");
    fleet.wait_until_ready(READY).expect("the fleet is ready");
    (fleet, proxy)
}

#[test]
fn a_cut_before_the_request_is_whole_or_in_the_answer_is_unknown_and_not_repeated() {
    let (mut fleet, proxy) = fleet_behind_proxy();
    let entry = fleet.hosts[0].callers;
    for (id, fault) in [
        ("cut-head", Fault::CutRequest(20)),
        ("cut-answer", Fault::CutAnswer(0)),
        ("truncated", Fault::CutAnswer(60)),
    ] {
        proxy.set(fault);
        let seen = order(entry, id);
        assert_eq!((&*seen.outcome, &*seen.reason), ("unknown", "cut"), "{id}: {seen:?}");
        proxy.set(Fault::None);
        let again = order(entry, id);
        assert_eq!(again.outcome, "unknown", "{id}: {again:?}");
        assert!(runs(&mut fleet, id) <= 1);
    }
    proxy.set(Fault::Refuse);
    std::thread::sleep(Duration::from_millis(50));
    let seen = call(entry, "GET", "/read/1", "read", "");
    assert_ne!(seen.status, 200, "{seen:?}");
    proxy.set(Fault::None);
    let is_back = wait_until(READY, || call(entry, "GET", "/read/1", "again", "").status == 200);
    assert!(is_back.is_some(), "the target is found again");
}

#[test]
fn a_frozen_target_ends_at_the_deadline_and_its_late_answer_goes_to_nobody() {
    let (mut fleet, proxy) = fleet_behind_proxy();
    let entry = fleet.hosts[0].callers;
    proxy.set(Fault::Freeze);
    let headers = [("idempotency-key", "frozen"), ("bronzeport-deadline-ms", "300")];
    let seen = call_with(entry, "GET", "/read/1", &headers, "");
    assert_eq!((seen.status, &*seen.reason), (504, "expired"), "{seen:?}");
    proxy.set(Fault::None);
    for number in 0..20 {
        let id = format!("after-{number}");
        let path = format!("/read/{number}");
        let seen = call(entry, "GET", &path, &id, "");
        assert_eq!(seen.status, 200, "{seen:?}");
        assert_eq!(json(&seen.body)["id"], *id);
        assert_eq!(json(&seen.body)["path"], *path);
    }
    assert!(runs(&mut fleet, "frozen") <= 1);
}
