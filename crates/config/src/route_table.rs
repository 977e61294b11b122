//! The route table: which service a request goes to and how it may be treated.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::active::Revision;
use crate::organisation::Organisations;
use crate::service::Repeat;

/// The operators' configuration for all services.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Revision of this table. Newer tables have higher revisions.
    pub revision: Revision,
    /// Settings of the targets, one entry for each service.
    pub target_settings: Vec<TargetSettings>,
    /// Limits on callers' requests and connections.
    pub limits: RequestLimits,
    /// The organisations with their keys; `None` if the configuration has no list of them, so
    /// that requests need no key.
    pub organisations: Option<Organisations>,
    hosts: HashMap<Box<str>, Vec<Rc<PathRule>>>,
}

/// How requests for one host name and path prefix are routed and treated.
#[derive(Debug, Clone, PartialEq)]
pub struct PathRule {
    /// Name of the rule, unique in its table.
    pub name: Box<str>,
    /// Host name of the requests, in lower case.
    pub hostname: Box<str>,
    /// Prefix of the request paths that the rule covers. It ends with a slash.
    pub prefix: Box<str>,
    /// Services among which the requests are split.
    pub traffic_split: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Longest time that a caller waits for the answer.
    pub answer_within: Duration,
    /// Latency objective: an answer that takes longer is late for its caller.
    pub target_latency: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key of an organisation.
    pub is_public: bool,
}

/// A service and its weight in a traffic split.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Box<str>,
    /// Weight of the service. Its share of the requests is its weight divided
    /// by the sum of all weights.
    pub weight: u32,
}

/// Settings that apply to all targets of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetSettings {
    /// Name of the service.
    pub service: Box<str>,
    /// Path of the targets' health endpoint.
    pub health_path: Box<str>,
    /// Maximum number of connections that one target accepts, if the operator sets it.
    pub connections: Option<u16>,
    /// How many requests a cold target gets; `None` if as many as any other.
    pub cold: Option<ColdLimit>,
}

/// Limit on the requests that a target gets while it is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests per second.
    pub per_second: f64,
    /// Time for which a target is cold after its start, if the operator sets it.
    pub cold_start: Option<Duration>,
}

/// Limits on the size and the duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request's head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time until the whole head of a request has arrived.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl RouteTable {
    /// Returns a route table with these rules.
    pub fn new(
        revision: Revision,
        rules: impl IntoIterator<Item = PathRule>,
        target_settings: impl IntoIterator<Item = TargetSettings>,
        limits: RequestLimits,
    ) -> Self {
        let mut hosts: HashMap<Box<str>, Vec<Rc<PathRule>>> = HashMap::new();
        for rule in rules {
            hosts.entry(rule.hostname.clone()).or_default().push(Rc::new(rule));
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let target_settings = target_settings.into_iter().collect();
        Self { revision, target_settings, limits, organisations: None, hosts }
    }

    /// Returns the table with these organisations. Requests on paths that are not public then
    /// need a key of one of them.
    pub fn with_organisations(self, organisations: Option<Organisations>) -> Self {
        Self { organisations, ..self }
    }

    /// The rules of all host names. Those of one host name with the same prefix are in the order
    /// in which they were added.
    pub fn rules(&self) -> impl Iterator<Item = &Rc<PathRule>> {
        self.hosts.values().flatten()
    }

    /// Returns the rule with the longest prefix that matches `path`. The path
    /// may have a query, which is ignored.
    pub fn find(&self, hostname: &str, path: &str) -> Option<&Rc<PathRule>> {
        let path = path.split('?').next().unwrap_or(path);
        let rules = self.hosts.get(&*hostname.to_ascii_lowercase())?;
        rules.iter().find(|rule| path.starts_with(&*rule.prefix))
    }

    /// Returns the settings of a service's targets.
    pub fn find_target_settings(&self, service: &str) -> Option<&TargetSettings> {
        self.target_settings.iter().find(|settings| *settings.service == *service)
    }
}

impl PathRule {
    /// Chooses the service for a request by weight. `draw` is a random number
    /// from 0 (inclusive) to 1 (exclusive). Returns `None` if the rule has no
    /// services.
    pub fn choose_service(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.traffic_split.iter().map(|entry| entry.weight).sum();
        let mut left = draw * f64::from(total);
        let drawn = self.traffic_split.iter().find(|entry| {
            left -= f64::from(entry.weight);
            left < 0.0
        });
        drawn.or(self.traffic_split.last()).map(|entry| &*entry.service)
    }
}
