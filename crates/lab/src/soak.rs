//! Randomized soak test: runs the real programs as processes, injects faults from outside and
//! checks the guarantees against what callers and targets observe.
//!
//! A seed determines a schedule of faults. Faults overlap: each one lasts for some time while
//! later ones begin. A run stops after the first round that violates a guarantee; `--shrink`
//! reduces its schedule to the steps that cause the violation.

pub mod callers;
mod check;
pub mod host;
mod load;
mod organisations;
mod schedule;
pub mod tour;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use check::Violation;
use host::Mesh;
use schedule::Step;

/// Time without faults, under load, at the start of a round.
const FAULT_FREE_PERIOD: Duration = Duration::from_secs(2);
/// Time under load after the recovery. Guarantees about a calm fleet apply some seconds after the
/// last fault.
const CALM_PERIOD: Duration = Duration::from_secs(8);
/// Time between two checks whether a fault has to be reverted.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Violations of one round that are printed.
const MAX_PRINTED: usize = 10;
/// Time limit for the service to recover after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Settings of a soak run.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Seed of the first round.
    pub seed: u64,
    /// Number of rounds. Each one uses the next seed.
    pub rounds: usize,
    /// Number of daemons, each with a target.
    pub daemons: usize,
    /// Steps of the schedule to leave out, by index.
    pub skip: Vec<usize>,
    /// Whether to reduce a failing schedule to the steps that cause the violation.
    pub shrink: bool,
    /// Directory for the daemons' logs; `None` writes none.
    pub logs: Option<PathBuf>,
}

/// Results of all rounds.
#[derive(Debug, Default)]
pub struct Report {
    /// Completed rounds.
    pub rounds: usize,
    /// Injected faults.
    pub faults: usize,
    /// Calls that were checked.
    pub calls: usize,
    /// Violated guarantees, each with the seed of its round.
    pub violations: Vec<(u64, Violation)>,
}

/// Runs rounds until one violates a guarantee.
pub fn run(settings: &Settings) -> Result<Report, Box<str>> {
    let mut report = Report::default();
    for round in 0..settings.rounds {
        let seed = settings.seed + round as u64;
        let steps = schedule::generate(seed, settings.daemons);
        let remaining = without_skipped(&steps, &settings.skip);
        eprintln!("soak: seed {seed}, {} steps", remaining.len());
        let violations = run_schedule(settings, seed, &remaining, &mut report)?;
        report.rounds += 1;
        if violations.is_empty() {
            continue;
        }
        if settings.shrink {
            shrink(settings, seed, &steps)?;
        }
        let first = violations.into_iter().take(MAX_PRINTED);
        report.violations.extend(first.map(|violation| (seed, violation)));
        break;
    }
    Ok(report)
}

/// Returns the steps that are not in `skip`, ordered by time.
fn without_skipped(steps: &[Step], skip: &[usize]) -> Vec<Step> {
    let numbered = steps.iter().enumerate().filter(|(number, _)| !skip.contains(number));
    let mut remaining: Vec<Step> = numbered.map(|(_, step)| step.clone()).collect();
    remaining.sort_by_key(|step| step.at);
    remaining
}

/// Leaves out one step after the other and keeps each omission with which the round still
/// fails.
fn shrink(settings: &Settings, seed: u64, steps: &[Step]) -> Result<(), Box<str>> {
    let mut skip = settings.skip.clone();
    for number in 0..steps.len() {
        let candidate: Vec<usize> = skip.iter().copied().chain([number]).collect();
        let remaining = without_skipped(steps, &candidate);
        if !run_schedule(settings, seed, &remaining, &mut Report::default())?.is_empty() {
            skip = candidate;
        }
    }
    let skipped: Vec<String> = skip.iter().map(usize::to_string).collect();
    eprintln!("soak: still fails with --skip {}", skipped.join(","));
    Ok(())
}

/// Runs one schedule and returns the guarantees that it violated.
fn run_schedule(
    settings: &Settings,
    seed: u64,
    steps: &[Step],
    report: &mut Report,
) -> Result<Vec<Violation>, Box<str>> {
    let mut mesh =
        Mesh::start_with_organisations(settings.daemons, seed, settings.logs.as_deref())?;
    let callers = load::Callers::start(mesh.entries(), seed, mesh.demand());
    let started = Instant::now();
    std::thread::sleep(FAULT_FREE_PERIOD);
    for step in steps {
        while started.elapsed() < FAULT_FREE_PERIOD + step.at {
            std::thread::sleep(POLL_INTERVAL);
            mesh.revert_expired(started.elapsed())?;
        }
        eprintln!("  {:>6.2} s {:?}", started.elapsed().as_secs_f64(), step.fault);
        mesh.inject(step, started.elapsed())?;
        report.faults += 1;
    }
    while mesh.has_faults() {
        std::thread::sleep(POLL_INTERVAL);
        mesh.revert_expired(started.elapsed())?;
    }
    let faults_ended_at = Instant::now();
    let has_recovered = || callers.is_success_rate_restored() && mesh.is_ready();
    let recovery_time = crate::fleet::wait_until(RECOVERY_TIMEOUT, has_recovered);
    if recovery_time.is_none() {
        for line in mesh.describe() {
            eprintln!("  {line}");
        }
    }
    std::thread::sleep(CALM_PERIOD);
    let records = callers.stop();
    report.calls += records.len();
    let mut observations = mesh.collect();
    observations.recovered = recovery_time.is_some();
    let violations = check::find_violations(&records, &observations);
    eprintln!(
        "  {} calls, recovered after {:.1} s, {} guarantees violated",
        records.len(),
        recovery_time.unwrap_or(faults_ended_at.elapsed()).as_secs_f64(),
        violations.len()
    );
    for (kind, count) in count_by_kind(&violations) {
        eprintln!("  {count} of kind {kind}");
    }
    for violation in violations.iter().take(MAX_PRINTED) {
        eprintln!("  VIOLATION {violation}");
    }
    Ok(violations)
}

/// Counts the violations of each kind, under the name of its variant.
fn count_by_kind(violations: &[Violation]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        let text = format!("{violation:?}");
        let kind = text.split('(').next().unwrap_or_default();
        *counts.entry(kind.to_owned()).or_default() += 1;
    }
    counts
}

impl Report {
    /// Returns the report as a JSON object.
    pub fn json(&self) -> Value {
        let violations = self.violations.iter();
        json!({
            "rounds": self.rounds,
            "faults": self.faults,
            "calls": self.calls,
            "broken": violations.map(|(seed, v)| format!("seed {seed}: {v}")).collect::<Vec<_>>(),
        })
    }
}
