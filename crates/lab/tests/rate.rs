//! End-to-end tests of targets that name the request rate that they accept, with real
//! processes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use lab::fleet::wait_until;
use lab::sidecar::unix_millis;
use lab::soak::host::Mesh;
use serde_json::json;

/// Hosts 0, 2 and 4 serve `desk`, hosts 1 and 3 serve `desk-archive`.
const HOSTS: usize = 5;
/// The host whose target names a limit.
const LIMITED: usize = 0;
const LIMIT_PER_SECOND: f64 = 5.0;
/// The users' rule: in any window of 4 s a target gets at most one and a half times what its
/// limit allows, and 5 requests.
const WINDOW_MS: u64 = 4_000;
const ALLOWED: usize = (LIMIT_PER_SECOND * 4.0 * 1.5) as usize + 5;
/// Time after which the limit binds: the users' rule has 3 s.
const SETTLE: Duration = Duration::from_secs(3);
/// Pause of each caller between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_secs(10);

fn mesh() -> Mesh {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    Mesh::start(HOSTS, 7, None).expect("the processes start")
}

/// Sends a read and returns the status; 0 if there is no response.
fn read(entry: SocketAddr, id: &str) -> u16 {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build();
    let request = ureq::http::Request::builder()
        .uri(format!("http://{entry}/read/{id}"))
        .header("host", "soak.example")
        .header("bronzeport-request-id", id)
        .header("bronzeport-deadline-ms", "900")
        .body(())
        .expect("a valid request");
    let response = ureq::Agent::new_with_config(config).run(request);
    response.map_or(0, |response| response.status().as_u16())
}

/// Stops the callers on drop, also if a scenario panics.
struct StopCallers<'a>(&'a AtomicBool);

impl Drop for StopCallers<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Sends reads through all daemons, two callers each, while `scenario` runs.
fn under_load<T>(mesh: &mut Mesh, scenario: impl FnOnce(&mut Mesh) -> T) -> T {
    let entries: Vec<SocketAddr> = (0..HOSTS).map(|host| mesh.callers(host)).collect();
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for caller in 0..2 * HOSTS {
            let (entry, is_over) = (entries[caller % HOSTS], &is_over);
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    read(entry, &format!("r-{caller}-{number}"));
                    std::thread::sleep(CALL_INTERVAL);
                }
            });
        }
        let _stop = StopCallers(&is_over);
        scenario(mesh)
    })
}

/// Times in Unix milliseconds at which the target of `host` ran requests, since the last call.
fn run_times_at(mesh: &Mesh, host: usize) -> Vec<u64> {
    let lines = mesh.target_lines(host);
    let runs = lines.iter().filter_map(|line| line.strip_prefix("run ")?.split(' ').next());
    runs.filter_map(|millis| millis.parse().ok()).collect()
}

fn run_times(mesh: &Mesh) -> Vec<u64> {
    run_times_at(mesh, LIMITED)
}

/// The largest number of runs in a window that starts at `from_ms` or later.
fn most_in_window(times: &[u64], from_ms: u64) -> usize {
    let starts = times.iter().filter(|start| **start >= from_ms);
    let counts = starts
        .map(|start| times.iter().filter(|at| (*start..*start + WINDOW_MS).contains(at)).count());
    counts.max().unwrap_or(0)
}

/// Issue 26: targets got several times the requests per second that they had named, because
/// the guard admitted requests by slots alone.
#[test]
fn a_target_gets_no_more_requests_than_its_limit_allows_while_its_daemon_is_replaced() {
    let mut mesh = mesh();
    mesh.set_target_behaviour(LIMITED, &json!({ "rate_limit": LIMIT_PER_SECOND }));
    let bound_from = unix_millis() + SETTLE.as_millis() as u64;
    under_load(&mut mesh, |mesh| {
        std::thread::sleep(SETTLE + Duration::from_secs(4));
        mesh.kill_daemon(LIMITED);
        mesh.start_daemon(LIMITED).expect("the daemon starts");
        std::thread::sleep(Duration::from_secs(5));
    });
    let times = run_times(&mesh);
    let most = most_in_window(&times, bound_from);
    assert!(most <= ALLOWED, "{most} requests in 4 s, at most {ALLOWED} are allowed");
}

/// Issue 26: a health page that says nothing of the limit ended it, until the next answer to a
/// request named it again.
#[test]
fn a_limit_that_only_answers_to_requests_name_is_kept() {
    let mut mesh = mesh();
    let behaviour = json!({ "rate_limit": LIMIT_PER_SECOND, "limit_on_page": false });
    mesh.set_target_behaviour(LIMITED, &behaviour);
    let bound_from = unix_millis() + SETTLE.as_millis() as u64;
    under_load(&mut mesh, |_| std::thread::sleep(SETTLE + Duration::from_secs(5)));
    let most = most_in_window(&run_times(&mesh), bound_from);
    assert!(most <= ALLOWED, "{most} requests in 4 s, at most {ALLOWED} are allowed");
}

/// Issue 26: a target that accepts any rate again must not stay limited.
#[test]
fn a_target_that_no_longer_names_a_limit_gets_requests_as_before() {
    let mut mesh = mesh();
    mesh.set_target_behaviour(LIMITED, &json!({ "rate_limit": 0.0 }));
    under_load(&mut mesh, |mesh| {
        std::thread::sleep(Duration::from_secs(1));
        mesh.set_target_behaviour(LIMITED, &json!({ "rate_limit": null }));
        run_times(mesh);
        let is_used = || !run_times(mesh).is_empty();
        wait_until(TIMEOUT, is_used).expect("the target is used again");
    });
}

/// Issue 26: the guard requested the health page of a target 25 times a second, although the
/// target accepted far fewer requests.
#[test]
fn a_target_gets_no_more_health_checks_than_it_accepts_requests() {
    let mesh = mesh();
    mesh.set_target_behaviour(LIMITED, &json!({ "rate_limit": 2.0 }));
    std::thread::sleep(Duration::from_secs(1));
    mesh.target_lines(LIMITED);
    std::thread::sleep(Duration::from_secs(4));
    let lines = mesh.target_lines(LIMITED);
    let checks = lines.iter().filter(|line| line.starts_with("check ")).count();
    assert!(checks <= 9, "{checks} checks in 4 s, 8 and the first one are accepted");
    assert!(checks > 0, "the end of the limit would not be noticed");
}

/// A load report from the time of a limit must not hold back requests after the limit has
/// ended.
#[test]
fn a_target_gets_its_share_again_after_its_limit_has_ended() {
    let mut mesh = mesh();
    let behave = |mesh: &Mesh, behaviour| mesh.set_target_behaviour(LIMITED, &behaviour);
    behave(&mesh, json!({ "pace": 3.0, "rate_limit": 0.5 }));
    let (own, other) = under_load(&mut mesh, |mesh| {
        std::thread::sleep(Duration::from_secs(3));
        // The guard publishes the load because the pace has changed.
        behave(mesh, json!({ "pace": 1.0 }));
        std::thread::sleep(Duration::from_secs(1));
        behave(mesh, json!({ "rate_limit": null }));
        std::thread::sleep(Duration::from_secs(5));
        for host in [LIMITED, 2, 4] {
            run_times_at(mesh, host);
        }
        std::thread::sleep(Duration::from_secs(6));
        let other = [2, 4].map(|host| run_times_at(mesh, host).len());
        (run_times(mesh).len(), other.iter().sum::<usize>())
    });
    assert!(own * 4 >= other, "{own} requests, and {other} at the two other targets");
}

/// Issue 26: leaving that only an answer states, before any notice, stops new requests too.
#[test]
fn a_target_whose_answers_state_leaving_gets_no_new_requests() {
    let mut mesh = mesh();
    mesh.set_target_behaviour(LIMITED, &json!({ "state_leaving": true }));
    let bound_from = unix_millis() + 2_000;
    under_load(&mut mesh, |_| std::thread::sleep(Duration::from_secs(4)));
    let late = run_times(&mesh).into_iter().filter(|at| *at >= bound_from).count();
    assert_eq!(late, 0, "requests later than 2 s after the first statement");
}

/// Issue 26: a daemon that had just started admitted requests before it had asked the target
/// what it accepts, as if there were no limit.
#[test]
fn a_replaced_daemon_admits_nothing_before_it_knows_what_the_target_accepts() {
    let mut mesh = mesh();
    mesh.set_target_behaviour(LIMITED, &json!({ "rate_limit": 0.0 }));
    std::thread::sleep(SETTLE);
    let late = under_load(&mut mesh, |mesh| {
        run_times(mesh);
        for _ in 0..4 {
            mesh.kill_daemon(LIMITED);
            mesh.start_daemon(LIMITED).expect("the daemon starts");
            std::thread::sleep(Duration::from_secs(1));
        }
        run_times(mesh)
    });
    assert_eq!(late.len(), 0, "requests of a target that accepts none");
}
