//! HTTP client for the target beside the daemon.

use std::rc::Rc;
use std::time::Duration;

use kernel::Kernel;
use web::{Client, ClientError, Reuse};
use wire::Request;

use crate::adapter::{ProtocolAdapter, TargetAnswer, TargetIdentity};

/// Maximum size of a target's answer in bytes: the maximum that a message between daemons
/// can carry.
const MAX_ANSWER_BYTES: usize = wire::MAX_BODY_BYTES;
/// Timeout of a request for the health page.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Connections reserved for health checks, beside one connection for each slot.
const HEALTH_CHECK_CONNECTIONS: u16 = 2;

/// The result of a request that was passed to the target.
#[derive(Debug)]
pub(crate) enum RunResult {
    /// The target answered.
    Answered(TargetAnswer),
    /// The deadline passed before the first byte was sent.
    DeadlinePassed,
    /// The target did not receive the request.
    Unreachable,
    /// The connection was lost while the target still accepts connections, or the answer
    /// belongs to another request or has no valid status.
    Cut,
    /// The connection was lost and the target no longer accepts connections.
    Crashed,
    /// The answer exceeds the maximum size.
    TooLarge,
}

/// The result of a health check.
#[derive(Debug)]
pub(crate) enum HealthCheckResult {
    /// The target accepts connections; it has no known health page.
    Connected,
    /// The health page answered.
    Answered(TargetAnswer),
    /// The health page gave no valid answer in time.
    NoAnswer,
    /// The target accepts no connections.
    Unreachable,
}

/// The target beside the daemon.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    kernel: Kernel,
    client: Client,
    adapter: ProtocolAdapter,
    identity: Rc<TargetIdentity>,
}

impl Target {
    pub(crate) fn new(
        kernel: &Kernel,
        adapter: ProtocolAdapter,
        identity: TargetIdentity,
        slots: u16,
    ) -> Self {
        let max_idle = usize::from(slots) + usize::from(HEALTH_CHECK_CONNECTIONS);
        let client = Client::new(kernel.clone(), identity.address, max_idle);
        Self {
            kernel: kernel.clone(),
            client: client.with_max_answer(MAX_ANSWER_BYTES),
            adapter,
            identity: Rc::new(identity),
        }
    }

    pub(crate) fn identity(&self) -> &TargetIdentity {
        &self.identity
    }

    /// Sets the maximum number of connections to the target. Returns the maximum number of
    /// requests that may run: each needs one connection, and [`HEALTH_CHECK_CONNECTIONS`]
    /// are reserved.
    pub(crate) fn set_max_connections(&self, connections: u16) -> u16 {
        self.client.set_max_connections(usize::from(connections.max(1)));
        connections.saturating_sub(HEALTH_CHECK_CONNECTIONS).max(1)
    }

    /// Whether the target accepts connections.
    pub(crate) async fn is_reachable(&self) -> bool {
        self.client.is_reachable().await
    }

    /// Checks the health of the target: requests its health page if there is one, or else
    /// tries to connect.
    pub(crate) async fn check_health(&self, health_path: Option<&str>) -> HealthCheckResult {
        let Some(request) = health_path.and_then(|path| (self.adapter.write_health_check)(path))
        else {
            return match self.is_reachable().await {
                true => HealthCheckResult::Connected,
                false => HealthCheckResult::Unreachable,
            };
        };
        let answers_check =
            |headers: &hyper::HeaderMap| (self.adapter.answers_request)(headers, None);
        let sending = self.client.send_checked(request, Reuse::Allowed, answers_check);
        match self.kernel.clock().timeout(HEALTH_CHECK_TIMEOUT, sending).await {
            Ok(Ok(response)) => HealthCheckResult::Answered((self.adapter.read_answer)(response)),
            Ok(Err(ClientError::NotSent)) => HealthCheckResult::Unreachable,
            Ok(Err(ClientError::MismatchedAnswer)) => {
                self.report_mismatch("health check", "");
                HealthCheckResult::NoAnswer
            }
            Ok(Err(ClientError::InvalidStatus)) => {
                self.report_invalid_status("health check", "");
                HealthCheckResult::NoAnswer
            }
            Ok(Err(ClientError::ConnectionLost | ClientError::TooLarge)) | Err(_) => {
                HealthCheckResult::NoAnswer
            }
        }
    }

    /// Logs and counts an answer that belongs to another exchange. Its connection is closed.
    fn report_mismatch(&self, exchange: &'static str, id: &str) {
        metrics::counter!("bronzeport_target_mismatched_answers_total", "exchange" => exchange)
            .increment(1);
        log::warn!(
            target: "daemon::guard::belief",
            "an answer of the target {} to a {exchange} {id} belongs to another exchange; its \
             connection is closed",
            self.identity.instance
        );
    }

    /// Logs and counts an answer without a valid status. Its connection is closed.
    fn report_invalid_status(&self, exchange: &'static str, id: &str) {
        metrics::counter!("bronzeport_target_invalid_statuses_total", "exchange" => exchange)
            .increment(1);
        log::warn!(
            target: "daemon::guard::belief",
            "an answer of the target {} to a {exchange} {id} has no valid status; its connection \
             is closed",
            self.identity.instance
        );
    }

    /// Sends a request to the target and waits for the result.
    pub(crate) async fn run(&self, request: &Request, remaining: Duration) -> RunResult {
        let Some(message) = (self.adapter.write_request)(request, remaining, &self.identity) else {
            return RunResult::Unreachable;
        };
        // If the target closes a reused connection while a request is being written to it,
        // it is unknown whether the target has read the request. A request that must not
        // be repeated therefore gets a connection that is new or was used recently.
        let reuse = match (request.repeatable, request.once) {
            (true, _) => Reuse::Allowed,
            (false, true) => Reuse::Recent,
            (false, false) => Reuse::Never,
        };
        let answers_request =
            |headers: &hyper::HeaderMap| (self.adapter.answers_request)(headers, Some(&request.id));
        match self.client.send_checked(message, reuse, answers_request).await {
            Ok(response) => RunResult::Answered((self.adapter.read_answer)(response)),
            Err(ClientError::NotSent) => RunResult::Unreachable,
            Err(ClientError::TooLarge) => RunResult::TooLarge,
            Err(ClientError::MismatchedAnswer) => {
                self.report_mismatch("request", &request.id);
                RunResult::Cut
            }
            Err(ClientError::InvalidStatus) => {
                self.report_invalid_status("request", &request.id);
                RunResult::Cut
            }
            Err(ClientError::ConnectionLost) => match self.client.is_alive().await {
                true => RunResult::Cut,
                false => RunResult::Crashed,
            },
        }
    }
}
