//! A short seeded run of the soak, and the seeds that ever failed.

use lab::soak::{self, Settings};

/// Seeds that failed, each with the cause of its failure.
const FAILED: &str = include_str!("soak-seeds.txt");
/// The size at which those seeds failed.
const DAEMONS: usize = 6;

fn play(seed: u64, skip: Vec<usize>) {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let settings = Settings { seed, rounds: 1, daemons: DAEMONS, skip, shrink: false, logs: None };
    let report = soak::run(&settings).expect("the processes run");
    assert!(report.violations.is_empty(), "{}", report.json());
}

#[test]
fn no_promise_is_broken_under_the_first_seed() {
    play(1, Vec::new());
}

#[test]
fn no_promise_is_broken_under_the_seeds_that_ever_failed() {
    let lines = FAILED.lines().filter(|line| !line.starts_with('#'));
    for line in lines {
        let mut words = line.split_whitespace();
        let seed = words.next().and_then(|seed| seed.parse().ok());
        let skip = words.next().and_then(|step| step.parse().ok());
        play(seed.unwrap_or_else(|| panic!("no seed in `{line}`")), skip.into_iter().collect());
    }
}
