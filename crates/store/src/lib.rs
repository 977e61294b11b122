//! Client of a transactional table store that also stores objects and provides a
//! feed of changes.
//!
//! The client uses HTTP/1.1. A [`StoreProtocol`] builds the requests and parses the
//! responses. A circuit breaker blocks calls to a store that is not responding.
//! Results distinguish a transaction that was not sent from one whose response was
//! lost, since the latter may have been committed.
//!
//! The store may come back from an older copy, which begins a new [`Era`]. Versions and tags
//! carry the era in which they were read, and those of an earlier era are never used in a
//! later one. Rows that were written in an earlier era may be missing; whoever wrote them has
//! to write them again.
//!
//! ```
//! use bytes::Bytes;
//! use hyper::Request;
//! use store::{Failure, Settings, Store, StoreProtocol};
//!
//! let get = |_: &str| Request::new(Bytes::new());
//! let protocol = StoreProtocol {
//!     list: |_, _, _| Request::new(Bytes::new()),
//!     feed: |_, _, _| Request::new(Bytes::new()),
//!     commit: |_| Request::new(Bytes::new()),
//!     read_object: get,
//!     write_object: |_, _| Request::new(Bytes::new()),
//!     read_era: |_| None,
//!     parse_rows: |_, _| None,
//!     parse_commit: |_, _, _| None,
//!     parse_conflict: |_, _| None,
//! };
//! // Nothing listens on port 1, so the request is not sent.
//! let kernel = kernel::Kernel::new().expect("a runtime");
//! let store = Store::new(&kernel, Settings::at("127.0.0.1:1".parse().unwrap(), protocol));
//! let read = kernel.run(store.read("config/head"));
//! assert_eq!(read, Err(Failure::Down));
//! ```

mod batch;
mod circuit;
mod client;
mod row;

pub use batch::{Batch, commit_each};
pub use circuit::CircuitBreaker;
pub use client::{CommitResult, Failure, Settings, Store};
pub use row::{
    Cell, Condition, Era, FIRST_ERA, Position, Row, Rows, StoreProtocol, Tag, Version, Write,
};
