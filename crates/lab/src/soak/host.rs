//! The processes of a round and the observations made of them.

mod faults;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::{Value, json};
use store::{CommitResult, Condition, Write};

use super::organisations::{self, Demand, REVISION_STEP};
use crate::fleet::{get, has_config_and_members, post, start_standin, wait_until, with_store};
use crate::ports::free_addresses;
use crate::process::{self, Process, args_of};
use crate::proxy::{self, Proxy};
use crate::sidecar::unix_millis;
use faults::Undo;

/// Services of the targets, assigned to the hosts in turn.
const SERVICES: [&str; 2] = ["desk", "desk-archive"];
/// Number of data centres, to which the hosts are assigned in turn.
pub(super) const DATA_CENTRES: usize = 3;
/// Time after its start for which a target is cold.
const COLD_START: Duration = Duration::from_secs(3);
/// Requests per second that a cold target handles. It is below what callers send to each target.
pub(super) const COLD_PER_SECOND: f64 = 4.0;
const SLOTS: usize = 8;
const SERVICE_TIME_MICROS: u64 = 25_000;
/// Time between two polls of the revisions in force.
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Rate of each host's uplink in Mbit/s. It is low enough that long bodies wait in the pacing
/// queue.
const LINK: u32 = 20;
/// Flag that sets a process's wall clock back by a number of milliseconds.
const CLOCK_FLAG: &str = "--clock-behind-ms";
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Location of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FaultLocation {
    Host(usize),
    Store,
    /// The step is no fault, and all guarantees hold as without it.
    Nowhere,
}

/// An injected fault.
#[derive(Debug, Clone)]
pub(super) struct InjectedFault {
    pub(super) location: FaultLocation,
    pub(super) is_planned_stop: bool,
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
}

/// A daemon's revision at one moment.
#[derive(Debug, Clone)]
pub(super) struct Poll {
    pub(super) at_ms: u64,
    pub(super) host: usize,
    pub(super) node: Box<str>,
    pub(super) revision: u64,
}

/// Output of one target process.
#[derive(Debug, Clone)]
pub(super) struct TargetOutput {
    pub(super) host: usize,
    pub(super) lines: Vec<Box<str>>,
}

/// A row that requests the evacuation of a data centre.
#[derive(Debug, Clone)]
pub(super) struct Evacuation {
    pub(super) data_centre: usize,
    /// Time of the store's acknowledgement.
    pub(super) acked_ms: u64,
    /// Time from which on the row may be gone.
    pub(super) until_ms: u64,
}

/// Observations of the processes.
#[derive(Debug, Default)]
pub(super) struct Observations {
    pub(super) services: Vec<Box<str>>,
    pub(super) target_outputs: Vec<TargetOutput>,
    pub(super) faults: Vec<InjectedFault>,
    pub(super) polls: Vec<Poll>,
    /// Revisions that were written, each with the time of the store's acknowledgement.
    pub(super) config_writes: Vec<(u64, u64)>,
    /// Revisions that operators have tried to write, each with the time of the attempt.
    pub(super) config_attempts: Vec<(u64, u64)>,
    pub(super) evacuations: Vec<Evacuation>,
    /// Time at which all daemons were ready.
    pub(super) ready_ms: u64,
    /// Unexpected exits and other failures of the processes themselves.
    pub(super) process_failures: Vec<String>,
    pub(super) recovered: bool,
}

struct Host {
    service: Box<str>,
    callers: SocketAddr,
    admin: SocketAddr,
    target: SocketAddr,
    announce: SocketAddr,
    ready: SocketAddr,
    daemon_args: Vec<String>,
    target_args: Vec<String>,
    /// Offset by which the host's wall clock is behind.
    clock_behind: Duration,
    daemon: Option<Process>,
    target_process: Option<Process>,
    target_proxy: Proxy,
    store_proxy: Proxy,
    peer_proxy: Proxy,
}

impl Host {
    /// Returns process arguments with this host's clock offset added.
    fn with_clock(&self, args: &[String]) -> Vec<String> {
        let (name, flags) = args.split_at(1);
        let behind = [CLOCK_FLAG.to_owned(), self.clock_behind.as_millis().to_string()];
        [name, &behind, flags].concat()
    }
}

/// Separates the clock offset that [`Mesh`] passes from the daemon's own arguments.
pub fn split_clock_offset(
    args: impl Iterator<Item = OsString>,
) -> Result<(Vec<OsString>, Duration), Box<str>> {
    let mut args: Vec<OsString> = args.collect();
    if args.first().is_none_or(|flag| flag != CLOCK_FLAG) {
        return Ok((args, Duration::ZERO));
    }
    let millis = args.get(1).and_then(|millis| millis.to_str()?.parse().ok());
    let millis = millis.ok_or_else(|| format!("{CLOCK_FLAG} needs a number of milliseconds"))?;
    Ok((args.split_off(2), Duration::from_millis(millis)))
}

/// A store, and hosts with a daemon and a target each. All processes are killed on drop.
pub struct Mesh {
    store: SocketAddr,
    _store_process: Process,
    hosts: Vec<Host>,
    logs: Option<PathBuf>,
    undo: Vec<(Duration, Undo, usize)>,
    observations: Observations,
    revision: u64,
    /// The latest configuration that the store has acknowledged.
    configuration: Option<Write>,
    /// Whether the configuration has organisations and cold targets.
    has_organisations: bool,
    /// The data centre whose evacuation operators request, by number.
    evacuated: Option<usize>,
    /// Whether the store has not yet acknowledged the rows of the evacuation.
    pending_evacuation: bool,
    demand: Arc<Demand>,
    monitor: Arc<Monitor>,
    monitor_thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Monitor {
    stop: AtomicBool,
    polls: Mutex<Vec<Poll>>,
}

impl Mesh {
    /// Starts all processes and waits until all daemons are ready.
    pub fn start(daemons: usize, seed: u64, logs: Option<&Path>) -> Result<Self, Box<str>> {
        Self::start_hosts(daemons, seed, logs, false)
    }

    /// Starts all processes, with organisations in the configuration and targets that are cold
    /// after their start, and waits until all daemons are ready.
    pub(super) fn start_with_organisations(
        daemons: usize,
        seed: u64,
        logs: Option<&Path>,
    ) -> Result<Self, Box<str>> {
        Self::start_hosts(daemons, seed, logs, true)
    }

    fn start_hosts(
        daemons: usize,
        seed: u64,
        logs: Option<&Path>,
        has_organisations: bool,
    ) -> Result<Self, Box<str>> {
        let (store_process, store) = start_standin(seed, None)?;
        let hosts = (0..daemons).map(|number| prepare(number, store, seed));
        let mut mesh = Self {
            store,
            _store_process: store_process,
            hosts: hosts.collect::<Result<_, _>>()?,
            logs: logs.map(Path::to_owned),
            undo: Vec::new(),
            observations: Observations::default(),
            revision: 0,
            configuration: None,
            has_organisations,
            evacuated: None,
            pending_evacuation: false,
            demand: Arc::default(),
            monitor: Arc::default(),
            monitor_thread: None,
        };
        mesh.observations.services = mesh.hosts.iter().map(|host| host.service.clone()).collect();
        if has_organisations {
            let cold_start = COLD_START.as_millis().to_string();
            for host in &mut mesh.hosts {
                host.target_args.extend(["--cold-start-ms".into(), cold_start.clone()]);
                host.daemon_args.extend(["--cold-until-configured".into(), "yes".into()]);
            }
        }
        mesh.configure()?;
        for number in 0..daemons {
            mesh.start_target(number)?;
            mesh.start_daemon(number)?;
        }
        mesh.wait_until_ready()?;
        mesh.observations.ready_ms = unix_millis();
        mesh.start_monitor();
        Ok(mesh)
    }

    /// Waits until each daemon has reached its target, all other daemons and a configuration.
    pub fn wait_until_ready(&self) -> Result<(), Box<str>> {
        let waited = wait_until(START_TIMEOUT, || self.is_ready());
        waited.map(drop).ok_or_else(|| "the daemons are not ready in time".into())
    }

    /// Whether each daemon has reached its target, all other daemons and a configuration.
    pub(super) fn is_ready(&self) -> bool {
        let daemons = self.hosts.len();
        self.hosts.iter().all(|host| {
            let state = get(host.admin, "/state").unwrap_or_default();
            state["target"]["reachable"] == true && has_config_and_members(&state, daemons)
        })
    }

    /// Describes each daemon's target and member list.
    pub(super) fn describe(&self) -> Vec<String> {
        let describe = |(number, host): (usize, &Host)| {
            let state = get(host.admin, "/state").unwrap_or_default();
            format!("daemon {number}: {} {}", state["target"], state["members"])
        };
        self.hosts.iter().enumerate().map(describe).collect()
    }

    /// Address of the store.
    pub fn store(&self) -> SocketAddr {
        self.store
    }

    /// Address of a host's daemon for callers.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.hosts[host].callers
    }

    /// Address of a host's daemon for operators.
    pub(super) fn admin(&self, host: usize) -> SocketAddr {
        self.hosts[host].admin
    }

    /// Address at which a host's daemon accepts target announcements.
    pub fn announce(&self, host: usize) -> SocketAddr {
        self.hosts[host].announce
    }

    /// Address of the readiness endpoint of a host's daemon.
    pub fn ready(&self, host: usize) -> SocketAddr {
        self.hosts[host].ready
    }

    /// Address at which a host's target listens.
    pub fn target(&self, host: usize) -> SocketAddr {
        self.hosts[host].target
    }

    /// Puts the server at `address` in the place of a host's target for new connections, and
    /// returns the address that the target announces.
    pub fn replace_target(&self, host: usize, address: SocketAddr) -> SocketAddr {
        self.hosts[host].target_proxy.redirect(address);
        self.hosts[host].target_proxy.address()
    }

    /// Service of a host's target.
    pub fn service(&self, host: usize) -> &str {
        &self.hosts[host].service
    }

    /// Sets the store's faults.
    pub fn set_store_faults(&self, faults: &Value) {
        post(self.store, "/faults", faults);
    }

    /// Sets the behaviour of a host's target.
    pub fn set_target_behaviour(&self, host: usize, behaviour: &Value) {
        post(self.hosts[host].target, "/lab", behaviour);
    }

    /// Sets the fault of the link between a host's daemon and its target.
    pub fn set_target_link_fault(&self, host: usize, fault: proxy::Fault) {
        self.hosts[host].target_proxy.set(fault);
    }

    /// Sets the fault of the link between a host's daemon and the store.
    pub fn set_store_link_fault(&self, host: usize, fault: proxy::Fault) {
        self.hosts[host].store_proxy.set(fault);
    }

    /// Adds a flag with its value to the arguments with which a host's daemon is started.
    pub fn add_daemon_flag(&mut self, host: usize, flag: &str, value: &str) {
        self.hosts[host].daemon_args.extend([format!("--{flag}"), value.to_owned()]);
    }

    /// Kills a host's daemon.
    pub fn kill_daemon(&mut self, host: usize) {
        self.hosts[host].daemon = None;
    }

    /// Sends a signal to a host's daemon.
    pub fn signal_daemon(&self, host: usize, name: &str) {
        signal(self.hosts[host].daemon.as_ref(), name);
    }

    /// Whether a host's daemon has exited.
    pub fn has_exited(&mut self, host: usize) -> bool {
        self.hosts[host].daemon.as_mut().is_none_or(Process::has_exited)
    }

    /// Process id of a host's daemon, if there is one.
    pub fn daemon_id(&self, host: usize) -> Option<u32> {
        self.hosts[host].daemon.as_ref().map(Process::id)
    }

    /// Returns the lines that a host's daemon has printed since the last call.
    pub fn daemon_lines(&self, host: usize) -> Vec<Box<str>> {
        self.hosts[host].daemon.as_ref().map(Process::lines).unwrap_or_default()
    }

    /// Returns the lines that a host's target has printed since the last call.
    pub fn target_lines(&self, host: usize) -> Vec<Box<str>> {
        self.hosts[host].target_process.as_ref().map(Process::lines).unwrap_or_default()
    }

    pub(super) fn entries(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    pub(super) fn has_faults(&self) -> bool {
        !self.undo.is_empty() || self.pending_evacuation
    }

    /// What callers have to know of the steps of the schedule.
    pub(super) fn demand(&self) -> Arc<Demand> {
        self.demand.clone()
    }

    fn configure(&mut self) -> Result<(), Box<str>> {
        let revision = self.revision + REVISION_STEP;
        self.demand.set_revision(revision);
        self.observations.config_attempts.push((revision, unix_millis()));
        let route = |prefix: &str, kind: &str, service: &str| {
            json!({
                "name": format!("r{prefix}"), "prefix": prefix, "kind": kind,
                "timeout": "5s", "target_latency": "200ms", "priority": 1,
                "service": service, "max_attempts": 2, "public": prefix == "/slow/",
            })
        };
        let paths = [
            route("/read/", "safe", SERVICES[0]),
            route("/order/", "unsafe", SERVICES[0]),
            route("/slow/", "safe", SERVICES[1]),
            route(&format!("/v{revision}/"), "safe", SERVICES[1]),
        ];
        let mut services = SERVICES.map(|name| json!({ "name": name, "health_path": "/healthz" }));
        if self.has_organisations {
            for service in &mut services {
                service["cold_start"] = format!("{}ms", COLD_START.as_millis()).into();
                service["cold_per_s"] = COLD_PER_SECOND.into();
            }
        }
        let mut config = json!({
            "version": revision,
            "services": services,
            "virtual_hosts": [{ "hostname": "soak.example", "paths": paths }],
        });
        if self.has_organisations {
            config["tenants"] = organisations::tenants(revision);
        }
        let write = Write {
            key: "op/config".into(),
            condition: Condition::Always,
            value: config.to_string().into(),
        };
        let writes = vec![write.clone()];
        let commit = with_store(self.store, async |store| store.commit(writes).await);
        if matches!(commit, CommitResult::Done(_)) {
            self.revision = revision;
            self.configuration = Some(write);
            self.observations.config_writes.push((revision, unix_millis()));
        }
        // A write whose response was lost may still take effect, so its revision is not used
        // again.
        self.revision = self.revision.max(revision);
        Ok(())
    }

    /// Writes the latest acknowledged configuration again, as operators do when the store has
    /// come back from an older copy.
    fn write_configuration_again(&self) {
        let writes: Vec<Write> = self.configuration.iter().cloned().collect();
        let commit = with_store(self.store, async |store| store.commit(writes).await);
        if !matches!(commit, CommitResult::Done(_)) {
            eprintln!("soak: the configuration is not written again: {commit:?}");
        }
    }

    /// Writes the row of the evacuated data centre and deletes those of the others, again until
    /// the store acknowledges it. Nothing is written while the store has a fault, since waiting
    /// for its answer would delay other steps.
    fn write_evacuation(&mut self) {
        self.pending_evacuation = true;
        if self.has_store_fault() {
            return;
        }
        let row = |number| json!({ "table": "op", "part": "", "key": format!("evacuate/zone-{number}"), "value": "" });
        let is_evacuated = |number: &usize| Some(*number) == self.evacuated;
        let (writes, deletes): (Vec<usize>, Vec<usize>) = (0..DATA_CENTRES).partition(is_evacuated);
        let rows = |numbers: Vec<usize>| numbers.into_iter().map(row).collect::<Vec<Value>>();
        let body = json!({ "writes": rows(writes), "deletes": rows(deletes) });
        let response = post(self.store, "/api/rows-tx", &body);
        self.pending_evacuation = !response.is_some_and(|response| response["ver"].is_u64());
        if self.pending_evacuation {
            return;
        }
        self.end_observed_evacuation();
        let acked_ms = unix_millis();
        self.observations.evacuations.extend(self.evacuated.map(|data_centre| Evacuation {
            data_centre,
            acked_ms,
            until_ms: u64::MAX,
        }));
    }

    /// Whether the store has a fault at present.
    fn has_store_fault(&self) -> bool {
        let mut indices = self.undo.iter().map(|(.., index)| *index);
        indices.any(|index| self.observations.faults[index].location == FaultLocation::Store)
    }

    /// Records that the row of the evacuated data centre may be gone from now on.
    fn end_observed_evacuation(&mut self) {
        if let Some(evacuation) = self.observations.evacuations.last_mut() {
            evacuation.until_ms = evacuation.until_ms.min(unix_millis());
        }
    }

    fn start_target(&mut self, host: usize) -> Result<(), Box<str>> {
        let args = self.hosts[host].with_clock(&self.hosts[host].target_args);
        self.hosts[host].target_process = Some(process::start(&args, None)?);
        Ok(())
    }

    /// Starts a daemon unless it is running, since two overlapping faults may both restart
    /// it.
    pub fn start_daemon(&mut self, host: usize) -> Result<(), Box<str>> {
        if self.hosts[host].daemon.as_mut().is_some_and(|daemon| !daemon.has_exited()) {
            return Ok(());
        }
        self.append_log(host);
        let args = self.hosts[host].with_clock(&self.hosts[host].daemon_args);
        self.hosts[host].daemon = Some(process::start(&args, None)?);
        Ok(())
    }

    fn kill_target(&mut self, host: usize) {
        if let Some(mut process) = self.hosts[host].target_process.take() {
            process.kill();
            // Gives the thread that reads the process's output time to receive the last
            // lines.
            std::thread::sleep(Duration::from_millis(20));
            self.observations.target_outputs.push(TargetOutput { host, lines: process.lines() });
        }
    }

    /// Appends a daemon's output to its log file.
    fn append_log(&mut self, host: usize) {
        let Some(daemon) = &self.hosts[host].daemon else {
            return;
        };
        let lines = daemon.lines();
        if lines.iter().any(|line| line.contains(organisations::KEY_PREFIX)) {
            let failure = format!("daemon {host} has logged a key");
            self.observations.process_failures.push(failure);
        }
        let Some(folder) = &self.logs else {
            return;
        };
        let text = lines.join("\n") + "\n";
        let path = folder.join(format!("daemon-{host}.log"));
        let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
        let written =
            file.and_then(|mut file| std::io::Write::write_all(&mut file, text.as_bytes()));
        if let Err(error) = written {
            eprintln!("soak: cannot write the log: {error}");
        }
    }

    fn start_monitor(&mut self) {
        let (monitor, admins) = (self.monitor.clone(), self.hosts.iter().map(|host| host.admin));
        let admins: Vec<SocketAddr> = admins.collect();
        self.monitor_thread = Some(std::thread::spawn(move || {
            while !monitor.stop.load(Ordering::Relaxed) {
                for (host, admin) in admins.iter().enumerate() {
                    let at_ms = unix_millis();
                    let Some(state) = get(*admin, "/state") else { continue };
                    let node = state["node"].as_str().unwrap_or_default().into();
                    let revision = state["revision"].as_u64().unwrap_or(0);
                    let poll = Poll { at_ms, host, node, revision };
                    monitor.polls.lock().unwrap_or_else(PoisonError::into_inner).push(poll);
                }
                std::thread::sleep(REVISION_POLL_INTERVAL);
            }
        }));
    }

    /// Ends all processes and returns the observations.
    pub(super) fn collect(mut self) -> Observations {
        self.monitor.stop.store(true, Ordering::Relaxed);
        if let Some(monitor_thread) = self.monitor_thread.take()
            && monitor_thread.join().is_err()
        {
            self.observations
                .process_failures
                .push("the thread that polls revisions panicked".into());
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].daemon.as_mut().is_some_and(Process::has_exited) {
                self.observations
                    .process_failures
                    .push(format!("daemon {host} exited unexpectedly"));
            }
            self.append_log(host);
            self.kill_target(host);
        }
        let polls = self.monitor.polls.lock().unwrap_or_else(PoisonError::into_inner).clone();
        Observations { polls, ..std::mem::take(&mut self.observations) }
    }
}

fn prepare(number: usize, store: SocketAddr, seed: u64) -> Result<Host, Box<str>> {
    let [callers, peers, admin, target, control, ready] = free_addresses()?;
    let proxy = |to| Proxy::spawn(to).map_err(|error| format!("cannot start a proxy: {error}"));
    let (target_proxy, store_proxy) = (proxy(target)?, proxy(store)?);
    let peer_proxy = Proxy::spawn_with_datagrams(peers);
    let peer_proxy = peer_proxy.map_err(|error| format!("cannot start a proxy: {error}"))?;
    let service = SERVICES[number % SERVICES.len()];
    let seed = (seed * 100 + number as u64).to_string();
    let daemon = [
        ("interface", "platform".into()),
        ("listen", callers.to_string()),
        ("peer-listen", peers.to_string()),
        ("peer-address", peer_proxy.address().to_string()),
        ("admin", admin.to_string()),
        ("announce", control.to_string()),
        ("ready", ready.to_string()),
        ("data-centre", format!("zone-{}", number % DATA_CENTRES)),
        ("service", service.into()),
        ("target", target_proxy.address().to_string()),
        ("slots", SLOTS.to_string()),
        ("platform", store_proxy.address().to_string()),
        ("stop-within", "5.5".into()),
        ("linger", "1.5".into()),
        ("link", LINK.to_string()),
    ];
    let target_flags = [
        ("listen", target.to_string()),
        ("control", control.to_string()),
        ("announced", target_proxy.address().to_string()),
        ("service", service.into()),
        ("slots", SLOTS.to_string()),
        ("service-us", SERVICE_TIME_MICROS.to_string()),
        ("seed", seed),
    ];
    Ok(Host {
        service: service.into(),
        callers,
        admin,
        target,
        announce: control,
        ready,
        daemon_args: args_of("daemon", daemon),
        target_args: args_of("sidecar", target_flags),
        clock_behind: Duration::ZERO,
        daemon: None,
        target_process: None,
        target_proxy,
        store_proxy,
        peer_proxy,
    })
}

fn signal(process: Option<&Process>, name: &str) {
    if let Some(process) = process {
        process.signal(name);
    }
}
