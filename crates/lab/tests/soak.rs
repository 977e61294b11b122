//! A short seeded soak run, and regression runs of the seeds that failed before.

use std::path::PathBuf;

use lab::soak::{self, Settings};

/// Seeds that failed before, each with the cause of the failure.
const FAILED_SEEDS: &str = include_str!("soak-seeds.txt");
/// Number of daemons with which these seeds failed.
const DAEMONS: usize = 6;

fn run_seed(seed: u64, skip: Vec<usize>) {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let _ = std::fs::remove_dir_all(&logs);
    std::fs::create_dir_all(&logs).expect("a directory for logs");
    let logs = Some(logs);
    let settings = Settings { seed, rounds: 1, daemons: DAEMONS, skip, shrink: false, logs };
    let report = soak::run(&settings).expect("the processes run");
    assert!(report.violations.is_empty(), "{}, logs in {:?}", report.json(), settings.logs);
}

#[test]
fn no_guarantee_is_violated_with_the_first_seed() {
    run_seed(1, Vec::new());
}

#[test]
fn no_guarantee_is_violated_with_seeds_that_failed_before() {
    let lines = FAILED_SEEDS.lines().filter(|line| !line.starts_with('#'));
    for line in lines {
        let mut words = line.split_whitespace();
        let seed = words.next().and_then(|seed| seed.parse().ok());
        let skip = words.next().and_then(|step| step.parse().ok());
        run_seed(seed.unwrap_or_else(|| panic!("no seed in `{line}`")), skip.into_iter().collect());
    }
}
