//! What an entry knows of one target, and what a call to it would cost.

use std::time::{Duration, Instant};

use crate::pool::{Call, Expected};
use crate::work::USUAL_PACE;
use crate::{Attempt, Node};

/// Weight of a new service time in the moving average.
const SERVICE_WEIGHT: f64 = 0.2;
/// Service time assumed before the first answer.
const FIRST_SERVICE: Duration = Duration::from_millis(10);
/// Time constant in which an old service time fades into the pool's.
const SERVICE_MEMORY: Duration = Duration::from_secs(2);
/// Time constant in which a failure stops to count.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
/// Failures in a row after which a target is ejected.
const EJECT_AFTER: u32 = 3;
/// First and longest time of an ejection.
const EJECT_MIN: Duration = Duration::from_millis(250);
const EJECT_MAX: Duration = Duration::from_secs(10);
/// Time constant in which a told pace fades into the pool's: above the time
/// between two messages of daemons in touch.
const PACE_MEMORY: Duration = Duration::from_secs(4);
/// An own call older than this many times its expected time counts as late.
const LATE_FACTOR: f64 = 3.0;

/// A target as membership knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Its node.
    pub node: Node,
    /// Round trip to its guard.
    pub rtt: Duration,
    /// Stated number of requests that it runs at a time.
    pub slots: u16,
    /// Whether it is in the data centre of the entry.
    pub is_near: bool,
}

/// A guard's report of its target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub in_flight: u16,
    /// Requests that wait in the guard and may not wait behind others.
    pub queued: u16,
    /// Requests that wait in the guard behind all others.
    pub patient: u16,
    /// Requests that the guard runs at a time at present.
    pub slots: u16,
    /// Moving average of the service time.
    pub service: Duration,
    /// The target is leaving.
    pub leaving: bool,
    /// Time that work takes on the target's host at this moment, in percent of
    /// the usual; 0 when it is not known.
    pub pace: u16,
}

/// What the pool as a whole is like; it stands in for what is not known.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prior {
    pub(crate) occupancy: f64,
    pub(crate) service: Duration,
    /// Average pace of the targets that tell theirs, in percent.
    pub(crate) pace: f64,
    /// Usual time of the calls in question, where it is known.
    pub(crate) work: Option<Duration>,
    /// What an answer from another data centre counts for, as time in seconds.
    pub(crate) transfer: f64,
}

/// A call of this entry that has no answer yet.
#[derive(Debug)]
struct Own {
    attempt: Attempt,
    sent: Instant,
    /// Time in which its answer was expected when it was sent.
    expected: Duration,
    may_wait: bool,
    kind: Box<str>,
}

impl Own {
    /// Whether its answer is so late that the target must have become slow.
    /// Waiting behind others was expected and does not count.
    fn is_late(&self, now: Instant) -> bool {
        now - self.sent > self.expected.mul_f64(LATE_FACTOR)
    }
}

/// What is known of one target.
#[derive(Debug)]
pub(crate) struct Estimate {
    pub(crate) target: Target,
    report: Option<Report>,
    probed: Option<Instant>,
    service: Option<(Duration, Instant)>,
    own: Vec<Own>,
    failures: u32,
    failed: Option<Instant>,
    ejections: u32,
    ejected_until: Option<Instant>,
    on_trial: bool,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    load: Load,
    at: Instant,
    /// Requests at the guard that were not this entry's own, without those
    /// that wait behind all others.
    others: f64,
}

impl Estimate {
    pub(crate) fn new(target: Target) -> Self {
        Self {
            target,
            report: None,
            probed: None,
            service: None,
            own: Vec::new(),
            failures: 0,
            failed: None,
            ejections: 0,
            ejected_until: None,
            on_trial: false,
        }
    }

    pub(crate) fn own_in_flight(&self) -> usize {
        self.own.len()
    }

    /// Own calls that do not stand behind all others.
    fn own_ahead(&self) -> f64 {
        self.own.iter().filter(|own| !own.may_wait).count() as f64
    }

    pub(crate) fn reported_load(&self) -> u32 {
        let load = self.report.map(|report| report.load);
        load.map_or(0, |load| u32::from(load.in_flight) + u32::from(load.queued))
    }

    /// Time since the load was last reported or asked for.
    pub(crate) fn report_age(&self, now: Instant) -> Duration {
        let latest = self.report.map(|report| report.at).max(self.probed);
        latest.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    pub(crate) fn note_probe(&mut self, now: Instant) {
        self.probed = Some(now);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.report.is_some_and(|report| report.load.leaving)
    }

    /// Whether calls may be sent: not ejected, or due for a trial.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.on_trial,
        }
    }

    /// Whether an ejection is over, so that one call may try the target.
    pub(crate) fn is_due_for_trial(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now >= until) && !self.on_trial
    }

    /// Notes an own call and tells what is expected of it.
    pub(crate) fn begin(
        &mut self,
        now: Instant,
        attempt: Attempt,
        prior: Prior,
        call: &Call,
    ) -> Expected {
        let expected = Expected {
            pace: self.known_pace(),
            report_age: self.report_age(now),
            occupancy: self.occupancy(now, prior),
            time: Duration::from_secs_f64(self.cost(now, prior, call.may_wait)),
        };
        let (may_wait, kind) = (call.may_wait, call.kind.clone());
        self.own.push(Own { attempt, sent: now, expected: expected.time, may_wait, kind });
        self.on_trial = self.ejected_until.is_some();
        expected
    }

    /// Ends an own call and gives its kind.
    pub(crate) fn end(
        &mut self,
        now: Instant,
        attempt: Attempt,
        is_abandoned: bool,
    ) -> Option<Box<str>> {
        let place = self.own.iter().position(|own| own.attempt == attempt)?;
        let own = self.own.swap_remove(place);
        if is_abandoned && own.is_late(now) {
            self.observe_at_least(now, now - own.sent);
        }
        Some(own.kind)
    }

    /// The pace that the target has last told, in percent; 0 if none.
    pub(crate) fn known_pace(&self) -> u16 {
        self.report.map_or(0, |report| report.load.pace)
    }

    /// The time that the work takes at the target's pace, where both are known.
    /// Changes of the pace are told at once, so that it fades slowly.
    fn paced_service(&self, now: Instant, prior: Prior) -> Option<Duration> {
        let report = self.report.filter(|report| report.load.pace > 0)?;
        let known = fade(now - report.at, PACE_MEMORY);
        let pace = f64::from(report.load.pace) * known + prior.pace * (1.0 - known);
        let work = prior.work.unwrap_or(FIRST_SERVICE);
        Some(work.mul_f64(pace / f64::from(USUAL_PACE)))
    }

    pub(crate) fn observe_load(&mut self, now: Instant, load: Load) {
        let total = f64::from(load.in_flight) + f64::from(load.queued);
        let others = (total - self.own_ahead()).max(0.0);
        self.report = Some(Report { load, at: now, others });
        if self.service.is_none() && !load.service.is_zero() {
            self.service = Some((load.service, now));
        }
    }

    pub(crate) fn observe_success(&mut self, now: Instant, service: Duration, prior: Prior) {
        let average = match self.service {
            None => service,
            Some(_) => mix(self.faded_service(now, prior), service, SERVICE_WEIGHT),
        };
        self.service = Some((average, now));
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
        self.on_trial = false;
    }

    /// An attempt was given up after `age`: its service time is longer.
    fn observe_at_least(&mut self, now: Instant, age: Duration) {
        match self.service {
            Some((known, _)) if age > known => {
                self.service = Some((mix(known, age, SERVICE_WEIGHT), now));
            }
            _ => {}
        }
    }

    pub(crate) fn observe_failure(&mut self, now: Instant) {
        self.failures += 1;
        self.failed = Some(now);
        if self.failures < EJECT_AFTER {
            return;
        }
        let wait = EJECT_MIN.saturating_mul(1 << self.ejections.min(8));
        self.ejections += 1;
        self.ejected_until = Some(now + wait.min(EJECT_MAX));
        self.on_trial = false;
    }

    /// A trial ended without telling anything about the target.
    pub(crate) fn observe_nothing(&mut self) {
        self.on_trial = false;
    }

    /// The last known service time. An old value fades into the pool's, so that
    /// a target that was slow gets a call again now and then.
    fn faded_service(&self, now: Instant, prior: Prior) -> Duration {
        match self.service {
            None => prior.service,
            Some((known, at)) => mix(known, prior.service, 1.0 - fade(now - at, SERVICE_MEMORY)),
        }
    }

    /// The service time to expect.
    pub(crate) fn service(&self, now: Instant, prior: Prior) -> Duration {
        let expected = match self.paced_service(now, prior) {
            Some(paced) => paced,
            None => prior.unless_far(self.faded_service(now, prior)),
        };
        let late = self.own.iter().filter(|own| own.is_late(now)).map(|own| now - own.sent);
        late.max().map_or(expected, |age| age.max(expected))
    }

    /// Requests that wait behind all others, as last reported.
    fn patient(&self, now: Instant, prior: Prior) -> f64 {
        self.report.map_or(0.0, |report| {
            f64::from(report.load.patient) * fade(now - report.at, prior.service * 2)
        })
    }

    /// Requests expected at the target: own ones, and others' as they were
    /// last reported, fading into the pool's average.
    pub(crate) fn occupancy(&self, now: Instant, prior: Prior) -> f64 {
        let others = match self.report {
            None => prior.occupancy,
            Some(report) => {
                let known = fade(now - report.at, prior.service * 2);
                report.others * known + prior.occupancy * (1.0 - known)
            }
        };
        others + self.own_ahead()
    }

    pub(crate) fn slots(&self) -> f64 {
        let reported = self.report.map(|report| report.load.slots);
        f64::from(reported.unwrap_or(self.target.slots).max(1))
    }

    pub(crate) fn has_free_slot(&self, now: Instant, prior: Prior) -> bool {
        self.occupancy(now, prior) + 1.0 <= self.slots()
    }

    /// Expected time from sending a call to its answer, in seconds. A call that
    /// may wait stands behind those that wait likewise.
    pub(crate) fn cost(&self, now: Instant, prior: Prior, may_wait: bool) -> f64 {
        let service = self.service(now, prior).as_secs_f64();
        let slots = self.slots();
        let behind = if may_wait { self.patient(now, prior) } else { 0.0 };
        let occupancy = self.occupancy(now, prior) + behind;
        let wait = service * ((occupancy + 1.0 - slots) / slots).max(0.0);
        // Free slots are never certain: a fuller target is a worse bet.
        let risk = match self.known_pace() {
            0 => service * RISK * (occupancy / slots).min(1.0).powi(2),
            _ => service * crowding(occupancy / slots),
        };
        let failing = 1.0 + f64::from(self.failures) * self.failure_freshness(now);
        let transfer = if self.target.is_near { 0.0 } else { prior.transfer };
        (self.target.rtt.as_secs_f64() + service + wait + risk) * failing + transfer
    }

    /// How much the latest failure still counts, from 1 down to 0.
    fn failure_freshness(&self, now: Instant) -> f64 {
        self.failed.map_or(0.0, |at| fade(now - at, FAILURE_MEMORY))
    }

    pub(crate) fn known_service(&self) -> Option<Duration> {
        self.service.map(|(service, _)| service)
    }

    pub(crate) fn known_others(&self) -> Option<f64> {
        self.report.map(|report| report.others)
    }
}

/// Part of a service time by which other requests slow one down: each a little,
/// those above the knee much more.
fn crowding(load: f64) -> f64 {
    load + KNEE_SLOPE * (load - KNEE).max(0.0)
}

/// Share of the slots above which many targets slow down, and by how much.
const KNEE: f64 = 0.8;
const KNEE_SLOPE: f64 = 4.0;

/// Share of a service time added to the cost of a target with no free slot.
const RISK: f64 = 1.0;

/// Service times that differ from the pool's by less than this factor count as
/// the pool's: their difference is noise.
const ALIKE_FACTOR: f64 = 1.5;

impl Prior {
    /// The pool's service time, unless `own` is far from it.
    fn unless_far(self, own: Duration) -> Duration {
        let is_alike =
            own < self.service.mul_f64(ALIKE_FACTOR) && own.mul_f64(ALIKE_FACTOR) > self.service;
        if is_alike { self.service } else { own }
    }

    /// The average of what is known of the targets.
    pub(crate) fn of<'a>(estimates: impl Iterator<Item = &'a Estimate>) -> Self {
        let (mut others, mut reports) = (0.0, 0.0);
        let (mut paces, mut paced) = (0.0, 0.0);
        let mut services = Vec::new();
        for estimate in estimates {
            if let Some(known) = estimate.known_others() {
                others += known;
                reports += 1.0;
            }
            services.extend(estimate.known_service());
            if estimate.known_pace() > 0 {
                paces += f64::from(estimate.known_pace());
                paced += 1.0;
            }
        }
        services.sort_unstable();
        let median = services.get(services.len() / 2).copied();
        Self {
            occupancy: if reports > 0.0 { others / reports } else { 0.0 },
            service: median.unwrap_or(FIRST_SERVICE),
            pace: if paced > 0.0 { paces / paced } else { f64::from(USUAL_PACE) },
            work: None,
            transfer: 0.0,
        }
    }
}

fn mix(old: Duration, new: Duration, weight_of_new: f64) -> Duration {
    old.mul_f64(1.0 - weight_of_new) + new.mul_f64(weight_of_new)
}

fn fade(age: Duration, memory: Duration) -> f64 {
    let memory = memory.as_secs_f64().max(1e-6);
    (-age.as_secs_f64() / memory).exp()
}
