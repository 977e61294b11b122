//! Digests of the member list, by which two nodes find the entries in which they differ.

use crate::Node;
use crate::peer::{Member, State};

/// Number of buckets into which members are divided by a hash of their node number.
pub const BUCKETS: usize = 256;

/// Returns the bucket of a node.
pub(crate) fn bucket_of(node: Node) -> usize {
    mix(node) as usize % BUCKETS
}

/// Returns the digest of one member's entry. A suspected member has the same digest as an
/// alive one, because suspicion is temporary and should not cause a sync.
pub(crate) fn digest_of(member: &Member) -> u64 {
    let state = match member.state {
        State::Suspect => State::Alive,
        state => state,
    };
    mix(mix(member.node) ^ mix(member.incarnation ^ ((state as u64) << 56)))
}

/// Hashes a value with the finaliser of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
