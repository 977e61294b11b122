//! The service that remembers what was decided about the latest requests.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use kernel::{Inbox, Kernel, Reply};
use route::Node;
use wire::{Outcome, Reason};

use crate::names;

/// Most entries kept, about 100 bytes each.
const MAX_ENTRIES: usize = 20_000;

/// How the line of a call's arrival at its entry starts.
pub(crate) const ARRIVED: &str = "arrived";

/// A decision about a request.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// It arrived from a caller.
    Arrived { service: Box<str>, depth: u8 },
    /// It was sent to a guard.
    Sent { node: Node, may_queue: bool },
    /// It was sent to a second guard beside the first.
    Hedged { node: Node },
    /// A guard or target did not answer it.
    Failed { node: Node, reason: Reason, outcome: Outcome },
    /// A guard brought its target's answer.
    Answered { node: Node, status: u16, service: Duration },
    /// The caller got its final answer.
    Ended { outcome: Outcome, reason: Reason, status: u16 },
    /// The guard here let it run at once.
    Admitted,
    /// The guard here let it wait.
    Queued,
    /// The guard here refused it.
    Refused { reason: Reason },
    /// The guard here claimed it.
    Claimed,
    /// Another copy holds the claim.
    ClaimLost,
    /// The first byte goes to the target here.
    Started,
    /// The target here is done with it.
    Ran { outcome: Outcome, reason: Reason, status: u16 },
    /// Its caller or entry has gone.
    Cancelled,
}

/// What the service is told and asked.
#[derive(Debug)]
pub(crate) enum Ask {
    /// Remember a decision.
    Note { id: Box<str>, event: Event },
    /// Tell what is known of a request.
    Explain { id: Box<str>, reply: Reply<Vec<Entry>> },
}

/// A remembered decision.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    id: Box<str>,
    at: SystemTime,
    pub(crate) event: Event,
}

/// Starts the service.
pub(crate) fn start(kernel: &Kernel) {
    let inbox = kernel.register(names::JOURNAL);
    kernel.start(run(inbox));
}

async fn run(inbox: Inbox<Ask>) {
    let mut entries: VecDeque<Entry> = VecDeque::new();
    while let Some(ask) = inbox.receive().await {
        match ask {
            Ask::Note { id, event } => {
                if entries.len() == MAX_ENTRIES {
                    entries.pop_front();
                }
                let at = SystemTime::now();
                entries.push_back(Entry { id, at, event });
            }
            Ask::Explain { id, reply } => {
                let found = entries.iter().filter(|entry| entry.id == id).cloned();
                reply.send(found.collect());
            }
        }
    }
}

impl Entry {
    /// One line: milliseconds since 1970, the node that decided, the decision.
    pub(crate) fn line(&self, node: Node) -> Box<str> {
        let millis = self.at.duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        format!("{millis} {node:016x} {}", self.event.text()).into()
    }
}

impl Event {
    /// The node that the decision names, if another node may know more.
    pub(crate) fn other_node(&self) -> Option<Node> {
        match self {
            Self::Sent { node, .. } | Self::Hedged { node } => Some(*node),
            _ => None,
        }
    }

    fn text(&self) -> String {
        match self {
            Self::Arrived { service, depth } => format!("{ARRIVED} for {service} at depth {depth}"),
            Self::Sent { node, may_queue: true } => format!("sent to {node:016x}, may queue"),
            Self::Sent { node, may_queue: false } => format!("sent to {node:016x}"),
            Self::Hedged { node } => format!("hedged at {node:016x}"),
            Self::Failed { node, reason, outcome } => {
                format!(
                    "no answer from {node:016x}: {} ({})",
                    reason_text(*reason),
                    outcome_text(*outcome)
                )
            }
            Self::Answered { node, status, service } => {
                format!("answered by {node:016x} with {status} after {service:.1?}")
            }
            Self::Ended { outcome, reason, status } => {
                format!(
                    "told the caller {status} {} ({})",
                    outcome_text(*outcome),
                    reason_text(*reason)
                )
            }
            Self::Admitted => "admitted".into(),
            Self::Queued => "queued".into(),
            Self::Refused { reason } => format!("refused: {}", reason_text(*reason)),
            Self::Claimed => "claimed".into(),
            Self::ClaimLost => "another copy holds the claim".into(),
            Self::Started => "started at the target".into(),
            Self::Ran { outcome, reason, status } => {
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
