//! A caller's request, checked.

use std::time::Duration;

use bytes::Bytes;
use config::{Match, PathRule, Repeat, Service};
use wire::{Header, Reason};

use crate::edge::{Head, Refused};
use crate::headers;

/// Most targets that a request of a service file's rule is sent to.
const MAX_ATTEMPTS: u32 = 4;

/// A request and how it may be treated.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) method: Box<str>,
    pub(crate) path: Box<str>,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) deadline: Duration,
    pub(crate) depth: u8,
    pub(crate) treatment: Treatment,
    pub(crate) fingerprint: u64,
}

/// What the configuration says of a request.
#[derive(Debug, Clone)]
pub(crate) struct Treatment {
    /// Name of the rule or path.
    pub(crate) kind: Box<str>,
    /// Revision of the configuration that says so; 0 for a service's file.
    pub(crate) revision: u64,
    pub(crate) repeat: Repeat,
    pub(crate) may_wait: bool,
    /// Longest time that the caller is kept waiting.
    pub(crate) answer_within: Duration,
    /// Whether a caller may ask for more time than that.
    pub(crate) is_default: bool,
    /// Time within which an answer is of full use.
    pub(crate) aim: Duration,
    pub(crate) rank: u8,
    pub(crate) max_attempts: u32,
    /// Bytes of the largest body.
    pub(crate) body_bytes: usize,
}

pub(crate) fn refused(reason: Reason, text: impl Into<Box<str>>) -> Refused {
    Refused { reason, text: text.into() }
}

impl Treatment {
    /// What a service's file says of a request.
    pub(crate) fn of_rule(service: &Service, head: &Head) -> Result<Self, Refused> {
        match service.find_rule(&head.method, &head.path) {
            Match::Rule(rule) => Ok(Self {
                kind: rule.name.clone(),
                revision: 0,
                repeat: rule.repeat,
                may_wait: rule.may_wait,
                answer_within: rule.answer_within,
                is_default: true,
                aim: rule.answer_within,
                rank: 0,
                max_attempts: MAX_ATTEMPTS,
                body_bytes: wire::MAX_BODY_BYTES,
            }),
            Match::UnknownMethod => {
                let text = format!("{} takes no {} for this path", service.name, head.method);
                Err(refused(Reason::UnknownMethod, text))
            }
            Match::UnknownPath => {
                let text = format!("{} has no request for this path", service.name);
                Err(refused(Reason::UnknownPath, text))
            }
        }
    }

    /// What the table of paths says of a request.
    pub(crate) fn of_path(path: &PathRule, revision: u64, body_bytes: usize) -> Self {
        Self {
            kind: path.name.clone(),
            revision,
            repeat: path.repeat,
            may_wait: false,
            answer_within: path.answer_within,
            is_default: false,
            aim: path.target_latency,
            rank: path.rank,
            max_attempts: path.max_attempts,
            body_bytes: body_bytes.min(wire::MAX_BODY_BYTES),
        }
    }

    fn deadline(&self, asked: Option<Duration>) -> Duration {
        match asked {
            Some(asked) if self.is_default => asked,
            Some(asked) => asked.min(self.answer_within),
            None => self.answer_within,
        }
    }
}

impl Call {
    /// Joins a head with its service, its treatment and its body.
    pub(crate) fn new(
        head: Head,
        service: Box<str>,
        treatment: Treatment,
        body: Bytes,
    ) -> Result<Self, Refused> {
        let id = match (head.id, treatment.repeat) {
            (Some(id), _) => id,
            (None, Repeat::Safe) => uuid::Uuid::now_v7().to_string().into(),
            (None, Repeat::Never | Repeat::Attempt) => {
                let text = format!(
                    "{} may run at most once: set the header {}",
                    treatment.kind,
                    headers::IDEMPOTENCY_KEY
                );
                return Err(refused(Reason::BadRequest, text));
            }
        };
        Ok(Self {
            id,
            fingerprint: once::fingerprint(&service, &head.method, &head.path, &body),
            service,
            method: head.method,
            path: head.path,
            headers: head.headers,
            body,
            deadline: treatment.deadline(head.deadline),
            depth: head.depth,
            treatment,
        })
    }

    /// Whether the request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.treatment.repeat == Repeat::Safe
    }

    /// Whether a row in the store decides which copy of the request runs.
    pub(crate) fn is_claimed(&self) -> bool {
        self.treatment.repeat == Repeat::Never
    }
}
