//! State of one target as seen by an entry, and the expected cost of a call to it.

use std::time::{Duration, Instant};

use crate::locality::DataCentre;
use crate::pool::{Call, Prediction};
use crate::request_stats::NOMINAL_PACE;
use crate::{AttemptId, Node};

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.2;
/// Service time assumed before the first answer.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(10);
/// Time constant with which an old service time decays to that of the pool.
const SERVICE_TIME_DECAY: Duration = Duration::from_secs(2);
/// Time constant with which the effect of a failure decays.
const FAILURE_DECAY: Duration = Duration::from_secs(2);
/// Weight of the latest failure above which a target counts as failing, that is for 1.4 s.
const FAILING_WEIGHT: f64 = 0.5;
/// Number of consecutive failures after which a target is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Duration of the first ejection, and the limit up to which it doubles.
const EJECTION_MIN: Duration = Duration::from_millis(250);
const EJECTION_MAX: Duration = Duration::from_secs(10);
/// Time constant with which a reported pace decays to that of the pool. It is longer
/// than the time between two messages of daemons that exchange calls.
const PACE_DECAY: Duration = Duration::from_secs(4);
/// An outstanding attempt counts as late after this many times its predicted time.
const LATE_FACTOR: f64 = 3.0;

/// A target as the member list describes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The target's node.
    pub node: Node,
    /// Round-trip time to its guard.
    pub rtt: Duration,
    /// Advertised number of requests that it runs concurrently.
    pub slots: u16,
    /// Whether it is in the data centre of the entry.
    pub in_local_data_centre: bool,
}

/// A guard's load report on its target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub in_flight: u16,
    /// Number of requests in the guard's queue, without the patient ones.
    pub queued: u16,
    /// Number of patient requests in the guard's queue. They run after all others.
    pub patient: u16,
    /// Number of requests that the guard currently runs concurrently.
    pub slots: u16,
    /// Moving average of the service time.
    pub service_time: Duration,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Current duration of work on the target's host, in percent of its duration at
    /// nominal pace; 0 if unknown.
    pub pace: u16,
    /// Time that an entry leaves between two requests to the target, which limits its
    /// rate; zero if there is no need.
    pub start_period: Duration,
}

/// Averages over the pool and properties of the call, used where a target's own
/// values are missing or out of date.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prior {
    pub(crate) occupancy: f64,
    pub(crate) service_time: Duration,
    /// Average pace of the targets that report one, in percent.
    pub(crate) pace: f64,
    /// Time of the call at nominal pace, if known.
    pub(crate) nominal_time: Option<Duration>,
    /// Cost of transferring the answer from another data centre, as time in seconds.
    pub(crate) transfer_cost: f64,
}

/// An attempt of this entry that has no answer yet.
#[derive(Debug)]
struct OutstandingAttempt {
    attempt: AttemptId,
    sent_at: Instant,
    /// Time to the answer, as predicted when the attempt was sent.
    predicted_time: Duration,
    may_wait: bool,
    kind: Box<str>,
}

impl OutstandingAttempt {
    /// Whether the answer is so late that the target must have become slow. The
    /// predicted time already includes the wait behind other requests.
    fn is_late(&self, now: Instant) -> bool {
        now - self.sent_at > self.predicted_time.mul_f64(LATE_FACTOR)
    }
}

/// State of one target as seen by this entry.
#[derive(Debug)]
pub(crate) struct Estimate {
    pub(crate) target: Target,
    /// Number of the target's data centre if it is far from the entry.
    pub(crate) data_centre: Option<DataCentre>,
    report: Option<Report>,
    last_probe: Option<Instant>,
    /// When the latest attempt of this entry was sent.
    last_attempt: Option<Instant>,
    observed_service_time: Option<(Duration, Instant)>,
    outstanding: Vec<OutstandingAttempt>,
    failures: u32,
    last_failure: Option<Instant>,
    ejections: u32,
    ejected_until: Option<Instant>,
    on_trial: bool,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    load: Load,
    received_at: Instant,
    /// Running and queued requests at the guard that other entries sent, without the
    /// patient ones in the queue.
    from_other_entries: f64,
}

impl Estimate {
    pub(crate) fn new(target: Target) -> Self {
        Self {
            target,
            data_centre: None,
            report: None,
            last_probe: None,
            last_attempt: None,
            observed_service_time: None,
            outstanding: Vec::new(),
            failures: 0,
            last_failure: None,
            ejections: 0,
            ejected_until: None,
            on_trial: false,
        }
    }

    pub(crate) fn outstanding_count(&self) -> usize {
        self.outstanding.len()
    }

    /// Number of outstanding attempts that may not wait behind others.
    fn outstanding_urgent(&self) -> f64 {
        self.outstanding.iter().filter(|attempt| !attempt.may_wait).count() as f64
    }

    pub(crate) fn reported_load(&self) -> u32 {
        let load = self.report.map(|report| report.load);
        load.map_or(0, |load| u32::from(load.in_flight) + u32::from(load.queued))
    }

    /// Time since the last load report or the last probe, whichever is later.
    pub(crate) fn report_age(&self, now: Instant) -> Duration {
        let latest = self.report.map(|report| report.received_at).max(self.last_probe);
        latest.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    pub(crate) fn record_probe(&mut self, now: Instant) {
        self.last_probe = Some(now);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.report.is_some_and(|report| report.load.leaving)
    }

    /// Whether calls may be sent to the target: it is not ejected, or it is due for
    /// a trial.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.on_trial,
        }
    }

    /// Whether an ejection is over, so that one call may be sent as a trial.
    pub(crate) fn is_due_for_trial(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now >= until) && !self.on_trial
    }

    /// Records an attempt as outstanding and returns what is predicted for it.
    pub(crate) fn begin(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        prior: Prior,
        call: &Call,
    ) -> Prediction {
        let prediction = Prediction {
            pace: self.reported_pace(),
            report_age: self.report_age(now),
            occupancy: self.occupancy(now, prior),
            time: Duration::from_secs_f64(self.cost(now, prior, call.may_wait)),
        };
        let (may_wait, kind) = (call.may_wait, call.kind.clone());
        self.outstanding.push(OutstandingAttempt {
            attempt,
            sent_at: now,
            predicted_time: prediction.time,
            may_wait,
            kind,
        });
        self.last_attempt = Some(now);
        self.on_trial = self.ejected_until.is_some();
        prediction
    }

    /// Removes an outstanding attempt and returns the kind of its call, and its age.
    pub(crate) fn end(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        is_abandoned: bool,
    ) -> Option<(Box<str>, Duration)> {
        let index = self.outstanding.iter().position(|other| other.attempt == attempt)?;
        let ended = self.outstanding.swap_remove(index);
        let age = now - ended.sent_at;
        if is_abandoned && ended.is_late(now) {
            self.observe_lower_bound(now, age);
        }
        Some((ended.kind, age))
    }

    /// The last reported pace in percent, or 0 if there is none.
    pub(crate) fn reported_pace(&self) -> u16 {
        self.report.map_or(0, |report| report.load.pace)
    }

    /// Service time that follows from the call's nominal time and the target's pace,
    /// or `None` if the target reports no pace. Guards report changes of the pace
    /// immediately, so a reported pace stays valid for long and decays slowly.
    fn service_time_at_pace(&self, now: Instant, prior: Prior) -> Option<Duration> {
        let report = self.report.filter(|report| report.load.pace > 0)?;
        let weight = decay(now - report.received_at, PACE_DECAY);
        let pace = f64::from(report.load.pace) * weight + prior.pace * (1.0 - weight);
        let nominal_time = prior.nominal_time.unwrap_or(DEFAULT_SERVICE_TIME);
        Some(nominal_time.mul_f64(pace / f64::from(NOMINAL_PACE)))
    }

    pub(crate) fn observe_load(&mut self, now: Instant, load: Load) {
        let total = f64::from(load.in_flight) + f64::from(load.queued);
        let from_other_entries = (total - self.outstanding_urgent()).max(0.0);
        self.report = Some(Report { load, received_at: now, from_other_entries });
        if self.observed_service_time.is_none() && !load.service_time.is_zero() {
            self.observed_service_time = Some((load.service_time, now));
        }
    }

    pub(crate) fn observe_success(&mut self, now: Instant, service_time: Duration, prior: Prior) {
        let average = match self.observed_service_time {
            None => service_time,
            Some(_) => weighted_mean(
                self.decayed_service_time(now, prior),
                service_time,
                SERVICE_TIME_WEIGHT,
            ),
        };
        self.observed_service_time = Some((average, now));
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
        self.on_trial = false;
    }

    /// Records that an attempt was abandoned after `age`, so that its service time
    /// would have been longer than that.
    fn observe_lower_bound(&mut self, now: Instant, age: Duration) {
        match self.observed_service_time {
            Some((known, _)) if age > known => {
                self.observed_service_time =
                    Some((weighted_mean(known, age, SERVICE_TIME_WEIGHT), now));
            }
            _ => {}
        }
    }

    pub(crate) fn observe_failure(&mut self, now: Instant) {
        self.failures += 1;
        self.last_failure = Some(now);
        if self.failures < EJECT_AFTER_FAILURES {
            return;
        }
        let ejection = EJECTION_MIN.saturating_mul(1 << self.ejections.min(8));
        self.ejections += 1;
        self.ejected_until = Some(now + ejection.min(EJECTION_MAX));
        self.on_trial = false;
    }

    /// Ends a trial that showed nothing about the target, so that another call may be
    /// sent as a trial.
    pub(crate) fn end_trial(&mut self) {
        self.on_trial = false;
    }

    /// The observed service time. An old value decays to that of the pool, so that a
    /// target that was slow occasionally receives a call again.
    fn decayed_service_time(&self, now: Instant, prior: Prior) -> Duration {
        match self.observed_service_time {
            None => prior.service_time,
            Some((known, at)) => {
                weighted_mean(known, prior.service_time, 1.0 - decay(now - at, SERVICE_TIME_DECAY))
            }
        }
    }

    /// The expected service time of a call: at least the age of the oldest attempt
    /// that is late.
    pub(crate) fn expected_service_time(&self, now: Instant, prior: Prior) -> Duration {
        let expected = match self.service_time_at_pace(now, prior) {
            Some(at_pace) => at_pace,
            None => prior.service_time_unless_outlier(self.decayed_service_time(now, prior)),
        };
        let late = self
            .outstanding
            .iter()
            .filter(|attempt| attempt.is_late(now))
            .map(|attempt| now - attempt.sent_at);
        late.max().map_or(expected, |age| age.max(expected))
    }

    /// Expected number of patient requests in the guard's queue: the last reported
    /// number, which decays to zero.
    fn patient(&self, now: Instant, prior: Prior) -> f64 {
        self.report.map_or(0.0, |report| {
            f64::from(report.load.patient) * decay(now - report.received_at, prior.service_time * 2)
        })
    }

    /// Expected number of requests at the target, without the patient ones: this
    /// entry's outstanding attempts, and the last reported number from other entries,
    /// which decays to the average of the pool.
    pub(crate) fn occupancy(&self, now: Instant, prior: Prior) -> f64 {
        let from_other_entries = match self.report {
            None => prior.occupancy,
            Some(report) => {
                let weight = decay(now - report.received_at, prior.service_time * 2);
                report.from_other_entries * weight + prior.occupancy * (1.0 - weight)
            }
        };
        from_other_entries + self.outstanding_urgent()
    }

    pub(crate) fn slots(&self) -> f64 {
        let reported = self.report.map(|report| report.load.slots);
        f64::from(reported.unwrap_or(self.target.slots).max(1))
    }

    pub(crate) fn has_free_slot(&self, now: Instant, prior: Prior) -> bool {
        self.occupancy(now, prior) + 1.0 <= self.slots() && self.start_delay(now).is_zero()
    }

    /// Whether the target's rate limit permits a request of this entry now.
    pub(crate) fn may_start_now(&self, now: Instant) -> bool {
        self.start_delay(now).is_zero()
    }

    /// Time until this entry may send another request to a target that limits its rate.
    fn start_delay(&self, now: Instant) -> Duration {
        let period = self.report.map_or(Duration::ZERO, |report| report.load.start_period);
        self.last_attempt.map_or(Duration::ZERO, |at| (at + period).saturating_duration_since(now))
    }

    /// Expected time from sending a call to its answer, in seconds, plus the transfer
    /// cost. A call that may wait also queues behind the patient requests.
    pub(crate) fn cost(&self, now: Instant, prior: Prior, may_wait: bool) -> f64 {
        let service_time = self.expected_service_time(now, prior).as_secs_f64();
        let slots = self.slots();
        let patient = if may_wait { self.patient(now, prior) } else { 0.0 };
        let occupancy = self.occupancy(now, prior) + patient;
        let wait_for_slot = service_time * ((occupancy + 1.0 - slots) / slots).max(0.0);
        let wait = wait_for_slot.max(self.start_delay(now).as_secs_f64());
        // The number of free slots is only an estimate. The fuller the target, the
        // more likely the call has to wait, so the penalty grows with the load.
        let penalty = match self.reported_pace() {
            0 => service_time * FULL_TARGET_PENALTY * (occupancy / slots).min(1.0).powi(2),
            _ => service_time * contention(occupancy / slots),
        };
        let failure_factor = 1.0 + f64::from(self.failures) * self.failure_weight(now);
        let transfer_cost =
            if self.target.in_local_data_centre { 0.0 } else { prior.transfer_cost };
        (self.target.rtt.as_secs_f64() + service_time + wait + penalty) * failure_factor
            + transfer_cost
    }

    /// Expected time from sending a call to its answer, in seconds. Other than the cost, it is no
    /// longer for a target that is merely likely to get full.
    pub(crate) fn expected_time(&self, now: Instant, prior: Prior) -> f64 {
        let service_time = self.expected_service_time(now, prior).as_secs_f64();
        let slots = self.slots();
        let waiting = (self.occupancy(now, prior) + 1.0 - slots) / slots;
        let wait = (service_time * waiting.max(0.0)).max(self.start_delay(now).as_secs_f64());
        let failure_factor = 1.0 + f64::from(self.failures) * self.failure_weight(now);
        (self.target.rtt.as_secs_f64() + service_time + wait) * failure_factor
    }

    /// Whether the latest attempt failed a short time ago, so that the next one will probably
    /// fail as well.
    pub(crate) fn is_failing(&self, now: Instant) -> bool {
        self.failures > 0 && self.failure_weight(now) > FAILING_WEIGHT
    }

    /// Weight of the recorded failures, which decays from 1 to 0 after the last one.
    fn failure_weight(&self, now: Instant) -> f64 {
        self.last_failure.map_or(0.0, |at| decay(now - at, FAILURE_DECAY))
    }

    pub(crate) fn observed_service_time(&self) -> Option<Duration> {
        self.observed_service_time.map(|(service_time, _)| service_time)
    }

    pub(crate) fn reported_from_other_entries(&self) -> Option<f64> {
        self.report.map(|report| report.from_other_entries)
    }
}

/// Fraction of the service time by which concurrent requests delay a call, where
/// `load` is the occupied fraction of the slots. The delay grows slowly up to the knee
/// and much faster beyond it.
fn contention(load: f64) -> f64 {
    load + KNEE_SLOPE * (load - KNEE).max(0.0)
}

/// Occupied fraction of the slots above which many targets slow down, and the
/// additional slope of the delay above it.
const KNEE: f64 = 0.8;
const KNEE_SLOPE: f64 = 4.0;

/// Fraction of the service time that is added to the cost of a target without a free
/// slot, if it reports no pace.
const FULL_TARGET_PENALTY: f64 = 1.0;

/// Service times that differ from that of the pool by less than this factor are
/// treated as equal to it, because such differences are noise.
const NOISE_FACTOR: f64 = 1.5;

impl Prior {
    /// The pool's service time, or `service_time` if it differs by more than noise.
    fn service_time_unless_outlier(self, service_time: Duration) -> Duration {
        let is_noise = service_time < self.service_time.mul_f64(NOISE_FACTOR)
            && service_time.mul_f64(NOISE_FACTOR) > self.service_time;
        if is_noise { self.service_time } else { service_time }
    }

    /// Averages over the targets of a pool; for the service time, the median.
    pub(crate) fn of<'a>(estimates: impl Iterator<Item = &'a Estimate>) -> Self {
        let (mut from_other_entries, mut reports) = (0.0, 0.0);
        let (mut pace_sum, mut pace_count) = (0.0, 0.0);
        let mut service_times = Vec::new();
        for estimate in estimates {
            if let Some(reported) = estimate.reported_from_other_entries() {
                from_other_entries += reported;
                reports += 1.0;
            }
            service_times.extend(estimate.observed_service_time());
            if estimate.reported_pace() > 0 {
                pace_sum += f64::from(estimate.reported_pace());
                pace_count += 1.0;
            }
        }
        service_times.sort_unstable();
        let median = service_times.get(service_times.len() / 2).copied();
        Self {
            occupancy: if reports > 0.0 { from_other_entries / reports } else { 0.0 },
            service_time: median.unwrap_or(DEFAULT_SERVICE_TIME),
            pace: if pace_count > 0.0 { pace_sum / pace_count } else { f64::from(NOMINAL_PACE) },
            nominal_time: None,
            transfer_cost: 0.0,
        }
    }
}

fn weighted_mean(old: Duration, new: Duration, weight_of_new: f64) -> Duration {
    old.mul_f64(1.0 - weight_of_new) + new.mul_f64(weight_of_new)
}

/// Exponential decay from 1 to 0 with a time constant.
pub(crate) fn decay(age: Duration, time_constant: Duration) -> f64 {
    let time_constant = time_constant.as_secs_f64().max(1e-6);
    (-age.as_secs_f64() / time_constant).exp()
}
