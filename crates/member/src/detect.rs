//! Failure detection: pings, pings by others, suspicion.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Node;
use crate::members::Members;
use crate::news::MAX_UPDATES;
use crate::peer::{Member, State};

/// Time between two pings of one member.
const PING_EVERY: Duration = Duration::from_secs(1);
/// Time to wait for an acknowledgement before others are asked.
const ACK_WITHIN: Duration = Duration::from_millis(400);
/// Time to wait for an acknowledgement before the member is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(1000);
/// Time for a suspected member to contradict.
const SUSPICION: Duration = Duration::from_secs(3);
/// Time between two pings of lost members.
const PING_LOST_EVERY: Duration = Duration::from_secs(10);
/// Time after which a member that has gone counts as gone for good, and time between two
/// pings of one that has not. Daemons are started again within a second or two, at the
/// address that they had; where the store is away they know nobody, and others find them.
const RETURN_TIME: Duration = Duration::from_secs(30);
const PING_GONE_EVERY: Duration = Duration::from_millis(500);
/// Time between two comparisons of the whole list, and after one that brought
/// something new.
const SYNC_EVERY: Duration = Duration::from_secs(10);
const SYNC_SOON: Duration = Duration::from_secs(1);
/// Pause after a comparison for each member received, about 110 bytes.
const SYNC_PAUSE_PER_MEMBER: Duration = Duration::from_millis(11);
/// Time between two datagrams that carry news only, while much is to be told.
const NEWS_EVERY: Duration = Duration::from_millis(200);
/// Members asked to ping for this one.
const HELPERS: usize = 3;
/// A tick later than this means that this process itself was paused.
const PAUSED_AFTER: Duration = Duration::from_millis(900);
/// Bound of the doubt in this node's own judgement.
const MAX_DOUBT: u32 = 8;

/// Purpose of a datagram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// Asks for an acknowledgement.
    #[default]
    Ping = 0,
    /// Acknowledges a ping.
    Ack = 1,
    /// Asks the receiver to ping `subject` for the sender.
    PingFor = 2,
    /// Brings news and wants no answer.
    News = 3,
}

/// The code of a kind that does not exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownKind(pub u8);

impl TryFrom<u8> for Kind {
    type Error = UnknownKind;

    fn try_from(code: u8) -> Result<Self, UnknownKind> {
        let kinds = [Self::Ping, Self::Ack, Self::PingFor, Self::News];
        kinds.get(usize::from(code)).copied().ok_or(UnknownKind(code))
    }
}

/// The part of a datagram that membership reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Its purpose.
    pub kind: Kind,
    /// Number that an acknowledgement repeats.
    pub sequence: u64,
    /// The sender, as it describes itself.
    pub sender: Member,
    /// Node that a [`Kind::PingFor`] is about; 0 if none.
    pub subject: Node,
    /// News of members.
    pub updates: Vec<Member>,
    /// Digest of the sender's list.
    pub digest: u64,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: Box<str>,
        /// Its purpose.
        kind: Kind,
        /// Its number.
        sequence: u64,
        /// Node that it is about; 0 if none.
        subject: Node,
    },
    /// Compare the whole list with the member at this address.
    Sync {
        /// Address of the member.
        with: Box<str>,
    },
}

/// Pings under way and the order of those to come.
#[derive(Debug)]
pub(crate) struct Detector {
    sequence: u64,
    pending: HashMap<u64, Ping>,
    order: Vec<Node>,
    last_tick: Instant,
    next_ping: Instant,
    next_lost_ping: Instant,
    next_gone_ping: Instant,
    next_sync: Instant,
    next_news: Instant,
    doubt: u32,
}

#[derive(Debug, Clone)]
struct Ping {
    node: Node,
    sent: Instant,
    helpers_asked: bool,
    /// The member that wants to know, and the number that it gave.
    for_other: Option<(Box<str>, u64)>,
}

impl Detector {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            sequence: 0,
            pending: HashMap::new(),
            order: Vec::new(),
            last_tick: now,
            next_ping: now,
            next_lost_ping: now + PING_LOST_EVERY,
            next_gone_ping: now,
            // A node that has just started knows nothing that it could wait for.
            next_sync: now,
            next_news: now,
            doubt: 0,
        }
    }

    /// Something spoke against this node's own judgement.
    pub(crate) fn observe_doubt(&mut self) {
        self.doubt = (self.doubt + 1).min(MAX_DOUBT);
    }

    /// Lists that differed much are compared again before long: many members
    /// have started, or come back, at once.
    /// The more was `received`, the later, so that the bytes a second are
    /// bounded.
    pub(crate) fn sync_soon(&mut self, now: Instant, received: usize) {
        let pause = SYNC_PAUSE_PER_MEMBER * u32::try_from(received).unwrap_or(u32::MAX);
        self.next_sync = now + pause.max(SYNC_SOON);
    }

    fn patience(&self, time: Duration) -> Duration {
        time * (1 + self.doubt)
    }
}

impl Members {
    /// Does what is due. Call it every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.allow_for_own_pause(now);
        let mut actions = Vec::new();
        self.check_pings(now, &mut actions);
        self.check_suspects(now);
        if now >= self.detector.next_ping {
            self.detector.next_ping = now + PING_EVERY;
            self.ping_next(now, &mut actions);
            self.forget_absent(now);
        }
        if self.news.len() > MAX_UPDATES && now >= self.detector.next_news {
            self.detector.next_news = now + NEWS_EVERY;
            self.tell_one(&mut actions);
        }
        if now >= self.detector.next_lost_ping {
            self.detector.next_lost_ping = now + PING_LOST_EVERY;
            self.ping_lost(now, &mut actions);
        }
        if now >= self.detector.next_gone_ping {
            self.detector.next_gone_ping = now + PING_GONE_EVERY;
            self.ping_gone(now, &mut actions);
        }
        actions
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, now: Instant, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        let from = message.sender.address.clone();
        self.learn_first_hand(now, message.sender);
        for update in message.updates {
            self.learn(now, update);
        }
        match message.kind {
            Kind::Ping => actions.push(send(from.clone(), Kind::Ack, message.sequence, 0)),
            Kind::Ack => self.take_ack(now, message.sequence, &mut actions),
            Kind::PingFor => {
                let asker = Some((from.clone(), message.sequence));
                self.ping(now, message.subject, asker, &mut actions);
            }
            Kind::News => {}
        }
        if message.digest != self.digest() && now >= self.detector.next_sync {
            self.detector.next_sync = now + SYNC_EVERY;
            actions.push(Action::Sync { with: from });
        }
        actions
    }

    /// Datagrams that carry urgent news at once: to `near` members of this node's data
    /// centre, where a hop is short, and to `far` of all others. Of each, those of
    /// `first` come before random ones, in that order.
    pub fn spread(
        &mut self,
        first: impl IntoIterator<Item = Node>,
        near: usize,
        far: usize,
    ) -> Vec<Action> {
        let first: Vec<Node> = first.into_iter().collect();
        let own = self.own.data_centre.clone();
        let mut nodes = self.choose(&first, near, |member| member.data_centre == own);
        nodes.extend(self.choose(&first, far, |member| member.data_centre != own));
        let addresses = nodes.into_iter().filter_map(|node| self.find(node));
        addresses.map(|member| send(member.address.clone(), Kind::News, 0, 0)).collect()
    }

    /// At most `count` present members that are wanted: those of `first`, in that order,
    /// then random ones.
    fn choose(
        &mut self,
        first: &[Node],
        count: usize,
        is_wanted: impl Fn(&Member) -> bool,
    ) -> Vec<Node> {
        let is_wanted = |member: &Member| member.state.is_present() && is_wanted(member);
        let is_known = |node: &Node| self.peers.get(node).is_some_and(|p| is_wanted(&p.member));
        let mut nodes: Vec<Node> = first.iter().copied().filter(is_known).take(count).collect();
        let is_new = |member: &Member| is_wanted(member) && !nodes.contains(&member.node);
        let others = self.pick(count - nodes.len(), is_new);
        nodes.extend(others);
        nodes
    }

    /// What is outstanding from before a pause of this process proves nothing
    /// against others.
    fn allow_for_own_pause(&mut self, now: Instant) {
        let gap = now.duration_since(self.detector.last_tick);
        self.detector.last_tick = now;
        if gap < PAUSED_AFTER {
            return;
        }
        self.detector.pending.clear();
        self.detector.observe_doubt();
        for peer in self.peers.values_mut() {
            if peer.member.state == State::Suspect {
                peer.since = now;
            }
        }
    }

    fn check_pings(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ack_within = self.detector.patience(ACK_WITHIN);
        let suspect_after = self.detector.patience(SUSPECT_AFTER);
        let due: Vec<u64> = self.detector.pending.keys().copied().collect();
        for sequence in due {
            let ping = self.detector.pending[&sequence].clone();
            let age = now.duration_since(ping.sent);
            if age >= suspect_after {
                self.detector.pending.remove(&sequence);
                self.suspect(now, &ping);
            } else if age >= ack_within && !ping.helpers_asked && self.wants_help(&ping) {
                self.ask_helpers(sequence, ping.node, actions);
            }
        }
    }

    /// Whether others are asked to ping, too: not for another member, and not for one
    /// that has stopped by its own word.
    fn wants_help(&self, ping: &Ping) -> bool {
        let has_left = self.find(ping.node).is_none_or(|member| member.state == State::Left);
        ping.for_other.is_none() && !has_left
    }

    fn suspect(&mut self, now: Instant, ping: &Ping) {
        if ping.for_other.is_some() {
            return;
        }
        match self.find(ping.node).map(|member| member.state) {
            Some(State::Alive) => {
                self.detector.observe_doubt();
                self.set_state(now, ping.node, State::Suspect);
            }
            Some(State::Leaving) => self.set_state(now, ping.node, State::Left),
            _ => {}
        }
    }

    fn check_suspects(&mut self, now: Instant) {
        let limit = self.detector.patience(SUSPICION);
        let suspects = self.peers.iter().filter(|(_, peer)| {
            peer.member.state == State::Suspect && now.duration_since(peer.since) >= limit
        });
        let lost: Vec<Node> = suspects.map(|(node, _)| *node).collect();
        for node in lost {
            self.set_state(now, node, State::Lost);
        }
    }

    fn ask_helpers(&mut self, sequence: u64, subject: Node, actions: &mut Vec<Action>) {
        if let Some(ping) = self.detector.pending.get_mut(&sequence) {
            ping.helpers_asked = true;
        }
        let helpers = self.pick(HELPERS + 1, |member| member.state == State::Alive);
        let helpers = helpers.into_iter().filter(|node| *node != subject).take(HELPERS);
        for node in helpers {
            if let Some(helper) = self.find(node) {
                let to = helper.address.clone();
                actions.push(send(to, Kind::PingFor, sequence, subject));
            }
        }
    }

    fn take_ack(&mut self, now: Instant, sequence: u64, actions: &mut Vec<Action>) {
        let Some(ping) = self.detector.pending.remove(&sequence) else {
            return;
        };
        if let Some((asker, number)) = ping.for_other {
            actions.push(send(asker, Kind::Ack, number, 0));
            return;
        }
        self.detector.doubt = self.detector.doubt.saturating_sub(1);
        if !ping.helpers_asked {
            let centre = self.find(ping.node).map(|member| member.data_centre.clone());
            if let Some(centre) = centre {
                self.note_rtt(&centre, now.duration_since(ping.sent));
            }
        }
    }

    /// Pings each member once in a random order before the next round.
    fn ping_next(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(node) = self.detector.order.pop() {
            if self.find(node).is_some_and(|member| member.state.is_present()) {
                self.ping(now, node, None, actions);
                return;
            }
        }
        let present = self.peers.values().filter(|peer| peer.member.state.is_present());
        let mut order: Vec<Node> = present.map(|peer| peer.member.node).collect();
        self.random.shuffle(&mut order);
        if let Some(node) = order.pop() {
            self.detector.order = order;
            self.ping(now, node, None, actions);
        }
    }

    /// Tells a random member more than pings carry.
    fn tell_one(&mut self, actions: &mut Vec<Action>) {
        for node in self.pick(1, |member| member.state.is_present()) {
            if let Some(member) = self.find(node) {
                actions.push(send(member.address.clone(), Kind::News, 0, 0));
            }
        }
    }

    /// A lost member that answers again contradicts its loss.
    fn ping_lost(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let lost = self.pick(1, |member| member.state == State::Lost);
        for node in lost {
            self.news.add(node, 1);
            self.ping(now, node, None, actions);
        }
    }

    /// Another daemon may have started where one has gone a while ago.
    fn ping_gone(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let gone: Vec<Node> = self.gone_since(now, RETURN_TIME).collect();
        if let Some(node) = self.random.choice(gone) {
            self.ping(now, node, None, actions);
        }
    }

    fn ping(
        &mut self,
        now: Instant,
        node: Node,
        for_other: Option<(Box<str>, u64)>,
        actions: &mut Vec<Action>,
    ) {
        let Some(to) = self.find(node).map(|member| member.address.clone()) else {
            return;
        };
        self.detector.sequence += 1;
        let sequence = self.detector.sequence;
        let ping = Ping { node, sent: now, helpers_asked: false, for_other };
        self.detector.pending.insert(sequence, ping);
        actions.push(send(to, Kind::Ping, sequence, 0));
    }

    fn pick(&mut self, count: usize, is_wanted: impl Fn(&Member) -> bool) -> Vec<Node> {
        let wanted = self.peers.values().filter(|peer| is_wanted(&peer.member));
        let nodes: Vec<Node> = wanted.map(|peer| peer.member.node).collect();
        self.random.choose_multiple(nodes, count)
    }
}

fn send(to: Box<str>, kind: Kind, sequence: u64, subject: Node) -> Action {
    Action::Send { to, kind, sequence, subject }
}
