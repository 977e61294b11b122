//! Keys and texts of the rows in which the store keeps the configuration.
//!
//! The head names the newest revision. Each revision has an entry in the log, which is the
//! audit trail, and the newest file of each service has a row of its own.

use std::fmt;

use serde_json::{Value, json};

use crate::active::{Change, Revision};

/// Key of the row that names the newest revision.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of log entries.
pub const LOG_PREFIX: &str = "config/log/";
/// Prefix of the keys of service files.
pub const SERVICE_PREFIX: &str = "config/service/";

/// Maximum size of a row, in bytes. A log entry is one row and holds all files of its
/// revision.
pub const MAX_ROW_BYTES: usize = 64 * 1024;
/// Maximum number of rows in a transaction of the store.
pub const MAX_TRANSACTION_ROWS: usize = 100;
/// Maximum number of files that one revision may change.
pub const MAX_FILES: usize = 90;

/// Range of the revisions of one era of the store.
const REVISIONS_PER_ERA: Revision = 1_000_000_000;

/// The row that names the newest revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Head {
    /// The newest revision.
    pub revision: Revision,
    /// Era of the store in which the head was written, or confirmed by a daemon that knows
    /// what was in force before; `None` in rows of earlier builds.
    pub era: Option<u64>,
}

/// The text of a row is not of the expected form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

/// A log entry to be written.
#[derive(Debug)]
pub struct Entry<'a> {
    /// The revision that the entry describes.
    pub revision: Revision,
    /// The revision before it.
    pub from: Revision,
    /// Unique id of the publication.
    pub publication: &'a str,
    /// Name of the publisher.
    pub who: &'a str,
    /// Time of the publication, in seconds since 1970.
    pub when: u64,
    /// The changed files.
    pub changes: &'a [Change],
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a row of the configuration is malformed")
    }
}

impl std::error::Error for Malformed {}

impl Head {
    /// Whether publications after this revision may be lost, since the store has come back
    /// from an older copy and nobody has confirmed the head in `era`.
    pub fn is_unconfirmed_in(self, era: u64) -> bool {
        self.era.is_some_and(|confirmed| confirmed < era)
    }

    /// Returns the text of the row.
    pub fn to_text(self) -> Box<str> {
        json!({ "revision": self.revision, "era": self.era }).to_string().into()
    }
}

impl TryFrom<&str> for Head {
    type Error = Malformed;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let value: Value = serde_json::from_str(text).map_err(|_| Malformed)?;
        let revision = value["revision"].as_u64().ok_or(Malformed)?;
        Ok(Self { revision, era: value["era"].as_u64() })
    }
}

impl Entry<'_> {
    /// Returns the text of the entry.
    pub fn to_text(&self) -> Box<str> {
        let changes = self.changes.iter().map(|change| {
            json!({
                "service": *change.service,
                "body": *change.body,
                "published": change.published,
            })
        });
        let entry = json!({
            "revision": self.revision,
            "from": self.from,
            "publication": self.publication,
            "who": self.who,
            "when": self.when,
            "changes": changes.collect::<Vec<_>>(),
        });
        entry.to_string().into()
    }
}

/// Returns the revision after those of `newest`, for a publication in an era of the store.
///
/// The first revision of an era is greater than all revisions of earlier eras. A restored
/// store may have lost revisions that are in force, and none of them is used a second time.
pub fn next_revision(newest: Revision, era: u64) -> Revision {
    (newest + 1).max(era * REVISIONS_PER_ERA + 1)
}

/// Returns the key of the log entry of a revision. The keys sort like the revisions.
pub fn log_key(revision: Revision) -> Box<str> {
    format!("{LOG_PREFIX}{revision:012}").into()
}

/// Returns the changes in the text of a log entry, and its revision.
pub fn read_entry(text: &str) -> Result<(Revision, Vec<Change>), Malformed> {
    let value: Value = serde_json::from_str(text).map_err(|_| Malformed)?;
    let revision = value["revision"].as_u64().ok_or(Malformed)?;
    let changes = value["changes"].as_array().ok_or(Malformed)?.iter();
    let changes = changes.map(|change| read_change(change, revision, change["service"].as_str()?));
    Ok((revision, changes.collect::<Option<_>>().ok_or(Malformed)?))
}

/// Returns the key of the row of a service file.
pub fn service_key(service: &str) -> Box<str> {
    format!("{SERVICE_PREFIX}{service}").into()
}

/// Returns the text of the row of a service file.
pub fn service_text(change: &Change) -> Box<str> {
    let Change { revision, published, body, .. } = change;
    json!({ "revision": revision, "published": published, "body": **body }).to_string().into()
}

/// Reads the row of a service file.
pub fn read_service(key: &str, text: &str) -> Result<Change, Malformed> {
    let value: Value = serde_json::from_str(text).map_err(|_| Malformed)?;
    let revision = value["revision"].as_u64().ok_or(Malformed)?;
    let service = key.strip_prefix(SERVICE_PREFIX).ok_or(Malformed)?;
    read_change(&value, revision, service).ok_or(Malformed)
}

fn read_change(value: &Value, revision: Revision, service: &str) -> Option<Change> {
    Some(Change {
        revision,
        published: value["published"].as_u64().unwrap_or(revision),
        service: service.into(),
        body: value["body"].as_str()?.into(),
    })
}
