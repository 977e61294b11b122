//! Rows of the table, and the way that a store's protocol is spoken.

use std::time::Duration;

use bytes::Bytes;
use hyper::Request;

use crate::client::Commit;

/// Number that grows with each transaction of the store.
pub type Version = u64;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key: the name of its table, a slash, and the key in that table.
    pub key: Box<str>,
    /// Its tag. It changes with each write.
    pub tag: Box<str>,
    /// Its text.
    pub value: Box<str>,
}

/// Rows as they stood at one version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    /// Rows that stand, or, in a feed, rows that were written.
    pub rows: Vec<Row>,
    /// In a feed, keys of rows that were dropped.
    pub dropped: Vec<Box<str>>,
    /// The newest version; a feed goes on after it.
    pub version: Version,
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// Nothing.
    Always,
    /// There is no such row.
    Absent,
    /// The row has this tag.
    Tag(Box<str>),
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: Box<str>,
    /// What must hold.
    pub condition: Condition,
    /// New text of the row.
    pub value: Box<str>,
}

/// How a store's protocol is spoken: each function makes the request of one
/// operation or reads the body of its answer.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Lists up to `limit` rows with a prefix whose keys are not below `from`.
    pub list: fn(prefix: &str, from: &str, limit: usize) -> Request<Bytes>,
    /// Waits for changes of a table after a version.
    pub feed: fn(table: &str, after: Version, wait: Duration) -> Request<Bytes>,
    /// Writes all rows or none.
    pub commit: fn(writes: &[Write]) -> Request<Bytes>,
    /// Reads an object.
    pub read_object: fn(name: &str) -> Request<Bytes>,
    /// Writes an object.
    pub write_object: fn(name: &str, text: &str) -> Request<Bytes>,
    /// Reads the rows of a list or a feed.
    pub rows: fn(body: &[u8]) -> Option<Rows>,
    /// Reads what became of a transaction that was done.
    pub done: fn(body: &[u8], writes: &[Write]) -> Option<Commit>,
    /// Reads which conditions of a transaction did not hold.
    pub conflict: fn(body: &[u8], writes: &[Write]) -> Option<Commit>,
}
