//! State that is shared by the whole fleet: leaving targets, the configuration, membership
//! and holds on requests that crash their targets.

mod common;

use std::time::{Duration, Instant};

use common::{call, fleet, plan};
use lab::fleet::{Fleet, wait_until, with_store};
use serde_json::{Value, json};

fn member_states(fleet: &Fleet, observer: usize) -> Vec<(String, String)> {
    let state = fleet.hosts[observer].state().unwrap_or_default();
    let members = state["members"].as_array().cloned().unwrap_or_default();
    let text = |member: &Value, key: &str| member[key].as_str().unwrap_or("").to_owned();
    members.iter().map(|member| (text(member, "address"), text(member, "state"))).collect()
}

/// Whether each of the daemons `observers` reports the daemon of host `member` in one of the
/// `expected` states.
fn all_report(fleet: &Fleet, observers: &[usize], member: usize, expected: &[&str]) -> bool {
    let address = fleet.hosts[member].peers.to_string();
    observers.iter().all(|index| {
        let reported = member_states(fleet, *index);
        reported.iter().any(|(of, state)| *of == address && expected.contains(&&**state))
    })
}

#[test]
fn a_leaving_target_gets_no_new_work_and_loses_none() {
    let mut fleet =
        Fleet::start(plan(3, 4, Duration::from_millis(300), 3)).expect("the fleet starts");
    let entries: Vec<_> = fleet.hosts.iter().map(|host| host.callers).collect();
    let calls: Vec<_> = (0..6)
        .map(|number| {
            let entry = entries[number % 3];
            std::thread::spawn(move || call(entry, "GET", "/read/1", &format!("r{number}"), ""))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(100));
    let admin = cli::admin::AdminClient::default();
    admin.post(fleet.hosts[0].admin, "/drain", &Value::Null).expect("the admin page responds");
    for call in calls {
        let response = call.join().expect("the caller thread finishes");
        assert_eq!(response.status, 200, "{response:?}");
    }
    std::thread::sleep(Duration::from_secs(3));
    fleet.collect_runs();
    let before = fleet.hosts[0].runs.len();
    for number in 0..30 {
        let response = call(entries[number % 3], "GET", "/read/1", &format!("after-{number}"), "");
        assert_eq!(response.status, 200, "{response:?}");
    }
    fleet.collect_runs();
    assert_eq!(fleet.hosts[0].runs.len(), before, "a leaving target got new requests");
}

#[test]
fn a_request_that_crashes_targets_is_held_everywhere_after_two_crashes() {
    let mut fleet = fleet(4);
    let entries: Vec<_> = fleet.hosts.iter().map(|host| host.callers).collect();
    let mut last = None;
    for number in 0..8 {
        let entry = entries[number % 4];
        last = Some(call(entry, "PUT", "/upload", &format!("poison-{number}"), "crash"));
        std::thread::sleep(Duration::from_millis(100));
    }
    let last = last.expect("eight requests were sent");
    assert_eq!((&*last.outcome, &*last.reason), ("not-run", "held"), "{last:?}");
    assert!(last.retry_after.is_some(), "{last:?}");
    let target_processes = fleet.hosts.iter_mut().filter_map(|host| host.target_process.as_mut());
    let crashes = target_processes.filter_map(|process| process.has_exited().then_some(())).count();
    assert!(crashes <= 2, "{crashes} targets crashed");
    let harmless = call(entries[0], "PUT", "/upload", "innocent", "harmless");
    assert_eq!(harmless.status, 200, "{harmless:?}");
}

#[test]
fn of_two_concurrent_publications_one_is_accepted_and_one_reports_the_winner() {
    let fleet = fleet(1);
    let publish = |who: &'static str, body: String, platform| {
        std::thread::spawn(move || {
            let publication = cli::publish::Publication {
                id: format!("{who}-id").into(),
                who: who.into(),
                files: vec![cli::files::ServiceFile { service: "desk".into(), body: body.into() }],
                remove: Vec::new(),
                accept_copy: false,
            };
            with_store(platform, async |store| cli::publish::publish(&store, publication).await)
                .map(|(published, _)| published)
                .map_err(|report| format!("{report:?}"))
        })
    };
    fleet.set_faults(&json!({ "slow_ms": 100 }));
    let first = publish("one", common::DESK.replace("2s", "3s"), fleet.platform);
    let second = publish("two", common::DESK.replace("2s", "4s"), fleet.platform);
    let results = [
        first.join().expect("the publisher thread finishes"),
        second.join().expect("the publisher thread finishes"),
    ];
    let won = |result: &Result<cli::publish::PublishResult, String>| {
        matches!(result, Ok(cli::publish::PublishResult::Accepted { .. }))
    };
    let lost = |result: &Result<cli::publish::PublishResult, String>| matches!(result, Ok(cli::publish::PublishResult::Lost { winner }) if winner.contains("-id"));
    assert_eq!(results.iter().filter(|result| won(result)).count(), 1, "{results:?}");
    assert_eq!(results.iter().filter(|result| lost(result)).count(), 1, "{results:?}");
}

#[test]
fn a_publication_with_lost_responses_is_resolved_and_applied_once() {
    let fleet = fleet(2);
    let state = fleet.hosts[0].state().unwrap_or_default();
    let first = state["revision"].as_u64().expect("a revision is in force");
    fleet.set_faults(&json!({ "lose_answers": 1.0 }));
    let body = common::DESK.replace("2s", "5s");
    let revision =
        fleet.publish(&[("desk".into(), body.into())]).expect("the publication is resolved");
    assert_eq!(revision, first + 1);
    let entries = with_store(fleet.platform, async |store| cli::history::read(&store, 10).await);
    assert_eq!(entries.expect("the configuration log is readable").len(), 2);
}

#[test]
fn a_publication_spreads_while_the_platform_is_down_and_outlives_replaced_daemons() {
    let mut fleet = fleet(4);
    let body = common::DESK.replace("2s", "6s");
    let revision =
        fleet.publish(&[("desk".into(), body.into())]).expect("the publication is accepted");
    fleet.set_faults(&json!({ "down": true }));
    let accepted = Instant::now();
    let revision_of = |fleet: &Fleet, index: usize| {
        fleet.hosts[index].state().and_then(|state| state["revision"].as_u64()).unwrap_or(0)
    };
    let everywhere = || (0..4).all(|index| revision_of(&fleet, index) == revision);
    assert!(
        wait_until(Duration::from_secs(4), everywhere).is_some(),
        "the revision is not in force on all daemons within 4 s"
    );
    assert!(accepted.elapsed() < Duration::from_secs(4));
    if let Some(daemon) = &mut fleet.hosts[2].daemon {
        daemon.kill();
    }
    fleet.start_daemon(2).expect("the daemon starts");
    fleet.wait_until_ready(Duration::from_secs(10)).expect("the daemon syncs from its peers");
    assert_eq!(revision_of(&fleet, 2), revision);
}

#[test]
fn a_killed_daemon_is_detected_and_its_replacement_rejoins() {
    let mut fleet = fleet(4);
    if let Some(daemon) = &mut fleet.hosts[3].daemon {
        daemon.kill();
    }
    fleet.hosts[3].daemon = None;
    let is_lost = || all_report(&fleet, &[0, 1, 2], 3, &["lost", "left"]);
    assert!(
        wait_until(Duration::from_secs(40), is_lost).is_some(),
        "the killed daemon is not declared lost within 40 s"
    );
    for number in 0..20 {
        let response = call(fleet.hosts[0].callers, "GET", "/read/1", &format!("n{number}"), "");
        assert_eq!(response.status, 200, "{response:?}");
    }
    fleet.start_daemon(3).expect("the daemon starts");
    let is_back = || all_report(&fleet, &[0, 1, 2], 3, &["alive"]);
    assert!(
        wait_until(Duration::from_secs(20), is_back).is_some(),
        "the replacement is not alive in all member lists within 20 s"
    );
}

#[test]
fn a_resumed_daemon_rejoins_and_declares_no_other_member_lost() {
    let fleet = fleet(4);
    let paused = fleet.hosts[3].daemon.as_ref().expect("the daemon is running");
    paused.signal("STOP");
    std::thread::sleep(Duration::from_secs(3));
    paused.signal("CONT");
    let all_alive = || (0..4).all(|member| all_report(&fleet, &[0, 1, 2, 3], member, &["alive"]));
    assert!(
        wait_until(Duration::from_secs(20), all_alive).is_some(),
        "a member is not alive in all member lists"
    );
}

#[test]
fn platform_objects_and_rows_are_read_as_written() {
    let fleet = Fleet::start_platform(plan(1, 1, Duration::ZERO, 1)).expect("the platform starts");
    let write = |key: &str, condition| store::Write {
        key: key.into(),
        condition,
        value: format!("value of {key}").into(),
    };
    with_store(fleet.platform, async |store| {
        assert_eq!(store.read_object("a b/c").await, Ok(None));
        assert!(store.write_object("a b/c", "content").await);
        assert_eq!(store.read_object("a b/c").await, Ok(Some("content".into())));
        let absent = store::Condition::Absent;
        let both = vec![write("k/1", absent.clone()), write("k/2", absent.clone())];
        let store::CommitResult::Done(tags) = store.commit(both).await else {
            panic!("a commit of absent rows is not refused");
        };
        let mixed = vec![write("k/3", absent.clone()), write("k/1", absent)];
        assert_eq!(store.commit(mixed).await, store::CommitResult::Conflict(vec![1]));
        assert_eq!(store.read("k/3").await, Ok(None), "a refused commit writes no row");
        let tagged = store::Condition::Tag(tags[0]);
        assert!(matches!(
            store.commit(vec![write("k/1", tagged.clone())]).await,
            store::CommitResult::Done(_)
        ));
        let again = store.commit(vec![write("k/1", tagged)]).await;
        assert_eq!(again, store::CommitResult::Conflict(vec![0]));
        let rows = store.list("k/", "k/1", 10).await.expect("the platform responds");
        assert_eq!(rows.len(), 1);
        assert_eq!(&*rows[0].key, "k/2");
    });
}
