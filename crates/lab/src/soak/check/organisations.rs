//! Checks of organisations, keys and quotas.

use std::collections::{HashMap, VecDeque};

use super::{CONFIG_LIMIT_MS, Run, SETTLE_MS, Violation, is_fault_free};
use crate::soak::host::{FaultLocation, Observations};
use crate::soak::load::{Kind, Record};
use crate::soak::organisations::{Key, ORGANISATIONS, Organisation};

/// Window in which the runs of an organisation are counted.
const QUOTA_WINDOW_MS: u64 = 5_000;
/// Runs in a window: a multiple of what the quota allows plus a constant.
const QUOTA_FACTOR: f64 = 1.1;
const QUOTA_SLACK: f64 = 20.0;
/// Share of its quota up to which no request of an organisation is refused.
const SERVED_SHARE: f64 = 0.6;

pub(super) fn check(
    records: &[Record],
    runs: &[Run],
    by_id: &HashMap<&str, Vec<&Run>>,
    observations: &Observations,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in records {
        let runs = by_id.get(&*record.id).map_or(&[][..], Vec::as_slice);
        violations.extend(check_headers(record, runs));
        violations.extend(check_key(record, !runs.is_empty(), observations));
    }
    let limited = || ORGANISATIONS.iter().enumerate().filter(|(_, it)| it.rate > 0);
    violations.extend(limited().filter_map(|(_, it)| check_quota(it, runs)));
    violations
        .extend(limited().flat_map(|(index, it)| check_served(index, it, records, observations)));
    violations
}

/// Checks what targets received of a request against its key.
fn check_headers(record: &Record, runs: &[&Run]) -> Vec<Violation> {
    let mut violations = Vec::new();
    if runs.iter().any(|run| run.has_credentials) {
        violations.push(Violation::ForwardedCredentials(record.id.clone()));
    }
    let expected = record.key.organisation();
    // The key of one revision may be unknown on a public route, which is no error.
    let may_be_absent = record.kind == Kind::Abandoned && matches!(record.key, Key::OfRevision(_));
    let is_wrong = |run: &&&Run| {
        let is_absent = run.organisation.is_none() && may_be_absent;
        run.organisation.as_deref() != expected && !is_absent
    };
    violations.extend(runs.iter().find(is_wrong).map(|run| {
        Violation::WrongOrganisation(format!(
            "{} with {:?} reached a target as {:?}",
            record.id, record.key, run.organisation
        ))
    }));
    violations
}

/// Checks whether a request with its key may run or be refused.
fn check_key(record: &Record, has_run: bool, observations: &Observations) -> Option<Violation> {
    let needs_key = record.kind != Kind::Abandoned;
    let is_refused = record.status == 401;
    let is_calm = is_fault_free(observations, record.entry, record.sent_ms)
        && is_fault_free(observations, record.entry, record.done_ms);
    let describe = || format!("{} with {:?} got {}", record.id, record.key, record.status);
    let ran_without_key =
        || Some(Violation::RanWithoutKey(format!("{}, ran: {has_run}", describe())));
    let refused = || Some(Violation::KnownKeyRefused(describe()));
    match record.key {
        Key::Absent | Key::Unknown if needs_key && (has_run || record.status == 200) => {
            ran_without_key()
        }
        Key::Absent | Key::Unknown if !needs_key && is_refused => refused(),
        Key::Permanent(_) if is_refused => refused(),
        Key::OfRevision(revision) if needs_key => {
            let attempts = &observations.config_attempts;
            let is_in_force_in_time = |acked: &u64| acked + CONFIG_LIMIT_MS < record.sent_ms;
            let was_tried =
                attempts.iter().any(|(tried, at)| *tried == revision && *at <= record.done_ms);
            let is_removed = observations
                .config_writes
                .iter()
                .any(|(later, acked)| *later > revision && is_in_force_in_time(acked));
            let is_added = observations
                .config_writes
                .iter()
                .any(|(added, acked)| *added == revision && is_in_force_in_time(acked))
                && !attempts.iter().any(|(later, at)| *later > revision && *at <= record.done_ms);
            if (!was_tried && has_run) || (is_removed && is_calm && has_run) {
                ran_without_key()
            } else if is_refused && is_added && is_calm {
                refused()
            } else {
                None
            }
        }
        _ => None,
    }
}

/// Checks that no more requests of an organisation ran in any window than its quota allows.
fn check_quota(organisation: &Organisation, runs: &[Run]) -> Option<Violation> {
    let amount = f64::from(organisation.rate) * QUOTA_WINDOW_MS as f64 / 1e3;
    let allowed = (amount + f64::from(organisation.burst)) * QUOTA_FACTOR + QUOTA_SLACK;
    let mut recent = VecDeque::new();
    let mut most = 0;
    for run in runs.iter().filter(|run| run.organisation.as_deref() == Some(organisation.name)) {
        recent.push_back(run.at_ms);
        recent.retain(|earlier| earlier + QUOTA_WINDOW_MS > run.at_ms);
        most = most.max(recent.len());
    }
    eprintln!("  {}: at most {most} runs in 5 s, {allowed:.0} allowed", organisation.name);
    (most as f64 > allowed).then(|| {
        let name = organisation.name;
        Violation::QuotaExceeded(format!("{most} runs of {name} in 5 s, {allowed:.0} allowed"))
    })
}

/// Checks that in a calm fleet no request of an organisation is refused while its demand stays
/// below [`SERVED_SHARE`] of its quota, over the last window and over the last second with the
/// burst.
fn check_served(
    index: usize,
    organisation: &Organisation,
    records: &[Record],
    observations: &Observations,
) -> Vec<Violation> {
    let mut own: Vec<&Record> =
        records.iter().filter(|record| record.key == Key::Permanent(index)).collect();
    own.sort_by_key(|record| record.sent_ms);
    let is_counted = |position: usize| {
        let sent_ms = own[position].sent_ms;
        let demand = |window_ms: u64| {
            let earlier = own[..=position].iter().rev();
            earlier.take_while(|other| other.sent_ms + window_ms > sent_ms).count() as f64
        };
        let rate = f64::from(organisation.rate) * SERVED_SHARE;
        let is_low = demand(QUOTA_WINDOW_MS) <= rate * QUOTA_WINDOW_MS as f64 / 1e3
            && demand(1000) <= rate + f64::from(organisation.burst) * SERVED_SHARE / 2.0;
        is_low && is_fleet_calm(observations, sent_ms, own[position].done_ms)
    };
    let counted: Vec<&Record> =
        (0..own.len()).filter(|position| is_counted(*position)).map(|at| own[at]).collect();
    let refused = counted.iter().filter(|record| record.status == 429);
    let violations: Vec<Violation> = refused
        .map(|record| {
            Violation::RefusedWithinQuota(format!(
                "{} of {} was refused at entry {}, {} ms before the end",
                record.id,
                organisation.name,
                record.entry,
                own.last().map_or(0, |last| last.sent_ms.saturating_sub(record.sent_ms))
            ))
        })
        .collect();
    let served = own.iter().filter(|record| record.status == 200).count();
    eprintln!(
        "  {}: {} requests, {served} answered, {} below 0.6 of the quota in a calm fleet",
        organisation.name,
        own.len(),
        counted.len()
    );
    violations
}

/// Whether no host and no store had a fault in the last [`SETTLE_MS`] and in the window before,
/// and the daemons have been ready for that long.
fn is_fleet_calm(observations: &Observations, from_ms: u64, until_ms: u64) -> bool {
    let from = from_ms.saturating_sub(SETTLE_MS);
    let is_near = |fault: &crate::soak::host::InjectedFault| {
        fault.location != FaultLocation::Nowhere && fault.from_ms <= until_ms && fault.to_ms > from
    };
    observations.ready_ms < from && !observations.faults.iter().any(is_near)
}
