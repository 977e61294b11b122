//! Hedges within an operator's limit: when a second attempt is due, and whether and where it
//! may be sent.
//!
//! A hedge is due after a delay that is derived from the response times of the call's kind, so
//! that the slowest answers of each kind get the hedges, and not the slow kinds. The delay is
//! the one with the lowest expected 99th percentile under the limit (single reissue policy:
//! Kaler, He and Elnikety, Optimal Reissue Policies for Reducing Tail Latency, SPAA 2017).

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::Node;

/// Maximum number of kinds of one service with a distribution of their own. The kind that has
/// gone longest without an answer is dropped for a new one.
const MAX_KINDS: usize = 64;
/// Shortest and longest response time that are told apart, in microseconds, and the number of
/// significant digits. A distribution takes less than 1 KiB.
const MIN_MICROS: u64 = 100;
const MAX_MICROS: u64 = 100_000_000;
const DIGITS: u8 = 1;
/// Number of answers of a kind after which the weight of all earlier ones is halved.
const WINDOW: u64 = 2000;
/// Number of answers after which the delay of a kind is computed again.
const UPDATE_INTERVAL: u64 = 32;
/// Number of answers from which a distribution is used.
const MIN_SAMPLES: u64 = 64;
/// Smallest share for which a quantile is taken: [`WINDOW`] holds too few answers beyond a
/// smaller one.
const MIN_SHARE: f64 = 0.002;
/// Fraction of the calls whose response times the delay keeps out of account.
const TAIL: f64 = 0.01;
/// Fraction of the answers that are in before any hedge.
const EARLIEST_QUANTILE: f64 = 0.5;
/// Factor by which an earlier delay must shorten the tail to be preferred to a later one.
const MIN_GAIN: f64 = 0.95;
/// Steps of the search for a percentile, each of which halves the range of response times.
const SEARCH_STEPS: u32 = 16;
/// Occupied share of a service's slots above which it is short of capacity. Many targets slow
/// down above it, as in the expected cost of a call.
const MAX_OCCUPANCY: f64 = 0.8;

/// An operator's limit on the hedges of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeLimit {
    /// Maximum number of hedges, as a fraction of the calls.
    pub share: f64,
    /// Round-trip time at which a target is too far away for hedges.
    pub max_rtt: Duration,
}

/// Whether a second attempt is sent beside a late one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Send it to this target.
    Send(Node),
    /// Send none.
    Refuse(HedgeRefusal),
}

/// Why no second attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeRefusal {
    /// The service as a whole is short of capacity.
    ServiceFull,
    /// No other target near enough has a free slot.
    NoFreeSlot,
    /// The limit is used up.
    Budget,
}

/// A target that takes calls, as the entry expects it to be now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) node: Node,
    pub(crate) rtt: Duration,
    pub(crate) has_free_slot: bool,
    /// Whether the call has been sent there.
    pub(crate) is_tried: bool,
    /// Expected cost in seconds.
    pub(crate) cost: f64,
}

/// Whether a service is short of capacity, by the expected number of requests and the number of
/// slots of each target that takes calls.
pub(crate) fn is_short_of_capacity(targets: impl Iterator<Item = (f64, f64)>) -> bool {
    let (occupied, slots) =
        targets.fold((0.0, 0.0), |sum, target| (sum.0 + target.0, sum.1 + target.1));
    occupied >= slots * MAX_OCCUPANCY
}

/// The state of a service's hedges: the limit, and the response times of each kind.
#[derive(Debug)]
pub(crate) struct Hedges {
    limit: HedgeLimit,
    kinds: HashMap<Box<str>, ResponseTimes>,
}

impl Hedges {
    pub(crate) fn new(limit: HedgeLimit) -> Self {
        Self { limit, kinds: HashMap::new() }
    }

    /// Changes the limit and keeps the response times.
    pub(crate) fn set_limit(&mut self, limit: HedgeLimit) {
        self.limit = limit;
    }

    pub(crate) fn is_enabled(&self) -> bool {
        self.limit.share > 0.0
    }

    /// Records the time from sending an attempt to its answer.
    pub(crate) fn observe(&mut self, now: Instant, kind: &str, response_time: Duration) {
        let share = self.limit.share.max(MIN_SHARE);
        if !self.kinds.contains_key(kind) {
            self.make_room();
            self.kinds.insert(kind.into(), ResponseTimes::new(now));
        }
        if let Some(times) = self.kinds.get_mut(kind) {
            times.observe(now, response_time, share);
        }
    }

    /// Records that an attempt without an answer was cancelled after `age`. It counts as an
    /// answer at this age if a hedge was due: otherwise the slowest answers, of which many are
    /// cancelled, would be missing from the distribution.
    pub(crate) fn observe_cancelled(&mut self, now: Instant, kind: &str, age: Duration) {
        if self.delay(kind).is_some_and(|delay| age > delay) {
            self.observe(now, kind, age);
        }
    }

    /// Returns the time after which an answer of this kind is among the slowest, or `None` if
    /// too few answers are known.
    pub(crate) fn delay(&self, kind: &str) -> Option<Duration> {
        self.kinds.get(kind)?.delay
    }

    /// Whether a target at this round-trip time may get hedges.
    pub(crate) fn is_near(&self, rtt: Duration) -> bool {
        rtt < self.limit.max_rtt
    }

    /// Returns the target for a hedge: the cheapest one near enough with a free slot.
    pub(crate) fn choose(&self, candidates: &[Candidate]) -> Result<Node, HedgeRefusal> {
        let near = candidates.iter().filter(|candidate| self.is_near(candidate.rtt));
        let free = near.filter(|candidate| candidate.has_free_slot && !candidate.is_tried);
        let cheapest = free.min_by(|a, b| a.cost.total_cmp(&b.cost));
        cheapest.map(|candidate| candidate.node).ok_or(HedgeRefusal::NoFreeSlot)
    }

    fn make_room(&mut self) {
        if self.kinds.len() < MAX_KINDS {
            return;
        }
        let oldest = self.kinds.iter().min_by_key(|(_, times)| times.observed_at);
        if let Some(oldest) = oldest.map(|(kind, _)| kind.clone()) {
            self.kinds.remove(&oldest);
        }
    }
}

/// Distribution of the response times of one kind, in which old answers lose weight.
#[derive(Debug)]
struct ResponseTimes {
    histogram: Histogram<u16>,
    observed_at: Instant,
    delay: Option<Duration>,
}

impl ResponseTimes {
    fn new(now: Instant) -> Self {
        let histogram = Histogram::new_with_bounds(MIN_MICROS, MAX_MICROS, DIGITS)
            .expect("the bounds are valid constants");
        Self { histogram, observed_at: now, delay: None }
    }

    fn observe(&mut self, now: Instant, response_time: Duration, share: f64) {
        let micros = u64::try_from(response_time.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros);
        self.observed_at = now;
        if self.histogram.len() >= WINDOW {
            self.halve();
        }
        let samples = self.histogram.len();
        if samples >= MIN_SAMPLES && samples.is_multiple_of(UPDATE_INTERVAL) {
            let micros = Distribution::of(&self.histogram).best_delay(share);
            self.delay = Some(Duration::from_secs_f64(micros / 1e6));
        }
    }

    fn halve(&mut self) {
        let counts: Vec<(u64, u16)> = self
            .histogram
            .iter_recorded()
            .map(|value| (value.value_iterated_to(), value.count_at_value()))
            .collect();
        self.histogram.reset();
        for (value, count) in counts {
            // Rounding up keeps the single slow answers of the tail.
            self.histogram.saturating_record_n(value, count.div_ceil(2));
        }
    }
}

/// Response times in microseconds, in ascending order, each with the fraction of the answers up
/// to it.
struct Distribution(Vec<(f64, f64)>);

impl Distribution {
    fn of(histogram: &Histogram<u16>) -> Self {
        let recorded = histogram.iter_recorded();
        Self(recorded.map(|value| (value.value_iterated_to() as f64, value.quantile())).collect())
    }

    /// Fraction of the answers that take at most this time.
    fn fraction_within(&self, micros: f64) -> f64 {
        let count = self.0.partition_point(|(value, _)| *value <= micros);
        count.checked_sub(1).map_or(0.0, |last| self.0[last].1)
    }

    /// Returns the delay with the lowest expected percentile of the response time, if hedges
    /// are limited to `share` of the calls. At an earlier delay than that of the slowest
    /// answers, the limit allows hedges for a part of the late calls only.
    fn best_delay(&self, share: f64) -> f64 {
        let delays = self.0.iter().filter(|(_, fraction)| *fraction >= EARLIEST_QUANTILE);
        let within_share = |(_, fraction): &&(f64, f64)| 1.0 - fraction <= share;
        let latest = self.0.iter().find(within_share).map_or(0.0, |(value, _)| *value);
        let mut best = (latest, self.expected_percentile(latest, share));
        for (delay, _) in delays.filter(|(value, _)| *value < latest) {
            let percentile = self.expected_percentile(*delay, share);
            if percentile < best.1 * MIN_GAIN {
                best = (*delay, percentile);
            }
        }
        best.0
    }

    /// Returns the response time that all but [`TAIL`] of the calls keep to with hedges after
    /// `delay`.
    fn expected_percentile(&self, delay: f64, share: f64) -> f64 {
        let late = 1.0 - self.fraction_within(delay);
        let hedged = if late > share { share / late } else { 1.0 };
        let exceeding = |micros: f64| {
            let in_time = self.fraction_within(micros - delay);
            (1.0 - self.fraction_within(micros)) * (1.0 - hedged * in_time)
        };
        let (mut low, mut high) = (0.0, self.0.last().map_or(0.0, |(value, _)| *value));
        for _ in 0..SEARCH_STEPS {
            let middle = (low + high) / 2.0;
            match exceeding(middle) > TAIL {
                true => low = middle,
                false => high = middle,
            }
        }
        high
    }
}
