//! Which targets of a service one entry sends calls to.
//!
//! An entry that used all targets would come to hold a connection to each and follow
//! the load of each. It ranks them by a hash of itself and the target instead, and
//! uses the first (rendezvous hashing, Thaler and Ravishankar, IEEE/ACM Transactions
//! on Networking 6(1), 1998). Entries rank differently, so that each target has about
//! as many; a target that goes is replaced by the next in rank, and nothing else
//! changes.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::Node;
use crate::estimate::Target;
use crate::pool::MAX_COMPARED;

/// Most targets of one service that an entry uses: enough to compare as many as a
/// choice does while three of four are away, ejected or full.
pub const MAX_USED: usize = 4 * MAX_COMPARED;
/// One of this many is taken from the entry's own data centre first.
const NEAR_PART: usize = 2;

/// The targets that an entry uses of all that serve.
pub fn pick_subset(entry: Node, targets: impl IntoIterator<Item = Target>) -> Vec<Target> {
    let mut targets: Vec<Target> = targets.into_iter().collect();
    if targets.len() <= MAX_USED {
        return targets;
    }
    targets.sort_by_cached_key(|target| (Reverse(rank(entry, target.node)), target.node));
    let (near, far): (Vec<Target>, Vec<Target>) =
        targets.into_iter().partition(|target| target.is_near);
    // The half that is near is filled up from afar where there are too few, and the
    // other half by those that are near.
    let far_wanted = MAX_USED - near.len().min(MAX_USED / NEAR_PART);
    let far_used = far.len().min(far_wanted);
    let near_used = MAX_USED - far_used;
    near.into_iter().take(near_used).chain(far.into_iter().take(far_used)).collect()
}

fn rank(entry: Node, target: Node) -> u64 {
    let mut hasher = DefaultHasher::new();
    (entry, target).hash(&mut hasher);
    hasher.finish()
}
