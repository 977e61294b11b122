//! The messages as plain values.

use std::time::Duration;

use admit::Hold;
use bytes::Bytes;
use config::Change;
use member::{Kind, Member};
use route::{Load, Node};

pub use crate::bronzeport_capnp::{Outcome, Reason};

/// An HTTP header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name in lower case.
    pub name: Box<str>,
    /// Value as it was received.
    pub value: Box<[u8]>,
}

/// A call from an entry to a guard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Id of the request, the caller's or the entry's.
    pub id: Box<str>,
    /// Service that it is for.
    pub service: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path with its query.
    pub path: Box<str>,
    /// Headers for the target.
    pub headers: Vec<Header>,
    /// Body, at most [`crate::MAX_BODY_BYTES`].
    pub body: Bytes,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Calls above this one in the chain.
    pub depth: u8,
    /// Whether it may wait behind requests that may not.
    pub may_wait: bool,
    /// Whether it may wait in the guard's queue.
    pub may_queue: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Targets that crashed under it so far.
    pub crashes: u8,
    /// For a request that may not be repeated, the tag of its row as read on
    /// arrival; empty when there was no row.
    pub claim_tag: Box<str>,
    /// Whether the guard only looks for the outcome of an earlier copy.
    pub recall_only: bool,
    /// Hash of service, method, path and body.
    pub fingerprint: u64,
    /// Service of the host where the request began.
    pub caller: Box<str>,
    /// Name of the rule or path that it falls under; requests of one kind take
    /// about the same work.
    pub kind: Box<str>,
    /// Urgency; 0 goes before all others.
    pub rank: u8,
    /// Time left until its answer is not of full use any more.
    pub aim: Duration,
    /// Whether it goes to one target only and nothing is stored of it.
    pub once: bool,
    /// Node of the daemon where it entered; 0 when that one does not tell.
    pub entry: Node,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why there is no answer of a target.
    pub reason: Reason,
    /// HTTP status of the target's answer.
    pub status: u16,
    /// Headers of the target's answer.
    pub headers: Vec<Header>,
    /// Body of the target's answer.
    pub body: Bytes,
    /// The guard's load after the call.
    pub load: Load,
    /// When to come back; zero when nothing is known.
    pub retry_after: Duration,
    /// The guard's node.
    pub node: Node,
    /// Time that the target took.
    pub service: Duration,
}

impl Answer {
    /// An answer without a target's response.
    pub fn refusal(outcome: Outcome, reason: Reason, node: Node) -> Self {
        Self {
            outcome,
            reason,
            status: 0,
            headers: Vec::new(),
            body: Bytes::new(),
            load: Load::default(),
            retry_after: Duration::ZERO,
            node,
            service: Duration::ZERO,
        }
    }
}

/// All changes between two revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Revision that the changes lead to.
    pub revision: u64,
    /// The newest change of each service.
    pub changes: Vec<Change>,
}

/// A gossip datagram.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gossip {
    /// Its purpose.
    pub kind: Kind,
    /// Number that an acknowledgement repeats.
    pub sequence: u64,
    /// The sender, as it describes itself.
    pub sender: Option<Member>,
    /// Configuration in force at the sender.
    pub revision: u64,
    /// Node that a [`Kind::PingRequest`] or its acknowledgement is about.
    pub subject: Node,
    /// News of members.
    pub updates: Vec<Member>,
    /// News of crashes.
    pub holds: Vec<Hold>,
    /// Digest of the sender's member list.
    pub digest: u64,
    /// Load of the sender's target, if it has one.
    pub load: Option<Load>,
}

/// What one daemon asks another over TCP.
#[derive(Debug)]
pub enum Question {
    /// Run a request.
    Call(Box<Request>),
    /// Report the target's load.
    Load,
    /// Give all changes after a revision.
    Changes {
        /// The revision.
        after: u64,
    },
    /// Give the members of the buckets whose digests differ from these.
    Members {
        /// Digest of each bucket at the asker.
        digests: Vec<u64>,
    },
    /// Tell what was decided about a request.
    Explain {
        /// The request's id.
        id: Box<str>,
    },
}

/// The answer to a [`Question`], of the same kind.
#[derive(Debug)]
pub enum Reply {
    /// What became of the request.
    Call(Box<Answer>),
    /// The target's load.
    Load(Load),
    /// All changes after the revision.
    Changes(Changes),
    /// The members.
    Members(Vec<Member>),
    /// One line for each decision.
    Explain(Vec<Box<str>>),
}
