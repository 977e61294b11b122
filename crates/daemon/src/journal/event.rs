//! Events of requests, as they are written to the log and shown in explanations.

use std::time::Duration;

use route::Node;
use serde::Serialize;
use wire::{Outcome, Reason};

/// Start of the text of [`Event::Arrived`], which is recorded only at the request's entry.
pub(crate) const ARRIVED: &str = "arrived";

/// An entry's estimate of a target at the time when the entry chose it.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct TargetEstimate {
    /// Service time at the target in percent of the nominal time; 0 if unknown.
    pub(crate) pace: u16,
    /// Age of the target's load report; `None` if there was none.
    pub(crate) report_age_ms: Option<u64>,
    /// Expected number of requests at the target.
    pub(crate) occupancy: f64,
    /// Expected time until the answer.
    pub(crate) expected_ms: f64,
}

/// State of the guard at the time of a decision.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct GuardState {
    pub(crate) in_flight: u16,
    pub(crate) queued: u16,
    pub(crate) slots: u16,
    /// Service time at the target in percent of the nominal time; 0 if unknown.
    pub(crate) pace: u16,
    /// Age of the target's load report; 0 if there was none.
    pub(crate) report_age_ms: u64,
    /// Requests per second that the target accepts; `None` if it accepts any number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) rate_limit: Option<f64>,
}

/// Why a hedge was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum HedgeCause {
    /// The answer is among the slowest of its kind.
    Late,
    /// The answer takes three times as long as that.
    VeryLate,
}

/// An event of a request.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub(crate) enum Event {
    /// The request arrived from a caller.
    Arrived {
        service: Box<str>,
        kind: Box<str>,
        depth: u8,
        revision: u64,
        deadline_ms: u64,
        /// Number of earlier requests on the same connection that were not answered yet.
        ahead: u64,
        /// Name of the organisation whose key the caller presented.
        #[serde(skip_serializing_if = "Option::is_none")]
        organisation: Option<Box<str>>,
    },
    /// The request was refused because it has no key that is in force.
    UnknownKey {
        /// Name of the path rule.
        kind: Box<str>,
    },
    /// The request is beyond the quota of its organisation and was refused.
    OverQuota {
        organisation: Box<str>,
        #[serde(serialize_with = "write_millis")]
        retry_after_ms: Duration,
    },
    /// The request was sent to a guard.
    Sent {
        #[serde(serialize_with = "write_hex")]
        to: Node,
        may_queue: bool,
        /// Why the request left its data centre; `None` if it stayed or no other is far.
        #[serde(skip_serializing_if = "Option::is_none")]
        left_data_centre: Option<&'static str>,
        #[serde(flatten)]
        estimate: TargetEstimate,
    },
    /// A hedge was sent to a second guard.
    Hedged {
        #[serde(serialize_with = "write_hex")]
        to: Node,
        cause: HedgeCause,
        /// Time since the first attempt was sent.
        #[serde(serialize_with = "write_millis")]
        after_ms: Duration,
        #[serde(flatten)]
        estimate: TargetEstimate,
    },
    /// One of two concurrent attempts was answered, and the other one was cancelled or had
    /// failed.
    HedgeEnded {
        hedge_won: bool,
        #[serde(serialize_with = "write_hex")]
        loser: Node,
        /// Time from sending the other attempt until now.
        #[serde(serialize_with = "write_millis")]
        wasted_ms: Duration,
    },
    /// An attempt returned no answer from a target.
    Failed {
        #[serde(serialize_with = "write_hex")]
        from: Node,
        #[serde(serialize_with = "write_reason")]
        reason: Reason,
        #[serde(serialize_with = "write_outcome")]
        outcome: Outcome,
    },
    /// A guard returned its target's answer.
    Answered {
        #[serde(serialize_with = "write_hex")]
        from: Node,
        status: u16,
        #[serde(serialize_with = "write_millis")]
        service_ms: Duration,
    },
    /// The caller was sent the final answer.
    Ended {
        #[serde(serialize_with = "write_outcome")]
        outcome: Outcome,
        #[serde(serialize_with = "write_reason")]
        reason: Reason,
        status: u16,
        #[serde(serialize_with = "write_millis")]
        after_ms: Duration,
        /// Whether the answer exceeded the target latency.
        is_late: bool,
    },
    /// The caller disconnected before the answer was available.
    Left {
        #[serde(serialize_with = "write_millis")]
        after_ms: Duration,
    },
    /// This daemon's guard started the request immediately.
    Admitted {
        #[serde(flatten)]
        guard_state: GuardState,
    },
    /// This daemon's guard queued the request.
    Queued {
        #[serde(flatten)]
        guard_state: GuardState,
    },
    /// This daemon's guard refused the request.
    Refused {
        #[serde(serialize_with = "write_reason")]
        reason: Reason,
        #[serde(serialize_with = "write_millis")]
        retry_after_ms: Duration,
        #[serde(flatten)]
        guard_state: GuardState,
    },
    /// This daemon's guard claimed the request.
    Claimed,
    /// This daemon's guard did not get the claim for the request.
    ClaimLost,
    /// The request is being sent to this daemon's target.
    Started,
    /// The run of the request at this daemon's target has ended.
    Ran {
        #[serde(serialize_with = "write_outcome")]
        outcome: Outcome,
        #[serde(serialize_with = "write_reason")]
        reason: Reason,
        status: u16,
        #[serde(serialize_with = "write_millis")]
        service_ms: Duration,
        /// Whether the answer exceeded the target latency.
        is_late: bool,
    },
    /// The caller or the entry cancelled the request.
    Cancelled,
}

/// State of a request, which decides whether its log lines are written.
pub(super) enum RequestState {
    /// Further events are expected.
    Open,
    /// The request has ended at this daemon without an error and in time.
    EndedWell,
    /// The request has ended at this daemon with an error or too late.
    EndedBadly,
}

impl Event {
    /// Returns the node that the request was sent to, which may have recorded further events.
    pub(crate) fn sent_to(&self) -> Option<Node> {
        match self {
            Self::Sent { to, .. } | Self::Hedged { to, .. } => Some(*to),
            _ => None,
        }
    }

    /// Whether the event is the result of the request at this daemon's guard or for its caller.
    pub(super) fn is_result(&self) -> bool {
        !matches!(self.request_state(), RequestState::Open)
    }

    /// Returns the state of the request after this event.
    pub(super) fn request_state(&self) -> RequestState {
        match self {
            Self::Ended { outcome: Outcome::Ran, status, is_late: false, .. } if *status < 500 => {
                RequestState::EndedWell
            }
            Self::UnknownKey { .. }
            | Self::Ended { .. }
            | Self::Refused { .. }
            | Self::Left { .. } => RequestState::EndedBadly,
            Self::Ran { outcome: Outcome::Ran, status, is_late: false, .. } if *status < 500 => {
                RequestState::EndedWell
            }
            Self::Ran { .. } | Self::Cancelled => RequestState::EndedBadly,
            _ => RequestState::Open,
        }
    }

    /// Returns a description of the event for operators.
    pub(super) fn text(&self) -> String {
        match self {
            Self::Arrived { service, depth, organisation, .. } => {
                let organisation = organisation.iter().map(|name| format!(", from {name}"));
                let organisation: String = organisation.collect();
                format!("{ARRIVED} for {service} at depth {depth}{organisation}")
            }
            Self::OverQuota { organisation, retry_after_ms } => {
                format!("beyond the quota of {organisation}, retry after {retry_after_ms:.1?}")
            }
            Self::UnknownKey { kind } => format!("refused on {kind}: no key that is in force"),
            Self::Sent { to, may_queue, left_data_centre, estimate } => {
                let queue = if *may_queue { ", may queue" } else { "" };
                let left = match left_data_centre {
                    Some(reason) => format!(", left its data centre ({reason})"),
                    None => String::new(),
                };
                format!("sent to {to:016x}{queue}{left}, {}", estimate.text())
            }
            Self::Hedged { to, cause, after_ms, estimate } => {
                let cause = match cause {
                    HedgeCause::Late => "late",
                    HedgeCause::VeryLate => "very late",
                };
                format!(
                    "hedged at {to:016x} because the answer was {cause} after {after_ms:.1?}, {}",
                    estimate.text()
                )
            }
            Self::HedgeEnded { hedge_won, loser, wasted_ms } => {
                let winner = if *hedge_won { "hedge" } else { "first attempt" };
                format!("the {winner} won, {loser:016x} ended after {wasted_ms:.1?}")
            }
            Self::Failed { from, reason, outcome } => {
                format!(
                    "no answer from {from:016x}: {} ({})",
                    reason_text(*reason),
                    outcome_text(*outcome)
                )
            }
            Self::Answered { from, status, service_ms } => {
                format!("answered by {from:016x} with {status} after {service_ms:.1?}")
            }
            Self::Ended { outcome, reason, status, .. } => {
                format!(
                    "told the caller {status} {} ({})",
                    outcome_text(*outcome),
                    reason_text(*reason)
                )
            }
            Self::Left { after_ms } => format!("the caller left after {after_ms:.1?}"),
            Self::Admitted { guard_state } => format!("admitted, {}", guard_state.text()),
            Self::Queued { guard_state } => format!("queued, {}", guard_state.text()),
            Self::Refused { reason, guard_state, .. } => {
                format!("refused: {}, {}", reason_text(*reason), guard_state.text())
            }
            Self::Claimed => "claimed".into(),
            Self::ClaimLost => "another copy holds the claim".into(),
            Self::Started => "started at the target".into(),
            Self::Ran { outcome, reason, status, .. } => {
                format!(
                    "the target ended with {status} {} ({})",
                    outcome_text(*outcome),
                    reason_text(*reason)
                )
            }
            Self::Cancelled => "cancelled".into(),
        }
    }
}

impl TargetEstimate {
    fn text(&self) -> String {
        format!(
            "at pace {} as told {} ms ago, {:.1} requests there, {:.1} ms expected",
            self.pace,
            self.report_age_ms.map_or("?".into(), |age| age.to_string()),
            self.occupancy,
            self.expected_ms
        )
    }
}

impl GuardState {
    fn text(&self) -> String {
        let rate = match self.rate_limit {
            Some(limit) => format!(", at most {limit} a second"),
            None => String::new(),
        };
        format!(
            "{} of {} running, {} waiting, pace {} as told {} ms ago{rate}",
            self.in_flight, self.slots, self.queued, self.pace, self.report_age_ms
        )
    }
}

fn write_hex<S: serde::Serializer>(node: &Node, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(&format_args!("{node:016x}"))
}

fn write_reason<S: serde::Serializer>(reason: &Reason, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(reason_text(*reason))
}

fn write_outcome<S: serde::Serializer>(outcome: &Outcome, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(outcome_text(*outcome))
}

fn write_millis<S: serde::Serializer>(time: &Duration, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_f64((time.as_secs_f64() * 1e4).round() / 10.0)
}

/// Returns the name of an outcome in headers, log lines and metrics.
pub(crate) fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ran => "ran",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    }
}

/// Returns the name of a reason in headers, log lines and metrics.
pub(crate) fn reason_text(reason: Reason) -> &'static str {
    match reason {
        Reason::None => "none",
        Reason::Busy => "busy",
        Reason::Late => "late",
        Reason::Leaving => "leaving",
        Reason::Held => "held",
        Reason::NoTarget => "no-target",
        Reason::Unreachable => "unreachable",
        Reason::Crashed => "crashed",
        Reason::Cut => "cut",
        Reason::Expired => "expired",
        Reason::StoreDown => "store-down",
        Reason::Conflict => "conflict",
        Reason::AlreadyRan => "already-ran",
        Reason::InProgress => "in-progress",
        Reason::RefusedBefore => "refused-before",
        Reason::TooDeep => "too-deep",
        Reason::TooLarge => "too-large",
        Reason::UnknownService => "unknown-service",
        Reason::UnknownMethod => "unknown-method",
        Reason::TargetShed => "target-shed",
        Reason::TargetFailing => "target-failing",
        Reason::BadRequest => "bad-request",
        Reason::UnknownPath => "unknown-path",
        Reason::NotReady => "not-ready",
        Reason::Slow => "slow",
        Reason::StoreRestored => "store-restored",
        Reason::UnknownKey => "unknown-key",
        Reason::OverQuota => "over-quota",
        Reason::Evacuated => "evacuated",
    }
}
