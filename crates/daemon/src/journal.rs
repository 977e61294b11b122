//! The service that remembers what was decided about the latest requests, and
//! writes the lines of those that are worth it.
//!
//! The lines of a request are held until its end is known here. Those of a
//! request that went badly are all written; of the others, those whose ids fall
//! into the sample, which is the same on all daemons.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kernel::{Inbox, Kernel, Reply};
use route::Node;
use serde::Serialize;
use wire::{Outcome, Reason};

use crate::{logs, names};

/// Most requests remembered whose end is known, about 600 bytes each.
const MAX_ENDED: usize = 2_000;
/// Most requests remembered whose end is not known.
const MAX_OPEN: usize = 4_000;
/// One of this many ids has its lines written whatever its end.
const SAMPLE: u64 = 32;
/// Lines about requests that are written in a second, and in a burst.
const LINES_PER_SECOND: f64 = 60.0;
const LINES_BURST: f64 = 240.0;
/// Time after which dropped lines are reported.
const REPORT_EVERY: Duration = Duration::from_secs(10);

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
    Arrived { service: Box<str>, kind: Box<str>, depth: u8, revision: u64, deadline_ms: u64 },
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
    at: SystemTime,
    pub(crate) event: Event,
    is_written: bool,
}

/// Starts the service.
pub(crate) fn start(kernel: &Kernel, node: Node) {
    let inbox = kernel.register(names::JOURNAL);
    let now = kernel.clock().now();
    let task = Task {
        kernel: kernel.clone(),
        node,
        open: HashMap::new(),
        ended: VecDeque::new(),
        tokens: LINES_BURST,
        filled: now,
        dropped: 0,
        reported: now,
    };
    kernel.start(task.run(inbox));
}

struct Task {
    kernel: Kernel,
    node: Node,
    open: HashMap<Box<str>, Vec<Entry>>,
    ended: VecDeque<(Box<str>, Vec<Entry>)>,
    tokens: f64,
    filled: Instant,
    dropped: u64,
    reported: Instant,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Ask>) {
        while let Some(ask) = inbox.receive().await {
            match ask {
                Ask::Note { id, event } => self.note(id, event),
                Ask::Explain { id, reply } => {
                    reply.send(self.explain(&id));
                }
            }
        }
    }

    fn note(&mut self, id: Box<str>, event: Event) {
        let weight = event.weight();
        let entries = self.open.entry(id.clone()).or_default();
        entries.push(Entry { at: SystemTime::now(), event, is_written: false });
        match weight {
            Weight::Under => self.forget_open(),
            Weight::Usual => self.end(id, false),
            Weight::Bad => self.end(id, true),
        }
    }

    /// A request whose end never comes here is given up when there are many.
    fn forget_open(&mut self) {
        if self.open.len() <= MAX_OPEN {
            return;
        }
        let oldest = self.open.iter().min_by_key(|(_, entries)| entries.first().map(|e| e.at));
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.end(id, false);
        }
    }

    fn end(&mut self, id: Box<str>, is_bad: bool) {
        let mut entries = self.open.remove(&id).unwrap_or_default();
        if is_bad || is_sampled(&id) {
            for entry in entries.iter_mut().filter(|entry| !entry.is_written) {
                entry.is_written = true;
                self.write(&id, entry);
            }
        }
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back((id, entries));
    }

    fn write(&mut self, id: &str, entry: &Entry) {
        let now = self.kernel.clock().now();
        let earned = (now - self.filled).as_secs_f64() * LINES_PER_SECOND;
        self.tokens = (self.tokens + earned).min(LINES_BURST);
        self.filled = now;
        if self.tokens < 1.0 {
            self.dropped += 1;
            metrics::counter!("bronzeport_log_lines_dropped_total", "cause" => "rate").increment(1);
        } else {
            self.tokens -= 1.0;
            logs::write_request_line(self.node, id, millis_of(entry.at), &entry.event);
        }
        if self.dropped > 0 && now - self.reported > REPORT_EVERY {
            log::warn!("{} lines about requests were not written: too many a second", self.dropped);
            self.dropped = 0;
            self.reported = now;
        }
    }

    fn explain(&self, id: &str) -> Vec<Entry> {
        let ended = self.ended.iter().filter(|(known, _)| **known == *id);
        let ended = ended.flat_map(|(_, entries)| entries);
        ended.chain(self.open.get(id).into_iter().flatten()).cloned().collect()
    }
}

/// Whether an id's lines are written whatever its end; the same on all daemons.
fn is_sampled(id: &str) -> bool {
    once::fingerprint("", "", id, b"").is_multiple_of(SAMPLE)
}

fn millis_of(at: SystemTime) -> u64 {
    at.duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// What an event means for the lines of its request.
enum Weight {
    /// More is to come.
    Under,
    /// The request has ended here as it should.
    Usual,
    /// The request has ended here badly.
    Bad,
}

impl Entry {
    /// One line: milliseconds since 1970, the node that decided, the decision.
    pub(crate) fn line(&self, node: Node) -> Box<str> {
        format!("{} {node:016x} {}", millis_of(self.at), self.event.text()).into()
    }
}

impl Event {
    /// The node that the decision names, if another node may know more.
    pub(crate) fn other_node(&self) -> Option<Node> {
        match self {
            Self::Sent { to, .. } | Self::Hedged { to, .. } => Some(*to),
            _ => None,
        }
    }

    fn weight(&self) -> Weight {
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

    fn text(&self) -> String {
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
