//! Writes publications again that the store has lost by coming back from an older copy.
//!
//! Any daemon that has a lost publication in force can write it. A file keeps the revision at
//! which it was published, so that a daemon that has missed a later one cannot replace it.

use std::collections::HashMap;
use std::time::{SystemTime, UNIX_EPOCH};

use config::stored::{self, Entry, Head};
use config::{Change, Revision};
use kernel::{Kernel, Mailbox};
use store::{CommitResult, Condition, Era, Failure, Tag, Write};
use wire::Changes;

use super::{Message, list_services};
use crate::{names, storage};

/// Bytes of a log entry beside its files.
const ENTRY_OVERHEAD_BYTES: usize = 1024;

/// The head as read from the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct StoredHead {
    pub(super) head: Head,
    pub(super) tag: Tag,
}

/// What a daemon knows of the eras of the store.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Eras {
    /// Era of the first response to this daemon.
    first_era: Option<Era>,
    /// Latest era in which the store has all publications that this daemon has in force.
    recovered_era: Option<Era>,
}

/// What has to be written to the store.
enum Plan {
    Nothing,
    /// The head is confirmed in the present era.
    Confirm,
    /// These files have to be written.
    Write(Vec<Change>),
}

impl Eras {
    /// Whether the store may have lost publications that this daemon has in force.
    pub(super) fn must_recover(&mut self, stored: StoredHead, in_force: Revision) -> bool {
        let era = stored.tag.era;
        self.first_era.get_or_insert(era);
        if in_force == 0 {
            // Whatever comes into force now is in the store in this era.
            self.recovered_era = Some(era);
        }
        let may_know_more = self.knows_earlier_era(era) || stored.head.is_unconfirmed_in(era);
        stored.head.revision < in_force || (self.recovered_era != Some(era) && may_know_more)
    }

    /// Whether this daemon has seen the store before it came back as it is in `era`.
    fn knows_earlier_era(self, era: Era) -> bool {
        self.first_era.is_some_and(|first| first < era)
    }

    /// Writes what the store has lost. Call this when the head's revision is in force here.
    pub(super) async fn recover(
        &mut self,
        kernel: &Kernel,
        mailbox: &Mailbox<Message>,
        node: u64,
        stored: StoredHead,
    ) -> Result<(), Failure> {
        let era = stored.tag.era;
        let files = mailbox.request(|reply| Message::ServiceChanges { reply }).await;
        let files = files.unwrap_or_default();
        let in_store = list_services(kernel).await.ok_or(Failure::Down)?;
        match self.plan(stored, files, &in_store) {
            Plan::Nothing => self.recovered_era = Some(era),
            Plan::Confirm => {
                let head = Head { era: Some(era), ..stored.head };
                write(kernel, vec![head_write(head, stored.tag)]).await?;
                log::info!(
                    "the store lacks nothing of revision {}, which is confirmed in era {era}",
                    head.revision
                );
                self.recovered_era = Some(era);
            }
            // The next poll finds out whether more files are missing.
            Plan::Write(lost) => self.write_files(kernel, mailbox, node, stored, lost).await?,
        }
        Ok(())
    }

    fn plan(&self, stored: StoredHead, files: Vec<Change>, in_store: &[Change]) -> Plan {
        let published: HashMap<&str, Revision> =
            in_store.iter().map(|change| (&*change.service, change.published)).collect();
        let is_lost = |file: &Change| {
            published.get(&*file.service).is_none_or(|published| *published < file.published)
        };
        let lost: Vec<Change> = files.into_iter().filter(is_lost).collect();
        if !lost.is_empty() {
            return Plan::Write(lost);
        }
        let era = stored.tag.era;
        match stored.head.is_unconfirmed_in(era) && self.knows_earlier_era(era) {
            true => Plan::Confirm,
            false => Plan::Nothing,
        }
    }

    /// Writes some lost files as a new revision, on condition that the head is unchanged.
    async fn write_files(
        &self,
        kernel: &Kernel,
        mailbox: &Mailbox<Message>,
        node: u64,
        StoredHead { head, tag }: StoredHead,
        mut lost: Vec<Change>,
    ) -> Result<(), Failure> {
        let state = mailbox.request(|reply| Message::State { reply }).await;
        let in_force = state.map_or(0, |state| state.revision);
        let revision = stored::next_revision(in_force.max(head.revision), tag.era);
        let fitting = count_fitting(&lost);
        let is_last = fitting == lost.len();
        lost.truncate(fitting);
        for file in &mut lost {
            file.revision = revision;
        }
        let era = match is_last && self.knows_earlier_era(tag.era) {
            true => Some(tag.era),
            // Without a head in the copy, nothing is confirmed.
            false => Some(head.era.unwrap_or(0)),
        };
        let when = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let entry = Entry {
            revision,
            from: head.revision,
            publication: &format!("recovery-{node:016x}-{revision}"),
            who: &format!("bronzeportd {node:016x}"),
            when,
            changes: &lost,
        };
        let mut writes = vec![
            head_write(Head { revision, era }, tag),
            Write {
                key: stored::log_key(revision),
                condition: Condition::Absent,
                value: entry.to_text(),
            },
        ];
        writes.extend(lost.iter().map(|file| Write {
            key: stored::service_key(&file.service),
            condition: Condition::Always,
            value: stored::service_text(file),
        }));
        write(kernel, writes).await?;
        let services: Vec<&str> = lost.iter().map(|file| &*file.service).collect();
        log::warn!(
            "the store had lost files that are in force; they are written again as revision \
             {revision}: {}",
            services.join(" ")
        );
        metrics::counter!("bronzeport_recovered_files_total").increment(lost.len() as u64);
        let changes = Changes { revision, changes: lost };
        mailbox.send(Message::Install { from: in_force, changes });
        Ok(())
    }
}

/// Returns how many of the files, at least one, fit into one revision.
fn count_fitting(files: &[Change]) -> usize {
    let mut bytes = ENTRY_OVERHEAD_BYTES;
    let fits = |file: &&Change| {
        bytes += stored::service_text(file).len() + file.service.len();
        bytes <= stored::MAX_ROW_BYTES
    };
    files.iter().take(stored::MAX_FILES).take_while(fits).count().max(1)
}

fn head_write(head: Head, tag: Tag) -> Write {
    Write { key: stored::HEAD_KEY.into(), condition: Condition::Tag(tag), value: head.to_text() }
}

/// Writes rows in one transaction. Whether a transaction without a result has taken effect
/// shows at the next poll.
async fn write(kernel: &Kernel, writes: Vec<Write>) -> Result<(), Failure> {
    let store: Mailbox<storage::Message> = kernel.service(names::STORE);
    match store.request(|reply| storage::Message::CommitAll { writes, reply }).await {
        Some(CommitResult::Done(_)) => Ok(()),
        Some(CommitResult::NotSent(failure)) => Err(failure),
        Some(CommitResult::Conflict(_) | CommitResult::Restored | CommitResult::Unknown) | None => {
            Err(Failure::Down)
        }
    }
}
