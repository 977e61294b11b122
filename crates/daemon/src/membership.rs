//! The service that owns the member list and the gossip socket.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use admit::Hold;
use futures_lite::FutureExt;
use kernel::{Inbox, Kernel, Mailbox, Reply};
use member::{Action, GossipQueue, Kind, Member, Members, Message, State};
use route::{Load, Node};
use store::{Condition, Write};
use tokio::net::UdpSocket;
use wire::{Gossip, MAX_DATAGRAM_BYTES, decode_gossip, encode_gossip};

use crate::{configuration, guard, names, peers, router, storage};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);
/// Least time between two reports of changes to the other services.
const TELL_EVERY: Duration = Duration::from_millis(90);
/// Members that urgent news goes to at once, in this data centre and in others.
const SPREAD_NEAR: usize = 3;
const SPREAD_FAR: usize = 2;
/// Holds in one datagram, and how often one is sent.
const MAX_HOLDS: usize = 16;
const HOLD_SENDS: u32 = 12;
/// Mean time between two rounds in which holds are told on: with five datagrams of 1 kB
/// in a round the budget of a daemon's control traffic. Rounds may come ahead of it by so
/// much: two crashes of one request follow each other closely.
const HOLDS_EVERY: Duration = Duration::from_millis(200);
const HOLDS_AHEAD: Duration = Duration::from_secs(1);
/// Members in one answer when lists are compared, and answers at most.
const SYNC_PAGE: usize = 1000;
const MAX_SYNC_PAGES: usize = 64;
/// Time limit of comparing lists with a member.
const SYNC_TIME: Duration = Duration::from_secs(5);
/// Rows in the table by which new daemons find a first member, for each data centre, and
/// the daemons there that write theirs: those that started first. Each call to the store
/// is paid for, and a new daemon needs only one that is there.
const TABLE_ROWS: u64 = 16;
const CONTACTS: usize = 3;
/// Rows of the table that a daemon which knows no other tries at a time.
const FIRST_CONTACTS: usize = 8;
/// Writes of rows that the whole fleet makes in a second.
/// Each call to the store is paid for, so that a fleet renews one row a minute.
const FLEET_ANNOUNCEMENTS_PER_SECOND: f64 = 1.0 / 60.0;
/// Time between two looks of a daemon that knows others whether its row is to be written:
/// those that started before it may have gone.
const ROW_LOOK_EVERY: Duration = Duration::from_secs(60);
/// First and longest pause before the table is read again by a daemon that knows
/// no other.
const JOIN_PAUSE_MIN: Duration = Duration::from_millis(500);
const JOIN_PAUSE_MAX: Duration = Duration::from_secs(2);
/// Members that are told of the load of this daemon's target at once.
const LOAD_NEAR: usize = 12;
const LOAD_FAR: usize = 12;
/// Members that a daemon greets when it has learned of them.
const GREETED: usize = 12;
const MEMBER_TABLE: &str = "member";

/// What the service is asked and told.
pub(crate) enum Ask {
    /// Tell the number of present members.
    Count { reply: Reply<usize> },
    /// Give all members.
    All { reply: Reply<Vec<Member>> },
    /// Tell where this node stands among the members.
    Place { reply: Reply<Place> },
    /// Give this node as it describes itself.
    Own { reply: Reply<Member> },
    /// Give the digest of each bucket.
    Digests { reply: Reply<Vec<u64>> },
    /// Give the members in buckets whose digests differ from these.
    Differing { digests: Vec<u64>, reply: Reply<Vec<Member>> },
    /// Take in what a member's list says.
    Learn(Vec<Member>),
    /// This revision is in force here.
    Revision(u64),
    /// Tell everybody of crashes.
    Spread(Vec<Hold>),
    /// The load of this daemon's target has changed much. Those that have lately sent
    /// requests to it are told before others, the latest first.
    Load { load: Load, askers: Vec<Node> },
    /// The target of this node answers for this service.
    Serve { service: Box<str>, slots: u16 },
    /// Announce that this node is leaving.
    Leave,
    /// Announce that this node has left.
    Left,
}

/// Where a node stands among the members.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    /// Present members of its data centre that started earlier.
    pub(crate) earlier: usize,
    /// Time since another member was last heard.
    pub(crate) quiet_for: Duration,
}

enum Event {
    Asked(Ask),
    Received(usize, SocketAddr),
    Ticked,
    Ended,
}

/// Starts the service.
pub(crate) fn start(
    kernel: &Kernel,
    socket: std::net::UdpSocket,
    own: Member,
    first_peers: Vec<SocketAddr>,
    join_within: Duration,
    seed: u64,
) -> std::io::Result<()> {
    socket.set_nonblocking(true)?;
    let inbox = kernel.register(names::MEMBERSHIP);
    let members = Members::new(kernel.clock().now(), own, seed);
    let task = Task {
        kernel: kernel.clone(),
        socket: UdpSocket::from_std(socket)?,
        members,
        told_version: u64::MAX,
        told_at: None,
        revision: 0,
        holds: GossipQueue::new(HOLD_SENDS),
        holds_paid_until: kernel.clock().now(),
        load: None,
        heard_at: None,
        gone: HashSet::new(),
    };
    kernel.start(task.run(inbox));
    let mailbox = kernel.service(names::MEMBERSHIP);
    kernel.start(join(kernel.clone(), mailbox, first_peers, join_within));
    Ok(())
}

struct Task {
    kernel: Kernel,
    socket: UdpSocket,
    members: Members,
    told_version: u64,
    told_at: Option<Instant>,
    revision: u64,
    holds: GossipQueue<Hold>,
    /// Until when the rounds in which holds were told take up the time for them.
    holds_paid_until: Instant,
    load: Option<Load>,
    heard_at: Option<Instant>,
    gone: HashSet<Node>,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Ask>) {
        let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
        let mut next_tick = self.kernel.clock().now();
        loop {
            match self.wait(&inbox, &mut buffer, next_tick).await {
                Event::Asked(ask) => self.take(ask),
                Event::Received(length, from) => self.receive(&buffer[..length], from),
                Event::Ticked => {
                    let now = self.kernel.clock().now();
                    next_tick = now + TICK;
                    let actions = self.members.tick(now);
                    self.act(actions);
                    self.tell_holds_on(now);
                }
                Event::Ended => return,
            }
            self.tell_changes();
        }
    }

    async fn wait(&self, inbox: &Inbox<Ask>, buffer: &mut [u8], next_tick: Instant) -> Event {
        let clock = self.kernel.clock();
        let asked = async { inbox.receive().await.map_or(Event::Ended, Event::Asked) };
        let ticked = async {
            clock.sleep(next_tick.saturating_duration_since(clock.now())).await;
            Event::Ticked
        };
        let received = async {
            loop {
                // An error here is an ICMP answer to an earlier datagram.
                if let Ok((length, from)) = self.socket.recv_from(buffer).await {
                    return Event::Received(length, from);
                }
            }
        };
        asked.or(received).or(ticked).await
    }

    fn take(&mut self, ask: Ask) {
        let now = self.kernel.clock().now();
        match ask {
            Ask::Count { reply } => drop(reply.send(self.members.count_present())),
            Ask::All { reply } => drop(reply.send(self.members.all().cloned().collect())),
            Ask::Place { reply } => drop(reply.send(Place {
                earlier: self.members.count_earlier(),
                quiet_for: self.heard_at.map_or(Duration::MAX, |at| now - at),
            })),
            Ask::Own { reply } => drop(reply.send(self.members.local().clone())),
            Ask::Digests { reply } => drop(reply.send(self.members.digests().to_vec())),
            Ask::Differing { digests, reply } => {
                reply.send(self.members.differing(&digests, SYNC_PAGE));
            }
            Ask::Learn(list) => {
                if self.members.merge(now, list) {
                    let actions = self.members.spread([], GREETED, GREETED);
                    self.act(actions);
                }
            }
            Ask::Revision(revision) => {
                self.revision = self.revision.max(revision);
                self.spread();
            }
            Ask::Spread(holds) => {
                self.holds.insert_new(holds);
                self.spread_holds(now);
            }
            Ask::Load { load, askers } => {
                self.load = Some(load);
                let actions = self.members.spread(askers, LOAD_NEAR, LOAD_FAR);
                self.act(actions);
            }
            Ask::Serve { service, slots } => {
                self.members.announce_service(service, slots);
                self.spread();
            }
            Ask::Leave => {
                self.members.announce_leaving();
                self.spread();
            }
            Ask::Left => {
                self.members.announce_left();
                self.spread();
            }
        }
    }

    fn spread(&mut self) {
        let actions = self.members.spread([], SPREAD_NEAR, SPREAD_FAR);
        self.act(actions);
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        metrics::counter!("bronzeport_gossip_received_bytes_total").increment(bytes.len() as u64);
        let gossip = match decode_gossip(bytes) {
            Ok(gossip) => gossip,
            Err(error) => {
                metrics::counter!("bronzeport_gossip_garbage_total").increment(1);
                log::debug!("a datagram from {from} is not gossip: {error}");
                return;
            }
        };
        let Some(sender) = gossip.sender else {
            return;
        };
        self.heard_at = Some(self.kernel.clock().now());
        self.hear_holds(gossip.holds);
        if let Some(load) = gossip.load {
            let router: Mailbox<router::Message> = self.kernel.service(names::ROUTER);
            router.send(router::Message::LoadReported { node: sender.node, load });
        }
        if gossip.revision > self.revision {
            let configuration: Mailbox<configuration::Ask> =
                self.kernel.service(names::CONFIGURATION);
            configuration.send(configuration::Ask::Heard {
                revision: gossip.revision,
                from: sender.address.clone(),
            });
        }
        let message = Message {
            kind: gossip.kind,
            sequence: gossip.sequence,
            sender,
            subject: gossip.subject,
            updates: gossip.updates,
            digest: gossip.digest,
        };
        let actions = self.members.receive(self.kernel.clock().now(), message);
        self.act(actions);
    }

    fn hear_holds(&mut self, holds: Vec<Hold>) {
        let news = self.holds.insert_new(holds);
        if news.is_empty() {
            return;
        }
        tell_holds(&self.kernel, &news);
        self.tell_holds_on(self.kernel.clock().now());
    }

    /// Tells some members of holds, if there are any to tell and time for it.
    fn tell_holds_on(&mut self, now: Instant) {
        if self.holds.has_pending() && self.holds_paid_until <= now + HOLDS_AHEAD {
            self.spread_holds(now);
        }
    }

    fn spread_holds(&mut self, now: Instant) {
        self.holds_paid_until = self.holds_paid_until.max(now) + HOLDS_EVERY;
        self.spread();
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, kind, sequence, subject } => {
                    self.send(&to, kind, sequence, subject);
                }
                Action::Sync { with } => self.kernel.start(sync(self.kernel.clone(), with)),
            }
        }
    }

    fn send(&mut self, to: &str, kind: Kind, sequence: u64, subject: u64) {
        let Ok(to) = to.parse::<SocketAddr>() else {
            return;
        };
        let gossip = Gossip {
            kind,
            sequence,
            sender: Some(self.members.local().clone()),
            revision: self.revision,
            subject,
            updates: self.members.take_updates(),
            holds: self.holds.take(MAX_HOLDS),
            digest: self.members.digest(),
            load: self.load,
        };
        let bytes = encode_gossip(&gossip);
        metrics::counter!("bronzeport_gossip_sent_bytes_total").increment(bytes.len() as u64);
        metrics::counter!("bronzeport_gossip_sent_total").increment(1);
        // A datagram that cannot be sent counts as lost on its way.
        let _ = self.socket.try_send_to(&bytes, to);
    }

    /// Tells the other services when the list has changed. Many changes in a row,
    /// as when a data centre is lost, are told together.
    fn tell_changes(&mut self) {
        let (version, now) = (self.members.version(), self.kernel.clock().now());
        let is_early = self.told_at.is_some_and(|at| now - at < TELL_EVERY);
        if version == self.told_version || is_early {
            return;
        }
        self.told_version = version;
        self.told_at = Some(now);
        let count = self.members.count_present();
        metrics::gauge!("bronzeport_members_present").set(count as f64);
        let router: Mailbox<router::Message> = self.kernel.service(names::ROUTER);
        let served = self
            .members
            .all()
            .map(|member| (member.clone(), self.members.rtt(&member.data_centre)));
        router.send(router::Message::Members(served.collect()));
        let store: Mailbox<storage::Ask> = self.kernel.service(names::STORE);
        store.send(storage::Ask::Members(count));
        let configuration: Mailbox<configuration::Ask> = self.kernel.service(names::CONFIGURATION);
        configuration.send(configuration::Ask::Members(count));
        self.forget_gone();
    }

    /// Has connections to members closed that have just gone.
    fn forget_gone(&mut self) {
        let is_gone = |member: &&Member| matches!(member.state, State::Lost | State::Left);
        let gone: HashSet<Node> = self.members.all().filter(is_gone).map(|m| m.node).collect();
        let peers: Mailbox<peers::Message> = self.kernel.service(names::PEERS);
        for node in gone.difference(&self.gone) {
            if let Some(member) = self.members.find(*node) {
                log::info!("member {node:016x} at {} is {:?}", member.address, member.state);
                peers.send(peers::Message::Close { address: member.address.clone() });
            }
        }
        self.gone = gone;
    }
}

/// Tells the services that hold requests back.
pub(crate) fn tell_holds(kernel: &Kernel, holds: &[Hold]) {
    let guard: Mailbox<guard::Ask> = kernel.service(names::GUARD);
    guard.send(guard::Ask::Holds(holds.to_vec()));
    let router: Mailbox<router::Message> = kernel.service(names::ROUTER);
    router.send(router::Message::Holds(holds.to_vec()));
}

/// Compares the list with one member.
async fn sync(kernel: Kernel, with: Box<str>) {
    let membership: Mailbox<Ask> = kernel.service(names::MEMBERSHIP);
    let peers: Mailbox<peers::Message> = kernel.service(names::PEERS);
    let Some(Some(link)) =
        peers.request(|reply| peers::Message::Connect { address: with, reply }).await
    else {
        return;
    };
    metrics::counter!("bronzeport_member_syncs_total").increment(1);
    for _ in 0..MAX_SYNC_PAGES {
        let digests = digests(&membership).await;
        let members = kernel.clock().timeout(SYNC_TIME, link.members(&digests)).await;
        let Ok(Ok(members)) = members else {
            return;
        };
        let is_last = members.len() < SYNC_PAGE;
        membership.send(Ask::Learn(members));
        if is_last {
            return;
        }
    }
}

async fn digests(membership: &Mailbox<Ask>) -> Vec<u64> {
    membership.request(|reply| Ask::Digests { reply }).await.unwrap_or_default()
}

/// Finds first members by the settings or the table, and keeps this node's row there if
/// it is among those that started first. A daemon that writes its row reads the table
/// after that, so that of two that start at once one finds the other.
async fn join(
    kernel: Kernel,
    membership: Mailbox<Ask>,
    first_peers: Vec<SocketAddr>,
    join_within: Duration,
) {
    let first_peers: Vec<Box<str>> =
        first_peers.iter().map(|address| address.to_string().into()).collect();
    kernel.clock().sleep(join_within.mul_f64(fastrand::f64())).await;
    let (mut pause, mut written) = (JOIN_PAUSE_MIN, None);
    loop {
        if count(&membership).await <= 1 {
            let found = read_table(&kernel, &membership).await;
            meet(&kernel, first_peers.iter().chain(&found)).await;
        }
        let (count, now) = (count(&membership).await, kernel.clock().now());
        // Another daemon may have written its row in the same place.
        let is_old = |at| count > 1 && now - at > renew_after(count);
        let needs_row = written.is_none_or(is_old) && is_contact(&membership).await;
        if needs_row && announce(&kernel, &membership).await {
            written = Some(now);
            meet(&kernel, &read_table(&kernel, &membership).await).await;
        }
        let is_settled = count > 1 && (written.is_some() || !needs_row);
        pause = if is_settled { ROW_LOOK_EVERY } else { (pause * 2).min(JOIN_PAUSE_MAX) };
        kernel.clock().sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Age at which a contact of a fleet of `count` daemons writes its row again.
fn renew_after(count: usize) -> Duration {
    Duration::from_secs_f64(count as f64 / FLEET_ANNOUNCEMENTS_PER_SECOND).max(ROW_LOOK_EVERY)
}

/// Whether this node is one of those by which new daemons find the others.
async fn is_contact(membership: &Mailbox<Ask>) -> bool {
    let place = membership.request(|reply| Ask::Place { reply }).await;
    place.is_none_or(|place| place.earlier < CONTACTS)
}

async fn count(membership: &Mailbox<Ask>) -> usize {
    membership.request(|reply| Ask::Count { reply }).await.unwrap_or(1)
}

/// Compares lists with the daemons at some of these addresses, and takes over the
/// configuration that they have.
async fn meet(kernel: &Kernel, addresses: impl IntoIterator<Item = &Box<str>>) {
    let mut addresses: Vec<&Box<str>> = addresses.into_iter().collect();
    fastrand::shuffle(&mut addresses);
    let configuration: Mailbox<configuration::Ask> = kernel.service(names::CONFIGURATION);
    let meetings = addresses.into_iter().take(FIRST_CONTACTS).map(async |address| {
        sync(kernel.clone(), address.clone()).await;
        let from = address.clone();
        configuration.send(configuration::Ask::Heard { revision: u64::MAX, from });
    });
    futures::future::join_all(meetings).await;
}

/// Addresses of other daemons by their rows in the table.
async fn read_table(kernel: &Kernel, membership: &Mailbox<Ask>) -> Vec<Box<str>> {
    let own = membership.request(|reply| Ask::Own { reply }).await.map(|own| own.address);
    let store: Mailbox<storage::Ask> = kernel.service(names::STORE);
    let ask = |reply| storage::Ask::Table { table: MEMBER_TABLE.into(), limit: 500, reply };
    match store.request(ask).await {
        Some(Ok(rows)) => {
            let addresses = rows.rows.into_iter().map(|row| row.value);
            addresses.filter(|address| own.as_ref() != Some(address)).collect()
        }
        Some(Err(failure)) => {
            log::info!("the table of members is not read: {failure}");
            Vec::new()
        }
        None => Vec::new(),
    }
}

/// Writes this node's row. `false` when it is not known to be written.
async fn announce(kernel: &Kernel, membership: &Mailbox<Ask>) -> bool {
    let Some(own) = membership.request(|reply| Ask::Own { reply }).await else {
        return false;
    };
    let place = own.node % TABLE_ROWS;
    let write = Write {
        key: format!("{MEMBER_TABLE}/{}/{place:02}", own.data_centre).into(),
        condition: Condition::Always,
        value: own.address,
    };
    let rows: Mailbox<storage::Ask> = kernel.service(names::STORE);
    let commit = rows.request(|reply| storage::Ask::Commit { write, reply }).await;
    matches!(commit, Some(store::CommitResult::Done(_)))
}
