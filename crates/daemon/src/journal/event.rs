//! Decisions about requests, as log lines and explanations tell them.

use std::time::Duration;

use route::Node;
use serde::Serialize;
use wire::{Outcome, Reason};

/// How the line of a call's arrival at its entry starts.
pub(crate) const ARRIVED: &str = "arrived";

/// What an entry believed of a target when it chose it.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Belief {
    /// Time that work takes there, in percent of the usual; 0 if not known.
    pub(crate) pace: u16,
    /// Age of the report that told it.
    pub(crate) report_age_ms: Option<u64>,
    /// Requests expected there.
    pub(crate) occupancy: f64,
    /// Time expected until the answer.
    pub(crate) expected_ms: f64,
}

/// The state of a guard when it decided.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Inside {
    pub(crate) in_flight: u16,
    pub(crate) queued: u16,
    pub(crate) slots: u16,
    /// Time that work takes at the target, in percent of the usual; 0 if not known.
    pub(crate) pace: u16,
    /// Age of the target's report that told it.
    pub(crate) report_age_ms: u64,
}

/// A decision about a request.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub(crate) enum Event {
    /// It arrived from a caller.
    Arrived {
        service: Box<str>,
        kind: Box<str>,
        depth: u8,
        revision: u64,
        deadline_ms: u64,
        /// Requests before it on its connection that had no answer yet.
        ahead: u64,
    },
    /// It was sent to a guard.
    Sent {
        #[serde(serialize_with = "write_hex")]
        to: Node,
        may_queue: bool,
        #[serde(flatten)]
        belief: Belief,
    },
    /// It was sent to a second guard beside the first.
    Hedged {
        #[serde(serialize_with = "write_hex")]
        to: Node,
        #[serde(flatten)]
        belief: Belief,
    },
    /// A guard or target did not answer it.
    Failed {
        #[serde(serialize_with = "write_hex")]
        from: Node,
        #[serde(serialize_with = "write_reason")]
        reason: Reason,
        #[serde(serialize_with = "write_outcome")]
        outcome: Outcome,
    },
    /// A guard brought its target's answer.
    Answered {
        #[serde(serialize_with = "write_hex")]
        from: Node,
        status: u16,
        #[serde(serialize_with = "write_millis")]
        service_ms: Duration,
    },
    /// The caller got its final answer.
    Ended {
        #[serde(serialize_with = "write_outcome")]
        outcome: Outcome,
        #[serde(serialize_with = "write_reason")]
        reason: Reason,
        status: u16,
        #[serde(serialize_with = "write_millis")]
        after_ms: Duration,
        /// Whether the answer came too late to be of full use.
        is_late: bool,
    },
    /// The caller went before it had its answer.
    Left {
        #[serde(serialize_with = "write_millis")]
        after_ms: Duration,
    },
    /// The guard here let it run at once.
    Admitted {
        #[serde(flatten)]
        inside: Inside,
    },
    /// The guard here let it wait.
    Queued {
        #[serde(flatten)]
        inside: Inside,
    },
    /// The guard here refused it.
    Refused {
        #[serde(serialize_with = "write_reason")]
        reason: Reason,
        #[serde(serialize_with = "write_millis")]
        retry_after_ms: Duration,
        #[serde(flatten)]
        inside: Inside,
    },
    /// The guard here claimed it.
    Claimed,
    /// Another copy holds the claim.
    ClaimLost,
    /// The first byte goes to the target here.
    Started,
    /// The target here is done with it.
    Ran {
        #[serde(serialize_with = "write_outcome")]
        outcome: Outcome,
        #[serde(serialize_with = "write_reason")]
        reason: Reason,
        status: u16,
        #[serde(serialize_with = "write_millis")]
        service_ms: Duration,
        /// Whether the answer comes too late to be of full use.
        is_late: bool,
    },
    /// Its caller or entry has gone.
    Cancelled,
}

/// What an event means for the lines of its request.
pub(super) enum Weight {
    /// More is to come.
    Under,
    /// The request has ended here as it should.
    Usual,
    /// The request has ended here badly.
    Bad,
}

impl Event {
    /// The node that the decision names, if another node may know more.
    pub(crate) fn other_node(&self) -> Option<Node> {
        match self {
            Self::Sent { to, .. } | Self::Hedged { to, .. } => Some(*to),
            _ => None,
        }
    }

    /// Whether it tells how the request went at the target here or for its caller.
    pub(super) fn is_result(&self) -> bool {
        !matches!(self.weight(), Weight::Under)
    }

    pub(super) fn weight(&self) -> Weight {
        match self {
            Self::Ended { outcome: Outcome::Ran, status, is_late: false, .. } if *status < 500 => {
                Weight::Usual
            }
            Self::Ended { .. } | Self::Refused { .. } | Self::Left { .. } => Weight::Bad,
            Self::Ran { outcome: Outcome::Ran, status, is_late: false, .. } if *status < 500 => {
                Weight::Usual
            }
            Self::Ran { .. } | Self::Cancelled => Weight::Bad,
            _ => Weight::Under,
        }
    }

    pub(super) fn text(&self) -> String {
        match self {
            Self::Arrived { service, depth, .. } => {
                format!("{ARRIVED} for {service} at depth {depth}")
            }
            Self::Sent { to, may_queue: true, belief } => {
                format!("sent to {to:016x}, may queue, {}", belief.text())
            }
            Self::Sent { to, may_queue: false, belief } => {
                format!("sent to {to:016x}, {}", belief.text())
            }
            Self::Hedged { to, belief } => format!("hedged at {to:016x}, {}", belief.text()),
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
            Self::Admitted { inside } => format!("admitted, {}", inside.text()),
            Self::Queued { inside } => format!("queued, {}", inside.text()),
            Self::Refused { reason, inside, .. } => {
                format!("refused: {}, {}", reason_text(*reason), inside.text())
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

impl Belief {
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

impl Inside {
    fn text(&self) -> String {
        format!(
            "{} of {} running, {} waiting, pace {} as told {} ms ago",
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

/// The outcome as callers see it.
pub(crate) fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ran => "ran",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    }
}

/// The reason as callers see it.
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
    }
}
