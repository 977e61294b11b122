//! Requests that the guard is processing.

use std::rc::Rc;
use std::time::Instant;

use kernel::Reply;
use once::{Row, State};
use store::Tag;
use wire::{Answer, Request};

/// A request that the guard is processing.
pub(super) struct Job {
    pub(super) request: Rc<Request>,
    pub(super) deadline: Instant,
    /// Time after which the answer has lost some of its value.
    pub(super) soft_deadline: Instant,
    /// Where the answer goes; `None` once it has been sent or the entry has cancelled.
    pub(super) reply: Option<Reply<Answer>>,
    pub(super) stage: Stage,
    /// Tag of the claimed row; `None` if the request holds no claim.
    pub(super) claim_tag: Option<Tag>,
    /// Distinguishes the claim of this copy from the claims of other copies.
    pub(super) nonce: u64,
    /// Pace of the target when the request was sent to it.
    pub(super) pace_at_start: u16,
    /// Requests running at the target at that time, this one included.
    pub(super) in_flight_at_start: usize,
    /// Instance id of the target process that the request was sent to; empty before.
    pub(super) instance: Box<str>,
    /// The task that claims or runs the request. Dropping it aborts that work.
    pub(super) _task: Option<kernel::Task<()>>,
}

/// How far the processing of a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The claim is being written to the store.
    Claiming,
    /// The request waits in the queue of the admission controller.
    Waiting,
    /// The request has been sent to the target.
    Running,
}

impl Job {
    /// Whether the request must be claimed in the store before it runs, so that at most
    /// one copy of it runs.
    pub(super) fn requires_claim(&self) -> bool {
        !self.request.repeatable && !self.request.once
    }

    /// Whether this copy of the request has claimed the row in the store.
    pub(super) fn holds_claim(&self) -> bool {
        self.claim_tag.is_some()
    }

    /// The row of the request in the given state.
    pub(super) fn row(&self, state: State) -> Row {
        Row { fingerprint: self.request.fingerprint, nonce: self.nonce, state }
    }

    /// Sends the answer if the entry still waits for it.
    pub(super) fn answer(&mut self, answer: Answer) {
        if let Some(reply) = self.reply.take() {
            reply.send(answer);
        }
    }
}
