//! A request in the guard's hands.

use std::rc::Rc;
use std::time::Instant;

use kernel::Reply;
use once::{Row, State};
use wire::{Answer, Request};

/// A request in the guard's hands.
pub(super) struct Job {
    pub(super) request: Rc<Request>,
    pub(super) deadline: Instant,
    /// When its answer ceases to be of full use.
    pub(super) aim: Instant,
    pub(super) reply: Option<Reply<Answer>>,
    pub(super) stage: Stage,
    /// Tag of the claimed row; empty when there is none.
    pub(super) claim_tag: Box<str>,
    pub(super) nonce: u64,
    /// Pace of the target when the request was sent there.
    pub(super) pace: u16,
    /// Requests that ran there then, this one included.
    pub(super) running: usize,
    /// Start of the target that it was sent to; empty before.
    pub(super) instance: Box<str>,
    /// The work under way; dropping it ends it.
    pub(super) _work: Option<kernel::Task<()>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    Claiming,
    Waiting,
    Running,
}

impl Job {
    /// Whether a row in the store decides which copy of the request runs.
    pub(super) fn is_for_claim(&self) -> bool {
        !self.request.repeatable && !self.request.once
    }

    pub(super) fn is_claimed(&self) -> bool {
        !self.claim_tag.is_empty()
    }

    pub(super) fn row(&self, state: State) -> Row {
        Row { fingerprint: self.request.fingerprint, nonce: self.nonce, state }
    }

    pub(super) fn answer(&mut self, answer: Answer) {
        if let Some(reply) = self.reply.take() {
            reply.send(answer);
        }
    }
}
