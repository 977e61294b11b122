//! Publishes service files, which puts them into force.
//!
//! One transaction writes the head, an entry of the log, which is the audit
//! trail, and the files. It is conditional on the tag of the head that the
//! publisher read, so that only one of two concurrent publishers succeeds, and the
//! other one gets the log entry of the first. If the store's response is lost, the id
//! of the publication in the log shows whether the transaction took effect.

use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use config::Revision;
use error_stack::{Report, ResultExt};
use serde_json::{Value, json};
use store::{Cell, CommitResult, Condition, Failure, Row, Store, Tag, Write};

use crate::files::ServiceFile;

/// Key of the row that holds the newest revision.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of audit trail entries.
pub const LOG_PREFIX: &str = "config/log/";
/// Prefix of the keys of service files.
pub const SERVICE_PREFIX: &str = "config/service/";

/// Maximum number of times that a transaction is sent while its result is unknown.
const MAX_COMMIT_ATTEMPTS: u32 = 8;
/// Time between two attempts to send the transaction.
const RETRY_DELAY: Duration = Duration::from_millis(150);

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
    /// Too many files differ from those in force, or they are too large together; see
    /// [`MAX_FILES`] and [`MAX_ROW_BYTES`].
    TooLarge,
    /// It is unknown whether the files are written.
    Unknown,
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotPublished => "nothing is published",
            Self::TooLarge => {
                "nothing is published: more than 64 KiB or 90 files differ; publish them in parts"
            }
            Self::Unknown => "unknown whether the files are published; run `bronzeport history`",
        })
    }
}

impl std::error::Error for PublishError {}

/// The head row of the configuration in the store.
#[derive(Debug)]
pub struct Head {
    /// The newest revision; 0 before the first publication.
    pub revision: Revision,
    tag: Tag,
}

/// Reads the head of the configuration.
pub async fn read_head(store: &Store) -> Result<Head, Report<Failure>> {
    let Cell { tag, value } = store.read_cell(HEAD_KEY).await.map_err(Report::new)?;
    let Some(text) = value else {
        return Ok(Head { revision: 0, tag });
    };
    let value: Value = serde_json::from_str(&text).change_context(Failure::Garbled)?;
    let revision = value["revision"].as_u64().ok_or_else(|| Report::new(Failure::Garbled))?;
    Ok(Head { revision, tag })
}

/// Maximum size of a row in the store, in bytes. A log entry is one row and holds all
/// files of its publication.
pub const MAX_ROW_BYTES: usize = 64 * 1024;
/// Maximum number of files that a publication may change. A transaction of the store
/// holds at most 100 rows.
pub const MAX_FILES: usize = 90;

/// Publishes the changes. The second part of the result is the list of changed files
/// in the format that daemons accept at `/changes`.
pub async fn publish(
    store: &Store,
    publication: Publication,
) -> Result<(PublishResult, Value), Report<PublishError>> {
    let head = read_head(store).await.change_context(PublishError::NotPublished)?;
    let changes =
        find_changes(store, &publication).await.change_context(PublishError::NotPublished)?;
    if changes.is_empty() {
        let revision = head.revision;
        return Ok((PublishResult::Unchanged { revision }, Value::Null));
    }
    let has_too_many_files = changes.len() > MAX_FILES;
    let changes = Value::Array(changes);
    let writes = build_writes(&head, &publication, &changes);
    if has_too_many_files || writes.iter().any(|write| write.value.len() > MAX_ROW_BYTES) {
        return Err(Report::new(PublishError::TooLarge));
    }
    let published = commit(store, &head, &publication, writes).await?;
    Ok((published, changes))
}

/// Returns the files that differ from those in force. A removed file has an empty
/// body.
async fn find_changes(
    store: &Store,
    publication: &Publication,
) -> Result<Vec<Value>, Report<Failure>> {
    let mut changes = Vec::new();
    let files = publication.files.iter().map(|file| (&file.service, &*file.body));
    let removed = publication.remove.iter().map(|service| (service, ""));
    for (service, body) in files.chain(removed) {
        let row = store.read(&format!("{SERVICE_PREFIX}{service}")).await.map_err(Report::new)?;
        let current = row.map(|row| body_of(&row)).unwrap_or_default();
        if *current != *body {
            changes.push(json!({ "service": **service, "body": body }));
        }
    }
    Ok(changes)
}

fn body_of(row: &Row) -> Box<str> {
    let value: Value = serde_json::from_str(&row.value).unwrap_or_default();
    value["body"].as_str().unwrap_or_default().into()
}

/// Returns the writes of the transaction: the head, the log entry and the files.
fn build_writes(head: &Head, publication: &Publication, changes: &Value) -> Vec<Write> {
    let revision = head.revision + 1;
    let when = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let entry = json!({
        "revision": revision,
        "from": head.revision,
        "publication": *publication.id,
        "who": *publication.who,
        "when": when,
        "changes": changes,
    });
    let mut writes = vec![
        Write {
            key: HEAD_KEY.into(),
            condition: Condition::Tag(head.tag),
            value: json!({ "revision": revision }).to_string().into(),
        },
        Write {
            key: log_key(revision),
            condition: Condition::Absent,
            value: entry.to_string().into(),
        },
    ];
    for change in changes.as_array().into_iter().flatten() {
        let service = change["service"].as_str().unwrap_or_default();
        writes.push(Write {
            key: format!("{SERVICE_PREFIX}{service}").into(),
            condition: Condition::Always,
            value: json!({ "revision": revision, "body": change["body"] }).to_string().into(),
        });
    }
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
    let (from, revision) = (head.revision, head.revision + 1);
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
    store.read(&log_key(revision)).await.ok().flatten()
}

fn is_entry_of(row: &Row, publication: &Publication) -> bool {
    let value: Value = serde_json::from_str(&row.value).unwrap_or_default();
    value["publication"].as_str() == Some(&publication.id)
}

fn log_key(revision: Revision) -> Box<str> {
    format!("{LOG_PREFIX}{revision:012}").into()
}
