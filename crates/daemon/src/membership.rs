//! Service that owns the member list and the gossip socket.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use admit::Hold;
use futures_lite::FutureExt;
use kernel::{Inbox, Kernel, Mailbox, Reply};
use member::{
    Action, Evacuation, EvacuationRead, FarReach, Freshness, GossipQueue, Kind, Member, Members,
    State, StorePosition,
};
use route::{Load, Node};
use store::{CommitResult, Condition, Era, Write};
use tokio::net::UdpSocket;
use wire::{Gossip, MAX_DATAGRAM_BYTES, decode_gossip, encode_gossip};

use crate::{configuration, guard, names, peers, quota, router, storage};

/// Interval at which timers of the membership protocol are checked.
const TICK: Duration = Duration::from_millis(100);
/// Shortest time between two reports of membership changes to the other services.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(90);
/// Number of members that an urgent update is sent to at once, in the local data centre
/// and in remote ones.
const URGENT_FANOUT_LOCAL: usize = 3;
const URGENT_FANOUT_REMOTE: usize = 2;
/// Most holds in one datagram, and the number of times that each hold is sent.
const MAX_HOLDS_PER_DATAGRAM: usize = 16;
const SENDS_PER_HOLD: u32 = 12;
/// Mean time between two rounds in which holds are sent. With five datagrams of 1 kB per
/// round, this uses up a daemon's budget for control traffic. Rounds may run ahead of this
/// rate by `HOLD_ROUND_BURST`, since two crashes caused by one request follow each other
/// closely.
const HOLD_ROUND_INTERVAL: Duration = Duration::from_millis(200);
const HOLD_ROUND_BURST: Duration = Duration::from_secs(1);
/// Most members in one reply of a list comparison, and most replies per comparison.
const SYNC_PAGE: usize = 1000;
const MAX_SYNC_PAGES: usize = 64;
/// Time limit of each request of a list comparison.
const SYNC_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of rows per data centre in the table through which new daemons find a first
/// member, and the number of daemons per data centre that write a row: those that started
/// first. Each call to the store costs money, and a new daemon needs only one reachable
/// member.
const CONTACT_ROWS: u64 = 16;
const CONTACTS: usize = 3;
/// Number of addresses that a daemon without known members contacts at a time.
const MAX_BOOTSTRAP_CONTACTS: usize = 8;
/// Contact rows that the whole fleet renews per second.
/// Each call to the store costs money, so the fleet renews one row a minute.
const FLEET_ROW_RENEWALS_PER_SECOND: f64 = 1.0 / 60.0;
/// Interval at which a daemon that has joined checks whether it must write its row. It
/// becomes a contact when members that started earlier have departed.
const ROW_CHECK_INTERVAL: Duration = Duration::from_secs(60);
/// First and longest pause before a daemon without known members reads the table again.
const JOIN_PAUSE_MIN: Duration = Duration::from_millis(500);
const JOIN_PAUSE_MAX: Duration = Duration::from_secs(2);
/// Number of members that a changed load of the local target is sent to at once, in the
/// local data centre and in remote ones.
const LOAD_FANOUT_LOCAL: usize = 12;
const LOAD_FANOUT_REMOTE: usize = 12;
/// Number of members, in the local data centre and in remote ones, that a daemon sends its
/// own state to after a list comparison has added members.
const JOIN_FANOUT: usize = 12;
/// Number of members that a later round of reads of the store is sent to on each tick, in the
/// local data centre and in remote ones, while it is still to be sent.
const CONFIRMATION_FANOUT_LOCAL: usize = 2;
const CONFIRMATION_FANOUT_REMOTE: usize = 2;
const MEMBER_TABLE: &str = "member";

/// Messages that the service handles.
pub(crate) enum Message {
    /// Returns the number of present members.
    Count { reply: Reply<usize> },
    /// Returns all members.
    All { reply: Reply<Vec<Member>> },
    /// Returns what decides whether the local node reads the store.
    ReadDuty { reply: Reply<ReadDuty> },
    /// The local node has read the store at this time, and the configuration that it found is
    /// in force here.
    Confirmed { read_at: Instant },
    /// Returns the seniority of the local node.
    Seniority { reply: Reply<Seniority> },
    /// Returns the local node's own entry in the list.
    Local { reply: Reply<Member> },
    /// Returns the digest of each bucket.
    Digests { reply: Reply<Vec<u64>> },
    /// Returns the members in buckets whose digests differ from these.
    Differing { digests: Vec<u64>, reply: Reply<Vec<Member>> },
    /// Merges entries of another member's list into the local list.
    Merge(Vec<Member>),
    /// This revision is in force on the local node.
    Revision(u64),
    /// The local node has read the rows of evacuated data centres, up to this position.
    EvacuationRead { at: StorePosition, read: EvacuationRead },
    /// Spreads holds, which result from crashes, to all members.
    SpreadHolds(Vec<Hold>),
    /// The load of the local target has changed considerably. The nodes in `requesters`,
    /// which have recently sent requests to the target, are informed before others, the most
    /// recent first.
    /// Of far data centres, only those in `recent` are informed.
    Load { load: Load, requesters: Vec<Node>, recent: Vec<Node> },
    /// The local node has exchanged a message over TCP with a peer.
    Transferred { kind: &'static str, peer: Peer, bytes: usize },
    /// The local target serves this service.
    AnnounceService { service: Box<str>, slots: u16 },
    /// The local node counts this many hosts in the fleet, for quotas; 0 if there are none.
    FleetSize(u32),
    /// Announces that the local node is leaving.
    AnnounceLeaving,
    /// Announces that the local node has left.
    AnnounceLeft,
}

/// The other side of a transfer.
#[derive(Debug)]
pub(crate) enum Peer {
    Node(Node),
    Address(Box<str>),
}

/// Purpose of a datagram, as the counters name it.
#[derive(Debug, Clone, Copy)]
enum Purpose {
    Detection,
    Load,
    News,
}

/// How many members started before the local node, and how long gossip has been absent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Seniority {
    /// Number of present members of the local data centre that started earlier.
    pub(crate) earlier: usize,
    /// Time since the last gossip message from another member.
    pub(crate) gossip_age: Duration,
}

/// What decides whether the local node reads the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadDuty {
    /// When any member last read the store, as far as known.
    pub(crate) read_at: Option<Instant>,
    /// Whether no present member started earlier.
    pub(crate) is_first: bool,
    /// Number of present members of the local data centre that started earlier.
    pub(crate) earlier: usize,
    /// Number of present members.
    pub(crate) members: usize,
}

enum Event {
    Message(Message),
    Datagram(usize, SocketAddr),
    Tick,
    Closed,
}

/// Starts the service.
pub(crate) fn start(
    kernel: &Kernel,
    socket: std::net::UdpSocket,
    local: Member,
    bootstrap_peers: Vec<SocketAddr>,
    join_within: Duration,
    locality_rtt: Option<Duration>,
    seed: u64,
) -> std::io::Result<()> {
    socket.set_nonblocking(true)?;
    let inbox = kernel.register(names::MEMBERSHIP);
    let mut members = Members::new(kernel.clock().now(), local, seed);
    members.set_locality_rtt(locality_rtt);
    let task = Task {
        kernel: kernel.clone(),
        socket: UdpSocket::from_std(socket)?,
        members,
        reported_version: u64::MAX,
        reported_at: None,
        revision: 0,
        holds: GossipQueue::new(SENDS_PER_HOLD),
        hold_budget_used_until: kernel.clock().now(),
        load: None,
        freshness: Freshness::default(),
        fleet_size: 0,
        evacuation: Evacuation::default(),
        last_gossip_at: None,
        departed: HashSet::new(),
    };
    kernel.start(task.run(inbox));
    let mailbox = kernel.service(names::MEMBERSHIP);
    kernel.start(join(kernel.clone(), mailbox, bootstrap_peers, join_within));
    Ok(())
}

struct Task {
    kernel: Kernel,
    socket: UdpSocket,
    members: Members,
    reported_version: u64,
    reported_at: Option<Instant>,
    revision: u64,
    holds: GossipQueue<Hold>,
    /// Time until which the rounds sent so far use up the budget for sending holds.
    hold_budget_used_until: Instant,
    load: Option<Load>,
    freshness: Freshness,
    /// Number of hosts that gossip carries.
    fleet_size: u32,
    evacuation: Evacuation,
    last_gossip_at: Option<Instant>,
    departed: HashSet<Node>,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Message>) {
        let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
        let mut next_tick = self.kernel.clock().now();
        loop {
            match self.wait(&inbox, &mut buffer, next_tick).await {
                Event::Message(message) => self.handle(message),
                Event::Datagram(length, from) => self.receive(&buffer[..length], from),
                Event::Tick => {
                    let now = self.kernel.clock().now();
                    next_tick = now + TICK;
                    let actions = self.members.tick(now);
                    self.execute(actions, Purpose::Detection);
                    self.forward_holds(now);
                    self.forward_confirmation();
                }
                Event::Closed => return,
            }
            self.report_changes();
        }
    }

    async fn wait(&self, inbox: &Inbox<Message>, buffer: &mut [u8], next_tick: Instant) -> Event {
        let clock = self.kernel.clock();
        let message = async { inbox.receive().await.map_or(Event::Closed, Event::Message) };
        let tick = async {
            clock.sleep(next_tick.saturating_duration_since(clock.now())).await;
            Event::Tick
        };
        let datagram = async {
            loop {
                // An error is an ICMP reply to a datagram sent earlier.
                if let Ok((length, from)) = self.socket.recv_from(buffer).await {
                    return Event::Datagram(length, from);
                }
            }
        };
        message.or(datagram).or(tick).await
    }

    fn handle(&mut self, message: Message) {
        let now = self.kernel.clock().now();
        match message {
            Message::Count { reply } => drop(reply.send(self.members.count_present())),
            Message::All { reply } => drop(reply.send(self.members.all().cloned().collect())),
            Message::ReadDuty { reply } => drop(reply.send(ReadDuty {
                read_at: self.freshness.read_at(),
                is_first: self.members.is_first(),
                earlier: self.members.count_earlier(),
                members: self.members.count_present(),
            })),
            Message::Confirmed { read_at } => {
                self.freshness.confirm(read_at);
                self.spread(FarReach::Origin);
            }
            Message::Seniority { reply } => drop(reply.send(Seniority {
                earlier: self.members.count_earlier(),
                gossip_age: self.last_gossip_at.map_or(Duration::MAX, |at| now - at),
            })),
            Message::Local { reply } => drop(reply.send(self.members.local().clone())),
            Message::Digests { reply } => drop(reply.send(self.members.digests().to_vec())),
            Message::Differing { digests, reply } => {
                reply.send(self.members.differing(&digests, SYNC_PAGE));
            }
            Message::Merge(list) => {
                self.quota().send(quota::Message::ListsCompared);
                if self.members.merge(now, list) {
                    let far = FarReach::Origin;
                    let actions = self.members.spread_near([], JOIN_FANOUT, JOIN_FANOUT, far);
                    self.execute(actions, Purpose::News);
                }
            }
            Message::Revision(revision) => {
                self.revision = self.revision.max(revision);
                self.spread(FarReach::Relay);
            }
            Message::EvacuationRead { at, read } => {
                if self.evacuation.apply_read(at, read) {
                    self.spread_evacuation();
                }
            }
            Message::SpreadHolds(holds) => {
                self.holds.insert_new(holds);
                self.spread_holds(now, FarReach::Origin);
            }
            Message::Load { load, requesters, recent } => {
                self.load = Some(load);
                let far = FarReach::Only(self.members.admit_far_loads(now, recent));
                let (local, remote) = (LOAD_FANOUT_LOCAL, LOAD_FANOUT_REMOTE);
                let actions = self.members.spread_near(requesters, local, remote, far);
                self.execute(actions, Purpose::Load);
            }
            Message::Transferred { kind, peer, bytes } => {
                let member = match peer {
                    Peer::Node(node) => self.members.find(node),
                    Peer::Address(address) => self.members.at_address(&address),
                };
                self.count_sent(kind, member, bytes);
            }
            Message::AnnounceService { service, slots } => {
                self.members.announce_service(service, slots);
                self.spread(FarReach::Origin);
            }
            Message::FleetSize(hosts) => self.fleet_size = hosts,
            Message::AnnounceLeaving => {
                self.members.announce_leaving();
                self.spread(FarReach::Origin);
            }
            Message::AnnounceLeft => {
                self.members.announce_left();
                self.spread(FarReach::Origin);
            }
        }
    }

    fn spread(&mut self, far: FarReach) {
        let (local, remote) = (URGENT_FANOUT_LOCAL, URGENT_FANOUT_REMOTE);
        let actions = self.members.spread_near([], local, remote, far);
        self.execute(actions, Purpose::News);
    }

    /// Counts bytes exchanged with a member, or with an unknown one, which counts as remote.
    fn count_sent(&self, kind: &'static str, member: Option<&Member>, bytes: usize) {
        let local = &self.members.local().data_centre;
        let is_local = member.is_some_and(|member| member.data_centre == *local);
        let data_centre = if is_local { "local" } else { "remote" };
        metrics::counter!(
            "bronzeport_traffic_bytes_total", "kind" => kind, "data_centre" => data_centre
        )
        .increment(bytes as u64);
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        metrics::counter!("bronzeport_gossip_received_bytes_total").increment(bytes.len() as u64);
        let gossip = match decode_gossip(bytes) {
            Ok(gossip) => gossip,
            Err(error) => {
                metrics::counter!("bronzeport_gossip_garbage_total").increment(1);
                log::debug!("cannot decode a gossip datagram from {from}: {error}");
                return;
            }
        };
        let Some(sender) = gossip.sender else {
            return;
        };
        self.last_gossip_at = Some(self.kernel.clock().now());
        self.apply_holds(gossip.holds);
        if gossip.hosts > 0 {
            self.quota().send(quota::Message::FleetSize(gossip.hosts));
        }
        if let Some(wire::Evacuation { era, version, data_centres }) = gossip.evacuation
            && self.evacuation.learn((era, version), data_centres.into_iter().collect())
        {
            self.spread_evacuation();
        }
        if let Some(load) = gossip.load {
            let router: Mailbox<router::Message> = self.kernel.service(names::ROUTER);
            router.send(router::Message::LoadReported { node: sender.node, load });
        }
        if gossip.revision > self.revision {
            let configuration: Mailbox<configuration::Message> =
                self.kernel.service(names::CONFIGURATION);
            configuration.send(configuration::Message::PeerRevision {
                revision: gossip.revision,
                from: sender.address.clone(),
            });
        } else if let Some(confirmation) = gossip.confirmation {
            // The sender's read shows nothing about a newer revision than the sender has.
            self.freshness.learn(self.kernel.clock().now(), confirmation);
        }
        let message = member::Message {
            kind: gossip.kind,
            sequence: gossip.sequence,
            sender,
            subject: gossip.subject,
            updates: gossip.updates,
            digest: gossip.digest,
        };
        let actions = self.members.receive(self.kernel.clock().now(), message);
        self.execute(actions, Purpose::Detection);
    }

    fn apply_holds(&mut self, holds: Vec<Hold>) {
        let new_holds = self.holds.insert_new(holds);
        if new_holds.is_empty() {
            return;
        }
        notify_holds(&self.kernel, &new_holds);
        self.forward_holds(self.kernel.clock().now());
    }

    /// Sends holds to some members if any are pending and the budget permits a round.
    fn forward_holds(&mut self, now: Instant) {
        if self.holds.has_pending() && self.hold_budget_used_until <= now + HOLD_ROUND_BURST {
            self.spread_holds(now, FarReach::Relay);
        }
    }

    fn spread_holds(&mut self, now: Instant, far: FarReach) {
        self.hold_budget_used_until = self.hold_budget_used_until.max(now) + HOLD_ROUND_INTERVAL;
        self.spread(far);
    }

    /// Reports the evacuated data centres to the other services and to some members.
    fn spread_evacuation(&mut self) {
        let data_centres = self.evacuation.data_centres();
        let listed: Vec<&str> = data_centres.iter().map(|name| &**name).collect();
        log::info!("evacuated data centres: [{}]", listed.join(" "));
        metrics::gauge!("bronzeport_evacuated_data_centres").set(listed.len() as f64);
        let guard: Mailbox<guard::Message> = self.kernel.service(names::GUARD);
        let is_local = data_centres.contains(&self.members.local().data_centre);
        guard.send(guard::Message::Evacuated(is_local));
        let router: Mailbox<router::Message> = self.kernel.service(names::ROUTER);
        router.send(router::Message::Evacuated(data_centres.clone()));
        self.spread(FarReach::Relay);
    }

    /// Passes the latest read of the store on, unless enough other datagrams have carried it.
    fn forward_confirmation(&mut self) {
        if self.freshness.has_pending() {
            let (local, remote) = (CONFIRMATION_FANOUT_LOCAL, CONFIRMATION_FANOUT_REMOTE);
            let actions = self.members.spread_near([], local, remote, FarReach::Round);
            self.execute(actions, Purpose::News);
        }
    }

    fn execute(&mut self, actions: Vec<Action>, purpose: Purpose) {
        for action in actions {
            match action {
                Action::Send { to, kind, sequence, subject } => {
                    self.send(&to, kind, sequence, subject, purpose);
                }
                Action::Sync { with } => self.kernel.start(sync(self.kernel.clone(), with)),
            }
        }
    }

    fn send(&mut self, to: &str, kind: Kind, sequence: u64, subject: u64, purpose: Purpose) {
        let Ok(address) = to.parse::<SocketAddr>() else {
            return;
        };
        let gossip = Gossip {
            kind,
            sequence,
            sender: Some(self.members.local().clone()),
            revision: self.revision,
            subject,
            updates: self.members.take_updates(),
            holds: self.holds.take(MAX_HOLDS_PER_DATAGRAM),
            digest: self.members.digest(),
            load: self.load,
            confirmation: self.freshness.take(self.kernel.clock().now()),
            hosts: self.fleet_size,
            evacuation: self.evacuation.position().map(|(era, version)| wire::Evacuation {
                era,
                version,
                data_centres: self.evacuation.data_centres().iter().cloned().collect(),
            }),
        };
        let bytes = encode_gossip(&gossip);
        metrics::counter!("bronzeport_gossip_sent_bytes_total").increment(bytes.len() as u64);
        metrics::counter!("bronzeport_gossip_sent_total").increment(1);
        // A datagram that cannot be sent is treated like one lost in the network.
        let _ = self.socket.try_send_to(&bytes, address);
        let counted = match (kind, purpose) {
            (Kind::Updates, Purpose::Load) => "gossip-load",
            (Kind::Updates, _) => "gossip-update",
            _ => "gossip-ping",
        };
        self.count_sent(counted, self.members.at_address(to), bytes.len());
    }

    /// Reports a changed member list to the other services. Changes in quick succession,
    /// such as those after the loss of a data centre, are reported together.
    fn report_changes(&mut self) {
        let (version, now) = (self.members.version(), self.kernel.clock().now());
        let is_too_soon = self.reported_at.is_some_and(|at| now - at < MIN_REPORT_INTERVAL);
        if version == self.reported_version || is_too_soon {
            return;
        }
        self.reported_version = version;
        self.reported_at = Some(now);
        let count = self.members.count_present();
        metrics::gauge!("bronzeport_members_present").set(count as f64);
        let router: Mailbox<router::Message> = self.kernel.service(names::ROUTER);
        let members = self
            .members
            .all()
            .map(|member| (member.clone(), self.members.rtt(&member.data_centre)));
        router.send(router::Message::Members(members.collect()));
        let store: Mailbox<storage::Message> = self.kernel.service(names::STORE);
        store.send(storage::Message::MemberCount(count));
        let configuration: Mailbox<configuration::Message> =
            self.kernel.service(names::CONFIGURATION);
        configuration.send(configuration::Message::MemberCount(count));
        self.quota().send(quota::Message::MembersChanged);
        self.disconnect_departed();
    }

    fn quota(&self) -> Mailbox<quota::Message> {
        self.kernel.service(names::QUOTA)
    }

    /// Closes the connections to members that have departed since the last call.
    fn disconnect_departed(&mut self) {
        let is_departed = |member: &&Member| matches!(member.state, State::Lost | State::Left);
        let departed: HashSet<Node> =
            self.members.all().filter(is_departed).map(|m| m.node).collect();
        let peers: Mailbox<peers::Message> = self.kernel.service(names::PEERS);
        for node in departed.difference(&self.departed) {
            if let Some(member) = self.members.find(*node) {
                log::info!("member {node:016x} at {} is {:?}", member.address, member.state);
                peers.send(peers::Message::Close { address: member.address.clone() });
            }
        }
        self.departed = departed;
    }
}

/// Sends holds to the services that hold requests back.
pub(crate) fn notify_holds(kernel: &Kernel, holds: &[Hold]) {
    let guard: Mailbox<guard::Message> = kernel.service(names::GUARD);
    guard.send(guard::Message::Holds(holds.to_vec()));
    let router: Mailbox<router::Message> = kernel.service(names::ROUTER);
    router.send(router::Message::Holds(holds.to_vec()));
}

/// Compares the local list with that of one member and merges the differences.
async fn sync(kernel: Kernel, with: Box<str>) {
    let membership: Mailbox<Message> = kernel.service(names::MEMBERSHIP);
    let peers: Mailbox<peers::Message> = kernel.service(names::PEERS);
    let address = with.clone();
    let Some(Some(client)) =
        peers.request(|reply| peers::Message::Connect { address, reply }).await
    else {
        return;
    };
    metrics::counter!("bronzeport_member_syncs_total").increment(1);
    for _ in 0..MAX_SYNC_PAGES {
        let digests = digests(&membership).await;
        let members = kernel.clock().timeout(SYNC_TIMEOUT, client.members(&digests)).await;
        let Ok(Ok(members)) = members else {
            return;
        };
        let is_last = members.len() < SYNC_PAGE;
        membership.send(Message::Transferred {
            kind: "lists",
            peer: Peer::Address(with.clone()),
            bytes: wire::list_size(&digests, &members),
        });
        membership.send(Message::Merge(members));
        if is_last {
            return;
        }
    }
}

async fn digests(membership: &Mailbox<Message>) -> Vec<u64> {
    membership.request(|reply| Message::Digests { reply }).await.unwrap_or_default()
}

/// Finds first members through the settings or the contact table, and maintains this
/// node's row in the table if the node is among those that started first. A daemon reads
/// the table again after writing its row, so of two daemons that start at once at least one
/// finds the other.
async fn join(
    kernel: Kernel,
    membership: Mailbox<Message>,
    bootstrap_peers: Vec<SocketAddr>,
    join_within: Duration,
) {
    let bootstrap_peers: Vec<Box<str>> =
        bootstrap_peers.iter().map(|address| address.to_string().into()).collect();
    kernel.clock().sleep(join_within.mul_f64(fastrand::f64())).await;
    // Time at which this node's row was written, and the era of the store.
    let mut written = None;
    let mut pause = JOIN_PAUSE_MIN;
    loop {
        if count(&membership).await <= 1 {
            let found = read_contacts(&kernel, &membership).await;
            sync_with(&kernel, bootstrap_peers.iter().chain(&found)).await;
        }
        let (count, now) = (count(&membership).await, kernel.clock().now());
        // Another daemon with the same row number may have overwritten the row.
        let is_due_for_renewal = |(at, _)| count > 1 && now - at > renewal_age(count);
        let needs_row = written.is_none_or(is_due_for_renewal) && is_contact(&membership).await;
        if needs_row && let Some(era) = write_contact_row(&kernel, &membership).await {
            written = Some((now, era));
            sync_with(&kernel, &read_contacts(&kernel, &membership).await).await;
        }
        let is_settled = count > 1 && (written.is_some() || !needs_row);
        pause = if is_settled { ROW_CHECK_INTERVAL } else { (pause * 2).min(JOIN_PAUSE_MAX) };
        let pause = pause.mul_f64(0.5 + fastrand::f64());
        let Some((_, era)) = written else {
            kernel.clock().sleep(pause).await;
            continue;
        };
        if let Ok(Some(_)) = kernel.clock().timeout(pause, storage::next_era(&kernel, era)).await {
            log::info!("the store may have lost the contact row, which is written again");
            written = None;
        }
    }
}

/// Returns the age at which a contact in a fleet of `count` daemons renews its row.
fn renewal_age(count: usize) -> Duration {
    Duration::from_secs_f64(count as f64 / FLEET_ROW_RENEWALS_PER_SECOND).max(ROW_CHECK_INTERVAL)
}

/// Whether this node is a contact through which new daemons find the fleet.
async fn is_contact(membership: &Mailbox<Message>) -> bool {
    let seniority = membership.request(|reply| Message::Seniority { reply }).await;
    seniority.is_none_or(|seniority| seniority.earlier < CONTACTS)
}

async fn count(membership: &Mailbox<Message>) -> usize {
    membership.request(|reply| Message::Count { reply }).await.unwrap_or(1)
}

/// Compares lists with the daemons at a random choice of these addresses, and pulls the
/// configuration from them.
async fn sync_with(kernel: &Kernel, addresses: impl IntoIterator<Item = &Box<str>>) {
    let mut addresses: Vec<&Box<str>> = addresses.into_iter().collect();
    fastrand::shuffle(&mut addresses);
    let configuration: Mailbox<configuration::Message> = kernel.service(names::CONFIGURATION);
    let syncs = addresses.into_iter().take(MAX_BOOTSTRAP_CONTACTS).map(async |address| {
        sync(kernel.clone(), address.clone()).await;
        let from = address.clone();
        configuration.send(configuration::Message::PeerRevision { revision: u64::MAX, from });
    });
    futures::future::join_all(syncs).await;
}

/// Reads the addresses of other daemons from the contact table.
async fn read_contacts(kernel: &Kernel, membership: &Mailbox<Message>) -> Vec<Box<str>> {
    let local =
        membership.request(|reply| Message::Local { reply }).await.map(|local| local.address);
    let store: Mailbox<storage::Message> = kernel.service(names::STORE);
    let message =
        |reply| storage::Message::ReadTable { table: MEMBER_TABLE.into(), limit: 500, reply };
    match store.request(message).await {
        Some(Ok(rows)) => {
            let addresses = rows.rows.into_iter().map(|row| row.value);
            let others = addresses.filter(|address| local.as_ref() != Some(address));
            others.filter(|address| address.parse::<SocketAddr>().is_ok()).collect()
        }
        Some(Err(failure)) => {
            log::info!("cannot read the table of members: {failure}");
            Vec::new()
        }
        None => Vec::new(),
    }
}

/// Writes this node's row to the contact table. Returns the era of the store, or `None` if the
/// row was not written or the result is unknown.
async fn write_contact_row(kernel: &Kernel, membership: &Mailbox<Message>) -> Option<Era> {
    let local = membership.request(|reply| Message::Local { reply }).await?;
    let row_number = local.node % CONTACT_ROWS;
    let write = Write {
        key: format!("{MEMBER_TABLE}/{}/{row_number:02}", local.data_centre).into(),
        condition: Condition::Always,
        value: local.address,
    };
    let store: Mailbox<storage::Message> = kernel.service(names::STORE);
    match store.request(|reply| storage::Message::Commit { write, reply }).await? {
        CommitResult::Done(tags) => tags.first().map(|tag| tag.era),
        _ => None,
    }
}
