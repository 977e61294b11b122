//! Choices among targets whose hosts slow down for fractions of a second, without
//! a network.

use std::time::{Duration, Instant};

use route::{Budgets, Call, Choice, Ending, Load, Past, Policy, Pool, Target, Works};

const WORK: Duration = Duration::from_millis(15);

fn call() -> Call {
    Call {
        may_wait: false,
        repeatable: true,
        kind: "lookup".into(),
        aim: Duration::from_millis(80),
    }
}

/// A pool of targets with 12 slots whose usual time for a lookup is known.
fn pool(now: Instant, targets: u64) -> Pool {
    let mut pool = Pool::new(Policy::Bronzeport, Budgets::default());
    let rtt = Duration::from_millis(1);
    pool.set_targets((1..=targets).map(|node| Target { node, rtt, slots: 12, is_near: true }));
    for node in 1..=targets {
        tell(&mut pool, now, node, 0, 100);
        let (attempt, _) = pool.begin(now, node, &call());
        pool.end(now, node, attempt, Ending::Answered(WORK));
    }
    pool
}

fn tell(pool: &mut Pool, now: Instant, node: u64, in_flight: u16, pace: u16) {
    let load = Load { in_flight, slots: 12, service: WORK, pace, ..Load::default() };
    pool.observe_load(now, node, load);
}

fn choose(pool: &mut Pool, now: Instant, past: &Past) -> Choice {
    pool.choose(now, &mut fastrand::Rng::with_seed(7), past, &call())
}

/// Pattern: a quarter of the targets takes seven times as long, each half second
/// another quarter.
#[test]
fn a_target_that_has_told_a_slow_pace_is_left_and_comes_back_with_its_pace() {
    let now = Instant::now();
    let mut pool = pool(now, 4);
    tell(&mut pool, now, 1, 0, 700);
    for node in 2..=4 {
        tell(&mut pool, now, node, 6, 100);
    }
    for _ in 0..8 {
        let Choice::Send { node, .. } = choose(&mut pool, now, &Past::default()) else {
            panic!("there are targets");
        };
        assert_ne!(node, 1, "busier targets at their usual pace are faster");
    }
    tell(&mut pool, now, 1, 0, 100);
    let choice = choose(&mut pool, now, &Past::default());
    assert!(matches!(choice, Choice::Send { node: 1, .. }), "{choice:?}");
}

/// Pattern: after two targets of four have left, both others are slow at once.
#[test]
fn when_all_are_slow_the_guard_that_refused_first_may_let_the_call_wait() {
    let now = Instant::now();
    let mut pool = pool(now, 2);
    tell(&mut pool, now, 1, 3, 700);
    tell(&mut pool, now, 2, 14, 700);
    let first = choose(&mut pool, now, &Past::default());
    assert_eq!(first, Choice::Send { node: 1, may_queue: false });
    let past = Past { reached: Vec::new(), refused: vec![1] };
    let second = choose(&mut pool, now, &past);
    assert_eq!(second, Choice::Send { node: 1, may_queue: true }, "the other one is full");
    let past = Past { reached: vec![1], refused: Vec::new() };
    assert!(matches!(choose(&mut pool, now, &past), Choice::Send { node: 2, .. }));
}

/// Pattern: the first answer after a start took seven times as long, since its
/// target was slow or cold.
#[test]
fn an_odd_first_sample_is_outweighed_by_the_next_few() {
    let mut works = Works::default();
    works.observe("lookup", WORK * 7, 100);
    for _ in 0..9 {
        works.observe("lookup", WORK, 100);
    }
    let usual = works.usual("lookup").expect("it has been seen");
    assert!(usual < WORK * 2, "{usual:?}");
    for number in 0..100 {
        let time = if number % 4 == 0 { WORK * 7 } else { WORK };
        works.observe("lookup", time, 100);
    }
    let usual = works.usual("lookup").expect("it has been seen");
    assert!(usual < WORK.mul_f64(1.3) && usual > WORK.mul_f64(0.7), "{usual:?}");
}
