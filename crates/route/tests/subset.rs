//! The part of a large service that one entry uses.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use quickcheck::quickcheck;
use route::{MAX_USED, Node, Target, pick_subset};

fn target(node: Node, is_near: bool) -> Target {
    Target { node, rtt: Duration::from_millis(1), slots: 9, is_near }
}

/// Targets of which every fourth is near.
fn targets(count: u64) -> Vec<Target> {
    (1..=count).map(|node| target(node, node % 4 == 0)).collect()
}

fn nodes(targets: &[Target]) -> HashSet<Node> {
    targets.iter().map(|target| target.node).collect()
}

#[test]
fn a_small_service_is_used_whole() {
    let all = targets(MAX_USED as u64);
    assert_eq!(pick_subset(7, all.clone()), all);
}

#[test]
fn half_is_taken_from_near_and_either_side_fills_up_for_the_other() {
    let count = |near: u64, far: u64| {
        let near = (1..=near).map(|node| target(node, true));
        let far = (1001..=1000 + far).map(|node| target(node, false));
        let used = pick_subset(7, near.chain(far));
        let is_near = used.iter().filter(|target| target.is_near).count();
        (is_near, used.len() - is_near)
    };
    assert_eq!(count(200, 200), (MAX_USED / 2, MAX_USED / 2));
    assert_eq!(count(10, 200), (10, MAX_USED - 10));
    assert_eq!(count(200, 5), (MAX_USED - 5, 5));
    assert_eq!(count(0, 200), (0, MAX_USED));
}

/// Pattern: a fleet of 300 whose every daemon calls the same service. No target may
/// be met by many more entries than the others.
#[test]
fn entries_spread_evenly_over_the_targets() {
    const FLEET: u64 = 300;
    let mut met: HashMap<Node, usize> = HashMap::new();
    for entry in 1..=FLEET {
        for used in pick_subset(entry, (1..=FLEET).map(|node| target(node, false))) {
            *met.entry(used.node).or_default() += 1;
        }
    }
    // The count of each is binomial: 64 of 300 on average, deviation 7.1.
    let (least, most) = (met.values().min(), met.values().max());
    assert_eq!(met.len() as u64, FLEET);
    assert!(least >= Some(&36) && most <= Some(&93), "from {least:?} to {most:?} entries");
}

quickcheck! {
    /// Pattern: a target is lost, or comes back. Only its own place changes, so that
    /// connections and what is known of the others stay.
    fn a_target_that_goes_is_replaced_by_one_other(entry: Node, count: u8, lost: u8) -> bool {
        let all = targets(MAX_USED as u64 + 1 + u64::from(count));
        let before = nodes(&pick_subset(entry, all.clone()));
        let lost = all[usize::from(lost) % all.len()].node;
        let left = all.iter().copied().filter(|target| target.node != lost);
        let after = nodes(&pick_subset(entry, left));
        let gone: Vec<&Node> = before.difference(&after).collect();
        let new = after.difference(&before).count();
        match before.contains(&lost) {
            true => gone == [&lost] && new == 1,
            false => gone.is_empty() && new == 0,
        }
    }
}
