//! Which target process is registered when notices arrive late, twice, or from another
//! process.

use std::time::Duration;

use admit::{Announcement, Notice, NoticeEffect, Registration};
use quickcheck::quickcheck;

fn running(instance: &str, started: u64, sequence: u64) -> Announcement {
    Announcement {
        instance: instance.into(),
        service: "desk".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        slots: 9,
        is_leaving: false,
        started,
        sequence,
        cold_remaining: Duration::ZERO,
    }
}

fn leaving(instance: &str, started: u64, sequence: u64) -> Announcement {
    Announcement { is_leaving: true, ..running(instance, started, sequence) }
}

fn deregistered(instance: &str, started: u64) -> Notice {
    Notice::Deregistered { instance: instance.into(), started }
}

#[test]
fn target_accepts_requests_from_first_notice_until_it_leaves() {
    let mut registration = Registration::default();
    assert!(!registration.accepts_requests());
    assert_eq!(registration.apply(Notice::Announced(running("a", 1, 1))), NoticeEffect::Started);
    assert_eq!(registration.apply(Notice::Announced(running("a", 1, 2))), NoticeEffect::Confirmed);
    assert!(registration.accepts_requests());
    assert_eq!(registration.apply(Notice::Announced(leaving("a", 1, 3))), NoticeEffect::Leaving);
    assert!(!registration.accepts_requests());
    assert_eq!(registration.apply(deregistered("a", 1)), NoticeEffect::Leaving);
}

#[test]
fn notice_sent_before_departure_does_not_reactivate_target() {
    let mut registration = Registration::default();
    registration.apply(Notice::Announced(running("a", 1, 5)));
    assert_eq!(
        registration.apply(deregistered("a", 0)),
        NoticeEffect::Leaving,
        "the deregistration may omit the start time"
    );
    assert_ne!(registration.apply(Notice::Announced(running("a", 1, 6))), NoticeEffect::Confirmed);
    assert!(!registration.accepts_requests());
}

#[test]
fn late_notice_from_earlier_process_does_not_replace_newer_one() {
    let mut registration = Registration::default();
    registration.apply(Notice::Announced(running("a", 1, 9)));
    assert_eq!(registration.apply(Notice::Announced(running("b", 2, 1))), NoticeEffect::Started);
    assert_eq!(registration.apply(Notice::Announced(running("a", 1, 10))), NoticeEffect::Stale);
    assert_eq!(registration.apply(deregistered("a", 1)), NoticeEffect::Stale);
    assert!(registration.accepts_requests());
    assert_eq!(registration.current().map(|current| &*current.instance), Some("b"));
}

#[test]
fn new_process_with_same_instance_id_restarts_the_sequence() {
    let mut registration = Registration::default();
    registration.apply(Notice::Announced(running("a", 1, 9)));
    registration.apply(deregistered("a", 1));
    assert_eq!(registration.apply(Notice::Announced(running("a", 2, 1))), NoticeEffect::Started);
    assert!(registration.accepts_requests());
    assert_eq!(registration.apply(Notice::Announced(leaving("a", 1, 10))), NoticeEffect::Stale);
    assert!(registration.accepts_requests());
}

#[test]
fn health_page_is_used_until_the_target_sends_a_notice() {
    let mut registration = Registration::default();
    assert_eq!(registration.apply_health_page(running("a", 0, 0)), NoticeEffect::Started);
    assert_eq!(registration.apply(Notice::Announced(running("a", 7, 3))), NoticeEffect::Confirmed);
    assert_eq!(registration.apply_health_page(running("b", 0, 0)), NoticeEffect::Stale);
    assert!(registration.remove("a"));
    assert!(!registration.accepts_requests());
    assert_eq!(
        registration.apply(Notice::Announced(running("a", 7, 4))),
        NoticeEffect::Stale,
        "the process was removed"
    );
    assert_eq!(registration.apply(Notice::Announced(running("b", 8, 1))), NoticeEffect::Started);
}

quickcheck! {
    /// Whatever notices arrive in whatever order, the process with the latest start time
    /// is registered, and a process that has left accepts no requests again.
    fn the_latest_process_is_registered(notices: Vec<(u8, u8, bool)>) -> bool {
        let mut registration = Registration::default();
        let (mut latest, mut has_left) = (0, false);
        for (start, sequence, leaves) in notices {
            let started = u64::from(start % 4) + 1;
            let instance = format!("i{started}");
            let notice = match leaves {
                true => leaving(&instance, started, u64::from(sequence) + 1000),
                false => running(&instance, started, u64::from(sequence)),
            };
            registration.apply(Notice::Announced(notice));
            if started > latest {
                (latest, has_left) = (started, leaves);
            } else if started == latest {
                has_left |= leaves;
            }
            let current = registration.current().map(|current| current.started);
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
    let mut registration = Registration::default();
    registration.apply(Notice::Announced(running("a", 1, 1)));
    assert_eq!(registration.leave("other"), NoticeEffect::Stale);
    assert!(registration.accepts_requests());
    assert_eq!(registration.leave("a"), NoticeEffect::Leaving);
    assert_eq!(registration.apply(Notice::Announced(running("a", 1, 2))), NoticeEffect::Leaving);
    assert!(!registration.accepts_requests());
    assert_eq!(registration.apply(Notice::Announced(running("a", 2, 1))), NoticeEffect::Started);
}

/// A notice of another writer with a later start replaced the registered process, and its
/// service became that of all requests of the host (issue 35).
#[test]
fn notice_of_another_target_changes_nothing() {
    let own = running("a", 1, 5);
    let mut registration = Registration::for_target(own.service.clone(), own.address);
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
        let effect = registration.apply(Notice::Announced(announcement));
        assert_eq!(effect, NoticeEffect::Foreign, "before the target's own first notice");
        assert!(registration.current().is_none());
    }
    assert_eq!(registration.apply(Notice::Announced(own.clone())), NoticeEffect::Started);
    for announcement in refused {
        let effect = registration.apply(Notice::Announced(announcement));
        assert_eq!(effect, NoticeEffect::Foreign);
    }
    assert_eq!(registration.apply(deregistered("other", 9)), NoticeEffect::Stale);
    assert_eq!(registration.current(), Some(&own));
    assert!(registration.accepts_requests());
    assert_eq!(registration.apply(Notice::Announced(running("a", 1, 6))), NoticeEffect::Confirmed);
}
