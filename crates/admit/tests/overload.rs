//! Admission control under more load than the target can serve, without a network.

use std::time::{Duration, Instant};

use admit::{AdmissionController, Class, Completion, Decision, QueueAction, Request};

const NOMINAL_TIME: Duration = Duration::from_millis(100);
const TARGET_LATENCY: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_secs(4);

fn request(now: Instant, ticket: u64, rank: u8) -> Request {
    Request {
        ticket,
        class: Class::Urgent,
        deadline: now + DEADLINE,
        soft_deadline: now + TARGET_LATENCY,
        organisation: None,
        rank,
        nominal_time: Some(NOMINAL_TIME),
        may_queue: true,
    }
}

fn warm_controller(slots: u16) -> AdmissionController {
    let mut controller = AdmissionController::new(slots);
    controller.reset(slots, false);
    controller
}

/// Requests arrive at twice the capacity for two seconds. Guards against serving them
/// in order of arrival or deadline: every answer would be late after the first 600 ms.
#[test]
fn half_of_the_answers_are_in_time_at_twice_the_capacity() {
    let start = Instant::now();
    let mut controller = warm_controller(1);
    let (mut in_time, mut running) = (0, None);
    for millis in (0..2000).step_by(50) {
        let now = start + Duration::from_millis(millis);
        if let Some((ticket, ends)) = running
            && now >= ends
        {
            controller.finish(now, ticket, Completion::Answered(NOMINAL_TIME));
            running = None;
        }
        match controller.arrive(now, request(now, millis, 1)) {
            Decision::Start => running = Some((millis, now + NOMINAL_TIME)),
            Decision::Wait | Decision::Refuse(_) => {}
        }
        if let (None, QueueAction::Start(ticket)) = (running, controller.next_action(now)) {
            running = Some((ticket, now + NOMINAL_TIME));
        }
        if let Some((ticket, ends)) = running
            && ends == now + NOMINAL_TIME
            && ends <= start + Duration::from_millis(ticket) + TARGET_LATENCY
        {
            in_time += 1;
        }
    }
    assert!(in_time >= 18, "{in_time} of 40 in time, 20 fit");
}

/// Result of requests that arrive at twice the rate that the target can serve, each of
/// them already past its soft deadline.
struct LateRequestsResult {
    /// How long each started request had waited.
    waits: Vec<Duration>,
    /// Time to the deadline that was left to each request refused while it waited.
    time_left: Vec<Duration>,
}

fn simulate_late_requests(limit: Duration) -> LateRequestsResult {
    let start = Instant::now();
    let mut controller = warm_controller(1);
    let mut result = LateRequestsResult { waits: Vec::new(), time_left: Vec::new() };
    let mut running = None;
    for millis in (0..12_000).step_by(50) {
        let since = Duration::from_millis(millis);
        let now = start + since;
        if let Some((ticket, ends)) = running
            && now >= ends
        {
            controller.finish(now, ticket, Completion::Answered(NOMINAL_TIME));
            running = None;
        }
        let arrival =
            Request { deadline: now + limit, soft_deadline: now, ..request(now, millis, 1) };
        if controller.arrive(now, arrival) == Decision::Start {
            running = Some((millis, now + NOMINAL_TIME));
        }
        loop {
            match controller.next_action(now) {
                QueueAction::Start(ticket) => {
                    result.waits.push(since - Duration::from_millis(ticket));
                    running = Some((ticket, now + NOMINAL_TIME));
                }
                QueueAction::Expire(ticket) => {
                    result.time_left.push(limit + Duration::from_millis(ticket) - since);
                }
                QueueAction::Idle => break,
                QueueAction::Sleep(_) => panic!("no rate is limited"),
            }
        }
    }
    result
}

/// Requests arrive at twice the rate that a slow target can serve, and their callers
/// have more work to do with the answers. Guards against serving them in order of
/// arrival: each would be answered just before its deadline.
#[test]
fn under_overload_most_answered_requests_wait_briefly() {
    let LateRequestsResult { waits, .. } = simulate_late_requests(Duration::from_millis(600));
    let early = waits.iter().filter(|wait| wait.as_millis() <= 200).count();
    assert!(waits.len() >= 110, "{} answers, 120 fit", waits.len());
    assert!(early >= 90, "{early} of {} waited 200 ms or less", waits.len());
}

/// The same load from callers that would wait for seconds. A request that later ones
/// delay past its deadline is refused while its caller has time to try another target.
#[test]
fn request_displaced_past_its_deadline_is_refused_early() {
    let LateRequestsResult { time_left, .. } = simulate_late_requests(Duration::from_secs(4));
    assert!(time_left.len() >= 50, "{} refused", time_left.len());
    let least = time_left.iter().min().expect("some requests are refused");
    assert!(least.as_millis() >= 1500, "a request was refused only {least:?} before its deadline");
}

/// A patient request waits beside urgent ones that are already late and arrive faster
/// than the target can serve them. It runs ahead of them once it is due, so they must
/// not cause it to be refused as displaced.
#[test]
fn patient_request_is_not_displaced_by_late_urgent_ones() {
    let start = Instant::now();
    let mut controller = warm_controller(1);
    let patient = Request { class: Class::Patient, ..request(start, 1, 1) };
    assert_eq!(controller.arrive(start, request(start, 0, 1)), Decision::Start);
    controller.finish(start, 0, Completion::Answered(NOMINAL_TIME));
    assert_eq!(controller.arrive(start, request(start, 2, 1)), Decision::Start);
    assert_eq!(controller.arrive(start, patient), Decision::Wait);
    for ticket in 10..80 {
        let late = Request {
            deadline: start + DEADLINE,
            soft_deadline: start,
            ..request(start, ticket, 1)
        };
        controller.arrive(start, late);
        assert_ne!(
            controller.next_action(start),
            QueueAction::Expire(1),
            "request {ticket} displaced the patient one"
        );
    }
    let due = start + DEADLINE - 4 * NOMINAL_TIME;
    controller.finish(due, 2, Completion::Answered(NOMINAL_TIME));
    let mut next = controller.next_action(due);
    while let QueueAction::Expire(_) = next {
        next = controller.next_action(due);
    }
    assert_eq!(next, QueueAction::Start(1));
}

/// Requests of higher priority arrive at a target that already has a queue of requests
/// of lower priority.
#[test]
fn higher_priority_runs_first_among_requests_in_time() {
    let now = Instant::now();
    let mut controller = warm_controller(1);
    assert_eq!(controller.arrive(now, request(now, 1, 2)), Decision::Start);
    assert_eq!(controller.arrive(now, request(now, 2, 2)), Decision::Wait);
    assert_eq!(controller.arrive(now, request(now, 3, 1)), Decision::Wait);
    controller.finish(now, 1, Completion::Answered(NOMINAL_TIME));
    assert_eq!(controller.next_action(now), QueueAction::Start(3));
    let late = now + Duration::from_millis(250);
    assert_eq!(controller.arrive(late, request(late, 4, 2)), Decision::Wait);
    controller.finish(late, 3, Completion::Answered(NOMINAL_TIME));
    assert_eq!(
        controller.next_action(late),
        QueueAction::Start(4),
        "request 2 is late whenever it starts"
    );
}

/// A target takes 1.7 times as long when more than 7 of its 9 slots are in use.
#[test]
fn target_that_slows_down_when_full_gets_fewer_slots() {
    let mut controller = warm_controller(9);
    for round in 0..200 {
        let running = 1 + round % 9;
        let slow = if running > 7 { 1.7 } else { 1.0 };
        controller.observe_slowdown(NOMINAL_TIME.mul_f64(slow), NOMINAL_TIME, running);
    }
    assert_eq!(controller.slots(), 7);
    let mut steady = warm_controller(9);
    for round in 0..200 {
        steady.observe_slowdown(NOMINAL_TIME, NOMINAL_TIME, 1 + round % 9);
    }
    assert_eq!(steady.slots(), 9, "a target that does not slow down keeps all slots");
}

/// Simulates requests to a target that is always full and slows down by the factor
/// `slow` when more than four fifths of its slots are in use. Returns the slots used at
/// the end. The nominal time is learned from the requests, as in the guard.
fn simulate_full_target(slots: u16, slow: f64, runs: usize) -> u16 {
    let mut controller = warm_controller(slots);
    let mut nominal: Option<Duration> = None;
    for _ in 0..runs {
        let running = usize::from(controller.slots());
        let is_slowed = running > usize::from(slots) * 4 / 5;
        let time = NOMINAL_TIME.mul_f64(if is_slowed { slow } else { 1.0 });
        if let Some(nominal) = nominal {
            controller.observe_slowdown(time, nominal, running);
        }
        nominal = match nominal {
            Some(nominal) if controller.is_above_knee(running) => Some(nominal),
            Some(nominal) => Some(nominal.mul_f64(if time > nominal { 1.05 } else { 1.0 / 1.05 })),
            None => Some(time),
        };
    }
    controller.slots()
}

/// Callers return to a daemon that has just started, so its target is full before any
/// service time has been observed. Without a trial at fewer slots, no request shows how
/// the target performs below the knee.
#[test]
fn target_that_is_full_from_the_start_is_tried_with_fewer_slots() {
    assert_eq!(simulate_full_target(12, 1.7, 200), 9);
    assert_eq!(
        simulate_full_target(12, 1.0, 200),
        12,
        "a target that does not slow down keeps all slots"
    );
}

/// A target is full for hours. The nominal time must not be learned from requests that
/// slow each other down, or their slowdown comes to look normal.
#[test]
fn target_that_stays_full_keeps_its_reduced_slots() {
    let slots: Vec<u16> = (5000..5900).map(|runs| simulate_full_target(12, 1.7, runs)).collect();
    let at_most = slots.iter().filter(|slots| **slots == 9).count();
    assert!(at_most * 10 > slots.len() * 9, "{at_most} of {}", slots.len());
}

/// A target becomes slow for half a second while the waiting requests have less time
/// left than they would take at that pace.
#[test]
fn request_too_long_for_a_slow_pace_waits_without_holding_a_slot() {
    let now = Instant::now();
    let mut controller = warm_controller(1);
    assert_eq!(controller.arrive(now, request(now, 1, 1)), Decision::Start);
    let short = Request { deadline: now + TARGET_LATENCY, ..request(now, 2, 1) };
    assert_eq!(controller.arrive(now, short), Decision::Wait);
    controller.observe_pace(now, 7.0);
    controller.finish(now, 1, Completion::Answered(NOMINAL_TIME));
    assert_eq!(
        controller.next_action(now),
        QueueAction::Idle,
        "it would take 700 ms and has 300 ms"
    );
    let other = Request { nominal_time: Some(NOMINAL_TIME / 2), ..request(now, 3, 2) };
    assert_eq!(controller.arrive(now, other), Decision::Start, "it ends in time");
    assert_eq!(controller.next_action(now), QueueAction::Idle);
    controller.finish(now, 3, Completion::Answered(NOMINAL_TIME));
    let later = now + Duration::from_millis(100);
    controller.observe_pace(later, 1.0);
    assert_eq!(controller.next_action(later), QueueAction::Start(2));
    let late = now + Duration::from_millis(250);
    assert_eq!(
        controller.arrive(late, Request { deadline: now + TARGET_LATENCY, ..request(now, 4, 1) }),
        Decision::Refuse(admit::Refusal::Late { retry_after: Duration::from_millis(100) })
    );
}

/// A slow target has free slots while a long request waits for a better pace. A short
/// request that may not queue arrives and must still start.
#[test]
fn request_waiting_for_a_better_pace_does_not_block_free_slots() {
    let now = Instant::now();
    let mut controller = warm_controller(2);
    controller.observe_pace(now, 7.0);
    let long = Request { nominal_time: Some(10 * NOMINAL_TIME), ..request(now, 1, 1) };
    assert_eq!(controller.arrive(now, long), Decision::Wait, "it would take 7 s and has 4 s");
    let short =
        Request { nominal_time: Some(NOMINAL_TIME / 2), may_queue: false, ..request(now, 2, 1) };
    assert_eq!(controller.arrive(now, short), Decision::Start);
    assert_eq!(controller.next_action(now), QueueAction::Idle);
}

/// Pace of a host in each half second, as the load from its neighbours varies.
const PACES: [f64; 16] =
    [1.0, 7.0, 1.0, 7.0, 7.0, 1.0, 1.0, 7.0, 1.0, 1.0, 7.0, 1.0, 7.0, 7.0, 1.0, 1.0];

/// Result of long requests to a target with these paces.
#[derive(Debug, Default)]
struct LongRequestsResult {
    sent: u32,
    in_time: u32,
    late: u32,
}

/// Simulates requests of 200 ms, ten per second, that keep the pace at which they start.
fn simulate_long_requests() -> LongRequestsResult {
    const NOMINAL_TIME: Duration = Duration::from_millis(200);
    const TARGET_LATENCY: Duration = Duration::from_millis(600);
    let start = Instant::now();
    let mut controller = warm_controller(4);
    let mut result = LongRequestsResult::default();
    let mut running: Vec<(u64, Duration)> = Vec::new();
    for millis in (0..8000 + DEADLINE.as_millis() as u64).step_by(10) {
        let (since, now) = (Duration::from_millis(millis), start + Duration::from_millis(millis));
        let pace = PACES[(millis / 500) as usize % PACES.len()];
        controller.observe_pace(now, pace);
        let (ended, unfinished) = running.into_iter().partition(|(_, ends)| *ends <= since);
        running = unfinished;
        for (ticket, ends) in ended {
            controller.finish(now, ticket, Completion::Answered(NOMINAL_TIME));
            match ends <= Duration::from_millis(ticket) + TARGET_LATENCY {
                true => result.in_time += 1,
                false => result.late += 1,
            }
        }
        let mut run = |ticket| running.push((ticket, since + NOMINAL_TIME.mul_f64(pace)));
        if millis % 100 == 0 && millis < 8000 {
            result.sent += 1;
            let long = Request {
                soft_deadline: now + TARGET_LATENCY,
                nominal_time: Some(NOMINAL_TIME),
                ..request(now, millis, 1)
            };
            if controller.arrive(now, long) == Decision::Start {
                run(millis);
            }
        }
        loop {
            match controller.next_action(now) {
                QueueAction::Start(ticket) => run(ticket),
                QueueAction::Expire(_) => {}
                QueueAction::Idle => break,
                QueueAction::Sleep(_) => panic!("no rate is limited"),
            }
        }
    }
    result
}

/// The only target of a service is slow for half a second now and then. Its callers can
/// wait for seconds, but a request that starts at the slow pace takes long and holds its
/// slot far into the time when the target is fast again.
#[test]
fn long_requests_wait_for_a_better_pace() {
    let result = simulate_long_requests();
    assert!(result.in_time >= result.sent * 6 / 10, "{result:?}");
    assert_eq!(result.in_time + result.late, result.sent, "{result:?}");
}

/// A target is slow for seconds, and requests arrive that would take longer than they
/// have. After two seconds no better pace is expected any more, so they are refused while
/// their callers have time to try another target.
#[test]
fn request_too_long_for_a_lasting_slow_pace_is_refused() {
    let start = Instant::now();
    let mut controller = warm_controller(4);
    let short =
        |now, ticket| Request { deadline: now + 2 * TARGET_LATENCY, ..request(now, ticket, 1) };
    let (mut waited, mut refused) = (0, 0);
    for millis in (100..5000).step_by(50) {
        let now = start + Duration::from_millis(millis);
        controller.observe_pace(now, 12.0);
        match controller.arrive(now, short(now, millis)) {
            Decision::Start => panic!("it would take twice the time until its deadline"),
            Decision::Wait => waited += 1,
            Decision::Refuse(_) => refused += 1,
        }
        while let QueueAction::Expire(_) = controller.next_action(now) {}
        assert!(
            millis < 2100 || controller.queued() == 0,
            "{} wait at {millis} ms",
            controller.queued()
        );
    }
    assert!(waited <= 40 && refused >= 58, "{waited} waited, {refused} refused at once");
    let better = start + Duration::from_secs(5);
    controller.observe_pace(better, 1.0);
    assert_eq!(controller.arrive(better, short(better, 9)), Decision::Start);
}
