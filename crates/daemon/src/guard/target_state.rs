//! The guard's view of its target: which process it is, whether it is reachable, how
//! fast it is, and which load the daemon publishes for it.
//!
//! The log lines keep the target `daemon::guard::belief`, under which operators know them.

use std::time::{Duration, Instant};

use admit::{Announcement, Notice, NoticeEffect, Registration, Ticket, WARM_UP_STEP, cold, rate};
use config::TargetSettings;
use kernel::Mailbox;
use route::{Load, default_nominal_time, pace_factor};
use wire::{Reason, Request};

use super::job::{Job, Stage};
use super::notice_log::{self, Description, PageState};
use super::rate_limit::RateObserver;
use super::task::Task;
use super::{DOWN_CHECK_INTERVAL, DueHealthCheck, MAX_REPORT_AGE, Message, PaceReport};
use crate::adapter::{ExecutionStatus, TargetAnswer, TargetIdentity};
use crate::journal::GuardState;
use crate::target::{HealthCheckResult, Target};
use crate::{membership, names};

/// Interval between health checks of a reachable target without a health page.
const CONNECT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Factor by which the pace must change before the load is published at once.
const PACE_PUBLISH_FACTOR: f64 = 1.4;
/// Maximum age of the latest request from a node of a far data centre that a slowdown is
/// announced to.
const RECENT_REQUEST_AGE: Duration = Duration::from_secs(1);
/// Pace in percent above which a request that may not queue is refused if it would miss
/// its target latency, so that its entry tries another target.
const SLOW_PACE: u16 = 150;

impl Task {
    /// The current load of the target.
    pub(super) fn load(&self) -> Load {
        let number = |count: usize| u16::try_from(count).unwrap_or(u16::MAX);
        Load {
            in_flight: number(self.controller.in_flight()),
            queued: number(self.controller.queued() - self.controller.patient()),
            patient: number(self.controller.patient()),
            slots: self.controller.slots(),
            service_time: self.controller.service_time(),
            leaving: self.controller.is_leaving(),
            pace: self.pace(),
            start_period: self.controller.start_period(self.now()),
        }
    }

    /// The pace that the target has last reported, in percent; 0 if unknown.
    pub(super) fn pace(&self) -> u16 {
        self.pace_report.map_or(0, |report| report.pace)
    }

    /// Publishes the load at once if the pace has changed much, if the target has started or
    /// stopped accepting requests, if it has become cold or ready, or if it no longer limits
    /// their rate.
    pub(super) fn publish_load(&mut self) {
        let cold_change = self.take_cold_change();
        let load = self.load();
        let change = pace_factor(load.pace) / pace_factor(self.published_load.pace);
        let has_changed = !(1.0 / PACE_PUBLISH_FACTOR..PACE_PUBLISH_FACTOR).contains(&change)
            || load.leaving != self.published_load.leaving
            || std::mem::take(&mut self.rate_observer.has_limit_ended)
            || cold_change.is_some();
        if !has_changed || self.target.is_none() {
            return;
        }
        self.published_load = load;
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        // A slowdown or a departure is sent directly to the daemons that have recently sent
        // requests. A speed-up is only gossiped: if those daemons were the first to receive
        // it, they would all send their requests here at once.
        let requesters = match change > 1.0 || load.leaving || cold_change == Some(true) {
            true => self.recent_requesters.latest().collect(),
            false => Vec::new(),
        };
        let recent = match requesters.is_empty() {
            true => Vec::new(),
            false => self.recent_requesters.since(self.now() - RECENT_REQUEST_AGE).collect(),
        };
        membership.send(membership::Message::Load { load, requesters, recent });
    }

    /// The state of the guard for the events of a request.
    pub(super) fn guard_state(&self) -> GuardState {
        let load = self.load();
        GuardState {
            in_flight: load.in_flight,
            queued: load.queued,
            slots: load.slots,
            pace: load.pace,
            report_age_ms: self
                .pace_report
                .map_or(0, |report| (self.now() - report.at).as_millis() as u64),
            rate_limit: self.rate_observer.limit().map(rate::Limit::per_second),
        }
    }

    /// Whether the target is currently so slow that the request is expected to take longer
    /// than its target latency.
    pub(super) fn misses_target_latency(&self, request: &Request) -> bool {
        let expected = self.expected_service_time(request);
        self.pace() > SLOW_PACE
            && expected.is_some_and(|expected| expected > request.target_latency)
    }

    /// Expected service time of a request at the current pace of the target, if the target
    /// reports its pace.
    pub(super) fn expected_service_time(&self, request: &Request) -> Option<Duration> {
        Some(self.nominal_time(request)?.mul_f64(pace_factor(self.pace())))
    }

    /// Expected service time of a request at the nominal pace, if the target reports its
    /// pace.
    pub(super) fn nominal_time(&self, request: &Request) -> Option<Duration> {
        let reports_pace = self.pace() > 0;
        reports_pace.then(|| {
            self.request_stats
                .nominal_time(&request.kind)
                .unwrap_or(default_nominal_time(request.target_latency))
        })
    }

    /// Applies the load report in an answer of the target, if there is one.
    pub(super) fn observe_report(&mut self, now: Instant, answer: &TargetAnswer) {
        if let Some(report) = answer.report {
            let pace = report.pace.unwrap_or(0);
            if pace > 0 && self.pace_report.is_none() {
                // The pace that a target reports already shows how cold it is.
                self.controller.skip_warm_up();
            }
            self.pace_report = Some(PaceReport { pace, at: now });
            self.controller.observe_pace(now, pace_factor(pace));
        }
    }

    /// Refuses all waiting requests that hold no claim. A claimed request continues to
    /// wait: giving its claim back would take longer than the time that it has left.
    pub(super) fn refuse_waiting(&mut self, reason: Reason) {
        let is_unclaimed =
            |(_, job): &(&Ticket, &Job)| job.stage == Stage::Waiting && !job.holds_claim();
        let waiting: Vec<Ticket> =
            self.jobs.iter().filter(is_unclaimed).map(|(ticket, _)| *ticket).collect();
        for ticket in waiting {
            self.controller.withdraw(ticket);
            self.refuse_withdrawn(ticket, reason);
        }
    }

    /// Refuses a request that has just been removed from the queue.
    pub(super) fn refuse_withdrawn(&mut self, ticket: Ticket, reason: Reason) {
        if let Some(job) = self.jobs.remove(&ticket) {
            let priority = job.request.organisation_priority;
            let after = self.controller.retry_after_for(self.now(), priority);
            self.refuse(job, reason, after);
        }
    }

    /// Returns the configured settings of the target's service.
    pub(super) fn find_target_settings(&self) -> Option<&TargetSettings> {
        let service = self.service.borrow();
        self.target_settings.iter().find(|settings| settings.service == *service)
    }

    /// Limits the connections to the target, and with them the running requests. The limit
    /// is taken from the configuration, or else from the settings of the daemon.
    pub(super) fn limit_connections(&mut self) {
        let connections = self
            .find_target_settings()
            .and_then(|settings| settings.connections)
            .unwrap_or(self.default_connections);
        if let Some(target) = &self.target {
            self.controller.set_max_in_flight(target.set_max_connections(connections));
        }
    }

    /// Returns the health check that is due, if any, and updates the metrics.
    pub(super) fn due_health_check(&mut self) -> Option<DueHealthCheck> {
        let now = self.now();
        let load = self.load();
        metrics::gauge!("bronzeport_guard_running").set(f64::from(load.in_flight));
        metrics::gauge!("bronzeport_guard_waiting").set(f64::from(load.queued));
        metrics::gauge!("bronzeport_guard_slots").set(f64::from(load.slots));
        metrics::gauge!("bronzeport_target_pace_percent").set(f64::from(load.pace));
        let limit = self.rate_observer.limit().map_or(f64::INFINITY, rate::Limit::per_second);
        metrics::gauge!("bronzeport_target_rate_limit").set(limit);
        let health_path = self.find_target_settings().map(|settings| settings.health_path.clone());
        let cold_interval = self.cold_check_interval();
        let interval = match (self.is_reachable, &health_path) {
            (true, None) => CONNECT_CHECK_INTERVAL,
            (true, Some(_)) => {
                self.rate_observer.check_interval().max(cold_interval.unwrap_or_default())
            }
            (false, _) => DOWN_CHECK_INTERVAL,
        };
        let has_waited = self.last_health_check.is_none_or(|at| now - at >= interval);
        let is_fresh = self.pace_report.is_some_and(|report| now - report.at < MAX_REPORT_AGE);
        if !has_waited || (is_fresh && self.is_reachable && cold_interval.is_none()) {
            return None;
        }
        self.last_health_check = Some(now);
        Some(DueHealthCheck { target: self.target.clone()?, health_path })
    }

    /// Applies the result of a health check of the target process `instance`.
    pub(super) fn apply_health_check(&mut self, instance: &str, result: HealthCheckResult) {
        if !self.is_current_process(instance) {
            return;
        }
        let is_page_unknown = self.registration.is_some() && !self.has_settings;
        if matches!(result, HealthCheckResult::Connected) && is_page_unknown {
            // Only the page shows that a process has left before this daemon started.
            return;
        }
        let was_checked = std::mem::replace(&mut self.is_checked, true);
        match result {
            HealthCheckResult::Connected
                if self.registration.as_ref().is_none_or(Registration::accepts_requests) =>
            {
                self.set_reachable(true);
            }
            HealthCheckResult::Connected => {}
            HealthCheckResult::Unreachable => self.set_reachable(false),
            HealthCheckResult::NoAnswer if was_checked => {}
            HealthCheckResult::NoAnswer => self.apply_silent_page(instance),
            HealthCheckResult::Answered(answer) => self.apply_health_page(answer),
        }
    }

    /// Applies an answer of the health page. The page can be wrong, so that a process that
    /// has announced itself stays registered; without an announcement, the page is the
    /// only source of information.
    pub(super) fn apply_health_page(&mut self, answer: TargetAnswer) {
        let now = self.now();
        self.record_page_state(&answer);
        let found = answer.instance.as_deref().zip(answer.report);
        let found = found.filter(|_| answer.status == 200);
        if let Some((instance, _)) = found {
            self.remove_contradicted(instance);
        }
        if let Some((instance, report)) = found
            && let (Some(registration), Some(target)) = (&mut self.registration, &self.target)
        {
            let announcement = Announcement {
                instance: instance.into(),
                service: self.service.borrow().clone(),
                address: target.identity().address,
                slots: report.slots.max(1),
                is_leaving: answer.is_leaving,
                started: None,
                sequence: 0,
                cold_remaining: answer.cold.remaining(),
            };
            if registration.apply_health_page(now, announcement) == NoticeEffect::Started {
                self.serve_new_process();
                self.is_checked = true;
            }
        }
        self.apply_page_status(&answer);
        let is_own = |instance: &str| self.is_current_process(instance);
        if answer.instance.as_deref().is_none_or(is_own) {
            self.apply_statements(rate::Source::HealthPage, &answer);
            self.observe_cold_page(now, &answer);
        }
        self.observe_report(now, &answer);
        self.confirm_process();
    }

    /// Logs what the health page says when that changes. A full target refuses requests for its
    /// page, which says nothing.
    fn record_page_state(&mut self, answer: &TargetAnswer) {
        let state = PageState::of(answer);
        if answer.execution != ExecutionStatus::NotRun && self.page_state.as_ref() != Some(&state) {
            state.record();
            self.page_state = Some(state);
        }
    }

    /// Applies what the health page says of the process that it names, or else of the registered
    /// one. An answer that the target refused because it is full says nothing.
    fn apply_page_status(&mut self, answer: &TargetAnswer) {
        let now = self.now();
        let Some(registration) = &mut self.registration else {
            return;
        };
        let registered = registration.current().map(|current| current.instance.clone());
        let is_registered = registered.is_some();
        let Some(instance) = answer.instance.clone().or(registered) else {
            return;
        };
        if answer.is_leaving && !is_registered {
            registration.leave(now, &instance);
        }
        match (answer.status, answer.execution) {
            (200, _) => registration.confirm(),
            (_, ExecutionStatus::NotRun) => {}
            _ => registration.deny(&instance),
        }
        if registration.is_denied() {
            self.set_reachable(false);
        }
    }

    /// Applies that the first check of a process's health page got no answer. The page may be out
    /// of order while the target is not.
    fn apply_silent_page(&mut self, instance: &str) {
        if let Some(registration) = &mut self.registration
            && registration.current().is_some()
        {
            registration.deny(instance);
            if registration.is_denied() {
                log::warn!(
                    target: "daemon::guard::belief",
                    "the target {instance} is not admitted: its health page gives no answer"
                );
            }
        }
        self.confirm_process();
    }

    /// Admits requests if a process is registered that accepts them, once it has been
    /// checked: its answer may state that it accepts fewer requests, or none.
    fn confirm_process(&mut self) {
        let is_registered = self.registration.as_ref().is_some_and(Registration::accepts_requests);
        if is_registered && self.is_checked {
            self.set_reachable(true);
        }
    }

    /// Applies a notice of the target.
    pub(super) fn apply_notice(&mut self, notice: Notice) -> NoticeEffect {
        let Some(registration) = &mut self.registration else {
            return NoticeEffect::Stale;
        };
        let description = Description::of(&notice);
        let now = self.kernel.clock().now();
        let cold_remaining = match &notice {
            Notice::Announced(announcement) => announcement.cold_remaining,
            Notice::Deregistered { .. } => Duration::ZERO,
        };
        let effect = registration.apply(now, notice);
        notice_log::record(&description, effect, registration);
        if effect == NoticeEffect::Started {
            self.serve_new_process();
        }
        if matches!(effect, NoticeEffect::Started | NoticeEffect::Confirmed) {
            let stated = cold::Statement::ColdFor(cold_remaining);
            self.controller.observe_coldness(now, cold::Source::Notice, stated);
        }
        match effect {
            NoticeEffect::Started => {}
            NoticeEffect::Leaving => self.stop_admitting(),
            NoticeEffect::Confirmed => self.confirm_process(),
            NoticeEffect::Stale => metrics::counter!("bronzeport_stale_notices_total").increment(1),
            NoticeEffect::Foreign => {
                metrics::counter!("bronzeport_foreign_notices_total").increment(1);
                log::warn!(
                    target: "daemon::guard::belief",
                    "a notice of {} is refused: it is not the target of the settings",
                    description.process
                );
            }
        }
        effect
    }

    /// Applies what an answer of the current target process states about the process.
    pub(super) fn apply_statements(&mut self, source: rate::Source, answer: &TargetAnswer) {
        self.observe_rate(source, answer.rate);
        let Some(target) = self.target.as_ref().filter(|_| answer.is_leaving) else {
            return;
        };
        let now = self.kernel.clock().now();
        if let Some(registration) = &mut self.registration
            && registration.leave(now, &target.identity().instance) == NoticeEffect::Leaving
        {
            if !self.controller.is_leaving() {
                log::info!(
                    target: "daemon::guard::belief",
                    "an answer of {} ({source:?}) states that it is leaving",
                    target.identity().instance
                );
            }
            self.stop_admitting();
        }
    }

    /// Starts to serve a target process that has just been registered.
    pub(super) fn serve_new_process(&mut self) {
        let Some(current) = self.registration.as_ref().and_then(Registration::current).cloned()
        else {
            return;
        };
        log::info!(
            target: "daemon::guard::belief",
            "the target {} of {} at {} is served",
            current.instance,
            current.service,
            current.address
        );
        let identity = TargetIdentity { instance: current.instance, address: current.address };
        self.target = Some(Target::new(&self.kernel, self.adapter, identity, current.slots));
        self.pace_report = None;
        self.rate_observer = RateObserver::default();
        self.controller.reset(current.slots, !current.cold_remaining.is_zero());
        *self.service.borrow_mut() = current.service.clone();
        self.limit_connections();
        self.limit_cold_starts();
        self.controller.forget_coldness(self.now());
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        let (service, slots) = (current.service, current.slots);
        membership.send(membership::Message::AnnounceService { service, slots });
        self.is_reachable = false;
        self.is_checked = false;
        self.last_health_check = None;
    }

    /// Stops admitting requests because the target is leaving, and refuses the waiting ones
    /// so that other targets can run them.
    pub(super) fn stop_admitting(&mut self) {
        if self.controller.is_leaving() {
            return;
        }
        log::info!(target: "daemon::guard::belief", "the target is leaving");
        self.controller.leave();
        self.refuse_waiting(Reason::Leaving);
    }

    /// Whether `instance` is the target process that is served. A result of an earlier
    /// process says nothing about the current one.
    pub(super) fn is_current_process(&self, instance: &str) -> bool {
        self.target.as_ref().is_some_and(|target| *target.identity().instance == *instance)
    }

    /// Removes the target process `instance`, whose address now belongs to another target.
    /// No request is sent to the address until a health check or notice has shown which
    /// process is there.
    pub(super) fn remove_misdirected(&mut self, instance: &str) {
        let now = self.now();
        let is_current = self.is_current_process(instance);
        if let Some(registration) = self.registration.as_mut().filter(|_| is_current)
            && registration.remove(now, instance)
        {
            log::warn!(target: "daemon::guard::belief", "the target {instance} is not at its address any more");
            self.set_reachable(false);
        }
    }

    /// Removes the registered process if the health page belongs to another one, `answering`:
    /// the notice that registered it was false or late.
    fn remove_contradicted(&mut self, answering: &str) {
        let now = self.now();
        let Some(registration) = &mut self.registration else {
            return;
        };
        let registered = registration.current().map(|current| current.instance.clone());
        if let Some(registered) = registered.filter(|registered| **registered != *answering) {
            registration.remove(now, &registered);
            log::warn!(
                target: "daemon::guard::belief",
                "the health page of the target {answering} answers in place of {registered:.64}"
            );
            self.set_reachable(false);
        }
    }

    /// Records that a request did not reach the target process `instance` or crashed it.
    pub(super) fn mark_process_unreachable(&mut self, instance: &str) {
        if self.is_current_process(instance) {
            self.set_reachable(false);
        }
    }

    /// Records whether the target is reachable, and starts its warm-up when it becomes so.
    pub(super) fn set_reachable(&mut self, is_reachable: bool) {
        if is_reachable == self.is_reachable {
            return;
        }
        self.is_reachable = is_reachable;
        if !is_reachable {
            // The next process may answer for the same instance id.
            self.controller.forget_coldness(self.now());
        }
        match is_reachable {
            true => {
                log::info!(target: "daemon::guard::belief", "the target takes connections");
                self.crash_tickets.clear();
                if self.registration.is_none() {
                    self.controller.restart_warm_up();
                }
                self.start_warm_up();
            }
            false => log::warn!(target: "daemon::guard::belief", "the target takes no connections"),
        }
    }

    /// Sends a message at each warm-up step, so that waiting requests start as soon as the
    /// target has one more slot, even if no request ends or arrives meanwhile.
    pub(super) fn start_warm_up(&self) {
        let (clock, mailbox) = (*self.kernel.clock(), self.mailbox.clone());
        let steps = self.controller.advertised_slots();
        self.kernel.start(async move {
            for _ in 0..steps {
                clock.sleep(WARM_UP_STEP).await;
                mailbox.send(Message::WarmUpStep);
            }
        });
    }
}
