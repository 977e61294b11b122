//! The organisations of the soak, their keys and the demand of their callers.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use serde_json::{Value, json};

/// An organisation in the soak's configuration.
#[derive(Debug)]
pub(super) struct Organisation {
    pub(super) name: &'static str,
    pub(super) priority: u8,
    /// Quota in requests per second; 0 if there is none.
    pub(super) rate: u32,
    /// Burst of the quota, in requests.
    pub(super) burst: u32,
}

/// Two organisations with a small quota and a large one without a limit.
pub(super) const ORGANISATIONS: [Organisation; 3] = [
    Organisation { name: "north", priority: 1, rate: 12, burst: 12 },
    Organisation { name: "south", priority: 0, rate: 20, burst: 20 },
    Organisation { name: LARGE, priority: 1, rate: 0, burst: 0 },
];
/// Name of the organisation without a limit, whose second key changes with each revision.
const LARGE: &str = "east";
/// Index of [`LARGE`] in [`ORGANISATIONS`].
pub(super) const LARGE_INDEX: usize = 2;
/// Difference between two successive revisions of the configuration.
pub(super) const REVISION_STEP: u64 = 3;
/// Start of all keys. No log line of a daemon may contain it.
pub(super) const KEY_PREFIX: &str = "k-soak-";
/// Value of [`Demand::hot`] while no organisation is hot.
const NONE_HOT: usize = usize::MAX;

/// The key that a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Key {
    /// The request has none.
    Absent,
    /// A key that no configuration ever holds.
    Unknown,
    /// The key of an organisation, by index, that all configurations hold.
    Permanent(usize),
    /// The key of [`LARGE`] that only the configuration of this revision holds.
    OfRevision(u64),
}

impl Key {
    /// Returns the key; `None` if there is none.
    pub(super) fn text(self) -> Option<String> {
        match self {
            Self::Absent => None,
            Self::Unknown => Some(format!("{KEY_PREFIX}unknown")),
            Self::Permanent(index) => Some(format!("{KEY_PREFIX}{}", ORGANISATIONS[index].name)),
            Self::OfRevision(revision) => Some(format!("{KEY_PREFIX}{LARGE}-{revision}")),
        }
    }

    /// Returns the name of the organisation that the key belongs to while it is in force.
    pub(super) fn organisation(self) -> Option<&'static str> {
        match self {
            Self::Absent | Self::Unknown => None,
            Self::Permanent(index) => Some(ORGANISATIONS[index].name),
            Self::OfRevision(_) => Some(LARGE),
        }
    }
}

/// Returns the `tenants` of the configuration with this revision.
pub(super) fn tenants(revision: u64) -> Value {
    let tenants = ORGANISATIONS.iter().enumerate().map(|(index, organisation)| {
        let mut keys = vec![Key::Permanent(index).text()];
        if index == LARGE_INDEX {
            keys.push(Key::OfRevision(revision).text());
        }
        json!({
            "name": organisation.name, "api_keys": keys, "priority": organisation.priority,
            "rate_per_s": organisation.rate, "burst": organisation.burst,
        })
    });
    tenants.collect()
}

/// What callers have to know of the steps of the schedule.
#[derive(Debug)]
pub(super) struct Demand {
    hot: AtomicUsize,
    revision: AtomicU64,
}

impl Default for Demand {
    fn default() -> Self {
        Self { hot: AtomicUsize::new(NONE_HOT), revision: AtomicU64::new(0) }
    }
}

impl Demand {
    /// Sets the organisation that sends many times its usual load, by index.
    pub(super) fn set_hot(&self, index: Option<usize>) {
        self.hot.store(index.unwrap_or(NONE_HOT), Ordering::Relaxed);
    }

    /// The organisation that sends many times its usual load, by index.
    pub(super) fn hot(&self) -> Option<usize> {
        Some(self.hot.load(Ordering::Relaxed)).filter(|hot| *hot != NONE_HOT)
    }

    /// Sets the latest revision that operators have tried to write.
    pub(super) fn set_revision(&self, revision: u64) {
        self.revision.store(revision, Ordering::Relaxed);
    }

    /// The latest revision that operators have tried to write.
    pub(super) fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }
}
