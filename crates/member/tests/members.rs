//! Member lists that exchange datagrams over a simulated network with loss and partitions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use member::{Absence, Action, Kind, Member, Members, Message, RecentRequesters, State};
use quickcheck::quickcheck;

const TICK: Duration = Duration::from_millis(100);

/// Member lists of several nodes and the simulated network between them.
struct Network {
    now: Instant,
    lists: BTreeMap<u64, Members>,
    /// Nodes that neither tick nor receive datagrams.
    silent: Vec<u64>,
    /// Nodes on one side of a network partition; empty if there is none.
    partitioned: Vec<u64>,
    /// One of this many datagrams is lost on average.
    lose_one_in: u64,
    random: fastrand::Rng,
    datagrams: u64,
}

fn member(node: u64) -> Member {
    Member {
        node,
        incarnation: 0,
        state: State::Alive,
        address: format!("10.0.{}.{}:1", node / 250, node % 250).into(),
        data_centre: if node <= 4 { "one" } else { "two" }.into(),
        service: "desk".into(),
        slots: 4,
    }
}

impl Network {
    /// Creates `count` lists that contain all nodes from the start.
    fn new(count: u64, seed: u64) -> Self {
        Self::with_known(count, seed, |_| 1..=count)
    }

    /// Creates `count` lists that contain the nodes given by `known` at first.
    fn with_known(
        count: u64,
        seed: u64,
        known: impl Fn(u64) -> std::ops::RangeInclusive<u64>,
    ) -> Self {
        let now = Instant::now();
        let mut lists = BTreeMap::new();
        for node in 1..=count {
            let mut members = Members::new(now, member(node), seed + node);
            members.merge(now, known(node).map(member).collect());
            lists.insert(node, members);
        }
        Self {
            now,
            lists,
            silent: Vec::new(),
            partitioned: Vec::new(),
            lose_one_in: u64::MAX,
            random: fastrand::Rng::with_seed(seed),
            datagrams: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let nodes: Vec<u64> = self.lists.keys().copied().collect();
            for node in nodes {
                if !self.silent.contains(&node) {
                    let actions = self.lists.get_mut(&node).expect("listed").tick(self.now);
                    self.perform(node, actions);
                }
            }
        }
    }

    fn perform(&mut self, from: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, kind, sequence, subject } => {
                    let list = self.lists.get_mut(&from).expect("listed");
                    let message = Message {
                        kind,
                        sequence,
                        sender: list.local().clone(),
                        subject,
                        updates: list.take_updates(),
                        digest: list.digest(),
                    };
                    self.deliver(from, &to, message);
                }
                Action::Sync { with } => self.sync(from, &with),
            }
        }
    }

    fn reachable(&self, from: u64, to: &str) -> Option<u64> {
        let to = *self.lists.iter().find(|(_, list)| *list.local().address == *to)?.0;
        let is_separated = self.partitioned.contains(&from) != self.partitioned.contains(&to);
        let is_silent = self.silent.contains(&from) || self.silent.contains(&to);
        (!is_separated && !is_silent).then_some(to)
    }

    fn deliver(&mut self, from: u64, to: &str, message: Message) {
        self.datagrams += 1;
        let Some(to) = self.reachable(from, to) else {
            return;
        };
        if self.random.u64(..).is_multiple_of(self.lose_one_in) {
            return;
        }
        let actions = self.lists.get_mut(&to).expect("listed").receive(self.now, message);
        self.perform(to, actions);
    }

    fn sync(&mut self, from: u64, with: &str) {
        let Some(with) = self.reachable(from, with) else {
            return;
        };
        let digests = self.lists[&from].digests().to_vec();
        let members = self.lists[&with].differing(&digests, 3);
        let list = self.lists.get_mut(&from).expect("listed");
        list.merge(self.now, members);
    }

    fn state(&self, at: u64, about: u64) -> Option<State> {
        self.lists[&at].find(about).map(|member| member.state)
    }

    fn all_alive(&self) -> bool {
        let nodes: Vec<u64> = self.lists.keys().copied().collect();
        nodes
            .iter()
            .all(|at| nodes.iter().all(|about| self.state(*at, *about) == Some(State::Alive)))
    }
}

#[test]
fn no_member_is_lost_while_all_answer_despite_datagram_loss() {
    for seed in 0..5 {
        let mut network = Network::new(8, seed);
        network.lose_one_in = 20;
        network.run(Duration::from_secs(120));
        let is_lost = |at: u64| (1..=8).any(|about| network.state(at, about) == Some(State::Lost));
        assert!(!(1..=8).any(is_lost), "seed {seed}");
    }
}

#[test]
fn nodes_started_together_discover_all_members_within_15_seconds() {
    let mut network = Network::with_known(100, 6, |_| 1..=3);
    network.run(Duration::from_secs(15));
    assert!(network.all_alive());
}

#[test]
fn a_paused_member_is_lost_everywhere_and_all_are_alive_after_it_resumes() {
    let mut network = Network::new(8, 3);
    network.run(Duration::from_secs(5));
    network.silent = vec![3];
    network.run(Duration::from_secs(60));
    for at in [1, 2, 4, 5, 6, 7, 8] {
        assert_eq!(network.state(at, 3), Some(State::Lost));
        assert_eq!(network.lists[&at].absence(3), Some(Absence::Dead));
    }
    network.silent = Vec::new();
    network.run(Duration::from_secs(120));
    assert!(network.all_alive(), "after the pause, some member is not alive everywhere");
}

#[test]
fn partitions_merge_after_an_hour_with_bounded_traffic() {
    let mut network = Network::new(8, 4);
    network.run(Duration::from_secs(10));
    network.partitioned = vec![5, 6, 7, 8];
    network.run(Duration::from_secs(3600));
    assert_eq!(network.state(1, 5), Some(State::Lost));
    assert_eq!(network.lists[&1].absence(5), Some(Absence::Unreachable));
    let before = network.datagrams;
    network.partitioned = Vec::new();
    network.run(Duration::from_secs(120));
    assert!(network.all_alive(), "the two sides do not merge");
    let each_second = (network.datagrams - before) / (8 * 120);
    assert!(each_second <= 6, "{each_second} datagrams per second and member");
}

#[test]
fn a_leaving_member_takes_no_calls_and_is_not_suspected() {
    let mut network = Network::new(8, 5);
    network.lists.get_mut(&2).expect("listed").announce_leaving();
    network.run(Duration::from_secs(10));
    for at in 1..=8 {
        assert_eq!(network.state(at, 2), Some(State::Leaving));
        assert_eq!(network.lists[&at].serving("desk").count(), 7);
    }
    network.lists.get_mut(&2).expect("listed").announce_left();
    network.run(Duration::from_secs(1));
    network.silent = vec![2];
    network.run(Duration::from_secs(30));
    assert!((1..=8).filter(|at| *at != 2).all(|at| network.state(at, 2) == Some(State::Left)));
}

#[test]
fn a_new_node_at_an_address_replaces_the_earlier_one() {
    let now = Instant::now();
    let mut members = Members::new(now, member(1), 1);
    members.apply_update(now, member(2));
    let later = Member { node: 200, ..member(2) };
    assert!(members.apply_update(now, later));
    assert_eq!(members.find(2).map(|member| member.state), Some(State::Left));
    assert!(
        !members.apply_update(now, Member { incarnation: 0, ..member(2) }),
        "an outdated update was applied"
    );
    assert_eq!(members.serving("desk").count(), 2);
}

/// Issue 13: after a host's clock had jumped back, the restarted daemon had a smaller node
/// number, and the other members took it for the earlier daemon for ten minutes.
#[test]
fn a_restart_after_a_backward_clock_jump_is_detected() {
    let mut network = Network::new(8, 3);
    network.run(Duration::from_secs(2));
    network.lists.remove(&5);
    network.run(Duration::from_millis(300));
    let restarted = Member { node: 0, ..member(5) };
    let mut members = Members::new(network.now, restarted, 9);
    members.merge(network.now, vec![member(1), member(6)]);
    network.lists.insert(0, members);
    network.run(Duration::from_secs(3));
    for at in [0, 1, 2, 3, 4, 6, 7, 8] {
        assert_eq!(network.state(at, 0), Some(State::Alive), "at {at}");
        assert!(network.state(at, 5).is_none_or(|state| state >= State::Lost), "at {at}");
    }
    network.run(Duration::from_secs(60));
    assert_eq!(network.state(2, 0), Some(State::Alive), "a minute later");
}

/// The same clock jump as in issue 13, with updates about the earlier daemon that arrive late.
#[test]
fn late_updates_about_an_earlier_start_do_not_remove_a_later_node_with_a_smaller_number() {
    let now = Instant::now();
    let mut members = Members::new(now, member(1), 1);
    members.apply_update(now, Member { state: State::Left, ..member(5) });
    let restarted = Member { node: 0, ..member(5) };
    members.apply_update(now, member(5));
    members.apply_update(now, Member { state: State::Left, ..member(5) });
    assert!(members.apply_update(now, restarted));
    members.apply_update(now, Member { state: State::Lost, incarnation: 1, ..member(5) });
    assert_eq!(members.find(0).map(|member| member.state), Some(State::Alive));
}

/// A daemon whose target is used by a few of many members has an urgent update. Sent only to
/// random members, it would reach hardly any of those that use the target.
#[test]
fn recent_requesters_receive_updates_first() {
    let now = Instant::now();
    let mut members = Members::new(now, member(1), 1);
    members.merge(now, (2..=1000).map(member).collect());
    let mut requesters = RecentRequesters::default();
    for node in (400..500).chain([1, 7000]).chain(408..421) {
        requesters.record(node);
    }
    members.apply_update(now, Member { state: State::Left, incarnation: 1, ..member(420) });
    let receivers: Vec<Box<str>> = members
        .spread(requesters.latest(), 12, 12)
        .into_iter()
        .filter_map(|action| match action {
            Action::Send { to, kind: Kind::Updates, .. } => Some(to),
            _ => None,
        })
        .collect();
    assert_eq!(receivers.len(), 15, "three in the local data centre and twelve in the other");
    for requester in 408..420 {
        assert!(receivers.contains(&member(requester).address), "{requester} is a requester");
    }
    assert!(!receivers.contains(&member(420).address), "node 420 has left");
    assert_eq!(members.spread([401], 12, 12).len(), 15, "random members fill up the list");
}

quickcheck! {
    fn updates_in_any_order_give_equal_lists(updates: Vec<(u8, u8, u8)>, seed: u64) -> bool {
        let now = Instant::now();
        let update = |(node, incarnation, state): (u8, u8, u8)| Member {
            node: u64::from(node % 6) + 2,
            incarnation: u64::from(incarnation % 4),
            state: State::try_from(state % 5).expect("a known state"),
            ..member(u64::from(node % 6) + 2)
        };
        let updates: Vec<Member> = updates.into_iter().map(update).collect();
        let mut shuffled = updates.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let mut one = Members::new(now, member(1), 1);
        let mut other = Members::new(now, member(1), 2);
        for node in 2..8 {
            one.apply_update(now, member(node));
            other.apply_update(now, member(node));
        }
        for member in updates {
            one.apply_update(now, member);
        }
        for member in shuffled {
            other.apply_update(now, member);
        }
        one.digest() == other.digest() && one.digests() == other.digests()
    }
}

/// Issue 10: when all processes started at the same moment, a node that was contacted by the
/// first running one knew only that node for a second, and sent it all its requests.
#[test]
fn a_new_node_syncs_at_its_first_contact() {
    let now = Instant::now();
    let mut earlier = Members::new(now, member(2), 2);
    earlier.merge(now, (3..=6).map(member).collect());
    let contact = Message {
        kind: Kind::Updates,
        sequence: 0,
        sender: earlier.local().clone(),
        subject: 0,
        updates: Vec::new(),
        digest: earlier.digest(),
    };
    let mut new = Members::new(now, member(1), 1);
    let soon = now + Duration::from_millis(5);
    let with = member(2).address;
    assert_eq!(new.receive(soon, contact.clone()), [Action::Sync { with }]);
    new.merge(soon, earlier.differing(new.digests(), 1000));
    assert_eq!(new.serving("desk").count(), 6);
    assert_eq!(new.receive(soon, contact), [], "the next sync is due in a second");
}

/// Only the earliest members of each data centre use the store. Each member derives from its
/// own list whether it is one of them.
#[test]
fn count_earlier_counts_only_members_of_the_same_data_centre() {
    let network = Network::new(12, 3);
    let earlier: Vec<usize> = network.lists.values().map(Members::count_earlier).collect();
    assert_eq!(earlier, [0, 1, 2, 3, 0, 1, 2, 3, 4, 5, 6, 7]);
}

/// Guards against incident inc-5ca9 (bench, empadas-vale): during a rolling restart while the
/// store was down, a daemon that had left as planned was alone for seven seconds. A restarted
/// daemon knows no other member and cannot read the table from the store, so only the members
/// that knew its earlier process can find it.
#[test]
fn a_daemon_restarted_after_a_planned_stop_is_rediscovered() {
    for count in [6, 14, 60] {
        let mut network = Network::new(count, 3);
        network.run(Duration::from_secs(2));
        network.lists.get_mut(&2).expect("listed").announce_left();
        network.run(Duration::from_secs(2));
        network.lists.remove(&2);
        network.run(Duration::from_millis(700));
        let restarted = Member { node: 1000, ..member(2) };
        network.lists.insert(1000, Members::new(network.now, restarted, 9));
        network.run(Duration::from_secs(1));
        let known = network.lists[&1000].count_present();
        assert_eq!(known, count as usize, "of {count}");
    }
}

/// Hosts that do not return must cost only a bounded number of datagrams.
#[test]
fn departed_hosts_are_not_pinged_for_ever() {
    let mut network = Network::new(30, 3);
    network.run(Duration::from_secs(2));
    for node in 21..=30 {
        network.lists.get_mut(&node).expect("listed").announce_left();
        network.run(Duration::from_millis(200));
        network.lists.remove(&node);
    }
    network.run(Duration::from_secs(60));
    let before = network.datagrams;
    network.run(Duration::from_secs(10));
    let each_second = (network.datagrams - before) as f64 / 10.0 / 20.0;
    // A ping and its acknowledgement each second; every ten seconds a ping of a lost member,
    // which three other members are requested to ping, too.
    let expected = 2.0 + 0.1 * (1.0 + 2.0 * 3.0);
    assert!(each_second < expected + 0.1, "{each_second} datagrams per second and member");
}
