//! Service that keeps the rows of request ids true when the store comes back from an older
//! copy.
//!
//! Where the store has no row of an id, no copy of the request has been claimed or refused.
//! A restored store does not prove this: rows that it has acknowledged may be missing. So each
//! daemon writes again the rows that it wrote and that are lost, and reports this in a record
//! in the store. When all daemons have reported that may have claimed requests of a service
//! since it was settled last, one that has seen it settled then declares it settled in the new
//! era. Until then, a request whose row is absent is refused.
//!
//! A daemon that ends without a report leaves the service unsettled, unless its end is on
//! record in the copy: as a planned stop, or as the start of a later daemon at its address. An
//! operator can declare the service settled.

mod eras;
mod record;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::time::Duration;

use kernel::{Inbox, Kernel, Mailbox, Reply};
use once::{LoggedRow, RowLog, settled_key};
use store::{Cell, CommitResult, Era, FIRST_ERA, Failure, Tag, Write};

use crate::{names, storage};

pub(crate) use eras::follow_eras;
pub(crate) use record::{Claimer, close};

/// Time for which rows are kept to be written again. The copies from which a store comes back
/// are some seconds old.
const ROW_RETENTION: Duration = Duration::from_secs(600);

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

/// Reads the era in which a service is settled; 0 if none.
async fn read_settled(kernel: &Kernel, service: &str) -> Result<(Tag, Era), Failure> {
    let Cell { tag, value } = read(kernel, settled_key(service)).await?;
    let era = value.map(|text| text.parse()).transpose();
    Ok((tag, era.map_err(|_| Failure::Garbled)?.unwrap_or(0)))
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
