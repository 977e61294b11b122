//! Which datagrams are sent to far data centres.
//!
//! Traffic between data centres is expensive, so datagrams stay within the data centre of the
//! local node as far as possible. A few members of each data centre pass news on to others,
//! where the receivers spread it in their own.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Node;
use crate::detect::{Action, Kind};
use crate::members::Members;
use crate::peer::{Member, State};

/// Interval between pings of members of far data centres. With 29 members, a data centre
/// sends seven a second, which carry updates, so news crosses within some 150 ms.
const FAR_PING_INTERVAL: Duration = Duration::from_secs(4);
/// Interval between pings of a far data centre that may be lost, and the number of its members
/// that are pinged each time. With one member, the loss of a small data centre is noticed later
/// than with pings of all members.
const ALERT_PING_INTERVAL: Duration = Duration::from_millis(500);
const ALERT_PINGS: usize = 3;
/// Mean number of members of one data centre that send urgent news to a far member.
const URGENT_RELAYS: f64 = 8.0;
/// Mean number of members of one data centre that send a round of reads of the store to a far
/// member on each tick. Pings carry it as well. A round that arrives late makes daemons read the
/// store themselves, which costs money; more relays cost bytes, since rounds are most of what an
/// idle fleet sends to other data centres.
const ROUND_RELAYS: f64 = 2.0;
/// Mean number of members of one data centre that compare lists with a far member each time that
/// all of them have reason to. Fewer slow down the return of a data centre after a partition.
const SYNC_RELAYS: f64 = 16.0;
/// Mean number of members of one data centre that look for restarted daemons in far ones each time.
const SEARCH_RELAYS: f64 = 1.0;
/// Mean number of members of one data centre that ping a far data centre of which they have
/// heard that a member is suspected.
const ALERT_RELAYS: f64 = 64.0;
/// Least number of far members, and largest number of far data centres, that a node sends its own
/// news to.
const ORIGIN_FANOUT: usize = 3;
const ORIGIN_DATA_CENTRES: usize = 8;
/// Number of datagrams that carry a new update at once to random members near by. Without them,
/// fewer datagrams would pass than with pings of all members, and updates would spread slower.
const NEWS_SENDS: u32 = 2;

/// Mean time between two announcements of the local target's load to far members, and the time
/// by which announcements may run ahead of this rate: that of a full one to twelve members,
/// twice. A target whose pace keeps changing must not fill the link.
const FAR_LOAD_INTERVAL: Duration = Duration::from_millis(500);
const FAR_LOAD_BURST: Duration = Duration::from_secs(12);

/// Which far members receive urgent news.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FarReach {
    /// The news comes from the local node: a member of each of some data centres.
    Origin,
    /// All members pass the news on: one member, from a few members of each data centre.
    Relay,
    /// All members pass a round of reads of the store on, which other datagrams carry as well:
    /// one member, from one or two members of each data centre.
    Round,
    /// Only these nodes.
    Only(Vec<Node>),
}

/// Far data centres, and those among them that may be lost.
#[derive(Debug, Default)]
pub(crate) struct Locality {
    /// Round-trip time from which on a data centre is far; `None` if none is.
    limit: Option<Duration>,
    /// Far members that are still to be pinged in this round of the rotation.
    pub(crate) order: Vec<Node>,
    /// Time until which the announcements of load so far use up their rate.
    load_budget_used_until: Option<Instant>,
    pub(crate) next_far_ping: Option<Instant>,
    pub(crate) next_alert_ping: Option<Instant>,
    /// Far data centres with a ping that has no acknowledgement, or with a suspected member.
    pub(crate) alerts: Vec<Box<str>>,
    /// Number of datagrams that are still to carry new updates at once.
    pub(crate) news_sends: u32,
}

impl Members {
    /// Sets the round-trip time from which on data centres are far and get few datagrams. None
    /// is far with `None`, which is the default, and none whose round-trip time is unknown.
    pub fn set_locality_rtt(&mut self, limit: Option<Duration>) {
        self.locality.limit = limit;
    }

    /// Whether a data centre is far.
    pub fn is_far(&self, data_centre: &str) -> bool {
        let is_remote = *data_centre != *self.local.data_centre;
        let rtt = self.measured_rtt(data_centre).filter(|_| is_remote);
        self.locality.limit.zip(rtt).is_some_and(|(limit, rtt)| rtt >= limit)
    }

    /// Returns the names of the far data centres.
    pub(crate) fn far_data_centres(&self) -> Vec<Box<str>> {
        match self.locality.limit {
            None => Vec::new(),
            Some(_) => self.measured().filter(|name| self.is_far(name)).map(Box::from).collect(),
        }
    }

    /// Returns datagrams that carry urgent news, as [`Members::spread`] does if no data centre
    /// is far. Otherwise, members near by take the places of `remote` ones, and far members
    /// receive the news as `far` says.
    pub fn spread_near(
        &mut self,
        preferred: impl IntoIterator<Item = Node>,
        local: usize,
        remote: usize,
        far: FarReach,
    ) -> Vec<Action> {
        let far_names = self.far_data_centres();
        if far_names.is_empty() {
            return self.spread(preferred, local, remote);
        }
        let preferred: Vec<Node> = preferred.into_iter().collect();
        let is_far = |member: &Member| far_names.contains(&member.data_centre);
        let near = match far {
            FarReach::Only(_) => local,
            _ => local + remote,
        };
        let own = self.local.data_centre.clone();
        let mut nodes = self.pick_preferred(&preferred, near, |m| m.data_centre == own);
        let is_near_remote = |member: &Member| member.data_centre != own && !is_far(member);
        nodes.extend(self.pick_preferred(&preferred, remote, is_near_remote));
        nodes.extend(match far {
            FarReach::Origin => self.pick_in_each(far_names.clone()),
            FarReach::Relay if self.is_relay(URGENT_RELAYS) => self.pick_random_present(1, is_far),
            FarReach::Round if self.is_relay(ROUND_RELAYS) => self.pick_random_present(1, is_far),
            FarReach::Relay | FarReach::Round => Vec::new(),
            FarReach::Only(far) => {
                let known = far.into_iter().filter(|node| self.find(*node).is_some_and(is_far));
                known.take(remote).collect()
            }
        });
        let receivers = nodes.into_iter().filter_map(|node| self.find(node));
        receivers.map(|member| updates_to(member.address.clone())).collect()
    }

    /// Returns those of `nodes` to which the load of the local target is announced now: far
    /// ones, as many as the rate of announcements permits.
    pub fn admit_far_loads(
        &mut self,
        now: Instant,
        nodes: impl IntoIterator<Item = Node>,
    ) -> Vec<Node> {
        let mut admitted = Vec::new();
        let nodes: Vec<Node> = nodes.into_iter().filter(|node| self.is_far_node(*node)).collect();
        for node in nodes {
            let used_until = self.locality.load_budget_used_until.unwrap_or(now).max(now);
            if used_until + FAR_LOAD_INTERVAL > now + FAR_LOAD_BURST {
                break;
            }
            self.locality.load_budget_used_until = Some(used_until + FAR_LOAD_INTERVAL);
            admitted.push(node);
        }
        admitted
    }

    /// Whether the local node is one of about `relays` members of its data centre, chosen at
    /// random for each piece of news, that pass it on to far members.
    pub(crate) fn is_relay(&mut self, relays: f64) -> bool {
        let members = self.neighbours().count() + 1;
        self.random.f64() * members as f64 <= relays
    }

    /// Whether a list is compared with that of the member at `address`. Of each data centre,
    /// only some members compare with a far one; the others get the differences from them.
    pub(crate) fn may_sync_with(&mut self, data_centre: &str) -> bool {
        let is_alone = self.neighbours().next().is_none();
        is_alone || !self.is_far(data_centre) || self.is_relay(SYNC_RELAYS)
    }

    /// Notes a new update for the datagrams that carry it at once, and a sign that a far data
    /// centre may be lost.
    pub(crate) fn note_update(&mut self, data_centre: &str, state: State) {
        if self.far_data_centres().is_empty() {
            return;
        }
        self.locality.news_sends = NEWS_SENDS;
        if state == State::Suspect && self.is_far(data_centre) && self.is_relay(ALERT_RELAYS) {
            self.raise_alert(data_centre);
        }
    }

    /// Records a sign that a far data centre may be lost.
    pub(crate) fn raise_alert(&mut self, data_centre: &str) {
        let alerts = &mut self.locality.alerts;
        if !alerts.iter().any(|known| **known == *data_centre) {
            alerts.push(data_centre.into());
        }
    }

    /// Returns present members that no member of their own data centre pings, since they are
    /// alone there.
    pub(crate) fn lone_nodes(&self) -> Vec<Node> {
        let mut present: HashMap<&str, (usize, Node)> = HashMap::new();
        for peer in self.peers.values().filter(|peer| peer.member.state.is_present()) {
            let member = &peer.member;
            present.entry(&member.data_centre).or_insert((0, member.node)).0 += 1;
        }
        present.into_values().filter(|(count, _)| *count == 1).map(|(_, node)| node).collect()
    }

    /// Returns the next far member to ping if one is due.
    pub(crate) fn next_far_ping(&mut self, now: Instant) -> Option<Node> {
        let due = self.locality.next_far_ping;
        if due.is_some_and(|due| now < due) {
            return None;
        }
        let far = self.far_data_centres();
        if far.is_empty() {
            return None;
        }
        // A random first pause spreads the pings of members that start together.
        let pause = FAR_PING_INTERVAL.mul_f64(if due.is_some() { 1.0 } else { self.random.f64() });
        self.locality.next_far_ping = Some(now + pause);
        due?;
        let is_far = |member: &Member| far.contains(&member.data_centre);
        while let Some(node) = self.locality.order.pop() {
            if self.find(node).is_some_and(|member| member.state.is_present() && is_far(member)) {
                return Some(node);
            }
        }
        let all = self.pick_random_present(self.peers.len(), is_far);
        self.locality.order = all;
        self.random.shuffle(&mut self.locality.order);
        self.locality.order.pop()
    }

    /// Returns members of a far data centre that may be lost if pings of it are due.
    pub(crate) fn next_alert_pings(&mut self, now: Instant) -> Vec<Node> {
        if self.locality.next_alert_ping.is_some_and(|due| now < due) {
            return Vec::new();
        }
        let Some(data_centre) = self.locality.alerts.first().cloned() else {
            return Vec::new();
        };
        self.locality.next_alert_ping = Some(now + ALERT_PING_INTERVAL);
        self.locality.alerts.rotate_left(1);
        let is_there =
            |member: &Member| member.data_centre == data_centre && member.state == State::Alive;
        let nodes = self.pick_random_present(ALERT_PINGS, is_there);
        if nodes.is_empty() {
            self.clear_alert(&data_centre);
        }
        nodes
    }

    /// Records that a member of a data centre has answered.
    pub(crate) fn clear_alert(&mut self, data_centre: &str) {
        self.locality.alerts.retain(|known| **known != *data_centre);
    }

    /// Records that a ping of a node has no acknowledgement.
    pub(crate) fn alert_if_far(&mut self, node: Node) {
        if let Some(member) = self.find(node).filter(|_| self.is_far_node(node)) {
            let data_centre = member.data_centre.clone();
            self.raise_alert(&data_centre);
        }
    }

    /// Whether a node is in a far data centre.
    pub(crate) fn is_far_node(&self, node: Node) -> bool {
        self.find(node).is_some_and(|member| self.is_far(&member.data_centre))
    }

    /// Removes nodes of far data centres, unless the local node is one of the few of its data
    /// centre that look after them this time.
    pub(crate) fn without_far(&mut self, mut nodes: Vec<Node>) -> Vec<Node> {
        if !self.far_data_centres().is_empty() && !self.is_relay(SEARCH_RELAYS) {
            nodes.retain(|node| !self.is_far_node(*node));
        }
        nodes
    }

    /// Returns the present members of the local data centre without the local node.
    fn neighbours(&self) -> impl Iterator<Item = &Member> {
        let members = self.peers.values().map(|peer| &peer.member);
        let is_neighbour = |member: &&Member| {
            member.state.is_present() && member.data_centre == self.local.data_centre
        };
        members.filter(is_neighbour)
    }

    /// Returns a random member of each of these data centres, up to [`ORIGIN_DATA_CENTRES`], and
    /// further ones up to [`ORIGIN_FANOUT`].
    fn pick_in_each(&mut self, mut data_centres: Vec<Box<str>>) -> Vec<Node> {
        self.random.shuffle(&mut data_centres);
        let mut picked = Vec::new();
        for name in data_centres.iter().take(ORIGIN_DATA_CENTRES) {
            picked.extend(self.pick_random_present(1, |member| member.data_centre == *name));
        }
        let missing = ORIGIN_FANOUT.saturating_sub(picked.len());
        let more = self.pick_random_present(missing, |member| {
            data_centres.contains(&member.data_centre) && !picked.contains(&member.node)
        });
        picked.extend(more);
        picked
    }

    fn pick_random_present(
        &mut self,
        count: usize,
        is_wanted: impl Fn(&Member) -> bool,
    ) -> Vec<Node> {
        self.pick_preferred(&[], count, is_wanted)
    }
}

fn updates_to(to: Box<str>) -> Action {
    Action::Send { to, kind: Kind::Updates, sequence: 0, subject: 0 }
}
