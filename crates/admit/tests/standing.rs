//! Which start of a target is served, by notices that come late, twice or from
//! another start.

use std::time::Duration;

use admit::{Announcement, Change, Notice, Standing};
use quickcheck::quickcheck;

fn here(instance: &str, started: u64, sequence: u64) -> Announcement {
    Announcement {
        instance: instance.into(),
        service: "desk".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        slots: 9,
        is_leaving: false,
        started,
        sequence,
        cold_for: Duration::ZERO,
    }
}

fn leaving(instance: &str, started: u64, sequence: u64) -> Announcement {
    Announcement { is_leaving: true, ..here(instance, started, sequence) }
}

fn gone(instance: &str, started: u64) -> Notice {
    Notice::Gone { instance: instance.into(), started }
}

#[test]
fn a_target_is_served_from_its_first_notice_until_it_leaves() {
    let mut standing = Standing::default();
    assert!(!standing.takes_work());
    assert_eq!(standing.hear(Notice::Here(here("a", 1, 1))), Change::Started);
    assert_eq!(standing.hear(Notice::Here(here("a", 1, 2))), Change::Confirmed);
    assert!(standing.takes_work());
    assert_eq!(standing.hear(Notice::Here(leaving("a", 1, 3))), Change::Leaving);
    assert!(!standing.takes_work());
    assert_eq!(standing.hear(gone("a", 1)), Change::Leaving);
}

#[test]
fn a_notice_that_was_sent_before_the_target_left_does_not_bring_it_back() {
    let mut standing = Standing::default();
    standing.hear(Notice::Here(here("a", 1, 5)));
    assert_eq!(standing.hear(gone("a", 0)), Change::Leaving, "it may tell no time of its start");
    assert_ne!(standing.hear(Notice::Here(here("a", 1, 6))), Change::Confirmed);
    assert!(!standing.takes_work());
}

#[test]
fn a_late_notice_of_an_earlier_start_does_not_replace_the_newer() {
    let mut standing = Standing::default();
    standing.hear(Notice::Here(here("a", 1, 9)));
    assert_eq!(standing.hear(Notice::Here(here("b", 2, 1))), Change::Started);
    assert_eq!(standing.hear(Notice::Here(here("a", 1, 10))), Change::Stale);
    assert_eq!(standing.hear(gone("a", 1)), Change::Stale);
    assert!(standing.takes_work());
    assert_eq!(standing.current().map(|current| &*current.instance), Some("b"));
}

#[test]
fn a_new_start_under_the_same_id_begins_its_count_anew() {
    let mut standing = Standing::default();
    standing.hear(Notice::Here(here("a", 1, 9)));
    standing.hear(gone("a", 1));
    assert_eq!(standing.hear(Notice::Here(here("a", 2, 1))), Change::Started);
    assert!(standing.takes_work());
    assert_eq!(standing.hear(Notice::Here(leaving("a", 1, 10))), Change::Stale);
    assert!(standing.takes_work());
}

#[test]
fn what_a_health_page_shows_counts_until_the_target_speaks() {
    let mut standing = Standing::default();
    assert_eq!(standing.guess(here("a", 0, 0)), Change::Started);
    assert_eq!(standing.hear(Notice::Here(here("a", 7, 3))), Change::Confirmed);
    assert_eq!(standing.guess(here("b", 0, 0)), Change::Stale);
    assert!(standing.forget("a"));
    assert!(!standing.takes_work());
    assert_eq!(standing.hear(Notice::Here(here("a", 7, 4))), Change::Stale, "it is not there");
    assert_eq!(standing.hear(Notice::Here(here("b", 8, 1))), Change::Started);
}

quickcheck! {
    /// Whatever comes in whatever order, the latest start that spoke is served, and
    /// one that has left takes no work again.
    fn the_latest_start_wins(notices: Vec<(u8, u8, bool)>) -> bool {
        let mut standing = Standing::default();
        let (mut latest, mut has_left) = (0, false);
        for (start, sequence, leaves) in notices {
            let started = u64::from(start % 4) + 1;
            let instance = format!("i{started}");
            let notice = match leaves {
                true => leaving(&instance, started, u64::from(sequence) + 1000),
                false => here(&instance, started, u64::from(sequence)),
            };
            standing.hear(Notice::Here(notice));
            if started > latest {
                (latest, has_left) = (started, leaves);
            } else if started == latest {
                has_left |= leaves;
            }
            let current = standing.current().map(|current| current.started);
            if current != Some(latest) || standing.takes_work() == has_left {
                return false;
            }
        }
        true
    }
}
