//! Randomized soak: the real programs as processes, faults from outside, and
//! the promises checked from what callers and targets see.
//!
//! A seed gives a schedule of faults. Steps overlap: each lasts for some time
//! while later ones begin. A run stops after the first broken promise and can be
//! cut down to the steps that it needs.

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

/// Time for which callers send before the first fault, and after the last.
const CALM: Duration = Duration::from_secs(2);
/// Time between two looks whether a fault is over.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Broken promises of one round that are printed.
const MAX_PRINTED: usize = 10;
/// Time after the last fault within which calls are answered again.
const RECOVERY: Duration = Duration::from_secs(15);

/// What a soak is asked for.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Seed of the first round.
    pub seed: u64,
    /// Rounds, each with the next seed.
    pub rounds: usize,
    /// Daemons, each with a target.
    pub daemons: usize,
    /// Steps of the schedule that are left out, by number.
    pub skip: Vec<usize>,
    /// Cut a failing schedule down to the steps that it needs.
    pub shrink: bool,
    /// Folder for logs; `None` keeps none.
    pub logs: Option<PathBuf>,
}

/// What was seen in all rounds.
#[derive(Debug, Default)]
pub struct Report {
    /// Rounds that were played to their end.
    pub rounds: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// Calls that were judged.
    pub calls: usize,
    /// Promises that were broken, with the seed of the round.
    pub broken: Vec<(u64, Broken)>,
}

/// Plays rounds until one breaks a promise.
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

/// Leaves out each step in turn for as long as the round still fails.
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

/// Plays one schedule and returns the promises that were broken.
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
    /// One object for programs.
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
