//! Tests of admission control and of held requests, with simple oracles.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use admit::{
    AdmissionController, Class, Completion, Decision, Hold, HoldTracker, QueueAction, Refusal,
    Request,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

const SERVICE_TIME: Duration = Duration::from_millis(20);

fn request(now: Instant, ticket: u64, class: Class, millis: u64) -> Request {
    let deadline = now + Duration::from_millis(millis);
    Request {
        ticket,
        class,
        deadline,
        soft_deadline: deadline,
        organisation: None,
        rank: 0,
        nominal_time: None,
        may_queue: true,
    }
}

/// Creates a controller whose target has answered often enough to be warm.
fn warm_controller(now: Instant, slots: u16) -> AdmissionController {
    let mut controller = AdmissionController::new(slots);
    for ticket in 0..u64::from(slots) * 2 {
        let ticket = u64::MAX - ticket;
        assert_eq!(
            controller.arrive(now, request(now, ticket, Class::Urgent, 1000)),
            Decision::Start
        );
        controller.finish(now, ticket, Completion::Answered(SERVICE_TIME));
    }
    assert_eq!(controller.slots(), slots);
    controller
}

fn fill(controller: &mut AdmissionController, now: Instant, slots: u64) {
    for ticket in 0..slots {
        assert_eq!(
            controller.arrive(now, request(now, ticket, Class::Urgent, 1000)),
            Decision::Start
        );
    }
}

#[test]
fn cold_target_starts_with_a_quarter_of_its_slots() {
    let now = Instant::now();
    let mut controller = AdmissionController::new(12);
    assert_eq!(controller.slots(), 3);
    for ticket in 0..9 {
        controller.arrive(now, request(now, ticket, Class::Urgent, 1000));
        controller.finish(now, ticket, Completion::Answered(SERVICE_TIME));
    }
    assert_eq!(controller.slots(), 12);
    controller.restart_warm_up();
    assert_eq!(controller.slots(), 3);
}

/// Guards against exceeding the operator's connection limit when the target advertises
/// more slots than that, also while all slots are in use and after it restarts.
#[test]
fn slots_never_exceed_the_configured_maximum() {
    let now = Instant::now();
    let mut controller = warm_controller(now, 8);
    controller.set_max_in_flight(3);
    fill(&mut controller, now, 3);
    assert_eq!(controller.arrive(now, request(now, 10, Class::Urgent, 1000)), Decision::Wait);
    controller.reset(12, false);
    assert_eq!(controller.slots(), 3);
    controller.set_max_in_flight(0);
    assert_eq!(controller.slots(), 1, "one request may always run");
    controller.set_max_in_flight(u16::MAX);
    assert_eq!(controller.slots(), 12);
}

#[test]
fn shedding_lowers_the_limit_and_it_recovers_one_slot_at_a_time() {
    let start = Instant::now();
    let mut controller = warm_controller(start, 8);
    fill(&mut controller, start, 8);
    controller.finish(start, 0, Completion::Shed);
    assert_eq!(controller.slots(), 7);
    controller.finish(start, 1, Completion::Shed);
    assert_eq!(controller.slots(), 6);
    let later = start + Duration::from_millis(600);
    controller.finish(later, 2, Completion::Answered(SERVICE_TIME));
    assert_eq!(controller.slots(), 7);
    controller.finish(later, 3, Completion::Answered(SERVICE_TIME));
    assert_eq!(controller.slots(), 7, "one slot per 500 ms");
}

#[test]
fn request_that_would_miss_its_deadline_is_refused() {
    let now = Instant::now();
    let mut controller = warm_controller(now, 2);
    fill(&mut controller, now, 2);
    let decision = controller.arrive(now, request(now, 10, Class::Urgent, 25));
    assert!(matches!(decision, Decision::Refuse(Refusal::Late { .. })), "{decision:?}");
    assert_eq!(controller.arrive(now, request(now, 11, Class::Urgent, 35)), Decision::Wait);
    let late = now + Duration::from_millis(30);
    controller.finish(late, 0, Completion::Answered(SERVICE_TIME));
    assert_eq!(controller.next_action(late), QueueAction::Expire(11));
}

#[test]
fn patient_request_waits_behind_urgent_ones_until_it_is_due() {
    let now = Instant::now();
    let mut controller = warm_controller(now, 1);
    fill(&mut controller, now, 1);
    controller.arrive(now, request(now, 10, Class::Patient, 5000));
    controller.arrive(now, request(now, 11, Class::Urgent, 500));
    controller.finish(now, 0, Completion::Answered(SERVICE_TIME));
    assert_eq!(
        controller.next_action(now),
        QueueAction::Start(11),
        "the urgent request goes first"
    );
    let due = now + Duration::from_millis(4900);
    controller.arrive(due, request(due, 12, Class::Urgent, 500));
    controller.finish(due, 11, Completion::Answered(SERVICE_TIME));
    assert_eq!(controller.next_action(due), QueueAction::Start(10), "the patient request is due");
}

#[test]
fn leaving_target_runs_queued_requests_and_refuses_new_ones() {
    let now = Instant::now();
    let mut controller = warm_controller(now, 1);
    fill(&mut controller, now, 1);
    assert_eq!(controller.arrive(now, request(now, 10, Class::Urgent, 500)), Decision::Wait);
    controller.leave();
    let new = controller.arrive(now, request(now, 11, Class::Urgent, 500));
    assert_eq!(new, Decision::Refuse(Refusal::Leaving));
    controller.finish(now, 0, Completion::Answered(SERVICE_TIME));
    assert_eq!(controller.next_action(now), QueueAction::Start(10));
}

#[test]
fn request_is_held_after_two_crashes_unless_answered_recently() {
    let start = Instant::now();
    let mut tracker = HoldTracker::default();
    let (poison, popular, rare) = (1, 2, 3);
    tracker.observe_answer(start, popular);
    assert_eq!(tracker.observe_crash(start, 100, [poison, popular, rare]).len(), 2);
    assert_eq!(tracker.held_for(start, poison), None);
    tracker.observe_crash(start, 101, [poison, popular]);
    assert!(tracker.held_for(start, poison).is_some());
    assert_eq!(tracker.held_for(start, popular), None);
    assert_eq!(tracker.held_for(start, rare), None);
    let later = start + Duration::from_secs(61);
    assert_eq!(tracker.held_for(later, poison), None, "the hold expires");
    tracker.observe_crash(later, 102, [poison]);
    let left = tracker.held_for(later, poison).expect("one more crash renews the hold");
    assert!(left > Duration::from_secs(100), "{left:?}");
}

#[test]
fn repeated_hold_for_one_crash_counts_once() {
    let now = Instant::now();
    let mut tracker = HoldTracker::default();
    let hold = Hold { fingerprint: 7, crash: 1 };
    assert!(tracker.apply(now, hold));
    assert!(!tracker.apply(now, hold));
    assert_eq!(tracker.held_for(now, 7), None);
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive { is_patient: bool, millis: u16, may_queue: bool },
    Finish { index: u8, is_shed: bool },
    Withdraw { index: u8 },
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
            7..=11 => Self::Finish { index: u8::arbitrary(g), is_shed: bool::arbitrary(g) },
            12 | 13 => Self::Withdraw { index: u8::arbitrary(g) },
            14 => Self::Wait { millis: u8::arbitrary(g) },
            _ => Self::Leave,
        }
    }
}

/// Which requests run and which wait, tracked independently of the controller.
#[derive(Default)]
struct Oracle {
    running: BTreeSet<u64>,
    waiting: BTreeMap<u64, Instant>,
    is_leaving: bool,
}

fn check_steps(slots: u16, steps: &[Step]) -> bool {
    let mut now = Instant::now();
    let mut controller = AdmissionController::new(slots);
    let mut oracle = Oracle::default();
    for (ticket, step) in steps.iter().enumerate() {
        let ticket = ticket as u64;
        match *step {
            Step::Arrive { is_patient, millis, may_queue } => {
                let class = if is_patient { Class::Patient } else { Class::Urgent };
                let request = Request { may_queue, ..request(now, ticket, class, millis.into()) };
                match controller.arrive(now, request) {
                    Decision::Start => drop(oracle.running.insert(ticket)),
                    Decision::Wait => {
                        assert!(may_queue);
                        oracle.waiting.insert(ticket, request.deadline);
                    }
                    Decision::Refuse(refusal) => {
                        assert_eq!(refusal == Refusal::Leaving, oracle.is_leaving);
                    }
                }
                assert!(!(oracle.is_leaving && oracle.running.contains(&ticket)));
            }
            Step::Finish { index, is_shed } => {
                let running = oracle.running.iter().nth(usize::from(index) % slots as usize);
                if let Some(ticket) = running.copied() {
                    oracle.running.remove(&ticket);
                    let completion =
                        if is_shed { Completion::Shed } else { Completion::Answered(SERVICE_TIME) };
                    controller.finish(now, ticket, completion);
                }
            }
            Step::Withdraw { index } => {
                let waiting = oracle.waiting.keys().nth(usize::from(index));
                if let Some(ticket) = waiting.copied() {
                    oracle.waiting.remove(&ticket);
                    assert!(controller.withdraw(ticket));
                }
                assert!(!controller.withdraw(u64::MAX));
            }
            Step::Wait { millis } => now += Duration::from_millis(millis.into()),
            Step::Leave => {
                controller.leave();
                oracle.is_leaving = true;
            }
        }
        loop {
            match controller.next_action(now) {
                QueueAction::Start(ticket) => {
                    assert!(
                        oracle.waiting.remove(&ticket).is_some(),
                        "{ticket} is started but does not wait"
                    );
                    oracle.running.insert(ticket);
                }
                QueueAction::Expire(ticket) => {
                    assert!(
                        oracle.waiting.remove(&ticket).is_some(),
                        "{ticket} expires but does not wait"
                    );
                }
                QueueAction::Idle => break,
                QueueAction::Sleep(_) => panic!("no rate is limited"),
            }
        }
        assert_eq!(controller.in_flight(), oracle.running.len());
        assert_eq!(controller.queued(), oracle.waiting.len());
        assert!(
            oracle.running.len() <= usize::from(slots),
            "more requests run than the target has slots"
        );
        let is_idle = controller.in_flight() < usize::from(controller.slots());
        assert!(!is_idle || oracle.waiting.is_empty(), "a slot is idle while a request waits");
    }
    true
}

quickcheck! {
    fn every_request_is_in_one_state_and_slots_are_conserved(slots: u8, steps: Vec<Step>) -> bool {
        check_steps(u16::from(slots % 12) + 1, &steps)
    }
}
