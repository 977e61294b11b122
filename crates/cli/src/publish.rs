//! Publishes service files, which puts them into force.
//!
//! One transaction writes the head, an entry of the log, which is the audit
//! trail, and the files. It is conditional on the tag of the head that the
//! publisher read, so that only one of two concurrent publishers succeeds, and the
//! other one gets the log entry of the first. If the store's response is lost, the id
//! of the publication in the log shows whether the transaction took effect.

use std::fmt;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use config::stored;
use config::{Change, Revision};
use error_stack::{Report, ResultExt};
use once::settled_key;
use serde_json::{Value, json};
use store::{Cell, CommitResult, Condition, FIRST_ERA, Failure, Row, Store, Tag, Write};

use crate::files::ServiceFile;

/// Maximum number of times that a transaction is sent while its result is unknown.
const MAX_COMMIT_ATTEMPTS: u32 = 8;
/// Time between two attempts to send the transaction.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time limit for a daemon to confirm the head after the store came back from an older copy.
/// The daemons together read the head many times in it.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// Changes to publish together.
#[derive(Debug)]
pub struct Publication {
    /// Unique id, which is in the log if the publication took effect.
    pub id: Box<str>,
    /// Name of the publisher.
    pub who: Box<str>,
    /// New or changed files.
    pub files: Vec<ServiceFile>,
    /// Services to remove.
    pub remove: Vec<Box<str>>,
    /// Whether to take what the store has as complete, although it came back from an older copy
    /// and no daemon has confirmed that nothing is missing. All files are written, and requests
    /// of their services that must not be repeated may run unless the store has their rows.
    pub accept_copy: bool,
}

/// Result of a publication whose effect is known.
#[derive(Debug, PartialEq, Eq)]
pub enum PublishResult {
    /// The publication is in force.
    Accepted {
        /// Revision on which the publication is based.
        from: Revision,
        /// Revision that the publication created.
        revision: Revision,
    },
    /// The files are the same as those in force; nothing is written.
    Unchanged {
        /// The revision in force.
        revision: Revision,
    },
    /// Another publisher was first; nothing is written.
    Lost {
        /// The other publisher's log entry, as JSON.
        winner: Box<str>,
    },
}

/// Why a publication failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishError {
    /// Nothing is written.
    NotPublished,
    /// Nothing is written: the store came back from an older copy, and no daemon has confirmed
    /// yet what is in force.
    Unconfirmed,
    /// Too many files differ from those in force, or they are too large together; see
    /// [`stored::MAX_FILES`] and [`stored::MAX_ROW_BYTES`].
    TooLarge,
    /// It is unknown whether the files are written.
    Unknown,
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotPublished => "nothing is published",
            Self::Unconfirmed => {
                "nothing is published: the store came back from an older copy, and no daemon has \
                 confirmed what is in force; see `--accept-copy`"
            }
            Self::TooLarge => {
                "nothing is published: more than 64 KiB or 90 files differ; publish them in parts"
            }
            Self::Unknown => "unknown whether the files are published; run `bronzeport history`",
        })
    }
}

impl std::error::Error for PublishError {}

/// The head of the configuration as read from the store.
#[derive(Debug)]
pub struct Head {
    /// The newest revision; 0 before the first publication.
    pub revision: Revision,
    /// Whether publications after this revision may be lost: the store has come back from an
    /// older copy, and no daemon has confirmed the head since.
    pub is_unconfirmed: bool,
    tag: Tag,
}

impl Head {
    /// Returns the revision of a publication based on this head.
    fn next_revision(&self) -> Revision {
        stored::next_revision(self.revision, self.tag.era)
    }
}

/// Reads the head of the configuration.
pub async fn read_head(store: &Store) -> Result<Head, Report<Failure>> {
    let Cell { tag, value } = store.read_cell(stored::HEAD_KEY).await.map_err(Report::new)?;
    let Some(text) = value else {
        // Only a store that never came back from a copy can have lost nothing.
        return Ok(Head { revision: 0, is_unconfirmed: tag.era > FIRST_ERA, tag });
    };
    let head = stored::Head::try_from(&*text).change_context(Failure::Garbled)?;
    Ok(Head { revision: head.revision, is_unconfirmed: head.is_unconfirmed_in(tag.era), tag })
}

/// Reads the head, and waits until a daemon has confirmed it if the store has come back from
/// an older copy.
async fn read_confirmed_head(
    store: &Store,
    accept_copy: bool,
) -> Result<Head, Report<PublishError>> {
    let started = Instant::now();
    loop {
        let head = read_head(store).await.change_context(PublishError::NotPublished)?;
        if !head.is_unconfirmed || accept_copy {
            return Ok(head);
        }
        if started.elapsed() > CONFIRM_TIMEOUT {
            return Err(Report::new(PublishError::Unconfirmed));
        }
        std::thread::sleep(RETRY_DELAY);
    }
}

/// Publishes the changes. The second part of the result is the list of changed files
/// in the format that daemons accept at `/changes`.
pub async fn publish(
    store: &Store,
    publication: Publication,
) -> Result<(PublishResult, Value), Report<PublishError>> {
    let head = read_confirmed_head(store, publication.accept_copy).await?;
    let changes =
        find_changes(store, &publication).await.change_context(PublishError::NotPublished)?;
    if changes.is_empty() {
        let revision = head.revision;
        return Ok((PublishResult::Unchanged { revision }, Value::Null));
    }
    let has_too_many_files = changes.len() > stored::MAX_FILES;
    let changes = Value::Array(changes);
    let mut writes = build_writes(&head, &publication, &changes);
    let settled = settle_services(store, &head, &publication, &changes).await;
    writes.extend(settled.change_context(PublishError::NotPublished)?);
    if has_too_many_files
        || writes.len() > stored::MAX_TRANSACTION_ROWS
        || writes.iter().any(|write| write.value.len() > stored::MAX_ROW_BYTES)
    {
        return Err(Report::new(PublishError::TooLarge));
    }
    let published = commit(store, &head, &publication, writes).await?;
    Ok((published, changes))
}

/// Returns the files that differ from those in the store, or all if the operator takes what a
/// restored store has as complete. A removed file has an empty body.
async fn find_changes(
    store: &Store,
    publication: &Publication,
) -> Result<Vec<Value>, Report<Failure>> {
    let mut changes = Vec::new();
    let files = publication.files.iter().map(|file| (&file.service, &*file.body));
    let removed = publication.remove.iter().map(|service| (service, ""));
    for (service, body) in files.chain(removed) {
        let row = store.read(&stored::service_key(service)).await.map_err(Report::new)?;
        let current = row.map(|row| body_of(&row)).unwrap_or_default();
        if *current != *body || publication.accept_copy {
            changes.push(json!({ "service": **service, "body": body }));
        }
    }
    Ok(changes)
}

/// Returns the writes that declare the request ids of services to be complete in the store's
/// era: of services that are new, and of all if the operator accepts the copy. The ids of
/// other services are settled by the daemons.
async fn settle_services(
    store: &Store,
    head: &Head,
    publication: &Publication,
    changes: &Value,
) -> Result<Vec<Write>, Report<Failure>> {
    let mut writes = Vec::new();
    if head.tag.era <= FIRST_ERA {
        return Ok(writes);
    }
    let services = changes.as_array().into_iter().flatten();
    for service in services.filter_map(|change| change["service"].as_str()) {
        let key = settled_key(service);
        let Cell { tag, value } = store.read_cell(&key).await.map_err(Report::new)?;
        let file = store.read(&stored::service_key(service)).await.map_err(Report::new)?;
        let is_new = value.is_none() && file.is_none();
        if is_new || publication.accept_copy {
            let value = head.tag.era.to_string().into();
            writes.push(Write { key, condition: Condition::Tag(tag), value });
        }
    }
    Ok(writes)
}

fn body_of(row: &Row) -> Box<str> {
    let value: Value = serde_json::from_str(&row.value).unwrap_or_default();
    value["body"].as_str().unwrap_or_default().into()
}

/// Returns the writes of the transaction: the head, the log entry and the files.
fn build_writes(head: &Head, publication: &Publication, changes: &Value) -> Vec<Write> {
    let revision = head.next_revision();
    let when = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let text = |value: &Value| value.as_str().unwrap_or_default().into();
    let changes = changes.as_array().into_iter().flatten();
    let changes = changes.map(|change| Change {
        revision,
        published: revision,
        service: text(&change["service"]),
        body: text(&change["body"]),
    });
    let changes: Vec<Change> = changes.collect();
    let entry = stored::Entry {
        revision,
        from: head.revision,
        publication: &publication.id,
        who: &publication.who,
        when,
        changes: &changes,
    };
    let new_head = stored::Head { revision, era: Some(head.tag.era) };
    let mut writes = vec![
        Write {
            key: stored::HEAD_KEY.into(),
            condition: Condition::Tag(head.tag),
            value: new_head.to_text(),
        },
        Write {
            key: stored::log_key(revision),
            condition: Condition::Absent,
            value: entry.to_text(),
        },
    ];
    writes.extend(changes.iter().map(|change| Write {
        key: stored::service_key(&change.service),
        condition: Condition::Always,
        value: stored::service_text(change),
    }));
    writes
}

/// Sends the transaction until its result is known. Sending it again is safe: once it
/// has taken effect, the tag of the head differs, so the condition no longer holds.
async fn commit(
    store: &Store,
    head: &Head,
    publication: &Publication,
    writes: Vec<Write>,
) -> Result<PublishResult, Report<PublishError>> {
    let (from, revision) = (head.revision, head.next_revision());
    let mut may_be_written = false;
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        match store.commit(writes.clone()).await {
            CommitResult::Done(_) => return Ok(PublishResult::Accepted { from, revision }),
            CommitResult::Conflict(_) => {}
            CommitResult::Restored => return Err(Report::new(PublishError::Unknown)),
            CommitResult::Unknown => may_be_written = true,
            CommitResult::NotSent(_) => {}
        }
        if let Some(row) = read_entry(store, revision).await {
            return Ok(match is_entry_of(&row, publication) {
                true => PublishResult::Accepted { from, revision },
                false => PublishResult::Lost { winner: row.value },
            });
        }
        std::thread::sleep(RETRY_DELAY);
    }
    Err(Report::new(match may_be_written {
        true => PublishError::Unknown,
        false => PublishError::NotPublished,
    }))
}

/// Reads the log entry of a revision. Returns `None` if it does not exist or cannot be
/// read.
async fn read_entry(store: &Store, revision: Revision) -> Option<Row> {
    store.read(&stored::log_key(revision)).await.ok().flatten()
}

fn is_entry_of(row: &Row, publication: &Publication) -> bool {
    let value: Value = serde_json::from_str(&row.value).unwrap_or_default();
    value["publication"].as_str() == Some(&publication.id)
}
