//! Organisations that compete for a target with too little room, without a network.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use admit::{
    AdmissionController, Class, Completion, Decision, Organisation, QueueAction, Refusal, Request,
};

const SLOTS: u16 = 4;
const NOMINAL_TIME: Duration = Duration::from_millis(100);
const TARGET_LATENCY: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_secs(1);
const RUN_TIME: Duration = Duration::from_secs(20);

/// A caller that sends requests at random times.
#[derive(Clone, Copy)]
struct Caller {
    organisation: Option<Organisation>,
    rank: u8,
    /// Requests as a multiple of what the target can serve.
    load: f64,
}

fn of(id: u64, priority: u8) -> Option<Organisation> {
    Some(Organisation { id, priority })
}

/// What became of the requests of one caller.
#[derive(Debug, Default, Clone)]
struct Results {
    sent: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    /// Time to the deadline that was left to each request refused while it waited.
    time_left: Vec<Duration>,
}

impl Results {
    fn answered(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.sent)
    }

    fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent)
    }
}

fn warm_controller(slots: u16) -> AdmissionController {
    let mut controller = AdmissionController::new(slots);
    controller.reset(slots, false);
    controller
}

fn request(now: Instant, ticket: u64, caller: Caller) -> Request {
    Request {
        ticket,
        class: Class::Urgent,
        deadline: now + DEADLINE,
        soft_deadline: now + TARGET_LATENCY,
        organisation: caller.organisation,
        rank: caller.rank,
        nominal_time: Some(NOMINAL_TIME),
        may_queue: true,
    }
}

/// Simulates callers of one target. Returns their results in the same order.
fn simulate(callers: &[Caller], seed: u64) -> Vec<Results> {
    let mut random = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let mut controller = warm_controller(SLOTS);
    let mut results = vec![Results::default(); callers.len()];
    let mut arrivals: BTreeMap<u64, (usize, Instant)> = BTreeMap::new();
    let mut running: Vec<(u64, Instant)> = Vec::new();
    let mut ticket = 0;
    for millis in 0..RUN_TIME.as_millis() as u64 {
        let now = start + Duration::from_millis(millis);
        let (ended, rest) = running.into_iter().partition(|(_, ends)| *ends <= now);
        running = rest;
        for (ticket, _) in ended {
            controller.finish(now, ticket, Completion::Answered(NOMINAL_TIME));
            let (caller, arrived) = arrivals[&ticket];
            match now <= arrived + TARGET_LATENCY {
                true => results[caller].in_time += 1,
                false => results[caller].late += 1,
            }
        }
        for (index, caller) in callers.iter().enumerate() {
            let per_milli = caller.load * f64::from(SLOTS) / NOMINAL_TIME.as_millis() as f64;
            if random.f64() >= per_milli {
                continue;
            }
            ticket += 1;
            results[index].sent += 1;
            arrivals.insert(ticket, (index, now));
            match controller.arrive(now, request(now, ticket, *caller)) {
                Decision::Start => running.push((ticket, now + NOMINAL_TIME)),
                Decision::Wait => {}
                Decision::Refuse(_) => results[index].refused += 1,
            }
        }
        loop {
            match controller.next_action(now) {
                QueueAction::Start(ticket) => running.push((ticket, now + NOMINAL_TIME)),
                QueueAction::Expire(ticket) => {
                    let (caller, arrived) = arrivals[&ticket];
                    results[caller].refused += 1;
                    results[caller].time_left.push(arrived + DEADLINE - now);
                }
                QueueAction::Idle => break,
                QueueAction::Sleep(_) => panic!("no rate is limited"),
            }
        }
    }
    results
}

/// Load pattern: three organisations of different priorities together offer twice what the
/// target can serve, the less urgent ones on routes of a more urgent rank. Guards against a
/// rank or a deadline that goes before the priority of an organisation, and against refusals
/// that come too late for another attempt.
#[test]
fn organisations_of_higher_priority_are_served_first() {
    for seed in 0..5 {
        let caller = |priority, rank, load| Caller {
            organisation: of(u64::from(priority), priority),
            rank,
            load,
        };
        let results = simulate(&[caller(0, 9, 0.6), caller(1, 5, 0.6), caller(2, 0, 0.8)], seed);
        assert!(results[0].in_time() >= 0.95, "seed {seed}: {:?}", results[0]);
        assert!((0.5..0.8).contains(&results[1].answered()), "seed {seed}: {:?}", results[1]);
        assert!(results[2].answered() <= 0.1, "seed {seed}: {:?}", results[2]);
        let served: u32 = results.iter().map(|results| results.in_time + results.late).sum();
        assert!(served >= 760, "seed {seed}: {served} of 800 that fit");
        let mut time_left = results[2].time_left.clone();
        time_left.sort();
        if let Some(median) = time_left.get(time_left.len() / 2) {
            assert!(*median >= DEADLINE / 2, "seed {seed}: {median:?} left");
        }
    }
}

/// Load pattern: one of six organisations of equal priority sends ten times its usual load, on a
/// route of a more urgent rank too, and all together offer 1.8 times what the target can serve.
/// Guards against a service by arrival, in which the others are refused as often as that one.
#[test]
fn an_organisation_that_sends_many_times_its_usual_load_starves_no_others() {
    for (seed, rank) in [(0, 3), (1, 3), (2, 0), (3, 0)] {
        let usual = |id| Caller { organisation: of(id, 1), rank: 3, load: 0.12 };
        let hot = Caller { organisation: of(9, 1), rank, load: 1.2 };
        let callers = [usual(1), usual(2), usual(3), usual(4), usual(5), hot];
        let results = simulate(&callers, seed);
        for others in &results[..5] {
            assert!(others.answered() >= 0.95, "seed {seed}: {others:?}");
        }
        let hot = &results[5];
        assert!(hot.answered() >= 0.25, "seed {seed}: it gets what the others leave: {hot:?}");
    }
}

/// Load pattern: two organisations of equal priority, of which one sends eight times as much as
/// the other.
#[test]
fn the_smaller_of_two_organisations_is_served_beside_a_larger_one() {
    let caller = |id, load| Caller { organisation: of(id, 0), rank: 1, load };
    let results = simulate(&[caller(1, 0.2), caller(2, 1.6)], 1);
    assert!(results[0].answered() >= 0.95, "{:?}", results[0]);
    assert!(results[1].answered() >= 0.45, "{:?}", results[1]);
}

/// Load pattern: organisations of the highest priority offer twice what the target can serve,
/// beside calls of other targets, which have no organisation and are of the least urgent rank.
/// Guards against parent requests that starve the calls they have made: a slot elsewhere would
/// be wasted for each refusal.
#[test]
fn calls_made_by_targets_are_not_starved_by_organisations() {
    let nested = Caller { organisation: None, rank: 9, load: 0.4 };
    let caller = |id| Caller { organisation: of(id, 0), rank: 0, load: 0.5 };
    for seed in 0..3 {
        let results = simulate(&[nested, caller(1), caller(2), caller(3), caller(4)], seed);
        assert!(results[0].answered() >= 0.98, "seed {seed}: {:?}", results[0]);
        assert!(results[0].in_time() >= 0.9, "seed {seed}: {:?}", results[0]);
    }
}

/// Load pattern: requests with long deadlines fill the whole queue, and then more urgent ones
/// arrive. Guards against a full queue that refuses whoever comes, whatever waits in it.
#[test]
fn a_more_urgent_request_displaces_the_least_urgent_of_a_full_queue() {
    let now = Instant::now();
    let mut controller = warm_controller(1);
    let patient_deadline = |request: Request| Request {
        deadline: now + Duration::from_secs(60),
        soft_deadline: now + Duration::from_secs(60),
        ..request
    };
    let low = Caller { organisation: of(1, 2), rank: 0, load: 0.0 };
    let mut ticket = 0;
    loop {
        ticket += 1;
        match controller.arrive(now, patient_deadline(request(now, ticket, low))) {
            Decision::Start | Decision::Wait => {}
            Decision::Refuse(Refusal::Busy { .. }) => break,
            Decision::Refuse(refusal) => panic!("the queue is not full: {refusal:?}"),
        }
    }
    let waiting = controller.queued();
    let high = Caller { organisation: of(2, 1), rank: 9, load: 0.0 };
    let arrival = patient_deadline(request(now, 1000, high));
    assert_eq!(controller.arrive(now, arrival), Decision::Wait);
    assert_eq!(controller.next_action(now), QueueAction::Expire(ticket - 1));
    assert_eq!(controller.next_action(now), QueueAction::Idle);
    assert_eq!(controller.queued(), waiting);
    controller.finish(now, 1, Completion::Answered(NOMINAL_TIME));
    assert_eq!(controller.next_action(now), QueueAction::Start(1000));
}

/// Load pattern: an organisation of the lowest priority has requests with much time, and one
/// above it has requests with little, when a burst of the highest priority arrives. Guards against
/// a check of only the last request in the queue: the other one would wait in vain until its
/// deadline.
#[test]
fn a_request_that_a_burst_delays_past_its_deadline_is_refused_at_once() {
    let now = Instant::now();
    let mut controller = warm_controller(1);
    let caller =
        |priority| Caller { organisation: of(priority, priority as u8), rank: 0, load: 0.0 };
    assert_eq!(controller.arrive(now, request(now, 0, caller(0))), Decision::Start);
    controller.finish(now, 0, Completion::Answered(NOMINAL_TIME));
    assert_eq!(controller.arrive(now, request(now, 1, caller(0))), Decision::Start);
    let long = Request { deadline: now + 60 * DEADLINE, ..request(now, 2, caller(2)) };
    assert_eq!(controller.arrive(now, long), Decision::Wait);
    assert_eq!(controller.arrive(now, request(now, 3, caller(1))), Decision::Wait);
    let mut refused = Vec::new();
    for ticket in 10..18 {
        assert_eq!(controller.arrive(now, request(now, ticket, caller(0))), Decision::Wait);
        while let QueueAction::Expire(ticket) = controller.next_action(now) {
            refused.push(ticket);
        }
    }
    assert_eq!(refused, [3]);
}

/// Organisations, priorities and deadlines at random, with requests that end, are withdrawn or wait.
/// Guards against requests that are started or refused twice, slots that stay idle, and organisations
/// that are still counted after their last request.
#[test]
fn every_request_of_random_organisations_has_one_end() {
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut now = Instant::now();
        let mut controller = warm_controller(3);
        let (mut waiting, mut running) = (BTreeSet::new(), BTreeSet::new());
        for ticket in 0..600 {
            let organisation = (random.u8(..4) > 0)
                .then(|| Organisation { id: random.u64(..4), priority: random.u8(..3) });
            let caller = Caller { organisation, rank: random.u8(..3), load: 0.0 };
            let deadline = now + Duration::from_millis(random.u64(50..2000));
            let may_queue = random.u8(..8) > 0;
            let arrival = Request { deadline, may_queue, ..request(now, ticket, caller) };
            match controller.arrive(now, arrival) {
                Decision::Start => assert!(running.insert(ticket)),
                Decision::Wait => assert!(may_queue && waiting.insert(ticket)),
                Decision::Refuse(_) => {}
            }
            if random.u8(..3) > 0
                && let Some(ended) = running.pop_first()
            {
                controller.finish(now, ended, Completion::Answered(NOMINAL_TIME));
            }
            if random.u8(..10) == 0
                && let Some(left) = waiting.pop_last()
            {
                assert!(controller.withdraw(left));
            }
            loop {
                match controller.next_action(now) {
                    QueueAction::Start(ticket) => {
                        assert!(waiting.remove(&ticket) && running.insert(ticket));
                    }
                    QueueAction::Expire(ticket) => assert!(waiting.remove(&ticket)),
                    QueueAction::Idle => break,
                    QueueAction::Sleep(_) => panic!("no rate is limited"),
                }
            }
            assert_eq!(
                (controller.queued(), controller.in_flight()),
                (waiting.len(), running.len())
            );
            assert!(waiting.is_empty() || running.len() >= 3, "seed {seed}: a slot is idle");
            now += Duration::from_millis(random.u64(..60));
        }
        waiting.into_iter().for_each(|ticket| assert!(controller.withdraw(ticket)));
        running.into_iter().for_each(|ticket| controller.finish(now, ticket, Completion::Aborted));
        let state = format!("{controller:?}");
        assert!(state.contains("Loads { by_organisation: {}, by_priority: {} }"), "{state}");
    }
}

/// Load pattern: a steady load of a high priority takes four fifths of the target when a queue
/// has to be worked off. Guards against a Retry-After that only counts the queue: those who came
/// back then would be refused again, since the higher priority has gone before them.
#[test]
fn retry_after_leaves_room_for_higher_priorities_that_still_arrive() {
    let start = Instant::now();
    let mut controller = warm_controller(1);
    let high = Caller { organisation: of(1, 0), rank: 0, load: 0.0 };
    for ticket in 0..80 {
        let at = start + NOMINAL_TIME.mul_f64(1.25 * ticket as f64);
        assert_eq!(controller.arrive(at, request(at, ticket, high)), Decision::Start);
        controller.finish(at + NOMINAL_TIME, ticket, Completion::Answered(NOMINAL_TIME));
    }
    let now = start + NOMINAL_TIME.mul_f64(1.25 * 80.0);
    let low = Caller { organisation: of(2, 3), rank: 0, load: 0.0 };
    assert_eq!(controller.arrive(now, request(now, 100, low)), Decision::Start);
    assert_eq!(controller.arrive(now, request(now, 101, low)), Decision::Wait);
    let (first, last) = (controller.retry_after_for(now, 0), controller.retry_after_for(now, 3));
    assert_eq!(first, controller.retry_after(now));
    assert!((4.0..=6.5).contains(&last.div_duration_f64(first)), "{first:?} {last:?}");
    let later = now + Duration::from_secs(30);
    assert_eq!(
        controller.retry_after_for(later, 3).as_millis(),
        controller.retry_after(later).as_millis(),
        "the higher priority no longer arrives"
    );
}
