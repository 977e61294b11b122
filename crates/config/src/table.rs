//! The table of paths: which service a request goes to and how it may be treated.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::book::Revision;
use crate::service::Repeat;

/// What operators state for all services at once.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    /// Number of this table. Later tables have greater ones.
    pub revision: Revision,
    /// Services that paths lead to.
    pub endpoints: Vec<Endpoint>,
    /// Bounds of what callers may send.
    pub bounds: Bounds,
    hosts: HashMap<Box<str>, Vec<Rc<Path>>>,
}

/// A path prefix of one host name and how its requests may be treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Path {
    /// Name of the path, unique in its table.
    pub name: Box<str>,
    /// Host name of the requests, in lower case.
    pub hostname: Box<str>,
    /// What the path of a request starts with; it ends with a slash.
    pub prefix: Box<str>,
    /// Services that share the requests.
    pub parts: Vec<Part>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Longest time for which a caller is kept waiting.
    pub answer_within: Duration,
    /// Time within which an answer is of full use.
    pub aim: Duration,
    /// Urgency; 0 goes before all others.
    pub rank: u8,
    /// Most targets that one request is sent to.
    pub max_attempts: u32,
}

/// A service's share of the requests of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Name of the service.
    pub service: Box<str>,
    /// Its share, in parts of the sum of all weights.
    pub weight: u32,
}

/// What is stated of the targets of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the service.
    pub service: Box<str>,
    /// Path of the targets' health page.
    pub health_path: Box<str>,
    /// Connections that a target takes, if the operator states them.
    pub connections: Option<u16>,
}

/// Bounds of what callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for the head of a request.
    pub head_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Table {
    /// A table of these paths.
    pub fn new(
        revision: Revision,
        paths: impl IntoIterator<Item = Path>,
        endpoints: impl IntoIterator<Item = Endpoint>,
        bounds: Bounds,
    ) -> Self {
        let mut hosts: HashMap<Box<str>, Vec<Rc<Path>>> = HashMap::new();
        for path in paths {
            hosts.entry(path.hostname.clone()).or_default().push(Rc::new(path));
        }
        for paths in hosts.values_mut() {
            paths.sort_by_key(|path| std::cmp::Reverse(path.prefix.len()));
        }
        Self { revision, endpoints: endpoints.into_iter().collect(), bounds, hosts }
    }

    /// The path with the longest prefix that begins `path`, which may carry a query.
    pub fn find(&self, hostname: &str, path: &str) -> Option<&Rc<Path>> {
        let path = path.split('?').next().unwrap_or(path);
        let paths = self.hosts.get(&*hostname.to_ascii_lowercase())?;
        paths.iter().find(|known| path.starts_with(&*known.prefix))
    }

    /// What is stated of a service's targets.
    pub fn endpoint(&self, service: &str) -> Option<&Endpoint> {
        self.endpoints.iter().find(|endpoint| *endpoint.service == *service)
    }
}

impl Path {
    /// The service for a request; `draw` is a random number from 0 up to 1.
    pub fn service(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.parts.iter().map(|part| part.weight).sum();
        let mut left = draw * f64::from(total);
        let drawn = self.parts.iter().find(|part| {
            left -= f64::from(part.weight);
            left < 0.0
        });
        drawn.or(self.parts.last()).map(|part| &*part.service)
    }
}
