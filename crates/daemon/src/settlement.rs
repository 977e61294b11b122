//! Service that keeps the rows of request ids true when the store comes back from an older
//! copy.
//!
//! Where the store has no row of an id, no copy of the request has been claimed or refused.
//! A restored store does not prove this: rows that it has acknowledged may be missing. So each
//! daemon writes again the rows that it wrote and that are lost, and reports this in a record
//! in the store. When all daemons that may have claimed requests of a service have reported,
//! one of those that have seen the store before declares the service settled in the new era.
//! Until then, a request whose row is absent is refused.
//!
//! A daemon that ends without a report leaves the service unsettled, unless its end is on
//! record in the copy: as a planned stop, or as the start of a later daemon at its address.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::time::Duration;

use kernel::{Inbox, Kernel, Mailbox, Reply};
use member::Member;
use once::{LoggedRow, Row, RowLog, settled_key};
use route::Node;
use serde::{Deserialize, Serialize};
use store::{Cell, CommitResult, Condition, Era, FIRST_ERA, Failure, Tag, Write};

use crate::{membership, names, storage};

/// Time for which rows are kept to be written again. The copies from which a store comes back
/// are some seconds old.
const ROW_RETENTION: Duration = Duration::from_secs(600);
/// Pause after a failed call, and first pause between two looks at the records of others.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Number of daemons of a service that look at the records often: those with the lowest node
/// numbers. The others do so at long intervals, since each look is two reads.
const SETTLERS: usize = 2;
/// Longest pause between two looks at the records of others.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Time limit for the record of a planned stop.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Most earlier daemons of an address in its record.
const MAX_EARLIER: usize = 32;
/// Most records of one service that are read at once.
const MAX_RECORDS: usize = 499;

/// Prefix of the keys of the records of daemons.
const RECORD_PREFIX: &str = "claimers/";

/// Messages that the service handles.
#[derive(Debug)]
pub(crate) enum Message {
    /// This daemon has written the row of a request id, and created it if `is_new`.
    Written { key: Box<str>, text: Box<str>, tag: Tag, is_new: bool },
    /// Returns the newest row that the store may lack in this era.
    NextUnseen { era: Era, reply: Reply<Option<LoggedRow>> },
    /// The store has a row in this era. Returns whether this shows that the copy has the rows
    /// created before it.
    Seen { key: Box<str>, era: Era, result: RowResult, reply: Reply<bool> },
    /// Returns whether the log has all rows that this daemon has ever written.
    IsComplete { reply: Reply<bool> },
    /// Returns whether a row that is absent in this era was never written.
    IsSettled { service: Box<str>, era: Era, reply: Reply<bool> },
    /// A service is settled in this era.
    Settled { service: Box<str>, era: Era },
}

/// The daemon of this process, as it appears in its record.
#[derive(Debug, Clone)]
pub(crate) struct Claimer {
    pub(crate) node: Node,
    /// Address for other daemons. At any time only one process has it.
    pub(crate) address: Box<str>,
    /// Service of the target beside this daemon.
    pub(crate) service: Box<str>,
}

/// Record of the daemon at an address.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    node: Node,
    /// Latest era in which the daemon has written again what was lost.
    era: Era,
    /// Whether the daemon has stopped and claims nothing any more.
    #[serde(default)]
    has_stopped: bool,
    /// Daemons that had this address before, each with the era in which its successor started.
    #[serde(default)]
    earlier: Vec<(Node, Era)>,
}

/// Result of writing lost rows again.
#[derive(Debug, PartialEq, Eq)]
enum Rewritten {
    /// The store has all rows that this daemon has ever written.
    All,
    /// The copy is older than the rows that this daemon remembers.
    CopyTooOld,
}

/// Result of writing one row again.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RowResult {
    /// The row was lost and is written.
    Written(Tag),
    /// The copy has the row as this daemon wrote it.
    Found,
    /// The store has the row, but whether the copy had it is not known. Another daemon that
    /// has changed it may have written it since.
    Unknown,
}

/// How far a service is from being settled.
#[derive(Debug)]
enum Progress {
    /// The service is settled.
    Settled,
    /// These daemons have not reported.
    Missing(Vec<String>),
}

impl Record {
    /// Returns the record that follows this one of the same address when `node` reports.
    fn next(mut self, node: Node, era: Era) -> Self {
        if self.node == node {
            return Self { era, ..self };
        }
        if self.node != 0 {
            self.earlier.push((self.node, era));
            let excess = self.earlier.len().saturating_sub(MAX_EARLIER);
            self.earlier.drain(..excess);
        }
        Self { node, era, has_stopped: false, earlier: self.earlier }
    }

    /// Whether the store has all rows that `node` has written, in `era`. A record that is
    /// itself from an earlier era is in the copy, and so are all rows written before it.
    fn accounts_for(&self, node: Node, era: Era) -> bool {
        let is_reported = self.node == node && (self.era == era || self.has_stopped);
        is_reported || self.earlier.iter().any(|(earlier, since)| *earlier == node && *since < era)
    }
}

/// Starts the service.
pub(crate) fn start(kernel: &Kernel) {
    let inbox = kernel.register::<Message>(names::SETTLEMENT);
    let mailbox = kernel.service(names::SETTLEMENT);
    let task = Task {
        kernel: kernel.clone(),
        mailbox,
        log: RowLog::new(ROW_RETENTION),
        settled: HashMap::new(),
    };
    kernel.start(task.run(inbox));
}

struct Task {
    kernel: Kernel,
    mailbox: Mailbox<Message>,
    log: RowLog,
    /// Latest era in which each service is known to be settled.
    settled: HashMap<Box<str>, Era>,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Message>) {
        while let Some(message) = inbox.receive().await {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Written { key, text, tag, is_new } => {
                let now = self.kernel.clock().now();
                self.log.insert(now, (tag.era, tag.version), is_new, &key, &text);
            }
            Message::NextUnseen { era, reply } => {
                reply.send(self.log.take_unseen(era));
            }
            Message::Seen { key, era, result, reply } => {
                reply.send(self.observe_row(&key, era, result));
            }
            Message::IsComplete { reply } => drop(reply.send(self.log.is_complete())),
            Message::IsSettled { service, era, reply } => self.look_up(service, era, reply),
            Message::Settled { service, era } => drop(self.settled.insert(service, era)),
        }
    }

    fn observe_row(&mut self, key: &str, era: Era, result: RowResult) -> bool {
        match result {
            RowResult::Found => return self.log.set_found(key, era),
            RowResult::Written(tag) => self.log.set_created(key, (tag.era, tag.version)),
            RowResult::Unknown => self.log.set_unplaced(key, era),
        }
        false
    }

    fn look_up(&self, service: Box<str>, era: Era, reply: Reply<bool>) {
        if era <= FIRST_ERA || self.settled.get(&service) == Some(&era) {
            reply.send(true);
            return;
        }
        let (kernel, mailbox) = (self.kernel.clone(), self.mailbox.clone());
        self.kernel.start(async move {
            let settled = read_settled(&kernel, &service).await;
            let is_settled = settled.is_ok_and(|(_, settled)| settled == era);
            if is_settled {
                mailbox.send(Message::Settled { service, era });
            }
            reply.send(is_settled);
        });
    }
}

/// Whether a row that is absent in this era was never written.
pub(crate) async fn is_settled(kernel: &Kernel, service: &str, era: Era) -> bool {
    let settlement: Mailbox<Message> = kernel.service(names::SETTLEMENT);
    let message = |reply| Message::IsSettled { service: service.into(), era, reply };
    settlement.request(message).await.unwrap_or(false)
}

/// Records a planned stop. Call this when this daemon claims nothing any more.
pub(crate) async fn close(kernel: &Kernel, claimer: &Claimer) {
    let write = async {
        let (tag, record) = read_record(kernel, claimer).await?;
        if record.node != claimer.node {
            return Ok(());
        }
        write_record(kernel, claimer, tag, &Record { has_stopped: true, ..record }).await
    };
    match kernel.clock().timeout(CLOSE_TIMEOUT, write).await {
        Ok(Ok(())) => {}
        Ok(Err(failure)) => log::info!("the stop is not recorded in the store: {failure}"),
        Err(_) => log::info!("the stop is not recorded in the store: it is not responding"),
    }
}

/// Writes again in each era of the store what was lost, and settles the service of the target.
/// `claimer` is `None` if there is no target beside this daemon, so that it claims nothing.
pub(crate) async fn follow_eras(kernel: Kernel, claimer: Option<Claimer>) {
    let first_era = storage::next_era(&kernel, 0).await;
    let mut current = first_era;
    while let (Some(first_era), Some(era)) = (first_era, current) {
        let work = async {
            settle(&kernel, claimer.as_ref(), first_era, era).await;
            std::future::pending().await
        };
        current = futures_lite::future::or(storage::next_era(&kernel, era), work).await;
    }
}

/// Does what this daemon has to do in an era.
async fn settle(kernel: &Kernel, claimer: Option<&Claimer>, first_era: Era, era: Era) {
    let knows_earlier_era = first_era < era;
    // Members that end from now on are in the list too.
    let mut claimers = HashMap::new();
    if let Some(claimer) = claimer {
        add_members(kernel, &claimer.service, &mut claimers).await;
    }
    if write_lost_rows(kernel, era).await == Rewritten::CopyTooOld {
        log::error!(
            "the store came back from a copy that is older than the rows of request ids that \
             this daemon remembers; it cannot tell which of them are lost"
        );
        return;
    }
    let Some(claimer) = claimer else {
        return;
    };
    retry(kernel, "report that no row is missing", async || report(kernel, claimer, era).await)
        .await;
    if !knows_earlier_era {
        return;
    }
    let unsettled = metrics::gauge!("bronzeport_service_unsettled");
    unsettled.set(1.0);
    let mut pause = match claimers.keys().filter(|node| **node < claimer.node).count() {
        ..SETTLERS => MIN_PAUSE,
        _ => MAX_PAUSE,
    };
    let mut is_logged = false;
    loop {
        add_members(kernel, &claimer.service, &mut claimers).await;
        match try_settle(kernel, claimer, &claimers, era).await {
            Ok(Progress::Settled) => {
                unsettled.set(0.0);
                return;
            }
            Ok(Progress::Missing(nodes)) if pause == MAX_PAUSE && !is_logged => {
                log::warn!(
                    "requests of {} that must not be repeated are refused unless the store has \
                     their rows: these daemons have not reported in era {era}: {}",
                    claimer.service,
                    nodes.join(", ")
                );
                is_logged = true;
            }
            Ok(Progress::Missing(_)) => {}
            Err(failure) => log::info!("cannot settle {}: {failure}", claimer.service),
        }
        kernel.clock().sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Writes the lost rows again, the newest first, up to those that the copy has.
async fn write_lost_rows(kernel: &Kernel, era: Era) -> Rewritten {
    let settlement: Mailbox<Message> = kernel.service(names::SETTLEMENT);
    let (mut written, mut has_copy_rows) = (0, false);
    while let Some(row) =
        settlement.request(|reply| Message::NextUnseen { era, reply }).await.flatten()
    {
        let key = row.key.clone();
        let result = write_lost_row(kernel, &row, era).await;
        written += usize::from(matches!(result, RowResult::Written(_)));
        let message = |reply| Message::Seen { key, era, result, reply };
        has_copy_rows |= settlement.request(message).await.unwrap_or(false);
    }
    if written > 0 {
        log::warn!(
            "{written} rows of request ids that the store had lost are written in era {era}"
        );
        metrics::counter!("bronzeport_recovered_claims_total").increment(written as u64);
    }
    let is_complete = settlement.request(|reply| Message::IsComplete { reply }).await;
    match has_copy_rows || is_complete == Some(true) {
        true => Rewritten::All,
        false => Rewritten::CopyTooOld,
    }
}

/// Writes a row again if it does not exist.
async fn write_lost_row(kernel: &Kernel, row: &LoggedRow, era: Era) -> RowResult {
    let mut may_be_written = row.may_be_written;
    retry(kernel, "write a lost row again", async || {
        let write = Write {
            key: row.key.clone(),
            condition: Condition::Tag(Tag { era, version: 0 }),
            value: row.text.clone(),
        };
        match commit(kernel, write).await {
            CommitResult::Done(tags) => {
                Ok(tags.first().map_or(RowResult::Unknown, |tag| RowResult::Written(*tag)))
            }
            CommitResult::Conflict(_) if may_be_written => Ok(RowResult::Unknown),
            CommitResult::Conflict(_) => {
                let Cell { tag, value } = read(kernel, row.key.clone()).await?;
                let is_own = value.is_some_and(|text| is_same_attempt(&text, &row.text));
                match tag.era == era && is_own {
                    true => Ok(RowResult::Found),
                    false => Ok(RowResult::Unknown),
                }
            }
            CommitResult::NotSent(failure) => Err(failure),
            CommitResult::Restored | CommitResult::Unknown => {
                may_be_written = true;
                Err(Failure::Down)
            }
        }
    })
    .await
}

/// Whether two texts of a row were written by the same attempt.
fn is_same_attempt(text: &str, other: &str) -> bool {
    let nonce = |text| Row::try_from(text).map(|row| row.nonce).ok();
    nonce(text).is_some() && nonce(text) == nonce(other)
}

/// Records that all rows which this daemon has written are in the store.
async fn report(kernel: &Kernel, claimer: &Claimer, era: Era) -> Result<(), Failure> {
    let (tag, record) = read_record(kernel, claimer).await?;
    write_record(kernel, claimer, tag, &record.next(claimer.node, era)).await
}

/// Declares the service settled if all of `claimers` are accounted for.
async fn try_settle(
    kernel: &Kernel,
    claimer: &Claimer,
    claimers: &HashMap<Node, Box<str>>,
    era: Era,
) -> Result<Progress, Failure> {
    let (tag, settled) = read_settled(kernel, &claimer.service).await?;
    if settled == era {
        return Ok(Progress::Settled);
    }
    let records = read_records(kernel, &claimer.service).await?;
    let is_accounted_for = |node: Node, address: &str| {
        records.get(address).is_some_and(|record| record.accounts_for(node, era))
    };
    let missing = claimers.iter().filter(|(node, address)| !is_accounted_for(**node, address));
    let missing: Vec<String> =
        missing.map(|(node, address)| format!("{node:016x} at {address}")).collect();
    if !missing.is_empty() {
        return Ok(Progress::Missing(missing));
    }
    let write = Write {
        key: settled_key(&claimer.service),
        condition: Condition::Tag(tag),
        value: era.to_string().into(),
    };
    require_done(commit(kernel, write).await)?;
    log::info!("the rows of request ids of {} are complete in era {era}", claimer.service);
    Ok(Progress::Settled)
}

/// Adds the members whose targets are of this service, whatever their state.
async fn add_members(kernel: &Kernel, service: &str, claimers: &mut HashMap<Node, Box<str>>) {
    let membership: Mailbox<membership::Message> = kernel.service(names::MEMBERSHIP);
    let members = membership.request(|reply| membership::Message::All { reply }).await;
    let members = members.unwrap_or_default().into_iter();
    let of_service = members.filter(|member| *member.service == *service);
    claimers.extend(of_service.map(|Member { node, address, .. }| (node, address)));
}

/// Repeats `operation` until it succeeds. Each era has its own attempt, which ends with it.
async fn retry<T>(
    kernel: &Kernel,
    what: &str,
    mut operation: impl AsyncFnMut() -> Result<T, Failure>,
) -> T {
    loop {
        match operation().await {
            Ok(result) => return result,
            Err(failure) => log::info!("cannot {what}: {failure}"),
        }
        kernel.clock().sleep(MIN_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Reads the era in which a service is settled; 0 if none.
async fn read_settled(kernel: &Kernel, service: &str) -> Result<(Tag, Era), Failure> {
    let Cell { tag, value } = read(kernel, settled_key(service)).await?;
    let era = value.map(|text| text.parse()).transpose();
    Ok((tag, era.map_err(|_| Failure::Garbled)?.unwrap_or(0)))
}

async fn read_record(kernel: &Kernel, claimer: &Claimer) -> Result<(Tag, Record), Failure> {
    let Cell { tag, value } = read(kernel, record_key(claimer)).await?;
    let record = value.map(|text| serde_json::from_str(&text)).transpose();
    Ok((tag, record.map_err(|_| Failure::Garbled)?.unwrap_or_default()))
}

async fn write_record(
    kernel: &Kernel,
    claimer: &Claimer,
    tag: Tag,
    record: &Record,
) -> Result<(), Failure> {
    let value = serde_json::to_string(record).map_err(|_| Failure::Garbled)?;
    let key = record_key(claimer);
    let write = Write { key, condition: Condition::Tag(tag), value: value.into() };
    require_done(commit(kernel, write).await)
}

/// Reads the records of all daemons of a service by address.
async fn read_records(
    kernel: &Kernel,
    service: &str,
) -> Result<HashMap<Box<str>, Record>, Failure> {
    let store: Mailbox<storage::Message> = kernel.service(names::STORE);
    let prefix: Box<str> = format!("{RECORD_PREFIX}{service}/").into();
    let mut records = HashMap::new();
    let mut after: Box<str> = "".into();
    loop {
        let message = |reply| storage::Message::List {
            prefix: prefix.clone(),
            after: after.clone(),
            limit: MAX_RECORDS,
            reply,
        };
        let rows = store.request(message).await.unwrap_or(Err(Failure::Down))?;
        let is_last = rows.len() < MAX_RECORDS;
        for row in rows {
            let record = serde_json::from_str(&row.value).map_err(|_| Failure::Garbled)?;
            let address = row.key.strip_prefix(&*prefix).ok_or(Failure::Garbled)?;
            records.insert(address.into(), record);
            after = row.key;
        }
        if is_last {
            return Ok(records);
        }
    }
}

async fn read(kernel: &Kernel, key: Box<str>) -> Result<Cell, Failure> {
    let store: Mailbox<storage::Message> = kernel.service(names::STORE);
    let message = |reply| storage::Message::Read { key, reply };
    store.request(message).await.unwrap_or(Err(Failure::Down))
}

async fn commit(kernel: &Kernel, write: Write) -> CommitResult {
    let store: Mailbox<storage::Message> = kernel.service(names::STORE);
    let message = |reply| storage::Message::Commit { write, reply };
    store.request(message).await.unwrap_or(CommitResult::Unknown)
}

/// A write whose result is not known is tried again on top of what is read then.
fn require_done(result: CommitResult) -> Result<(), Failure> {
    match result {
        CommitResult::Done(_) => Ok(()),
        CommitResult::NotSent(failure) => Err(failure),
        CommitResult::Conflict(_) | CommitResult::Restored | CommitResult::Unknown => {
            Err(Failure::Down)
        }
    }
}

fn record_key(Claimer { service, address, .. }: &Claimer) -> Box<str> {
    format!("{RECORD_PREFIX}{service}/{address}").into()
}
