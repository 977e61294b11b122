//! A validated request of a caller, with the configuration that applies to it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use config::{Match, Organisation, PathRule, Repeat, RouteTable, Service};
use wire::{Header, Reason};

use crate::adapter::{Refused, RequestHead};
use crate::headers;

/// Maximum number of targets that a request is sent to under a rule of a service file.
const MAX_ATTEMPTS: u32 = 4;

/// A validated request of a caller.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) method: Box<str>,
    pub(crate) path: Box<str>,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// Time within which the caller must have its answer.
    pub(crate) deadline: Duration,
    /// Number of calls above this one in a chain of nested calls.
    pub(crate) depth: u8,
    pub(crate) settings: RequestSettings,
    /// The organisation on whose behalf the request is sent.
    pub(crate) organisation: Option<Rc<Organisation>>,
    /// Hash of the service, method, path and body.
    pub(crate) fingerprint: u64,
}

/// What the configuration says of a request.
#[derive(Debug)]
pub(crate) struct Resolved {
    /// Service that the request goes to.
    pub(crate) service: Box<str>,
    pub(crate) settings: RequestSettings,
    /// The organisation whose key the caller presents.
    pub(crate) organisation: Option<Rc<Organisation>>,
}

/// The configuration that applies to a request.
#[derive(Debug, Clone)]
pub(crate) struct RequestSettings {
    /// Name of the rule of the service file, or of the path rule.
    pub(crate) kind: Box<str>,
    /// Configuration revision of the route table; 0 for a rule of a service file.
    pub(crate) revision: u64,
    /// Whether the request may run more than once.
    pub(crate) repeat: Repeat,
    /// Whether the request may wait behind urgent ones.
    pub(crate) may_wait: bool,
    /// Default deadline; also the longest possible one unless `allows_longer_deadline`.
    pub(crate) answer_within: Duration,
    /// Whether a caller may set a deadline longer than `answer_within`.
    pub(crate) allows_longer_deadline: bool,
    /// Latency objective: a later answer has lost some of its value.
    pub(crate) target_latency: Duration,
    /// Priority; 0 is the highest.
    pub(crate) rank: u8,
    /// Maximum number of targets that the request is sent to.
    pub(crate) max_attempts: u32,
    /// Maximum size of the request body in bytes.
    pub(crate) max_body_bytes: usize,
}

/// Builds the refusal of a request that is not sent to any target.
pub(crate) fn refused(reason: Reason, text: impl Into<Box<str>>) -> Refused {
    Refused { reason, text: text.into() }
}

impl RequestSettings {
    /// Returns the settings from the matching rule of a service file.
    pub(crate) fn from_rule(service: &Service, head: &RequestHead) -> Result<Self, Refused> {
        match service.find_rule(&head.method, &head.path) {
            Match::Rule(rule) => Ok(Self {
                kind: rule.name.clone(),
                revision: 0,
                repeat: rule.repeat,
                may_wait: rule.may_wait,
                answer_within: rule.answer_within,
                allows_longer_deadline: true,
                target_latency: rule.answer_within,
                rank: 0,
                max_attempts: MAX_ATTEMPTS,
                max_body_bytes: wire::MAX_BODY_BYTES,
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

    /// Returns the settings from a path rule of the route table.
    pub(crate) fn from_path_rule(rule: &PathRule, table: &RouteTable) -> Self {
        Self {
            kind: rule.name.clone(),
            revision: table.revision,
            repeat: rule.repeat,
            may_wait: false,
            answer_within: rule.answer_within,
            allows_longer_deadline: false,
            target_latency: rule.target_latency,
            rank: rule.rank,
            max_attempts: rule.max_attempts,
            max_body_bytes: table.limits.max_body_bytes.min(wire::MAX_BODY_BYTES),
        }
    }

    /// The deadline of a request whose caller has requested this one.
    fn deadline(&self, requested: Option<Duration>) -> Duration {
        match requested {
            Some(requested) if self.allows_longer_deadline => requested,
            Some(requested) => requested.min(self.answer_within),
            None => self.answer_within,
        }
    }
}

impl Call {
    /// Builds a call from its parts. A request that must not run more than once needs an id
    /// from its caller; any other gets a generated id if it has none.
    pub(crate) fn new(head: RequestHead, resolved: Resolved, body: Bytes) -> Result<Self, Refused> {
        let Resolved { service, settings, organisation } = resolved;
        let id = match (head.id, settings.repeat) {
            (Some(id), _) => id,
            (None, Repeat::Safe) => uuid::Uuid::now_v7().to_string().into(),
            (None, Repeat::Never | Repeat::Attempt) => {
                let text = format!(
                    "{} may run at most once: set the header {}",
                    settings.kind,
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
            deadline: settings.deadline(head.deadline),
            depth: head.depth,
            settings,
            organisation,
        })
    }

    /// Whether the request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.settings.repeat == Repeat::Safe
    }

    /// Whether the request must be claimed in the store before it runs, so that at most
    /// one copy of it runs.
    pub(crate) fn requires_claim(&self) -> bool {
        self.settings.repeat == Repeat::Never
    }
}
