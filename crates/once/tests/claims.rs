//! Copies of one request that compete for its row in a table that loses and delays writes.

use once::{
    ArrivalDecision, ClaimDecision, DuplicateCache, Execution, Lookup, Row, State, WriteResult,
    decide_arrival, decide_claim, fingerprint,
};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::time::{Duration, Instant};

const FINGERPRINT: u64 = 42;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A new copy reads the row.
    Arrive,
    /// A copy that has read the row tries to claim it.
    Claim { copy: u8, delivery: Delivery },
    /// A copy that has read the row is to be refused permanently.
    Refuse { copy: u8, delivery: Delivery },
    /// A delayed write takes effect, if its condition still holds.
    Deliver { index: u8 },
}

/// What happens to a write to the table and to its answer.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Answered,
    AnswerLost,
    Delayed,
    NeverSent,
}

impl Arbitrary for Delivery {
    fn arbitrary(g: &mut Gen) -> Self {
        *g.choose(&[Self::Answered, Self::AnswerLost, Self::Delayed, Self::NeverSent])
            .expect("four kinds of delivery")
    }
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (copy, delivery) = (u8::arbitrary(g), Delivery::arbitrary(g));
        match u8::arbitrary(g) % 4 {
            0 => Self::Arrive,
            1 => Self::Claim { copy, delivery },
            2 => Self::Refuse { copy, delivery },
            _ => Self::Deliver { index: copy },
        }
    }
}

/// A table with one row. Its tag is 0 as long as the row is absent.
#[derive(Default)]
struct Table {
    tag: u64,
    row: Option<Row>,
    /// Writes that have not taken effect yet, with the tags on which they are conditional.
    delayed: Vec<(u64, Row)>,
}

impl Table {
    fn apply(&mut self, condition: u64, row: Row) -> bool {
        let holds = self.tag == condition;
        if holds {
            self.tag += 1;
            self.row = Some(row);
        }
        holds
    }

    fn write(&mut self, condition: u64, row: Row, delivery: Delivery) -> WriteResult {
        match delivery {
            Delivery::Answered if self.apply(condition, row.clone()) => WriteResult::Done,
            Delivery::Answered => WriteResult::TagMismatch,
            Delivery::AnswerLost => {
                self.apply(condition, row);
                WriteResult::Unknown
            }
            Delivery::Delayed => {
                self.delayed.push((condition, row));
                WriteResult::Unknown
            }
            Delivery::NeverSent => WriteResult::NotSent,
        }
    }
}

/// A copy of the request that may proceed, and the tag that it has read.
struct Copy {
    tag: u64,
    /// Whether the copy has neither been claimed nor refused yet.
    is_open: bool,
}

/// Runs the steps and checks that the request runs at most once, and never if `not-run` was
/// reported.
fn check(steps: &[Step]) -> bool {
    let mut table = Table::default();
    let mut copies: Vec<Copy> = Vec::new();
    let mut runs = 0;
    let mut not_run_reported = false;
    for (time, step) in steps.iter().enumerate() {
        let nonce = time as u64 + 1;
        match *step {
            Step::Arrive => {
                if decide_arrival(table.row.as_ref(), FINGERPRINT) == ArrivalDecision::Proceed {
                    copies.push(Copy { tag: table.tag, is_open: true });
                }
            }
            Step::Claim { copy, delivery } => {
                let Some(copy) = pick(&mut copies, copy) else { continue };
                let state = State::Claimed { node: 1 };
                let row = Row { fingerprint: FINGERPRINT, nonce, state };
                let write_result = table.write(copy.tag, row, delivery);
                let read = Some(table.row.as_ref());
                if decide_claim(write_result, read, FINGERPRINT, nonce) == ClaimDecision::Run {
                    runs += 1;
                    assert!(!not_run_reported, "a copy ran after not-run was reported");
                }
            }
            Step::Refuse { copy, delivery } => {
                let Some(copy) = pick(&mut copies, copy) else { continue };
                let row = Row { fingerprint: FINGERPRINT, nonce, state: State::Refused };
                let write_result = table.write(copy.tag, row.clone(), delivery);
                let is_certain = write_result == WriteResult::Done
                    || (write_result == WriteResult::Unknown && table.row.as_ref() == Some(&row));
                if is_certain {
                    assert_eq!(runs, 0, "not-run was reported for a request that ran");
                    not_run_reported = true;
                }
            }
            Step::Deliver { index } => {
                if !table.delayed.is_empty() {
                    let index = usize::from(index) % table.delayed.len();
                    let (condition, row) = table.delayed.remove(index);
                    table.apply(condition, row);
                }
            }
        }
        assert!(runs <= 1, "the request ran twice");
    }
    true
}

/// Selects an open copy by index and closes it.
fn pick(copies: &mut [Copy], index: u8) -> Option<Copy> {
    let mut open: Vec<&mut Copy> = copies.iter_mut().filter(|copy| copy.is_open).collect();
    if open.is_empty() {
        return None;
    }
    let index = usize::from(index) % open.len();
    let copy = &mut open[index];
    copy.is_open = false;
    Some(Copy { tag: copy.tag, is_open: false })
}

quickcheck! {
    fn requests_run_at_most_once_and_never_after_not_run_is_reported(steps: Vec<Step>) -> bool {
        check(&steps)
    }

    fn rows_round_trip_through_text(fingerprint: u64, nonce: u64, node: u64, status: u16) -> bool {
        let states = [State::Refused, State::Claimed { node }, State::Ended { node, status }];
        states.into_iter().all(|state| {
            let row = Row { fingerprint, nonce, state };
            Row::try_from(&*row.to_text()).is_ok_and(|read| read == row)
        })
    }

    fn parsing_any_text_does_not_panic(text: String) -> bool {
        let _ = Row::try_from(&*text);
        true
    }
}

#[test]
fn fingerprints_depend_on_part_boundaries() {
    assert_ne!(fingerprint("a", "b", "", b""), fingerprint("ab", "", "", b""));
    assert_ne!(fingerprint("a", "GET", "/", b"x"), fingerprint("a", "GET", "/x", b""));
}

#[test]
fn old_answers_are_evicted_but_running_requests_are_not() {
    let start = Instant::now();
    let mut cache = DuplicateCache::new(100, Duration::from_secs(60));
    cache.begin("running", 1);
    cache.begin("ended", 1);
    cache.end(start, "ended", "answer", 60);
    assert_eq!(cache.lookup("ended", 1), Lookup::Known(&Execution::Ended("answer")));
    assert_eq!(cache.lookup("ended", 2), Lookup::Conflict);
    cache.begin("second", 1);
    cache.end(start, "second", "answer", 60);
    assert_eq!(cache.lookup("ended", 1), Lookup::Absent, "the total size is bounded");
    let later = start + Duration::from_secs(61);
    cache.begin("third", 1);
    cache.end(later, "third", "answer", 1);
    assert_eq!(cache.lookup("second", 1), Lookup::Absent, "the age is bounded");
    assert_eq!(cache.lookup("running", 1), Lookup::Known(&Execution::Running));
}

#[test]
fn a_copy_that_reads_the_row_after_a_refusal_never_runs() {
    let mut table = Table::default();
    let refused = Row { fingerprint: FINGERPRINT, nonce: 1, state: State::Refused };
    assert_eq!(table.write(0, refused, Delivery::Answered), WriteResult::Done);
    assert_eq!(decide_arrival(table.row.as_ref(), FINGERPRINT), ArrivalDecision::Refused);
}
