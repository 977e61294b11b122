//! Rows, writes and the interface to a store's protocol.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Request};

use crate::client::CommitResult;

/// Version of the store, which increases with each transaction.
pub type Version = u64;

/// Number of the store's present copy. It increases each time that the store comes back
/// from an older copy, which may lose acknowledged writes and issues their versions again.
pub type Era = u64;

/// Era of a store that has never come back from a copy.
pub const FIRST_ERA: Era = 1;

/// A version of the store. Versions of different eras are not comparable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// Era in which the version was issued.
    pub era: Era,
    /// The version.
    pub version: Version,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.version)
    }
}

impl FromStr for Position {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, version) = text.split_once('.').unwrap_or(("", text));
        Ok(Self { era: era.parse()?, version: version.parse()? })
    }
}

/// State in which a row was read: the version that wrote it, or 0 if there was no row.
pub type Tag = Position;

/// A row of a table. `Debug` does not show the text, because the row of the configuration has the
/// keys of organisations.
#[derive(Clone, PartialEq, Eq)]
pub struct Row {
    /// Key of the row: the name of its table, a slash, and the key in that table.
    pub key: Box<str>,
    /// Tag of the row, which changes with each write.
    pub tag: Tag,
    /// Text of the row.
    pub value: Box<str>,
}

impl fmt::Debug for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, tag, value } = self;
        f.debug_struct("Row")
            .field("key", key)
            .field("tag", tag)
            .field("value_bytes", &value.len())
            .finish()
    }
}

/// Result of reading one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    /// Tag of the row, or of its absence.
    pub tag: Tag,
    /// Text of the row; `None` if it does not exist.
    pub value: Option<Box<str>>,
}

/// Rows read at one version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    /// The existing rows, or in a feed the rows that were written.
    pub rows: Vec<Row>,
    /// In a feed, the keys of rows that were deleted.
    pub deleted: Vec<Box<str>>,
    /// Keys of rows that cannot be read, such as those of another writer.
    pub unreadable: Vec<Box<str>>,
    /// The newest version of the store. The next feed continues after it.
    pub position: Position,
}

/// The condition under which a write takes effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The write is unconditional.
    Always,
    /// The row does not exist.
    Absent,
    /// The row is in the state that was read with this tag. This never holds in another
    /// era than the tag's.
    Tag(Tag),
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: Box<str>,
    /// Condition under which the write takes effect.
    pub condition: Condition,
    /// New text of the row.
    pub value: Box<str>,
}

/// A store's protocol. Each function builds the HTTP request of an operation or
/// parses the body of a response.
#[derive(Debug, Clone, Copy)]
pub struct StoreProtocol {
    /// Builds the request that lists up to `limit` rows whose keys start with
    /// `prefix` and are not less than `from`.
    pub list: fn(prefix: &str, from: &str, limit: usize) -> Request<Bytes>,
    /// Builds the request that waits for changes of a table after a version.
    pub feed: fn(table: &str, after: Version, wait: Duration) -> Request<Bytes>,
    /// Builds the request of a transaction, which writes either all rows or none.
    pub commit: fn(writes: &[Write]) -> Request<Bytes>,
    /// Builds the request that reads an object.
    pub read_object: fn(name: &str) -> Request<Bytes>,
    /// Builds the request that writes an object.
    pub write_object: fn(name: &str, text: &str) -> Request<Bytes>,
    /// Reads the era from the headers of a response; `None` if they name none.
    pub read_era: fn(headers: &HeaderMap) -> Option<Era>,
    /// Parses the rows in the response to a list or a feed of this era.
    pub parse_rows: fn(body: &[u8], era: Era) -> Option<Rows>,
    /// Parses the response to a transaction that was committed in this era.
    pub parse_commit: fn(body: &[u8], writes: &[Write], era: Era) -> Option<CommitResult>,
    /// Parses the response to a transaction some of whose conditions did not hold.
    pub parse_conflict: fn(body: &[u8], writes: &[Write]) -> Option<CommitResult>,
}
