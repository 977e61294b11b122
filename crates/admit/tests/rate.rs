//! The rate that a target accepts from all entries together, without a network.

use std::time::{Duration, Instant};

use admit::rate::{Limit, Source, Statement, Statements, WINDOW};
use admit::{
    AdmissionController, Class, Completion, Decision, QueueAction, Refusal, Request, Ticket,
};
use quickcheck::quickcheck;

const SLOTS: u16 = 12;
const SERVICE_TIME: Duration = Duration::from_millis(60);
const STEP: Duration = Duration::from_millis(1);

fn limit(per_second: f64) -> Limit {
    Limit::try_from(per_second).expect("a valid limit")
}

/// A controller of a warm target that accepts `per_second` requests.
fn limited(now: Instant, per_second: f64) -> AdmissionController {
    let mut controller = AdmissionController::new(SLOTS);
    controller.skip_warm_up();
    controller.set_rate_limit(now, Some(limit(per_second)));
    controller
}

fn request(now: Instant, ticket: Ticket, may_queue: bool) -> Request {
    let deadline = now + Duration::from_millis(500);
    let nominal_time = Some(SERVICE_TIME);
    let class = Class::Urgent;
    Request {
        ticket,
        class,
        deadline,
        soft_deadline: deadline,
        organisation: None,
        rank: 0,
        nominal_time,
        may_queue,
    }
}

/// A target that takes [`SERVICE_TIME`] for each request, and its guard.
struct Guard {
    controller: AdmissionController,
    running: Vec<(Ticket, Instant)>,
    starts: Vec<Instant>,
    refused: usize,
}

impl Guard {
    fn new(controller: AdmissionController) -> Self {
        Self { controller, running: Vec::new(), starts: Vec::new(), refused: 0 }
    }

    fn arrive(&mut self, now: Instant, ticket: Ticket, may_queue: bool) {
        match self.controller.arrive(now, request(now, ticket, may_queue)) {
            Decision::Start => self.start(now, ticket),
            Decision::Wait => {}
            Decision::Refuse(_) => self.refused += 1,
        }
    }

    fn start(&mut self, now: Instant, ticket: Ticket) {
        self.starts.push(now);
        self.running.push((ticket, now + SERVICE_TIME));
    }

    /// Ends the runs that are due and starts what waits.
    fn advance(&mut self, now: Instant) {
        let due = self.running.extract_if(.., |(_, ends)| *ends <= now).collect::<Vec<_>>();
        for (ticket, _) in due {
            self.controller.finish(now, ticket, Completion::Answered(SERVICE_TIME));
        }
        loop {
            match self.controller.next_action(now) {
                QueueAction::Start(ticket) => self.start(now, ticket),
                QueueAction::Expire(_) => self.refused += 1,
                QueueAction::Sleep(_) | QueueAction::Idle => return,
            }
        }
    }
}

/// The largest number of starts in any window.
fn most_in_window(starts: &[Instant]) -> usize {
    let in_window =
        |from: &Instant| starts.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count();
    starts.iter().map(in_window).max().unwrap_or(0)
}

/// The users' rule for [`WINDOW`].
fn allowed(per_second: f64) -> usize {
    (per_second * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

quickcheck! {
    /// Issue 26: the guard started requests by slots alone, whatever rate its target named.
    /// Also checked: a guard that is replaced at any moment and learns the limit only from
    /// its first answers.
    fn starts_keep_the_limit_under_any_arrivals(
        tenths_per_second: u16, gaps_ms: Vec<u8>, replaced_at: u8
    ) -> bool {
        let per_second = f64::from(tenths_per_second % 500) / 10.0;
        let mut now = Instant::now();
        let mut guard = Guard::new(limited(now, per_second));
        let replaced_at = now + Duration::from_millis(u64::from(replaced_at) * 20);
        let mut is_replaced = false;
        let gaps = gaps_ms.iter().cycle().take(if gaps_ms.is_empty() { 0 } else { 2_000 });
        for (ticket, gap) in gaps.enumerate() {
            now += Duration::from_millis(u64::from(gap % 16));
            if !is_replaced && now >= replaced_at {
                is_replaced = true;
                guard.controller = limited(now, per_second);
            }
            guard.advance(now);
            guard.arrive(now, ticket as Ticket, ticket % 3 != 0);
        }
        most_in_window(&guard.starts) <= allowed(per_second)
    }
}

/// Issue 26: a limit must be kept without starving the target.
#[test]
fn a_target_under_constant_demand_gets_what_it_accepts() {
    for per_second in [0.5, 3.0, 16.7, 60.0] {
        let started = Instant::now();
        let mut guard = Guard::new(limited(started, per_second));
        for millis in 0..20_000 {
            let now = started + STEP * millis;
            guard.advance(now);
            if millis % 5 == 0 {
                guard.arrive(now, Ticket::from(millis), false);
            }
        }
        let accepted = per_second * 20.0;
        let got = guard.starts.len() as f64;
        assert!(got >= accepted * 0.95 - 1.0, "{got} of {accepted} at {per_second} a second");
    }
}

/// Issue 26: entries that leave the period between two requests give the target what it
/// accepts, and few of their requests are refused, however many entries there are.
#[test]
fn entries_that_leave_the_period_share_the_limit() {
    for (entries, per_second) in [(1, 20.0), (11, 20.0), (11, 3.0), (70, 20.0)] {
        let started = Instant::now();
        let mut guard = Guard::new(limited(started, per_second));
        let mut next = vec![started; entries];
        let mut sent: usize = 0;
        for millis in 0..20_000 {
            let now = started + STEP * millis;
            guard.advance(now);
            for next in next.iter_mut().filter(|next| **next <= now) {
                sent += 1;
                guard.arrive(now, sent as Ticket, false);
                *next = now + guard.controller.start_period(now).max(STEP);
            }
        }
        let (accepted, got) = (per_second * 20.0, guard.starts.len() as f64);
        assert!(got >= accepted * 0.9, "{entries} entries: {got} of {accepted}");
        let most = accepted * 1.5 + entries as f64;
        assert!(sent as f64 <= most, "{entries} entries sent {sent}, expected at most {most}");
    }
}

#[test]
fn a_request_that_the_limit_makes_late_is_refused_at_once() {
    let now = Instant::now();
    let mut controller = limited(now, 4.0);
    // Deadlines are 500 ms away, and one request starts every 250 ms.
    assert_eq!(controller.arrive(now, request(now, 1, true)), Decision::Wait);
    let second = controller.arrive(now, request(now, 2, true));
    let Decision::Refuse(Refusal::Late { retry_after }) = second else {
        panic!("expected a refusal, got {second:?}");
    };
    assert_eq!(retry_after, Duration::from_millis(500));
    assert_eq!(controller.next_action(now), QueueAction::Sleep(Duration::from_millis(250)));
    let due = now + Duration::from_millis(250);
    assert_eq!(controller.next_action(due), QueueAction::Start(1));
}

#[test]
fn requests_that_a_new_limit_makes_late_are_refused_at_once() {
    let now = Instant::now();
    let mut controller = AdmissionController::new(1);
    assert_eq!(controller.arrive(now, request(now, 1, true)), Decision::Start);
    for ticket in 2..8 {
        assert_eq!(controller.arrive(now, request(now, ticket, true)), Decision::Wait);
    }
    controller.set_rate_limit(now, Some(limit(4.0)));
    let expired: Vec<QueueAction> = (0..5).map(|_| controller.next_action(now)).collect();
    assert!(expired.iter().all(|action| matches!(action, QueueAction::Expire(_))), "{expired:?}");
    assert_eq!(controller.queued(), 1);
}

#[test]
fn a_target_that_accepts_nothing_gets_nothing_until_the_limit_ends() {
    let now = Instant::now();
    let mut controller = limited(now, 0.0);
    let refused = controller.arrive(now, request(now, 1, true));
    assert!(matches!(refused, Decision::Refuse(Refusal::Late { .. })), "{refused:?}");
    assert!(controller.start_period(now) > Duration::ZERO);
    controller.set_rate_limit(now, None);
    assert_eq!(controller.start_period(now), Duration::ZERO);
    assert_eq!(controller.arrive(now, request(now, 2, true)), Decision::Start);
}

#[test]
fn limits_that_are_no_rate_are_rejected() {
    for invalid in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(Limit::try_from(invalid).is_err(), "{invalid}");
    }
}

#[test]
fn the_lowest_limit_of_answers_and_health_page_is_in_force() {
    let limited = |per_second| Statement::Limited(limit(per_second));
    let mut statements = Statements::default();
    statements.observe(Source::Answer, limited(5.0));
    statements.observe(Source::HealthPage, Statement::Unlimited);
    assert_eq!(statements.limit(), Some(limit(5.0)), "the page does not name limits");
    statements.observe(Source::Answer, Statement::Unreadable);
    assert_eq!(statements.limit(), Some(limit(5.0)));
    statements.observe(Source::HealthPage, limited(0.0));
    assert_eq!(statements.limit(), Some(limit(0.0)));
    statements.observe(Source::HealthPage, Statement::Unlimited);
    assert_eq!(statements.limit(), None, "the page has named the limit and no longer does");
    statements.observe(Source::Answer, limited(5.0));
    statements.observe(Source::Answer, Statement::Unlimited);
    assert_eq!(statements.limit(), None);
}

/// A limit of zero that was learned from an answer never ended, because no further answer came
/// and the health page had not named it.
#[test]
fn a_limit_that_only_answers_name_leaves_one_request_to_learn_of_its_end() {
    let mut statements = Statements::default();
    statements.observe(Source::Answer, Statement::Limited(limit(0.0)));
    statements.observe(Source::HealthPage, Statement::Unlimited);
    let in_force = statements.limit().expect("the answer's limit is in force");
    assert_eq!(in_force.per_second() * WINDOW.as_secs_f64(), 1.0);
}
