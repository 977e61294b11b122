//! Putting service files into force.
//!
//! One transaction writes the head, an entry of the log, which is the audit
//! trail, and the files. Its condition is the tag of the head that the
//! publisher has read, so that of two publishers that race one wins and the
//! other learns of it. An answer that was lost is settled by the publication's
//! id in the log.

use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use config::Revision;
use error_stack::{Report, ResultExt};
use serde_json::{Value, json};
use store::{CommitResult, Condition, Failure, Row, Store, Write};

use crate::files::File;

/// Key of the newest revision.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the audit trail's keys.
pub const LOG_PREFIX: &str = "config/log/";
/// Prefix of the files' keys.
pub const SERVICE_PREFIX: &str = "config/service/";

/// Times that a transaction is sent while nobody knows whether it took effect.
const TRIES: u32 = 8;
/// Pause between two of them.
const PAUSE: Duration = Duration::from_millis(150);

/// What is to be published.
#[derive(Debug)]
pub struct Publication {
    /// Number that is in the log if this publication took effect.
    pub id: Box<str>,
    /// Who publishes.
    pub who: Box<str>,
    /// New files.
    pub files: Vec<File>,
    /// Services to remove.
    pub remove: Vec<Box<str>>,
}

/// What became of a publication.
#[derive(Debug, PartialEq, Eq)]
pub enum Published {
    /// It is in force from this revision on.
    Accepted {
        /// Revision that it was based on.
        from: Revision,
        /// Its revision.
        revision: Revision,
    },
    /// Nothing differs from what is in force.
    Unchanged {
        /// The revision in force.
        revision: Revision,
    },
    /// Another publisher was first.
    Lost {
        /// The entry of the winner in the log.
        winner: Box<str>,
    },
}

/// Why a publication failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishError {
    /// Nothing was written.
    NotDone,
    /// The files that differ are too many, or too large together: see
    /// [`MAX_ROW_BYTES`] and [`MAX_FILES`].
    TooLarge,
    /// Nobody can tell whether it is written.
    Unknown,
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotDone => "nothing is published",
            Self::TooLarge => {
                "nothing is published: more than 64 KiB or 90 files differ; publish them in parts"
            }
            Self::Unknown => "it is not known whether the files are published; run history",
        })
    }
}

impl std::error::Error for PublishError {}

/// The head of the configuration as it stands in the table.
#[derive(Debug)]
pub struct Head {
    /// The newest revision; 0 before the first.
    pub revision: Revision,
    condition: Condition,
}

/// Reads the head.
pub async fn read_head(store: &Store) -> Result<Head, Report<Failure>> {
    let Some(row) = store.read(HEAD_KEY).await.map_err(Report::new)? else {
        return Ok(Head { revision: 0, condition: Condition::Absent });
    };
    let value: Value = serde_json::from_str(&row.value).change_context(Failure::Garbled)?;
    let revision = value["revision"].as_u64().ok_or_else(|| Report::new(Failure::Garbled))?;
    Ok(Head { revision, condition: Condition::Tag(row.tag) })
}

/// Bytes of the largest row of the store. The entry of the log holds all files
/// of a publication.
pub const MAX_ROW_BYTES: usize = 64 * 1024;
/// Most files that one publication changes: a transaction of the store holds 100
/// entries.
pub const MAX_FILES: usize = 90;

/// Publishes. The second part of the result are the changed files as the
/// daemons take them.
pub async fn publish(
    store: &Store,
    publication: Publication,
) -> Result<(Published, Value), Report<PublishError>> {
    let head = read_head(store).await.change_context(PublishError::NotDone)?;
    let changes = changes(store, &publication).await.change_context(PublishError::NotDone)?;
    if changes.is_empty() {
        let revision = head.revision;
        return Ok((Published::Unchanged { revision }, Value::Null));
    }
    let is_too_many = changes.len() > MAX_FILES;
    let changes = Value::Array(changes);
    let writes = writes(&head, &publication, &changes);
    if is_too_many || writes.iter().any(|write| write.value.len() > MAX_ROW_BYTES) {
        return Err(Report::new(PublishError::TooLarge));
    }
    let published = commit(store, &head, &publication, writes).await?;
    Ok((published, changes))
}

/// The files that differ from those in force.
async fn changes(store: &Store, publication: &Publication) -> Result<Vec<Value>, Report<Failure>> {
    let mut changes = Vec::new();
    let files = publication.files.iter().map(|file| (&file.service, &*file.body));
    let removed = publication.remove.iter().map(|service| (service, ""));
    for (service, body) in files.chain(removed) {
        let row = store.read(&format!("{SERVICE_PREFIX}{service}")).await.map_err(Report::new)?;
        let known = row.map(|row| body_of(&row)).unwrap_or_default();
        if *known != *body {
            changes.push(json!({ "service": **service, "body": body }));
        }
    }
    Ok(changes)
}

fn body_of(row: &Row) -> Box<str> {
    let value: Value = serde_json::from_str(&row.value).unwrap_or_default();
    value["body"].as_str().unwrap_or_default().into()
}

fn writes(head: &Head, publication: &Publication, changes: &Value) -> Vec<Write> {
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
            condition: head.condition.clone(),
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

/// Sends the transaction until its fate is known. Sending it again is safe:
/// after the first time the head has another tag.
async fn commit(
    store: &Store,
    head: &Head,
    publication: &Publication,
    writes: Vec<Write>,
) -> Result<Published, Report<PublishError>> {
    let (from, revision) = (head.revision, head.revision + 1);
    let mut may_be_done = false;
    for _ in 0..TRIES {
        match store.commit(writes.clone()).await {
            CommitResult::Done(_) => return Ok(Published::Accepted { from, revision }),
            CommitResult::Conflict(_) => {}
            CommitResult::Unknown => may_be_done = true,
            CommitResult::NotSent(_) => {}
        }
        if let Some(row) = read_entry(store, revision).await {
            return Ok(match is_own(&row, publication) {
                true => Published::Accepted { from, revision },
                false => Published::Lost { winner: row.value },
            });
        }
        std::thread::sleep(PAUSE);
    }
    Err(Report::new(match may_be_done {
        true => PublishError::Unknown,
        false => PublishError::NotDone,
    }))
}

async fn read_entry(store: &Store, revision: Revision) -> Option<Row> {
    store.read(&log_key(revision)).await.ok().flatten()
}

fn is_own(row: &Row, publication: &Publication) -> bool {
    let value: Value = serde_json::from_str(&row.value).unwrap_or_default();
    value["publication"].as_str() == Some(&publication.id)
}

fn log_key(revision: Revision) -> Box<str> {
    format!("{LOG_PREFIX}{revision:012}").into()
}
