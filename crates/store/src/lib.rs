//! Client of a transactional table store with objects and a feed of changes.
//!
//! The store is met over HTTP/1.1; a [`Dialect`] says how its operations are
//! spoken. A circuit breaker keeps calls away from a store that does not
//! answer. What is known after a lost answer is told apart from what is not.
//!
//! ```
//! use bytes::Bytes;
//! use hyper::Request;
//! use store::{Dialect, Failure, Settings, Store};
//!
//! let get = |_: &str| Request::new(Bytes::new());
//! let dialect = Dialect {
//!     list: |_, _, _| Request::new(Bytes::new()),
//!     feed: |_, _, _| Request::new(Bytes::new()),
//!     commit: |_| Request::new(Bytes::new()),
//!     read_object: get,
//!     write_object: |_, _| Request::new(Bytes::new()),
//!     rows: |_| None,
//!     done: |_, _| None,
//!     conflict: |_, _| None,
//! };
//! // Nothing listens on port 1, so the read fails without a doubt.
//! let kernel = kernel::Kernel::new().expect("a runtime");
//! let store = Store::new(&kernel, Settings::at("127.0.0.1:1".parse().unwrap(), dialect));
//! let read = kernel.run(store.read("config/head"));
//! assert_eq!(read, Err(Failure::Down));
//! ```

mod batch;
mod circuit;
mod client;
mod row;

pub use batch::{Batch, commit_each};
pub use circuit::Circuit;
pub use client::{Commit, Failure, Settings, Store};
pub use row::{Condition, Dialect, Row, Rows, Version, Write};
