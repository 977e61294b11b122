//! Service that holds the configuration in force.
//!
//! A daemon gets a revision from the publisher, from a peer after gossip has announced the
//! revision, or from a table of the store. A lower revision never replaces a higher one,
//! whatever its source.

mod recovery;
mod route_table;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use config::stored::{self, Head};
use config::{
    ActiveConfig, Change, InstallResult, Organisations, PathRule, Revision, RouteTable, Service,
};
use kernel::{Inbox, Kernel, Mailbox, Reply};
use store::{Cell, Failure, Row};
use wire::Changes;

use crate::adapter::ProtocolAdapter;
use crate::{guard, membership, names, peers, quota, router, storage};
use recovery::StoredHead;

/// Reads of the newest revision number per second by the whole fleet.
const FLEET_POLLS_PER_SECOND: f64 = 100.0;
/// Shortest time between two reads of the newest revision number by one daemon.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of poll intervals without a successful read after which the revision may be old.
const MAX_MISSED_POLLS: u32 = 5;
/// Number of peers from which a new daemon requests the configuration.
const MAX_BOOTSTRAP_PEERS: usize = 3;
/// Time limit of a request for changes to a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Most log rows that are read at once. If more revisions are missing, the rows of all
/// services are read instead.
const MAX_LOG_ROWS: usize = 64;
/// Most bytes of configuration files in one reply to a peer.
const MAX_PULL_BYTES: usize = 512 * 1024;
/// Number of rows in one page of a list.
const PAGE_ROWS: usize = 500;

/// Messages that the service handles.
pub(crate) enum Message {
    /// Looks up the settings of a service.
    Service { name: Box<str>, reply: Reply<Lookup<Rc<Service>>> },
    /// Looks up the path rule for a request in the route table.
    Path { hostname: Box<str>, path: Box<str>, reply: Reply<Lookup<MatchedPath>> },
    /// The route table has been read from the store.
    RouteTableRead { text: Box<str> },
    /// The peer at the address `from` has this revision.
    PeerRevision { revision: Revision, from: Box<str> },
    /// Returns all changes after a revision.
    Changes { after: Revision, reply: Reply<Changes> },
    /// Returns the newest change of every service.
    ServiceChanges { reply: Reply<Vec<Change>> },
    /// Installs these changes, which apply to revision `from`.
    Install { from: Revision, changes: Changes },
    /// A pull from a peer has ended.
    PullFinished,
    /// The newest revision number has been read from the store.
    Head(Result<Revision, Failure>),
    /// The route table has been read from the store at this time, and is installed.
    Confirmed { read_at: Instant },
    /// The route table was last read from the store at this time, by this daemon or another one
    /// that has the same revision.
    FleetConfirmed { read_at: Option<Instant> },
    /// The number of members in the fleet has changed to this value.
    MemberCount(usize),
    /// Returns the state of the configuration.
    State { reply: Reply<State> },
}

/// Result of a lookup by name. A single reply carries both the entry and whether the daemon
/// is ready, because a configuration that has the entry may come into force between two
/// requests.
#[derive(Debug)]
pub(crate) enum Lookup<T> {
    Found(T),
    /// The configuration in force has no entry with this name.
    Unknown,
    /// This daemon has not received a configuration yet.
    NotReady,
}

/// The path rule for a request.
#[derive(Debug)]
pub(crate) struct MatchedPath {
    pub(crate) path: Rc<PathRule>,
    /// The route table that the rule is from.
    pub(crate) table: Rc<RouteTable>,
}

/// State of the configuration.
#[derive(Debug, Clone, Copy)]
pub(crate) struct State {
    pub(crate) revision: Revision,
    /// Whether a newer revision may be in force on other daemons without this daemon
    /// knowing it, because the store has not been read recently.
    pub(crate) may_be_old: bool,
    /// Whether this daemon has requested the configuration from its peers or the store
    /// since it started.
    pub(crate) has_synced: bool,
}

impl State {
    /// Whether the daemon can decide about calls: a configuration is in force, and the
    /// sources of a newer one have been consulted.
    pub(crate) fn is_ready_for_calls(&self) -> bool {
        self.has_synced && self.revision > 0
    }
}

/// Starts the service.
///
/// `join_within` is the longest random wait before this daemon contacts other daemons.
pub(crate) fn start(
    kernel: &Kernel,
    node: u64,
    adapter: ProtocolAdapter,
    bootstrap_peers: &[SocketAddr],
    join_within: Duration,
) {
    let inbox = kernel.register(names::CONFIGURATION);
    let mailbox: Mailbox<Message> = kernel.service(names::CONFIGURATION);
    let task = Task {
        kernel: kernel.clone(),
        mailbox: mailbox.clone(),
        active_config: adapter
            .read_route_table
            .map_or_else(ActiveConfig::default, ActiveConfig::with_route_table),
        uses_route_table: adapter.read_route_table.is_some(),
        is_pulling: false,
        has_synced: false,
        confirmed_at: None,
        poll_interval: MIN_POLL_INTERVAL,
        older_in_store: None,
    };
    kernel.start(task.run(inbox));
    let bootstrap_peers = bootstrap_peers.iter().map(|peer| peer.to_string().into()).collect();
    match adapter.read_route_table {
        Some(_) => {
            let reader = route_table::Reader::new(
                kernel,
                mailbox,
                adapter.route_table_key,
                adapter.evacuation_prefix,
            );
            reader.start(join_within);
        }
        None => kernel.start(poll_store(kernel.clone(), mailbox, node, bootstrap_peers)),
    }
}

struct Task {
    kernel: Kernel,
    mailbox: Mailbox<Message>,
    /// Whether the configuration is a route table instead of a file per service.
    uses_route_table: bool,
    active_config: ActiveConfig,
    is_pulling: bool,
    has_synced: bool,
    confirmed_at: Option<Instant>,
    poll_interval: Duration,
    /// Revision of the store if it is older than the one in force, once this is logged.
    older_in_store: Option<Revision>,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Message>) {
        while let Some(message) = inbox.receive().await {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Service { name, reply } => {
                reply.send(self.lookup_result(self.active_config.service(&name).cloned()));
            }
            Message::Path { hostname, path, reply } => {
                let table = self.active_config.route_table();
                let found = table.and_then(|table| {
                    let path = table.find(&hostname, &path)?.clone();
                    Some(MatchedPath { path, table: table.clone() })
                });
                reply.send(self.lookup_result(found));
            }
            Message::RouteTableRead { text } => self.install_table(text),
            Message::PeerRevision { revision, from } => self.pull_from(revision, from),
            Message::Changes { after, reply } => {
                let (revision, changes) = self.active_config.changes_since(after, MAX_PULL_BYTES);
                reply.send(Changes { revision, changes });
            }
            Message::ServiceChanges { reply } => {
                reply.send(self.active_config.service_changes().cloned().collect());
            }
            Message::Install { from, changes } => self.install(from, changes),
            Message::PullFinished => self.is_pulling = false,
            Message::Head(head) => self.check_head(head),
            Message::Confirmed { read_at } => {
                let membership: Mailbox<membership::Message> =
                    self.kernel.service(names::MEMBERSHIP);
                membership.send(membership::Message::Confirmed { read_at });
            }
            Message::FleetConfirmed { read_at } => self.confirmed_at = read_at,
            Message::MemberCount(count) => self.poll_interval = poll_interval(count),
            Message::State { reply } => {
                reply.send(self.state());
            }
        }
    }

    fn lookup_result<T>(&self, found: Option<T>) -> Lookup<T> {
        match found {
            Some(found) => Lookup::Found(found),
            None if self.state().is_ready_for_calls() => Lookup::Unknown,
            None => Lookup::NotReady,
        }
    }

    fn state(&self) -> State {
        let now = self.kernel.clock().now();
        let limit = match self.uses_route_table {
            true => route_table::MAX_READ_AGE,
            false => self.poll_interval * MAX_MISSED_POLLS,
        };
        State {
            revision: self.active_config.revision(),
            may_be_old: self.confirmed_at.is_none_or(|at| now - at > limit),
            has_synced: self.has_synced,
        }
    }

    fn pull_from(&mut self, revision: Revision, from: Box<str>) {
        if revision <= self.active_config.revision() || self.is_pulling {
            return;
        }
        self.is_pulling = true;
        let (kernel, mailbox) = (self.kernel.clone(), self.mailbox.clone());
        let after = self.active_config.revision();
        self.kernel.start(async move {
            pull_all(&kernel, &mailbox, from, after, revision).await;
            mailbox.send(Message::PullFinished);
        });
    }

    fn install(&mut self, from: Revision, changes: Changes) {
        if from > self.active_config.revision() {
            // The changes between the revision in force and `from` are missing.
            return;
        }
        match self.active_config.install(changes.revision, changes.changes) {
            InstallResult::Installed(revision) => self.finish_install(revision),
            InstallResult::Stale { .. } => {}
            InstallResult::Invalid => {
                log::warn!(
                    "revision {} does not pass the check and is not installed",
                    changes.revision
                );
                count_invalid();
            }
        }
    }

    /// Installs the route table, whose text contains its revision.
    fn install_table(&mut self, text: Box<str>) {
        match self.active_config.install_route_table(text) {
            Ok(InstallResult::Installed(revision)) => self.finish_install(revision),
            Ok(InstallResult::Stale { revision }) => {
                self.log_older_revision(revision);
                self.has_synced = true;
            }
            // This daemon's interface does not use a route table.
            Ok(InstallResult::Invalid) => {}
            Err(findings) => {
                log::warn!("the route table does not pass the check: {findings}");
                count_invalid();
            }
        }
    }

    /// Logs that the store has an older revision than the one in force.
    fn log_older_revision(&mut self, in_store: Revision) {
        let in_force = self.active_config.revision();
        if in_store < in_force && self.older_in_store != Some(in_store) {
            log::warn!("the store has revision {in_store}, but revision {in_force} is in force");
        }
        self.older_in_store = (in_store < in_force).then_some(in_store);
    }

    fn finish_install(&mut self, revision: Revision) {
        self.has_synced |= self.uses_route_table;
        self.notify_services(revision);
    }

    fn notify_services(&self, revision: Revision) {
        log::info!("configuration revision {revision} is in force");
        metrics::gauge!("bronzeport_config_revision").set(revision as f64);
        let router: Mailbox<router::Message> = self.kernel.service(names::ROUTER);
        router.send(router::Message::Services(self.active_config.services().cloned().collect()));
        if let Some(table) = self.active_config.route_table() {
            let target_settings = table.target_settings.iter();
            let names = target_settings.clone().map(|settings| settings.service.clone()).collect();
            router.send(router::Message::RoutedServices(names));
            let guard: Mailbox<guard::Message> = self.kernel.service(names::GUARD);
            guard.send(guard::Message::TargetSettings(target_settings.cloned().collect()));
            let organisations = table.organisations.iter().flat_map(Organisations::iter);
            let organisations = organisations.map(|owner| (**owner).clone()).collect();
            let quota: Mailbox<quota::Message> = self.kernel.service(names::QUOTA);
            quota.send(quota::Message::Organisations(organisations));
        }
        let membership: Mailbox<membership::Message> = self.kernel.service(names::MEMBERSHIP);
        membership.send(membership::Message::Revision(revision));
    }

    fn check_head(&mut self, head: Result<Revision, Failure>) {
        self.has_synced = true;
        match head {
            Ok(revision) if revision <= self.active_config.revision() => {
                self.log_older_revision(revision);
                self.confirmed_at = Some(self.kernel.clock().now());
            }
            // The missing changes are being read, or the read failed.
            Ok(_) | Err(_) => {}
        }
    }
}

fn count_invalid() {
    metrics::counter!("bronzeport_config_invalid_total").increment(1);
}

/// Requests the configuration from peers at the start, then polls the store for new
/// revisions.
async fn poll_store(
    kernel: Kernel,
    mailbox: Mailbox<Message>,
    node: u64,
    bootstrap_peers: Vec<Box<str>>,
) {
    let mut eras = recovery::Eras::default();
    for peer in bootstrap_peers.into_iter().take(MAX_BOOTSTRAP_PEERS) {
        pull_all(&kernel, &mailbox, peer, 0, Revision::MAX).await;
    }
    loop {
        let revision =
            mailbox.request(|reply| Message::State { reply }).await.map_or(0, |s| s.revision);
        let head = read_head(&kernel).await;
        if let Ok(stored) = head {
            let must_recover = eras.must_recover(stored, revision);
            if stored.head.revision > revision {
                read_changes(&kernel, &mailbox, revision, stored.head.revision).await;
            } else if must_recover
                && let Err(failure) = eras.recover(&kernel, &mailbox, node, stored).await
            {
                log::warn!("cannot write again what the store has lost: {failure}");
            }
        }
        mailbox.send(Message::Head(head.map(|stored| stored.head.revision)));
        wait_for_poll(&kernel).await;
    }
}

/// Returns the interval at which one of `members` daemons reads the newest revision number.
fn poll_interval(members: usize) -> Duration {
    let every = Duration::from_secs_f64(members as f64 / FLEET_POLLS_PER_SECOND);
    every.max(MIN_POLL_INTERVAL)
}

async fn wait_for_poll(kernel: &Kernel) {
    let membership: Mailbox<membership::Message> = kernel.service(names::MEMBERSHIP);
    let members = membership.request(|reply| membership::Message::Count { reply }).await;
    let every = poll_interval(members.unwrap_or(1));
    let jitter = 0.5 + fastrand::f64();
    kernel.clock().sleep(every.mul_f64(jitter)).await;
}

/// Pulls changes from one peer, page by page, until revision `to` is reached
/// or the peer has no more changes.
async fn pull_all(
    kernel: &Kernel,
    mailbox: &Mailbox<Message>,
    address: Box<str>,
    mut after: Revision,
    to: Revision,
) {
    while after < to {
        let Some(changes) = pull(kernel, address.clone(), after).await else {
            return;
        };
        let reached = changes.revision;
        mailbox.send(Message::Install { from: after, changes });
        if reached <= after {
            return;
        }
        after = reached;
    }
}

async fn pull(kernel: &Kernel, address: Box<str>, after: Revision) -> Option<Changes> {
    let peers: Mailbox<peers::Message> = kernel.service(names::PEERS);
    let peer = membership::Peer::Address(address.clone());
    let client = peers.request(|reply| peers::Message::Connect { address, reply }).await??;
    let changes = kernel.clock().timeout(PULL_TIMEOUT, client.changes(after)).await;
    let changes = changes.ok()?.ok()?;
    let membership: Mailbox<membership::Message> = kernel.service(names::MEMBERSHIP);
    let (kind, bytes) = ("configuration", changes.wire_size());
    membership.send(membership::Message::Transferred { kind, peer, bytes });
    Some(changes)
}

async fn read_head(kernel: &Kernel) -> Result<StoredHead, Failure> {
    let store: Mailbox<storage::Message> = kernel.service(names::STORE);
    let key = stored::HEAD_KEY.into();
    let Cell { tag, value } = store
        .request(|reply| storage::Message::Read { key, reply })
        .await
        .unwrap_or(Err(Failure::Down))?;
    let head = value.map(|text| Head::try_from(&*text)).transpose();
    Ok(StoredHead { head: head.map_err(|_| Failure::Garbled)?.unwrap_or_default(), tag })
}

/// Reads the changes from `revision` to `head` from the store and installs them.
async fn read_changes(
    kernel: &Kernel,
    mailbox: &Mailbox<Message>,
    revision: Revision,
    head: Revision,
) {
    let from_log = match head - revision <= MAX_LOG_ROWS as u64 {
        true => read_log(kernel, revision, head).await,
        false => None,
    };
    // The log has gaps where revisions were lost.
    let read = match from_log {
        Some(changes) => Some(changes),
        None => {
            let changes = list_services(kernel).await;
            changes.map(|changes| Changes { revision: head, changes })
        }
    };
    if let Some(changes) = read {
        mailbox.send(Message::Install { from: revision, changes });
    }
}

async fn list(kernel: &Kernel, prefix: &str, after: &str, limit: usize) -> Option<Vec<Row>> {
    let store: Mailbox<storage::Message> = kernel.service(names::STORE);
    let (prefix, after) = (prefix.into(), after.into());
    let rows = store.request(|reply| storage::Message::List { prefix, after, limit, reply }).await;
    rows?.ok()
}

/// Reads the changes between two revisions from the rows of the log. Returns `None` if a
/// revision is missing.
async fn read_log(kernel: &Kernel, revision: Revision, head: Revision) -> Option<Changes> {
    let rows = list(kernel, stored::LOG_PREFIX, &stored::log_key(revision), MAX_LOG_ROWS).await?;
    let mut changes = Vec::new();
    let mut expected = revision + 1;
    for row in rows {
        let (revision, entry_changes) = stored::read_entry(&row.value).ok()?;
        if revision != expected {
            return None;
        }
        changes.extend(entry_changes);
        expected += 1;
    }
    (expected > head).then_some(Changes { revision: expected - 1, changes })
}

/// Reads the newest change of every service. The result may include changes that are newer
/// than the head that was read before; these are installed again with their own revision.
async fn list_services(kernel: &Kernel) -> Option<Vec<Change>> {
    let mut changes = Vec::new();
    let mut after = Box::from("");
    loop {
        let rows = list(kernel, stored::SERVICE_PREFIX, &after, PAGE_ROWS).await?;
        let is_last = rows.len() < PAGE_ROWS;
        for row in rows {
            changes.push(stored::read_service(&row.key, &row.value).ok()?);
            after = row.key;
        }
        if is_last {
            return Some(changes);
        }
    }
}
