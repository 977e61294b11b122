//! Choice of the subset of a large service that one entry uses.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use quickcheck::quickcheck;
use route::{MAX_SUBSET, Node, Target, pick_subset};

fn target(node: Node, in_local_data_centre: bool) -> Target {
    Target { node, rtt: Duration::from_millis(1), slots: 9, in_local_data_centre }
}

/// Returns targets of which every fourth is in the local data centre.
fn targets(count: u64) -> Vec<Target> {
    (1..=count).map(|node| target(node, node % 4 == 0)).collect()
}

fn nodes(targets: &[Target]) -> HashSet<Node> {
    targets.iter().map(|target| target.node).collect()
}

#[test]
fn all_targets_of_a_small_service_are_used() {
    let all = targets(MAX_SUBSET as u64);
    assert_eq!(pick_subset(7, all.clone()), all);
}

#[test]
fn half_of_the_subset_is_local_and_missing_targets_are_replaced_from_the_other_half() {
    let count = |local: u64, remote: u64| {
        let local = (1..=local).map(|node| target(node, true));
        let remote = (1001..=1000 + remote).map(|node| target(node, false));
        let used = pick_subset(7, local.chain(remote));
        let local_used = used.iter().filter(|target| target.in_local_data_centre).count();
        (local_used, used.len() - local_used)
    };
    assert_eq!(count(200, 200), (MAX_SUBSET / 2, MAX_SUBSET / 2));
    assert_eq!(count(10, 200), (10, MAX_SUBSET - 10));
    assert_eq!(count(200, 5), (MAX_SUBSET - 5, 5));
    assert_eq!(count(0, 200), (0, MAX_SUBSET));
}

/// Every daemon in a fleet of 300 calls the same service. No target may be used by many
/// more entries than the others.
#[test]
fn each_target_is_used_by_about_the_same_number_of_entries() {
    const FLEET: u64 = 300;
    let mut entries_by_target: HashMap<Node, usize> = HashMap::new();
    for entry in 1..=FLEET {
        for used in pick_subset(entry, (1..=FLEET).map(|node| target(node, false))) {
            *entries_by_target.entry(used.node).or_default() += 1;
        }
    }
    // The number of entries per target is binomially distributed, with a mean of 64 of
    // 300 and a standard deviation of 7.1.
    let (min, max) = (entries_by_target.values().min(), entries_by_target.values().max());
    assert_eq!(entries_by_target.len() as u64, FLEET);
    assert!(
        min >= Some(&36) && max <= Some(&93),
        "each target must be used by 36 to 93 entries, got {min:?} to {max:?}"
    );
}

quickcheck! {
    /// A target is lost, or comes back. Only its place in the subset may change, so that
    /// the connections to the other targets and their load estimates are kept.
    fn lost_target_is_replaced_by_exactly_one_other(entry: Node, count: u8, lost: u8) -> bool {
        let all = targets(MAX_SUBSET as u64 + 1 + u64::from(count));
        let before = nodes(&pick_subset(entry, all.clone()));
        let lost = all[usize::from(lost) % all.len()].node;
        let remaining = all.iter().copied().filter(|target| target.node != lost);
        let after = nodes(&pick_subset(entry, remaining));
        let removed: Vec<&Node> = before.difference(&after).collect();
        let added = after.difference(&before).count();
        match before.contains(&lost) {
            true => removed == [&lost] && added == 1,
            false => removed.is_empty() && added == 0,
        }
    }
}
