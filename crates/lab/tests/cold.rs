//! End-to-end test of a target that becomes cold, with real processes.

mod common;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use common::{publish, read_status};
use lab::fleet::wait_until;
use lab::soak::host::Mesh;
use serde_json::json;

/// Hosts 0, 2 and 4 serve `desk`.
const HOSTS: usize = 5;
/// The host whose target becomes cold.
const COLD: usize = 0;
const COLD_PER_SECOND: f64 = 4.0;
/// The users' rule for any second.
const ALLOWED: usize = (COLD_PER_SECOND * 1.5 + 8.0) as usize;
const COLD_TIME: Duration = Duration::from_secs(5);
const TIMEOUT: Duration = Duration::from_secs(10);

/// Stops the callers on drop, also if the test panics.
struct StopCallers<'a>(&'a AtomicBool);

impl Drop for StopCallers<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Times in Unix milliseconds in the lines of the cold host's target that begin with `word`.
fn times(lines: &[Box<str>], word: &str) -> Vec<u64> {
    let lines = lines.iter().filter_map(|line| line.strip_prefix(word)?.split(' ').next());
    lines.filter_map(|millis| millis.parse().ok()).collect()
}

/// A target that became cold in use got as many requests as before, since answers reported its
/// load and nobody requested its health page; and so did one whose daemon was replaced.
#[test]
fn a_target_that_becomes_cold_in_use_gets_few_requests_and_callers_are_served_elsewhere() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let mut mesh = Mesh::start(HOSTS, 7, None).expect("the processes start");
    let services = json!([
        { "name": "desk", "cold_start": "5s", "cold_per_s": COLD_PER_SECOND }
    ]);
    publish(&mesh, "/e/", "safe", &services);
    let entries: Vec<_> = (1..HOSTS).map(|host| mesh.callers(host)).collect();
    let is_served = || entries.iter().all(|entry| read_status(*entry, "/e/x", "first") == 200);
    wait_until(TIMEOUT, is_served).expect("the route is in force");
    let (is_over, answered, failed) =
        (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for caller in 0..12 {
            let entry = entries[caller % entries.len()];
            let (is_over, answered, failed) = (&is_over, &answered, &failed);
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let status = read_status(entry, "/e/x", &format!("c-{caller}-{number}"));
                    let count = if status == 200 { answered } else { failed };
                    count.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
        let _stop = StopCallers(&is_over);
        std::thread::sleep(Duration::from_secs(2));
        mesh.set_target_behaviour(COLD, &json!({ "cold_ms": COLD_TIME.as_millis() as u64 }));
        std::thread::sleep(COLD_TIME / 2);
        mesh.kill_daemon(COLD);
        mesh.start_daemon(COLD).expect("the daemon starts");
        std::thread::sleep(COLD_TIME / 2 + Duration::from_secs(3));
    });
    let lines: Vec<Box<str>> = mesh.target_lines(COLD).into_iter().collect();
    let (runs, cold_from) = (times(&lines, "run "), times(&lines, "cold ")[0]);
    let cold_until = cold_from + COLD_TIME.as_millis() as u64;
    let while_cold: Vec<u64> =
        runs.iter().copied().filter(|at| (cold_from..cold_until).contains(at)).collect();
    let in_second =
        |from: &u64| while_cold.iter().filter(|at| (*from..*from + 1_000).contains(at)).count();
    let most = while_cold.iter().map(in_second).max().unwrap_or(0);
    assert!(most <= ALLOWED, "{most} requests in a second, at most {ALLOWED} are allowed");
    assert!(!while_cold.is_empty(), "the cold target gets its share");
    let before = runs.iter().filter(|at| **at < cold_from).count();
    assert!(before > 2 * ALLOWED, "{before} requests before show no load");
    assert!(runs.iter().any(|at| *at > cold_until), "the target is used again");
    let (answered, failed) = (answered.into_inner(), failed.into_inner());
    assert!(failed * 50 < answered, "{failed} reads failed, {answered} were answered");
}
