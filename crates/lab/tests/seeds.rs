//! A short fixed set of seeds of the fault schedules.

use lab::soak::callers;

#[test]
fn no_promise_is_broken_under_the_fixed_seeds() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    for seed in [3, 4] {
        let counts = callers::run(seed, 1).expect("the fleet runs");
        assert!(counts.has_no_violations(), "seed {seed}: {}", counts.json());
    }
}
