//! Requests that must not run more than once: their claims, duplicates and refusals.

use std::time::Duration;

use admit::Ticket;
use once::{ClaimDecision, Execution, Lookup, State};
use wire::{Answer, Outcome, Reason, Request};

use super::Message;
use super::job::{Job, Stage};
use super::task::{DOWN_RETRY_AFTER, Task};
use crate::claims::ClaimResult;
use crate::journal::{self, Event};

impl Task {
    /// Handles a request that must not run more than once, of which this guard may have
    /// another copy: joins a copy that is running, repeats the answer of one that has
    /// ended, or claims the request.
    pub(super) fn deduplicate(&mut self, ticket: Ticket, mut job: Job) {
        let request = job.request.clone();
        match self.duplicate_cache.lookup(&request.id, request.fingerprint) {
            Lookup::Known(Execution::Running) => {
                let duplicates = self.waiting_duplicates.entry(request.id.clone()).or_default();
                duplicates.extend(job.reply.take().map(|reply| (ticket, reply)));
            }
            Lookup::Known(Execution::Ended(answer)) => {
                let answer = answer.clone();
                job.answer(answer);
            }
            Lookup::Conflict => {
                job.answer(self.refusal(Outcome::Unknown, Reason::Conflict, Duration::ZERO));
            }
            Lookup::Absent if request.recall_only => {
                job.answer(self.refusal(Outcome::Unknown, Reason::AlreadyRan, Duration::ZERO));
            }
            Lookup::Absent if !request.may_queue && !self.has_free_slot() => {
                let after = self.controller.service_time();
                job.answer(self.refusal(Outcome::NotRun, Reason::Busy, after));
            }
            Lookup::Absent => self.begin_claim(ticket, job),
        }
    }

    /// Whether fewer requests wait or run here than the target has slots.
    fn has_free_slot(&self) -> bool {
        let job_count = self.jobs.len();
        job_count < usize::from(self.controller.slots())
    }

    /// Starts to write the claim of a request to the store.
    fn begin_claim(&mut self, ticket: Ticket, mut job: Job) {
        let request = job.request.clone();
        self.duplicate_cache.begin(&request.id, request.fingerprint);
        let row = job.row(State::Claimed { node: self.node });
        let (claims, mailbox) = (self.claims.clone(), self.mailbox.clone());
        job.stage = Stage::Claiming;
        job._task = Some(self.kernel.spawn(async move {
            let result = match request.claim_tag.parse() {
                Ok(tag) => claims.claim(&request.service, &request.id, tag, &row).await,
                Err(error) => {
                    log::warn!("the tag {:?} of a request is invalid: {error}", request.claim_tag);
                    ClaimResult { decision: ClaimDecision::NotSent, tag: None }
                }
            };
            mailbox.send(Message::ClaimEnded { ticket, result });
        }));
        self.jobs.insert(ticket, job);
    }

    /// Admits a request whose claim was won, and answers any other.
    pub(super) fn finish_claim(&mut self, ticket: Ticket, result: ClaimResult) {
        let Some(mut job) = self.jobs.remove(&ticket) else {
            return;
        };
        let id = job.request.id.clone();
        if result.decision == ClaimDecision::Run {
            self.record_event(&id, Event::Claimed);
            job.claim_tag = result.tag;
            job.stage = Stage::Waiting;
            self.admit(ticket, job);
            return;
        }
        self.record_event(&id, Event::ClaimLost);
        self.duplicate_cache.remove(&id);
        let (outcome, reason) = match result.decision {
            ClaimDecision::Run | ClaimDecision::Taken { .. } => {
                (Outcome::Unknown, Reason::InProgress)
            }
            ClaimDecision::Conflict => (Outcome::Unknown, Reason::Conflict),
            ClaimDecision::Undecided => (Outcome::Unknown, Reason::StoreDown),
            ClaimDecision::NotSent => (Outcome::NotRun, Reason::StoreDown),
        };
        let mut refusal = self.refusal(outcome, reason, DOWN_RETRY_AFTER);
        if let ClaimDecision::Taken { node: Some(node) } = result.decision {
            // The entry requests the outcome from the node that holds the claim.
            refusal.node = node;
        }
        self.answer_duplicates(&id, &refusal);
        job.answer(refusal);
    }

    /// Refuses a request that the target has not run. A claim is first replaced by a refusal
    /// in the store, so that `not-run` is true of all copies of the request.
    pub(super) fn refuse(&mut self, mut job: Job, reason: Reason, after: Duration) {
        metrics::counter!("bronzeport_guard_refused_total", "reason" => journal::reason_text(reason))
            .increment(1);
        let id = job.request.id.clone();
        let guard_state = self.guard_state();
        self.record_event(&id, Event::Refused { reason, retry_after_ms: after, guard_state });
        let refusal = self.refusal(Outcome::NotRun, reason, after);
        let Some(tag) = job.claim_tag else {
            job.answer(refusal);
            return;
        };
        self.duplicate_cache.remove(&id);
        let duplicates = self.waiting_duplicates.remove(&id).unwrap_or_default();
        let claims = self.claims.clone();
        self.kernel.start(async move {
            let request = job.request.clone();
            let Request { service, fingerprint, .. } = &*request;
            let is_certain = claims.refuse(service, &id, tag, *fingerprint, job.nonce).await;
            let mut refusal = refusal;
            refusal.reason = Reason::RefusedBefore;
            if !is_certain {
                refusal.outcome = Outcome::Unknown;
            }
            for (_, reply) in duplicates {
                reply.send(refusal.clone());
            }
            job.answer(refusal);
        });
    }

    /// Records in the store that a request has ended. The answer does not wait for it.
    pub(super) fn record_end(&self, job: &Job, outcome: Outcome, status: u16) {
        let Some(tag) = job.claim_tag.filter(|_| outcome == Outcome::Ran) else {
            return;
        };
        let row = job.row(State::Ended { node: self.node, status });
        let (claims, request) = (self.claims.clone(), job.request.clone());
        self.kernel.start(async move {
            claims.record_end(&request.service, &request.id, tag, &row).await;
        });
    }

    /// Answers the duplicates that wait for the request `id`.
    pub(super) fn answer_duplicates(&mut self, id: &str, answer: &Answer) {
        for (_, reply) in self.waiting_duplicates.remove(id).unwrap_or_default() {
            reply.send(answer.clone());
        }
    }

    /// Removes a duplicate that waits for another copy to end, and sends it `answer` if
    /// there is one.
    pub(super) fn remove_duplicate(&mut self, ticket: Ticket, answer: Option<Answer>) {
        for duplicates in self.waiting_duplicates.values_mut() {
            let Some(position) = duplicates.iter().position(|(duplicate, _)| *duplicate == ticket)
            else {
                continue;
            };
            let (_, reply) = duplicates.swap_remove(position);
            if let Some(answer) = answer {
                reply.send(answer);
            }
            return;
        }
    }
}
