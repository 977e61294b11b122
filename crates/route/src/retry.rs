//! Whether a call is sent again after an attempt that brought no answer.

use std::time::Duration;

use crate::budget::Budget;

/// Most refusals after which a call is sent elsewhere.
pub(crate) const MAX_REDIRECTS: usize = 3;
/// Further refusals allowed when targets leave: each tells that its target is
/// not to be tried again.
const MAX_LEAVING: usize = 3;
/// Most attempts after one that failed.
const MAX_RETRIES: u32 = 2;

/// Why an attempt brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The guard refused it because other requests fill its target.
    Busy,
    /// The guard refused it because its target is leaving.
    Leaving,
    /// It never reached a guard, or the guard could not reach its target.
    Unreachable,
    /// The target refused it and asked for less load.
    Shed,
    /// It may have run.
    Lost,
    /// The target died while it ran.
    Crashed,
    /// Sending it elsewhere would change nothing.
    Final,
}

/// What has happened to a call so far.
#[derive(Debug, Clone, Copy)]
pub struct Situation {
    /// Why the last attempt brought no answer.
    pub failure: Failure,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Refusals so far, this one included.
    pub redirects: usize,
    /// Failed attempts so far, this one included.
    pub retries: u32,
    /// Targets that crashed under the request so far.
    pub crashes: u32,
    /// Further targets that it may be sent to.
    pub attempts_left: u32,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Least time in which an answer can be expected.
    pub needed: Duration,
}

/// What to do with the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Send it to another target.
    Elsewhere,
    /// Answer the caller.
    GiveUp,
}

/// Decides whether a call is sent again. A token is taken from `budget` when
/// the attempt failed; a refusal by a working guard costs none.
pub fn decide_retry(situation: Situation, budget: &mut Budget) -> Retry {
    let is_allowed = match situation.failure {
        Failure::Busy => situation.redirects <= MAX_REDIRECTS,
        Failure::Leaving => situation.redirects <= MAX_REDIRECTS + MAX_LEAVING,
        Failure::Unreachable | Failure::Shed => situation.retries <= MAX_RETRIES,
        Failure::Lost => situation.repeatable && situation.retries <= MAX_RETRIES,
        Failure::Crashed => situation.repeatable && situation.crashes < 2,
        Failure::Final => false,
    };
    let is_safe = situation.repeatable || !situation.may_have_run;
    let is_in_time = situation.remaining > situation.needed;
    if !(is_allowed && is_safe && is_in_time && situation.attempts_left > 0) {
        return Retry::GiveUp;
    }
    let is_free = matches!(situation.failure, Failure::Busy | Failure::Leaving);
    if is_free || budget.spend() { Retry::Elsewhere } else { Retry::GiveUp }
}
