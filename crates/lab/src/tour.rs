//! The tour: runs both deployments at their current sizes, with a few seconds of calls of
//! each kind, a crash and a drain in between, and prints a report. Then it shows organisations,
//! one of which exceeds its quota.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;

use crate::deployment::{lahore, sangh};
use crate::fleet::{Fleet, Plan};
use crate::load::{Kind, Load, Record, Summary};
use crate::soak;

/// Duration of the calls.
const DURATION: Duration = Duration::from_secs(6);
/// Times at which one target crashes and another one is drained.
const CRASH_AT: Duration = Duration::from_secs(2);
const DRAIN_AT: Duration = Duration::from_secs(4);
/// Time until a crashed target is restarted.
const RESTART_AFTER: Duration = Duration::from_millis(500);

/// Runs the tour and prints its report. Returns `false` if a guarantee was violated.
pub fn run(seed: u64) -> Result<bool, Box<str>> {
    let mut has_no_violations = true;
    for (name, plan, kinds) in [
        ("Lahore", lahore("bronzeport", seed), lahore_kinds()),
        ("the sangh", sangh("bronzeport", seed), sangh_kinds()),
    ] {
        has_no_violations &= run_deployment(name, plan, kinds, seed)?;
    }
    eprintln!("organisations: starting a fleet in which one of them exceeds its quota");
    has_no_violations &= soak::tour::run(seed)? == 0;
    Ok(has_no_violations)
}

fn lahore_kinds() -> Vec<Kind> {
    vec![
        kind("notice", "ward-desk", "GET", "/notices/#", 800.0, 500),
        kind("archive", "ward-desk", "GET", "/archive/#", 100.0, 5000),
        kind("broadcast", "munadi-send", "POST", "/broadcasts", 8.0, 2000),
        kind("progress", "munadi-send", "GET", "/broadcasts/#", 200.0, 1000),
    ]
}

fn sangh_kinds() -> Vec<Kind> {
    vec![
        kind("slots", "slot-board", "GET", "/slots/#", 600.0, 500),
        kind("booking", "booking-desk", "POST", "/bookings", 8.0, 2000),
        kind("deposit", "booking-desk", "POST", "/deposits", 4.0, 2000),
        kind("state", "booking-desk", "GET", "/bookings/#", 150.0, 1000),
    ]
}

/// Returns a kind of call. Only calls with the method `GET` may be repeated.
pub fn kind(
    name: &str,
    service: &str,
    method: &str,
    path: &str,
    rate: f64,
    deadline_millis: u64,
) -> Kind {
    Kind {
        name: name.into(),
        service: service.into(),
        method: method.into(),
        path: path.into(),
        repeatable: method == "GET",
        deadline: Duration::from_millis(deadline_millis),
        rate,
        has_constant_rate: false,
        body: "".into(),
    }
}

fn run_deployment(name: &str, plan: Plan, kinds: Vec<Kind>, seed: u64) -> Result<bool, Box<str>> {
    let services: Vec<Box<str>> =
        plan.services.iter().map(|service| service.name.clone()).collect();
    eprintln!("{name}: starting {} data centres", plan.data_centres.len());
    let mut fleet = Fleet::start(plan)?;
    eprintln!("{name}: {} hosts are ready, calls for {DURATION:?}", fleet.hosts.len());
    let entries = fleet.hosts.iter().map(|host| host.callers).collect();
    let load = Load::new(kinds, entries, DURATION, &[], seed);
    let crashing = fleet.hosts_of(&services[0])[0];
    let draining = fleet.hosts_of(&services[0])[1];
    let records = run_with_faults(&mut fleet, &load, crashing, draining)?;
    fleet.collect_runs();
    let violations = report(name, &mut fleet, &records, &services);
    Ok(violations == 0)
}

fn run_with_faults(
    fleet: &mut Fleet,
    load: &Load,
    crashing: usize,
    draining: usize,
) -> Result<Vec<Record>, Box<str>> {
    let drained = fleet.hosts[draining].admin;
    std::thread::scope(|scope| {
        let calls = scope.spawn(|| load.run(async {}));
        std::thread::sleep(CRASH_AT);
        eprintln!("the target of host {crashing} crashes");
        if let Some(process) = &mut fleet.hosts[crashing].target_process {
            process.kill();
        }
        std::thread::sleep(RESTART_AFTER);
        fleet.start_target(crashing)?;
        std::thread::sleep(DRAIN_AT - CRASH_AT - RESTART_AFTER);
        eprintln!("the target of host {draining} drains");
        cli::admin::AdminClient::default().post(drained, "/drain", &json!(null))?;
        calls.join().map_err(|_| Box::from("the load generator panicked"))
    })
}

fn report(name: &str, fleet: &mut Fleet, records: &[Record], services: &[Box<str>]) -> usize {
    println!("\n{name}");
    println!("  kind        calls     ok  not-run unknown   p50 ms   p99 ms  p99.9 ms");
    let mut kinds: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in records {
        kinds.entry(&record.kind).or_default().push(record);
    }
    for (kind, records) in &kinds {
        let summary = Summary::from_records(records.iter().copied());
        let unknown = records.iter().filter(|record| &*record.outcome == "unknown").count();
        println!(
            "  {kind:<10} {:>6} {:>6} {:>8} {unknown:>7} {:>8.1} {:>8.1} {:>9.1}",
            summary.calls,
            summary.ok,
            summary.refused,
            summary.millis(0.5),
            summary.millis(0.99),
            summary.millis(0.999),
        );
    }
    report_reasons(records);
    for service in services {
        report_runs(fleet, service);
    }
    report_costs(fleet, records.len());
    report_violations(fleet, records)
}

fn report_reasons(records: &[Record]) {
    let mut reasons: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for record in records.iter().filter(|record| record.status != 200) {
        *reasons.entry((&record.outcome, &record.reason)).or_default() += 1;
    }
    for ((outcome, reason), count) in reasons {
        println!("  {count} calls ended as {outcome}: {reason}");
    }
}

fn report_runs(fleet: &Fleet, service: &str) {
    let hosts = fleet.hosts_of(service);
    let runs = hosts.iter().map(|index| fleet.hosts[*index].runs.len().to_string());
    println!("  runs at the targets of {service}: {}", runs.collect::<Vec<_>>().join(" "));
}

fn report_costs(fleet: &Fleet, calls: usize) {
    let total = |name| fleet.hosts.iter().map(|host| host.counter(name)).sum::<f64>();
    let probes = total("bronzeport_probes_total");
    println!(
        "  probes {probes} ({:.2}% of calls, none in a target's slot), retries {}, redirects {}, hedges {}",
        100.0 * probes / calls as f64,
        total("bronzeport_retries_total"),
        total("bronzeport_redirects_total"),
        total("bronzeport_hedges_total"),
    );
    println!("  platform {}", fleet.platform_counts());
}

/// Reports violations of guarantees and returns their number.
fn report_violations(fleet: &mut Fleet, records: &[Record]) -> usize {
    let once: Vec<&Record> = records.iter().filter(|record| !record.repeatable).collect();
    let is_at_most_once = |id: &str| once.iter().any(|record| *record.id == *id);
    let ran_twice = fleet.ran_twice(is_at_most_once).len();
    let wrong = records.iter().filter(|record| record.is_wrong).count();
    let not_run = records.iter().filter(|record| &*record.outcome == "not-run");
    let false_not_run = not_run.filter(|record| fleet.has_run(&record.id)).count();
    println!("  ran twice {ran_twice}, wrong answers {wrong}, false not-run {false_not_run}");
    ran_twice + wrong + false_not_run
}
