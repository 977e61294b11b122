//! Gossip about the latest read of the store.

use std::time::{Duration, Instant};

use member::{Confirmation, Freshness};

const MILLISECOND: Duration = Duration::from_millis(1);

/// Returns a time late enough that ages can be subtracted.
fn start() -> Instant {
    Instant::now() + Duration::from_secs(3600)
}

#[test]
fn a_round_is_dated_by_its_age_and_never_again() {
    let (now, mut freshness) = (start(), Freshness::default());
    assert_eq!(freshness.read_at(), None);
    let confirmation = Confirmation { round: 4, age: 300 * MILLISECOND };
    assert!(freshness.learn(now, confirmation));
    assert_eq!(freshness.read_at(), Some(now - 300 * MILLISECOND));
    // Delays of datagrams are not part of the age, so the same round may come back younger.
    let later = now + 500 * MILLISECOND;
    assert!(!freshness.learn(later, Confirmation { round: 4, age: Duration::ZERO }));
    assert_eq!(freshness.read_at(), Some(now - 300 * MILLISECOND));
}

/// Two members pass a round to and fro over a slow link. The age grows with time all the same,
/// so that silence of all readers is noticed.
#[test]
fn a_circulating_round_grows_old() {
    let (mut now, mut one, mut other) = (start(), Freshness::default(), Freshness::default());
    let read_at = now;
    one.confirm(read_at);
    for _ in 0..50 {
        let sent = one.take(now).expect("a round is known");
        now += 60 * MILLISECOND;
        other.learn(now, sent);
        let sent = other.take(now).expect("a round is known");
        now += 60 * MILLISECOND;
        one.learn(now, sent);
    }
    assert_eq!(one.read_at(), Some(read_at));
    assert_eq!(other.read_at(), Some(read_at + 60 * MILLISECOND));
}

#[test]
fn a_late_round_with_an_old_read_does_not_make_the_store_older() {
    let (now, mut freshness) = (start(), Freshness::default());
    freshness.confirm(now);
    assert!(freshness.learn(now, Confirmation { round: 9, age: 5000 * MILLISECOND }));
    assert_eq!(freshness.read_at(), Some(now));
    freshness.confirm(now + MILLISECOND);
    assert_eq!(freshness.take(now + MILLISECOND).map(|sent| sent.round), Some(10));
}

#[test]
fn each_round_is_sent_a_few_times() {
    let (now, mut freshness) = (start(), Freshness::default());
    assert!(!freshness.has_pending());
    freshness.confirm(now);
    let mut sends = 0;
    while freshness.has_pending() {
        freshness.take(now);
        sends += 1;
    }
    assert_eq!(sends, 4);
    assert!(freshness.take(now).is_some(), "later datagrams carry it too");
}
