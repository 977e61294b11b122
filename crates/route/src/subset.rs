//! Subsetting: which targets of a service one entry sends calls to.
//!
//! An entry that used all targets of a large service would hold a connection to each
//! and track the load of each. Instead, it ranks the targets by a hash of itself and
//! the target and uses the highest-ranked ones (rendezvous hashing, Thaler and
//! Ravishankar, IEEE/ACM Transactions on Networking 6(1), 1998). Each entry has a
//! different ranking, so that each target is used by about the same number of entries.
//! A target that disappears is replaced by the next in rank, and the rest of the
//! subset stays the same.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::Node;
use crate::estimate::Target;
use crate::pool::MAX_COMPARED;

/// Maximum number of targets of one service that an entry uses. With four times the
/// number that one choice compares, a choice still has enough candidates when three
/// of four targets are absent, ejected or full.
pub const MAX_SUBSET: usize = 4 * MAX_COMPARED;
/// Divisor of [`MAX_SUBSET`] that gives the number of places for targets in the
/// entry's own data centre: half of the subset.
const LOCAL_DIVISOR: usize = 2;

/// Returns the targets that an entry uses out of all targets that serve.
pub fn pick_subset(entry: Node, targets: impl IntoIterator<Item = Target>) -> Vec<Target> {
    let mut targets: Vec<Target> = targets.into_iter().collect();
    if targets.len() <= MAX_SUBSET {
        return targets;
    }
    targets.sort_by_cached_key(|target| (Reverse(rank(entry, target.node)), target.node));
    let (local, remote): (Vec<Target>, Vec<Target>) =
        targets.into_iter().partition(|target| target.in_local_data_centre);
    // When there are too few local targets for their half, remote targets take the
    // rest of it, and the other way round.
    let remote_wanted = MAX_SUBSET - local.len().min(MAX_SUBSET / LOCAL_DIVISOR);
    let remote_used = remote.len().min(remote_wanted);
    let local_used = MAX_SUBSET - remote_used;
    local.into_iter().take(local_used).chain(remote.into_iter().take(remote_used)).collect()
}

fn rank(entry: Node, target: Node) -> u64 {
    let mut hasher = DefaultHasher::new();
    (entry, target).hash(&mut hasher);
    hasher.finish()
}
