//! End-to-end tests of targets that leave while their daemon is restarted, with real processes.

mod common;

use std::time::Duration;

use lab::fleet::{wait_for_listener, wait_until};
use lab::soak::host::Mesh;
use serde_json::json;

/// Host 0 serves `desk`, host 1 serves `desk-archive`.
const HOSTS: usize = 2;
/// The host whose target leaves.
const LEAVING: usize = 0;
/// Several times the interval of health checks.
const SETTLE_TIME: Duration = Duration::from_millis(700);
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the processes, and checks that host 1 reaches the target of host 0.
fn serving_mesh() -> Mesh {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let mesh = Mesh::start(HOSTS, 7, None).expect("the processes start");
    assert_eq!(common::read_status(mesh.callers(1), "/read/x", "before-departure"), 200);
    mesh
}

fn start_daemon(mesh: &mut Mesh) {
    mesh.start_daemon(LEAVING).expect("the daemon starts");
    wait_for_listener(mesh.announce(LEAVING)).expect("the daemon listens");
}

/// Lets the target deregister without announcing before that it is leaving.
fn deregister(mesh: &Mesh) {
    mesh.set_target_behaviour(LEAVING, &json!({ "deregister": true }));
}

fn await_acknowledgement(mesh: &Mesh) {
    let is_acked = || mesh.target_lines(LEAVING).iter().any(|line| line.starts_with("acked"));
    wait_until(TIMEOUT, is_acked).expect("the daemon acknowledges the deregistration");
}

/// Lets a heartbeat of before the deregistration arrive, and checks that requests are refused
/// and do not run.
fn assert_late_heartbeat_changes_nothing(mesh: &Mesh) {
    let is_ready = || {
        let state = lab::fleet::get(mesh.ready(LEAVING), "/");
        state.is_some_and(|state| state["ready"] == true)
    };
    wait_until(TIMEOUT, is_ready).expect("the daemon is ready");
    std::thread::sleep(SETTLE_TIME);
    mesh.set_target_behaviour(LEAVING, &json!({ "late_heartbeat_ms": 0 }));
    std::thread::sleep(SETTLE_TIME);
    let status = common::read_status(mesh.callers(1), "/read/x", "after-departure");
    let runs: Vec<Box<str>> = mesh
        .target_lines(LEAVING)
        .into_iter()
        .filter(|line| line.starts_with("run ") && line.contains("after-departure"))
        .collect();
    assert!(runs.is_empty(), "the target has left, and runs {runs:?}");
    assert_eq!(status, 503, "no other target of the service is left");
}

/// A deregistration that reached a daemon which knew no process yet was acknowledged, and the
/// next heartbeat that arrived late registered the target again (issue 46).
#[test]
fn a_late_heartbeat_does_not_undo_a_deregistration_that_a_new_daemon_acknowledged() {
    let mut mesh = serving_mesh();
    mesh.kill_daemon(LEAVING);
    deregister(&mesh);
    start_daemon(&mut mesh);
    await_acknowledgement(&mesh);
    assert_late_heartbeat_changes_nothing(&mesh);
}

/// What a daemon had acknowledged was lost with its process, and the next one believed a
/// heartbeat against the target's own health page (issue 46).
#[test]
fn a_late_heartbeat_does_not_undo_a_deregistration_that_an_earlier_daemon_acknowledged() {
    let mut mesh = serving_mesh();
    deregister(&mesh);
    await_acknowledgement(&mesh);
    mesh.kill_daemon(LEAVING);
    start_daemon(&mut mesh);
    assert_late_heartbeat_changes_nothing(&mesh);
}

/// As above, and a health page that gave no answer counted as a passed check (issue 46).
#[test]
fn a_late_heartbeat_does_not_undo_a_deregistration_while_the_health_page_is_silent() {
    let mut mesh = serving_mesh();
    deregister(&mesh);
    await_acknowledgement(&mesh);
    mesh.set_target_behaviour(LEAVING, &json!({ "silent_page": true }));
    mesh.kill_daemon(LEAVING);
    start_daemon(&mut mesh);
    assert_late_heartbeat_changes_nothing(&mesh);
}
