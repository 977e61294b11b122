//! Routing decisions of the entry daemon: which target receives a call, and
//! whether the call is retried, hedged or preceded by a load probe.
//!
//! This crate opens no sockets, starts no tasks and reads no clock. Callers pass
//! in the time, a random generator and observations, and receive an enum that
//! says what to do next.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use route::{AttemptHistory, Budgets, Call, Choice, Policy, Pool, Target};
//!
//! let now = Instant::now();
//! let mut pool = Pool::new(Policy::Bronzeport, Budgets::default());
//! let rtt = Duration::from_micros(500);
//! pool.set_targets([Target { node: 1, rtt, slots: 12, in_local_data_centre: true }]);
//! let mut random = fastrand::Rng::with_seed(1);
//! let target_latency = Duration::from_secs(1);
//! let call = Call { may_wait: false, repeatable: true, kind: "read".into(), target_latency };
//! let choice = pool.choose(now, &mut random, &AttemptHistory::default(), &call);
//! assert_eq!(choice, Choice::Send { node: 1, may_queue: true });
//! ```

mod budget;
mod estimate;
mod hedge;
mod locality;
mod policy;
mod pool;
mod request_stats;
mod retry;
mod split;
mod subset;

pub use budget::{Budget, BudgetShares, Budgets};
pub use estimate::{Load, Target};
pub use hedge::{HedgeDecision, HedgeLimit, HedgeRefusal};
pub use locality::{DataCentre, Departure};
pub use policy::Policy;
pub use pool::{AttemptHistory, AttemptResult, Call, Choice, Pool, Prediction};
pub use request_stats::{NOMINAL_PACE, RequestStats, default_nominal_time, pace_factor};
pub use retry::{Failure, RetryContext, RetryDecision, decide_retry};
pub use split::TrafficSplits;
pub use subset::{MAX_SUBSET, pick_subset};

/// Identifier of a node, which is one daemon and the target beside it.
pub type Node = u64;

/// Identifier of an attempt, unique within one pool.
pub type AttemptId = u64;
