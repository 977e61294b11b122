//! The service that talks to the platform, within this daemon's part of the
//! fleet's budgets.

use std::time::{Duration, Instant};

use kernel::{Inbox, Kernel, Mailbox, Reply};
use store::{Batch, CommitResult, Failure, Row, Rows, Store, Version, Write, commit_each};

use crate::names;

/// Writes and reads that the whole fleet may make in a second.
const FLEET_WRITES_PER_SECOND: f64 = 250.0;
const FLEET_READS_PER_SECOND: f64 = 1600.0;
/// Calls that a daemon may save up, in seconds of its part.
const BURST: Duration = Duration::from_secs(4);

/// What the service is asked.
#[derive(Debug)]
pub(crate) enum Ask {
    /// Read a row.
    Read { key: Box<str>, reply: Reply<Result<Option<Row>, Failure>> },
    /// List rows.
    List {
        prefix: Box<str>,
        after: Box<str>,
        limit: usize,
        reply: Reply<Result<Vec<Row>, Failure>>,
    },
    /// Read a small table whole.
    Table { table: Box<str>, limit: usize, reply: Reply<Result<Rows, Failure>> },
    /// Wait for changes of a table after a version.
    Feed { table: Box<str>, after: Version, wait: Duration, reply: Reply<Result<Rows, Failure>> },
    /// Write a row; it may share a transaction with others.
    Commit { write: Write, reply: Reply<CommitResult> },
    /// A transaction has ended.
    Committed,
    /// The fleet has this many members.
    Members(usize),
    /// Whether the platform is taken to be down.
    IsDown { reply: Reply<bool> },
}

/// Starts the service. Without a store it answers that the platform is down.
pub(crate) fn start(kernel: &Kernel, store: Option<Store>) {
    let inbox = kernel.register::<Ask>(names::STORE);
    let now = kernel.clock().now();
    let task = Task {
        kernel: kernel.clone(),
        mailbox: kernel.service(names::STORE),
        store,
        batch: Batch::default(),
        is_committing: false,
        reads: Allowance::new(now, FLEET_READS_PER_SECOND),
        writes: Allowance::new(now, FLEET_WRITES_PER_SECOND),
    };
    kernel.start(task.run(inbox));
}

struct Task {
    kernel: Kernel,
    mailbox: Mailbox<Ask>,
    store: Option<Store>,
    batch: Batch<Reply<CommitResult>>,
    is_committing: bool,
    reads: Allowance,
    writes: Allowance,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Ask>) {
        while let Some(ask) = inbox.receive().await {
            self.take(ask);
        }
    }

    fn take(&mut self, ask: Ask) {
        let now = self.kernel.clock().now();
        match ask {
            Ask::Read { key, reply } => {
                self.read(now, "read", reply, async move |store: Store| store.read(&key).await);
            }
            Ask::List { prefix, after, limit, reply } => {
                let work = async move |store: Store| store.list(&prefix, &after, limit).await;
                self.read(now, "list", reply, work);
            }
            Ask::Table { table, limit, reply } => {
                let work = async move |store: Store| store.read_table(&table, limit).await;
                self.read(now, "table", reply, work);
            }
            Ask::Feed { table, after, wait, reply } => {
                let work = async move |store: Store| store.feed(&table, after, wait).await;
                self.read(now, "feed", reply, work);
            }
            Ask::Commit { write, reply } => self.commit(now, write, reply),
            Ask::Committed => {
                self.is_committing = false;
                self.send_batch();
            }
            Ask::Members(count) => {
                self.reads.share(FLEET_READS_PER_SECOND, count);
                self.writes.share(FLEET_WRITES_PER_SECOND, count);
            }
            Ask::IsDown { reply } => {
                reply.send(self.store.as_ref().is_none_or(Store::is_down));
            }
        }
    }

    /// Answers with what `work` reads, or why it may not read now.
    fn read<T: 'static>(
        &mut self,
        now: Instant,
        kind: &'static str,
        reply: Reply<Result<T, Failure>>,
        work: impl AsyncFnOnce(Store) -> Result<T, Failure> + 'static,
    ) {
        match self.reading(now) {
            Ok(store) => self.kernel.start(async move {
                reply.send(counted(kind, work(store).await));
            }),
            Err(failure) => drop(reply.send(Err(failure))),
        }
    }

    fn reading(&mut self, now: Instant) -> Result<Store, Failure> {
        let store = self.store.clone().ok_or(Failure::Down)?;
        if !self.reads.spend(now) {
            metrics::counter!("bronzeport_store_over_budget_total", "kind" => "read").increment(1);
            return Err(Failure::Throttled);
        }
        metrics::counter!("bronzeport_store_reads_total").increment(1);
        Ok(store)
    }

    fn commit(&mut self, now: Instant, write: Write, reply: Reply<CommitResult>) {
        if self.store.as_ref().is_none_or(Store::is_down) && self.is_committing {
            reply.send(CommitResult::NotSent(Failure::Down));
            return;
        }
        if !self.writes.spend(now) {
            metrics::counter!("bronzeport_store_over_budget_total", "kind" => "write").increment(1);
            reply.send(CommitResult::NotSent(Failure::Throttled));
            return;
        }
        metrics::counter!("bronzeport_store_writes_total").increment(1);
        self.batch.push(write, reply);
        self.send_batch();
    }

    /// Sends what waits, unless a transaction is under way.
    fn send_batch(&mut self) {
        if self.is_committing || self.batch.is_empty() {
            return;
        }
        let writes = self.batch.take();
        let Some(store) = self.store.clone() else {
            for (_, reply) in writes {
                reply.send(CommitResult::NotSent(Failure::Down));
            }
            return;
        };
        self.is_committing = true;
        let mailbox = self.mailbox.clone();
        self.kernel.start(async move {
            for (_, reply, commit) in commit_each(&store, writes).await {
                count("write", commit_text(&commit));
                reply.send(commit);
            }
            mailbox.send(Ask::Committed);
        });
    }
}

/// Counts a read by its result.
fn counted<T>(kind: &'static str, result: Result<T, Failure>) -> Result<T, Failure> {
    let text = match &result {
        Ok(_) => "ok",
        Err(Failure::Down) => "down",
        Err(Failure::Throttled) => "throttled",
        Err(Failure::Compacted) => "compacted",
        Err(Failure::Garbled) => "garbled",
    };
    count(kind, text);
    result
}

fn commit_text(commit: &CommitResult) -> &'static str {
    match commit {
        CommitResult::Done(_) => "ok",
        CommitResult::Conflict(_) => "conflict",
        CommitResult::NotSent(_) => "not-sent",
        CommitResult::Unknown => "unknown",
    }
}

fn count(kind: &'static str, result: &'static str) {
    metrics::counter!("bronzeport_store_calls_total", "kind" => kind, "result" => result)
        .increment(1);
}

/// This daemon's part of a budget of the whole fleet.
struct Allowance {
    per_second: f64,
    tokens: f64,
    at: Instant,
}

impl Allowance {
    fn new(now: Instant, per_second: f64) -> Self {
        Self { per_second, tokens: per_second, at: now }
    }

    fn share(&mut self, fleet_per_second: f64, members: usize) {
        self.per_second = fleet_per_second / members.max(1) as f64;
    }

    fn spend(&mut self, now: Instant) -> bool {
        let earned = (now - self.at).as_secs_f64() * self.per_second;
        let most = (self.per_second * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + earned).min(most);
        self.at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
