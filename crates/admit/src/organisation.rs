//! The organisations whose requests are at a guard, and how much of it each of them uses.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Identifies an organisation at all guards, such as a hash of its name.
pub type OrganisationId = u64;

/// The organisation on whose behalf a request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Organisation {
    /// Identifies the organisation.
    pub id: OrganisationId,
    /// Priority of the organisation, which goes before the rank of a request; 0 is the highest.
    pub priority: u8,
}

/// How far an organisation's use of the guard exceeds that of others of its priority. Requests
/// with a lower level run first.
///
/// Requests without an organisation have level 0, so that those that a target has sent for a
/// request that runs elsewhere go before the requests of organisations of the highest priority:
/// their refusal would waste the slot of that request. An organisation has level 1 as long as
/// it uses at most twice as much as the others, and one more for each further doubling.
pub(crate) type ShareLevel = u32;

/// Numbers of requests that run or wait, by organisation. Organisations without any are not
/// kept.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    by_organisation: HashMap<Organisation, usize>,
    by_priority: BTreeMap<u8, Totals>,
}

/// Sums over the organisations of one priority.
#[derive(Debug, Default)]
struct Totals {
    organisations: usize,
    requests: usize,
}

impl Loads {
    pub(crate) fn add(&mut self, organisation: Option<Organisation>) {
        let Some(organisation) = organisation else { return };
        let requests = self.by_organisation.entry(organisation).or_default();
        let totals = self.by_priority.entry(organisation.priority).or_default();
        totals.organisations += usize::from(*requests == 0);
        totals.requests += 1;
        *requests += 1;
    }

    pub(crate) fn remove(&mut self, organisation: Option<Organisation>) {
        let Some(organisation) = organisation else { return };
        let Some(requests) = self.by_organisation.get_mut(&organisation) else { return };
        *requests -= 1;
        let is_last = *requests == 0;
        if is_last {
            self.by_organisation.remove(&organisation);
        }
        if let Some(totals) = self.by_priority.get_mut(&organisation.priority) {
            totals.organisations -= usize::from(is_last);
            totals.requests -= 1;
            if totals.requests == 0 {
                self.by_priority.remove(&organisation.priority);
            }
        }
    }

    /// Whether no request of an organisation runs or waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_organisation.is_empty()
    }

    /// Returns the level of an organisation at a target that runs `slots` requests at a time.
    /// An organisation that uses no more than the slots cannot delay others by more than the
    /// service time, and does not yield.
    pub(crate) fn level(&self, organisation: Option<Organisation>, slots: u16) -> ShareLevel {
        let Some(organisation) = organisation else { return 0 };
        let own = self.by_organisation.get(&organisation).copied().unwrap_or(0);
        let Some(totals) = self.by_priority.get(&organisation.priority) else { return 1 };
        if own <= usize::from(slots) || totals.organisations < 2 {
            return 1;
        }
        let others = totals.requests - own;
        let times_others = own * (totals.organisations - 1) / others.max(1);
        1 + times_others.max(1).ilog2()
    }
}

/// Time over which the starts of requests are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Rates at which requests have started recently, by the priority of their organisations.
#[derive(Debug, Default)]
pub(crate) struct StartRates {
    by_priority: BTreeMap<u8, Average>,
}

/// An exponentially decaying number of starts.
#[derive(Debug)]
struct Average {
    starts: f64,
    at: Instant,
}

impl StartRates {
    pub(crate) fn record(&mut self, now: Instant, organisation: Option<Organisation>) {
        let priority = organisation.map_or(0, |organisation| organisation.priority);
        let average = self.by_priority.entry(priority).or_insert(Average { starts: 0.0, at: now });
        *average = Average { starts: average.starts_at(now) + 1.0, at: now };
    }

    /// Returns the starts per second of requests with a higher priority than `priority`.
    pub(crate) fn above(&self, now: Instant, priority: u8) -> f64 {
        let higher = self.by_priority.range(..priority);
        higher.map(|(_, average)| average.starts_at(now)).sum::<f64>()
            / AVERAGING_TIME.as_secs_f64()
    }
}

impl Average {
    fn starts_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.starts * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
