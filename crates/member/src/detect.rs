//! SWIM failure detection: pings, ping requests and suspicion.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Node;
use crate::locality::FarReach;
use crate::members::Members;
use crate::peer::{Member, State};
use crate::update_queue::MAX_UPDATES;

/// Interval between pings of the regular rotation; each goes to one member.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time to wait for an acknowledgement before other members are sent ping requests.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);
/// Time to wait for an acknowledgement, direct or indirect, before a member is suspected.
const PING_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time that a suspected member has to refute the suspicion before it is declared lost.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between pings of lost members; each goes to one of them.
const LOST_PING_INTERVAL: Duration = Duration::from_secs(10);
/// How long the address of a lost or left member is still pinged, in case a new daemon has
/// started there. Daemons are restarted within a second or two at the same
/// address. While the store is down, a restarted daemon cannot find any other member, so the
/// other members have to find it.
const REJOIN_WINDOW: Duration = Duration::from_secs(30);
/// Interval between pings of addresses within [`REJOIN_WINDOW`]; each goes to one of them.
const REJOIN_PING_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two syncs, which compare the whole list with another member's.
const SYNC_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum time before the next sync after one that has changed the list.
const MIN_RESYNC_PAUSE: Duration = Duration::from_secs(1);
/// Time before the next sync for each member received in the last one, about 110 bytes.
const RESYNC_PAUSE_PER_MEMBER: Duration = Duration::from_millis(11);
/// Interval between datagrams that carry only updates. They are sent while more updates are
/// queued than fit into one datagram.
const UPDATES_INTERVAL: Duration = Duration::from_millis(200);
/// Number of members that receive a ping request about an unresponsive member.
const PING_REQUESTS: usize = 3;
/// A longer time between two ticks means that this process itself was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(900);
/// Upper bound of the health penalty.
const MAX_HEALTH_PENALTY: u32 = 8;

/// Purpose of a datagram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// Requests an acknowledgement.
    #[default]
    Ping = 0,
    /// Acknowledges a ping.
    Ack = 1,
    /// Requests the receiver to ping `subject` on behalf of the sender.
    PingRequest = 2,
    /// Carries updates only. The receiver does not reply.
    Updates = 3,
}

/// Error for a code that stands for no [`Kind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownKind(pub u8);

impl TryFrom<u8> for Kind {
    type Error = UnknownKind;

    fn try_from(code: u8) -> Result<Self, UnknownKind> {
        let kinds = [Self::Ping, Self::Ack, Self::PingRequest, Self::Updates];
        kinds.get(usize::from(code)).copied().ok_or(UnknownKind(code))
    }
}

/// The part of a datagram that concerns membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Purpose of the datagram.
    pub kind: Kind,
    /// Sequence number; an acknowledgement repeats the one of its ping.
    pub sequence: u64,
    /// The sender's own entry.
    pub sender: Member,
    /// Node that the receiver of a [`Kind::PingRequest`] pings; 0 in other datagrams.
    pub subject: Node,
    /// Piggybacked updates about members.
    pub updates: Vec<Member>,
    /// Digest of the sender's member list.
    pub digest: u64,
}

/// Something that the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: Box<str>,
        /// Purpose of the datagram.
        kind: Kind,
        /// Sequence number of the datagram.
        sequence: u64,
        /// Node that the receiver of a [`Kind::PingRequest`] pings; 0 in other datagrams.
        subject: Node,
    },
    /// Compare the whole list with the one of another member, and merge what differs.
    Sync {
        /// Address of the member.
        with: Box<str>,
    },
}

/// State of the failure detector: outstanding pings, and when and to whom the next ones go.
#[derive(Debug)]
pub(crate) struct Detector {
    sequence: u64,
    /// Outstanding pings by sequence number.
    pending: HashMap<u64, Ping>,
    /// Members that are still to be pinged in this round of the rotation.
    order: Vec<Node>,
    last_tick: Instant,
    next_ping: Instant,
    next_lost_ping: Instant,
    next_rejoin_ping: Instant,
    next_sync: Instant,
    next_updates: Instant,
    /// Penalty for signs that this node misjudges others, because it is itself slow or badly
    /// connected. Timeouts grow with it, as with the local health multiplier of Lifeguard.
    health_penalty: u32,
}

#[derive(Debug, Clone)]
struct Ping {
    node: Node,
    sent: Instant,
    ping_requests_sent: bool,
    /// Address of the member that sent the ping request, and the sequence number of the request.
    on_behalf_of: Option<(Box<str>, u64)>,
}

impl Detector {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            sequence: 0,
            pending: HashMap::new(),
            order: Vec::new(),
            last_tick: now,
            next_ping: now,
            next_lost_ping: now + LOST_PING_INTERVAL,
            next_rejoin_ping: now,
            // A node that has just started knows only itself, so its first sync is due at once.
            next_sync: now,
            next_updates: now,
            health_penalty: 0,
        }
    }

    /// Records a sign that this node may misjudge others.
    pub(crate) fn raise_health_penalty(&mut self) {
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
    }

    /// Brings the next sync forward after one that has changed the list, since many members
    /// may have started or returned at once. The pause grows with the number of members
    /// `received`, which bounds the bytes per second.
    pub(crate) fn schedule_resync(&mut self, now: Instant, received: usize) {
        let pause = RESYNC_PAUSE_PER_MEMBER * u32::try_from(received).unwrap_or(u32::MAX);
        self.next_sync = now + pause.max(MIN_RESYNC_PAUSE);
    }

    /// Extends a timeout by the health penalty.
    fn scale_timeout(&self, timeout: Duration) -> Duration {
        timeout * (1 + self.health_penalty)
    }
}

impl Members {
    /// Performs all work that is due. The caller calls this method every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.reset_after_pause(now);
        let mut actions = Vec::new();
        self.check_pings(now, &mut actions);
        self.check_suspects(now);
        if now >= self.detector.next_ping {
            self.detector.next_ping = now + PING_INTERVAL;
            self.ping_next(now, &mut actions);
            self.remove_expired(now);
        }
        let alert_pings = self.next_alert_pings(now);
        for node in self.next_far_ping(now).into_iter().chain(alert_pings) {
            self.ping(now, node, None, &mut actions);
        }
        let has_news = self.locality.news_sends > 0;
        if (self.updates.len() > MAX_UPDATES || has_news) && now >= self.detector.next_updates {
            self.detector.next_updates = now + UPDATES_INTERVAL;
            self.send_updates(&mut actions);
        }
        if now >= self.detector.next_lost_ping {
            self.detector.next_lost_ping = now + LOST_PING_INTERVAL;
            self.ping_lost(now, &mut actions);
        }
        if now >= self.detector.next_rejoin_ping {
            self.detector.next_rejoin_ping = now + REJOIN_PING_INTERVAL;
            self.ping_departed(now, &mut actions);
        }
        actions
    }

    /// Processes a received datagram.
    pub fn receive(&mut self, now: Instant, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        let from = message.sender.address.clone();
        let data_centre = message.sender.data_centre.clone();
        self.apply_direct_update(now, message.sender);
        for update in message.updates {
            self.apply_update(now, update);
        }
        match message.kind {
            Kind::Ping => actions.push(send(from.clone(), Kind::Ack, message.sequence, 0)),
            Kind::Ack => self.handle_ack(now, message.sequence, &mut actions),
            Kind::PingRequest => {
                let requester = Some((from.clone(), message.sequence));
                self.ping(now, message.subject, requester, &mut actions);
            }
            Kind::Updates => {}
        }
        let is_sync_due = message.digest != self.digest() && now >= self.detector.next_sync;
        if is_sync_due && self.may_sync_with(&data_centre) {
            self.detector.next_sync = now + SYNC_INTERVAL;
            actions.push(Action::Sync { with: from });
        }
        actions
    }

    /// Returns datagrams that carry urgent updates at once: to `local` members of this node's
    /// data centre, where a hop is short, and to `remote` members of other data centres. In
    /// both groups the nodes of `preferred` are chosen first, in that order, and then random
    /// ones.
    pub fn spread(
        &mut self,
        preferred: impl IntoIterator<Item = Node>,
        local: usize,
        remote: usize,
    ) -> Vec<Action> {
        let preferred: Vec<Node> = preferred.into_iter().collect();
        let data_centre = self.local.data_centre.clone();
        let mut nodes =
            self.pick_preferred(&preferred, local, |member| member.data_centre == data_centre);
        nodes.extend(
            self.pick_preferred(&preferred, remote, |member| member.data_centre != data_centre),
        );
        let addresses = nodes.into_iter().filter_map(|node| self.find(node));
        addresses.map(|member| send(member.address.clone(), Kind::Updates, 0, 0)).collect()
    }

    /// Returns at most `count` present members that satisfy `is_wanted`: first the nodes of
    /// `preferred`, in that order, then random ones.
    pub(crate) fn pick_preferred(
        &mut self,
        preferred: &[Node],
        count: usize,
        is_wanted: impl Fn(&Member) -> bool,
    ) -> Vec<Node> {
        let is_wanted = |member: &Member| member.state.is_present() && is_wanted(member);
        let is_eligible = |node: &Node| self.peers.get(node).is_some_and(|p| is_wanted(&p.member));
        let mut nodes: Vec<Node> =
            preferred.iter().copied().filter(is_eligible).take(count).collect();
        let is_additional = |member: &Member| is_wanted(member) && !nodes.contains(&member.node);
        let random = self.pick_random(count - nodes.len(), is_additional);
        nodes.extend(random);
        nodes
    }

    /// Discards outstanding pings and restarts suspicion timeouts after a pause of this
    /// process, because acknowledgements may have arrived unnoticed during the pause.
    fn reset_after_pause(&mut self, now: Instant) {
        let gap = now.duration_since(self.detector.last_tick);
        self.detector.last_tick = now;
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.detector.pending.clear();
        self.detector.raise_health_penalty();
        for peer in self.peers.values_mut() {
            if peer.member.state == State::Suspect {
                peer.since = now;
            }
        }
    }

    /// Sends ping requests for late acknowledgements and ends pings that have timed out.
    fn check_pings(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ack_timeout = self.detector.scale_timeout(ACK_TIMEOUT);
        let ping_timeout = self.detector.scale_timeout(PING_TIMEOUT);
        let sequences: Vec<u64> = self.detector.pending.keys().copied().collect();
        for sequence in sequences {
            let ping = self.detector.pending[&sequence].clone();
            let age = now.duration_since(ping.sent);
            if age >= ping_timeout {
                self.detector.pending.remove(&sequence);
                self.suspect(now, &ping);
            } else if age >= ack_timeout
                && !ping.ping_requests_sent
                && self.needs_ping_requests(&ping)
            {
                self.send_ping_requests(sequence, ping.node, actions);
                self.alert_if_far(ping.node);
            }
        }
    }

    /// Whether other members are requested to ping the node, too. They are not if the ping
    /// was itself requested, or if the node has announced that it has stopped.
    fn needs_ping_requests(&self, ping: &Ping) -> bool {
        let has_left = self.find(ping.node).is_none_or(|member| member.state == State::Left);
        ping.on_behalf_of.is_none() && !has_left
    }

    /// Handles a ping that has timed out.
    fn suspect(&mut self, now: Instant, ping: &Ping) {
        if ping.on_behalf_of.is_some() {
            return;
        }
        match self.find(ping.node).map(|member| member.state) {
            Some(State::Alive) => {
                // Pings within the data centre show whether this node misjudges others. While
                // a far data centre is lost, those to it would raise all timeouts.
                if !self.is_far_node(ping.node) {
                    self.detector.raise_health_penalty();
                }
                self.set_state(now, ping.node, State::Suspect);
            }
            Some(State::Leaving) => self.set_state(now, ping.node, State::Left),
            _ => {}
        }
    }

    /// Declares members lost that have not refuted their suspicion in time.
    fn check_suspects(&mut self, now: Instant) {
        let limit = self.detector.scale_timeout(SUSPICION_TIMEOUT);
        let suspects = self.peers.iter().filter(|(_, peer)| {
            peer.member.state == State::Suspect && now.duration_since(peer.since) >= limit
        });
        let lost: Vec<Node> = suspects.map(|(node, _)| *node).collect();
        for node in lost {
            self.set_state(now, node, State::Lost);
        }
    }

    fn send_ping_requests(&mut self, sequence: u64, subject: Node, actions: &mut Vec<Action>) {
        if let Some(ping) = self.detector.pending.get_mut(&sequence) {
            ping.ping_requests_sent = true;
        }
        let far = self.far_data_centres();
        let is_near_subject = self
            .find(subject)
            .is_some_and(|member| member.data_centre == self.local.data_centre && !far.is_empty());
        let receivers = self.pick_random(PING_REQUESTS + 1, |member| {
            let is_far = is_near_subject && far.contains(&member.data_centre);
            member.state == State::Alive && !is_far
        });
        let receivers = receivers.into_iter().filter(|node| *node != subject).take(PING_REQUESTS);
        for node in receivers {
            if let Some(receiver) = self.find(node) {
                let to = receiver.address.clone();
                actions.push(send(to, Kind::PingRequest, sequence, subject));
            }
        }
    }

    fn handle_ack(&mut self, now: Instant, sequence: u64, actions: &mut Vec<Action>) {
        let Some(ping) = self.detector.pending.remove(&sequence) else {
            return;
        };
        if let Some((requester, requested)) = ping.on_behalf_of {
            actions.push(send(requester, Kind::Ack, requested, 0));
            return;
        }
        self.detector.health_penalty = self.detector.health_penalty.saturating_sub(1);
        let data_centre = self.find(ping.node).map(|member| member.data_centre.clone());
        if let Some(data_centre) = data_centre {
            if !ping.ping_requests_sent {
                self.record_rtt(&data_centre, now.duration_since(ping.sent));
            }
            self.clear_alert(&data_centre);
        }
    }

    /// Pings the next member of the rotation. Each round pings all present members once, in
    /// random order, without those of far data centres that have others to ping them.
    fn ping_next(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let far = self.far_data_centres();
        let lone = if far.is_empty() { Vec::new() } else { self.lone_nodes() };
        let is_in_rotation = |member: &Member| {
            member.state.is_present()
                && (!far.contains(&member.data_centre) || lone.contains(&member.node))
        };
        while let Some(node) = self.detector.order.pop() {
            if self.find(node).is_some_and(is_in_rotation) {
                self.ping(now, node, None, actions);
                return;
            }
        }
        let present = self.peers.values().filter(|peer| is_in_rotation(&peer.member));
        let mut order: Vec<Node> = present.map(|peer| peer.member.node).collect();
        self.random.shuffle(&mut order);
        if let Some(node) = order.pop() {
            self.detector.order = order;
            self.ping(now, node, None, actions);
        }
    }

    /// Sends queued updates to one random member, and new ones from a few members of each data
    /// centre to a far member as well.
    fn send_updates(&mut self, actions: &mut Vec<Action>) {
        let far = self.far_data_centres();
        if !far.is_empty() {
            self.locality.news_sends = self.locality.news_sends.saturating_sub(1);
            actions.extend(self.spread_near([], 1, 0, FarReach::Relay));
            return;
        }
        self.locality.news_sends = 0;
        for node in self.pick_random(1, |member| member.state.is_present()) {
            if let Some(member) = self.find(node) {
                actions.push(send(member.address.clone(), Kind::Updates, 0, 0));
            }
        }
    }

    /// Pings one lost member, with an update that it is lost. If the member is reachable
    /// again, it refutes this update and thereby returns.
    fn ping_lost(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let lost = self.pick_random(1, |member| member.state == State::Lost);
        for node in lost {
            self.updates.add(node, 1);
            self.ping(now, node, None, actions);
        }
    }

    /// Pings one address of a recently departed member, where another daemon may have started.
    fn ping_departed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let departed: Vec<Node> = self.departed_within(now, REJOIN_WINDOW).collect();
        let departed = self.without_far(departed);
        if let Some(node) = self.random.choice(departed) {
            self.ping(now, node, None, actions);
        }
    }

    /// Sends a ping to a node; `on_behalf_of` is set if another member has requested it.
    fn ping(
        &mut self,
        now: Instant,
        node: Node,
        on_behalf_of: Option<(Box<str>, u64)>,
        actions: &mut Vec<Action>,
    ) {
        let Some(to) = self.find(node).map(|member| member.address.clone()) else {
            return;
        };
        self.detector.sequence += 1;
        let sequence = self.detector.sequence;
        let ping = Ping { node, sent: now, ping_requests_sent: false, on_behalf_of };
        self.detector.pending.insert(sequence, ping);
        actions.push(send(to, Kind::Ping, sequence, 0));
    }

    /// Returns at most `count` random members that satisfy `is_wanted`.
    fn pick_random(&mut self, count: usize, is_wanted: impl Fn(&Member) -> bool) -> Vec<Node> {
        let wanted = self.peers.values().filter(|peer| is_wanted(&peer.member));
        let nodes: Vec<Node> = wanted.map(|peer| peer.member.node).collect();
        self.random.choose_multiple(nodes, count)
    }
}

fn send(to: Box<str>, kind: Kind, sequence: u64, subject: Node) -> Action {
    Action::Send { to, kind, sequence, subject }
}
