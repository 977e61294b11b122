//! Which calls leave the data centre of the entry, and for which far target.
//!
//! Traffic to far data centres is expensive, so a call leaves only if it is expected to be late
//! otherwise. What an entry knows of far targets is mostly seconds old; it therefore judges a
//! far data centre by the average over its targets, in which recent reports count most.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Node;
use crate::estimate::{Estimate, Load, Prior, decay};
use crate::request_stats::NOMINAL_PACE;

/// Number of a far data centre.
pub type DataCentre = u16;

/// Fraction of a call's target latency within which an answer from the own data centre is good
/// enough. The rest of it is for the way back to the caller and for errors of the estimate.
const HOME_FRACTION: f64 = 0.5;
/// Largest ratio of the expected time elsewhere, with the transfer cost, to that at home with
/// which a call leaves. The estimates err by some 20%, which must not move calls.
const MAX_TIME_RATIO: f64 = 0.75;
/// Occupied fraction of the slots of a far data centre from which on it receives nothing, and
/// the range below it in which the fraction of calls that leave falls from all to none. Several
/// entries decide by similar reports, and a sharp limit would let them all leave or none.
const NEARLY_FULL: f64 = 0.85;
const NEARLY_FULL_RANGE: f64 = 0.15;
/// The same limit for calls that would otherwise miss their target latency or be refused.
const FULL: f64 = 0.97;
/// Weight of a target without free slots in the choice between far targets, in slots. Its
/// report may be out of date.
const MIN_ROOM: f64 = 0.1;
/// Number of reports over which the load of a far data centre is averaged. One report shows the
/// momentary state of a few slots.
const AVERAGED_REPORTS: f64 = 16.0;
/// Time constant with which earlier reports lose their weight in the average. Without it, a data
/// centre that receives one call every two seconds stayed closed for half a minute after a surge.
const REPORT_DECAY: Duration = Duration::from_millis(500);
/// Largest load that one report counts for, so that one long queue does not hide free targets.
const MAX_REPORTED_LOAD: f64 = 1.5;
/// Age of the latest report from which on the load of a data centre counts as unknown. It is
/// found out by one call at a time.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Shortest and longest time between two calls to a data centre that receives nothing otherwise.
/// The reports that led to this state may have been exceptions, and no others arrive. Each such
/// call that does not change the state doubles the time.
const EXPLORE_MIN: Duration = Duration::from_millis(100);
const EXPLORE_MAX: Duration = Duration::from_secs(2);
/// Occupied fraction of the slots assumed in an unknown data centre.
const ASSUMED_LOAD: f64 = 0.5;

/// Why a call left its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Departure {
    /// No target of the data centre has a free slot, and the wait is too long.
    Busy,
    /// The targets of the data centre with free slots are too slow.
    Slow,
    /// The data centre has no target that may be tried.
    NoTarget,
    /// Guards of the data centre have refused the call.
    Refused,
}

impl Departure {
    /// Returns the name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Slow => "slow",
            Self::NoTarget => "no-target",
            Self::Refused => "refused",
        }
    }
}

/// What the data centre of the entry offers a call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Home {
    /// Least expected time until the answer, in seconds.
    pub(crate) time: f64,
    /// Whether the target with this time has a free slot.
    pub(crate) is_free: bool,
    /// Whether a guard of the data centre has refused the call, and no other target of it has
    /// a free slot.
    pub(crate) has_refused: bool,
}

/// Properties of a call that decide whether it leaves.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    pub(crate) target_latency: Duration,
    /// Cost of the bytes that leave the data centre or enter it for the call, as time in seconds.
    pub(crate) transfer_cost: f64,
    pub(crate) prior: Prior,
    /// Whether the call may still be sent elsewhere if the guard refuses it.
    pub(crate) has_alternative: bool,
}

/// What the entry knows of one far data centre.
#[derive(Debug, Clone, Copy)]
struct View {
    /// Average occupied fraction of the slots.
    load: f64,
    /// Average pace in percent.
    pace: f64,
    /// Number of reports in the averages, at most [`AVERAGED_REPORTS`].
    reports: f64,
    reported_at: Option<Instant>,
    explored_at: Option<Instant>,
    explore_interval: Duration,
}

/// State for the choice between the own data centre and far ones.
#[derive(Debug, Default)]
pub(crate) struct Locality {
    views: HashMap<DataCentre, View>,
}

/// Whether the own data centre has capacity for a call.
pub(crate) fn suffices(home: Home, demand: &Demand) -> bool {
    !home.has_refused && home.time <= demand.target_latency.as_secs_f64() * HOME_FRACTION
}

impl Home {
    /// Whether the call would get no response in time at home.
    pub(crate) fn is_urgent(&self, demand: &Demand) -> bool {
        self.has_refused || self.time > demand.target_latency.as_secs_f64()
    }

    /// Whether a call gains so much by an answer from elsewhere after `time` seconds that it
    /// leaves.
    fn is_exceeded_by(&self, time: f64, demand: &Demand) -> bool {
        self.has_refused || time + demand.transfer_cost < self.time * MAX_TIME_RATIO
    }

    /// Why a call that leaves does so.
    pub(crate) fn departure(&self) -> Departure {
        match self {
            Self { has_refused: true, .. } => Departure::Refused,
            Self { is_free: true, .. } => Departure::Slow,
            _ => Departure::Busy,
        }
    }
}

impl Locality {
    /// Records the load report of a target in a far data centre.
    pub(crate) fn observe(&mut self, now: Instant, data_centre: DataCentre, load: Load) {
        self.views.entry(data_centre).or_default().observe(now, load);
    }

    /// Chooses the far target that a call is sent to, or none if it stays. `home` is `None` if
    /// the own data centre has no target that may be tried.
    pub(crate) fn choose_far(
        &mut self,
        now: Instant,
        random: &mut fastrand::Rng,
        far: &[&Estimate],
        refused: &[Node],
        demand: &Demand,
        home: Option<Home>,
    ) -> Option<Node> {
        let is_urgent = home.is_none_or(|home| home.is_urgent(demand));
        let limit = if is_urgent { FULL } else { NEARLY_FULL };
        let mut free = Vec::new();
        let mut total = 0.0;
        for estimate in far {
            let Some(id) = estimate.data_centre else {
                continue;
            };
            let view = *self.views.entry(id).or_default();
            let can_take = view.may_receive(now, limit) && estimate.may_start_now(now);
            if refused.contains(&estimate.target.node) || !can_take {
                continue;
            }
            // The occupancy is mostly an average. Below the limit, a slot is probably free.
            let occupancy = estimate.occupancy(now, view.prior(estimate, demand.prior));
            let room = (estimate.slots() * limit - occupancy).max(MIN_ROOM);
            total += room;
            free.push((*estimate, id, view, room));
        }
        let mut point = random.f64() * total;
        let (estimate, id, view, _) = free.into_iter().find(|(_, _, _, room)| {
            point -= room;
            point <= 0.0
        })?;
        let is_open = view.is_open(now, limit);
        if is_open && random.f64() * NEARLY_FULL_RANGE > limit - view.load {
            return None;
        }
        let time = estimate.expected_time(now, view.prior(estimate, demand.prior));
        if !home.is_none_or(|home| home.is_exceeded_by(time, demand)) {
            return None;
        }
        if let Some(view) = self.views.get_mut(&id).filter(|_| !is_open) {
            view.explored_at = Some(now);
            view.explore_interval = (view.explore_interval * 2).min(EXPLORE_MAX);
        }
        Some(estimate.target.node)
    }
}

impl Default for View {
    fn default() -> Self {
        Self {
            load: ASSUMED_LOAD,
            pace: f64::from(NOMINAL_PACE),
            reports: 1.0,
            reported_at: None,
            explored_at: None,
            explore_interval: EXPLORE_MIN,
        }
    }
}

impl View {
    fn observe(&mut self, now: Instant, load: Load) {
        let occupied = f64::from(load.in_flight) + f64::from(load.queued);
        let reported = (occupied / f64::from(load.slots.max(1))).min(MAX_REPORTED_LOAD);
        let age = self.reported_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let earlier = 1.0 + (self.reports - 1.0) * decay(age, REPORT_DECAY);
        self.reports = (earlier + 1.0).min(AVERAGED_REPORTS);
        self.load += (reported - self.load) / self.reports;
        if load.pace > 0 {
            self.pace += (f64::from(load.pace) - self.pace) / self.reports;
        }
        self.reported_at = Some(now);
        if self.load < NEARLY_FULL {
            self.explore_interval = EXPLORE_MIN;
        }
    }

    /// Whether the load is known and below the limit.
    fn is_open(&self, now: Instant, limit: f64) -> bool {
        let is_known = self.reported_at.is_some_and(|at| now.duration_since(at) < MAX_REPORT_AGE);
        is_known && self.load < limit
    }

    /// Whether a call may be sent there now: the data centre is open, or it is time for a call
    /// that finds out its load.
    fn may_receive(&self, now: Instant, limit: f64) -> bool {
        let is_due = |at| now.duration_since(at) >= self.explore_interval;
        self.is_open(now, limit) || self.explored_at.is_none_or(is_due)
    }

    /// What is assumed of a target of the data centre without a recent report.
    fn prior(&self, estimate: &Estimate, prior: Prior) -> Prior {
        let own = estimate.outstanding_count() as f64;
        let occupancy = (self.load * estimate.slots() - own).max(0.0);
        Prior { occupancy, pace: self.pace, ..prior }
    }
}
