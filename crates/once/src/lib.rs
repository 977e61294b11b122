//! At-most-once execution: one row in the table for each id of a request that must not be
//! repeated.
//!
//! The row is the write-once register of Frølund and Guerraoui, "Implementing e-Transactions
//! with Asynchronous Replication": the first node that writes it may run the request, and all
//! other nodes read which node that was. The guard writes it before it sends the first byte of
//! the request to the target.
//!
//! A refusal that is reported to the caller is first written into the row and stays there. A
//! copy of the request that arrived before the refusal holds the earlier tag and can therefore
//! never claim the row; a copy that arrives later reads the refusal.
//!
//! ```
//! use once::{ArrivalDecision, decide_arrival};
//!
//! let arrival = decide_arrival(None, 7);
//! assert_eq!(arrival, ArrivalDecision::Proceed);
//! ```

mod claim;
mod duplicate_cache;
mod row;
mod row_log;

pub use claim::{ArrivalDecision, ClaimDecision, WriteResult, decide_arrival, decide_claim};
pub use duplicate_cache::{DuplicateCache, Execution, Lookup};
pub use row::{Fingerprint, Nonce, Row, State, fingerprint, settled_key};
pub use row_log::{Created, LoggedRow, RowLog};
