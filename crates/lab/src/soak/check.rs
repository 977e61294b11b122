//! Checks the guarantees against what callers and targets observed.

use std::collections::HashMap;
use std::fmt;

use super::host::{Made, Place, Seen};
use super::load::{DEADLINE, Kind, Record};

/// Maximum number of targets that a request is sent to.
const MAX_ATTEMPTS: usize = 2;
/// Time after the acknowledgement of a drain in which the target may still get requests.
const DRAIN_MS: u64 = 2000;
/// Time limit, from the store's acknowledgement, for a change to be in force.
const CONFIG_MS: u64 = 2000;
/// Fault-free time after which guarantees with a time limit apply again.
const CONTACT_MS: u64 = 3000;
/// Tolerance by which a deadline at a target may exceed the caller's deadline.
const DEADLINE_SLACK_MS: u64 = 500;
/// Limit for repeated arrivals of requests in a window: a share of the requests plus a
/// constant.
const BUDGET_RATIO: f64 = 0.2;
const BUDGET_SLACK: f64 = 56.0;
const BUDGET_WINDOW_MS: u64 = 10_000;
/// Share of abandoned requests that may still run to completion.
const GONE_SHARE: f64 = 0.25;
const GONE_MIN: usize = 4;
/// Statuses that guarantee that the request has not run and will not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Broken {
    /// An at-most-once request ran more than once.
    Twice(Box<str>),
    /// A request was reported as not-run but has run.
    FalseNotRun(Box<str>),
    /// A response is incomplete or belongs to another request.
    WrongAnswer(Box<str>),
    /// A request reached more targets than allowed.
    Attempts(Box<str>),
    /// A target received another service name than the caller's.
    Caller(Box<str>),
    /// A target received a later deadline than the caller's.
    Deadline(Box<str>),
    /// A request reached a target after its drain was acknowledged.
    Drain(Box<str>),
    /// A planned stop lost the answer to a request.
    Lost(Box<str>),
    /// A daemon returned to an older configuration.
    Reverted(String),
    /// A configuration change was not in force in time.
    LateConfig(String),
    /// Requests arrived repeatedly more often than the retry budget allows.
    Budget(String),
    /// Too many requests ran to completion after their callers had left.
    Gone(String),
    /// Calls did not succeed again in time, or a daemon's member list was incomplete.
    Recovery,
    /// A process exited or failed unexpectedly.
    End(String),
}

struct Run {
    at_ms: u64,
    id: Box<str>,
    caller: Box<str>,
    deadline_ms: u64,
    host: usize,
}

/// Returns all violated guarantees.
pub(super) fn judge(records: &[Record], seen: &Seen) -> Vec<Broken> {
    let runs = runs_of(seen);
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &runs {
        by_id.entry(&run.id).or_default().push(run);
    }
    let mut broken = Vec::new();
    for record in records {
        let runs = by_id.get(&*record.id).map_or(&[][..], Vec::as_slice);
        broken.extend(judge_record(record, runs, seen));
    }
    broken.extend(judge_drain(seen));
    broken.extend(judge_configuration(seen));
    broken.extend(judge_budget(records, &runs, seen));
    broken.extend(judge_gone(records, &by_id, seen));
    broken.extend((!seen.recovered).then_some(Broken::Recovery));
    broken.extend(seen.ends.iter().cloned().map(Broken::End));
    broken
}

fn runs_of(seen: &Seen) -> Vec<Run> {
    let mut runs = Vec::new();
    for printed in &seen.printed {
        for line in &printed.lines {
            let words: Vec<&str> = line.split(' ').collect();
            if let ["run", at, id, caller, deadline] = words[..] {
                runs.push(Run {
                    at_ms: at.parse().unwrap_or(0),
                    id: id.into(),
                    caller: caller.into(),
                    deadline_ms: deadline.parse().unwrap_or(u64::MAX),
                    host: printed.host,
                });
            }
        }
    }
    runs.sort_by_key(|run| run.at_ms);
    runs
}

fn judge_record(record: &Record, runs: &[&Run], seen: &Seen) -> Vec<Broken> {
    let id = || record.id.clone();
    let mut broken = Vec::new();
    if record.kind == Kind::Order && runs.len() > 1 {
        broken.push(Broken::Twice(id()));
    }
    if NOT_RUN.contains(&record.status) && !runs.is_empty() {
        broken.push(Broken::FalseNotRun(id()));
    }
    if record.is_wrong {
        broken.push(Broken::WrongAnswer(id()));
    }
    if runs.len() > MAX_ATTEMPTS {
        broken.push(Broken::Attempts(id()));
    }
    let service = &seen.services[record.entry];
    if runs.iter().any(|run| run.caller != *service) {
        broken.push(Broken::Caller(id()));
    }
    let limit = record.sent_ms + DEADLINE.as_millis() as u64 + DEADLINE_SLACK_MS;
    // A faulty link or process delays a request but does not shorten the deadline that the
    // request carries, so this check applies only where there was no fault.
    let is_late = |run: &&Run| {
        let is_calm = is_calm(seen, run.host, run.at_ms) && is_calm(seen, record.entry, run.at_ms);
        is_calm && run.at_ms.saturating_add(run.deadline_ms) > limit
    };
    if runs.iter().copied().any(|run| is_late(&run)) {
        broken.push(Broken::Deadline(id()));
    }
    if is_lost_by_stop(record, runs, seen) {
        broken.push(Broken::Lost(id()));
    }
    broken
}

/// Whether a request that had begun to run lost its answer because its entry daemon was
/// stopped, with no other fault on the hosts of its path.
fn is_lost_by_stop(record: &Record, runs: &[&Run], seen: &Seen) -> bool {
    if !record.is_lost || runs.is_empty() {
        return false;
    }
    let from = record.sent_ms.saturating_sub(CONTACT_MS);
    let is_on_way = |place: Place| match place {
        Place::Host(host) => host == record.entry || runs.iter().any(|run| run.host == host),
        Place::Store => false,
    };
    let is_near = |made: &&Made| made.from_ms < record.done_ms && made.to_ms > from;
    let mut near = seen.made.iter().filter(is_near).filter(|made| is_on_way(made.place));
    let entry = Place::Host(record.entry);
    let is_stopping = |made: &Made| made.is_stop && made.place == entry;
    let mut any = false;
    let all_stops = near.all(|made| {
        any |= is_stopping(made);
        is_stopping(made)
    });
    any && all_stops
}

fn judge_drain(seen: &Seen) -> Vec<Broken> {
    let mut broken = Vec::new();
    for printed in &seen.printed {
        let mut acked = None;
        for line in &printed.lines {
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["acked", at] => acked = at.parse::<u64>().ok(),
                ["run", at, id, ..] => {
                    let at: u64 = at.parse().unwrap_or(0);
                    if acked.is_some_and(|acked| at > acked + DRAIN_MS) {
                        broken.push(Broken::Drain(id.into()));
                    }
                }
                _ => {}
            }
        }
    }
    broken
}

fn judge_configuration(seen: &Seen) -> Vec<Broken> {
    let mut broken = Vec::new();
    let mut latest: HashMap<(usize, &str), u64> = HashMap::new();
    for poll in &seen.polls {
        let known = latest.entry((poll.host, &poll.node)).or_default();
        if poll.revision < *known {
            broken.push(Broken::Reverted(format!(
                "daemon {} from {known} to {}",
                poll.host, poll.revision
            )));
        }
        *known = poll.revision.max(*known);
    }
    for (revision, acked) in &seen.configured {
        let late = seen.polls.iter().find(|poll| {
            let is_behind = poll.revision < *revision && poll.at_ms > acked + CONFIG_MS;
            is_behind && is_calm(seen, poll.host, poll.at_ms)
        });
        broken.extend(late.map(|poll| {
            let after = poll.at_ms - acked;
            Broken::LateConfig(format!(
                "daemon {} has {} and not {revision} after {after} ms",
                poll.host, poll.revision
            ))
        }));
    }
    broken
}

/// Whether neither the host nor the store had a fault during the last `CONTACT_MS`.
fn is_calm(seen: &Seen, host: usize, at_ms: u64) -> bool {
    let from = at_ms.saturating_sub(CONTACT_MS);
    let touches = |place: Place| place == Place::Store || place == Place::Host(host);
    !seen.made.iter().any(|made| touches(made.place) && made.from_ms <= at_ms && made.to_ms > from)
}

fn judge_budget(records: &[Record], runs: &[Run], seen: &Seen) -> Vec<Broken> {
    let mut services = seen.services.clone();
    services.sort();
    services.dedup();
    services.iter().filter_map(|service| judge_service(service, records, runs, seen)).collect()
}

fn judge_service(service: &str, records: &[Record], runs: &[Run], seen: &Seen) -> Option<Broken> {
    let is_here = |run: &&Run| *seen.services[run.host] == *service;
    let mut first = HashMap::new();
    let mut beyond = Vec::new();
    for run in runs.iter().filter(is_here) {
        if first.insert(&run.id, ()).is_some() {
            beyond.push(run.at_ms);
        }
    }
    let is_order = |record: &&Record| (record.kind == Kind::Abandoned) != (service == "desk");
    let sent: Vec<u64> = records.iter().filter(is_order).map(|record| record.sent_ms).collect();
    let within = |times: &[u64], from: u64| {
        times.iter().filter(|at| **at >= from && **at < from + BUDGET_WINDOW_MS).count() as f64
    };
    let worst = beyond.iter().find(|from| {
        let requests = within(&sent, from.saturating_sub(BUDGET_WINDOW_MS / 2));
        within(&beyond, **from) > requests * BUDGET_RATIO + BUDGET_SLACK
    })?;
    let count = within(&beyond, *worst);
    Some(Broken::Budget(format!("{service}: {count} arrivals beyond the first in 10 s")))
}

fn judge_gone(records: &[Record], runs: &HashMap<&str, Vec<&Run>>, seen: &Seen) -> Option<Broken> {
    let ended: std::collections::HashSet<&str> = seen
        .printed
        .iter()
        .flat_map(|printed| &printed.lines)
        .filter_map(|line| line.strip_prefix("ran ")?.split(' ').nth(1))
        .collect();
    let is_counted = |record: &&Record| {
        let Some(runs) = runs.get(&*record.id).filter(|_| record.kind == Kind::Abandoned) else {
            return false;
        };
        let until = record.done_ms + CONTACT_MS;
        let hosts = runs.iter().map(|run| run.host).chain([record.entry]);
        hosts.into_iter().all(|host| is_calm(seen, host, until))
    };
    let counted: Vec<&Record> = records.iter().filter(is_counted).collect();
    let went_on = counted.iter().filter(|record| ended.contains(&*record.id)).count();
    let is_broken = went_on >= GONE_MIN && went_on as f64 > counted.len() as f64 * GONE_SHARE;
    is_broken.then(|| Broken::Gone(format!("{went_on} of {} went on", counted.len())))
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Twice(id) => write!(f, "{id} may run once and has run more often"),
            Self::FalseNotRun(id) => write!(f, "{id} was told not-run and has run"),
            Self::WrongAnswer(id) => write!(f, "{id} got a wrong answer"),
            Self::Attempts(id) => write!(f, "{id} reached more than {MAX_ATTEMPTS} targets"),
            Self::Caller(id) => write!(f, "{id} came with another caller's service"),
            Self::Deadline(id) => write!(f, "{id} was given more time than its caller waits"),
            Self::Drain(id) => write!(f, "{id} reached a target that had left"),
            Self::Lost(id) => write!(f, "{id} was lost by a planned stop"),
            Self::Reverted(text) => write!(f, "an older configuration: {text}"),
            Self::LateConfig(text) => write!(f, "a late configuration: {text}"),
            Self::Budget(text) => write!(f, "over the retry budget: {text}"),
            Self::Gone(text) => write!(f, "work for callers that had left: {text}"),
            Self::Recovery => {
                write!(f, "callers were not served again in time, or a daemon is not known")
            }
            Self::End(text) => write!(f, "{text}"),
        }
    }
}
