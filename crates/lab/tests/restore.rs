//! A store that comes back from an older copy: it has lost what it acknowledged since, and
//! issues the same versions again.

mod common;

use std::time::{Duration, Instant};

use common::{call, fleet, plan, runs};
use lab::fleet::{Fleet, wait_until, with_store};
use lab::soak::host::Mesh;
use serde_json::json;
use store::{CommitResult, Condition, Write};

/// Time limit for a configuration to be in force everywhere.
const CONFIG_LIMIT: Duration = Duration::from_secs(4);
/// Time limit for a daemon to start or to settle what the store has lost.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

fn desk(answer_within: &str) -> Box<str> {
    common::DESK.replace("\"2s\"", &format!("\"{answer_within}\"")).into()
}

fn publish(fleet: &Fleet, service: &str, file: Box<str>) -> u64 {
    fleet.publish(&[(service.into(), file)]).expect("the publication is accepted")
}

/// A file of another service than `desk`.
fn archive() -> Box<str> {
    common::DESK.replace("service = \"desk\"", "service = \"archive\"").into()
}

fn revision_of(fleet: &Fleet, host: usize) -> u64 {
    fleet.hosts[host].state().and_then(|state| state["revision"].as_u64()).unwrap_or(0)
}

fn is_in_force(fleet: &Fleet, revision: u64) -> bool {
    (0..fleet.hosts.len()).all(|host| revision_of(fleet, host) >= revision)
}

/// Whether a daemon knows the service `archive`.
fn knows_archive(fleet: &Fleet, host: usize) -> bool {
    let headers = [("bronzeport-service", "archive")];
    let agent = ureq::Agent::new_with_config(
        ureq::Agent::config_builder().http_status_as_error(false).build(),
    );
    let mut request = agent.get(format!("http://{}/read/1", fleet.hosts[host].callers));
    for (name, value) in headers {
        request = request.header(name, value);
    }
    request.call().is_ok_and(|response| response.status() != 404)
}

/// Drains the target of host 0, so that other hosts claim the requests.
fn drain_first(fleet: &Fleet) {
    cli::admin::AdminClient::default()
        .post(fleet.hosts[0].admin, "/drain", &serde_json::Value::Null)
        .expect("the admin page responds");
    std::thread::sleep(Duration::from_millis(300));
}

fn order(fleet: &Fleet, host: usize, id: &str) -> common::Response {
    call(fleet.hosts[host].callers, "POST", "/orders", id, "pay")
}

/// Guards against a publication that is reported as in force although daemons that were ahead
/// of the restored store ignore it.
#[test]
fn a_publication_after_a_restore_comes_into_force() {
    let fleet = fleet(2);
    publish(&fleet, "desk", desk("3s"));
    let before = publish(&fleet, "desk", desk("4s"));
    fleet.set_faults(&json!({ "restore": true }));
    let published = Instant::now();
    let revision = publish(&fleet, "desk", desk("5s"));
    assert!(revision > before, "revision {revision} follows {before}");
    let in_force = wait_until(CONFIG_LIMIT, || is_in_force(&fleet, revision));
    assert!(in_force.is_some(), "revision {revision} is not in force on all daemons");
    assert!(published.elapsed() < CONFIG_LIMIT);
}

/// Guards against a service that was published, acknowledged and in force, and that daemons
/// started after a restore do not know.
#[test]
fn a_publication_that_the_store_has_lost_is_written_again() {
    let mut fleet = fleet(2);
    fleet.set_faults(&json!({ "copy": true }));
    let lost = publish(&fleet, "archive", archive());
    assert!(wait_until(CONFIG_LIMIT, || is_in_force(&fleet, lost)).is_some());
    fleet.set_faults(&json!({ "restore": true }));
    publish(&fleet, "desk", desk("5s"));
    let is_stored = || {
        let key = "config/service/archive";
        with_store(fleet.platform, async |store| store.read(key).await)
            .is_ok_and(|row| row.is_some())
    };
    assert!(wait_until(SETTLE_TIMEOUT, is_stored).is_some(), "the file is not in the store again");
    for host in 0..2 {
        fleet.hosts[host].daemon = None;
    }
    for host in 0..2 {
        fleet.start_daemon(host).expect("the daemon starts");
    }
    fleet.wait_until_ready(SETTLE_TIMEOUT).expect("the daemons are ready");
    assert!((0..2).all(|host| knows_archive(&fleet, host)), "the service is unknown");
}

/// Guards against files that stay lost because one revision cannot hold them all, and against a
/// publication in between.
#[test]
fn more_lost_files_than_one_revision_holds_are_all_written_again() {
    let fleet = fleet(1);
    fleet.set_faults(&json!({ "copy": true }));
    check_many_lost_files(&fleet);
}

/// Guards against a head that counts as confirmed because the copy has none.
#[test]
fn many_lost_files_are_written_again_to_a_copy_without_a_head() {
    check_many_lost_files(&fleet(1));
}

/// Publishes more files than one revision holds, restores the store and publishes again.
fn check_many_lost_files(fleet: &Fleet) {
    let mut lost = 0;
    for batch in 0..2 {
        let files: Vec<(Box<str>, Box<str>)> = (0..60)
            .map(|number| {
                let name = format!("service-{batch}-{number}");
                (name.as_str().into(), archive().replace("archive", &name).into())
            })
            .collect();
        lost = fleet.publish(&files).expect("the publication is accepted");
    }
    assert!(wait_until(CONFIG_LIMIT, || is_in_force(fleet, lost)).is_some());
    fleet.set_faults(&json!({ "restore": true }));
    publish(fleet, "desk", desk("5s"));
    let stored = with_store(fleet.platform, async |store| {
        store.list("config/service/", "", 500).await.expect("the platform responds").len()
    });
    assert_eq!(stored, 121, "a publication is accepted only when all files are back");
}

/// Guards against a request with a key that runs a second time because the restored store has
/// no claim of it and the daemon that ran it has restarted.
#[test]
fn a_request_that_ran_before_a_restore_does_not_run_again() {
    let mut fleet = fleet(2);
    fleet.set_faults(&json!({ "copy": true }));
    let first = order(&fleet, 0, "paid");
    assert_eq!((first.status, &*first.outcome), (200, "ran"), "{first:?}");
    fleet.set_faults(&json!({ "restore": true }));
    // The daemons have seen the restore before they restart.
    let fresh = wait_until(SETTLE_TIMEOUT, || order(&fleet, 0, "fresh").status == 200);
    assert!(fresh.is_some(), "new requests run again after the restore");
    for host in 0..2 {
        fleet.hosts[host].daemon = None;
        fleet.start_daemon(host).expect("the daemon starts");
    }
    fleet.wait_until_ready(SETTLE_TIMEOUT).expect("the daemons are ready");
    for host in [0, 1] {
        let again = order(&fleet, host, "paid");
        assert_ne!(again.outcome, "not-run", "{again:?}");
    }
    assert_eq!(runs(&mut fleet, "paid"), 1);
}

/// Guards against a request with a key that runs a second time because the daemon that ran it
/// was killed while the store was away, so that nobody remembers the claim.
#[test]
fn a_request_does_not_run_again_if_its_daemon_was_killed_before_the_restore() {
    let mut fleet = fleet(2);
    fleet.set_faults(&json!({ "copy": true }));
    assert_eq!(order(&fleet, 0, "paid").status, 200);
    fleet.set_faults(&json!({ "down": true }));
    for host in 0..2 {
        fleet.hosts[host].daemon = None;
    }
    fleet.set_faults(&json!({ "down": false, "restore": true }));
    for host in 0..2 {
        fleet.start_daemon(host).expect("the daemon starts");
    }
    fleet.wait_until_ready(SETTLE_TIMEOUT).expect("the daemons are ready");
    for _ in 0..20 {
        let again = order(&fleet, 0, "paid");
        assert_eq!(again.outcome, "unknown", "{again:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(runs(&mut fleet, "paid"), 1);
}

/// Guards against an id whose refusal the store has lost and that runs after its caller was
/// told that it never would.
#[test]
fn a_request_that_was_refused_before_a_restore_does_not_run() {
    let mut fleet = Fleet::start(plan(1, 1, Duration::from_millis(700), 5)).expect("a fleet");
    fleet.set_faults(&json!({ "copy": true }));
    let entry = fleet.hosts[0].callers;
    let fillers: Vec<_> = ["a", "b", "c"]
        .map(|id| std::thread::spawn(move || call(entry, "POST", "/orders", id, "pay")))
        .into();
    std::thread::sleep(Duration::from_millis(100));
    let headers = [("idempotency-key", "late"), ("bronzeport-deadline-ms", "900")];
    let refused = common::call_with(entry, "POST", "/orders", &headers, "pay");
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    for filler in fillers {
        filler.join().expect("the caller thread finishes");
    }
    fleet.set_faults(&json!({ "restore": true }));
    let fresh = wait_until(SETTLE_TIMEOUT, || order(&fleet, 0, "fresh").status == 200);
    assert!(fresh.is_some(), "new requests run again after the restore");
    let again = order(&fleet, 0, "late");
    assert_eq!(&*again.reason, "refused-before", "{again:?}");
    assert_eq!(runs(&mut fleet, "late"), 0);
}

fn write(key: &str, value: &str, condition: Condition) -> Vec<Write> {
    vec![Write { key: key.into(), condition, value: value.into() }]
}

/// Guards against a feed that continues at a version which the restored store has issued again
/// for other rows, so that the changes below it are missed.
#[test]
fn a_feed_of_an_earlier_era_misses_no_change() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let fleet = Fleet::start_platform(plan(1, 1, Duration::ZERO, 1)).expect("the platform starts");
    with_store(fleet.platform, async |store| {
        for value in ["1", "2"] {
            store.commit(write("t/a", value, Condition::Always)).await;
        }
        let position = store.read_table("t", 10).await.expect("the table").position;
        fleet.set_faults(&json!({ "restore": true }));
        // Another client, which knows nothing of the earlier era, writes the versions again.
        with_other_store(&fleet, &[("t/b", "new"), ("t/a", "1"), ("t/a", "2")]);
        let changes = store.feed("t", position, Duration::from_millis(50)).await;
        let has_change = |rows: &store::Rows| rows.rows.iter().any(|row| &*row.key == "t/b");
        assert!(
            matches!(&changes, Err(store::Failure::Compacted))
                || changes.as_ref().is_ok_and(has_change),
            "{changes:?}"
        );
    });
}

/// Guards against a condition that holds although the row was written by another writer, since
/// the restored store has issued the same version again.
#[test]
fn a_tag_of_an_earlier_era_does_not_match_another_row() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let fleet = Fleet::start_platform(plan(1, 1, Duration::ZERO, 1)).expect("the platform starts");
    with_store(fleet.platform, async |store| {
        let CommitResult::Done(tags) = store.commit(write("t/a", "mine", Condition::Always)).await
        else {
            panic!("the write is not refused");
        };
        fleet.set_faults(&json!({ "restore": true }));
        with_other_store(&fleet, &[("t/a", "another")]);
        let stale = write("t/a", "mine again", Condition::Tag(tags[0]));
        // The first call after the restore cannot know of it. Its result must not be `Done`.
        let blind = store.commit(stale.clone()).await;
        assert!(!matches!(blind, CommitResult::Done(_)), "{blind:?}");
        with_other_store(&fleet, &[("t/a", "another")]);
        let informed = store.commit(stale).await;
        assert_eq!(informed, CommitResult::Conflict(vec![0]));
        let row = store.read("t/a").await.expect("the platform responds");
        assert_eq!(row.map(|row| row.value), Some("another".into()));
    });
}

fn with_other_store(fleet: &Fleet, rows: &[(&str, &str)]) {
    let (address, rows) = (fleet.platform, rows.to_vec());
    std::thread::scope(|scope| {
        scope.spawn(|| {
            with_store(address, async |store| {
                for (key, value) in rows {
                    store.commit(write(key, value, Condition::Always)).await;
                }
            });
        });
    });
}

/// Guards against daemons that stay alone because the restored store has no contact rows.
#[test]
fn contact_rows_that_the_store_has_lost_are_written_again() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let mesh = Mesh::start(3, 7, None).expect("the processes start");
    mesh.set_store_faults(&json!({ "restore": true }));
    let has_contacts = || {
        let rows = with_store(mesh.store(), async |store| store.read_table("member", 10).await);
        rows.is_ok_and(|rows| !rows.rows.is_empty())
    };
    assert!(wait_until(SETTLE_TIMEOUT, has_contacts).is_some(), "no contact row is written");
}

/// Publishes the file of `desk`.
fn publish_desk(fleet: &Fleet, accept_copy: bool) -> Result<u64, String> {
    let publication = cli::publish::Publication {
        id: format!("{:x}", fastrand::u64(..)).into(),
        who: "operator".into(),
        files: vec![cli::files::ServiceFile { service: "desk".into(), body: desk("2s") }],
        remove: Vec::new(),
        accept_copy,
    };
    let result =
        with_store(fleet.platform, async |store| cli::publish::publish(&store, publication).await);
    match result.map_err(|report| format!("{report:?}"))?.0 {
        cli::publish::PublishResult::Accepted { revision, .. } => Ok(revision),
        other => Err(format!("{other:?}")),
    }
}

/// Guards against a publication that is based on a copy although nobody knows what it lacks.
#[test]
fn a_copy_that_no_daemon_can_confirm_is_used_only_if_the_operator_accepts_it() {
    let mut fleet = fleet(1);
    fleet.set_faults(&json!({ "copy": true }));
    assert_eq!(order(&fleet, 0, "paid").status, 200);
    fleet.hosts[0].daemon = None;
    fleet.set_faults(&json!({ "restore": true }));
    fleet.start_daemon(0).expect("the daemon starts");
    fleet.wait_until_ready(SETTLE_TIMEOUT).expect("the daemon is ready");
    let refused = publish_desk(&fleet, false).expect_err("nobody has confirmed the head");
    assert!(refused.contains("no daemon has confirmed"), "{refused}");
    let unsettled = order(&fleet, 0, "fresh");
    assert_eq!((unsettled.status, &*unsettled.reason), (503, "store-restored"), "{unsettled:?}");
    assert!(unsettled.retry_after.is_some(), "{unsettled:?}");
    let revision = publish_desk(&fleet, true).expect("the operator accepts the copy");
    assert!(wait_until(CONFIG_LIMIT, || is_in_force(&fleet, revision)).is_some());
    assert_eq!(order(&fleet, 0, "fresh").status, 200);
    assert!(publish_desk(&fleet, false).expect_err("nothing differs").contains("Unchanged"));
}

/// Guards against a claim of a paused daemon that is not waited for. The daemon also meets a
/// second restore before it has reported what it wrote in the first era.
#[test]
fn requests_wait_for_the_rows_of_a_paused_daemon_across_two_restores() {
    let mut fleet = fleet(2);
    drain_first(&fleet);
    fleet.set_faults(&json!({ "copy": true }));
    assert_eq!(order(&fleet, 0, "paid").status, 200);
    fleet.hosts[1].daemon.as_ref().expect("the daemon is running").signal("STOP");
    for _ in 0..2 {
        fleet.set_faults(&json!({ "restore": true }));
        for _ in 0..15 {
            let again = order(&fleet, 0, "paid");
            assert_eq!((again.status, &*again.outcome), (503, "unknown"), "{again:?}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    fleet.hosts[1].daemon.as_ref().expect("the daemon is running").signal("CONT");
    let is_known = || {
        let again = order(&fleet, 0, "paid");
        (again.status, &*again.outcome) == (200, "ran")
    };
    assert!(wait_until(SETTLE_TIMEOUT, is_known).is_some(), "the first answer is repeated");
    assert_eq!(runs(&mut fleet, "paid"), 1);
}

/// Guards against a second restore after which a daemon counts as accounted for, although its
/// claims were lost at the first one.
#[test]
fn claims_that_were_lost_once_stay_in_doubt_after_a_second_restore() {
    let mut fleet = fleet(2);
    drain_first(&fleet);
    fleet.set_faults(&json!({ "copy": true }));
    assert_eq!(order(&fleet, 0, "paid").status, 200);
    fleet.set_faults(&json!({ "down": true }));
    fleet.hosts[1].daemon = None;
    fleet.set_faults(&json!({ "down": false, "restore": true }));
    fleet.start_daemon(1).expect("the daemon starts");
    for _ in 0..2 {
        for _ in 0..30 {
            let again = order(&fleet, 0, "paid");
            assert_eq!((again.status, &*again.outcome), (503, "unknown"), "{again:?}");
            std::thread::sleep(Duration::from_millis(100));
        }
        fleet.set_faults(&json!({ "copy": true }));
        fleet.set_faults(&json!({ "restore": true }));
    }
    assert_eq!(runs(&mut fleet, "paid"), 1);
}

/// Guards against services that stay unsettled because of daemons which ended long before the
/// copy was made, by a planned stop or killed and started again.
#[test]
fn daemons_that_ended_before_the_copy_are_not_waited_for() {
    let mut fleet = fleet(3);
    fleet.hosts[1].daemon.as_ref().expect("the daemon is running").signal("TERM");
    let has_stopped = wait_until(SETTLE_TIMEOUT, || {
        fleet.hosts[0].state().is_some_and(|state| {
            let members = state["members"].as_array().cloned().unwrap_or_default();
            members.iter().any(|member| member["state"] == "left")
        })
    });
    assert!(has_stopped.is_some(), "the daemon has stopped");
    fleet.hosts[1].daemon = None;
    for _ in 0..2 {
        fleet.hosts[2].daemon = None;
        fleet.start_daemon(2).expect("the daemon starts");
        let is_back = || fleet.hosts[2].state().is_some_and(|state| state["revision"] != 0);
        assert!(wait_until(SETTLE_TIMEOUT, is_back).is_some(), "the daemon is ready");
        // Its record of the start is written after its first response from the store.
        std::thread::sleep(Duration::from_millis(500));
    }
    fleet.set_faults(&json!({ "copy": true }));
    assert_eq!(order(&fleet, 0, "paid").status, 200);
    fleet.set_faults(&json!({ "restore": true }));
    let fresh = wait_until(SETTLE_TIMEOUT, || order(&fleet, 0, "fresh").status == 200);
    assert!(fresh.is_some(), "new requests run again after the restore");
    assert_ne!(order(&fleet, 2, "paid").outcome, "not-run");
    assert_eq!(runs(&mut fleet, "paid"), 1);
}
