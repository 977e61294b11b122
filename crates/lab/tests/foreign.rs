//! Notices of other writers at the port of a daemon's target.

mod common;

use std::time::Duration;

use common::Notice;
use lab::soak::host::Mesh;

/// Host 0 serves `desk`, host 1 serves `desk-archive`.
const HOSTS: usize = 2;
/// Several times the interval of health checks and of the target's own notices.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// A notice of another writer replaced the target beside the daemon, and its service became the
/// caller's service of all requests that began on the host (issue 35).
#[test]
fn a_foreign_notice_changes_neither_the_target_nor_the_service_of_callers() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let mut mesh = Mesh::start(HOSTS, 7, None).expect("the processes start");
    let target = mesh.replace_target(0, mesh.target(0));
    let elsewhere = "127.0.0.1:9".parse().expect("an address");
    let foreign = Notice {
        instance: "i-other",
        service: "unknown",
        target,
        slots: 12,
        born_after_ms: 60_000,
        state: "ready",
    };
    let long = "x".repeat(60_000);
    let notices = [
        Notice { target: elsewhere, ..foreign },
        Notice { service: "desk", target: elsewhere, ..foreign },
        Notice { service: "", ..foreign },
        Notice { service: &long, ..foreign },
        Notice { state: "draining", ..foreign },
        foreign,
    ];
    for round in ["running", "restarted"] {
        for (number, notice) in notices.iter().enumerate() {
            assert_eq!(common::send_notice(mesh.announce(0), notice), 403, "{round}, {number}");
        }
        std::thread::sleep(SETTLE_TIME);
        for (number, entry) in [mesh.callers(0), mesh.callers(1)].into_iter().enumerate() {
            let id = format!("{round}-{number}");
            assert_eq!(common::read_status(entry, "/read/x", &id), 200);
        }
        if round == "running" {
            mesh.kill_daemon(0);
            mesh.start_daemon(0).expect("the daemon starts");
            lab::fleet::wait_for_listener(mesh.announce(0)).expect("the daemon listens");
        }
    }
    let lines = mesh.target_lines(0);
    let callers = lines.iter().filter(|line| line.starts_with("run ")).map(|line| {
        let words: Vec<&str> = line.split(' ').collect();
        (words[2].to_owned(), words[3].to_owned())
    });
    for (id, caller) in callers {
        let entry = usize::from(id.ends_with("-1"));
        assert_eq!(caller, mesh.service(entry), "{id}");
    }
    let refusals = mesh.daemon_lines(0).iter().filter(|line| line.contains("is refused")).count();
    assert_eq!(refusals, notices.len(), "one log line each, of the restarted daemon");
}

/// A notice with the service and the address of the target, but of a process that is not there,
/// took the target out of use.
#[test]
fn the_health_page_restores_a_target_that_a_false_notice_has_replaced() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let mesh = Mesh::start(HOSTS, 7, None).expect("the processes start");
    let target = mesh.replace_target(0, mesh.target(0));
    for state in ["ready", "draining"] {
        let notice = Notice {
            instance: &format!("i-false-{state}"),
            service: "desk",
            target,
            slots: 12,
            born_after_ms: 60_000,
            state,
        };
        common::send_notice(mesh.announce(0), &notice);
        std::thread::sleep(SETTLE_TIME);
        assert_eq!(common::read_status(mesh.callers(1), "/read/x", state), 200, "{state}");
    }
}
