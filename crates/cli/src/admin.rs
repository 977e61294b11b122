//! The admin pages of daemons.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

/// Time limit of one page.
const PAGE_TIME: Duration = Duration::from_secs(3);

/// Reads and commands daemons over their admin addresses.
#[derive(Debug)]
pub struct Admin {
    agent: Agent,
}

impl Default for Admin {
    fn default() -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(PAGE_TIME))
            .http_status_as_error(false)
            .build();
        Self { agent: Agent::new_with_config(config) }
    }
}

impl Admin {
    /// Reads a page as JSON.
    pub fn get(&self, daemon: SocketAddr, path: &str) -> Result<Value, Box<str>> {
        let response = self.agent.get(format!("http://{daemon}{path}")).call();
        read(daemon, response)
    }

    /// Sends a command with a JSON body.
    pub fn post(&self, daemon: SocketAddr, path: &str, body: &Value) -> Result<Value, Box<str>> {
        let request = self.agent.post(format!("http://{daemon}{path}"));
        read(daemon, request.send(body.to_string()))
    }
}

fn read(
    daemon: SocketAddr,
    response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Value, Box<str>> {
    let failed = |error: ureq::Error| -> Box<str> { format!("{daemon}: {error}").into() };
    let mut response = response.map_err(failed)?;
    let body = response.body_mut().read_to_string().map_err(failed)?;
    serde_json::from_str(&body).map_err(|_| format!("{daemon}: {}", body.trim()).into())
}
