//! Measures the time that the two daemons on its path add to a call.
//!
//! One run compares three paths at the same rate: directly from caller to target, through two
//! relays that only forward bytes, and through an entry and a guard. The relays show the
//! minimum that two additional processes cost on the machine.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

use crate::fleet::{Fleet, Plan, ServicePlan, wait_for_listener};
use crate::load::{Load, Summary};
use crate::ports::free_address;
use crate::process::{self, Process, args_of};
use crate::tour::kind;

/// Duration of one measurement.
const DURATION: Duration = Duration::from_secs(6);
/// Rates in calls per second.
const RATES: [f64; 2] = [90.0, 1000.0];

const FILE: &str = r#"service = "echo"
answer_within = "1s"
probe_share = "1%"
hedge_share = "0%"

[[request]]
name = "echo"
method = "GET"
path = "/*"
repeat = "safe"
"#;

/// Measures all paths at each rate.
pub fn run(seed: u64) -> Result<Vec<Value>, Box<str>> {
    let service = ServicePlan {
        name: "echo".into(),
        targets: 1,
        slots: 64,
        service_time: Duration::ZERO,
        file: FILE.into(),
    };
    let data_centres = vec!["lahore-1".into()];
    let plan = Plan { data_centres, entries: 1, logs: None, ..Plan::single_service(service, seed) };
    let fleet = Fleet::start(plan)?;
    let target = fleet.hosts[0].target;
    let entry = fleet.hosts[1].callers;
    let (_target_relay, target_relay_address) = start_relay(target)?;
    let (_caller_relay, caller_relay_address) = start_relay(target_relay_address)?;
    warm_up(caller_relay_address, seed);
    warm_up(entry, seed);
    warm_up(target, seed);
    let mut results = Vec::new();
    for rate in RATES {
        let direct = measure(target, rate, seed);
        let relayed = measure(caller_relay_address, rate, seed);
        let before = processor_times(&fleet);
        let through = measure(entry, rate, seed);
        let after = processor_times(&fleet);
        let cpu_micros = |daemon: usize| {
            (after[daemon] - before[daemon]).as_secs_f64() * 1e6 / through.calls as f64
        };
        let added = |quantile| through.millis(quantile) - direct.millis(quantile);
        results.push(json!({
            "rate_per_s": rate,
            "direct_p50_ms": direct.millis(0.5),
            "direct_p99_ms": direct.millis(0.99),
            "relayed_p50_ms": relayed.millis(0.5),
            "relayed_p99_ms": relayed.millis(0.99),
            "through_p50_ms": through.millis(0.5),
            "through_p99_ms": through.millis(0.99),
            "added_to_relayed_p50_ms": through.millis(0.5) - relayed.millis(0.5),
            "added_to_relayed_p99_ms": through.millis(0.99) - relayed.millis(0.99),
            "added_p50_ms": added(0.5),
            "added_p99_ms": added(0.99),
            "guard_cpu_us_per_call": cpu_micros(0),
            "entry_cpu_us_per_call": cpu_micros(1),
        }));
    }
    Ok(results)
}

/// Starts a relay to `to` and returns its address.
fn start_relay(to: SocketAddr) -> Result<(Process, SocketAddr), Box<str>> {
    let listen = free_address()?;
    let flags = [("listen", listen.to_string()), ("to", to.to_string())];
    let process = process::start(&args_of("relay", flags), None)?;
    wait_for_listener(listen)?;
    Ok((process, listen))
}

fn warm_up(entry: SocketAddr, seed: u64) {
    let calls = kind("echo", "echo", "GET", "/warm", 300.0, 1000);
    Load::new(vec![calls], vec![entry], Duration::from_secs(1), &[], seed).run(async {});
}

fn measure(entry: SocketAddr, rate: f64, seed: u64) -> Summary {
    let calls = kind("echo", "echo", "GET", "/echo", rate, 1000);
    let load = Load::new(vec![calls], vec![entry], DURATION, &[], seed);
    Summary::from_records(&load.run(async {}))
}

fn processor_times(fleet: &Fleet) -> Vec<Duration> {
    let daemons = fleet.hosts.iter().filter_map(|host| host.daemon.as_ref());
    daemons.map(Process::processor_time).collect()
}
