//! Scenarios of `lab measure`.

use std::time::Duration;

use serde_json::{Value, json};

use crate::deployment::{lahore, sangh};
use crate::fleet::Plan;
use crate::load::{Kind, Step};
use crate::tour::kind;

/// Duration of the calls of a scenario, and the time of its fault.
const DURATION: Duration = Duration::from_secs(6);
const FAULT_AT: Duration = Duration::from_secs(2);
/// Mean service time of the measured service.
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// Capacity of the measured service in calls per second.
const LAHORE_CAPACITY: f64 = 7.0 * 12.0 / 0.040;
const SANGH_CAPACITY: f64 = 7.0 * 9.0 / 0.040;

/// An action on the fleet.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    /// Sets the behaviour of a host's target.
    SetTarget(usize, fn() -> Value),
    /// Sets the behaviour of all targets.
    SetAllTargets(fn() -> Value),
    /// Kills the target of a host.
    KillTarget(usize),
    /// Starts the target of a host.
    StartTarget(usize),
    /// Stops the daemon of a host with TERM.
    StopDaemon(usize),
    /// Drains the target of a host.
    Drain(usize),
    /// Sets the platform's faults.
    SetPlatform(fn() -> Value),
    /// Makes each target call a service through its daemon, up to a depth.
    ChainThrough(&'static str, u64),
}

/// A fleet, the calls to it and the actions on it.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: &'static str,
    /// Function that returns the fleet's plan for a policy and a seed.
    pub plan: fn(&str, u64) -> Plan,
    /// Name of the measured service.
    pub service: &'static str,
    /// Kinds of calls.
    pub kinds: Vec<Kind>,
    /// Changes of the call rate.
    pub steps: Vec<Step>,
    /// Actions before the calls.
    pub setup: Vec<Action>,
    /// Actions during the calls, each with its time.
    pub actions: Vec<(Duration, Action)>,
    /// Whether targets that exited are restarted.
    pub restarts_targets: bool,
    /// Duration of the calls.
    pub duration: Duration,
}

/// Names of all scenarios.
pub const NAMES: [&str; 12] = [
    "rush",
    "wedding",
    "straggler",
    "fail-fast",
    "cold-start",
    "drain",
    "crash-request",
    "store-down",
    "noisy",
    "overload",
    "chain-5",
    "chain-21",
];

/// Returns the scenario with a name.
pub fn find(name: &str) -> Option<Scenario> {
    let scenario = match name {
        "rush" => rush(),
        "wedding" => wedding(),
        "straggler" => at_load("straggler", 0.6, vec![(FAULT_AT, slow_down())]),
        "fail-fast" => at_load("fail-fast", 0.6, vec![(FAULT_AT, fail_fast())]),
        "cold-start" => at_load("cold-start", 0.7, cold_start()),
        "drain" => at_load("drain", 0.6, drain()),
        "crash-request" => crash_request(),
        "store-down" => store_down(),
        "noisy" => noisy(),
        "overload" => at_load("overload", 1.5, Vec::new()),
        "chain-5" => chain("chain-5", 5),
        "chain-21" => chain("chain-21", 21),
        _ => return None,
    };
    Some(scenario)
}

impl Scenario {
    /// Whether an id belongs to a request that may not be repeated.
    pub fn is_at_most_once(&self, id: &str) -> bool {
        let once = self.kinds.iter().filter(|kind| !kind.repeatable);
        once.into_iter().any(|kind| id.starts_with(&*kind.name))
    }

    /// Whether targets are killed, so that calls may be cut.
    pub fn kills_targets(&self) -> bool {
        let is_kill = |action: &Action| matches!(action, Action::KillTarget(_));
        self.restarts_targets || self.actions.iter().any(|(_, action)| is_kill(action))
    }
}

/// Lahore with only the measured service.
fn ward_desk(policy: &str, seed: u64) -> Plan {
    with_first_service_only(lahore(policy, seed))
}

/// The sangh with only the measured service.
fn slot_board(policy: &str, seed: u64) -> Plan {
    with_first_service_only(sangh(policy, seed))
}

fn with_first_service_only(mut plan: Plan) -> Plan {
    plan.services.truncate(1);
    with_service_time(plan, SERVICE_TIME)
}

/// Sets the service time of all services of a plan.
fn with_service_time(mut plan: Plan, time: Duration) -> Plan {
    for service in &mut plan.services {
        service.service_time = time;
    }
    plan
}

/// Lahore with both services.
fn all_lahore(policy: &str, seed: u64) -> Plan {
    with_service_time(lahore(policy, seed), SERVICE_TIME)
}

/// Lahore with short service times, for chains.
fn quick_lahore(policy: &str, seed: u64) -> Plan {
    with_service_time(ward_desk(policy, seed), Duration::from_millis(2))
}

fn notices(load: f64) -> Kind {
    kind("notice", "ward-desk", "GET", "/notices/#", LAHORE_CAPACITY * load, 500)
}

fn at_load(name: &'static str, load: f64, actions: Vec<(Duration, Action)>) -> Scenario {
    Scenario {
        name,
        plan: ward_desk,
        service: "ward-desk",
        kinds: vec![notices(load)],
        steps: Vec::new(),
        setup: Vec::new(),
        actions,
        restarts_targets: false,
        duration: DURATION,
    }
}

/// Residents' load doubles within 5 ms, twice, while councillors search the archive.
/// Residents and searches together exceed the capacity at the peaks; the searches may wait.
fn rush() -> Scenario {
    let step = |seconds, factor| Step { at: Duration::from_secs(seconds), factor };
    let steps = vec![step(1, 2.0), step(2, 1.0), step(3, 2.0), step(5, 1.0)];
    let mut archive =
        kind("archive", "ward-desk", "GET", "/archive/#", LAHORE_CAPACITY * 0.16, 5000);
    archive.has_constant_rate = true;
    let mut scenario = Scenario { steps, ..at_load("rush", 0.43, Vec::new()) };
    scenario.kinds.push(archive);
    scenario
}

fn wedding() -> Scenario {
    Scenario {
        plan: slot_board,
        service: "slot-board",
        kinds: vec![kind("slots", "slot-board", "GET", "/slots/#", SANGH_CAPACITY * 0.85, 500)],
        ..at_load("wedding", 0.0, Vec::new())
    }
}

fn slow_down() -> Action {
    Action::SetTarget(0, || json!({ "factor": 10.0 }))
}

fn fail_fast() -> Action {
    Action::SetTarget(0, || json!({ "fails": true }))
}

fn cold_start() -> Vec<(Duration, Action)> {
    vec![
        (FAULT_AT, Action::KillTarget(0)),
        (FAULT_AT + Duration::from_millis(300), Action::StartTarget(0)),
        (FAULT_AT + Duration::from_millis(310), Action::SetTarget(0, || json!({ "cold": 100 }))),
    ]
}

fn drain() -> Vec<(Duration, Action)> {
    vec![(FAULT_AT, Action::Drain(0)), (FAULT_AT + Duration::from_secs(1), Action::StopDaemon(1))]
}

/// A request that crashes each target that runs it is sent repeatedly.
fn crash_request() -> Scenario {
    let mut scenario = at_load("crash-request", 0.5, Vec::new());
    let mut poison = kind("poison", "ward-desk", "PUT", "/poison", 10.0, 500);
    poison.repeatable = true;
    poison.body = "crash".into();
    scenario.kinds.push(poison);
    scenario.restarts_targets = true;
    scenario
}

fn store_down() -> Scenario {
    let mut scenario = at_load("store-down", 0.5, Vec::new());
    scenario.plan = all_lahore;
    let broadcast = kind("broadcast", "munadi-send", "POST", "/broadcasts", 10.0, 2000);
    scenario.kinds.push(broadcast);
    let down = Action::SetPlatform(|| json!({ "down": true }));
    let up = Action::SetPlatform(|| json!({ "down": false }));
    scenario.actions = vec![(FAULT_AT, down), (FAULT_AT * 2, up)];
    scenario
}

fn noisy() -> Scenario {
    let mut scenario = at_load("noisy", 0.35, Vec::new());
    scenario.setup = vec![Action::SetAllTargets(|| json!({ "noisy": true }))];
    scenario
}

fn chain(name: &'static str, depth: u64) -> Scenario {
    let mut scenario = at_load(name, 0.0, Vec::new());
    scenario.plan = quick_lahore;
    scenario.kinds = vec![kind("notice", "ward-desk", "GET", "/notices/#", 20.0, 2000)];
    scenario.setup = vec![Action::ChainThrough("ward-desk", depth)];
    scenario
}
