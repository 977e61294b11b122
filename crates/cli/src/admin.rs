//! HTTP client for the admin endpoints of daemons.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

/// Maximum time for a request to one daemon, including its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends requests to daemons at their admin addresses.
#[derive(Debug)]
pub struct AdminClient {
    agent: Agent,
}

impl Default for AdminClient {
    fn default() -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self { agent: Agent::new_with_config(config) }
    }
}

impl AdminClient {
    /// Fetches a page and parses it as JSON.
    pub fn get(&self, daemon: SocketAddr, path: &str) -> Result<Value, Box<str>> {
        let response = self.agent.get(format!("http://{daemon}{path}")).call();
        parse_response(daemon, response)
    }

    /// Sends a command with a JSON body and parses the response as JSON.
    pub fn post(&self, daemon: SocketAddr, path: &str, body: &Value) -> Result<Value, Box<str>> {
        let request = self.agent.post(format!("http://{daemon}{path}"));
        parse_response(daemon, request.send(body.to_string()))
    }
}

/// Parses the body of a response as JSON. A body that is not JSON is the text of an
/// error.
fn parse_response(
    daemon: SocketAddr,
    response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Value, Box<str>> {
    let describe_error = |error: ureq::Error| -> Box<str> { format!("{daemon}: {error}").into() };
    let mut response = response.map_err(describe_error)?;
    let body = response.body_mut().read_to_string().map_err(describe_error)?;
    serde_json::from_str(&body).map_err(|_| format!("{daemon}: {}", body.trim()).into())
}
