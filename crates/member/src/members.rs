//! The member list of one node.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::Node;
use crate::detect::Detector;
use crate::digest::{BUCKETS, bucket_of, digest_of};
use crate::news::News;
use crate::peer::{Absence, Member, Peer, State};

/// How long a lost member is remembered and pinged now and then.
const REMEMBER_LOST: Duration = Duration::from_secs(2 * 3600);
/// How long a member that left is remembered, so that old news of it is known
/// to be old.
const REMEMBER_LEFT: Duration = Duration::from_secs(600);

/// All members that one node knows, and the news that it still has to tell.
#[derive(Debug)]
pub struct Members {
    pub(crate) own: Member,
    pub(crate) peers: BTreeMap<Node, Peer>,
    addresses: HashMap<Box<str>, Node>,
    pub(crate) news: News,
    pub(crate) detector: Detector,
    pub(crate) random: fastrand::Rng,
    rtts: HashMap<Box<str>, Duration>,
    digests: Vec<u64>,
    version: u64,
}

impl Members {
    /// The list of a node that knows itself only.
    pub fn new(now: Instant, own: Member, seed: u64) -> Self {
        let mut members = Self {
            own,
            peers: BTreeMap::new(),
            addresses: HashMap::new(),
            news: News::default(),
            detector: Detector::new(now),
            random: fastrand::Rng::with_seed(seed),
            rtts: HashMap::new(),
            digests: vec![0; BUCKETS],
            version: 0,
        };
        members.toggle_digest(&members.own.clone());
        members.news.add(members.own.node, 1);
        members
    }

    /// This node as it describes itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Number of present members, this node included.
    pub fn count_present(&self) -> usize {
        let present = self.peers.values().filter(|peer| peer.member.state.is_present());
        present.count() + 1
    }

    /// Number of present members in this node's data centre that started before it.
    pub fn count_earlier(&self) -> usize {
        let members = self.peers.values().map(|peer| &peer.member);
        let near = members.filter(|member| member.data_centre == self.own.data_centre);
        near.filter(|member| member.state.is_present() && member.node < self.own.node).count()
    }

    /// All known members, this node included.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.peers.values().map(|peer| &peer.member))
    }

    /// The members whose targets take calls of `service`.
    pub fn serving(&self, service: &str) -> impl Iterator<Item = &Member> {
        let is_serving = move |m: &&Member| *m.service == *service && m.state.takes_calls();
        self.all().filter(is_serving)
    }

    /// The member with number `node`.
    pub fn find(&self, node: Node) -> Option<&Member> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.peers.get(&node).map(|peer| &peer.member)
    }

    /// Grows whenever the list changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Shortest round trip seen lately to a data centre.
    pub fn rtt(&self, data_centre: &str) -> Duration {
        self.rtts.get(data_centre).copied().unwrap_or_default()
    }

    /// Why a lost member is not there.
    pub fn absence(&self, node: Node) -> Option<Absence> {
        let lost = self.peers.get(&node).filter(|peer| peer.member.state == State::Lost)?;
        let centre = &lost.member.data_centre;
        let neighbours = self.peers.values().filter(|peer| peer.member.data_centre == *centre);
        let known = neighbours.filter(|peer| peer.member.state != State::Left);
        let (mut present, mut absent) = (0, 0);
        for peer in known {
            match peer.member.state.is_present() {
                true => present += 1,
                false => absent += 1,
            }
        }
        let is_most = absent > 1 && absent > present;
        Some(if is_most { Absence::Unreachable } else { Absence::Dead })
    }

    /// Takes in another member's list. What is new here is not told on: each
    /// member compares lists by itself.
    ///
    /// `true` when there was something new.
    pub fn merge(&mut self, now: Instant, list: Vec<Member>) -> bool {
        let received = list.len();
        let mut has_news = false;
        for member in list {
            has_news |= self.accept(now, member);
        }
        if has_news {
            self.detector.sync_soon(now, received);
        }
        has_news
    }

    /// Takes in a statement about a member. `true` when it was news, which this
    /// node then tells on.
    pub fn learn(&mut self, now: Instant, member: Member) -> bool {
        let node = member.node;
        let is_news = self.accept(now, member);
        if is_news {
            self.news.add(node, self.peers.len());
        }
        is_news
    }

    fn accept(&mut self, now: Instant, member: Member) -> bool {
        if member.node == self.own.node {
            self.contradict(&member);
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

    /// Takes in what a member says of itself in a datagram of its own.
    pub(crate) fn learn_first_hand(&mut self, now: Instant, member: Member) {
        let earlier = self.addresses.get(&member.address).copied();
        if let Some(earlier) = earlier.filter(|earlier| *earlier != member.node) {
            self.set_state(now, earlier, State::Left);
        }
        self.learn(now, member);
    }

    /// Announces that the target beside this node answers for a service.
    pub fn serve(&mut self, service: Box<str>, slots: u16) {
        if (&self.own.service, self.own.slots) == (&service, slots) {
            return;
        }
        self.toggle_digest(&self.own.clone());
        self.own = Member { service, slots, ..self.own.clone() };
        self.own.incarnation += 1;
        self.toggle_digest(&self.own.clone());
        self.news.add(self.own.node, self.peers.len());
        self.version += 1;
    }

    /// Announces that this node takes no new work.
    pub fn leave(&mut self) {
        self.change_own(State::Leaving);
    }

    /// Announces that this node stops now.
    pub fn left(&mut self) {
        self.change_own(State::Left);
    }

    /// The news for one datagram.
    pub fn take_news(&mut self) -> Vec<Member> {
        let nodes = self.news.take();
        nodes.into_iter().filter_map(|node| self.find(node).cloned()).collect()
    }

    /// Digest of the whole list.
    pub fn digest(&self) -> u64 {
        self.digests.iter().fold(0, |all, digest| all ^ digest)
    }

    /// Digest of each bucket.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// The members of the buckets whose digest differs from `theirs`, or of all
    /// buckets when `theirs` is not a full list of digests. Whole buckets are
    /// given until there are `enough` members; the rest differs next time.
    pub fn differing(&self, theirs: &[u64], enough: usize) -> Vec<Member> {
        let is_full = theirs.len() == BUCKETS;
        let differs = |bucket: usize| !is_full || theirs[bucket] != self.digests[bucket];
        let placed = self.all().map(|member| (bucket_of(member.node), member));
        let mut placed: Vec<_> = placed.filter(|(bucket, _)| differs(*bucket)).collect();
        placed.sort_by_key(|(bucket, _)| *bucket);
        let last = placed.get(enough).map_or(BUCKETS, |(bucket, _)| *bucket);
        let given = placed.into_iter().take_while(|(bucket, _)| *bucket <= last);
        given.map(|(_, member)| member.clone()).collect()
    }

    pub(crate) fn set_state(&mut self, now: Instant, node: Node, state: State) {
        let Some(peer) = self.peers.get(&node) else {
            return;
        };
        if peer.member.state < state {
            let member = Member { state, ..peer.member.clone() };
            self.put(now, member);
            self.news.add(node, self.peers.len());
        }
    }

    pub(crate) fn note_rtt(&mut self, data_centre: &str, sample: Duration) {
        match self.rtts.get_mut(data_centre) {
            // The shortest trips count; a slow rise follows a changed network.
            Some(rtt) if sample > *rtt => {
                *rtt = (rtt.mul_f64(0.95) + sample.mul_f64(0.05)).min(sample)
            }
            Some(rtt) => *rtt = sample,
            None => {
                self.rtts.insert(data_centre.into(), sample);
            }
        }
    }

    pub(crate) fn forget_absent(&mut self, now: Instant) {
        let limit = |state| match state {
            State::Lost => REMEMBER_LOST,
            State::Left => REMEMBER_LEFT,
            _ => Duration::MAX,
        };
        let is_over = |peer: &Peer| now.duration_since(peer.since) > limit(peer.member.state);
        let over: Vec<Node> =
            self.peers.iter().filter(|(_, peer)| is_over(peer)).map(|(node, _)| *node).collect();
        for node in over {
            if let Some(peer) = self.peers.remove(&node) {
                self.toggle_digest(&peer.member);
                if self.addresses.get(&peer.member.address) == Some(&node) {
                    self.addresses.remove(&peer.member.address);
                }
            }
        }
    }

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

    /// A later node at an address means that the earlier one has stopped. After a jump
    /// of the host's clock the numbers tell nothing: a present node stays when one with
    /// a larger number is said to be gone.
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

    fn is_replaced(&self, member: &Member) -> bool {
        let is_later = self.present_at(&member.address).is_some_and(|node| node > member.node);
        is_later && !self.peers.contains_key(&member.node)
    }

    /// Members that have gone less than `limit` ago and whose addresses have no other.
    pub(crate) fn gone_since(&self, now: Instant, limit: Duration) -> impl Iterator<Item = Node> {
        let gone = self.peers.iter().filter(move |(node, peer)| {
            !peer.member.state.is_present()
                && now.duration_since(peer.since) < limit
                && self.addresses.get(&peer.member.address) == Some(node)
        });
        gone.map(|(node, _)| *node)
    }

    /// The node at an address, if it is present.
    fn present_at(&self, address: &str) -> Option<Node> {
        let node = *self.addresses.get(address)?;
        let peer = self.peers.get(&node)?;
        peer.member.state.is_present().then_some(node)
    }

    fn contradict(&mut self, said: &Member) {
        let is_wrong = said.state != self.own.state && said.incarnation >= self.own.incarnation;
        if !is_wrong || self.own.state == State::Left {
            return;
        }
        self.detector.observe_doubt();
        let own = self.own.clone();
        self.toggle_digest(&own);
        self.own.incarnation = said.incarnation + 1;
        self.toggle_digest(&self.own.clone());
        self.news.add(self.own.node, self.peers.len());
        self.version += 1;
    }

    fn change_own(&mut self, state: State) {
        let own = self.own.clone();
        self.toggle_digest(&own);
        self.own.state = state;
        self.toggle_digest(&self.own.clone());
        self.news.add(self.own.node, self.peers.len());
        self.version += 1;
    }

    fn toggle_digest(&mut self, member: &Member) {
        self.digests[bucket_of(member.node)] ^= digest_of(member);
    }
}
