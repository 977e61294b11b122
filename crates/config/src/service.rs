//! The contents of a valid service file.

use std::time::Duration;

/// A share of calls, as a fraction from 0 to 1.
pub type Share = f64;

/// The operators' configuration for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Box<str>,
    /// Default deadline, for requests that carry none and rules that set none.
    pub answer_within: Duration,
    /// Maximum number of probes, as a share of the service's calls.
    pub probe_share: Share,
    /// Maximum number of retries, as a share of the service's calls.
    pub retry_share: Share,
    /// Maximum number of hedges, as a share of the service's calls.
    pub hedge_share: Share,
    /// Rules for the service's requests. The first matching rule applies.
    pub rules: Vec<Rule>,
}

/// How requests with one method and path pattern may be treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    /// Name of the rule, unique in its service.
    pub name: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Request paths that the rule covers.
    pub path: Pattern,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether a request may be queued behind requests that may not wait.
    pub may_wait: bool,
    /// Deadline of requests that carry none.
    pub answer_within: Duration,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request is idempotent and may run any number of times.
    Safe,
    /// The request runs at most once.
    Never,
    /// The request runs at most once for each attempt of its caller. Every attempt
    /// has a new request id. The request is sent to only one target, and no record of
    /// it is stored.
    Attempt,
}

/// A pattern that matches one path or all paths with a common prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pattern {
    /// Only this path.
    Exact(Box<str>),
    /// All paths that start with this text.
    Prefix(Box<str>),
}

/// Result of looking up the rule for a request.
#[derive(Debug, PartialEq)]
pub enum Match<'a> {
    /// This rule applies.
    Rule(&'a Rule),
    /// Rules cover the path, but none of them has this method.
    UnknownMethod,
    /// No rule covers the path.
    UnknownPath,
}

impl Service {
    /// Returns the first rule that matches a request. `path` may have a query,
    /// which is ignored.
    pub fn find_rule(&self, method: &str, path: &str) -> Match<'_> {
        let path = path.split('?').next().unwrap_or(path);
        let mut result = Match::UnknownPath;
        for rule in self.rules.iter().filter(|rule| rule.path.matches(path)) {
            if &*rule.method == method {
                return Match::Rule(rule);
            }
            result = Match::UnknownMethod;
        }
        result
    }
}

impl Pattern {
    fn matches(&self, path: &str) -> bool {
        match self {
            Self::Exact(exact) => **exact == *path,
            Self::Prefix(prefix) => path.starts_with(&**prefix),
        }
    }
}

impl From<&str> for Pattern {
    fn from(text: &str) -> Self {
        match text.strip_suffix('*') {
            Some(prefix) => Self::Prefix(prefix.into()),
            None => Self::Exact(text.into()),
        }
    }
}
