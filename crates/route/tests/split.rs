//! Shares of a path's requests among its services, by small samples.

use route::Splits;

/// Entries of a deployment of today's size.
const ENTRIES: u64 = 14;
/// Largest distance of a share from its weight that operators accept, in parts of 1.
const ALLOWED: f64 = 0.1;

/// Part of the requests that lies below `weight`, where entry number `n` gets the `n`-th
/// request, then its next, and so on.
fn share(entries: &mut [Splits], requests: usize, weight: f64) -> f64 {
    let count = entries.len();
    let below = (0..requests).filter(|n| entries[n % count].draw("path") < weight);
    below.count() as f64 / requests as f64
}

fn entries(count: u64) -> Vec<Splits> {
    (0..count).map(|entry| Splits::with_seed(entry.wrapping_mul(0x9e37_79b9))).collect()
}

#[test]
fn one_entry_is_close_to_the_weight_after_a_few_requests() {
    for weight in [0.05, 0.2, 0.5, 0.9] {
        let share = share(&mut entries(1), 30, weight);
        assert!((share - weight).abs() < ALLOWED / 2.0, "{share} of {weight}");
    }
}

#[test]
fn all_entries_together_are_close_after_200_requests() {
    for weight in [0.05, 0.2, 0.5, 0.9] {
        let share = share(&mut entries(ENTRIES), 200, weight);
        assert!((share - weight).abs() < ALLOWED / 2.0, "{share} of {weight}");
    }
}

/// A canary that gets a tenth, then half: no entry makes up for the past.
#[test]
fn a_change_of_the_weights_starts_no_jump() {
    let mut entries = entries(ENTRIES);
    for weight in [0.1, 0.5, 0.3] {
        let share = share(&mut entries, 200, weight);
        assert!((share - weight).abs() < ALLOWED / 2.0, "{share} of {weight}");
    }
}

/// One request an entry, as in a fleet of hundreds in its first second.
#[test]
fn first_requests_of_many_entries_are_close() {
    let share = share(&mut entries(300), 300, 0.2);
    assert!((share - 0.2).abs() < ALLOWED, "{share}");
}
