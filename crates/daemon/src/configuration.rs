//! The service that holds the configuration in force.
//!
//! A revision reaches a daemon from the publisher, by gossip from a peer, or
//! from the table. Whatever the way, a lower revision never replaces a higher
//! one.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use config::{ActiveConfig, Change, InstallResult, PathRule, RequestLimits, Revision, Service};
use kernel::{Inbox, Kernel, Mailbox, Reply};
use serde_json::Value;
use store::{Failure, Row, Rows, Version};
use wire::Changes;

use crate::edge::Edge;
use crate::{guard, membership, names, peers, router, storage};

/// Reads of the newest revision that the whole fleet makes in a second.
const FLEET_POLLS_PER_SECOND: f64 = 100.0;
/// Shortest time between two reads by one daemon.
const POLL_MIN: Duration = Duration::from_secs(1);
/// Reads without success after which the revision may be old.
const POLLS_UNTIL_UNSURE: u32 = 5;
/// Peers that a new daemon asks.
const FIRST_PEERS: usize = 3;
/// Time limit of asking a peer for changes.
const PULL_TIME: Duration = Duration::from_secs(1);
/// Log rows that are read at once; a larger gap reads all services.
const MAX_LOG_ROWS: usize = 64;
/// Bytes of files in one answer to a peer.
const MAX_PULL_BYTES: usize = 512 * 1024;
/// Rows in one page of a list.
const PAGE_ROWS: usize = 500;

/// Time for which a feed of the table of paths waits for a change.
const FEED_WAIT: Duration = Duration::from_secs(20);
/// Daemons of a data centre that follow the feed: those that started first. Each call to
/// the store is paid for; the others hear of changes from these. One stays when the store
/// turns the other away, and a data centre that is cut off from the others has its own.
const FOLLOWING: usize = 2;
/// Time in which a daemon that starts meets others, after which it is known who follows.
const MEETING_TIME: Duration = Duration::from_secs(1);
/// Time after which a daemon that has got no configuration from others reads the store.
const UNREADY_LIMIT: Duration = Duration::from_secs(5);
/// Time without a word from another daemon after which one follows by itself.
const QUIET_LIMIT: Duration = Duration::from_secs(2);
/// Time between two looks whether to follow.
const FOLLOW_LOOK_EVERY: Duration = Duration::from_millis(500);
/// Rows of the table that holds the table of paths, at most.
const MAX_FEED_ROWS: usize = 100;
/// Pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

const HEAD_KEY: &str = "config/head";
const LOG_PREFIX: &str = "config/log/";
const SERVICE_PREFIX: &str = "config/service/";

/// What the service is asked and told.
pub(crate) enum Ask {
    /// Give the settings of a service.
    Service { name: Box<str>, reply: Reply<Lookup<Rc<Service>>> },
    /// Give what the table of paths says of a request.
    Path { hostname: Box<str>, path: Box<str>, reply: Reply<Lookup<Found>> },
    /// The table of paths as it stands in the store.
    Table { text: Box<str> },
    /// A peer has this revision.
    Heard { revision: Revision, from: Box<str> },
    /// Give all changes after a revision.
    Changes { after: Revision, reply: Reply<Changes> },
    /// Install these changes, which follow on revision `from`.
    Install { from: Revision, changes: Changes },
    /// A pull has ended.
    Pulled,
    /// The table's newest revision, as just read.
    Head(Result<Revision, Failure>),
    /// The store's feed has answered: nothing newer stands there.
    Confirmed,
    /// The fleet has this many members.
    Members(usize),
    /// Tell what is in force.
    State { reply: Reply<State> },
}

/// What the configuration says of something by its name. It is one answer: between two
/// questions a configuration may come into force that knows it.
#[derive(Debug)]
pub(crate) enum Lookup<T> {
    Found(T),
    /// It does not exist.
    Unknown,
    /// This daemon does not know yet what exists.
    NotReady,
}

/// What the table of paths says of a request.
#[derive(Debug)]
pub(crate) struct Found {
    pub(crate) path: Rc<PathRule>,
    pub(crate) bounds: RequestLimits,
    /// Revision of the table.
    pub(crate) revision: Revision,
}

/// What is in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct State {
    pub(crate) revision: Revision,
    /// Whether a newer revision could be in force elsewhere unknown to this
    /// daemon, because the table has not been read lately.
    pub(crate) may_be_old: bool,
    /// Whether peers or the table have been asked after the start.
    pub(crate) is_ready: bool,
}

impl State {
    /// Whether calls can be judged: a configuration is in force, and whoever may
    /// know a newer one has been asked.
    pub(crate) fn can_judge(&self) -> bool {
        self.is_ready && self.revision > 0
    }
}

/// Starts the service.
/// `join_within` is the longest time until this daemon looks for others.
pub(crate) fn start(
    kernel: &Kernel,
    edge: Edge,
    first_peers: &[SocketAddr],
    join_within: Duration,
) {
    let inbox = kernel.register(names::CONFIGURATION);
    let mailbox: Mailbox<Ask> = kernel.service(names::CONFIGURATION);
    let task = Task {
        kernel: kernel.clone(),
        mailbox: mailbox.clone(),
        book: edge.read_table.map_or_else(ActiveConfig::default, ActiveConfig::with_route_table),
        has_table: edge.read_table.is_some(),
        is_pulling: false,
        is_ready: false,
        confirmed: None,
        poll_every: POLL_MIN,
    };
    kernel.start(task.run(inbox));
    let first_peers = first_peers.iter().map(|peer| peer.to_string().into()).collect();
    match edge.read_table {
        Some(_) => {
            kernel.start(follow_table(kernel.clone(), mailbox, edge.table_row, join_within));
        }
        None => kernel.start(follow(kernel.clone(), mailbox, first_peers)),
    }
}

struct Task {
    kernel: Kernel,
    mailbox: Mailbox<Ask>,
    /// Whether a table of paths is what is in force.
    has_table: bool,
    book: ActiveConfig,
    is_pulling: bool,
    is_ready: bool,
    confirmed: Option<Instant>,
    poll_every: Duration,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Ask>) {
        while let Some(ask) = inbox.receive().await {
            self.take(ask);
        }
    }

    fn take(&mut self, ask: Ask) {
        match ask {
            Ask::Service { name, reply } => {
                reply.send(self.judge(self.book.service(&name).cloned()));
            }
            Ask::Path { hostname, path, reply } => {
                let table = self.book.route_table();
                let found = table.and_then(|table| {
                    let path = table.find(&hostname, &path)?.clone();
                    Some(Found { path, bounds: table.limits, revision: table.revision })
                });
                reply.send(self.judge(found));
            }
            Ask::Table { text } => self.install_table(text),
            Ask::Heard { revision, from } => self.heard(revision, from),
            Ask::Changes { after, reply } => {
                let (revision, changes) = self.book.changes_since(after, MAX_PULL_BYTES);
                reply.send(Changes { revision, changes });
            }
            Ask::Install { from, changes } => self.install(from, changes),
            Ask::Pulled => self.is_pulling = false,
            Ask::Head(head) => self.confirm(head),
            Ask::Confirmed => self.confirmed = Some(self.kernel.clock().now()),
            Ask::Members(count) => self.poll_every = poll_every(count),
            Ask::State { reply } => {
                reply.send(self.state());
            }
        }
    }

    fn judge<T>(&self, found: Option<T>) -> Lookup<T> {
        match found {
            Some(found) => Lookup::Found(found),
            None if self.state().can_judge() => Lookup::Unknown,
            None => Lookup::NotReady,
        }
    }

    fn state(&self) -> State {
        let now = self.kernel.clock().now();
        let limit = match self.has_table {
            true => FEED_WAIT * 2,
            false => self.poll_every * POLLS_UNTIL_UNSURE,
        };
        State {
            revision: self.book.revision(),
            may_be_old: self.confirmed.is_none_or(|at| now - at > limit),
            is_ready: self.is_ready,
        }
    }

    fn heard(&mut self, revision: Revision, from: Box<str>) {
        if revision <= self.book.revision() || self.is_pulling {
            return;
        }
        self.is_pulling = true;
        let (kernel, mailbox) = (self.kernel.clone(), self.mailbox.clone());
        let after = self.book.revision();
        self.kernel.start(async move {
            pull_all(&kernel, &mailbox, from, after, revision).await;
            mailbox.send(Ask::Pulled);
        });
    }

    fn install(&mut self, from: Revision, changes: Changes) {
        if from > self.book.revision() {
            // There is a gap: the changes between are not known.
            return;
        }
        match self.book.install(changes.revision, changes.changes) {
            InstallResult::Installed(revision) => self.installed(revision),
            InstallResult::Stale => {}
            InstallResult::Invalid => {
                log::warn!(
                    "revision {} does not pass the check and is not installed",
                    changes.revision
                );
                count_invalid();
            }
        }
    }

    /// Installs the table of paths, whose text tells its revision.
    fn install_table(&mut self, text: Box<str>) {
        match self.book.install_route_table(text) {
            Ok(InstallResult::Installed(revision)) => self.installed(revision),
            Ok(InstallResult::Stale) => self.is_ready = true,
            // There is no table on this daemon's interface.
            Ok(InstallResult::Invalid) => {}
            Err(findings) => {
                log::warn!("the table of paths does not pass the check: {findings}");
                count_invalid();
            }
        }
    }

    fn installed(&mut self, revision: Revision) {
        self.is_ready |= self.has_table;
        self.announce(revision);
    }

    fn announce(&self, revision: Revision) {
        log::info!("configuration revision {revision} is in force");
        metrics::gauge!("bronzeport_config_revision").set(revision as f64);
        let router: Mailbox<router::Message> = self.kernel.service(names::ROUTER);
        router.send(router::Message::Services(self.book.services().cloned().collect()));
        if let Some(table) = self.book.route_table() {
            let endpoints = table.target_settings.iter();
            let names = endpoints.clone().map(|endpoint| endpoint.service.clone()).collect();
            router.send(router::Message::RoutedServices(names));
            let guard: Mailbox<guard::Ask> = self.kernel.service(names::GUARD);
            guard.send(guard::Ask::Endpoints(endpoints.cloned().collect()));
        }
        let membership: Mailbox<membership::Ask> = self.kernel.service(names::MEMBERSHIP);
        membership.send(membership::Ask::Revision(revision));
    }

    fn confirm(&mut self, head: Result<Revision, Failure>) {
        self.is_ready = true;
        match head {
            Ok(revision) if revision <= self.book.revision() => {
                self.confirmed = Some(self.kernel.clock().now());
            }
            // What is missing is on its way.
            Ok(_) | Err(_) => {}
        }
    }
}

fn count_invalid() {
    metrics::counter!("bronzeport_config_invalid_total").increment(1);
}

/// Asks peers and the table at the start, then reads the table now and then.
async fn follow(kernel: Kernel, mailbox: Mailbox<Ask>, first_peers: Vec<Box<str>>) {
    for peer in first_peers.into_iter().take(FIRST_PEERS) {
        pull_all(&kernel, &mailbox, peer, 0, Revision::MAX).await;
    }
    loop {
        let revision =
            mailbox.request(|reply| Ask::State { reply }).await.map_or(0, |s| s.revision);
        let head = read_head(&kernel).await;
        if let Ok(head) = head
            && head > revision
        {
            read_changes(&kernel, &mailbox, revision, head).await;
        }
        mailbox.send(Ask::Head(head));
        wait_for_poll(&kernel).await;
    }
}

/// Reads the table of paths and follows its changes. Other daemons tell of a new
/// revision, too, when the store does not.
///
/// Where daemons start again they all read the table at once; where a fleet starts for the
/// first time, and takes its time to join, only those do that follow it then.
async fn follow_table(kernel: Kernel, mailbox: Mailbox<Ask>, row: &str, join_within: Duration) {
    let table = row.split('/').next().unwrap_or(row);
    let started = kernel.clock().now();
    let mut known = None;
    let mut is_awaited = join_within.is_zero();
    if !is_awaited {
        kernel.clock().sleep(join_within + MEETING_TIME).await;
    }
    loop {
        let is_late = known.is_none() && kernel.clock().now() - started > UNREADY_LIMIT;
        let reads = is_awaited || follows(&kernel).await || (is_late && !is_ready(&mailbox).await);
        if !reads {
            kernel.clock().sleep(FOLLOW_LOOK_EVERY).await;
            continue;
        }
        is_awaited = false;
        let is_first = known.is_none();
        match read_feed(&kernel, table, known).await {
            Ok(rows) => {
                known = Some(rows.version);
                for row in rows.rows.into_iter().filter(|found| *found.key == *row) {
                    mailbox.send(Ask::Table { text: row.value });
                }
                mailbox.send(Ask::Confirmed);
                if is_first {
                    kernel.clock().sleep(MEETING_TIME).await;
                }
            }
            // The whole table is read again.
            Err(Failure::Compacted) => {
                log::info!("the feed of {table} has lost its history and is read anew");
                known = None;
            }
            Err(failure) => {
                log::debug!("the feed of {table} has failed: {failure}");
                is_awaited = is_first && join_within.is_zero();
                kernel.clock().sleep(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}

async fn is_ready(mailbox: &Mailbox<Ask>) -> bool {
    mailbox.request(|reply| Ask::State { reply }).await.is_some_and(|state| state.can_judge())
}

/// Whether this daemon is among those that follow the feed: the earliest started ones
/// of its data centre, or any that hears of no other.
async fn follows(kernel: &Kernel) -> bool {
    let membership: Mailbox<membership::Ask> = kernel.service(names::MEMBERSHIP);
    let place = membership.request(|reply| membership::Ask::Place { reply }).await;
    place.is_none_or(|place| place.earlier < FOLLOWING || place.quiet_for > QUIET_LIMIT)
}

/// The whole table, or its changes after a version that is known.
async fn read_feed(kernel: &Kernel, table: &str, known: Option<Version>) -> Result<Rows, Failure> {
    let rows: Mailbox<storage::Ask> = kernel.service(names::STORE);
    let table = table.into();
    let read = match known {
        None => {
            rows.request(|reply| storage::Ask::Table { table, limit: MAX_FEED_ROWS, reply }).await
        }
        Some(after) => {
            let wait = FEED_WAIT;
            rows.request(|reply| storage::Ask::Feed { table, after, wait, reply }).await
        }
    };
    read.unwrap_or(Err(Failure::Down))
}

/// Time between two reads of the table's head by one of `members` daemons.
fn poll_every(members: usize) -> Duration {
    let every = Duration::from_secs_f64(members as f64 / FLEET_POLLS_PER_SECOND);
    every.max(POLL_MIN)
}

async fn wait_for_poll(kernel: &Kernel) {
    let membership: Mailbox<membership::Ask> = kernel.service(names::MEMBERSHIP);
    let members = membership.request(|reply| membership::Ask::Count { reply }).await;
    let every = poll_every(members.unwrap_or(1));
    let jitter = 0.5 + fastrand::f64();
    kernel.clock().sleep(every.mul_f64(jitter)).await;
}

/// Pulls changes from one peer, page by page, until revision `to` is reached
/// or the peer has no more.
async fn pull_all(
    kernel: &Kernel,
    mailbox: &Mailbox<Ask>,
    address: Box<str>,
    mut after: Revision,
    to: Revision,
) {
    while after < to {
        let Some(changes) = pull(kernel, address.clone(), after).await else {
            return;
        };
        let reached = changes.revision;
        mailbox.send(Ask::Install { from: after, changes });
        if reached <= after {
            return;
        }
        after = reached;
    }
}

async fn pull(kernel: &Kernel, address: Box<str>, after: Revision) -> Option<Changes> {
    let peers: Mailbox<peers::Message> = kernel.service(names::PEERS);
    let link = peers.request(|reply| peers::Message::Connect { address, reply }).await??;
    let changes = kernel.clock().timeout(PULL_TIME, link.changes(after)).await;
    changes.ok()?.ok()
}

async fn read_head(kernel: &Kernel) -> Result<Revision, Failure> {
    let rows: Mailbox<storage::Ask> = kernel.service(names::STORE);
    let key = HEAD_KEY.into();
    let row = rows
        .request(|reply| storage::Ask::Read { key, reply })
        .await
        .unwrap_or(Err(Failure::Down))?;
    match row {
        None => Ok(0),
        Some(row) => number_of(&row.value, "revision").ok_or(Failure::Garbled),
    }
}

/// Brings the book from `revision` to `head` by the table.
async fn read_changes(kernel: &Kernel, mailbox: &Mailbox<Ask>, revision: Revision, head: Revision) {
    let read = match head - revision <= MAX_LOG_ROWS as u64 {
        true => read_log(kernel, revision, head).await,
        false => read_services(kernel, head).await,
    };
    if let Some(changes) = read {
        mailbox.send(Ask::Install { from: revision, changes });
    }
}

async fn list(kernel: &Kernel, prefix: &str, after: &str, limit: usize) -> Option<Vec<Row>> {
    let store: Mailbox<storage::Ask> = kernel.service(names::STORE);
    let (prefix, after) = (prefix.into(), after.into());
    let rows = store.request(|reply| storage::Ask::List { prefix, after, limit, reply }).await;
    rows?.ok()
}

/// The changes from the rows of the log between two revisions.
async fn read_log(kernel: &Kernel, revision: Revision, head: Revision) -> Option<Changes> {
    let after = format!("{LOG_PREFIX}{revision:012}");
    let rows = list(kernel, LOG_PREFIX, &after, MAX_LOG_ROWS).await?;
    let mut changes = Vec::new();
    let mut expected = revision + 1;
    for row in rows {
        let value: Value = serde_json::from_str(&row.value).ok()?;
        if value["revision"].as_u64()? != expected {
            return None;
        }
        for change in value["changes"].as_array()? {
            changes.push(Change {
                revision: expected,
                service: change["service"].as_str()?.into(),
                body: change["body"].as_str()?.into(),
            });
        }
        expected += 1;
    }
    (expected > head).then_some(Changes { revision: expected - 1, changes })
}

/// The newest change of every service. Rows that are newer than `head` may
/// come with them; they are installed again with their own revision.
async fn read_services(kernel: &Kernel, head: Revision) -> Option<Changes> {
    let mut changes = Vec::new();
    let mut after = Box::from("");
    loop {
        let rows = list(kernel, SERVICE_PREFIX, &after, PAGE_ROWS).await?;
        let is_last = rows.len() < PAGE_ROWS;
        for row in rows {
            let value: Value = serde_json::from_str(&row.value).ok()?;
            changes.push(Change {
                revision: value["revision"].as_u64()?,
                service: row.key.strip_prefix(SERVICE_PREFIX)?.into(),
                body: value["body"].as_str()?.into(),
            });
            after = row.key;
        }
        if is_last {
            return Some(Changes { revision: head, changes });
        }
    }
}

fn number_of(text: &str, key: &str) -> Option<u64> {
    let value: Value = serde_json::from_str(text).ok()?;
    value[key].as_u64()
}
