//! Decisions of the guard: which requests its target runs now, which wait, and
//! which are refused.
//!
//! Every request of a target passes through its guard, so that the guard
//! knows the number in flight exactly. A refusal is a proof that the request
//! did not run.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use admit::{Class, Gate, Request, Verdict};
//!
//! let now = Instant::now();
//! let mut gate = Gate::new(12);
//! let request = Request {
//!     ticket: 1,
//!     class: Class::Urgent,
//!     deadline: now + Duration::from_millis(250),
//!     aim: now + Duration::from_millis(250),
//!     rank: 0,
//!     work: None,
//!     may_queue: true,
//! };
//! assert_eq!(gate.arrive(now, request), Verdict::Start);
//! ```

mod gate;
mod hold;
mod knee;
mod limit;
mod pace;
mod queue;
mod standing;

pub use gate::{Discipline, End, Gate, Next, Refusal, Request, Verdict};
pub use hold::{Crash, Fingerprint, Hold, Holds};
pub use limit::WARM_STEP;
pub use queue::Class;
pub use standing::{Announcement, Change, Notice, Standing};

/// Number of a request at one guard.
pub type Ticket = u64;
