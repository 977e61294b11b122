//! The circuit breaker and batches of writes.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use store::{Batch, CircuitBreaker, Condition, Write};

#[test]
fn an_open_circuit_allows_few_calls_while_the_store_is_down() {
    let start = Instant::now();
    let mut circuit = CircuitBreaker::default();
    let mut allowed = 0;
    for millis in (0..60_000).step_by(10) {
        let now = start + Duration::from_millis(millis);
        if circuit.allows(now) {
            allowed += 1;
            circuit.observe_failure(now, 0.5);
        }
    }
    assert!((5..=25).contains(&allowed), "{allowed} calls in a minute");
    assert!(circuit.is_open());
    circuit.observe_success();
    assert!(circuit.allows(start));
}

fn write(key: u8) -> Write {
    Write { key: key.to_string().into(), condition: Condition::Absent, value: "x".into() }
}

quickcheck! {
    fn a_batch_holds_each_row_once_and_loses_no_write(keys: Vec<u8>) -> bool {
        let mut batch = Batch::default();
        for (token, key) in keys.iter().enumerate() {
            batch.push(write(*key), token);
        }
        let mut tokens = Vec::new();
        while !batch.is_empty() {
            let taken = batch.take();
            let mut rows: Vec<_> = taken.iter().map(|(write, _)| write.key.clone()).collect();
            rows.sort();
            let count = rows.len();
            rows.dedup();
            if rows.len() != count || count > 32 || count == 0 {
                return false;
            }
            tokens.extend(taken.into_iter().map(|(_, token)| token));
        }
        tokens.sort_unstable();
        tokens == (0..keys.len()).collect::<Vec<_>>()
    }
}
