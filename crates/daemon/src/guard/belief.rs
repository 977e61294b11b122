//! What the guard believes of its target: which start it is, whether it is there,
//! how fast it is, and what others are told of it.

use std::time::{Duration, Instant};

use admit::{Announcement, Notice, NoticeEffect, Registration, Ticket, WARM_UP_STEP};
use config::TargetSettings;
use kernel::Mailbox;
use route::{Load, default_nominal_time, pace_factor};
use wire::{Reason, Request};

use super::job::{Job, Stage};
use super::task::Task;
use super::{Ask, Due, Heard, REPORT_AGE, WATCH_EVERY};
use crate::edge::{Identity, TargetAnswer};
use crate::journal::GuardState;
use crate::target::{Look, Target};
use crate::{membership, names};

/// Time between two looks at a target without a health page that is there.
const OPEN_LOOK_EVERY: Duration = Duration::from_secs(1);
/// Factor by which the pace changes before other daemons are told at once.
const PACE_NEWS_FACTOR: f64 = 1.4;
/// Pace above which a request that may go elsewhere does so when it would miss
/// its aim here, in percent.
const SLOW_PACE: u16 = 150;

impl Task {
    pub(super) fn load(&self) -> Load {
        let number = |count: usize| u16::try_from(count).unwrap_or(u16::MAX);
        Load {
            in_flight: number(self.gate.in_flight()),
            queued: number(self.gate.queued() - self.gate.patient()),
            patient: number(self.gate.patient()),
            slots: self.gate.slots(),
            service_time: self.gate.service_time(),
            leaving: self.gate.is_leaving(),
            pace: self.pace(),
        }
    }

    /// The pace that the target has last told, in percent; 0 if none.
    pub(super) fn pace(&self) -> u16 {
        self.report.map_or(0, |report| report.pace)
    }

    /// Tells other daemons at once of a pace that has changed much, and of a
    /// target that has begun or ceased to take work.
    pub(super) fn tell_load(&mut self) {
        let load = self.load();
        let change = pace_factor(load.pace) / pace_factor(self.told.pace);
        let has_changed = !(1.0 / PACE_NEWS_FACTOR..PACE_NEWS_FACTOR).contains(&change)
            || load.leaving != self.told.leaving;
        if !has_changed || self.target.is_none() {
            return;
        }
        self.told = load;
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        // If those that have lately asked were the first to hear of a faster target they
        // would all come at once.
        let requesters = match change > 1.0 || load.leaving {
            true => self.askers.latest().collect(),
            false => Vec::new(),
        };
        membership.send(membership::Message::Load { load, requesters });
    }

    /// The state here as log lines tell it.
    pub(super) fn inside(&self) -> GuardState {
        let load = self.load();
        GuardState {
            in_flight: load.in_flight,
            queued: load.queued,
            slots: load.slots,
            pace: load.pace,
            report_age_ms: self
                .report
                .map_or(0, |report| (self.now() - report.at).as_millis() as u64),
        }
    }

    /// Whether the target is so slow now that the answer would come too late to
    /// be of full use.
    pub(super) fn misses_aim(&self, request: &Request) -> bool {
        let expected = self.expected(request);
        self.pace() > SLOW_PACE
            && expected.is_some_and(|expected| expected > request.target_latency)
    }

    /// Time that a request takes at the target's present pace, where both are
    /// known.
    pub(super) fn expected(&self, request: &Request) -> Option<Duration> {
        Some(self.usual(request)?.mul_f64(pace_factor(self.pace())))
    }

    /// Time that a request takes at the usual pace, where the target tells its
    /// pace.
    pub(super) fn usual(&self, request: &Request) -> Option<Duration> {
        let tells_pace = self.pace() > 0;
        tells_pace.then(|| {
            self.works
                .nominal_time(&request.kind)
                .unwrap_or(default_nominal_time(request.target_latency))
        })
    }

    pub(super) fn observe_report(&mut self, now: Instant, answer: &TargetAnswer) {
        if let Some(report) = answer.report {
            let pace = report.pace.unwrap_or(0);
            if pace > 0 && self.report.is_none() {
                // A target that tells its pace tells with it how cold it is.
                self.gate.skip_warm_up();
            }
            self.report = Some(Heard { pace, at: now });
            self.gate.observe_pace(now, pace_factor(pace));
        }
    }

    /// Refuses what waits. One with a claim waits on: giving the claim back takes
    /// longer than it has.
    pub(super) fn refuse_waiting(&mut self, reason: Reason) {
        let is_free = |(_, job): &(&Ticket, &Job)| job.stage == Stage::Waiting && !job.is_claimed();
        let waiting: Vec<Ticket> =
            self.jobs.iter().filter(is_free).map(|(ticket, _)| *ticket).collect();
        for ticket in waiting {
            self.gate.withdraw(ticket);
            self.refuse_withdrawn(ticket, reason);
        }
    }

    /// Refuses a request that the gate has just let go of.
    pub(super) fn refuse_withdrawn(&mut self, ticket: Ticket, reason: Reason) {
        if let Some(job) = self.jobs.remove(&ticket) {
            let after = self.gate.retry_after();
            self.refuse(job, reason, after);
        }
    }

    /// What the configuration states of the target.
    fn endpoint(&self) -> Option<&TargetSettings> {
        let service = self.service.borrow();
        self.endpoints.iter().find(|endpoint| endpoint.service == *service)
    }

    /// Keeps to the connections that the target takes: those that the configuration
    /// states, or else the settings.
    pub(super) fn bound_connections(&mut self) {
        let connections =
            self.endpoint().and_then(|stated| stated.connections).unwrap_or(self.connections);
        if let Some(target) = &self.target {
            self.gate.set_max_in_flight(target.set_connections(connections));
        }
    }

    /// The target, if a look at it is due.
    pub(super) fn due_look(&mut self) -> Option<Due> {
        let now = self.now();
        let load = self.load();
        metrics::gauge!("bronzeport_guard_running").set(f64::from(load.in_flight));
        metrics::gauge!("bronzeport_guard_waiting").set(f64::from(load.queued));
        metrics::gauge!("bronzeport_guard_slots").set(f64::from(load.slots));
        metrics::gauge!("bronzeport_target_pace_percent").set(f64::from(load.pace));
        let health_path = self.endpoint().map(|endpoint| endpoint.health_path.clone());
        let every = match (self.is_reachable, &health_path) {
            (true, None) => OPEN_LOOK_EVERY,
            (true, Some(_)) => Duration::ZERO,
            (false, _) => WATCH_EVERY,
        };
        let has_waited = self.looked_at.is_none_or(|at| now - at >= every);
        let is_fresh = self.report.is_some_and(|report| now - report.at < REPORT_AGE);
        if !has_waited || (is_fresh && self.is_reachable) {
            return None;
        }
        self.looked_at = Some(now);
        Some(Due { target: self.target.clone()?, health_path })
    }

    pub(super) fn looked(&mut self, instance: &str, look: Look) {
        if !self.serves(instance) {
            return;
        }
        match look {
            Look::Open if self.standing.as_ref().is_none_or(Registration::accepts_requests) => {
                self.reachable(true);
            }
            Look::Open => {}
            Look::Unreachable => self.reachable(false),
            Look::Silent => {}
            Look::Seen(answer) => self.seen(answer),
        }
    }

    /// The health page has answered. It may lie, so that a start that has
    /// announced itself stays in use; before that the page is all that is known.
    pub(super) fn seen(&mut self, answer: TargetAnswer) {
        let now = self.now();
        self.observe_report(now, &answer);
        let (Some(standing), Some(target)) = (&mut self.standing, &self.target) else {
            return;
        };
        let found = answer.instance.zip(answer.report);
        if let Some((instance, report)) = found.filter(|_| answer.status == 200) {
            let guess = Announcement {
                instance,
                service: self.service.borrow().clone(),
                address: target.identity().address,
                slots: report.slots.max(1),
                is_leaving: false,
                started: 0,
                sequence: 0,
                cold_remaining: Duration::ZERO,
            };
            if standing.apply_health_page(guess) == NoticeEffect::Started {
                self.started();
            }
        }
        if self.standing.as_ref().is_some_and(Registration::accepts_requests) {
            self.reachable(true);
        }
    }

    /// Takes in what the target says of itself.
    pub(super) fn notice(&mut self, notice: Notice) {
        let Some(standing) = &mut self.standing else {
            return;
        };
        let change = standing.apply(notice);
        match change {
            NoticeEffect::Started => self.started(),
            NoticeEffect::Leaving => self.leaving(),
            NoticeEffect::Confirmed => self.reachable(true),
            NoticeEffect::Stale => metrics::counter!("bronzeport_stale_notices_total").increment(1),
        }
    }

    /// A start of the target is served that was not known.
    pub(super) fn started(&mut self) {
        let Some(current) = self.standing.as_ref().and_then(Registration::current).cloned() else {
            return;
        };
        log::info!(
            "the target {} of {} at {} is served",
            current.instance,
            current.service,
            current.address
        );
        let identity = Identity { instance: current.instance, address: current.address };
        self.target = Some(Target::new(&self.kernel, self.edge, identity, current.slots));
        self.report = None;
        self.gate.reset(current.slots, !current.cold_remaining.is_zero());
        *self.service.borrow_mut() = current.service.clone();
        self.bound_connections();
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        let (service, slots) = (current.service, current.slots);
        membership.send(membership::Message::AnnounceService { service, slots });
        self.is_reachable = false;
        self.reachable(true);
    }

    /// The target takes no new work. What waits goes elsewhere.
    pub(super) fn leaving(&mut self) {
        if self.gate.is_leaving() {
            return;
        }
        log::info!("the target is leaving");
        self.gate.leave();
        self.refuse_waiting(Reason::Leaving);
    }

    /// Whether this start of the target is the one that is served. What was sent to an
    /// earlier one tells nothing of it.
    fn serves(&self, instance: &str) -> bool {
        self.target.as_ref().is_some_and(|target| *target.identity().instance == *instance)
    }

    /// The address belongs to another target: it is looked at before any more
    /// is sent there.
    pub(super) fn moved(&mut self, instance: &str) {
        let is_served = self.serves(instance);
        if let Some(standing) = self.standing.as_mut().filter(|_| is_served)
            && standing.remove(instance)
        {
            log::warn!("the target {instance} is not at its address any more");
            self.reachable(false);
        }
    }

    /// A request did not reach this start of the target, or broke it.
    pub(super) fn found_unreachable(&mut self, instance: &str) {
        if self.serves(instance) {
            self.reachable(false);
        }
    }

    pub(super) fn reachable(&mut self, is_reachable: bool) {
        if is_reachable == self.is_reachable {
            return;
        }
        self.is_reachable = is_reachable;
        match is_reachable {
            true => {
                log::info!("the target takes connections");
                self.crash.clear();
                if self.standing.is_none() {
                    self.gate.restart_warm_up();
                }
                self.start_warm_up();
            }
            false => log::warn!("the target takes no connections"),
        }
    }

    /// Looks at what waits whenever the target may have one more slot, also when
    /// no request ends or arrives meanwhile.
    pub(super) fn start_warm_up(&self) {
        let (clock, mailbox) = (*self.kernel.clock(), self.mailbox.clone());
        let steps = self.gate.advertised_slots();
        self.kernel.start(async move {
            for _ in 0..steps {
                clock.sleep(WARM_UP_STEP).await;
                mailbox.send(Ask::WarmUp);
            }
        });
    }
}
