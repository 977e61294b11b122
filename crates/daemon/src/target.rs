//! The connection to the target beside the daemon.

use std::rc::Rc;
use std::time::Duration;

use kernel::Kernel;
use web::{Client, ClientError, Reuse};
use wire::Request;

use crate::edge::{Edge, Identity, TargetAnswer};

/// Largest answer of a target, in bytes: what a message between daemons carries.
const MAX_ANSWER_BYTES: usize = wire::MAX_BODY_BYTES;
/// Time limit of a look at the health page.
const LOOK_TIME: Duration = Duration::from_millis(300);
/// Connections kept open beyond one for each slot: for looks at the health page.
const SPARE_CONNECTIONS: u16 = 2;

/// How a request at the target ended.
#[derive(Debug)]
pub(crate) enum Run {
    /// It answered.
    Answered(TargetAnswer),
    /// The deadline passed before the first byte was sent.
    Overdue,
    /// It did not get the request.
    Unreachable,
    /// The connection broke; the target still takes connections.
    Cut,
    /// The connection broke and the target takes no more.
    Crashed,
    /// The answer is larger than allowed.
    TooLarge,
}

/// What a look at the target has shown.
#[derive(Debug)]
pub(crate) enum Look {
    /// It takes connections.
    Open,
    /// Its health page answered.
    Seen(TargetAnswer),
    /// It did not answer in time.
    Silent,
    /// It takes no connections.
    Unreachable,
}

/// The target beside the daemon.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    kernel: Kernel,
    client: Client,
    edge: Edge,
    identity: Rc<Identity>,
}

impl Target {
    pub(crate) fn new(kernel: &Kernel, edge: Edge, identity: Identity, slots: u16) -> Self {
        let max_idle = usize::from(slots) + usize::from(SPARE_CONNECTIONS);
        let client = Client::new(kernel.clone(), identity.address, max_idle);
        Self {
            kernel: kernel.clone(),
            client: client.with_max_answer(MAX_ANSWER_BYTES),
            edge,
            identity: Rc::new(identity),
        }
    }

    pub(crate) fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Sets how many connections the target takes at a time, and gives how many
    /// requests may run by it: one connection each, beside those for looks.
    pub(crate) fn set_connections(&self, connections: u16) -> u16 {
        self.client.set_max_connections(usize::from(connections.max(1)));
        connections.saturating_sub(SPARE_CONNECTIONS).max(1)
    }

    /// Whether the target takes connections.
    pub(crate) async fn is_reachable(&self) -> bool {
        self.client.is_reachable().await
    }

    /// Looks at the target: at its health page, if it is known to have one.
    pub(crate) async fn look(&self, health_path: Option<&str>) -> Look {
        let Some(request) = health_path.and_then(|path| (self.edge.write_look)(path)) else {
            return match self.is_reachable().await {
                true => Look::Open,
                false => Look::Unreachable,
            };
        };
        let sending = self.client.send(request, Reuse::Allowed);
        match self.kernel.clock().timeout(LOOK_TIME, sending).await {
            Ok(Ok(response)) => Look::Seen((self.edge.read_answer)(response)),
            Ok(Err(ClientError::NotSent)) => Look::Unreachable,
            Ok(Err(
                ClientError::ConnectionLost | ClientError::TooLarge | ClientError::MismatchedAnswer,
            ))
            | Err(_) => Look::Silent,
        }
    }

    /// Has the target run a request.
    pub(crate) async fn run(&self, request: &Request, remaining: Duration) -> Run {
        let Some(message) = (self.edge.write_request)(request, remaining, &self.identity) else {
            return Run::Unreachable;
        };
        // Nobody can tell whether a request was seen that was written to a
        // connection which the target was closing.
        let reuse = match (request.repeatable, request.once) {
            (true, _) => Reuse::Allowed,
            (false, true) => Reuse::Recent,
            (false, false) => Reuse::Never,
        };
        let is_own = |headers: &hyper::HeaderMap| (self.edge.is_own)(headers, &request.id);
        match self.client.send_checked(message, reuse, is_own).await {
            Ok(response) => Run::Answered((self.edge.read_answer)(response)),
            Err(ClientError::NotSent) => Run::Unreachable,
            Err(ClientError::TooLarge) => Run::TooLarge,
            Err(ClientError::MismatchedAnswer) => Run::Cut,
            Err(ClientError::ConnectionLost) => match self.client.is_alive().await {
                true => Run::Cut,
                false => Run::Crashed,
            },
        }
    }
}
