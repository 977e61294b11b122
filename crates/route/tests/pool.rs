//! Choice of a target under different faults, retry decisions and budgets.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use route::{
    AttemptHistory, AttemptResult, Budget, BudgetShares, Budgets, Call, Choice, Failure, Load,
    Policy, Pool, RetryContext, RetryDecision, Target, decide_retry,
};

const SERVICE_TIME: Duration = Duration::from_millis(20);

fn reached(nodes: &[u64]) -> AttemptHistory {
    AttemptHistory { reached: nodes.to_vec(), refused: Vec::new() }
}

fn urgent_call() -> Call {
    Call {
        may_wait: false,
        repeatable: true,
        kind: "read".into(),
        target_latency: Duration::from_millis(80),
    }
}

fn pool(targets: u64) -> Pool {
    let mut pool = Pool::new(
        Policy::Bronzeport,
        Budgets::new(BudgetShares {
            probes: 0.01,
            retries: 0.1,
            hedges: 0.02,
            burst: Budget::MAX_TOKENS,
        }),
    );
    let target =
        |node| Target { node, rtt: Duration::from_millis(1), slots: 4, in_local_data_centre: true };
    pool.set_targets((1..=targets).map(target));
    pool
}

fn load(in_flight: u16, queued: u16) -> Load {
    Load {
        in_flight,
        queued,
        patient: 0,
        slots: 4,
        service_time: SERVICE_TIME,
        leaving: false,
        pace: 0,
        start_period: Duration::ZERO,
    }
}

/// Makes `calls` calls one after the other and returns the number of calls that each
/// target received.
fn count_by_target(
    pool: &mut Pool,
    now: &mut Instant,
    calls: usize,
    result: impl Fn(u64) -> (AttemptResult, Duration),
) -> HashMap<u64, usize> {
    let mut random = fastrand::Rng::with_seed(7);
    let mut counts = HashMap::new();
    for _ in 0..calls {
        let Choice::Send { node, .. } =
            pool.choose(*now, &mut random, &reached(&[]), &urgent_call())
        else {
            continue;
        };
        *counts.entry(node).or_default() += 1;
        let (attempt, _) = pool.begin(*now, node, &urgent_call());
        let (result, elapsed) = result(node);
        *now += elapsed;
        pool.end(*now, node, attempt, result);
    }
    counts
}

fn answered(elapsed: Duration) -> (AttemptResult, Duration) {
    (AttemptResult::Answered(elapsed), elapsed)
}

#[test]
fn slow_target_is_avoided_within_ten_calls_and_tried_again_later() {
    let mut now = Instant::now();
    let mut pool = pool(4);
    count_by_target(&mut pool, &mut now, 100, |_| answered(SERVICE_TIME));
    let slow = |node| answered(if node == 1 { SERVICE_TIME * 10 } else { SERVICE_TIME });
    let counts = count_by_target(&mut pool, &mut now, 100, slow);
    assert!(counts.get(&1).copied().unwrap_or(0) <= 10, "{counts:?}");
    now += Duration::from_secs(10);
    let counts = count_by_target(&mut pool, &mut now, 100, |_| answered(SERVICE_TIME));
    assert!(
        counts.get(&1).copied().unwrap_or(0) >= 10,
        "the recovered target gets too few calls: {counts:?}"
    );
}

#[test]
fn late_attempt_raises_the_cost_before_its_answer_arrives() {
    let mut now = Instant::now();
    let mut pool = pool(2);
    count_by_target(&mut pool, &mut now, 50, |_| answered(SERVICE_TIME));
    let mut random = fastrand::Rng::with_seed(1);
    pool.begin(now, 1, &urgent_call());
    now += SERVICE_TIME * 10;
    for _ in 0..20 {
        let choice = pool.choose(now, &mut random, &reached(&[]), &urgent_call());
        assert!(matches!(choice, Choice::Send { node: 2, .. }), "{choice:?}");
    }
}

#[test]
fn fast_failures_do_not_attract_calls() {
    let mut now = Instant::now();
    let mut pool = pool(4);
    let failing = |node| match node {
        1 => (AttemptResult::Failed, Duration::from_millis(1)),
        _ => answered(SERVICE_TIME),
    };
    let counts = count_by_target(&mut pool, &mut now, 200, failing);
    assert!(counts[&1] <= 10, "{counts:?}");
    now += Duration::from_secs(30);
    let counts = count_by_target(&mut pool, &mut now, 100, |_| answered(SERVICE_TIME));
    assert!(
        counts.get(&1).copied().unwrap_or(0) >= 5,
        "the recovered target gets too few calls: {counts:?}"
    );
}

#[test]
fn calls_are_still_sent_when_all_targets_fail() {
    let mut now = Instant::now();
    let mut pool = pool(3);
    let counts =
        count_by_target(&mut pool, &mut now, 60, |_| (AttemptResult::Failed, SERVICE_TIME));
    assert_eq!(counts.values().sum::<usize>(), 60);
}

#[test]
fn full_target_is_avoided_and_leaving_target_gets_no_calls() {
    let now = Instant::now();
    let mut pool = pool(3);
    let mut random = fastrand::Rng::with_seed(1);
    pool.observe_load(now, 1, load(4, 8));
    pool.observe_load(now, 2, load(1, 0));
    pool.observe_load(now, 3, Load { leaving: true, ..load(0, 0) });
    for _ in 0..20 {
        let choice = pool.choose(now, &mut random, &reached(&[]), &urgent_call());
        assert_eq!(choice, Choice::Send { node: 2, may_queue: false });
    }
    let last = pool.choose(now, &mut random, &reached(&[2]), &urgent_call());
    assert_eq!(last, Choice::Send { node: 1, may_queue: true });
    assert_eq!(pool.choose(now, &mut random, &reached(&[1, 2]), &urgent_call()), Choice::NoTarget);
}

#[test]
fn patient_requests_at_a_target_do_not_deter_urgent_calls() {
    let now = Instant::now();
    let mut pool = pool(2);
    let mut random = fastrand::Rng::with_seed(1);
    pool.observe_load(now, 1, Load { patient: 40, ..load(2, 0) });
    pool.observe_load(now, 2, load(3, 0));
    let urgent = pool.choose(now, &mut random, &reached(&[]), &urgent_call());
    assert!(matches!(urgent, Choice::Send { node: 1, .. }), "{urgent:?}");
    let patient =
        pool.choose(now, &mut random, &reached(&[]), &Call { may_wait: true, ..urgent_call() });
    assert!(matches!(patient, Choice::Send { node: 2, .. }), "{patient:?}");
}

#[test]
fn target_with_lower_rtt_wins_until_its_queueing_delay_exceeds_the_difference() {
    let now = Instant::now();
    let mut pool = Pool::new(Policy::Bronzeport, Budgets::default());
    let low_rtt = Target { node: 1, rtt: Duration::ZERO, slots: 4, in_local_data_centre: true };
    let high_rtt =
        Target { node: 2, rtt: Duration::from_millis(3), slots: 4, in_local_data_centre: true };
    pool.set_targets([low_rtt, high_rtt]);
    let mut random = fastrand::Rng::with_seed(1);
    pool.observe_load(now, 1, load(1, 0));
    pool.observe_load(now, 2, load(1, 0));
    let choice = pool.choose(now, &mut random, &reached(&[]), &urgent_call());
    assert!(matches!(choice, Choice::Send { node: 1, .. }), "{choice:?}");
    pool.observe_load(now, 1, load(4, 4));
    let choice = pool.choose(now, &mut random, &reached(&[]), &urgent_call());
    assert!(matches!(choice, Choice::Send { node: 2, .. }), "{choice:?}");
}

#[test]
fn probes_are_for_what_is_not_known_and_within_their_share() {
    let start = Instant::now();
    let mut pool = pool(4);
    let mut probes = 0;
    for call in 0..10_000u64 {
        let now = start + Duration::from_millis(call);
        pool.budgets.deposit();
        if let Some(node) = pool.decide_probe(now) {
            pool.observe_load(now, node, load(0, 0));
            probes += 1;
        }
    }
    assert!((1..=100).contains(&probes), "{probes} probes for 10,000 calls at 1%");
}

#[test]
fn hedge_takes_a_hedge_token_or_a_retry_token_when_the_answer_is_very_late() {
    let now = Instant::now();
    let mut pool = pool(3);
    assert_eq!(
        pool.decide_hedge(now, &[1], &urgent_call(), false),
        None,
        "the budgets start empty"
    );
    (0..10).for_each(|_| pool.budgets.deposit());
    assert_eq!(
        pool.decide_hedge(now, &[1], &urgent_call(), false),
        None,
        "2% of ten calls is less than one token"
    );
    assert!(pool.decide_hedge(now, &[1], &urgent_call(), true).is_some_and(|node| node != 1));
    assert_eq!(
        pool.decide_hedge(now, &[1], &urgent_call(), true),
        None,
        "10% of ten calls is one token, already spent"
    );
    (0..50).for_each(|_| pool.budgets.deposit());
    pool.observe_load(now, 2, load(4, 1));
    pool.observe_load(now, 3, load(4, 1));
    assert_eq!(
        pool.decide_hedge(now, &[1], &urgent_call(), false),
        None,
        "no other target has a free slot"
    );
}

fn retry_context(failure: Failure) -> RetryContext {
    RetryContext {
        failure,
        repeatable: true,
        may_have_run: false,
        redirects: 1,
        retries: 1,
        crashes: 0,
        attempts_left: 4,
        remaining: Duration::from_secs(1),
        min_attempt_time: Duration::from_millis(5),
    }
}

#[test]
fn request_that_may_have_run_is_retried_only_if_repeatable() {
    let mut budget = Budget::new(1.0);
    (0..10).for_each(|_| budget.deposit());
    let lost = RetryContext { may_have_run: true, ..retry_context(Failure::MayHaveRun) };
    assert_eq!(decide_retry(lost, &mut budget), RetryDecision::AnotherTarget);
    let once = RetryContext { repeatable: false, ..lost };
    assert_eq!(decide_retry(once, &mut budget), RetryDecision::GiveUp);
    let refused = RetryContext { repeatable: false, ..retry_context(Failure::Busy) };
    assert_eq!(decide_retry(refused, &mut budget), RetryDecision::AnotherTarget);
    let refused_after_loss = RetryContext { may_have_run: true, ..refused };
    assert_eq!(decide_retry(refused_after_loss, &mut budget), RetryDecision::GiveUp);
    let crashed_twice = RetryContext { crashes: 2, ..retry_context(Failure::Crashed) };
    assert_eq!(decide_retry(crashed_twice, &mut budget), RetryDecision::GiveUp);
    let no_time = RetryContext {
        attempts_left: 4,
        remaining: Duration::from_millis(1),
        ..retry_context(Failure::Busy)
    };
    assert_eq!(decide_retry(no_time, &mut budget), RetryDecision::GiveUp);
}

quickcheck! {
    fn a_budget_never_spends_more_than_its_share(percent: u8, calls: Vec<bool>) -> bool {
        let share = f64::from(percent % 101) / 100.0;
        let mut budget = Budget::new(share);
        let mut spent = 0.0;
        for (index, wants_token) in calls.iter().enumerate() {
            budget.deposit();
            if *wants_token && budget.try_withdraw() {
                spent += 1.0;
            }
            if spent > share * (index as f64 + 1.0) + 1e-6 {
                return false;
            }
        }
        true
    }

    fn retries_stay_within_a_tenth_of_calls_whatever_fails(failures: Vec<u8>) -> bool {
        let mut budget = Budget::new(0.1);
        let mut retries = 0;
        for failure in &failures {
            budget.deposit();
            for attempt in 1..=u32::from(failure % 4) {
                let lost = RetryContext { retries: attempt, ..retry_context(Failure::MayHaveRun) };
                if decide_retry(lost, &mut budget) == RetryDecision::AnotherTarget {
                    retries += 1;
                }
            }
        }
        retries * 10 <= failures.len()
    }

    fn choice_is_never_a_target_that_was_tried(tried: Vec<u8>, seed: u64) -> bool {
        let now = Instant::now();
        let mut random = fastrand::Rng::with_seed(seed);
        let tried: Vec<u64> = tried.into_iter().map(|node| u64::from(node % 8)).collect();
        Policy::ALL.iter().all(|(_, policy)| {
            let mut pool = Pool::new(*policy, Budgets::default());
            let target = |node| Target {
                node,
                rtt: Duration::ZERO,
                slots: 2,
                in_local_data_centre: true,
            };
            pool.set_targets((1..8).map(target));
            match pool.choose(now, &mut random, &reached(&tried), &urgent_call()) {
                Choice::Send { node, .. } => !tried.contains(&node),
                Choice::NoTarget => (1..8).all(|node| tried.contains(&node)),
            }
        })
    }
}
