//! Claims and refusals of request ids: one row for each id, read and written through the
//! store service.

use std::time::Duration;

use kernel::{Kernel, Mailbox};
use once::{ClaimDecision, Nonce, Row, State, WriteResult, decide_claim};
use store::{Cell, CommitResult, Condition, Failure, Tag, Write};

use crate::{names, settlement, storage};

/// Maximum number of reads to find out whether a write took effect.
const READ_BACK_ATTEMPTS: u32 = 3;
/// Maximum number of writes of a refusal, each on top of a refusal of another copy.
const REFUSAL_ATTEMPTS: u32 = 3;
/// Pause between two such reads.
const READ_BACK_PAUSE: Duration = Duration::from_millis(50);

/// A row as it was read, with its tag.
#[derive(Debug, Clone)]
pub(crate) struct TaggedRow {
    /// Tag of the row or of its absence, which changes with each write of the row.
    pub(crate) tag: Tag,
    /// The row; `None` if it does not exist.
    pub(crate) row: Option<Row>,
}

/// The result of an attempt to claim a request.
#[derive(Debug)]
pub(crate) struct ClaimResult {
    pub(crate) decision: ClaimDecision,
    /// Tag of the claimed row, if the claim was won.
    pub(crate) tag: Option<Tag>,
}

/// Reads and writes the rows of request ids.
#[derive(Debug, Clone)]
pub(crate) struct Claims {
    kernel: Kernel,
    store: Mailbox<storage::Message>,
    settlement: Mailbox<settlement::Message>,
}

impl Claims {
    pub(crate) fn new(kernel: &Kernel) -> Self {
        Self {
            kernel: kernel.clone(),
            store: kernel.service(names::STORE),
            settlement: kernel.service(names::SETTLEMENT),
        }
    }

    /// Whether a row that was absent at `tag` was never written.
    pub(crate) async fn is_absence_certain(&self, service: &str, tag: Tag) -> bool {
        settlement::is_settled(&self.kernel, service, tag.era).await
    }

    /// Reads the row of a request id.
    pub(crate) async fn read(&self, service: &str, id: &str) -> Result<TaggedRow, Failure> {
        let key = row_key(service, id);
        let message = |reply| storage::Message::Read { key, reply };
        let Cell { tag, value } =
            self.store.request(message).await.unwrap_or(Err(Failure::Down))?;
        let row = value.map(|text| Row::try_from(&*text)).transpose();
        Ok(TaggedRow { tag, row: row.map_err(|_| Failure::Garbled)? })
    }

    /// Writes a claim if the row still has the tag that was read when the request arrived.
    /// If the answer to the write is lost, reads the row back to find out who holds it.
    pub(crate) async fn claim(
        &self,
        service: &str,
        id: &str,
        arrival_tag: Tag,
        row: &Row,
    ) -> ClaimResult {
        let (write_result, tag) = self.write(service, id, arrival_tag, row).await;
        let read_back = match write_result {
            WriteResult::Done | WriteResult::NotSent | WriteResult::Restored => None,
            // A claim that has taken effect in another era proves nothing: the store may have
            // lost the claim of another copy.
            WriteResult::TagMismatch | WriteResult::Unknown => self
                .read_back(service, id, row.nonce, write_result)
                .await
                .filter(|current| current.tag.era == arrival_tag.era),
        };
        let tag = tag.or(read_back.as_ref().map(|current| current.tag));
        let read_back = read_back.as_ref().map(|current| current.row.as_ref());
        let decision = decide_claim(write_result, read_back, row.fingerprint, row.nonce);
        if let (ClaimDecision::Run, Some(tag)) = (decision, tag) {
            self.remember(service, id, row, arrival_tag, tag);
        }
        ClaimResult { decision, tag }
    }

    /// Replaces the row by a refusal, so that copies of the request that arrived earlier can
    /// no longer claim it. Returns whether this is certain to have taken effect.
    pub(crate) async fn refuse(
        &self,
        service: &str,
        id: &str,
        mut tag: Tag,
        fingerprint: u64,
        nonce: Nonce,
    ) -> bool {
        let row = Row { fingerprint, nonce, state: State::Refused };
        for _ in 0..REFUSAL_ATTEMPTS {
            let (write_result, new_tag) = self.write(service, id, tag, &row).await;
            match write_result {
                WriteResult::Done => {
                    if let Some(new_tag) = new_tag {
                        self.remember(service, id, &row, tag, new_tag);
                    }
                    return true;
                }
                WriteResult::NotSent | WriteResult::Restored => return false,
                WriteResult::TagMismatch | WriteResult::Unknown => {}
            }
            let current = self.read_back(service, id, nonce, write_result).await;
            let current = current.filter(|current| current.tag.era == tag.era);
            match current.and_then(|current| Some((current.tag, current.row?))) {
                Some((current_tag, current)) if current == row => {
                    self.remember(service, id, &row, tag, current_tag);
                    return true;
                }
                // Another copy was refused in the meantime. A copy that was sent after that
                // may still be in flight and hold the tag of that refusal, so the tag must
                // be replaced as well.
                Some((current_tag, current)) if current.state == State::Refused => {
                    tag = current_tag;
                }
                _ => return false,
            }
        }
        false
    }

    /// Records that a request has ended. A failed write is ignored: the row then still
    /// names the node that holds the claim, and with it the answer.
    pub(crate) async fn record_end(&self, service: &str, id: &str, tag: Tag, row: &Row) {
        if let (WriteResult::Done, Some(new_tag)) = self.write(service, id, tag, row).await {
            self.remember(service, id, row, tag, new_tag);
        }
    }

    /// Writes a row if it still has this tag. Returns the new tag, if the write is done.
    async fn write(
        &self,
        service: &str,
        id: &str,
        tag: Tag,
        row: &Row,
    ) -> (WriteResult, Option<Tag>) {
        let write = Write {
            key: row_key(service, id),
            condition: Condition::Tag(tag),
            value: row.to_text().into(),
        };
        let message = |reply| storage::Message::Commit { write, reply };
        match self.store.request(message).await {
            Some(CommitResult::Done(tags)) => (WriteResult::Done, tags.into_iter().next()),
            Some(CommitResult::Conflict(_)) => (WriteResult::TagMismatch, None),
            Some(CommitResult::NotSent(_)) => (WriteResult::NotSent, None),
            Some(CommitResult::Restored) => (WriteResult::Restored, None),
            Some(CommitResult::Unknown) | None => (WriteResult::Unknown, None),
        }
    }

    /// Keeps a row that the store has acknowledged, in case that it comes back without it.
    /// `before` is the tag of the row that it replaced.
    fn remember(&self, service: &str, id: &str, row: &Row, before: Tag, tag: Tag) {
        let (key, text) = (row_key(service, id), row.to_text().into());
        let is_new = before.version == 0;
        self.settlement.send(settlement::Message::Written { key, text, tag, is_new });
    }

    /// Reads a row after a write that failed or may have failed. If the answer to the write
    /// was lost, a row without its nonce is read again, because the write may still take
    /// effect. Returns `None` if the row could not be read.
    async fn read_back(
        &self,
        service: &str,
        id: &str,
        nonce: Nonce,
        write_result: WriteResult,
    ) -> Option<TaggedRow> {
        let mut last = None;
        for _ in 0..READ_BACK_ATTEMPTS {
            if let Ok(current) = self.read(service, id).await {
                let is_ours = current.row.as_ref().is_some_and(|row| row.nonce == nonce);
                let is_settled = write_result == WriteResult::TagMismatch || is_ours;
                last = Some(current);
                if is_settled {
                    return last;
                }
            }
            self.kernel.clock().sleep(READ_BACK_PAUSE).await;
        }
        last
    }
}

fn row_key(service: &str, id: &str) -> Box<str> {
    format!("once/{service}/{id}").into()
}
