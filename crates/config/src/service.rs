//! A checked service file.

use std::time::Duration;

/// A share of calls, as parts of 1.
pub type Share = f64;

/// What operators state for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Box<str>,
    /// Deadline of a request that brings none and whose rule states none.
    pub answer_within: Duration,
    /// Probes allowed, as a share of the service's calls.
    pub probe_share: Share,
    /// Retries allowed, as a share of the service's calls.
    pub retry_share: Share,
    /// Hedges allowed, as a share of the service's calls.
    pub hedge_share: Share,
    /// The first rule that matches a request applies to it.
    pub rules: Vec<Rule>,
}

/// How requests of one kind may be treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    /// Name of the rule, unique in its service.
    pub name: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Paths that it covers.
    pub path: Pattern,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether a request may wait behind those that may not.
    pub may_wait: bool,
    /// Deadline of a request that brings none.
    pub answer_within: Duration,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request is idempotent.
    Safe,
    /// The request runs at most once.
    Never,
    /// The request runs at most once for each attempt of its caller, whose id is
    /// never used again: it goes to one target, and nothing is stored of it.
    Attempt,
}

/// A path, or the prefix of all paths below one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pattern {
    /// This path alone.
    Exact(Box<str>),
    /// All paths that start with this text.
    Prefix(Box<str>),
}

/// What a service says about a request.
#[derive(Debug, PartialEq)]
pub enum Match<'a> {
    /// This rule applies.
    Rule(&'a Rule),
    /// The path is known, but not with this method.
    UnknownMethod,
    /// No rule covers the path.
    UnknownPath,
}

impl Service {
    /// Finds the rule for a request. `path` may carry a query.
    pub fn find_rule(&self, method: &str, path: &str) -> Match<'_> {
        let path = path.split('?').next().unwrap_or(path);
        let mut found = Match::UnknownPath;
        for rule in self.rules.iter().filter(|rule| rule.path.covers(path)) {
            if &*rule.method == method {
                return Match::Rule(rule);
            }
            found = Match::UnknownMethod;
        }
        found
    }
}

impl Pattern {
    fn covers(&self, path: &str) -> bool {
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
