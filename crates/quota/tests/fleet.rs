//! Quotas of a simulated fleet: never more than the quota admits, and what it admits in calm.

mod simulation;

use std::time::Duration;

use simulation::{Demand, HOSTS, Simulation};

const RATES: [f64; 8] = [5.0, 8.0, 13.0, 21.0, 34.0, 55.0, 84.0, 113.0];
const SETTLED: Duration = Duration::from_secs(6);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Weights of which a few hosts have most.
fn uneven(random: &mut fastrand::Rng) -> Vec<f64> {
    (0..HOSTS).map(|_| random.f64().powi(4)).collect()
}

/// Demand of each organisation, as a multiple of its rate.
fn demands(simulation: &mut Simulation, factors: &[f64]) -> Vec<Demand> {
    let demand = |(rate, factor): (&f64, &f64)| Demand {
        per_second: rate * factor,
        weights: uneven(&mut simulation.random),
    };
    RATES.iter().zip(factors).map(demand).collect()
}

fn settled(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, &RATES);
    simulation.run(SETTLED);
    simulation
}

fn check_usage(simulation: &Simulation, since: Duration, label: &str) {
    let span = (simulation.now - since).as_secs_f64();
    for (index, rate) in RATES.iter().enumerate() {
        let used = simulation.admitted_since(index, since) as f64 / (rate * span);
        println!("{label}: rate {rate}, used {used:.3}");
    }
    for (index, rate) in RATES.iter().enumerate() {
        let used = simulation.admitted_since(index, since) as f64 / (rate * span);
        assert!(used >= 0.95, "{label}: only {used:.3} of a quota of {rate}/s is used");
    }
}

fn check_windows(simulation: &Simulation, label: &str) {
    for (index, organisation) in simulation.limits.iter().enumerate() {
        let quota = organisation.quota.unwrap();
        let worst = simulation.worst_window(index, quota, Duration::ZERO..simulation.now);
        println!(
            "{label}: rate {}, fullest window {worst:.3} of what is permitted",
            quota.per_second
        );
        assert!(worst <= 1.0, "{label}: {worst:.3} of what {quota:?} permits in a window");
    }
}

/// Returns these seeds, or the one in `QUOTA_SEED`.
fn seeds(default: std::ops::RangeInclusive<u64>) -> std::ops::RangeInclusive<u64> {
    let chosen = std::env::var("QUOTA_SEED").ok().and_then(|seed| seed.parse().ok());
    chosen.map_or(default, |seed| seed..=seed)
}

/// Guards against refusals below the quota because a host has only a small share of it.
#[test]
fn demand_below_the_quota_is_never_refused() {
    for seed in 1..=3 {
        let mut simulation = settled(seed);
        let demands = demands(&mut simulation, &[0.6; RATES.len()]);
        simulation.set_demands(demands);
        let since = simulation.now;
        simulation.run(seconds(30));
        for (index, rate) in RATES.iter().enumerate() {
            let refused = simulation.refused_since(index, since);
            let admitted = simulation.admitted_since(index, since);
            println!("seed {seed}, rate {rate}: {refused} refused, {admitted} admitted");
            assert_eq!(refused, 0, "seed {seed}, rate {rate}");
        }
    }
}

/// Guards against refusals below the quota when all requests enter in one place.
#[test]
fn demand_in_one_place_below_the_quota_is_never_refused() {
    for (seed, step) in [(11, 3), (12, HOSTS)] {
        let mut simulation = settled(seed);
        let weights: Vec<f64> =
            (0..HOSTS).map(|host| if host % step == 1 { 1.0 } else { 0.0 }).collect();
        let demand = |rate: &f64| Demand { per_second: 0.6 * rate, weights: weights.clone() };
        simulation.set_demands(RATES.iter().map(demand).collect());
        let since = simulation.now;
        simulation.run(seconds(30));
        for (index, rate) in RATES.iter().enumerate() {
            let refused = simulation.refused_since(index, since);
            println!("every {step}, rate {rate}: {refused} refused");
            assert_eq!(refused, 0, "seed {seed}, rate {rate}");
        }
    }
}

/// Guards against tokens that expire or overflow while there is demand for them.
#[test]
fn a_quota_is_used_wherever_the_demand_is() {
    for (seed, step) in [(21, 1), (22, 3), (23, HOSTS)] {
        let mut simulation = settled(seed);
        let mut demands = demands(&mut simulation, &[4.8; RATES.len()]);
        for demand in &mut demands {
            for (host, weight) in demand.weights.iter_mut().enumerate() {
                *weight = if host % step == 0 { *weight + 0.01 } else { 0.0 };
            }
        }
        simulation.set_demands(demands);
        simulation.run(seconds(3));
        let since = simulation.now;
        simulation.run(seconds(30));
        check_usage(&simulation, since, &format!("every {step}"));
        check_windows(&simulation, &format!("every {step}"));
        println!("{:?}", simulation.messages);
    }
}

/// Guards against more than the quota when hosts and links fail, also one after the other.
#[test]
fn faults_never_admit_more_than_the_quota() {
    for seed in seeds(31..=32) {
        let mut simulation = settled(seed);
        for step in 0..24 {
            if step % 4 == 0 {
                let factors: Vec<f64> = RATES
                    .iter()
                    .map(|_| match simulation.random.u8(..3) {
                        0 => 5.0 + 3.0 * simulation.random.f64(),
                        _ => 0.6,
                    })
                    .collect();
                let demands = demands(&mut simulation, &factors);
                simulation.set_demands(demands);
            }
            let data_centre = simulation.random.usize(..3);
            let host = simulation.random.usize(..HOSTS);
            match (step + seed as usize) % 8 {
                0 | 1 => {
                    let third = simulation.random.usize(..3);
                    let mut side: Vec<usize> = (0..HOSTS).map(|host| host / 29).collect();
                    simulation.random.shuffle(&mut side);
                    simulation
                        .partition(side.iter().map(|part| usize::from(*part == third)).collect());
                }
                2 => simulation.cut(data_centre, true),
                3 => {
                    let host = simulation.coordinator(data_centre);
                    simulation.kill(host);
                    simulation.run(seconds(2));
                    simulation.restart(host);
                }
                4 => simulation.restart(host),
                5 => (0..HOSTS / 2).for_each(|host| simulation.restart(2 * host)),
                6 => {
                    let frozen = [simulation.coordinator(data_centre), host];
                    for host in frozen {
                        simulation.freeze(host, seconds(3));
                    }
                }
                _ => simulation.loss = 0.1,
            }
            let duration = Duration::from_millis(simulation.random.u64(1000..8000));
            simulation.run(duration);
            if simulation.random.bool() {
                simulation.partition(vec![0; HOSTS]);
                simulation.cut(data_centre, false);
                simulation.loss = 0.0;
            }
        }
        check_windows(&simulation, &format!("faults {seed}"));
        (0..3).for_each(|data_centre| simulation.cut(data_centre, false));
        simulation.partition(vec![0; HOSTS]);
        simulation.loss = 0.0;
        let hot = demands(&mut simulation, &[4.8; RATES.len()]);
        simulation.set_demands(hot);
        simulation.run(seconds(7));
        let since = simulation.now;
        simulation.run(seconds(20));
        check_usage(&simulation, since, &format!("after faults {seed}"));
    }
}

/// Guards against sides of a long partition that each divide the quotas among their own hosts.
#[test]
fn a_long_partition_admits_no_more_than_the_quota() {
    let mut simulation = settled(61);
    let hot = demands(&mut simulation, &[4.8; RATES.len()]);
    simulation.set_demands(hot);
    simulation.partition((0..HOSTS).map(|host| host % 3).collect());
    simulation.run(seconds(150));
    simulation.partition(vec![0; HOSTS]);
    simulation.run(seconds(10));
    check_windows(&simulation, "long partition");
}

/// Guards against buckets that keep the tokens of a limit that was lowered.
#[test]
fn a_lowered_limit_holds_once_all_hosts_have_it() {
    let mut simulation = settled(41);
    let hot = demands(&mut simulation, &[4.8; RATES.len()]);
    let idle = demands(&mut simulation, &[0.2; RATES.len()]);
    for before in [hot, idle] {
        simulation.set_demands(before);
        simulation.run(seconds(10));
        let lowered = simulation.limits.iter().enumerate().map(|(index, organisation)| {
            simulation::organisation(index, organisation.quota.unwrap().per_second / 2.0)
        });
        simulation.set_limits(lowered.collect());
        simulation.run(Duration::from_millis(300));
        let since = simulation.now;
        let hot = demands(&mut simulation, &[6.0; RATES.len()]);
        simulation.set_demands(hot);
        simulation.run(seconds(20));
        for (index, organisation) in simulation.limits.iter().enumerate() {
            let worst =
                simulation.worst_window(index, organisation.quota.unwrap(), since..simulation.now);
            println!("lowered: rate {}, fullest window {worst:.3}", RATES[index]);
            assert!(worst <= 1.0, "{worst:.3} of what the lowered limit permits");
        }
    }
}

/// Guards against a Retry-After at which there are no tokens for those who return.
#[test]
fn those_who_return_after_retry_after_are_admitted() {
    for (seed, usual, burst) in [(51, 0.0, 3.0), (52, 0.3, 2.0), (53, 0.0, 6.0)] {
        let mut simulation = settled(seed);
        let demands = demands(&mut simulation, &[usual; RATES.len()]);
        simulation.set_demands(demands);
        simulation.run(seconds(5));
        simulation.refused_return = true;
        for (index, rate) in RATES.iter().enumerate() {
            for _ in 0..(rate * burst) as usize {
                let host = simulation.random.usize(..HOSTS);
                let delay = Duration::from_micros(simulation.random.u64(..100_000));
                simulation.send(delay, index, host);
            }
        }
        simulation.run(seconds(20));
        let (returned, admitted) = simulation.returned;
        println!("seed {seed}: {returned} returned, {admitted} admitted");
        assert!(admitted * 10 >= returned * 9, "seed {seed}: {admitted} of {returned} admitted");
    }
}
