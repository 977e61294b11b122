//! The scenarios of a measurement.

use std::time::Duration;

use serde_json::{Value, json};

use crate::deployment::{lahore, sangh};
use crate::fleet::Plan;
use crate::load::{Kind, Step};
use crate::tour::kind;

/// Time of the calls of a scenario, and when its disturbance comes.
const DURATION: Duration = Duration::from_secs(6);
const DISTURBED_AT: Duration = Duration::from_secs(2);
/// Mean service time of the measured service.
const SERVICE: Duration = Duration::from_millis(40);
/// Calls a second that the measured service can answer.
const LAHORE_CAPACITY: f64 = 7.0 * 12.0 / 0.040;
const SANGH_CAPACITY: f64 = 7.0 * 9.0 / 0.040;

/// One change of the surroundings.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    /// Changes how the target of a host behaves.
    SetTarget(usize, fn() -> Value),
    /// Changes how all targets behave.
    SetAllTargets(fn() -> Value),
    /// Kills the target of a host.
    KillTarget(usize),
    /// Starts the target of a host.
    StartTarget(usize),
    /// Stops the daemon of a host as planned.
    StopDaemon(usize),
    /// Lets the target of a host leave.
    Drain(usize),
    /// Sets the platform's faults.
    SetPlatform(fn() -> Value),
    /// Lets each target call a service through its daemon, down to a depth.
    ChainThrough(&'static str, u64),
}

/// A fleet, calls and disturbances.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// The fleet.
    pub plan: fn(&str, u64) -> Plan,
    /// The measured service.
    pub service: &'static str,
    /// The calls.
    pub kinds: Vec<Kind>,
    /// Changes of the rate.
    pub steps: Vec<Step>,
    /// What is set before the calls.
    pub before: Vec<Action>,
    /// What happens during the calls.
    pub actions: Vec<(Duration, Action)>,
    /// Whether targets that died are started again.
    pub restarts: bool,
    /// Time of the calls.
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

/// The scenario with a name.
pub fn find(name: &str) -> Option<Scenario> {
    let scenario = match name {
        "rush" => rush(),
        "wedding" => wedding(),
        "straggler" => at_load("straggler", 0.6, vec![(DISTURBED_AT, slow_down())]),
        "fail-fast" => at_load("fail-fast", 0.6, vec![(DISTURBED_AT, fail_fast())]),
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
    /// Whether an id is of a request that may not be repeated.
    pub fn is_once(&self, id: &str) -> bool {
        let once = self.kinds.iter().filter(|kind| !kind.repeatable);
        once.into_iter().any(|kind| id.starts_with(&*kind.name))
    }

    /// Whether processes are killed, so that calls may be cut.
    pub fn kills(&self) -> bool {
        let is_kill = |action: &Action| matches!(action, Action::KillTarget(_));
        self.restarts || self.actions.iter().any(|(_, action)| is_kill(action))
    }
}

/// Lahore with the measured service alone.
fn ward_desk(policy: &str, seed: u64) -> Plan {
    measured(lahore(policy, seed))
}

/// The sangh with the measured service alone.
fn slot_board(policy: &str, seed: u64) -> Plan {
    measured(sangh(policy, seed))
}

fn measured(mut plan: Plan) -> Plan {
    plan.services.truncate(1);
    with_service_time(plan, SERVICE)
}

/// A plan whose services all take this time.
fn with_service_time(mut plan: Plan, time: Duration) -> Plan {
    for service in &mut plan.services {
        service.service = time;
    }
    plan
}

/// Lahore with both services.
fn all_lahore(policy: &str, seed: u64) -> Plan {
    with_service_time(lahore(policy, seed), SERVICE)
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
        before: Vec::new(),
        actions,
        restarts: false,
        duration: DURATION,
    }
}

/// Residents' load doubles within 5 ms, twice, while councillors search the
/// archive. Together they exceed the capacity at the peaks; the searches may
/// wait.
fn rush() -> Scenario {
    let step = |seconds, factor| Step { at: Duration::from_secs(seconds), factor };
    let steps = vec![step(1, 2.0), step(2, 1.0), step(3, 2.0), step(5, 1.0)];
    let mut archive =
        kind("archive", "ward-desk", "GET", "/archive/#", LAHORE_CAPACITY * 0.16, 5000);
    archive.is_steady = true;
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
        (DISTURBED_AT, Action::KillTarget(0)),
        (DISTURBED_AT + Duration::from_millis(300), Action::StartTarget(0)),
        (
            DISTURBED_AT + Duration::from_millis(310),
            Action::SetTarget(0, || json!({ "cold": 100 })),
        ),
    ]
}

fn drain() -> Vec<(Duration, Action)> {
    vec![
        (DISTURBED_AT, Action::Drain(0)),
        (DISTURBED_AT + Duration::from_secs(1), Action::StopDaemon(1)),
    ]
}

/// The same request crashes each target that runs it, sent again and again.
fn crash_request() -> Scenario {
    let mut scenario = at_load("crash-request", 0.5, Vec::new());
    let mut poison = kind("poison", "ward-desk", "PUT", "/poison", 10.0, 500);
    poison.repeatable = true;
    poison.body = "crash".into();
    scenario.kinds.push(poison);
    scenario.restarts = true;
    scenario
}

fn store_down() -> Scenario {
    let mut scenario = at_load("store-down", 0.5, Vec::new());
    scenario.plan = all_lahore;
    let broadcast = kind("broadcast", "munadi-send", "POST", "/broadcasts", 10.0, 2000);
    scenario.kinds.push(broadcast);
    let down = Action::SetPlatform(|| json!({ "down": true }));
    let up = Action::SetPlatform(|| json!({ "down": false }));
    scenario.actions = vec![(DISTURBED_AT, down), (DISTURBED_AT * 2, up)];
    scenario
}

fn noisy() -> Scenario {
    let mut scenario = at_load("noisy", 0.35, Vec::new());
    scenario.before = vec![Action::SetAllTargets(|| json!({ "noisy": true }))];
    scenario
}

fn chain(name: &'static str, depth: u64) -> Scenario {
    let mut scenario = at_load(name, 0.0, Vec::new());
    scenario.plan = quick_lahore;
    scenario.kinds = vec![kind("notice", "ward-desk", "GET", "/notices/#", 20.0, 2000)];
    scenario.before = vec![Action::ChainThrough("ward-desk", depth)];
    scenario
}
