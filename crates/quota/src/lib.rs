//! Decisions about quotas: limits on the requests of an organisation, summed over all hosts of
//! a fleet.
//!
//! Tokens are moved between hosts and never copied. Each host accrues its share of every quota
//! ([`Accrual`]) and transfers it to the coordinator of its group ([`rank_candidates`]). The
//! [`Coordinator`] keeps a bucket for each organisation, grants tokens to entries and borrows
//! from other coordinators. An entry keeps granted tokens for a short time ([`Entry`]).
//!
//! This crate opens no sockets, starts no tasks and reads no clock. Callers pass in the time and
//! carry out what the returned values say.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use config::{Organisation, Quota};
//! use quota::{Admission, Entry};
//!
//! let now = Instant::now();
//! let mut entry = Entry::default();
//! let quota = Some(Quota { per_second: 5.0, burst: 5.0 });
//! entry.set_limits(&[Organisation { name: "shop".into(), priority: 0, quota }]);
//! assert_eq!(entry.admit(now, "other", 1, Duration::from_secs(1)), Admission::Granted);
//! assert_eq!(entry.admit(now, "shop", 2, Duration::from_secs(1)), Admission::Pending);
//! assert_eq!(entry.wants(now).len(), 1);
//! ```

mod accrual;
mod bucket;
mod coordinator;
mod entry;
mod fleet;
mod group;
mod host;
mod recent;

pub use accrual::{Accrual, MAX_ACCRUAL, TRANSFER_INTERVAL};
pub use coordinator::{BORROW_TIMEOUT, Coordinator, Step};
pub use entry::{Admission, Entry, Ticket, Verdict};
pub use fleet::{Fleet, Presence};
pub use group::{MAX_CANDIDATES, MAX_GROUP, list_coordinators, rank_candidates};
pub use host::{Action, Host, Member, REPLY_TIMEOUT};

use std::time::Duration;

/// Number of tokens of one organisation that are asked for; one token admits one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Want {
    /// Name of the organisation.
    pub organisation: Box<str>,
    /// Number of tokens.
    pub tokens: f64,
}

/// Tokens of one organisation that are granted or lent.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Name of the organisation.
    pub organisation: Box<str>,
    /// Number of tokens, at most the number asked for.
    pub tokens: f64,
    /// Time after which there are tokens for what was not granted; zero if all was granted.
    pub retry_after: Duration,
}
