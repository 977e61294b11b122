//! Decisions of the entry: which target gets a call, and whether a call is
//! sent again, hedged or preceded by a probe.
//!
//! Nothing here has a socket, a task or a clock. Time, randomness and
//! observations go in; an enum of what to do next comes out.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use route::{Budgets, Call, Choice, Past, Policy, Pool, Target};
//!
//! let now = Instant::now();
//! let mut pool = Pool::new(Policy::Bronzeport, Budgets::default());
//! pool.set_targets([Target { node: 1, rtt: Duration::from_micros(500), slots: 12, is_near: true }]);
//! let mut random = fastrand::Rng::with_seed(1);
//! let call = Call { may_wait: false, repeatable: true, kind: "read".into(), aim: Duration::from_secs(1) };
//! let choice = pool.choose(now, &mut random, &Past::default(), &call);
//! assert_eq!(choice, Choice::Send { node: 1, may_queue: true });
//! ```

mod budget;
mod estimate;
mod policy;
mod pool;
mod retry;
mod split;
mod subset;
mod work;

pub use budget::{Budget, Budgets, Shares};
pub use estimate::{Load, Target};
pub use policy::Policy;
pub use pool::{Call, Choice, Ending, Expected, Past, Pool};
pub use retry::{Failure, Retry, Situation, decide_retry};
pub use split::Splits;
pub use subset::{MAX_USED, pick_subset};
pub use work::{USUAL_PACE, Works, guess_work, pace_factor};

/// Number of a node: one daemon and the target beside it.
pub type Node = u64;

/// Number of an attempt, unique in one pool.
pub type Attempt = u64;
