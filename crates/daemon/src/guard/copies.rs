//! Requests that may not be repeated: claims, copies and refusals.

use std::time::Duration;

use admit::Ticket;
use once::{ClaimDecision, Execution, Lookup, State};
use wire::{Answer, Outcome, Reason};

use super::Ask;
use super::job::{Job, Stage};
use super::task::{DOWN_RETRY_AFTER, Task};
use crate::claims::Claimed;
use crate::journal::{self, Event};

impl Task {
    /// A request that may not be repeated: another copy may be here already.
    pub(super) fn arrive_once(&mut self, ticket: Ticket, mut job: Job) {
        let request = job.request.clone();
        match self.ledger.lookup(&request.id, request.fingerprint) {
            Lookup::Known(Execution::Running) => {
                let joined = self.joined.entry(request.id.clone()).or_default();
                joined.extend(job.reply.take().map(|reply| (ticket, reply)));
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
            Lookup::Absent if !request.may_queue && !self.has_room() => {
                let after = self.gate.service_time();
                job.answer(self.refusal(Outcome::NotRun, Reason::Busy, after));
            }
            Lookup::Absent => self.begin_claim(ticket, job),
        }
    }

    fn has_room(&self) -> bool {
        let under_way = self.jobs.len();
        under_way < usize::from(self.gate.slots())
    }

    fn begin_claim(&mut self, ticket: Ticket, mut job: Job) {
        let request = job.request.clone();
        self.ledger.begin(&request.id, request.fingerprint);
        let row = job.row(State::Claimed { node: self.node });
        let (claims, mailbox) = (self.claims.clone(), self.mailbox.clone());
        job.stage = Stage::Claiming;
        job._work = Some(self.kernel.spawn(async move {
            let tag = &request.claim_tag;
            let claimed = claims.claim(&request.service, &request.id, tag, &row).await;
            mailbox.send(Ask::Claimed { ticket, claimed });
        }));
        self.jobs.insert(ticket, job);
    }

    pub(super) fn claimed(&mut self, ticket: Ticket, claimed: Claimed) {
        let Some(mut job) = self.jobs.remove(&ticket) else {
            return;
        };
        let id = job.request.id.clone();
        if claimed.claim == ClaimDecision::Run {
            self.note(&id, Event::Claimed);
            job.claim_tag = claimed.tag;
            job.stage = Stage::Waiting;
            self.admit(ticket, job);
            return;
        }
        self.note(&id, Event::ClaimLost);
        self.ledger.remove(&id);
        let (outcome, reason) = match claimed.claim {
            ClaimDecision::Run | ClaimDecision::Taken { .. } => {
                (Outcome::Unknown, Reason::InProgress)
            }
            ClaimDecision::Conflict => (Outcome::Unknown, Reason::Conflict),
            ClaimDecision::Undecided => (Outcome::Unknown, Reason::StoreDown),
            ClaimDecision::NotSent => (Outcome::NotRun, Reason::StoreDown),
        };
        let mut refusal = self.refusal(outcome, reason, DOWN_RETRY_AFTER);
        if let ClaimDecision::Taken { node: Some(node) } = claimed.claim {
            // The holder of the claim can tell more.
            refusal.node = node;
        }
        self.answer_joined(&id, &refusal);
        job.answer(refusal);
    }

    /// Refuses a request of which no byte has gone to the target. A claim is
    /// given back first, so that `not-run` holds for all its copies.
    pub(super) fn refuse(&mut self, mut job: Job, reason: Reason, after: Duration) {
        metrics::counter!("bronzeport_guard_refused_total", "reason" => journal::reason_text(reason))
            .increment(1);
        let id = job.request.id.clone();
        let guard_state = self.inside();
        self.note(&id, Event::Refused { reason, retry_after_ms: after, guard_state });
        let refusal = self.refusal(Outcome::NotRun, reason, after);
        if !job.is_claimed() {
            job.answer(refusal);
            return;
        }
        self.ledger.remove(&id);
        let joined = self.joined.remove(&id).unwrap_or_default();
        let claims = self.claims.clone();
        self.kernel.start(async move {
            let request = job.request.clone();
            let (service, tag) = (&request.service, &job.claim_tag);
            let is_certain = claims.refuse(service, &id, tag, request.fingerprint, job.nonce).await;
            let mut refusal = refusal;
            refusal.reason = Reason::RefusedBefore;
            if !is_certain {
                refusal.outcome = Outcome::Unknown;
            }
            for (_, reply) in joined {
                reply.send(refusal.clone());
            }
            job.answer(refusal);
        });
    }

    /// Notes in the table that a request has ended, beside its answer.
    pub(super) fn record_end(&self, job: &Job, outcome: Outcome, status: u16) {
        if outcome != Outcome::Ran {
            return;
        }
        let row = job.row(State::Ended { node: self.node, status });
        let (claims, request, tag) =
            (self.claims.clone(), job.request.clone(), job.claim_tag.clone());
        self.kernel.start(async move {
            claims.end(&request.service, &request.id, &tag, &row).await;
        });
    }

    pub(super) fn answer_joined(&mut self, id: &str, answer: &Answer) {
        for (_, reply) in self.joined.remove(id).unwrap_or_default() {
            reply.send(answer.clone());
        }
    }

    /// Takes a copy out that waits for the end of another.
    pub(super) fn leave_joined(&mut self, ticket: Ticket, answer: Option<Answer>) {
        for copies in self.joined.values_mut() {
            let Some(place) = copies.iter().position(|(joined, _)| *joined == ticket) else {
                continue;
            };
            let (_, reply) = copies.swap_remove(place);
            if let Some(answer) = answer {
                reply.send(answer);
            }
            return;
        }
    }
}
