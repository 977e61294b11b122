//! Targets that limit the rate of requests, as an entry sees them.

use std::time::{Duration, Instant};

use route::{AttemptHistory, AttemptResult, Budgets, Call, Choice, Load, Policy, Pool, Target};

const LIMITED: u64 = 1;
const OTHER: u64 = 2;
const RTT: Duration = Duration::from_millis(1);

/// A pool with two targets, of which [`LIMITED`] has just reported `start_period`, and
/// [`OTHER`] that 6 of its 12 slots are in use.
fn pool(now: Instant, start_period: Duration) -> Pool {
    let mut pool = Pool::new(Policy::Bronzeport, Budgets::default());
    let target = |node| Target { node, rtt: RTT, slots: 12, in_local_data_centre: true };
    pool.set_targets([LIMITED, OTHER].map(target));
    let load = Load {
        slots: 12,
        service_time: Duration::from_millis(60),
        pace: 100,
        start_period,
        ..Load::default()
    };
    pool.observe_load(now, LIMITED, load);
    let unlimited = Load { start_period: Duration::ZERO, ..load };
    pool.observe_load(now, OTHER, Load { in_flight: 6, ..unlimited });
    pool
}

fn call() -> Call {
    let target_latency = Duration::from_millis(200);
    Call { may_wait: false, repeatable: true, kind: "read".into(), target_latency }
}

fn choose(pool: &mut Pool, now: Instant, random: &mut fastrand::Rng) -> u64 {
    match pool.choose(now, random, &AttemptHistory::default(), &call()) {
        Choice::Send { node, .. } => node,
        Choice::NoTarget => 0,
    }
}

/// Issue 26: each entry sent as often as it liked to a target whose rate is shared by all.
#[test]
fn an_entry_leaves_the_period_between_two_requests() {
    let mut now = Instant::now();
    let random = &mut fastrand::Rng::with_seed(1);
    let mut pool = pool(now, Duration::from_millis(300));
    let mut sent = 0;
    for _ in 0..300 {
        now += Duration::from_millis(10);
        if choose(&mut pool, now, random) == LIMITED {
            sent += 1;
            let (attempt, _) = pool.begin(now, LIMITED, &call());
            pool.end(now, LIMITED, attempt, AttemptResult::Answered(Duration::from_millis(60)));
        }
    }
    assert!((8..=10).contains(&sent), "{sent} requests in 3 s with a period of 300 ms");
}

/// A target whose turn has not come still gets requests if there is no other.
#[test]
fn a_request_may_queue_at_a_limited_target() {
    let now = Instant::now();
    let random = &mut fastrand::Rng::with_seed(1);
    let mut pool = pool(now, Duration::from_millis(50));
    pool.begin(now, LIMITED, &call());
    let tried = AttemptHistory { reached: vec![OTHER], refused: Vec::new() };
    let choice = pool.choose(now, random, &tried, &call());
    assert_eq!(choice, Choice::Send { node: LIMITED, may_queue: true });
}
