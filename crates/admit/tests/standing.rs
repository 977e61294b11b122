//! Which target process is registered when notices arrive late, twice, or from another
//! process.

use std::time::{Duration, Instant};

use admit::{Announcement, Notice, NoticeEffect, Registration};
use quickcheck::quickcheck;

fn running(instance: &str, started: u64, sequence: u64) -> Announcement {
    Announcement {
        instance: instance.into(),
        service: "desk".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        slots: 9,
        is_leaving: false,
        started: (started != 0).then_some(started),
        sequence,
        cold_remaining: Duration::ZERO,
    }
}

fn leaving(instance: &str, started: u64, sequence: u64) -> Announcement {
    Announcement { is_leaving: true, ..running(instance, started, sequence) }
}

fn deregistered(instance: &str, started: u64) -> Notice {
    Notice::Deregistered { instance: instance.into(), started: (started != 0).then_some(started) }
}

#[test]
fn target_accepts_requests_from_first_notice_until_it_leaves() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    assert!(!registration.accepts_requests());
    assert_eq!(
        registration.apply(now, Notice::Announced(running("a", 1, 1))),
        NoticeEffect::Started
    );
    assert_eq!(
        registration.apply(now, Notice::Announced(running("a", 1, 2))),
        NoticeEffect::Confirmed
    );
    assert!(registration.accepts_requests());
    assert_eq!(
        registration.apply(now, Notice::Announced(leaving("a", 1, 3))),
        NoticeEffect::Leaving
    );
    assert!(!registration.accepts_requests());
    assert_eq!(registration.apply(now, deregistered("a", 1)), NoticeEffect::Leaving);
}

#[test]
fn notice_sent_before_departure_does_not_reactivate_target() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    registration.apply(now, Notice::Announced(running("a", 1, 5)));
    assert_eq!(
        registration.apply(now, deregistered("a", 0)),
        NoticeEffect::Leaving,
        "the deregistration may omit the start time"
    );
    assert_ne!(
        registration.apply(now, Notice::Announced(running("a", 1, 6))),
        NoticeEffect::Confirmed
    );
    assert!(!registration.accepts_requests());
}

#[test]
fn late_notice_from_earlier_process_does_not_replace_newer_one() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    registration.apply(now, Notice::Announced(running("a", 1, 9)));
    assert_eq!(
        registration.apply(now, Notice::Announced(running("b", 2, 1))),
        NoticeEffect::Started
    );
    assert_eq!(
        registration.apply(now, Notice::Announced(running("a", 1, 10))),
        NoticeEffect::Stale
    );
    assert_eq!(registration.apply(now, deregistered("a", 1)), NoticeEffect::Stale);
    assert!(registration.accepts_requests());
    assert_eq!(registration.current().map(|current| &*current.instance), Some("b"));
}

#[test]
fn new_process_with_same_instance_id_restarts_the_sequence() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    registration.apply(now, Notice::Announced(running("a", 1, 9)));
    registration.apply(now, deregistered("a", 1));
    assert_eq!(
        registration.apply(now, Notice::Announced(running("a", 2, 1))),
        NoticeEffect::Started
    );
    assert!(registration.accepts_requests());
    assert_eq!(
        registration.apply(now, Notice::Announced(leaving("a", 1, 10))),
        NoticeEffect::Stale
    );
    assert!(registration.accepts_requests());
}

#[test]
fn health_page_is_used_until_the_target_sends_a_notice() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    assert_eq!(registration.apply_health_page(now, running("a", 0, 0)), NoticeEffect::Started);
    assert_eq!(
        registration.apply(now, Notice::Announced(running("a", 7, 3))),
        NoticeEffect::Confirmed
    );
    assert_eq!(registration.apply_health_page(now, running("b", 0, 0)), NoticeEffect::Stale);
    assert!(registration.remove(now, "a"));
    assert!(!registration.accepts_requests());
    assert_eq!(
        registration.apply(now, Notice::Announced(running("a", 7, 4))),
        NoticeEffect::Stale,
        "the process was removed"
    );
    assert_eq!(
        registration.apply(now, Notice::Announced(running("b", 8, 1))),
        NoticeEffect::Started
    );
}

/// Longer than any notice is under way.
const LATER: Duration = Duration::from_secs(10);

/// Issue 46: the deregistration of a process that was not registered yet, without its start
/// time, did not keep a late heartbeat of that process from registering it.
#[test]
fn late_heartbeat_does_not_register_a_process_whose_departure_came_first() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    assert_eq!(registration.apply(now, deregistered("a", 0)), NoticeEffect::Stale);
    let late = Notice::Announced(running("a", 7, 14));
    assert_eq!(registration.apply(now, late.clone()), NoticeEffect::Stale);
    assert_eq!(registration.apply_health_page(now, running("a", 0, 0)), NoticeEffect::Stale);
    assert!(!registration.accepts_requests());
    let other = Notice::Announced(running("b", 8, 1));
    assert_eq!(registration.apply(now, other), NoticeEffect::Started, "it is another process");
    assert!(registration.accepts_requests());
    assert_eq!(registration.apply(now, late), NoticeEffect::Stale);
}

/// The departure of a process with an unknown start time must not keep a later process with the
/// same instance id out of use.
#[test]
fn later_process_with_the_instance_id_of_a_departed_one_is_registered() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    registration.apply(now, deregistered("a", 0));
    let announced = Notice::Announced(running("a", 7, 1));
    assert_eq!(registration.apply(now + LATER, announced), NoticeEffect::Started);
    assert!(registration.accepts_requests());
    registration.apply(now + LATER, Notice::Announced(running("a", 7, 2)));
    registration.apply(now + LATER, Notice::Announced(running("b", 9, 1)));
    assert!(registration.remove(now + LATER, "b"), "its notice was false");
    let announced = Notice::Announced(running("a", 7, 3));
    assert_eq!(registration.apply(now + LATER, announced), NoticeEffect::Started);

    let mut registration = Registration::new(now);
    registration.apply_health_page(now, running("a", 0, 0));
    assert_eq!(registration.apply(now, deregistered("a", 0)), NoticeEffect::Leaving);
    let announced = Notice::Announced(running("a", 7, 1));
    assert_eq!(registration.apply(now + LATER, announced), NoticeEffect::Started);
    assert!(registration.accepts_requests());

    let mut registration = Registration::new(now);
    registration.apply_health_page(now, running("a", 0, 0));
    registration.apply(now, deregistered("a", 0));
    let late = Notice::Announced(running("a", 7, 9));
    assert_eq!(registration.apply(now, late), NoticeEffect::Leaving, "it gives the start time");
    let announced = Notice::Announced(running("a", 8, 1));
    assert_eq!(registration.apply(now, announced), NoticeEffect::Started);
    assert!(registration.accepts_requests());
}

/// A process whose address belongs to another one was registered again by a late heartbeat if
/// only the health page had described it.
#[test]
fn late_heartbeat_does_not_register_a_removed_process() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    registration.apply_health_page(now, running("a", 0, 0));
    assert!(registration.remove(now, "a"));
    let late = Notice::Announced(running("a", 7, 3));
    assert_eq!(registration.apply(now, late), NoticeEffect::Stale);
    assert!(!registration.accepts_requests());
}

/// A health page that said that its process is leaving was not remembered while no process was
/// registered.
#[test]
fn stated_leaving_is_remembered_before_the_process_is_registered() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    assert_eq!(registration.leave(now, "a"), NoticeEffect::Stale);
    let announced = Notice::Announced(running("a", 7, 3));
    assert_eq!(registration.apply(now, announced), NoticeEffect::Stale);
    assert!(!registration.accepts_requests());
}

/// A departure was forgotten when a notice of a later process, which was false, replaced the
/// process that had announced it.
#[test]
fn announced_departure_is_remembered_after_another_process_was_registered() {
    let now = Instant::now();
    for states_leaving in [false, true] {
        let mut registration = Registration::new(now);
        registration.apply(now, Notice::Announced(running("a", 7, 11)));
        match states_leaving {
            true => registration.leave(now, "a"),
            false => registration.apply(now, Notice::Announced(leaving("a", 7, 12))),
        };
        registration.apply(now, Notice::Announced(running("b", 9, 1)));
        assert!(registration.remove(now, "b"), "it is not there");
        let late = Notice::Announced(running("a", 7, 10));
        assert_eq!(registration.apply(now, late), NoticeEffect::Stale);
        assert!(!registration.accepts_requests());
    }
    let mut registration = Registration::new(now);
    registration.apply(now, Notice::Announced(running("b", 9, 1)));
    let outdated = Notice::Announced(leaving("a", 7, 12));
    assert_eq!(registration.apply(now, outdated), NoticeEffect::Stale);
    assert!(registration.remove(now, "b"), "it is not there");
    let late = Notice::Announced(running("a", 7, 10));
    assert_eq!(registration.apply(now, late), NoticeEffect::Stale);
}

/// Issue 46: a daemon that was restarted after it had acknowledged a departure believed a late
/// heartbeat, although the health page said that the process was not in service.
#[test]
fn heartbeat_alone_does_not_admit_a_process_that_its_health_page_denies() {
    let now = Instant::now();
    let heartbeat = |sequence| Notice::Announced(running("a", 7, sequence));
    let mut registration = Registration::new(now);
    registration.deny("a");
    assert_eq!(registration.apply(now, heartbeat(14)), NoticeEffect::Started);
    assert!(!registration.accepts_requests());
    registration.apply(now + LATER / 2, heartbeat(15));
    assert!(!registration.accepts_requests(), "it may have been sent before the departure too");
    registration.confirm();
    assert!(registration.accepts_requests());
    registration.deny("a");
    assert!(registration.accepts_requests(), "the page can be wrong");
}

#[test]
fn process_that_announces_itself_later_is_admitted_against_its_health_page() {
    let now = Instant::now();
    let heartbeat = |sequence| Notice::Announced(running("a", 7, sequence));
    let mut registration = Registration::new(now);
    registration.apply(now, heartbeat(1));
    registration.deny("a");
    assert!(!registration.accepts_requests());
    assert_eq!(registration.apply(now + LATER, heartbeat(8)), NoticeEffect::Confirmed);
    assert!(registration.accepts_requests());
    let successor = Notice::Announced(running("b", 8, 1));
    assert_eq!(registration.apply(now + LATER, successor), NoticeEffect::Started);
    registration.deny("a");
    assert!(registration.accepts_requests(), "the page belongs to an earlier process");
}

/// A target whose health page is out of order must be used if it cannot have left before the
/// daemon started.
#[test]
fn process_after_one_in_service_is_admitted_without_its_health_page() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    registration.apply(now, Notice::Announced(running("a", 7, 1)));
    registration.confirm();
    registration.apply(now, Notice::Announced(running("b", 8, 1)));
    registration.deny("b");
    assert!(registration.accepts_requests());

    let mut registration = Registration::new(now);
    registration.apply(now, Notice::Announced(running("a", 7, 1)));
    registration.apply(now, Notice::Announced(running("b", 8, 1)));
    registration.deny("b");
    assert!(!registration.accepts_requests(), "the first process may have left long ago");
}

quickcheck! {
    /// Whatever arrives before and after the deregistration of a process, in whatever order, it
    /// accepts no requests while its notices may be under way.
    fn a_deregistered_process_accepts_no_requests(
        before: Vec<(u8, u8)>,
        after: Vec<(u8, u8)>
    ) -> bool {
        let now = Instant::now();
        let mut registration = Registration::new(now);
        let apply = |registration: &mut Registration, (kind, sequence): (u8, u8)| {
            let sequence = u64::from(sequence);
            match kind % 5 {
                0 => drop(registration.apply_health_page(now, running("a", 0, 0))),
                1 => drop(registration.apply(now, Notice::Announced(leaving("a", 7, sequence)))),
                2 => registration.confirm(),
                3 => drop(registration.remove(now, "a")),
                _ => drop(registration.apply(now, Notice::Announced(running("a", 7, sequence)))),
            }
        };
        before.into_iter().for_each(|event| apply(&mut registration, event));
        registration.apply(now, deregistered("a", 0));
        after.into_iter().all(|event| {
            apply(&mut registration, event);
            !registration.accepts_requests()
        })
    }

    /// Whatever notices arrive in whatever order, the process with the latest start time
    /// is registered, and a process that has left accepts no requests again.
    fn the_latest_process_is_registered(notices: Vec<(u8, u8, bool)>) -> bool {
        let now = Instant::now();
    let mut registration = Registration::new(now);
        let (mut latest, mut has_left) = (0, false);
        for (start, sequence, leaves) in notices {
            let started = u64::from(start % 4) + 1;
            let instance = format!("i{started}");
            let notice = match leaves {
                true => leaving(&instance, started, u64::from(sequence) + 1000),
                false => running(&instance, started, u64::from(sequence)),
            };
            registration.apply(now, Notice::Announced(notice));
            if started > latest {
                (latest, has_left) = (started, leaves);
            } else if started == latest {
                has_left |= leaves;
            }
            let current = registration.current().and_then(|current| current.started);
            if current != Some(latest) || registration.accepts_requests() == has_left {
                return false;
            }
        }
        true
    }
}

/// Issue 26: a target may state in an answer that it is leaving, before any notice does.
#[test]
fn stated_leaving_is_not_undone_by_a_later_announcement() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    registration.apply(now, Notice::Announced(running("a", 1, 1)));
    assert_eq!(registration.leave(now, "other"), NoticeEffect::Stale);
    assert!(registration.accepts_requests());
    assert_eq!(registration.leave(now, "a"), NoticeEffect::Leaving);
    assert_eq!(
        registration.apply(now, Notice::Announced(running("a", 1, 2))),
        NoticeEffect::Leaving
    );
    assert!(!registration.accepts_requests());
    assert_eq!(
        registration.apply(now, Notice::Announced(running("a", 2, 1))),
        NoticeEffect::Started
    );
}

/// A notice of another writer with a later start replaced the registered process, and its
/// service became that of all requests of the host (issue 35).
#[test]
fn notice_of_another_target_changes_nothing() {
    let own = running("a", 1, 5);
    let now = Instant::now();
    let mut registration = Registration::for_target(now, own.service.clone(), own.address);
    let foreign = |instance: &str, service: &str| Announcement {
        service: service.into(),
        ..running(instance, 9, 1)
    };
    let elsewhere = Announcement {
        address: "10.0.0.1:81".parse().expect("an address"),
        ..running("other", 9, 1)
    };
    let long = "x".repeat(100_000);
    let refused = [
        foreign("other", "unknown"),
        foreign("a", "unknown"),
        foreign("other", ""),
        foreign("other", &long),
        Announcement { is_leaving: true, ..foreign("a", "unknown") },
        elsewhere.clone(),
        Announcement { is_leaving: true, instance: "a".into(), ..elsewhere },
    ];
    for announcement in refused.clone() {
        let effect = registration.apply(now, Notice::Announced(announcement));
        assert_eq!(effect, NoticeEffect::Foreign, "before the target's own first notice");
        assert!(registration.current().is_none());
    }
    assert_eq!(registration.apply(now, Notice::Announced(own.clone())), NoticeEffect::Started);
    for announcement in refused {
        let effect = registration.apply(now, Notice::Announced(announcement));
        assert_eq!(effect, NoticeEffect::Foreign);
    }
    assert_eq!(registration.apply(now, deregistered("other", 9)), NoticeEffect::Stale);
    assert_eq!(registration.current(), Some(&own));
    assert!(registration.accepts_requests());
    assert_eq!(
        registration.apply(now, Notice::Announced(running("a", 1, 6))),
        NoticeEffect::Confirmed
    );
}
