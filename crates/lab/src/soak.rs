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
mod schedule;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use check::Broken;
use host::Mesh;
use schedule::Step;

/// Time without faults, under load, at the start and at the end of a round.
const CALM: Duration = Duration::from_secs(2);
/// Time between two checks whether a fault has to be reverted.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Violations of one round that are printed.
const MAX_PRINTED: usize = 10;
/// Time limit for the service to recover after the last fault.
const RECOVERY: Duration = Duration::from_secs(15);

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
    pub broken: Vec<(u64, Broken)>,
}

/// Runs rounds until one violates a guarantee.
pub fn run(settings: &Settings) -> Result<Report, Box<str>> {
    let mut report = Report::default();
    for round in 0..settings.rounds {
        let seed = settings.seed + round as u64;
        let steps = schedule::draw(seed, settings.daemons);
        let kept = kept(&steps, &settings.skip);
        eprintln!("soak: seed {seed}, {} steps", kept.len());
        let broken = play(settings, seed, &kept, &mut report)?;
        report.rounds += 1;
        if broken.is_empty() {
            continue;
        }
        if settings.shrink {
            shrink(settings, seed, &steps)?;
        }
        let first = broken.into_iter().take(MAX_PRINTED);
        report.broken.extend(first.map(|broken| (seed, broken)));
        break;
    }
    Ok(report)
}

fn kept(steps: &[Step], skip: &[usize]) -> Vec<Step> {
    let numbered = steps.iter().enumerate().filter(|(number, _)| !skip.contains(number));
    numbered.map(|(_, step)| step.clone()).collect()
}

/// Leaves out one step after the other and keeps each omission with which the round still
/// fails.
fn shrink(settings: &Settings, seed: u64, steps: &[Step]) -> Result<(), Box<str>> {
    let mut skip = settings.skip.clone();
    for number in 0..steps.len() {
        let tried: Vec<usize> = skip.iter().copied().chain([number]).collect();
        let fewer = kept(steps, &tried);
        if !play(settings, seed, &fewer, &mut Report::default())?.is_empty() {
            skip = tried;
        }
    }
    let skipped: Vec<String> = skip.iter().map(usize::to_string).collect();
    eprintln!("soak: still fails with --skip {}", skipped.join(","));
    Ok(())
}

/// Runs one schedule and returns the guarantees that it violated.
fn play(
    settings: &Settings,
    seed: u64,
    steps: &[Step],
    report: &mut Report,
) -> Result<Vec<Broken>, Box<str>> {
    let mut mesh = Mesh::start(settings.daemons, seed, settings.logs.as_deref())?;
    let callers = load::Callers::start(mesh.entries(), seed);
    let started = Instant::now();
    std::thread::sleep(CALM);
    for step in steps {
        while started.elapsed() < CALM + step.at {
            std::thread::sleep(LOOK_EVERY);
            mesh.undo_due(started.elapsed())?;
        }
        eprintln!("  {:>6.2} s {:?}", started.elapsed().as_secs_f64(), step.fault);
        mesh.inject(step, started.elapsed())?;
        report.faults += 1;
    }
    while mesh.has_faults() {
        std::thread::sleep(LOOK_EVERY);
        mesh.undo_due(started.elapsed())?;
    }
    let calm_at = Instant::now();
    let is_back = || callers.serves_well() && mesh.is_whole();
    let back = crate::fleet::wait_until(RECOVERY, is_back);
    if back.is_none() {
        for line in mesh.describe() {
            eprintln!("  {line}");
        }
    }
    std::thread::sleep(CALM);
    let records = callers.stop();
    report.calls += records.len();
    let mut seen = mesh.collect();
    seen.recovered = back.is_some();
    let broken = check::judge(&records, &seen);
    eprintln!(
        "  {} calls, back after {:.1} s, {} promises broken",
        records.len(),
        back.unwrap_or(calm_at.elapsed()).as_secs_f64(),
        broken.len()
    );
    for broken in broken.iter().take(MAX_PRINTED) {
        eprintln!("  BROKEN {broken}");
    }
    Ok(broken)
}

impl Report {
    /// Returns the report as a JSON object.
    pub fn json(&self) -> Value {
        let broken = self.broken.iter();
        json!({
            "rounds": self.rounds,
            "faults": self.faults,
            "calls": self.calls,
            "broken": broken.map(|(seed, b)| format!("seed {seed}: {b}")).collect::<Vec<_>>(),
        })
    }
}
