//! Checks of evacuations and cold targets.

use std::collections::{HashMap, VecDeque};

use super::{Run, Violation, is_fault_free};
use crate::soak::host::{COLD_PER_SECOND, DATA_CENTRES, Observations, TargetOutput};
use crate::soak::load::Record;

/// Time after the acknowledgement of an evacuation from which on no request is sent there.
const EVACUATION_LIMIT_MS: u64 = 5_000;
/// Requests to a cold target in a second: a multiple of its rate plus a constant.
const COLD_FACTOR: f64 = 1.5;
const COLD_SLACK: f64 = 8.0;
const COLD_WINDOW_MS: u64 = 1_000;

pub(super) fn check(
    records: &[Record],
    runs: &[Run],
    observations: &Observations,
) -> Vec<Violation> {
    let mut violations = check_evacuation(records, runs, observations);
    violations.extend(observations.target_outputs.iter().filter_map(check_cold));
    violations
}

/// Checks that calm entries send nothing to calm hosts of an evacuated data centre.
fn check_evacuation(
    records: &[Record],
    runs: &[Run],
    observations: &Observations,
) -> Vec<Violation> {
    let by_id: HashMap<&str, &Record> =
        records.iter().map(|record| (&*record.id, record)).collect();
    let mut violations = Vec::new();
    for evacuation in &observations.evacuations {
        let from = evacuation.acked_ms + EVACUATION_LIMIT_MS;
        let is_judged = |run: &&Run| {
            run.host % DATA_CENTRES == evacuation.data_centre
                && (from..evacuation.until_ms).contains(&run.at_ms)
        };
        // A fault on the way delays a request that was sent before.
        let is_calm = |entry: usize, run: &Run| {
            is_fault_free(observations, entry, run.at_ms)
                && is_fault_free(observations, run.host, run.at_ms)
        };
        let late = runs.iter().filter(is_judged).filter_map(|run| {
            let record = by_id.get(&*run.id).filter(|record| is_calm(record.entry, run))?;
            Some(Violation::RanInEvacuated(format!(
                "{} from entry {} ran at host {} {} ms after the evacuation of its data centre",
                run.id,
                record.entry,
                run.host,
                run.at_ms - evacuation.acked_ms
            )))
        });
        violations.extend(late);
        let is_sent_meanwhile = |record: &&Record| {
            (from..evacuation.until_ms).contains(&record.sent_ms)
                && is_fault_free(observations, record.entry, record.done_ms)
        };
        let judged = records.iter().filter(is_sent_meanwhile).count();
        eprintln!("  evacuation: {judged} requests at calm entries");
    }
    violations
}

/// Checks that a target gets no more requests in any second while it is cold than it handles.
fn check_cold(output: &TargetOutput) -> Option<Violation> {
    let mut most = 0;
    let allowed = COLD_PER_SECOND * COLD_FACTOR + COLD_SLACK;
    let mut cold_until = 0;
    let mut recent: VecDeque<u64> = VecDeque::new();
    for line in &output.lines {
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["cold", at, remaining] => {
                let number = |text: &str| text.parse::<u64>().unwrap_or(0);
                cold_until = number(at) + number(remaining);
            }
            ["run" | "shed", at, ..] => {
                let at: u64 = at.parse().unwrap_or(0);
                recent.push_back(at);
                recent.retain(|earlier| earlier + COLD_WINDOW_MS > at);
                if at < cold_until {
                    most = most.max(recent.len());
                }
            }
            _ => {}
        }
    }
    eprintln!("  cold target of host {}: at most {most} requests in a second", output.host);
    (most as f64 > allowed).then(|| {
        let host = output.host;
        Violation::ColdExceeded(format!(
            "the cold target of host {host} got {most} requests in a second, {allowed} allowed"
        ))
    })
}
