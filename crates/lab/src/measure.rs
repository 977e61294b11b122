//! Compares policies: each one gets the same arrivals on a new fleet.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fleet::{Fleet, Plan};
use crate::load::{Load, Record, Summary};
use crate::scenario::{Action, Scenario};

/// Measurement of one policy.
#[derive(Debug)]
pub struct Measurement {
    scenario: &'static str,
    policy: Box<str>,
    seed: u64,
    /// Summary of all calls.
    summary: Summary,
    /// Summary of the calls of the first kind, whose latency is reported.
    latency: Summary,
    retries: f64,
    redirects: f64,
    hedges: f64,
    probes: f64,
    /// Calls that entered through any daemon, including calls between targets.
    entered: f64,
    ran_twice: usize,
    false_not_run: usize,
    cut_off: usize,
    busy_shares: Vec<f64>,
    /// Successful answers that arrived while calls were being sent.
    good_in_time: usize,
    duration: Duration,
}

/// Runs a scenario under one policy.
pub fn run(
    scenario: &Scenario,
    policy: &str,
    seed: u64,
    records_to: Option<&Path>,
) -> Result<Measurement, Box<str>> {
    let plan: Plan = (scenario.plan)(policy, seed);
    let duration = scenario.duration;
    let mut fleet = Fleet::start(plan)?;
    for action in scenario.setup.iter().copied() {
        perform(&mut fleet, action)?;
    }
    let entries = fleet.hosts.iter().map(|host| host.callers).collect();
    let kinds = scenario.kinds.clone();
    let load = Load::new(kinds, entries, duration, &scenario.steps, seed);
    let records = run_with_actions(&mut fleet, &load, scenario)?;
    if let Some(path) = records_to {
        write_records(path, &records)?;
    }
    let is_at_most_once = |id: &str| scenario.is_at_most_once(id);
    let ran_twice = fleet.ran_twice(is_at_most_once).len();
    let not_run = records.iter().filter(|record| &*record.outcome == "not-run");
    let false_not_run = not_run.filter(|record| fleet.has_run(&record.id)).count();
    let cut_off = match scenario.kills_targets() {
        true => 0,
        false => records.iter().filter(|record| is_cut(record)).count(),
    };
    let total = |name| fleet.hosts.iter().map(|host| host.counter(name)).sum::<f64>();
    Ok(Measurement {
        scenario: scenario.name,
        policy: policy.into(),
        seed,
        retries: total("bronzeport_retries_total"),
        redirects: total("bronzeport_redirects_total"),
        hedges: total("bronzeport_hedges_total"),
        probes: total("bronzeport_probes_total"),
        entered: total("bronzeport_calls_total"),
        latency: Summary::from_records(
            records.iter().filter(|record| record.kind == scenario.kinds[0].name),
        ),
        good_in_time: records
            .iter()
            .filter(|record| record.status == 200 && record.at + record.latency <= duration)
            .count(),
        summary: Summary::from_records(&records),
        ran_twice,
        false_not_run,
        cut_off,
        busy_shares: busy_shares(&fleet, scenario.service, duration),
        duration,
    })
}

/// Writes each call as a line of text: intended time and latency in milliseconds, kind,
/// status, outcome, reason, node.
fn write_records(path: &Path, records: &[Record]) -> Result<(), Box<str>> {
    let mut text = String::new();
    for record in records {
        let Record { kind, status, outcome, reason, node, .. } = record;
        let (at, latency) = (record.at.as_millis(), record.latency.as_millis());
        text.push_str(&format!("{at} {latency} {kind} {status} {outcome} {reason} {node}\n"));
    }
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()).into())
}

fn is_cut(record: &Record) -> bool {
    matches!(&*record.reason, "cut" | "no-answer")
}

fn run_with_actions(
    fleet: &mut Fleet,
    load: &Load,
    scenario: &Scenario,
) -> Result<Vec<Record>, Box<str>> {
    std::thread::scope(|scope| {
        let calls = scope.spawn(|| load.run(async {}));
        let start = Instant::now();
        for (at, action) in scenario.actions.iter().copied() {
            std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
            perform(fleet, action)?;
        }
        while scenario.restarts_targets && !calls.is_finished() {
            restart_exited_targets(fleet)?;
            std::thread::sleep(Duration::from_millis(200));
        }
        calls.join().map_err(|_| Box::from("the load generator panicked"))
    })
}

fn perform(fleet: &mut Fleet, action: Action) -> Result<(), Box<str>> {
    match action {
        Action::SetTarget(index, behaviour) => {
            fleet.hosts[index].set_target_behaviour(&behaviour());
        }
        Action::SetAllTargets(behaviour) => {
            for host in &fleet.hosts {
                host.set_target_behaviour(&behaviour());
            }
        }
        Action::KillTarget(index) => {
            if let Some(process) = &mut fleet.hosts[index].target_process {
                process.kill();
            }
        }
        Action::StartTarget(index) => fleet.start_target(index)?,
        Action::StopDaemon(index) => {
            if let Some(daemon) = &fleet.hosts[index].daemon {
                daemon.signal("TERM");
            }
        }
        Action::Drain(index) => {
            cli::admin::AdminClient::default().post(
                fleet.hosts[index].admin,
                "/drain",
                &json!(null),
            )?;
        }
        Action::SetPlatform(faults) => fleet.set_faults(&faults()),
        Action::ChainThrough(service, depth) => {
            for host in &fleet.hosts {
                let entry = host.callers.to_string();
                host.set_target_behaviour(
                    &json!({ "entry": entry, "service": service, "depth": depth }),
                );
            }
        }
    }
    Ok(())
}

fn restart_exited_targets(fleet: &mut Fleet) -> Result<(), Box<str>> {
    for index in 0..fleet.hosts.len() {
        let process = &mut fleet.hosts[index].target_process;
        if process.as_mut().is_some_and(|process| process.has_exited()) {
            fleet.start_target(index)?;
        }
    }
    Ok(())
}

/// Returns, for each target of a service, the share of its slots' time in which they were
/// busy.
fn busy_shares(fleet: &Fleet, service: &str, duration: Duration) -> Vec<f64> {
    let hosts = fleet.hosts_of(service).into_iter().map(|index| &fleet.hosts[index]);
    let shares = hosts.map(|host| {
        let state = host.set_target_behaviour(&json!({})).unwrap_or_default();
        let busy = state["busy_us"].as_f64().unwrap_or_default() / 1e6;
        busy / (duration.as_secs_f64() * fleet.slots_of(service) as f64)
    });
    shares.collect()
}

impl Measurement {
    /// Returns the measurement as a JSON object.
    pub fn json(&self) -> Value {
        let calls = self.entered.max(self.summary.calls as f64);
        let round = |value: f64| (value.max(0.0) * 1e4).round() / 1e4;
        let least = self.busy_shares.iter().copied().fold(f64::INFINITY, f64::min);
        let most = self.busy_shares.iter().copied().fold(0.0, f64::max);
        json!({
            "scenario": self.scenario,
            "policy": *self.policy,
            "seed": self.seed,
            "calls": self.summary.calls,
            "ok": self.summary.ok,
            "refused": self.summary.refused,
            "p50_ms": round(self.latency.millis(0.5)),
            "p99_ms": round(self.latency.millis(0.99)),
            "p999_ms": round(self.latency.millis(0.999)),
            "goodput_per_s": round(self.good_in_time as f64 / self.duration.as_secs_f64()),
            "probes": self.probes as u64,
            "probe_share": round(self.probes / calls),
            "retries": self.retries as u64,
            "redirects": self.redirects as u64,
            "hedges": self.hedges as u64,
            "ran_twice": self.ran_twice,
            "wrong_answer": self.summary.wrong,
            "false_not_run": self.false_not_run,
            "cut_off": self.cut_off,
            "busy_share_min": round(least),
            "busy_share_max": round(most),
        })
    }

    /// Whether no guarantee was violated.
    pub fn has_no_violations(&self) -> bool {
        self.ran_twice + self.summary.wrong + self.false_not_run + self.cut_off == 0
    }
}
