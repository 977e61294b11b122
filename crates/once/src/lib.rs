//! At most once: one write-once row for each request id that may not be
//! repeated.
//!
//! The row is the write-once register of Frølund and Guerraoui, "Implementing
//! e-Transactions with Asynchronous Replication": whoever writes it first may
//! run the request, and everybody else learns who that was. It is written by
//! the guard before the first byte goes to the target.
//!
//! A refusal that the caller is told about is written into the row and stays
//! there. A copy of the request that arrived before it holds the earlier tag, so
//! that it can never claim the row; a copy that arrives later reads the refusal.
//!
//! ```
//! use once::{Arrival, decide_arrival};
//!
//! let arrival = decide_arrival(None, 7);
//! assert_eq!(arrival, Arrival::Proceed);
//! ```

mod claim;
mod ledger;
mod row;

pub use claim::{Arrival, Claim, Written, decide_arrival, decide_claim};
pub use ledger::{Entry, Ledger, Lookup};
pub use row::{Fingerprint, Nonce, Row, State, fingerprint};
