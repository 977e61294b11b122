//! Traffic splits of a path among its services, over small numbers of requests.

use route::TrafficSplits;

/// Number of entries in a typical deployment.
const ENTRIES: u64 = 14;
/// Largest deviation of a share from its weight that operators accept, as a fraction of
/// all requests.
const MAX_DEVIATION: f64 = 0.1;

/// Fraction of the requests whose draw is below `weight`. The entries receive the
/// requests in turn.
fn share(entries: &mut [TrafficSplits], requests: usize, weight: f64) -> f64 {
    let count = entries.len();
    let below = (0..requests).filter(|n| entries[n % count].draw("path") < weight);
    below.count() as f64 / requests as f64
}

fn entries(count: u64) -> Vec<TrafficSplits> {
    (0..count).map(|entry| TrafficSplits::with_seed(entry.wrapping_mul(0x9e37_79b9))).collect()
}

#[test]
fn share_of_one_entry_is_close_to_the_weight_after_30_requests() {
    for weight in [0.05, 0.2, 0.5, 0.9] {
        let share = share(&mut entries(1), 30, weight);
        assert!((share - weight).abs() < MAX_DEVIATION / 2.0, "{share} of {weight}");
    }
}

#[test]
fn share_of_all_entries_is_close_to_the_weight_after_200_requests() {
    for weight in [0.05, 0.2, 0.5, 0.9] {
        let share = share(&mut entries(ENTRIES), 200, weight);
        assert!((share - weight).abs() < MAX_DEVIATION / 2.0, "{share} of {weight}");
    }
}

/// The weight of a canary is changed from a tenth to a half, then to 0.3. The share must
/// follow each new weight without compensation for requests sent before the change.
#[test]
fn share_follows_a_changed_weight_without_overshoot() {
    let mut entries = entries(ENTRIES);
    for weight in [0.1, 0.5, 0.3] {
        let share = share(&mut entries, 200, weight);
        assert!((share - weight).abs() < MAX_DEVIATION / 2.0, "{share} of {weight}");
    }
}

/// Each entry receives one request, as in the first second of a fleet of hundreds.
#[test]
fn share_of_the_first_requests_of_many_entries_is_close_to_the_weight() {
    let share = share(&mut entries(300), 300, 0.2);
    assert!((share - 0.2).abs() < MAX_DEVIATION, "{share}");
}
