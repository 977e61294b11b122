//! Fault-injection rounds on the project's own caller interface: faults during calls,
//! publications and a drain, with a count of every violated guarantee.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fleet::{Fleet, Plan, ServicePlan, wait_until};
use crate::load::{Load, Record};
use crate::process::Process;
use crate::tour::kind;

/// Duration of the calls of one round.
const ROUND_DURATION: Duration = Duration::from_secs(6);
/// Time limit for a publication to be in force on all daemons.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a draining target must not get new requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
const TARGETS: usize = 4;

const DESK: &str = r#"service = "desk"
answer_within = "1s"

[[request]]
name = "read"
method = "GET"
path = "/read/*"
repeat = "safe"

[[request]]
name = "order"
method = "POST"
path = "/orders"
repeat = "never"
"#;

/// Counts over all rounds.
#[derive(Debug, Default)]
pub struct Counts {
    rounds: usize,
    faults: usize,
    restores: usize,
    calls: usize,
    publishes: usize,
    ran_twice: usize,
    wrong_answer: usize,
    false_not_run: usize,
    cut_off: usize,
    reverted: usize,
    late_config: usize,
    late_drain: usize,
}

/// Time within which an order is sent again. Most faults last for less.
const RESEND_PERIOD: Duration = Duration::from_millis(2500);
/// One in this many faults is accompanied by a restore of the store from a copy that was made
/// before it.
const FAULTS_PER_RESTORE: u8 = 3;
/// Time for which the store is away before it comes back from a copy.
const RESTORE_DURATION: Duration = Duration::from_millis(200);

/// A fault. Each one is reverted before the next one is injected.
#[derive(Debug, Clone, Copy)]
enum Fault {
    KillDaemon(usize),
    KillTarget(usize),
    PauseDaemon(usize),
    PauseTarget(usize),
    PlatformDown,
    PlatformSilent,
    PlatformSlow,
    AnswersLost,
    StopDaemon(usize),
}

/// Runs `rounds` rounds and stops after the first one that violates a guarantee.
pub fn run(seed: u64, rounds: usize) -> Result<Counts, Box<str>> {
    let mut counts = Counts::default();
    for round in 0..rounds {
        let seed = seed.wrapping_mul(1000) + round as u64;
        eprintln!("round {round}, seed {seed}");
        run_round(seed, &mut counts)?;
        counts.rounds += 1;
        if !counts.has_no_violations() {
            eprintln!("the round with seed {seed} violated a guarantee");
            break;
        }
    }
    Ok(counts)
}

fn run_round(seed: u64, counts: &mut Counts) -> Result<(), Box<str>> {
    let mut fleet = Fleet::start(plan(seed))?;
    let mut random = fastrand::Rng::with_seed(seed);
    // Drawn apart from the faults, so that a seed keeps these.
    let mut restores = random.clone();
    restores.u64(..);
    let kinds = vec![
        kind("read", "desk", "GET", "/read/#", 100.0, 1000),
        kind("order", "desk", "POST", "/orders", 20.0, 1000),
    ];
    let entries = fleet.hosts.iter().map(|host| host.callers).collect();
    // Sends each order twice, through two consecutive daemons.
    let load = Load::new(kinds, entries, ROUND_DURATION, &[], seed)
        .with_duplicates("order", RESEND_PERIOD);
    let records = std::thread::scope(|scope| {
        let calls = scope.spawn(|| load.run(async {}));
        while !calls.is_finished() {
            let fault = pick_fault(&mut random);
            counts.faults += 1;
            let is_restored = restores.u8(..FAULTS_PER_RESTORE) == 0;
            if is_restored {
                fleet.set_faults(&json!({ "copy": true }));
            }
            counts.cut_off += inject(&mut fleet, fault, &mut random)?;
            if is_restored {
                counts.restores += 1;
                eprintln!("  the store comes back from a copy made before");
                fleet.set_faults(&json!({ "down": true }));
                std::thread::sleep(RESTORE_DURATION);
                fleet.set_faults(&json!({ "down": false, "restore": true }));
            }
            publish(&fleet, counts)?;
        }
        calls.join().map_err(|_| Box::<str>::from("the load generator panicked"))
    })?;
    counts.calls += records.len();
    check_calls(&mut fleet, &records, counts);
    check_drain(&mut fleet, counts)?;
    Ok(())
}

fn plan(seed: u64) -> Plan {
    let service = ServicePlan {
        name: "desk".into(),
        targets: TARGETS,
        slots: 8,
        service_time: Duration::from_millis(30),
        file: DESK.into(),
    };
    Plan::single_service(service, seed)
}

fn pick_fault(random: &mut fastrand::Rng) -> Fault {
    let host = random.usize(..TARGETS);
    match random.u8(..9) {
        0 => Fault::KillDaemon(host),
        1 => Fault::KillTarget(host),
        2 => Fault::PauseDaemon(host),
        3 => Fault::PauseTarget(host),
        4 => Fault::PlatformDown,
        5 => Fault::PlatformSilent,
        6 => Fault::PlatformSlow,
        7 => Fault::AnswersLost,
        _ => Fault::StopDaemon(host),
    }
}

/// Injects a fault and reverts it. Returns the number of planned stops that cut requests off.
fn inject(fleet: &mut Fleet, fault: Fault, random: &mut fastrand::Rng) -> Result<usize, Box<str>> {
    let duration = Duration::from_millis(random.u64(100..900));
    eprintln!("  {fault:?} for {duration:?}");
    let mut cut_off = 0;
    match fault {
        Fault::KillDaemon(host) => {
            fleet.hosts[host].daemon = None;
            std::thread::sleep(duration);
            fleet.start_daemon(host)?;
        }
        Fault::KillTarget(host) => {
            if let Some(target) = &mut fleet.hosts[host].target_process {
                target.kill();
            }
            std::thread::sleep(duration);
            fleet.start_target(host)?;
        }
        Fault::PauseDaemon(host) => pause(fleet.hosts[host].daemon.as_ref(), duration),
        Fault::PauseTarget(host) => pause(fleet.hosts[host].target_process.as_ref(), duration),
        Fault::PlatformDown => {
            with_platform_fault(fleet, "down", json!(true), json!(false), duration)
        }
        Fault::PlatformSilent => {
            with_platform_fault(fleet, "silent", json!(true), json!(false), duration)
        }
        Fault::PlatformSlow => {
            with_platform_fault(fleet, "slow_ms", json!(200), json!(1), duration)
        }
        Fault::AnswersLost => {
            with_platform_fault(fleet, "lose_answers", json!(0.5), json!(0.0), duration)
        }
        Fault::StopDaemon(host) => {
            if let Some(mut daemon) = fleet.hosts[host].daemon.take() {
                daemon.signal("TERM");
                let status = daemon.wait(Duration::from_secs(10));
                cut_off = usize::from(!status.is_some_and(|status| status.success()));
            }
            fleet.start_daemon(host)?;
        }
    }
    Ok(cut_off)
}

fn pause(process: Option<&Process>, duration: Duration) {
    if let Some(process) = process {
        process.signal("STOP");
        std::thread::sleep(duration);
        process.signal("CONT");
    }
}

fn with_platform_fault(fleet: &Fleet, key: &str, fault: Value, reset: Value, duration: Duration) {
    fleet.set_faults(&json!({ key: fault }));
    std::thread::sleep(duration);
    fleet.set_faults(&json!({ key: reset }));
}

/// Publishes a change, takes the platform down right afterwards for every second publication,
/// and checks the revision of every daemon.
fn publish(fleet: &Fleet, counts: &mut Counts) -> Result<(), Box<str>> {
    let seconds = 1 + counts.publishes % 50;
    let body = DESK.replace("1s", &format!("{seconds}001ms"));
    let before: Vec<u64> = revisions(fleet);
    let Ok(revision) = fleet.publish(&[("desk".into(), body.into())]) else {
        return Ok(());
    };
    counts.publishes += 1;
    let is_down = counts.publishes.is_multiple_of(2);
    fleet.set_faults(&json!({ "down": is_down }));
    let is_everywhere = || revisions(fleet).iter().all(|current| *current >= revision);
    if wait_until(CONFIG_TIMEOUT, is_everywhere).is_none() {
        eprintln!("  revision {revision} is not in force everywhere: {:?}", revisions(fleet));
        counts.late_config += 1;
    }
    fleet.set_faults(&json!({ "down": false }));
    let after = revisions(fleet);
    let is_lower = |(before, after): (&u64, &u64)| after < before && *after > 0;
    counts.reverted += before.iter().zip(&after).filter(|pair| is_lower(*pair)).count();
    Ok(())
}

fn revisions(fleet: &Fleet) -> Vec<u64> {
    let states = fleet.hosts.iter().map(|host| host.state().unwrap_or_default());
    states.map(|state| state["revision"].as_u64().unwrap_or(0)).collect()
}

fn check_calls(fleet: &mut Fleet, records: &[Record], counts: &mut Counts) {
    std::thread::sleep(Duration::from_millis(300));
    let ran_twice = fleet.ran_twice(|id| id.starts_with("order"));
    counts.ran_twice += ran_twice.len();
    counts.wrong_answer += records.iter().filter(|record| record.is_wrong).count();
    let reported_not_run = records.iter().filter(|record| &*record.outcome == "not-run");
    let reported_not_run: Vec<Box<str>> =
        reported_not_run.map(|record| record.id.clone()).collect();
    let false_not_run: Vec<Box<str>> =
        reported_not_run.into_iter().filter(|id| fleet.has_run(id)).collect();
    counts.false_not_run += false_not_run.len();
    if !ran_twice.is_empty() || !false_not_run.is_empty() {
        eprintln!("  ran twice: {ran_twice:?}, reported as not-run but ran: {false_not_run:?}");
        print_records(fleet, &[ran_twice, false_not_run].concat());
    }
}

/// Prints what the running daemons know about requests and have logged about themselves.
fn print_records(fleet: &Fleet, ids: &[Box<str>]) {
    let admin = cli::admin::AdminClient::default();
    for (number, host) in fleet.hosts.iter().enumerate() {
        for id in ids {
            match admin.get(host.admin, &format!("/explain?id={id}")) {
                Ok(records) => eprintln!("  daemon {number}: {records:#}"),
                Err(error) => eprintln!("  daemon {number}: {error}"),
            }
        }
        let lines = host.daemon.as_ref().map(Process::lines).unwrap_or_default();
        for line in lines.iter().filter(|line| line.contains("\"text\"")) {
            eprintln!("  daemon {number}: {line}");
        }
        let runs = host.runs.iter().filter(|run| ids.contains(run));
        runs.for_each(|id| eprintln!("  target {number}: ran {id}"));
    }
}

/// Drains one target and then sends calls through all daemons.
fn check_drain(fleet: &mut Fleet, counts: &mut Counts) -> Result<(), Box<str>> {
    fleet.wait_until_ready(Duration::from_secs(40))?;
    let admin_address = fleet.hosts[0].admin;
    cli::admin::AdminClient::default().post(admin_address, "/drain", &Value::Null)?;
    let drained_at = Instant::now();
    std::thread::sleep(DRAIN_TIMEOUT.saturating_sub(drained_at.elapsed()));
    fleet.collect_runs();
    let before = fleet.hosts[0].runs.len();
    let entries = fleet.hosts.iter().map(|host| host.callers).collect();
    let reads = kind("read", "desk", "GET", "/read/#", 100.0, 1000);
    let load = Load::new(vec![reads], entries, Duration::from_millis(500), &[], 1);
    counts.calls += load.run(async {}).len();
    fleet.collect_runs();
    counts.late_drain += fleet.hosts[0].runs.len() - before;
    Ok(())
}

impl Counts {
    /// Whether no guarantee was violated.
    pub fn has_no_violations(&self) -> bool {
        let violations = [
            self.ran_twice,
            self.wrong_answer,
            self.false_not_run,
            self.cut_off,
            self.reverted,
            self.late_config,
            self.late_drain,
        ];
        violations.iter().sum::<usize>() == 0
    }

    /// Returns the counts as a JSON object.
    pub fn json(&self) -> Value {
        json!({
            "rounds": self.rounds,
            "faults": self.faults,
            "restores": self.restores,
            "calls": self.calls,
            "publishes": self.publishes,
            "ran_twice": self.ran_twice,
            "wrong_answer": self.wrong_answer,
            "false_not_run": self.false_not_run,
            "cut_off": self.cut_off,
            "reverted": self.reverted,
            "late_config": self.late_config,
            "late_drain": self.late_drain,
        })
    }
}
