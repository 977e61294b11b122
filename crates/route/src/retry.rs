//! Whether a call is sent again after an attempt without a usable answer.

use std::time::Duration;

use crate::budget::Budget;

/// Maximum number of refusals after which a call is redirected to another target.
pub(crate) const MAX_REDIRECTS: usize = 3;
/// Additional redirects allowed when targets are leaving. A leaving target is not
/// tried again, so each of these refusals removes one candidate.
const MAX_LEAVING_REDIRECTS: usize = 3;
/// Maximum number of retries after failed attempts.
const MAX_RETRIES: u32 = 2;

/// Why an attempt returned no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The guard refused the request because its target is at capacity.
    Busy,
    /// The guard refused the request because its target is leaving.
    Leaving,
    /// The request never reached a guard, or the guard could not reach its target.
    Unreachable,
    /// The target refused the request to shed load.
    Shed,
    /// The request may have run, but there is no usable answer.
    MayHaveRun,
    /// The target crashed while the request ran.
    Crashed,
    /// Another target would not give a different result.
    Permanent,
}

/// State of a call that the retry decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext {
    /// Why the last attempt returned no usable answer.
    pub failure: Failure,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether any attempt so far may have run the request.
    pub may_have_run: bool,
    /// Number of refusals so far, including the last one.
    pub redirects: usize,
    /// Number of failed attempts so far, including the last one.
    pub retries: u32,
    /// Number of targets that have crashed while they ran this request.
    pub crashes: u32,
    /// Number of further targets that the call may be sent to.
    pub attempts_left: u32,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Minimum time in which another attempt can be answered.
    pub min_attempt_time: Duration,
}

/// What to do with the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the call to another target.
    AnotherTarget,
    /// Answer the caller.
    GiveUp,
}

/// Decides whether a call is sent again. A retry after a failed attempt takes a
/// token from `budget`. A redirect after a refusal by a working guard takes none.
pub fn decide_retry(context: RetryContext, budget: &mut Budget) -> RetryDecision {
    let is_allowed = match context.failure {
        Failure::Busy => context.redirects <= MAX_REDIRECTS,
        Failure::Leaving => context.redirects <= MAX_REDIRECTS + MAX_LEAVING_REDIRECTS,
        Failure::Unreachable | Failure::Shed => context.retries <= MAX_RETRIES,
        Failure::MayHaveRun => context.repeatable && context.retries <= MAX_RETRIES,
        Failure::Crashed => context.repeatable && context.crashes < 2,
        Failure::Permanent => false,
    };
    let is_safe = context.repeatable || !context.may_have_run;
    let is_in_time = context.remaining > context.min_attempt_time;
    if !(is_allowed && is_safe && is_in_time && context.attempts_left > 0) {
        return RetryDecision::GiveUp;
    }
    let is_redirect = matches!(context.failure, Failure::Busy | Failure::Leaving);
    if is_redirect || budget.try_withdraw() {
        RetryDecision::AnotherTarget
    } else {
        RetryDecision::GiveUp
    }
}
