//! Which hosts of a data centre coordinate quotas.
//!
//! The present hosts of a data centre are ordered by a hash of their address and cut into equal
//! groups of at most [`MAX_GROUP`]. Within a group, the host with the highest second hash is the
//! coordinator (rendezvous hashing). When a host joins or departs, each boundary between groups
//! moves by at most one host, so that most groups keep their coordinators. Hosts with different
//! lists may choose different coordinators, which is harmless because tokens are not copied.

use std::cmp::Reverse;

/// Largest number of hosts that share a coordinator.
pub const MAX_GROUP: usize = 64;
/// Number of hosts of a group that are tried, in their order, when the first does not reply.
pub const MAX_CANDIDATES: usize = 3;

/// Seeds of the two hashes, which are arbitrary and differ.
const POSITION_SEED: u64 = 0x9e37_79b9_7f4a_7c15;
const RANK_SEED: u64 = 0xd1b5_4a32_d192_ed03;

/// Returns the hosts of the group of `own` that may be its coordinator, the first choice first.
/// `members` are the present hosts of its data centre.
pub fn rank_candidates(own: &str, members: &[&str]) -> Vec<Box<str>> {
    let mut ordered = members.to_vec();
    ordered.push(own);
    order(&mut ordered);
    let own_group = groups(&ordered).find(|group| group.contains(&own)).unwrap_or_default();
    let mut candidates = own_group.to_vec();
    candidates.sort_by_cached_key(|address| (Reverse(hash(RANK_SEED, address)), *address));
    candidates.into_iter().take(MAX_CANDIDATES).map(Into::into).collect()
}

/// Returns the coordinator of each group of a data centre whose present hosts are `members`.
pub fn list_coordinators(members: &[&str]) -> Vec<Box<str>> {
    let mut ordered = members.to_vec();
    order(&mut ordered);
    let first = |group: &[&str]| -> Option<Box<str>> {
        let first =
            group.iter().max_by_key(|address| (hash(RANK_SEED, address), Reverse(*address)));
        first.map(|address| (*address).into())
    };
    groups(&ordered).filter_map(first).collect()
}

fn order(members: &mut Vec<&str>) {
    members.sort_by_cached_key(|address| (hash(POSITION_SEED, address), *address));
    members.dedup();
}

fn groups<'a, 'b>(ordered: &'b [&'a str]) -> impl Iterator<Item = &'b [&'a str]> {
    let count = ordered.len().div_ceil(MAX_GROUP);
    (0..count).map(move |group| {
        let start = |group: usize| group * ordered.len() / count;
        &ordered[start(group)..start(group + 1)]
    })
}

/// Returns a hash that is the same in all versions of the program: FNV-1a with the finalizer of
/// SplitMix64, which spreads addresses that differ in their last byte only.
fn hash(seed: u64, address: &str) -> u64 {
    const PRIME: u64 = 0x0100_0000_01b3;
    let value =
        address.bytes().fold(seed, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
