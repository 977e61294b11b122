//! The member list of one node.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::Node;
use crate::detect::Detector;
use crate::digest::{BUCKETS, bucket_of, digest_of};
use crate::locality::Locality;
use crate::peer::{Absence, Member, Peer, State};
use crate::update_queue::UpdateQueue;

/// How long a lost member is kept in the list and pinged from time to time.
const LOST_RETENTION: Duration = Duration::from_secs(2 * 3600);
/// How long a member that has left is kept in the list, so that outdated updates about it
/// are recognised.
const LEFT_RETENTION: Duration = Duration::from_secs(600);

/// All members known to the local node, the failure detector, and the updates to be sent.
#[derive(Debug)]
pub struct Members {
    pub(crate) local: Member,
    pub(crate) peers: BTreeMap<Node, Peer>,
    /// The node that is recorded at each address.
    addresses: HashMap<Box<str>, Node>,
    pub(crate) updates: UpdateQueue,
    pub(crate) detector: Detector,
    pub(crate) locality: Locality,
    pub(crate) random: fastrand::Rng,
    /// Shortest recent round-trip time to each data centre.
    rtts: HashMap<Box<str>, Duration>,
    /// Digest of each bucket.
    digests: Vec<u64>,
    version: u64,
}

impl Members {
    /// Creates a list that contains only the local node.
    pub fn new(now: Instant, local: Member, seed: u64) -> Self {
        let mut members = Self {
            local,
            peers: BTreeMap::new(),
            addresses: HashMap::new(),
            updates: UpdateQueue::default(),
            detector: Detector::new(now),
            locality: Locality::default(),
            random: fastrand::Rng::with_seed(seed),
            rtts: HashMap::new(),
            digests: vec![0; BUCKETS],
            version: 0,
        };
        members.toggle_digest(&members.local.clone());
        members.updates.add(members.local.node, 1);
        members
    }

    /// Returns the entry of the local node.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Returns the number of present members, including the local node.
    pub fn count_present(&self) -> usize {
        let present = self.peers.values().filter(|peer| peer.member.state.is_present());
        present.count() + 1
    }

    /// Returns the number of present members in the local data centre that started before the
    /// local node.
    pub fn count_earlier(&self) -> usize {
        let members = self.peers.values().map(|peer| &peer.member);
        let neighbours = members.filter(|member| member.data_centre == self.local.data_centre);
        neighbours
            .filter(|member| member.state.is_present() && member.node < self.local.node)
            .count()
    }

    /// Whether no present member started before the local node.
    pub fn is_first(&self) -> bool {
        let mut earlier = self.peers.range(..self.local.node);
        earlier.all(|(_, peer)| !peer.member.state.is_present())
    }

    /// Returns all known members, including the local node.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.local).chain(self.peers.values().map(|peer| &peer.member))
    }

    /// Returns the members whose targets accept calls to `service`.
    pub fn serving(&self, service: &str) -> impl Iterator<Item = &Member> {
        let is_serving = move |m: &&Member| *m.service == *service && m.state.takes_calls();
        self.all().filter(is_serving)
    }

    /// Returns the member with number `node`.
    pub fn find(&self, node: Node) -> Option<&Member> {
        if node == self.local.node {
            return Some(&self.local);
        }
        self.peers.get(&node).map(|peer| &peer.member)
    }

    /// Returns a number that grows with each change of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the shortest recent round-trip time to a data centre, or zero if none is known.
    pub fn rtt(&self, data_centre: &str) -> Duration {
        self.measured_rtt(data_centre).unwrap_or_default()
    }

    pub(crate) fn measured_rtt(&self, data_centre: &str) -> Option<Duration> {
        self.rtts.get(data_centre).copied()
    }

    /// Returns the names of the data centres whose round-trip time is known.
    pub(crate) fn measured(&self) -> impl Iterator<Item = &str> {
        self.rtts.keys().map(|name| &**name)
    }

    /// Returns the member that is recorded at an address.
    pub fn at_address(&self, address: &str) -> Option<&Member> {
        self.find(*self.addresses.get(address)?)
    }

    /// Returns why a member is lost, or `None` if it is not lost.
    pub fn absence(&self, node: Node) -> Option<Absence> {
        let lost = self.peers.get(&node).filter(|peer| peer.member.state == State::Lost)?;
        let data_centre = &lost.member.data_centre;
        let neighbours = self.peers.values().filter(|peer| peer.member.data_centre == *data_centre);
        let running = neighbours.filter(|peer| peer.member.state != State::Left);
        let (mut present, mut absent) = (0, 0);
        for peer in running {
            match peer.member.state.is_present() {
                true => present += 1,
                false => absent += 1,
            }
        }
        let is_majority = absent > 1 && absent > present;
        Some(if is_majority { Absence::Unreachable } else { Absence::Dead })
    }

    /// Merges entries of another member's list. Changes are not gossiped, because each member
    /// syncs its list by itself.
    ///
    /// Returns `true` if the list has changed.
    pub fn merge(&mut self, now: Instant, list: Vec<Member>) -> bool {
        let received = list.len();
        let mut has_changes = false;
        for member in list {
            has_changes |= self.apply_if_newer(now, member);
        }
        if has_changes {
            self.detector.schedule_resync(now, received);
        }
        has_changes
    }

    /// Applies an update about a member. Returns `true` if it has changed the list; the update
    /// is then gossiped.
    pub fn apply_update(&mut self, now: Instant, member: Member) -> bool {
        let (node, data_centre, state) = (member.node, member.data_centre.clone(), member.state);
        let is_new = self.apply_if_newer(now, member);
        if is_new {
            self.updates.add(node, self.peers.len());
            self.note_update(&data_centre, state);
        }
        is_new
    }

    /// Applies an update if it supersedes the known entry, and refutes a wrong one about the
    /// local node. Returns `true` if the list has changed.
    fn apply_if_newer(&mut self, now: Instant, member: Member) -> bool {
        if member.node == self.local.node {
            self.refute(&member);
            return false;
        }
        if self.is_replaced(&member) {
            return false;
        }
        match self.peers.get(&member.node) {
            Some(known) if !member.supersedes(&known.member) => return false,
            None if !member.state.is_present() && member.state != State::Lost => return false,
            _ => {}
        }
        self.put(now, member);
        true
    }

    /// Applies the entry of a datagram's sender. Any other node that is recorded at the sender's
    /// address must have stopped.
    pub(crate) fn apply_direct_update(&mut self, now: Instant, member: Member) {
        let earlier = self.addresses.get(&member.address).copied();
        if let Some(earlier) = earlier.filter(|earlier| *earlier != member.node) {
            self.set_state(now, earlier, State::Left);
        }
        self.apply_update(now, member);
    }

    /// Announces that the target on this host serves `service` with the given number of slots.
    pub fn announce_service(&mut self, service: Box<str>, slots: u16) {
        if (&self.local.service, self.local.slots) == (&service, slots) {
            return;
        }
        self.toggle_digest(&self.local.clone());
        self.local = Member { service, slots, ..self.local.clone() };
        self.local.incarnation += 1;
        self.toggle_digest(&self.local.clone());
        self.updates.add(self.local.node, self.peers.len());
        self.version += 1;
    }

    /// Announces that this node accepts no new requests.
    pub fn announce_leaving(&mut self) {
        self.set_local_state(State::Leaving);
    }

    /// Announces that this node is stopping now.
    pub fn announce_left(&mut self) {
        self.set_local_state(State::Left);
    }

    /// Returns the updates for one datagram and counts them as sent once more.
    pub fn take_updates(&mut self) -> Vec<Member> {
        let nodes = self.updates.take();
        nodes.into_iter().filter_map(|node| self.find(node).cloned()).collect()
    }

    /// Returns the digest of the whole list.
    pub fn digest(&self) -> u64 {
        self.digests.iter().fold(0, |all, digest| all ^ digest)
    }

    /// Returns the digest of each bucket.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// Returns the members of the buckets whose digest differs from `remote`, or of all buckets
    /// if `remote` is not a full list of digests. Only whole buckets are returned, up to the
    /// one in which the number of members exceeds `limit`. The remaining buckets still differ
    /// in the next sync.
    pub fn differing(&self, remote: &[u64], limit: usize) -> Vec<Member> {
        let is_full = remote.len() == BUCKETS;
        let differs = |bucket: usize| !is_full || remote[bucket] != self.digests[bucket];
        let members = self.all().map(|member| (bucket_of(member.node), member));
        let mut members: Vec<_> = members.filter(|(bucket, _)| differs(*bucket)).collect();
        members.sort_by_key(|(bucket, _)| *bucket);
        let last = members.get(limit).map_or(BUCKETS, |(bucket, _)| *bucket);
        let selected = members.into_iter().take_while(|(bucket, _)| *bucket <= last);
        selected.map(|(_, member)| member.clone()).collect()
    }

    /// Moves a member to a later state of the same incarnation and gossips the change.
    pub(crate) fn set_state(&mut self, now: Instant, node: Node, state: State) {
        let Some(peer) = self.peers.get(&node) else {
            return;
        };
        if peer.member.state < state {
            let member = Member { state, ..peer.member.clone() };
            self.put(now, member);
            self.updates.add(node, self.peers.len());
        }
    }

    /// Records a measured round-trip time to a data centre.
    pub(crate) fn record_rtt(&mut self, data_centre: &str, sample: Duration) {
        let was_far = self.is_far(data_centre);
        match self.rtts.get_mut(data_centre) {
            // Lower samples count at once, higher ones slowly, so that the value follows a change
            // of the network.
            Some(rtt) if sample > *rtt => {
                *rtt = (rtt.mul_f64(0.95) + sample.mul_f64(0.05)).min(sample)
            }
            Some(rtt) => *rtt = sample,
            None => {
                self.rtts.insert(data_centre.into(), sample);
            }
        }
        // Routing depends on which data centres are far.
        if self.is_far(data_centre) != was_far {
            self.version += 1;
        }
    }

    /// Removes lost and left members whose retention period is over.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        let retention = |state| match state {
            State::Lost => LOST_RETENTION,
            State::Left => LEFT_RETENTION,
            _ => Duration::MAX,
        };
        let is_expired =
            |peer: &Peer| now.duration_since(peer.since) > retention(peer.member.state);
        let expired: Vec<Node> =
            self.peers.iter().filter(|(_, peer)| is_expired(peer)).map(|(node, _)| *node).collect();
        for node in expired {
            if let Some(peer) = self.peers.remove(&node) {
                self.toggle_digest(&peer.member);
                if self.addresses.get(&peer.member.address) == Some(&node) {
                    self.addresses.remove(&peer.member.address);
                }
            }
        }
    }

    /// Stores an entry that supersedes the known one.
    fn put(&mut self, now: Instant, member: Member) {
        let node = member.node;
        self.replace_earlier(now, &member);
        if let Some(known) = self.peers.remove(&node) {
            self.toggle_digest(&known.member);
        }
        self.toggle_digest(&member);
        self.peers.insert(node, Peer { member, since: now });
        self.version += 1;
    }

    /// Records the member at its address and marks an earlier node there as left. Node numbers
    /// are not reliable after a backward jump of the host's clock (issue 13), so an update that
    /// a node is lost or has left never replaces another node that is present at the address,
    /// whichever number is larger.
    fn replace_earlier(&mut self, now: Instant, member: &Member) {
        let known = self.present_at(&member.address);
        if !member.state.is_present() && known.is_some_and(|node| node != member.node) {
            return;
        }
        let earlier = self.addresses.insert(member.address.clone(), member.node);
        if let Some(earlier) = earlier.filter(|earlier| *earlier < member.node) {
            self.set_state(now, earlier, State::Left);
        }
    }

    /// Whether an unknown member is outdated, because a present node with a larger number is
    /// recorded at its address.
    fn is_replaced(&self, member: &Member) -> bool {
        let is_later = self.present_at(&member.address).is_some_and(|node| node > member.node);
        is_later && !self.peers.contains_key(&member.node)
    }

    /// Returns the members that were lost or left less than `limit` ago and whose addresses
    /// have no other member.
    pub(crate) fn departed_within(
        &self,
        now: Instant,
        limit: Duration,
    ) -> impl Iterator<Item = Node> {
        let departed = self.peers.iter().filter(move |(node, peer)| {
            !peer.member.state.is_present()
                && now.duration_since(peer.since) < limit
                && self.addresses.get(&peer.member.address) == Some(node)
        });
        departed.map(|(node, _)| *node)
    }

    /// Returns the node recorded at an address if it is present.
    fn present_at(&self, address: &str) -> Option<Node> {
        let node = *self.addresses.get(address)?;
        let peer = self.peers.get(&node)?;
        peer.member.state.is_present().then_some(node)
    }

    /// Refutes a wrong update about the local node with a larger incarnation.
    fn refute(&mut self, update: &Member) {
        let is_wrong =
            update.state != self.local.state && update.incarnation >= self.local.incarnation;
        if !is_wrong || self.local.state == State::Left {
            return;
        }
        self.detector.raise_health_penalty();
        let local = self.local.clone();
        self.toggle_digest(&local);
        self.local.incarnation = update.incarnation + 1;
        self.toggle_digest(&self.local.clone());
        self.updates.add(self.local.node, self.peers.len());
        self.version += 1;
    }

    /// Sets the state of the local node and gossips it.
    fn set_local_state(&mut self, state: State) {
        let local = self.local.clone();
        self.toggle_digest(&local);
        self.local.state = state;
        self.toggle_digest(&self.local.clone());
        self.updates.add(self.local.node, self.peers.len());
        self.version += 1;
    }

    /// Adds a member to the digest of its bucket, or removes it again.
    fn toggle_digest(&mut self, member: &Member) {
        self.digests[bucket_of(member.node)] ^= digest_of(member);
    }
}
