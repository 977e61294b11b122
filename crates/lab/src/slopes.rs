//! Measures how the costs of a daemon grow with the fleet, its calls and its configuration.
//!
//! Each result is one JSON object. `docs/CAPACITY.md` derives the target size from these
//! slopes.

use std::time::{Duration, Instant};

use member::{Kind, Member, Members, Message, State};
use serde_json::{Value, json};

use crate::fleet::{Fleet, Plan, ServicePlan, wait_until};
use crate::load::Load;
use crate::process::Process;
use crate::tour::kind;

/// Time over which an idle fleet is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(20);
/// Numbers of daemons of the observed fleets.
const FLEET_SIZES: [usize; 4] = [10, 30, 100, 250];
/// Numbers of services of the published configurations.
const SERVICE_COUNTS: [usize; 3] = [20, 200, 2000];
/// Sizes of the member lists that are measured in this process.
const LIST_SIZES: [u64; 4] = [100, 1000, 5000, 25_000];

const DESK: &str = r#"service = "desk"
answer_within = "2s"

[[request]]
name = "order"
method = "POST"
path = "/orders"
repeat = "never"
"#;

/// Measures all slopes and passes each result to `report`.
pub fn run(seed: u64, report: impl Fn(Value)) -> Result<(), Box<str>> {
    for count in LIST_SIZES {
        report(list_costs(count));
    }
    for daemons in FLEET_SIZES {
        report(idle_costs(daemons, seed)?);
    }
    for services in SERVICE_COUNTS {
        report(configuration_costs(services, seed)?);
    }
    report(claim_costs(seed)?);
    Ok(())
}

fn plan(entries: usize, targets: usize, seed: u64) -> Plan {
    let service = ServicePlan {
        name: "desk".into(),
        targets,
        slots: 12,
        service_time: Duration::from_millis(5),
        file: DESK.into(),
    };
    Plan { entries, logs: None, ..Plan::single_service(service, seed) }
}

/// Measures traffic, processor time and memory of a daemon without calls.
fn idle_costs(daemons: usize, seed: u64) -> Result<Value, Box<str>> {
    let fleet = Fleet::start(plan(daemons, 0, seed))?;
    // Gossip about the start-up is over after this time.
    std::thread::sleep(Duration::from_secs(10));
    let before = totals(&fleet);
    let started = Instant::now();
    std::thread::sleep(OBSERVATION_TIME);
    let seconds = started.elapsed().as_secs_f64() * daemons as f64;
    let after = totals(&fleet);
    let each = |of: fn(&Totals) -> f64| (of(&after) - of(&before)) / seconds;
    Ok(json!({
        "slope": "members",
        "daemons": daemons,
        "gossip_sent_bytes_per_s": each(|t| t.sent_bytes),
        "gossip_received_bytes_per_s": each(|t| t.received_bytes),
        "gossip_sent_per_s": each(|t| t.sent),
        "member_syncs_per_s": each(|t| t.syncs),
        "cpu_share_of_core": each(|t| t.processor),
        "memory_mb": after.memory / 1e6 / daemons as f64,
        "platform_reads_per_s": each(|t| t.reads) * daemons as f64,
        "platform_writes_per_s": each(|t| t.writes) * daemons as f64,
    }))
}

struct Totals {
    sent_bytes: f64,
    received_bytes: f64,
    sent: f64,
    syncs: f64,
    processor: f64,
    memory: f64,
    reads: f64,
    writes: f64,
}

fn totals(fleet: &Fleet) -> Totals {
    let total = |name| fleet.hosts.iter().map(|host| host.counter(name)).sum();
    let daemons = || fleet.hosts.iter().filter_map(|host| host.daemon.as_ref());
    let counts = fleet.platform_counts();
    Totals {
        sent_bytes: total("bronzeport_gossip_sent_bytes_total"),
        received_bytes: total("bronzeport_gossip_received_bytes_total"),
        sent: total("bronzeport_gossip_sent_total"),
        syncs: total("bronzeport_member_syncs_total"),
        processor: daemons().map(Process::processor_time).sum::<Duration>().as_secs_f64(),
        memory: daemons().map(Process::memory).sum::<u64>() as f64,
        reads: counts["reads"].as_f64().unwrap_or_default(),
        writes: counts["writes"].as_f64().unwrap_or_default(),
    }
}

/// Measures the memory of a daemon with many services, and the time until a change of one
/// service is in force on all daemons.
fn configuration_costs(services: usize, seed: u64) -> Result<Value, Box<str>> {
    let fleet = Fleet::start(plan(30, 0, seed))?;
    let memory_before = totals(&fleet).memory;
    let file = |name: &str| (Box::from(name), DESK.replace("desk", name).into());
    let files: Vec<(Box<str>, Box<str>)> =
        (0..services).map(|number| file(&format!("s{number}"))).collect();
    // A transaction of the store is limited to some hundred rows.
    for part in files.chunks(200) {
        fleet.set_faults(&json!({ "writes_per_second": 1e6 }));
        fleet.publish(part)?;
    }
    let bytes: usize = files.iter().map(|(_, body)| body.len()).sum();
    let mut spreads = Vec::new();
    for round in 0..5 {
        let body = DESK.replace("desk", "s0").replace("2s", &format!("{}s", round + 3));
        let started = Instant::now();
        let revision = fleet.publish(&[("s0".into(), body.into())])?;
        let is_everywhere = || {
            fleet
                .hosts
                .iter()
                .all(|host| host.counter("bronzeport_config_revision") >= revision as f64)
        };
        wait_until(Duration::from_secs(20), is_everywhere)
            .ok_or("the configuration was not in force on all daemons within 20 s")?;
        spreads.push(started.elapsed().as_millis());
    }
    spreads.sort_unstable();
    let memory_growth = (totals(&fleet).memory - memory_before) / fleet.hosts.len() as f64;
    Ok(json!({
        "slope": "services",
        "services": services,
        "file_bytes": bytes,
        "memory_grown_mb": memory_growth / 1e6,
        "spread_ms_median_of_5": spreads[2],
        "spread_ms_most": spreads[4],
        "daemons": fleet.hosts.len(),
    }))
}

/// Measures the rows written and read for each request that may not be repeated.
fn claim_costs(seed: u64) -> Result<Value, Box<str>> {
    let fleet = Fleet::start(plan(0, 4, seed))?;
    let before = fleet.platform_counts();
    let calls = kind("order", "desk", "POST", "/orders", 30.0, 2000);
    let entries = fleet.hosts.iter().map(|host| host.callers).collect();
    let load = Load::new(vec![calls], entries, Duration::from_secs(10), &[], seed);
    let records = load.run(async {});
    std::thread::sleep(Duration::from_secs(1));
    let after = fleet.platform_counts();
    let each = |key: &str| {
        let spent =
            after[key].as_f64().unwrap_or_default() - before[key].as_f64().unwrap_or_default();
        spent / records.len() as f64
    };
    let summary = crate::load::Summary::from_records(&records);
    Ok(json!({
        "slope": "claims",
        "calls": records.len(),
        "ok": summary.ok,
        "writes_per_call": each("writes"),
        "reads_per_call": each("reads"),
        "p50_ms": summary.millis(0.5),
        "p99_ms": summary.millis(0.99),
    }))
}

fn sample_member(node: u64) -> Member {
    Member {
        node: (1 << 60) + node,
        incarnation: 0,
        state: State::Alive,
        address: format!("10.{}.{}.{}:8100", node >> 16, (node >> 8) & 255, node & 255).into(),
        data_centre: format!("centre-{}", node % 34).into(),
        service: format!("service-{}", node % 2000).into(),
        slots: 12,
    }
}

/// Measures the time that each operation on a member list of `count` entries takes.
fn list_costs(count: u64) -> Value {
    let mut now = Instant::now();
    let mut members = Members::new(now, sample_member(0), 1);
    let started = Instant::now();
    members.merge(now, (1..count).map(sample_member).collect());
    let merge_time = started.elapsed();
    const TICKS: u32 = 600;
    let started = Instant::now();
    for _ in 0..TICKS {
        now += Duration::from_millis(100);
        members.tick(now);
    }
    let tick_time = started.elapsed() / TICKS;
    let message = |sequence: u64, digest| Message {
        kind: Kind::Ping,
        sequence,
        sender: sample_member(1 + sequence % (count - 1)),
        subject: 0,
        updates: vec![Member { incarnation: sequence, ..sample_member(2) }],
        digest,
    };
    let started = Instant::now();
    for sequence in 0..u64::from(TICKS) {
        let digest = members.digest();
        members.receive(now, message(sequence, digest));
        members.take_updates();
    }
    let receive_time = started.elapsed() / TICKS;
    let started = Instant::now();
    let copied: Vec<Member> = members.all().cloned().collect();
    let copy_time = started.elapsed();
    let bytes: usize = copied.iter().map(heap_bytes).sum();
    json!({
        "slope": "list",
        "members": count,
        "learn_us": merge_time.as_secs_f64() * 1e6 / count as f64,
        "tick_us": tick_time.as_secs_f64() * 1e6,
        "datagram_us": receive_time.as_secs_f64() * 1e6,
        "copy_ms": copy_time.as_secs_f64() * 1e3,
        "copy_kb": bytes / 1024,
    })
}

fn heap_bytes(member: &Member) -> usize {
    let texts = [&member.address, &member.data_centre, &member.service];
    size_of::<Member>()
        + texts.iter().map(|text| text.len().next_multiple_of(16) + 16).sum::<usize>()
}
