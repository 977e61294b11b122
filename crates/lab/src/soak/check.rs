//! Checks the guarantees against what callers and targets observed.

mod locality;
mod organisations;

use std::collections::HashMap;
use std::fmt;

use super::host::{FaultLocation, InjectedFault, Observations, TargetOutput};
use super::load::{DEADLINE, Kind, Record};

/// Maximum number of targets that a request is sent to.
const MAX_ATTEMPTS: usize = 2;
/// Time after the acknowledgement of a drain in which the target may still get requests.
const DRAIN_LIMIT_MS: u64 = 2000;
/// Time limit, from the store's acknowledgement, for a change to be in force.
const CONFIG_LIMIT_MS: u64 = 2000;
/// Fault-free time after which guarantees with a time limit apply again.
const SETTLE_MS: u64 = 3000;
/// Tolerance by which a deadline at a target may exceed the caller's deadline.
const DEADLINE_SLACK_MS: u64 = 500;
/// Limit for repeated arrivals of requests in a window: a share of the requests plus a
/// constant.
const BUDGET_RATIO: f64 = 0.2;
const BUDGET_SLACK: f64 = 56.0;
const BUDGET_WINDOW_MS: u64 = 10_000;
/// Time after which a limit on the request rate must be kept.
const LIMIT_SETTLE_MS: u64 = 3000;
/// Requests that a target may get in a window: a multiple of what its limit allows plus a
/// constant.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
const LIMIT_WINDOW_MS: u64 = 4_000;
/// Share of abandoned requests that may still run to completion.
const ABANDONED_RUN_SHARE: f64 = 0.25;
const ABANDONED_RUN_MIN: usize = 4;
/// Statuses that guarantee that the request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 5] = [401, 408, 421, 429, 503];

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// An at-most-once request ran more than once.
    RanTwice(Box<str>),
    /// A request was reported as not-run but has run.
    FalseNotRun(Box<str>),
    /// A response is incomplete or belongs to another request.
    WrongAnswer(Box<str>),
    /// A request reached more targets than allowed.
    TooManyAttempts(Box<str>),
    /// A target received another service name than the caller's.
    WrongCallerService(Box<str>),
    /// A target received a later deadline than the caller's.
    LateDeadline(Box<str>),
    /// A request reached a target after its drain was acknowledged.
    RanAfterDrain(Box<str>),
    /// A target got more requests than the rate that it named.
    RateExceeded(String),
    /// A planned stop lost the answer to a request.
    LostByPlannedStop(Box<str>),
    /// A daemon returned to an older configuration.
    ConfigReverted(String),
    /// A configuration change was not in force in time.
    LateConfig(String),
    /// Requests arrived repeatedly more often than the retry budget allows.
    RetryBudgetExceeded(String),
    /// Too many requests ran to completion after their callers had left.
    AbandonedCompleted(String),
    /// A target received the credentials of a caller.
    ForwardedCredentials(Box<str>),
    /// A target received another organisation than that of the caller's key.
    WrongOrganisation(String),
    /// A request ran although its key was not in force.
    RanWithoutKey(String),
    /// A request was refused although its key was in force.
    KnownKeyRefused(String),
    /// More requests of an organisation ran than its quota allows.
    QuotaExceeded(String),
    /// A request of an organisation that stays far below its quota was refused for the quota.
    RefusedWithinQuota(String),
    /// A request reached a target in an evacuated data centre.
    RanInEvacuated(String),
    /// A cold target got more requests than it handles.
    ColdExceeded(String),
    /// Calls did not succeed again in time, or a daemon's member list was incomplete.
    NotRecovered,
    /// A process exited or failed unexpectedly.
    ProcessFailure(String),
}

struct Run {
    at_ms: u64,
    id: Box<str>,
    caller: Box<str>,
    deadline_ms: u64,
    host: usize,
    organisation: Option<Box<str>>,
    has_credentials: bool,
}

/// Returns all violated guarantees.
pub(super) fn find_violations(records: &[Record], observations: &Observations) -> Vec<Violation> {
    let runs = parse_runs(observations);
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &runs {
        by_id.entry(&run.id).or_default().push(run);
    }
    let mut violations = Vec::new();
    for record in records {
        let runs = by_id.get(&*record.id).map_or(&[][..], Vec::as_slice);
        violations.extend(check_record(record, runs, observations));
    }
    violations.extend(check_drain(observations));
    violations.extend(observations.target_outputs.iter().filter_map(check_rate));
    violations.extend(check_configuration(observations));
    violations.extend(check_retry_budgets(records, &runs, observations));
    violations.extend(check_abandoned(records, &by_id, observations));
    violations.extend(organisations::check(records, &runs, &by_id, observations));
    violations.extend(locality::check(records, &runs, observations));
    violations.extend((!observations.recovered).then_some(Violation::NotRecovered));
    violations.extend(observations.process_failures.iter().cloned().map(Violation::ProcessFailure));
    violations
}

fn parse_runs(observations: &Observations) -> Vec<Run> {
    let mut runs: Vec<Run> = Vec::new();
    for output in &observations.target_outputs {
        for line in &output.lines {
            let words: Vec<&str> = line.split(' ').collect();
            match (&words[..], runs.last_mut()) {
                (["organisation", id, name], Some(run)) if *run.id == **id => {
                    run.organisation = Some((*name).into());
                }
                (["authorization", id], Some(run)) if *run.id == **id => {
                    run.has_credentials = true;
                }
                _ => {}
            }
            if let ["run", at, id, caller, deadline] = words[..] {
                runs.push(Run {
                    at_ms: at.parse().unwrap_or(0),
                    id: id.into(),
                    caller: caller.into(),
                    deadline_ms: deadline.parse().unwrap_or(u64::MAX),
                    host: output.host,
                    organisation: None,
                    has_credentials: false,
                });
            }
        }
    }
    runs.sort_by_key(|run| run.at_ms);
    runs
}

fn check_record(record: &Record, runs: &[&Run], observations: &Observations) -> Vec<Violation> {
    let id = || record.id.clone();
    let mut violations = Vec::new();
    if record.kind == Kind::AtMostOnce && runs.len() > 1 {
        violations.push(Violation::RanTwice(id()));
    }
    if NOT_RUN_STATUSES.contains(&record.status) && !runs.is_empty() {
        violations.push(Violation::FalseNotRun(id()));
    }
    if record.is_wrong {
        violations.push(Violation::WrongAnswer(id()));
    }
    if runs.len() > MAX_ATTEMPTS {
        violations.push(Violation::TooManyAttempts(id()));
    }
    let service = &observations.services[record.entry];
    if runs.iter().any(|run| run.caller != *service) {
        violations.push(Violation::WrongCallerService(id()));
    }
    let limit = record.sent_ms + DEADLINE.as_millis() as u64 + DEADLINE_SLACK_MS;
    // A faulty link or process delays a request but does not shorten the deadline that the
    // request carries, so this check applies only where there was no fault.
    let is_late = |run: &&Run| {
        let is_fault_free = is_fault_free(observations, run.host, run.at_ms)
            && is_fault_free(observations, record.entry, run.at_ms);
        is_fault_free && run.at_ms.saturating_add(run.deadline_ms) > limit
    };
    if runs.iter().copied().any(|run| is_late(&run)) {
        violations.push(Violation::LateDeadline(id()));
    }
    if is_lost_by_planned_stop(record, runs, observations) {
        violations.push(Violation::LostByPlannedStop(id()));
    }
    violations
}

/// Whether a request that had begun to run lost its answer because its entry daemon was
/// stopped, with no other fault on the hosts of its path.
fn is_lost_by_planned_stop(record: &Record, runs: &[&Run], observations: &Observations) -> bool {
    if !record.is_connection_lost || runs.is_empty() {
        return false;
    }
    let from = record.sent_ms.saturating_sub(SETTLE_MS);
    let is_on_path = |location: FaultLocation| match location {
        FaultLocation::Nowhere => false,
        FaultLocation::Host(host) => {
            host == record.entry || runs.iter().any(|run| run.host == host)
        }
        FaultLocation::Store => false,
    };
    let overlaps = |fault: &&InjectedFault| fault.from_ms < record.done_ms && fault.to_ms > from;
    let mut relevant =
        observations.faults.iter().filter(overlaps).filter(|fault| is_on_path(fault.location));
    let entry = FaultLocation::Host(record.entry);
    let is_stopping = |fault: &InjectedFault| fault.is_planned_stop && fault.location == entry;
    let mut has_stop = false;
    let all_stops = relevant.all(|fault| {
        has_stop |= is_stopping(fault);
        is_stopping(fault)
    });
    has_stop && all_stops
}

fn check_drain(observations: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    for output in &observations.target_outputs {
        let mut acked = None;
        for line in &output.lines {
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["acked", at] => acked = at.parse::<u64>().ok(),
                ["run", at, id, ..] => {
                    let at: u64 = at.parse().unwrap_or(0);
                    if acked.is_some_and(|acked| at > acked + DRAIN_LIMIT_MS) {
                        violations.push(Violation::RanAfterDrain(id.into()));
                    }
                }
                _ => {}
            }
        }
    }
    violations
}

fn check_configuration(observations: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut latest: HashMap<(usize, &str), u64> = HashMap::new();
    for poll in &observations.polls {
        let latest_revision = latest.entry((poll.host, &poll.node)).or_default();
        if poll.revision < *latest_revision {
            violations.push(Violation::ConfigReverted(format!(
                "daemon {} from revision {latest_revision} to {}",
                poll.host, poll.revision
            )));
        }
        *latest_revision = poll.revision.max(*latest_revision);
    }
    for (revision, acked) in &observations.config_writes {
        let late = observations.polls.iter().find(|poll| {
            let is_behind = poll.revision < *revision && poll.at_ms > acked + CONFIG_LIMIT_MS;
            is_behind && is_fault_free(observations, poll.host, poll.at_ms)
        });
        violations.extend(late.map(|poll| {
            let after = poll.at_ms - acked;
            Violation::LateConfig(format!(
                "daemon {} has revision {} instead of {revision} after {after} ms",
                poll.host, poll.revision
            ))
        }));
    }
    violations
}

/// Whether neither the host nor the store had a fault during the last `SETTLE_MS`.
fn is_fault_free(observations: &Observations, host: usize, at_ms: u64) -> bool {
    let from = at_ms.saturating_sub(SETTLE_MS);
    let affects = |location: FaultLocation| {
        location == FaultLocation::Store || location == FaultLocation::Host(host)
    };
    !observations
        .faults
        .iter()
        .any(|fault| affects(fault.location) && fault.from_ms <= at_ms && fault.to_ms > from)
}

/// Checks that a target gets no more requests than the rate that it names, from
/// [`LIMIT_SETTLE_MS`] after it has named it until it names another one.
fn check_rate(output: &TargetOutput) -> Option<Violation> {
    let mut limit: Option<(u64, f64)> = None;
    let mut recent: Vec<u64> = Vec::new();
    for line in &output.lines {
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["limit", at, rate] => {
                limit = at.parse().ok().zip(rate.parse().ok());
                recent.clear();
            }
            ["run", at, ..] => {
                let (Some((named_ms, rate)), Ok(at)) = (limit, at.parse::<u64>()) else {
                    continue;
                };
                if at < named_ms + LIMIT_SETTLE_MS {
                    continue;
                }
                recent.push(at);
                recent.retain(|earlier| earlier + LIMIT_WINDOW_MS > at);
                let accepted = rate * LIMIT_WINDOW_MS as f64 / 1e3;
                if recent.len() as f64 > accepted * LIMIT_FACTOR + LIMIT_SLACK {
                    return Some(Violation::RateExceeded(format!(
                        "target {} got {} requests in 4 s and accepts {rate} a second",
                        output.host,
                        recent.len()
                    )));
                }
            }
            _ => {}
        }
    }
    None
}

fn check_retry_budgets(
    records: &[Record],
    runs: &[Run],
    observations: &Observations,
) -> Vec<Violation> {
    let mut services = observations.services.clone();
    services.sort();
    services.dedup();
    services
        .iter()
        .filter_map(|service| check_retry_budget(service, records, runs, observations))
        .collect()
}

fn check_retry_budget(
    service: &str,
    records: &[Record],
    runs: &[Run],
    observations: &Observations,
) -> Option<Violation> {
    let is_of_service = |run: &&Run| *observations.services[run.host] == *service;
    let mut first_arrivals = HashMap::new();
    let mut repeated = Vec::new();
    for run in runs.iter().filter(is_of_service) {
        if first_arrivals.insert(&run.id, ()).is_some() {
            repeated.push(run.at_ms);
        }
    }
    let is_for_service = |record: &&Record| (record.kind == Kind::Abandoned) != (service == "desk");
    // A request without a key in force or beyond a quota is sent to no target.
    let may_run = |record: &&Record| !matches!(record.status, 401 | 429);
    let sent = records.iter().filter(is_for_service).filter(may_run);
    let sent: Vec<u64> = sent.map(|record| record.sent_ms).collect();
    let count_in_window = |times: &[u64], from: u64| {
        times.iter().filter(|at| **at >= from && **at < from + BUDGET_WINDOW_MS).count() as f64
    };
    let worst = repeated.iter().find(|from| {
        let requests = count_in_window(&sent, from.saturating_sub(BUDGET_WINDOW_MS / 2));
        count_in_window(&repeated, **from) > requests * BUDGET_RATIO + BUDGET_SLACK
    })?;
    let count = count_in_window(&repeated, *worst);
    Some(Violation::RetryBudgetExceeded(format!("{service}: {count} repeated arrivals in 10 s")))
}

fn check_abandoned(
    records: &[Record],
    runs: &HashMap<&str, Vec<&Run>>,
    observations: &Observations,
) -> Option<Violation> {
    let completed_ids: std::collections::HashSet<&str> = observations
        .target_outputs
        .iter()
        .flat_map(|output| &output.lines)
        .filter_map(|line| line.strip_prefix("ran ")?.split(' ').nth(1))
        .collect();
    let is_counted = |record: &&Record| {
        let Some(runs) = runs.get(&*record.id).filter(|_| record.kind == Kind::Abandoned) else {
            return false;
        };
        let until = record.done_ms + SETTLE_MS;
        let hosts = runs.iter().map(|run| run.host).chain([record.entry]);
        hosts.into_iter().all(|host| is_fault_free(observations, host, until))
    };
    let counted: Vec<&Record> = records.iter().filter(is_counted).collect();
    let completed = counted.iter().filter(|record| completed_ids.contains(&*record.id)).count();
    let is_violated = completed >= ABANDONED_RUN_MIN
        && completed as f64 > counted.len() as f64 * ABANDONED_RUN_SHARE;
    is_violated.then(|| Violation::AbandonedCompleted(format!("{completed} of {}", counted.len())))
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RanTwice(id) => write!(f, "{id} may run at most once but ran more than once"),
            Self::FalseNotRun(id) => write!(f, "{id} was reported as not-run but has run"),
            Self::WrongAnswer(id) => {
                write!(f, "{id} got an incomplete answer or that of another request")
            }
            Self::TooManyAttempts(id) => write!(f, "{id} reached more than {MAX_ATTEMPTS} targets"),
            Self::WrongCallerService(id) => {
                write!(f, "{id} reached a target with a wrong caller service")
            }
            Self::LateDeadline(id) => {
                write!(f, "{id} reached a target with a later deadline than its caller's")
            }
            Self::RanAfterDrain(id) => {
                write!(f, "{id} reached a target after its drain was acknowledged")
            }
            Self::RateExceeded(text) => write!(f, "{text}"),
            Self::LostByPlannedStop(id) => {
                write!(f, "the answer to {id} was lost by a planned stop")
            }
            Self::ConfigReverted(text) => write!(f, "configuration reverted: {text}"),
            Self::LateConfig(text) => write!(f, "late configuration update: {text}"),
            Self::RetryBudgetExceeded(text) => write!(f, "retry budget exceeded: {text}"),
            Self::AbandonedCompleted(text) => {
                write!(f, "abandoned requests ran to completion: {text}")
            }
            Self::ForwardedCredentials(id) => {
                write!(f, "{id} reached a target with its caller's credentials")
            }
            Self::WrongOrganisation(text)
            | Self::RanWithoutKey(text)
            | Self::KnownKeyRefused(text)
            | Self::QuotaExceeded(text)
            | Self::RefusedWithinQuota(text)
            | Self::RanInEvacuated(text)
            | Self::ColdExceeded(text) => write!(f, "{text}"),
            Self::NotRecovered => {
                write!(f, "calls did not succeed again in time, or a member list is incomplete")
            }
            Self::ProcessFailure(text) => write!(f, "{text}"),
        }
    }
}
