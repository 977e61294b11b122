//! Fault-injection rounds with a short, fixed list of schedule seeds.

use lab::soak::callers;

/// Seed 28 guards against claims that are not written again after a restore, because they were
/// written in one transaction with others or by a write without a result.
#[test]
fn no_guarantee_is_violated_with_the_fixed_seeds() {
    lab::process::set_program(env!("CARGO_BIN_EXE_lab"));
    for seed in [3, 4, 28] {
        let counts = callers::run(seed, 1).expect("the fleet runs");
        assert!(counts.has_no_violations(), "seed {seed}: {}", counts.json());
    }
}
