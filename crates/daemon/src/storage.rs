//! Service that calls the platform's store, rate-limited to this daemon's share of the
//! fleet's budgets.

use std::future::Future;
use std::time::{Duration, Instant};

use kernel::{Inbox, Kernel, Mailbox, Reply};
use store::{
    Batch, Cell, CommitResult, Era, Failure, Position, Row, Rows, Store, Write, commit_each,
};

use crate::names;

/// Writes and reads per second that the whole fleet may make.
const FLEET_WRITES_PER_SECOND: f64 = 250.0;
const FLEET_READS_PER_SECOND: f64 = 1600.0;
/// Capacity of a daemon's token buckets, as the time in which its share refills them.
const BURST: Duration = Duration::from_secs(4);

/// Messages that the service handles.
#[derive(Debug)]
pub(crate) enum Message {
    /// Reads a row.
    Read { key: Box<str>, reply: Reply<Result<Cell, Failure>> },
    /// Lists the rows with a key prefix, starting after a key.
    List {
        prefix: Box<str>,
        after: Box<str>,
        limit: usize,
        reply: Reply<Result<Vec<Row>, Failure>>,
    },
    /// Reads all rows of a small table.
    ReadTable { table: Box<str>, limit: usize, reply: Reply<Result<Rows, Failure>> },
    /// Waits for changes to a table after a position.
    Feed { table: Box<str>, after: Position, wait: Duration, reply: Reply<Result<Rows, Failure>> },
    /// Writes a row. The write may share a transaction with other writes.
    Commit { write: Write, reply: Reply<CommitResult> },
    /// Writes either all rows or none, in a transaction of their own.
    CommitAll { writes: Vec<Write>, reply: Reply<CommitResult> },
    /// The transaction in flight has ended.
    BatchFinished,
    /// A response of the store has begun a new era.
    EraChanged(Era),
    /// Returns the latest era of the store once it is greater than `after`.
    AwaitEra { after: Era, reply: Reply<Era> },
    /// Returns the latest era of the store; `None` before its first response.
    Era { reply: Reply<Option<Era>> },
    /// The number of members in the fleet has changed to this value.
    MemberCount(usize),
    /// Returns whether the platform is considered down.
    IsDown { reply: Reply<bool> },
}

/// Starts the service. Without a store, calls fail with [`Failure::Down`].
pub(crate) fn start(kernel: &Kernel, store: Option<Store>) {
    let inbox = kernel.register::<Message>(names::STORE);
    let now = kernel.clock().now();
    let task = Task {
        kernel: kernel.clone(),
        mailbox: kernel.service(names::STORE),
        store,
        batch: Batch::default(),
        is_committing: false,
        reads: TokenBucket::new(now, FLEET_READS_PER_SECOND),
        writes: TokenBucket::new(now, FLEET_WRITES_PER_SECOND),
        era: None,
        awaiting_era: Vec::new(),
    };
    kernel.start(task.run(inbox));
}

struct Task {
    kernel: Kernel,
    mailbox: Mailbox<Message>,
    store: Option<Store>,
    batch: Batch<Reply<CommitResult>>,
    is_committing: bool,
    reads: TokenBucket,
    writes: TokenBucket,
    /// The latest era of the store's responses.
    era: Option<Era>,
    /// Requests that wait for an era after the given one.
    awaiting_era: Vec<(Era, Reply<Era>)>,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Message>) {
        while let Some(message) = inbox.receive().await {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.kernel.clock().now();
        match message {
            Message::Read { key, reply } => {
                self.read(now, "read", reply, async move |store: Store| {
                    store.read_cell(&key).await
                });
            }
            Message::List { prefix, after, limit, reply } => {
                let operation = async move |store: Store| store.list(&prefix, &after, limit).await;
                self.read(now, "list", reply, operation);
            }
            Message::ReadTable { table, limit, reply } => {
                let operation = async move |store: Store| store.read_table(&table, limit).await;
                self.read(now, "table", reply, operation);
            }
            Message::Feed { table, after, wait, reply } => {
                let operation = async move |store: Store| store.feed(&table, after, wait).await;
                self.read(now, "feed", reply, operation);
            }
            Message::Commit { write, reply } => self.commit(now, write, reply),
            Message::CommitAll { writes, reply } => self.commit_all(now, writes, reply),
            Message::BatchFinished => {
                self.is_committing = false;
                self.send_batch();
            }
            Message::EraChanged(era) => self.observe_era(era),
            Message::AwaitEra { after, reply } => match self.era {
                Some(era) if era > after => drop(reply.send(era)),
                _ => {
                    self.awaiting_era.retain(|(_, reply)| !reply.is_abandoned());
                    self.awaiting_era.push((after, reply));
                }
            },
            Message::Era { reply } => drop(reply.send(self.era)),
            Message::MemberCount(count) => {
                self.reads.set_share(FLEET_READS_PER_SECOND, count);
                self.writes.set_share(FLEET_WRITES_PER_SECOND, count);
            }
            Message::IsDown { reply } => {
                reply.send(self.store.as_ref().is_none_or(Store::is_down));
            }
        }
    }

    /// Runs `operation` and replies with its result. Replies with an error at once if there
    /// is no store or the read budget is used up.
    fn read<T: 'static>(
        &mut self,
        now: Instant,
        kind: &'static str,
        reply: Reply<Result<T, Failure>>,
        operation: impl AsyncFnOnce(Store) -> Result<T, Failure> + 'static,
    ) {
        match self.start_read(now) {
            Ok(store) => {
                let mailbox = self.mailbox.clone();
                self.kernel.start(async move {
                    let result = watch_era(&store, &mailbox, operation(store.clone())).await;
                    reply.send(count_read(kind, result));
                });
            }
            Err(failure) => drop(reply.send(Err(failure))),
        }
    }

    fn start_read(&mut self, now: Instant) -> Result<Store, Failure> {
        let store = self.store.clone().ok_or(Failure::Down)?;
        if !self.reads.try_withdraw(now) {
            metrics::counter!("bronzeport_store_over_budget_total", "kind" => "read").increment(1);
            return Err(Failure::Throttled);
        }
        metrics::counter!("bronzeport_store_reads_total").increment(1);
        Ok(store)
    }

    fn observe_era(&mut self, era: Era) {
        if self.era.is_some_and(|known| era > known) {
            metrics::counter!("bronzeport_store_restores_total").increment(1);
        }
        self.era = self.era.max(Some(era));
        metrics::gauge!("bronzeport_store_era").set(era as f64);
        for (_, reply) in self.awaiting_era.extract_if(.., |(after, _)| era > *after) {
            reply.send(era);
        }
    }

    fn commit(&mut self, now: Instant, write: Write, reply: Reply<CommitResult>) {
        if self.store.as_ref().is_none_or(Store::is_down) && self.is_committing {
            reply.send(CommitResult::NotSent(Failure::Down));
            return;
        }
        if !self.withdraw_write(now) {
            reply.send(CommitResult::NotSent(Failure::Throttled));
            return;
        }
        self.batch.push(write, reply);
        self.send_batch();
    }

    fn commit_all(&mut self, now: Instant, writes: Vec<Write>, reply: Reply<CommitResult>) {
        let Some(store) = self.store.clone() else {
            reply.send(CommitResult::NotSent(Failure::Down));
            return;
        };
        if !self.withdraw_write(now) {
            reply.send(CommitResult::NotSent(Failure::Throttled));
            return;
        }
        let mailbox = self.mailbox.clone();
        self.kernel.start(async move {
            let commit = watch_era(&store, &mailbox, store.commit(writes)).await;
            count_call("write", commit_label(&commit));
            reply.send(commit);
        });
    }

    /// Uses up a write of this daemon's share of the budget. Returns `false` if none is left.
    fn withdraw_write(&mut self, now: Instant) -> bool {
        let is_allowed = self.writes.try_withdraw(now);
        match is_allowed {
            true => metrics::counter!("bronzeport_store_writes_total").increment(1),
            false => metrics::counter!("bronzeport_store_over_budget_total", "kind" => "write")
                .increment(1),
        }
        is_allowed
    }

    /// Sends the pending writes, unless a transaction is in flight.
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
            let commits = watch_era(&store, &mailbox, commit_each(&store, writes)).await;
            for (_, reply, commit) in commits {
                count_call("write", commit_label(&commit));
                reply.send(commit);
            }
            mailbox.send(Message::BatchFinished);
        });
    }
}

/// Waits until the store is in a later era than `after`, and returns that era.
pub(crate) async fn next_era(kernel: &Kernel, after: Era) -> Option<Era> {
    let store: Mailbox<Message> = kernel.service(names::STORE);
    store.request(|reply| Message::AwaitEra { after, reply }).await
}

/// Runs a call to the store and reports a new era to the service.
async fn watch_era<T>(
    store: &Store,
    mailbox: &Mailbox<Message>,
    operation: impl Future<Output = T>,
) -> T {
    let era_before = store.era();
    let result = operation.await;
    if let Some(era) = store.era().filter(|era| Some(*era) != era_before) {
        mailbox.send(Message::EraChanged(era));
    }
    result
}

/// Increments the call counter for a read and returns the unchanged result.
fn count_read<T>(kind: &'static str, result: Result<T, Failure>) -> Result<T, Failure> {
    let label = match &result {
        Ok(_) => "ok",
        Err(Failure::Down) => "down",
        Err(Failure::Throttled) => "throttled",
        Err(Failure::Compacted) => "compacted",
        Err(Failure::Garbled) => "garbled",
    };
    count_call(kind, label);
    result
}

fn commit_label(commit: &CommitResult) -> &'static str {
    match commit {
        CommitResult::Done(_) => "ok",
        CommitResult::Conflict(_) => "conflict",
        CommitResult::NotSent(_) => "not-sent",
        CommitResult::Restored => "restored",
        CommitResult::Unknown => "unknown",
    }
}

fn count_call(kind: &'static str, result: &'static str) {
    metrics::counter!("bronzeport_store_calls_total", "kind" => kind, "result" => result)
        .increment(1);
}

/// Token bucket that limits this daemon to its share of a budget of the whole fleet.
struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(now: Instant, per_second: f64) -> Self {
        Self { per_second, tokens: per_second, refilled_at: now }
    }

    fn set_share(&mut self, fleet_per_second: f64, members: usize) {
        self.per_second = fleet_per_second / members.max(1) as f64;
    }

    fn try_withdraw(&mut self, now: Instant) -> bool {
        let refill = (now - self.refilled_at).as_secs_f64() * self.per_second;
        let capacity = (self.per_second * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + refill).min(capacity);
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
