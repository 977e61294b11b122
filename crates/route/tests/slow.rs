//! Choice among targets whose hosts slow down for fractions of a second, simulated
//! without a network.

use std::time::{Duration, Instant};

use route::{
    AttemptHistory, AttemptResult, Budgets, Call, Choice, Load, Policy, Pool, RequestStats, Target,
};

const NOMINAL_TIME: Duration = Duration::from_millis(15);

fn call() -> Call {
    Call {
        may_wait: false,
        repeatable: true,
        kind: "lookup".into(),
        target_latency: Duration::from_millis(80),
    }
}

/// Returns a pool of targets with 12 slots and a known nominal time of the call.
fn pool(now: Instant, targets: u64) -> Pool {
    let mut pool = Pool::new(Policy::Bronzeport, Budgets::default());
    let rtt = Duration::from_millis(1);
    pool.set_targets((1..=targets).map(|node| Target {
        node,
        rtt,
        slots: 12,
        in_local_data_centre: true,
    }));
    for node in 1..=targets {
        report(&mut pool, now, node, 0, 100);
        let (attempt, _) = pool.begin(now, node, &call());
        pool.end(now, node, attempt, AttemptResult::Answered(NOMINAL_TIME));
    }
    pool
}

fn report(pool: &mut Pool, now: Instant, node: u64, in_flight: u16, pace: u16) {
    let load = Load { in_flight, slots: 12, service_time: NOMINAL_TIME, pace, ..Load::default() };
    pool.observe_load(now, node, load);
}

fn choose(pool: &mut Pool, now: Instant, history: &AttemptHistory) -> Choice {
    pool.choose(now, &mut fastrand::Rng::with_seed(7), history, &call())
}

/// Each half second, a different quarter of the targets takes seven times as long. A
/// target must lose its calls as soon as it reports a slow pace, and get them back as
/// soon as it reports the nominal pace.
#[test]
fn target_is_avoided_while_it_reports_a_slow_pace() {
    let now = Instant::now();
    let mut pool = pool(now, 4);
    report(&mut pool, now, 1, 0, 700);
    for node in 2..=4 {
        report(&mut pool, now, node, 6, 100);
    }
    for _ in 0..8 {
        let Choice::Send { node, .. } = choose(&mut pool, now, &AttemptHistory::default()) else {
            panic!("no target is chosen, although all are available");
        };
        assert_ne!(node, 1, "busier targets at nominal pace answer sooner");
    }
    report(&mut pool, now, 1, 0, 100);
    let choice = choose(&mut pool, now, &AttemptHistory::default());
    assert!(matches!(choice, Choice::Send { node: 1, .. }), "{choice:?}");
}

/// After two of four targets have left, both remaining targets are slow at the same
/// time. The call must then be allowed to wait at the cheaper one, although its guard
/// has already refused the call.
#[test]
fn call_may_queue_at_a_guard_that_refused_it_when_all_targets_are_slow() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    report(&mut pool, now, 1, 3, 700);
    report(&mut pool, now, 2, 14, 700);
    let first = choose(&mut pool, now, &AttemptHistory::default());
    assert_eq!(first, Choice::Send { node: 1, may_queue: false });
    let history = AttemptHistory { reached: Vec::new(), refused: vec![1] };
    let second = choose(&mut pool, now, &history);
    assert_eq!(second, Choice::Send { node: 1, may_queue: true }, "the other target is full");
    let history = AttemptHistory { reached: vec![1], refused: Vec::new() };
    assert!(matches!(choose(&mut pool, now, &history), Choice::Send { node: 2, .. }));
}

/// The first answer after a start takes seven times as long, because its target is slow
/// or cold. This outlier must not determine the nominal time for long.
#[test]
fn outlier_in_the_first_sample_is_corrected_by_the_next_samples() {
    let mut stats = RequestStats::default();
    stats.observe("lookup", NOMINAL_TIME * 7, 100);
    for _ in 0..9 {
        stats.observe("lookup", NOMINAL_TIME, 100);
    }
    let nominal_time = stats.nominal_time("lookup").expect("samples have been recorded");
    assert!(nominal_time < NOMINAL_TIME * 2, "{nominal_time:?}");
    for number in 0..100 {
        let time = if number % 4 == 0 { NOMINAL_TIME * 7 } else { NOMINAL_TIME };
        stats.observe("lookup", time, 100);
    }
    let nominal_time = stats.nominal_time("lookup").expect("samples have been recorded");
    assert!(
        nominal_time < NOMINAL_TIME.mul_f64(1.3) && nominal_time > NOMINAL_TIME.mul_f64(0.7),
        "{nominal_time:?}"
    );
}
