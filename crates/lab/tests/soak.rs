//! A short seeded run of the soak, and the seeds that ever failed.

use lab::soak::{self, Settings};

fn play(seed: u64) {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    let settings =
        Settings { seed, rounds: 1, daemons: 5, skip: Vec::new(), shrink: false, logs: None };
    let report = soak::run(&settings).expect("the processes run");
    assert!(report.broken.is_empty(), "{}", report.json());
}

#[test]
fn no_promise_is_broken_under_the_first_seed() {
    play(1);
}
