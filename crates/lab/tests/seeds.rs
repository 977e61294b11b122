//! Fault-injection rounds with a short, fixed list of schedule seeds.

use lab::soak::callers;

#[test]
fn no_guarantee_is_violated_with_the_fixed_seeds() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    for seed in [3, 4] {
        let counts = callers::run(seed, 1).expect("the fleet runs");
        assert!(counts.has_no_violations(), "seed {seed}: {}", counts.json());
    }
}
