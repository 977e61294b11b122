//! The requests that a cold target gets, without a network.

use std::time::{Duration, Instant};

use admit::cold::{Limit, Source, Statement, WINDOW};
use admit::{AdmissionController, Class, Completion, Decision, QueueAction, Request, Ticket, rate};
use quickcheck::QuickCheck;

const SLOTS: u16 = 64;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(1);
/// Time from the answer to a health check to the next check, and from a check to its answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
const CHECK_TIME: Duration = Duration::from_millis(4);

fn limit(per_second: f64) -> Limit {
    let rate = rate::Limit::try_from(per_second).expect("a valid rate");
    Limit::new(rate, Some(Duration::from_secs(5)))
}

fn new_controller(now: Instant, per_second: f64) -> AdmissionController {
    let mut controller = AdmissionController::new(SLOTS);
    controller.skip_warm_up();
    controller.set_cold_limit(now, Some(Limit::before_configuration()));
    controller.set_cold_limit(now, Some(limit(per_second)));
    controller
}

fn request(now: Instant, ticket: Ticket) -> Request {
    Request {
        ticket,
        class: Class::Urgent,
        deadline: now + Duration::from_millis(300),
        soft_deadline: now + Duration::from_millis(100),
        rank: 0,
        nominal_time: Some(SERVICE_TIME),
        organisation: None,
        may_queue: ticket.is_multiple_of(8),
    }
}

/// A target, its guard and the health checks.
struct Host {
    per_second: f64,
    controller: AdmissionController,
    /// Until when the target is cold.
    cold_until: Instant,
    running: Vec<(Ticket, Instant)>,
    /// Starts, and whether the target was cold.
    starts: Vec<(Instant, bool)>,
    /// When the pending check was sent and what the target stated.
    check: Option<(Instant, Statement)>,
    next_check: Instant,
}

impl Host {
    fn new(now: Instant, per_second: f64) -> Self {
        Self {
            per_second,
            controller: new_controller(now, per_second),
            cold_until: now,
            running: Vec::new(),
            starts: Vec::new(),
            check: None,
            next_check: now,
        }
    }

    /// Replaces the guard, which forgets everything.
    fn replace_guard(&mut self, now: Instant) {
        self.controller = new_controller(now, self.per_second);
        (self.check, self.next_check) = (None, now + CHECK_INTERVAL);
        self.running.clear();
    }

    fn become_cold(&mut self, now: Instant, time: Duration) {
        self.cold_until = self.cold_until.max(now + time);
    }

    /// The target is started again with the same instance id.
    fn restart_target(&mut self, now: Instant) {
        self.running.clear();
        self.controller.forget_coldness(now);
        (self.check, self.next_check) = (None, now + CHECK_INTERVAL);
        self.become_cold(now, Duration::from_secs(2));
    }

    fn arrive(&mut self, now: Instant, ticket: Ticket) {
        if self.controller.arrive(now, request(now, ticket)) == Decision::Start {
            self.start(now, ticket);
        }
    }

    fn start(&mut self, now: Instant, ticket: Ticket) {
        self.starts.push((now, now < self.cold_until));
        self.running.push((ticket, now + SERVICE_TIME));
    }

    fn advance(&mut self, now: Instant) {
        match self.check {
            Some((sent_at, stated)) if now >= sent_at + CHECK_TIME => {
                let source = Source::HealthPage { sent_at: Some(sent_at) };
                self.controller.observe_coldness(now, source, stated);
                (self.check, self.next_check) = (None, now + CHECK_INTERVAL);
            }
            None if now >= self.next_check => {
                let remaining = self.cold_until.saturating_duration_since(now);
                let stated = match remaining.is_zero() {
                    true => Statement::Absent,
                    false => Statement::ColdFor(remaining),
                };
                self.check = Some((now, stated));
            }
            _ => {}
        }
        for (ticket, _) in self.running.extract_if(.., |(_, ends)| *ends <= now) {
            self.controller.finish(now, ticket, Completion::Answered(SERVICE_TIME));
        }
        while let QueueAction::Start(ticket) | QueueAction::Expire(ticket) =
            match self.controller.next_action(now) {
                QueueAction::Start(ticket) => {
                    self.start(now, ticket);
                    QueueAction::Start(ticket)
                }
                action => action,
            }
        {
            let _ = ticket;
        }
    }

    /// The largest number of starts while the target was cold, in any second.
    fn most_in_a_cold_second(&self) -> usize {
        let cold: Vec<Instant> =
            self.starts.iter().filter(|(_, is_cold)| *is_cold).map(|(at, _)| *at).collect();
        let in_second = |from: &Instant| {
            cold.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count()
        };
        cold.iter().map(in_second).max().unwrap_or(0)
    }
}

/// The users' rule for a cold target.
fn allowed(per_second: f64) -> usize {
    (per_second * 1.5 + 8.0) as usize
}

/// Each case plays some seconds.
const CASES: u64 = 40;

/// A cold target crashed under the load of a warm one: after its start, when it became cold at
/// full load between two health checks, and after its guard was replaced.
#[test]
fn no_cold_second_gets_more_than_allowed() {
    QuickCheck::new()
        .tests(CASES)
        .quickcheck(keeps_the_limit as fn(u16, u8, Vec<(u8, u16)>) -> bool);
}

/// Plays events at a host, and returns whether no second in which the target was cold got more
/// than allowed.
fn keeps_the_limit(tenths: u16, arrivals_per_step: u8, events: Vec<(u8, u16)>) -> bool {
    let per_second = f64::from(tenths % 600) / 10.0 + 0.5;
    let arrivals = arrivals_per_step % 2 + 1;
    let started = Instant::now();
    let mut host = Host::new(started, per_second);
    let (mut now, mut ticket) = (started, 0);
    for (event, gap) in events.into_iter().take(6).chain([(0, 1_400)]) {
        match event % 4 {
            0 => host.become_cold(now, Duration::from_millis(1_500)),
            1 => host.replace_guard(now),
            2 => host.restart_target(now),
            _ => {}
        }
        for _ in 0..gap % 1_600 {
            now += STEP;
            host.advance(now);
            for _ in 0..arrivals {
                ticket += 1;
                host.arrive(now, ticket);
            }
        }
    }
    host.most_in_a_cold_second() <= allowed(per_second)
}

/// The limit of a cold target must not starve it, nor hold it back when it is ready.
#[test]
fn a_target_under_constant_demand_gets_its_share_while_cold_and_all_afterwards() {
    // The share that is reached with a check every 44 ms; the lowest limit allows 8 starts between
    // two checks.
    for (per_second, share) in [(2.0, 0.8), (10.0, 0.97), (40.0, 0.97)] {
        let started = Instant::now();
        let mut host = Host::new(started, per_second);
        host.become_cold(started, Duration::from_secs(5));
        for millis in 0..10_000 {
            let now = started + STEP * millis;
            host.advance(now);
            if millis % 5 == 0 {
                host.arrive(now, Ticket::from(millis));
            }
        }
        let while_cold = host.starts.iter().filter(|(_, is_cold)| *is_cold).count() as f64;
        let afterwards = host.starts.len() as f64 - while_cold;
        assert!(while_cold >= per_second * 4.0, "{while_cold} at {per_second} a second");
        assert!(afterwards >= 5.0 * 200.0 * share, "{afterwards} at {per_second} a second");
    }
}

/// A target whose health page is out of order was held at the rate of a cold one for ever.
#[test]
fn a_target_that_states_nothing_is_cold_for_the_time_of_a_cold_start() {
    let now = Instant::now();
    let mut controller = new_controller(now, 5.0);
    assert!(controller.is_cold(now + Duration::from_millis(4_999)));
    assert!(!controller.is_cold(now + Duration::from_secs(5)));
    controller.observe_coldness(
        now,
        Source::HealthPage { sent_at: Some(now) },
        Statement::Unreadable,
    );
    assert!(controller.is_cold(now), "a page that cannot be read states nothing");
    controller.observe_coldness(now, Source::Answer, Statement::Absent);
    assert!(controller.is_cold(now), "answers state nothing");
    controller.observe_coldness(now, Source::Notice, Statement::ColdFor(Duration::ZERO));
    assert!(!controller.is_cold(now));
}

/// A notice that was written before the target became cold again must not end the limit.
#[test]
fn a_target_is_cold_while_either_source_says_so() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut controller = new_controller(now, 5.0);
    let page = Source::HealthPage { sent_at: Some(now) };
    controller.observe_coldness(now, page, Statement::ColdFor(second));
    controller.observe_coldness(now, Source::Notice, Statement::ColdFor(Duration::ZERO));
    assert!(controller.is_cold(now));
    assert!(controller.start_period(now) > Duration::ZERO);
    assert!(!controller.is_cold(now + second));
    controller.observe_coldness(now, Source::Notice, Statement::ColdFor(second * 2));
    assert!(controller.is_cold(now + second));
    // A time beyond the range of the clock is a fault of the target.
    controller.observe_coldness(now, page, Statement::ColdFor(Duration::MAX));
    assert!(controller.is_cold(now + second * 60));
    assert!(!controller.is_cold(now + second * 3_600));
}

/// Without a configured limit nothing changes for a target that says that it is cold.
#[test]
fn a_target_without_a_configured_limit_gets_all_requests() {
    let now = Instant::now();
    let mut controller = new_controller(now, 5.0);
    controller.set_cold_limit(now, None);
    let page = Source::HealthPage { sent_at: Some(now) };
    controller.observe_coldness(now, page, Statement::ColdFor(Duration::from_secs(9)));
    assert!(!controller.is_cold(now));
    for ticket in 0..Ticket::from(SLOTS) {
        assert_eq!(controller.arrive(now, request(now, ticket)), Decision::Start);
    }
}

/// The lower one of the two limits applies.
#[test]
fn the_limit_of_the_target_itself_applies_too() {
    let now = Instant::now();
    for (own, cold) in [(4.0, 40.0), (40.0, 4.0)] {
        let mut controller = new_controller(now, cold);
        controller.observe_coldness(
            now,
            Source::Notice,
            Statement::ColdFor(Duration::from_secs(9)),
        );
        controller.set_rate_limit(now, Some(rate::Limit::try_from(own).expect("a valid rate")));
        assert_eq!(controller.arrive(now, request(now, 8)), Decision::Wait);
        assert_eq!(controller.next_action(now), QueueAction::Sleep(Duration::from_millis(250)));
    }
}
