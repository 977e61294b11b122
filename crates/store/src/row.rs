//! Rows, writes and the interface to a store's protocol.

use std::time::Duration;

use bytes::Bytes;
use hyper::Request;

use crate::client::CommitResult;

/// Version of the store, which increases with each transaction.
pub type Version = u64;

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key of the row: the name of its table, a slash, and the key in that table.
    pub key: Box<str>,
    /// Tag of the row, which changes with each write.
    pub tag: Box<str>,
    /// Text of the row.
    pub value: Box<str>,
}

/// Rows read at one version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rows {
    /// The existing rows, or in a feed the rows that were written.
    pub rows: Vec<Row>,
    /// In a feed, the keys of rows that were deleted.
    pub deleted: Vec<Box<str>>,
    /// The newest version of the store. The next feed continues after it.
    pub version: Version,
}

/// The condition under which a write takes effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The write is unconditional.
    Always,
    /// The row does not exist.
    Absent,
    /// The row has this tag.
    Tag(Box<str>),
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
    /// Parses the rows in the response to a list or a feed.
    pub parse_rows: fn(body: &[u8]) -> Option<Rows>,
    /// Parses the response to a transaction that was committed.
    pub parse_commit: fn(body: &[u8], writes: &[Write]) -> Option<CommitResult>,
    /// Parses the response to a transaction some of whose conditions did not hold.
    pub parse_conflict: fn(body: &[u8], writes: &[Write]) -> Option<CommitResult>,
}
