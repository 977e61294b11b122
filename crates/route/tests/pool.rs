//! The choice of a target under each fault, and the budgets.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use route::{
    Budget, Budgets, Call, Choice, Ending, Failure, Load, Past, Policy, Pool, Retry, Shares,
    Situation, Target, decide_retry,
};

const SERVICE: Duration = Duration::from_millis(20);
fn reached(nodes: &[u64]) -> Past {
    Past { reached: nodes.to_vec(), refused: Vec::new() }
}

fn urgent() -> Call {
    Call { may_wait: false, repeatable: true, kind: "read".into(), aim: Duration::from_millis(80) }
}

fn pool(targets: u64) -> Pool {
    let mut pool = Pool::new(
        Policy::Bronzeport,
        Budgets::new(Shares {
            probes: 0.01,
            retries: 0.1,
            hedges: 0.02,
            burst: Budget::MAX_TOKENS,
        }),
    );
    let target = |node| Target { node, rtt: Duration::from_millis(1), slots: 4, is_near: true };
    pool.set_targets((1..=targets).map(target));
    pool
}

fn load(in_flight: u16, queued: u16) -> Load {
    Load { in_flight, queued, patient: 0, slots: 4, service: SERVICE, leaving: false, pace: 0 }
}

/// Makes `calls` calls one after the other and counts where they go.
fn spread(
    pool: &mut Pool,
    now: &mut Instant,
    calls: usize,
    ending: impl Fn(u64) -> (Ending, Duration),
) -> HashMap<u64, usize> {
    let mut random = fastrand::Rng::with_seed(7);
    let mut counts = HashMap::new();
    for _ in 0..calls {
        let Choice::Send { node, .. } = pool.choose(*now, &mut random, &reached(&[]), &urgent())
        else {
            continue;
        };
        *counts.entry(node).or_default() += 1;
        let (attempt, _) = pool.begin(*now, node, &urgent());
        let (ending, took) = ending(node);
        *now += took;
        pool.end(*now, node, attempt, ending);
    }
    counts
}

fn answered(took: Duration) -> (Ending, Duration) {
    (Ending::Answered(took), took)
}

#[test]
fn a_straggler_is_left_within_ten_calls_and_tried_again_later() {
    let mut now = Instant::now();
    let mut pool = pool(4);
    spread(&mut pool, &mut now, 100, |_| answered(SERVICE));
    let slow = |node| answered(if node == 1 { SERVICE * 10 } else { SERVICE });
    let counts = spread(&mut pool, &mut now, 100, slow);
    assert!(counts.get(&1).copied().unwrap_or(0) <= 10, "{counts:?}");
    now += Duration::from_secs(10);
    let counts = spread(&mut pool, &mut now, 100, |_| answered(SERVICE));
    assert!(counts.get(&1).copied().unwrap_or(0) >= 10, "it is not taken back: {counts:?}");
}

#[test]
fn a_call_that_is_late_counts_before_its_answer_comes() {
    let mut now = Instant::now();
    let mut pool = pool(2);
    spread(&mut pool, &mut now, 50, |_| answered(SERVICE));
    let mut random = fastrand::Rng::with_seed(1);
    pool.begin(now, 1, &urgent());
    now += SERVICE * 10;
    for _ in 0..20 {
        let choice = pool.choose(now, &mut random, &reached(&[]), &urgent());
        assert!(matches!(choice, Choice::Send { node: 2, .. }), "{choice:?}");
    }
}

#[test]
fn a_target_that_fails_fast_does_not_look_fast() {
    let mut now = Instant::now();
    let mut pool = pool(4);
    let failing = |node| match node {
        1 => (Ending::Failed, Duration::from_millis(1)),
        _ => answered(SERVICE),
    };
    let counts = spread(&mut pool, &mut now, 200, failing);
    assert!(counts[&1] <= 10, "{counts:?}");
    now += Duration::from_secs(30);
    let counts = spread(&mut pool, &mut now, 100, |_| answered(SERVICE));
    assert!(counts.get(&1).copied().unwrap_or(0) >= 5, "not readmitted: {counts:?}");
}

#[test]
fn when_all_fail_calls_still_go_somewhere() {
    let mut now = Instant::now();
    let mut pool = pool(3);
    let counts = spread(&mut pool, &mut now, 60, |_| (Ending::Failed, SERVICE));
    assert_eq!(counts.values().sum::<usize>(), 60);
}

#[test]
fn a_full_target_is_passed_over_and_a_leaving_one_gets_nothing() {
    let now = Instant::now();
    let mut pool = pool(3);
    let mut random = fastrand::Rng::with_seed(1);
    pool.observe_load(now, 1, load(4, 8));
    pool.observe_load(now, 2, load(1, 0));
    pool.observe_load(now, 3, Load { leaving: true, ..load(0, 0) });
    for _ in 0..20 {
        let choice = pool.choose(now, &mut random, &reached(&[]), &urgent());
        assert_eq!(choice, Choice::Send { node: 2, may_queue: false });
    }
    let last = pool.choose(now, &mut random, &reached(&[2]), &urgent());
    assert_eq!(last, Choice::Send { node: 1, may_queue: true });
    assert_eq!(pool.choose(now, &mut random, &reached(&[1, 2]), &urgent()), Choice::Nowhere);
}

#[test]
fn patient_requests_at_a_target_do_not_keep_urgent_ones_away() {
    let now = Instant::now();
    let mut pool = pool(2);
    let mut random = fastrand::Rng::with_seed(1);
    pool.observe_load(now, 1, Load { patient: 40, ..load(2, 0) });
    pool.observe_load(now, 2, load(3, 0));
    let prompt = pool.choose(now, &mut random, &reached(&[]), &urgent());
    assert!(matches!(prompt, Choice::Send { node: 1, .. }), "{prompt:?}");
    let patient =
        pool.choose(now, &mut random, &reached(&[]), &Call { may_wait: true, ..urgent() });
    assert!(matches!(patient, Choice::Send { node: 2, .. }), "{patient:?}");
}

#[test]
fn a_nearer_data_centre_wins_until_its_wait_outweighs_the_way() {
    let now = Instant::now();
    let mut pool = Pool::new(Policy::Bronzeport, Budgets::default());
    let near = Target { node: 1, rtt: Duration::ZERO, slots: 4, is_near: true };
    let far = Target { node: 2, rtt: Duration::from_millis(3), slots: 4, is_near: true };
    pool.set_targets([near, far]);
    let mut random = fastrand::Rng::with_seed(1);
    pool.observe_load(now, 1, load(1, 0));
    pool.observe_load(now, 2, load(1, 0));
    let choice = pool.choose(now, &mut random, &reached(&[]), &urgent());
    assert!(matches!(choice, Choice::Send { node: 1, .. }), "{choice:?}");
    pool.observe_load(now, 1, load(4, 4));
    let choice = pool.choose(now, &mut random, &reached(&[]), &urgent());
    assert!(matches!(choice, Choice::Send { node: 2, .. }), "{choice:?}");
}

#[test]
fn probes_are_for_what_is_not_known_and_within_their_share() {
    let start = Instant::now();
    let mut pool = pool(4);
    let mut probes = 0;
    for call in 0..10_000u64 {
        let now = start + Duration::from_millis(call);
        pool.budgets.earn();
        if let Some(node) = pool.decide_probe(now) {
            pool.observe_load(now, node, load(0, 0));
            probes += 1;
        }
    }
    assert!((1..=100).contains(&probes), "{probes} probes for 10,000 calls at 1%");
}

#[test]
fn a_hedge_needs_its_budget_and_a_very_late_call_may_use_that_of_retries() {
    let now = Instant::now();
    let mut pool = pool(3);
    assert_eq!(pool.decide_hedge(now, &[1], &urgent(), false), None, "nothing is earned yet");
    (0..10).for_each(|_| pool.budgets.earn());
    assert_eq!(pool.decide_hedge(now, &[1], &urgent(), false), None, "2% of ten calls");
    assert!(pool.decide_hedge(now, &[1], &urgent(), true).is_some_and(|node| node != 1));
    assert_eq!(pool.decide_hedge(now, &[1], &urgent(), true), None, "10% of ten calls");
    (0..50).for_each(|_| pool.budgets.earn());
    pool.observe_load(now, 2, load(4, 1));
    pool.observe_load(now, 3, load(4, 1));
    assert_eq!(
        pool.decide_hedge(now, &[1], &urgent(), false),
        None,
        "no other target has a free slot"
    );
}

fn situation(failure: Failure) -> Situation {
    Situation {
        failure,
        repeatable: true,
        may_have_run: false,
        redirects: 1,
        retries: 1,
        crashes: 0,
        attempts_left: 4,
        remaining: Duration::from_secs(1),
        needed: Duration::from_millis(5),
    }
}

#[test]
fn what_may_have_run_is_sent_again_only_if_it_may_be_repeated() {
    let mut budget = Budget::new(1.0);
    (0..10).for_each(|_| budget.earn());
    let lost = Situation { may_have_run: true, ..situation(Failure::Lost) };
    assert_eq!(decide_retry(lost, &mut budget), Retry::Elsewhere);
    let once = Situation { repeatable: false, ..lost };
    assert_eq!(decide_retry(once, &mut budget), Retry::GiveUp);
    let refused = Situation { repeatable: false, ..situation(Failure::Busy) };
    assert_eq!(decide_retry(refused, &mut budget), Retry::Elsewhere);
    let refused_after_loss = Situation { may_have_run: true, ..refused };
    assert_eq!(decide_retry(refused_after_loss, &mut budget), Retry::GiveUp);
    let crashed_twice = Situation { crashes: 2, ..situation(Failure::Crashed) };
    assert_eq!(decide_retry(crashed_twice, &mut budget), Retry::GiveUp);
    let no_time = Situation {
        attempts_left: 4,
        remaining: Duration::from_millis(1),
        ..situation(Failure::Busy)
    };
    assert_eq!(decide_retry(no_time, &mut budget), Retry::GiveUp);
}

quickcheck! {
    fn a_budget_never_spends_more_than_its_share(percent: u8, calls: Vec<bool>) -> bool {
        let share = f64::from(percent % 101) / 100.0;
        let mut budget = Budget::new(share);
        let mut spent = 0.0;
        for (earned, wants) in calls.iter().enumerate() {
            budget.earn();
            if *wants && budget.spend() {
                spent += 1.0;
            }
            if spent > share * (earned as f64 + 1.0) + 1e-6 {
                return false;
            }
        }
        true
    }

    fn retries_stay_within_a_tenth_of_calls_whatever_fails(failures: Vec<u8>) -> bool {
        let mut budget = Budget::new(0.1);
        let mut retries = 0;
        for failure in &failures {
            budget.earn();
            for attempt in 1..=u32::from(failure % 4) {
                let lost = Situation { retries: attempt, ..situation(Failure::Lost) };
                if decide_retry(lost, &mut budget) == Retry::Elsewhere {
                    retries += 1;
                }
            }
        }
        retries * 10 <= failures.len()
    }

    fn a_choice_is_never_one_that_was_tried(tried: Vec<u8>, seed: u64) -> bool {
        let now = Instant::now();
        let mut random = fastrand::Rng::with_seed(seed);
        let tried: Vec<u64> = tried.into_iter().map(|node| u64::from(node % 8)).collect();
        Policy::ALL.iter().all(|(_, policy)| {
            let mut pool = Pool::new(*policy, Budgets::default());
            let target = |node| Target { node, rtt: Duration::ZERO, slots: 2, is_near: true };
            pool.set_targets((1..8).map(target));
            match pool.choose(now, &mut random, &reached(&tried), &urgent()) {
                Choice::Send { node, .. } => !tried.contains(&node),
                Choice::Nowhere => (1..8).all(|node| tried.contains(&node)),
            }
        })
    }
}
