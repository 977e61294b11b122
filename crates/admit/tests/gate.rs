//! The gate and the holds against simple oracles.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use admit::{Class, End, Gate, Hold, Holds, Next, Refusal, Request, Verdict};
use quickcheck::{Arbitrary, Gen, quickcheck};

const SERVICE: Duration = Duration::from_millis(20);

fn request(now: Instant, ticket: u64, class: Class, millis: u64) -> Request {
    let deadline = now + Duration::from_millis(millis);
    Request { ticket, class, deadline, aim: deadline, rank: 0, work: None, may_queue: true }
}

/// A gate whose target has answered often enough to be warm.
fn warm_gate(now: Instant, slots: u16) -> Gate {
    let mut gate = Gate::new(slots);
    for ticket in 0..u64::from(slots) * 2 {
        let ticket = u64::MAX - ticket;
        assert_eq!(gate.arrive(now, request(now, ticket, Class::Urgent, 1000)), Verdict::Start);
        gate.finish(now, ticket, End::Answered(SERVICE));
    }
    assert_eq!(gate.slots(), slots);
    gate
}

fn fill(gate: &mut Gate, now: Instant, slots: u64) {
    for ticket in 0..slots {
        assert_eq!(gate.arrive(now, request(now, ticket, Class::Urgent, 1000)), Verdict::Start);
    }
}

#[test]
fn a_cold_target_gets_few_requests_until_it_has_answered_some() {
    let now = Instant::now();
    let mut gate = Gate::new(12);
    assert_eq!(gate.slots(), 3);
    for ticket in 0..9 {
        gate.arrive(now, request(now, ticket, Class::Urgent, 1000));
        gate.finish(now, ticket, End::Answered(SERVICE));
    }
    assert_eq!(gate.slots(), 12);
    gate.restart();
    assert_eq!(gate.slots(), 3);
}

/// A target with more slots than connections: the operator states few connections,
/// also while it is full and when it starts anew.
#[test]
fn no_more_requests_run_than_the_bound_whatever_the_target_states() {
    let now = Instant::now();
    let mut gate = warm_gate(now, 8);
    gate.set_bound(3);
    fill(&mut gate, now, 3);
    assert_eq!(gate.arrive(now, request(now, 10, Class::Urgent, 1000)), Verdict::Wait);
    gate.reopen(12, false);
    assert_eq!(gate.slots(), 3);
    gate.set_bound(0);
    assert_eq!(gate.slots(), 1, "one request always may run");
    gate.set_bound(u16::MAX);
    assert_eq!(gate.slots(), 12);
}

#[test]
fn shedding_lowers_the_slots_and_time_restores_them_one_by_one() {
    let start = Instant::now();
    let mut gate = warm_gate(start, 8);
    fill(&mut gate, start, 8);
    gate.finish(start, 0, End::Shed);
    assert_eq!(gate.slots(), 7);
    gate.finish(start, 1, End::Shed);
    assert_eq!(gate.slots(), 6);
    let later = start + Duration::from_millis(600);
    gate.finish(later, 2, End::Answered(SERVICE));
    assert_eq!(gate.slots(), 7);
    gate.finish(later, 3, End::Answered(SERVICE));
    assert_eq!(gate.slots(), 7, "one slot in 500 ms");
}

#[test]
fn what_cannot_be_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut gate = warm_gate(now, 2);
    fill(&mut gate, now, 2);
    let verdict = gate.arrive(now, request(now, 10, Class::Urgent, 25));
    assert!(matches!(verdict, Verdict::Refuse(Refusal::Late { .. })), "{verdict:?}");
    assert_eq!(gate.arrive(now, request(now, 11, Class::Urgent, 35)), Verdict::Wait);
    let too_late = now + Duration::from_millis(30);
    gate.finish(too_late, 0, End::Answered(SERVICE));
    assert_eq!(gate.next(too_late), Next::Expire(11));
}

#[test]
fn patient_requests_wait_behind_urgent_ones_but_not_past_their_deadline() {
    let now = Instant::now();
    let mut gate = warm_gate(now, 1);
    fill(&mut gate, now, 1);
    gate.arrive(now, request(now, 10, Class::Patient, 5000));
    gate.arrive(now, request(now, 11, Class::Urgent, 500));
    gate.finish(now, 0, End::Answered(SERVICE));
    assert_eq!(gate.next(now), Next::Start(11), "the urgent one goes first");
    let near = now + Duration::from_millis(4900);
    gate.arrive(near, request(near, 12, Class::Urgent, 500));
    gate.finish(near, 11, End::Answered(SERVICE));
    assert_eq!(gate.next(near), Next::Start(10), "the patient one is due");
}

#[test]
fn a_leaving_gate_finishes_what_waits_and_takes_nothing_new() {
    let now = Instant::now();
    let mut gate = warm_gate(now, 1);
    fill(&mut gate, now, 1);
    assert_eq!(gate.arrive(now, request(now, 10, Class::Urgent, 500)), Verdict::Wait);
    gate.leave();
    let new = gate.arrive(now, request(now, 11, Class::Urgent, 500));
    assert_eq!(new, Verdict::Refuse(Refusal::Leaving));
    gate.finish(now, 0, End::Answered(SERVICE));
    assert_eq!(gate.next(now), Next::Start(10));
}

#[test]
fn two_crashes_hold_a_request_and_answers_clear_the_innocent() {
    let start = Instant::now();
    let mut holds = Holds::default();
    let (poison, popular, rare) = (1, 2, 3);
    holds.observe_answer(start, popular);
    assert_eq!(holds.observe_crash(start, 100, [poison, popular, rare]).len(), 2);
    assert_eq!(holds.held_for(start, poison), None);
    holds.observe_crash(start, 101, [poison, popular]);
    assert!(holds.held_for(start, poison).is_some());
    assert_eq!(holds.held_for(start, popular), None);
    assert_eq!(holds.held_for(start, rare), None);
    let later = start + Duration::from_secs(61);
    assert_eq!(holds.held_for(later, poison), None, "a hold is bounded");
    holds.observe_crash(later, 102, [poison]);
    let left = holds.held_for(later, poison).expect("one more crash is enough now");
    assert!(left > Duration::from_secs(100), "{left:?}");
}

#[test]
fn news_of_one_crash_counts_once_from_however_many_daemons() {
    let now = Instant::now();
    let mut holds = Holds::default();
    let hold = Hold { fingerprint: 7, crash: 1 };
    assert!(holds.hear(now, hold));
    assert!(!holds.hear(now, hold));
    assert_eq!(holds.held_for(now, 7), None);
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive { is_patient: bool, millis: u16, may_queue: bool },
    Finish { place: u8, is_shed: bool },
    Withdraw { place: u8 },
    Wait { millis: u8 },
    Leave,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..=6 => Self::Arrive {
                is_patient: bool::arbitrary(g),
                millis: u16::arbitrary(g) % 2000,
                may_queue: bool::arbitrary(g),
            },
            7..=11 => Self::Finish { place: u8::arbitrary(g), is_shed: bool::arbitrary(g) },
            12 | 13 => Self::Withdraw { place: u8::arbitrary(g) },
            14 => Self::Wait { millis: u8::arbitrary(g) },
            _ => Self::Leave,
        }
    }
}

/// Where each request is, kept apart from the gate.
#[derive(Default)]
struct Oracle {
    running: BTreeSet<u64>,
    waiting: BTreeMap<u64, Instant>,
    is_leaving: bool,
}

fn check_steps(slots: u16, steps: &[Step]) -> bool {
    let mut now = Instant::now();
    let mut gate = Gate::new(slots);
    let mut oracle = Oracle::default();
    for (ticket, step) in steps.iter().enumerate() {
        let ticket = ticket as u64;
        match *step {
            Step::Arrive { is_patient, millis, may_queue } => {
                let class = if is_patient { Class::Patient } else { Class::Urgent };
                let request = Request { may_queue, ..request(now, ticket, class, millis.into()) };
                match gate.arrive(now, request) {
                    Verdict::Start => drop(oracle.running.insert(ticket)),
                    Verdict::Wait => {
                        assert!(may_queue);
                        oracle.waiting.insert(ticket, request.deadline);
                    }
                    Verdict::Refuse(refusal) => {
                        assert_eq!(refusal == Refusal::Leaving, oracle.is_leaving);
                    }
                }
                assert!(!(oracle.is_leaving && oracle.running.contains(&ticket)));
            }
            Step::Finish { place, is_shed } => {
                let running = oracle.running.iter().nth(usize::from(place) % slots as usize);
                if let Some(ticket) = running.copied() {
                    oracle.running.remove(&ticket);
                    let end = if is_shed { End::Shed } else { End::Answered(SERVICE) };
                    gate.finish(now, ticket, end);
                }
            }
            Step::Withdraw { place } => {
                let waiting = oracle.waiting.keys().nth(usize::from(place));
                if let Some(ticket) = waiting.copied() {
                    oracle.waiting.remove(&ticket);
                    assert!(gate.withdraw(ticket));
                }
                assert!(!gate.withdraw(u64::MAX));
            }
            Step::Wait { millis } => now += Duration::from_millis(millis.into()),
            Step::Leave => {
                gate.leave();
                oracle.is_leaving = true;
            }
        }
        loop {
            match gate.next(now) {
                Next::Start(ticket) => {
                    assert!(oracle.waiting.remove(&ticket).is_some(), "started twice");
                    oracle.running.insert(ticket);
                }
                Next::Expire(ticket) => {
                    assert!(oracle.waiting.remove(&ticket).is_some(), "ended twice");
                }
                Next::Idle => break,
            }
        }
        assert_eq!(gate.in_flight(), oracle.running.len());
        assert_eq!(gate.queued(), oracle.waiting.len());
        assert!(oracle.running.len() <= usize::from(slots), "more than the stated slots run");
        let is_idle = gate.in_flight() < usize::from(gate.slots());
        assert!(!is_idle || oracle.waiting.is_empty(), "a slot is idle while a request waits");
    }
    true
}

quickcheck! {
    fn every_request_is_in_one_place_and_slots_are_conserved(slots: u8, steps: Vec<Step>) -> bool {
        check_steps(u16::from(slots % 12) + 1, &steps)
    }
}
