//! The gate under more load than its target can carry, without a network.

use std::time::{Duration, Instant};

use admit::{Class, End, Gate, Next, Request, Verdict};

const WORK: Duration = Duration::from_millis(100);
const AIM: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_secs(4);

fn request(now: Instant, ticket: u64, rank: u8) -> Request {
    Request {
        ticket,
        class: Class::Urgent,
        deadline: now + DEADLINE,
        aim: now + AIM,
        rank,
        work: Some(WORK),
        may_queue: true,
    }
}

fn open_gate(slots: u16) -> Gate {
    let mut gate = Gate::new(slots);
    gate.reopen(slots, false);
    gate
}

/// Pattern: arrivals at twice the capacity for two seconds. In order of arrival
/// or deadline every answer would be late after the first 600 ms.
#[test]
fn at_twice_the_capacity_half_of_the_answers_are_still_in_time() {
    let start = Instant::now();
    let mut gate = open_gate(1);
    let (mut in_time, mut running) = (0, None);
    for millis in (0..2000).step_by(50) {
        let now = start + Duration::from_millis(millis);
        if let Some((ticket, ends)) = running
            && now >= ends
        {
            gate.finish(now, ticket, End::Answered(WORK));
            running = None;
        }
        match gate.arrive(now, request(now, millis, 1)) {
            Verdict::Start => running = Some((millis, now + WORK)),
            Verdict::Wait | Verdict::Refuse(_) => {}
        }
        if let (None, Next::Start(ticket)) = (running, gate.next(now)) {
            running = Some((ticket, now + WORK));
        }
        if let Some((ticket, ends)) = running
            && ends == now + WORK
            && ends <= start + Duration::from_millis(ticket) + AIM
        {
            in_time += 1;
        }
    }
    assert!(in_time >= 18, "{in_time} of 40 in time, 20 fit");
}

/// What became of requests that all are late already by their aim and come at twice
/// the rate that the target carries.
struct Played {
    /// How long each one that started had waited.
    waits: Vec<Duration>,
    /// Time that each one that was refused while it waited had left.
    left: Vec<Duration>,
}

fn play_late_requests(limit: Duration) -> Played {
    let start = Instant::now();
    let mut gate = open_gate(1);
    let mut played = Played { waits: Vec::new(), left: Vec::new() };
    let mut running = None;
    for millis in (0..12_000).step_by(50) {
        let since = Duration::from_millis(millis);
        let now = start + since;
        if let Some((ticket, ends)) = running
            && now >= ends
        {
            gate.finish(now, ticket, End::Answered(WORK));
            running = None;
        }
        let arrival = Request { deadline: now + limit, aim: now, ..request(now, millis, 1) };
        if gate.arrive(now, arrival) == Verdict::Start {
            running = Some((millis, now + WORK));
        }
        loop {
            match gate.next(now) {
                Next::Start(ticket) => {
                    played.waits.push(since - Duration::from_millis(ticket));
                    running = Some((ticket, now + WORK));
                }
                Next::Expire(ticket) => {
                    played.left.push(limit + Duration::from_millis(ticket) - since);
                }
                Next::Idle => break,
            }
        }
    }
    played
}

/// Pattern: the calls of runs come at twice what a slow target carries, and their
/// callers have more to do once they have the answers. In order of arrival each would
/// come just before its deadline.
#[test]
fn where_not_all_can_be_answered_the_answers_come_early() {
    let Played { waits, .. } = play_late_requests(Duration::from_millis(600));
    let early = waits.iter().filter(|wait| wait.as_millis() <= 200).count();
    assert!(waits.len() >= 110, "{} answers, 120 fit", waits.len());
    assert!(early >= 90, "{early} of {} waited 200 ms or less", waits.len());
}

/// Pattern: the same, by callers who would wait for seconds. Those that later ones
/// push back too far are told while they have time to go elsewhere.
#[test]
fn what_is_pushed_back_too_far_is_refused_at_once() {
    let Played { left, .. } = play_late_requests(Duration::from_secs(4));
    assert!(left.len() >= 50, "{} refused", left.len());
    let least = left.iter().min().expect("some are refused");
    assert!(least.as_millis() >= 1500, "one was refused {least:?} before its deadline");
}

/// Pattern: a patient request waits beside urgent ones that are late already and come
/// at more than the target carries. It goes ahead of them when its own time comes near,
/// so that they push it back in vain.
#[test]
fn a_patient_request_is_not_given_up_while_its_turn_still_comes() {
    let start = Instant::now();
    let mut gate = open_gate(1);
    let patient = Request { class: Class::Patient, ..request(start, 1, 1) };
    assert_eq!(gate.arrive(start, request(start, 0, 1)), Verdict::Start);
    gate.finish(start, 0, End::Answered(WORK));
    assert_eq!(gate.arrive(start, request(start, 2, 1)), Verdict::Start);
    assert_eq!(gate.arrive(start, patient), Verdict::Wait);
    for ticket in 10..80 {
        let late = Request { deadline: start + DEADLINE, aim: start, ..request(start, ticket, 1) };
        gate.arrive(start, late);
        assert_ne!(gate.next(start), Next::Expire(1), "{ticket} pushed it back");
    }
    let due = start + DEADLINE - 4 * WORK;
    gate.finish(due, 2, End::Answered(WORK));
    let mut next = gate.next(due);
    while let Next::Expire(_) = next {
        next = gate.next(due);
    }
    assert_eq!(next, Next::Start(1));
}

/// Pattern: requests that others wait for, and such as are worth more, come to a
/// target where a queue of less urgent ones stands.
#[test]
fn the_more_urgent_rank_goes_first_among_those_in_time() {
    let now = Instant::now();
    let mut gate = open_gate(1);
    assert_eq!(gate.arrive(now, request(now, 1, 2)), Verdict::Start);
    assert_eq!(gate.arrive(now, request(now, 2, 2)), Verdict::Wait);
    assert_eq!(gate.arrive(now, request(now, 3, 1)), Verdict::Wait);
    gate.finish(now, 1, End::Answered(WORK));
    assert_eq!(gate.next(now), Next::Start(3));
    let late = now + Duration::from_millis(250);
    assert_eq!(gate.arrive(late, request(late, 4, 2)), Verdict::Wait);
    gate.finish(late, 3, End::Answered(WORK));
    assert_eq!(gate.next(late), Next::Start(4), "2 is late whenever it starts");
}

/// Pattern: a target that takes 1.7 times as long when all of its slots are taken.
#[test]
fn a_target_that_slows_down_when_full_gets_fewer_at_a_time() {
    let mut gate = open_gate(9);
    for round in 0..200 {
        let running = 1 + round % 9;
        let slow = if running > 7 { 1.7 } else { 1.0 };
        gate.observe_usual(WORK.mul_f64(slow), WORK, running);
    }
    assert_eq!(gate.slots(), 7);
    let mut even = open_gate(9);
    for round in 0..200 {
        even.observe_usual(WORK, WORK, 1 + round % 9);
    }
    assert_eq!(even.slots(), 9, "a target that does not slow down keeps all");
}

/// Plays runs at a target that is full all the time and slows down by `slow` when more
/// than four of five slots are taken, and gives the slots used at the end. What is usual
/// is learned from the runs, as the guard does.
fn play_full(slots: u16, slow: f64, runs: usize) -> u16 {
    let mut gate = open_gate(slots);
    let mut usual: Option<Duration> = None;
    for _ in 0..runs {
        let running = usize::from(gate.slots());
        let is_slowed = running > usize::from(slots) * 4 / 5;
        let service = WORK.mul_f64(if is_slowed { slow } else { 1.0 });
        if let Some(usual) = usual {
            gate.observe_usual(service, usual, running);
        }
        usual = match usual {
            Some(usual) if gate.is_crowded(running) => Some(usual),
            Some(usual) => Some(usual.mul_f64(if service > usual { 1.05 } else { 1.0 / 1.05 })),
            None => Some(service),
        };
    }
    gate.slots()
}

/// Pattern: callers return to a daemon that has just started, so that its target is full
/// before anything is known of it. No run shows what it does with fewer at a time.
#[test]
fn a_target_that_is_full_from_the_start_is_tried_with_fewer() {
    assert_eq!(play_full(12, 1.7, 200), 9);
    assert_eq!(play_full(12, 1.0, 200), 12, "one that does not slow down keeps all");
}

/// Pattern: hours at full load. What is usual must not be learned from runs that slow
/// each other down, or they come to look usual.
#[test]
fn a_target_that_stays_full_keeps_its_fewer_slots() {
    let slots: Vec<u16> = (5000..5900).map(|runs| play_full(12, 1.7, runs)).collect();
    let at_most = slots.iter().filter(|slots| **slots == 9).count();
    assert!(at_most * 10 > slots.len() * 9, "{at_most} of {}", slots.len());
}

/// Pattern: a target turns slow for half a second while requests wait whose answers
/// are due in less than it would take them then.
#[test]
fn what_cannot_end_at_a_slow_pace_waits_for_a_better_one_and_holds_no_slot() {
    let now = Instant::now();
    let mut gate = open_gate(1);
    assert_eq!(gate.arrive(now, request(now, 1, 1)), Verdict::Start);
    let short = Request { deadline: now + AIM, ..request(now, 2, 1) };
    assert_eq!(gate.arrive(now, short), Verdict::Wait);
    gate.observe_pace(now, 7.0);
    gate.finish(now, 1, End::Answered(WORK));
    assert_eq!(gate.next(now), Next::Idle, "it would end after 700 ms of 300");
    let other = Request { work: Some(WORK / 2), ..request(now, 3, 2) };
    assert_eq!(gate.arrive(now, other), Verdict::Start, "one that ends in time");
    assert_eq!(gate.next(now), Next::Idle);
    gate.finish(now, 3, End::Answered(WORK));
    let later = now + Duration::from_millis(100);
    gate.observe_pace(later, 1.0);
    assert_eq!(gate.next(later), Next::Start(2));
    let late = now + Duration::from_millis(250);
    assert_eq!(
        gate.arrive(late, Request { deadline: now + AIM, ..request(now, 4, 1) }),
        Verdict::Refuse(admit::Refusal::Late { retry_after: Duration::from_millis(100) })
    );
}

/// Pattern: a slow target has slots free while a long request waits there for a better
/// pace, and short ones come that would go elsewhere rather than wait.
#[test]
fn what_waits_for_a_better_pace_holds_nobody_up_while_slots_are_free() {
    let now = Instant::now();
    let mut gate = open_gate(2);
    gate.observe_pace(now, 7.0);
    let long = Request { work: Some(10 * WORK), ..request(now, 1, 1) };
    assert_eq!(gate.arrive(now, long), Verdict::Wait, "it would take 7 s of 4");
    let short = Request { work: Some(WORK / 2), may_queue: false, ..request(now, 2, 1) };
    assert_eq!(gate.arrive(now, short), Verdict::Start);
    assert_eq!(gate.next(now), Next::Idle);
}

/// The pace of a host in each half second, as neighbours come and go.
const PACES: [f64; 16] =
    [1.0, 7.0, 1.0, 7.0, 7.0, 1.0, 1.0, 7.0, 1.0, 1.0, 7.0, 1.0, 7.0, 7.0, 1.0, 1.0];

/// What became of long requests at a target with these paces.
#[derive(Debug, Default)]
struct Answers {
    asked: u32,
    in_time: u32,
    late: u32,
}

/// Plays requests of 200 ms, ten a second, that keep the pace at which they start.
fn play_long_requests() -> Answers {
    const WORK: Duration = Duration::from_millis(200);
    const AIM: Duration = Duration::from_millis(600);
    let start = Instant::now();
    let mut gate = open_gate(4);
    let mut answers = Answers::default();
    let mut running: Vec<(u64, Duration)> = Vec::new();
    for millis in (0..8000 + DEADLINE.as_millis() as u64).step_by(10) {
        let (since, now) = (Duration::from_millis(millis), start + Duration::from_millis(millis));
        let pace = PACES[(millis / 500) as usize % PACES.len()];
        gate.observe_pace(now, pace);
        let (ended, going) = running.into_iter().partition(|(_, ends)| *ends <= since);
        running = going;
        for (ticket, ends) in ended {
            gate.finish(now, ticket, End::Answered(WORK));
            match ends <= Duration::from_millis(ticket) + AIM {
                true => answers.in_time += 1,
                false => answers.late += 1,
            }
        }
        let mut run = |ticket| running.push((ticket, since + WORK.mul_f64(pace)));
        if millis % 100 == 0 && millis < 8000 {
            answers.asked += 1;
            let long = Request { aim: now + AIM, work: Some(WORK), ..request(now, millis, 1) };
            if gate.arrive(now, long) == Verdict::Start {
                run(millis);
            }
        }
        loop {
            match gate.next(now) {
                Next::Start(ticket) => run(ticket),
                Next::Expire(_) => {}
                Next::Idle => break,
            }
        }
    }
    answers
}

/// Pattern: the only target of a service is slow for half a second now and then, and
/// requests come whose callers have seconds, but whose runs take long at that pace and
/// hold their slots on into the times when the target is fast.
#[test]
fn long_requests_wait_for_a_better_pace_and_hold_no_slot_for_seconds() {
    let answers = play_long_requests();
    assert!(answers.in_time >= answers.asked * 6 / 10, "{answers:?}");
    assert_eq!(answers.in_time + answers.late, answers.asked, "{answers:?}");
}

/// Pattern: a target is slow for seconds, and callers come whose answers would take
/// longer than they have. After two seconds no better pace is to be expected, and they are
/// told so while they have time to go elsewhere.
#[test]
fn what_cannot_end_at_a_lasting_slow_pace_is_refused_at_once() {
    let start = Instant::now();
    let mut gate = open_gate(4);
    let short = |now, ticket| Request { deadline: now + 2 * AIM, ..request(now, ticket, 1) };
    let (mut waited, mut refused) = (0, 0);
    for millis in (100..5000).step_by(50) {
        let now = start + Duration::from_millis(millis);
        gate.observe_pace(now, 12.0);
        match gate.arrive(now, short(now, millis)) {
            Verdict::Start => panic!("it would take twice the time that it has"),
            Verdict::Wait => waited += 1,
            Verdict::Refuse(_) => refused += 1,
        }
        while let Next::Expire(_) = gate.next(now) {}
        assert!(millis < 2100 || gate.queued() == 0, "{} wait at {millis} ms", gate.queued());
    }
    assert!(waited <= 40 && refused >= 58, "{waited} waited, {refused} refused at once");
    let better = start + Duration::from_secs(5);
    gate.observe_pace(better, 1.0);
    assert_eq!(gate.arrive(better, short(better, 9)), Verdict::Start);
}
