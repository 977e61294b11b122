//! Rows of request ids in the table, by way of the store service.

use std::time::Duration;

use kernel::{Kernel, Mailbox};
use once::{ClaimDecision, Nonce, Row, State, WriteResult, decide_claim};
use store::{CommitResult, Condition, Failure, Write};

use crate::{names, storage};

/// Reads back after an answer that was lost.
const READ_BACK_TRIES: u32 = 3;
/// Times that a refusal is written on top of another.
const REFUSE_TRIES: u32 = 3;
/// Pause between two reads back.
const READ_BACK_PAUSE: Duration = Duration::from_millis(50);

/// A row as it stands, with its tag.
#[derive(Debug, Clone)]
pub(crate) struct Standing {
    pub(crate) tag: Box<str>,
    pub(crate) row: Row,
}

/// The result of a claim.
#[derive(Debug)]
pub(crate) struct Claimed {
    pub(crate) claim: ClaimDecision,
    /// Tag of the row, when the claim was won.
    pub(crate) tag: Box<str>,
}

/// Access to the rows of request ids.
#[derive(Debug, Clone)]
pub(crate) struct Claims {
    kernel: Kernel,
    store: Mailbox<storage::Message>,
}

impl Claims {
    pub(crate) fn new(kernel: &Kernel) -> Self {
        Self { kernel: kernel.clone(), store: kernel.service(names::STORE) }
    }

    /// Reads the row of an id.
    pub(crate) async fn read(&self, service: &str, id: &str) -> Result<Option<Standing>, Failure> {
        let key = key_of(service, id);
        let ask = |reply| storage::Message::Read { key, reply };
        let row = self.store.request(ask).await.unwrap_or(Err(Failure::Down))?;
        let Some(row) = row else {
            return Ok(None);
        };
        let parsed = Row::try_from(&*row.value).map_err(|_| Failure::Garbled)?;
        Ok(Some(Standing { tag: row.tag, row: parsed }))
    }

    /// Writes a claim on condition that the row still has the tag that was
    /// read on arrival, and settles a lost answer by reading back.
    pub(crate) async fn claim(
        &self,
        service: &str,
        id: &str,
        arrival_tag: &str,
        row: &Row,
    ) -> Claimed {
        let (written, tag) = self.write(service, id, arrival_tag, row).await;
        if written == WriteResult::Done {
            let claim = ClaimDecision::Run;
            return Claimed { claim, tag };
        }
        if written == WriteResult::NotSent {
            return Claimed { claim: ClaimDecision::NotSent, tag };
        }
        let standing = self.read_back(service, id, row.nonce, written).await;
        let tag = match &standing {
            Some(Some(standing)) => standing.tag.clone(),
            _ => "".into(),
        };
        let read = standing.as_ref().map(|row| row.as_ref().map(|standing| &standing.row));
        let claim = decide_claim(written, read, row.fingerprint, row.nonce);
        Claimed { claim, tag }
    }

    /// Replaces the row by a refusal, so that no copy that arrived before can
    /// claim it any more. `true` when that is certain.
    pub(crate) async fn refuse(
        &self,
        service: &str,
        id: &str,
        tag: &str,
        fingerprint: u64,
        nonce: Nonce,
    ) -> bool {
        let row = Row { fingerprint, nonce, state: State::Refused };
        let mut tag = Box::from(tag);
        for _ in 0..REFUSE_TRIES {
            let written = self.write(service, id, &tag, &row).await.0;
            match written {
                WriteResult::Done => return true,
                WriteResult::NotSent => return false,
                WriteResult::TagMismatch | WriteResult::Unknown => {}
            }
            let standing = self.read_back(service, id, nonce, written).await;
            match standing.flatten() {
                Some(standing) if standing.row == row => return true,
                // Another copy was refused. A copy that was sent after that
                // may be under way, so that its tag has to be replaced too.
                Some(standing) if standing.row.state == State::Refused => tag = standing.tag,
                _ => return false,
            }
        }
        false
    }

    /// Notes that a request ended. Nothing depends on its success.
    pub(crate) async fn end(&self, service: &str, id: &str, tag: &str, row: &Row) {
        let _ = self.write(service, id, tag, row).await;
    }

    async fn write(
        &self,
        service: &str,
        id: &str,
        tag: &str,
        row: &Row,
    ) -> (WriteResult, Box<str>) {
        let write = Write {
            key: key_of(service, id),
            condition: match tag {
                "" => Condition::Absent,
                tag => Condition::Tag(tag.into()),
            },
            value: row.to_text().into(),
        };
        let ask = |reply| storage::Message::Commit { write, reply };
        match self.store.request(ask).await {
            Some(CommitResult::Done(tags)) => {
                (WriteResult::Done, tags.into_iter().next().unwrap_or_default())
            }
            Some(CommitResult::Conflict(_)) => (WriteResult::TagMismatch, "".into()),
            Some(CommitResult::NotSent(_)) => (WriteResult::NotSent, "".into()),
            Some(CommitResult::Unknown) | None => (WriteResult::Unknown, "".into()),
        }
    }

    /// Reads a row after a write whose effect is not known. An absent row
    /// after a lost answer is read again: the write may be on its way.
    async fn read_back(
        &self,
        service: &str,
        id: &str,
        nonce: Nonce,
        written: WriteResult,
    ) -> Option<Option<Standing>> {
        let mut last = None;
        for _ in 0..READ_BACK_TRIES {
            if let Ok(standing) = self.read(service, id).await {
                let is_own = standing.as_ref().is_some_and(|s| s.row.nonce == nonce);
                let is_settled = written == WriteResult::TagMismatch || is_own;
                last = Some(standing);
                if is_settled {
                    return last;
                }
            }
            self.kernel.clock().sleep(READ_BACK_PAUSE).await;
        }
        last
    }
}

fn key_of(service: &str, id: &str) -> Box<str> {
    format!("once/{service}/{id}").into()
}
