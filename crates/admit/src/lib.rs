//! Admission control for the target beside a daemon: which requests run now,
//! which wait, and which are refused.
//!
//! Every request for a target passes through the admission controller of that
//! target's guard, so the number of requests in flight is known exactly. A
//! refused request is guaranteed not to have run.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use admit::{AdmissionController, Class, Decision, Request};
//!
//! let now = Instant::now();
//! let mut controller = AdmissionController::new(12);
//! let request = Request {
//!     ticket: 1,
//!     class: Class::Urgent,
//!     deadline: now + Duration::from_millis(250),
//!     soft_deadline: now + Duration::from_millis(250),
//!     organisation: None,
//!     rank: 0,
//!     nominal_time: None,
//!     may_queue: true,
//! };
//! assert_eq!(controller.arrive(now, request), Decision::Start);
//! ```

mod admission;
pub mod cold;
mod hold;
mod knee;
mod limit;
mod organisation;
mod pace;
mod queue;
pub mod rate;
mod registration;

pub use admission::{
    AdmissionController, Completion, Decision, Discipline, QueueAction, Refusal, Request,
};
pub use hold::{CrashId, Fingerprint, Hold, HoldTracker};
pub use limit::WARM_UP_STEP;
pub use organisation::{Organisation, OrganisationId};
pub use queue::Class;
pub use registration::{Announcement, Notice, NoticeEffect, Registration};

/// Identifies a request within one guard.
pub type Ticket = u64;

/// Identifies the daemon at which a request entered.
pub type EntryId = u64;
