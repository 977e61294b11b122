//! Data centres whose targets get no requests, as operators request it in the store.
//!
//! The few members that read the store read the set too, and gossip carries it to the others.
//! The set of the newest position of the store wins. A member that has read the store knows that
//! a set of an earlier position that still circulates is out of date, also if its own set was
//! empty all the time, which it need not have told anybody.

use std::collections::BTreeSet;

/// Maximum length of the name of a data centre in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum total length of the names in bytes, so that they fit into a datagram.
const MAX_TOTAL_BYTES: usize = 900;

/// Position of the store: its era and its version in that era.
pub type StorePosition = (u64, u64);

/// The names of evacuated data centres.
pub type DataCentres = BTreeSet<Box<str>>;

/// What a read of the store has shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationRead {
    /// All rows exist that are named here, and no others.
    All(DataCentres),
    /// These rows were written or deleted since an earlier read in the same era.
    Changes {
        /// Data centres whose rows were written.
        added: DataCentres,
        /// Data centres whose rows were deleted.
        removed: DataCentres,
    },
}

/// The evacuated data centres, as far as a member knows.
#[derive(Debug, Default)]
pub struct Evacuation {
    data_centres: DataCentres,
    /// Position at which the set last changed; `None` if no evacuation has been seen yet.
    changed_at: Option<StorePosition>,
    /// Latest position at which the set is known to be right; never before `changed_at`.
    known_at: Option<StorePosition>,
}

impl Evacuation {
    /// Names of the evacuated data centres.
    pub fn data_centres(&self) -> &DataCentres {
        &self.data_centres
    }

    /// The position to pass on with the set; `None` if there is nothing to pass on.
    pub fn position(&self) -> Option<StorePosition> {
        self.changed_at
    }

    /// Applies a read of the store by the local member, which ended at the position `at`.
    /// Returns whether others have to hear of it.
    pub fn apply_read(&mut self, at: StorePosition, read: EvacuationRead) -> bool {
        if self.known_at.is_some_and(|known| at <= known) {
            return false;
        }
        let data_centres = match read {
            EvacuationRead::All(data_centres) => data_centres,
            EvacuationRead::Changes { added, removed } => {
                // Without the set at an earlier position of the era, changes say nothing.
                if self.known_at.is_none_or(|(era, _)| era != at.0) {
                    return false;
                }
                let kept = self.data_centres.difference(&removed).cloned();
                kept.chain(added).collect()
            }
        };
        self.known_at = Some(at);
        let data_centres = limit_size(data_centres);
        // Sets of an earlier era that still circulate must not outlive a change of the era.
        let is_new_era = self.changed_at.is_some_and(|(era, _)| era < at.0);
        let has_changed = data_centres != self.data_centres || is_new_era;
        if has_changed {
            self.data_centres = data_centres;
            self.changed_at = Some(at);
        }
        has_changed
    }

    /// Applies the set that another member passes on. Returns whether others have to hear of
    /// the local set: it has changed, or the other member's set is out of date.
    pub fn learn(&mut self, at: StorePosition, data_centres: DataCentres) -> bool {
        if self.changed_at.is_some_and(|changed| at <= changed) {
            return false;
        }
        if let Some(known) = self.known_at.filter(|known| at <= *known) {
            let is_outdated = data_centres != self.data_centres;
            if is_outdated {
                self.changed_at = Some(known);
            }
            return is_outdated;
        }
        self.data_centres = limit_size(data_centres);
        (self.changed_at, self.known_at) = (Some(at), Some(at));
        true
    }
}

/// Leaves out names that cannot belong to a data centre or that do not fit into a datagram.
fn limit_size(data_centres: DataCentres) -> DataCentres {
    let mut total = 0;
    let mut fits = |name: &str| {
        let is_name = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        total += if is_name { name.len() } else { 0 };
        is_name && total <= MAX_TOTAL_BYTES
    };
    data_centres.into_iter().filter(|name| fits(name)).collect()
}
