//! The count of hosts and the choice of coordinators.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use quota::{Accrual, Fleet, MAX_GROUP, Presence, list_coordinators, rank_candidates};

/// Guards against a partition in which each side divides the quotas among its own hosts only,
/// and against dead hosts that take a share for good.
#[test]
fn few_lost_hosts_count_for_a_minute_and_many_for_longer() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let names: Vec<String> = (0..20).map(|host| format!("10.0.0.{host}:7000")).collect();
    let mut fleet = Fleet::new(start);
    let set = |fleet: &mut Fleet, now, lost: usize| {
        let presence = |host| if host < lost { Presence::Lost } else { Presence::Present };
        let members = names.iter().enumerate().map(|(host, name)| (&**name, presence(host)));
        fleet.set_members(now, members);
    };
    set(&mut fleet, at(1), 0);
    fleet.exchanged(at(1));
    assert_eq!(fleet.hosts(at(1)), None, "a list that has just grown may be incomplete");
    assert_eq!(fleet.hosts(at(3)), Some(20));
    set(&mut fleet, at(4), 2);
    assert_eq!((fleet.hosts(at(63)), fleet.hosts(at(64))), (Some(20), Some(18)));
    set(&mut fleet, at(70), 3);
    assert_eq!(fleet.hosts(at(129)), Some(18));
    assert_eq!(fleet.hosts(at(131)), Some(20), "three of 20 may be beyond a partition");
    fleet.heard(at(140), 27);
    assert_eq!((fleet.hosts(at(199)), fleet.count(at(199))), (Some(27), 20));
    assert_eq!(fleet.hosts(at(201)), Some(20));
}

/// Guards against a restarted host that takes itself for the whole fleet.
#[test]
fn a_host_that_met_nobody_accrues_after_5_s() {
    let start = Instant::now();
    let (mut fleet, mut accrual) = (Fleet::new(start), Accrual::new(start));
    let soon = start + Duration::from_millis(4900);
    assert_eq!(accrual.take(soon, fleet.hosts(soon)), 0.0);
    let later = start + Duration::from_secs(9);
    assert_eq!(accrual.take(later, fleet.hosts(later)), 0.5, "a frozen host keeps 0.5 s");
}

/// Guards against groups that are too large, and against a change of all groups when one host
/// departs.
#[test]
fn groups_are_bounded_and_stable() {
    let names: Vec<String> =
        (0..735).map(|host| format!("10.1.{}.{}:7000", host / 250, host % 250)).collect();
    let members: Vec<&str> = names.iter().map(|name| &**name).collect();
    let coordinators = list_coordinators(&members);
    assert_eq!(coordinators.len(), 735usize.div_ceil(MAX_GROUP));
    let first = |members: &[&str]| -> Vec<Box<str>> {
        members.iter().map(|own| rank_candidates(own, members)[0].clone()).collect()
    };
    let chosen = first(&members);
    assert_eq!(BTreeSet::from_iter(&chosen), BTreeSet::from_iter(&coordinators));
    for coordinator in &coordinators {
        let size = chosen.iter().filter(|chosen| *chosen == coordinator).count();
        assert!(size <= MAX_GROUP, "{size} hosts share {coordinator}");
    }
    let changed = first(&members[1..]).iter().zip(&chosen[1..]).filter(|(a, b)| a != b).count();
    assert!(changed < 735 / 4, "{changed} hosts change their coordinator");
}
