//! The processes of a round, the faults that are made in them, and what they
//! were seen to do.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::{Value, json};
use store::{Commit, Condition, Write};

use super::schedule::{Fault, Step};
use crate::fleet::{free_address, get, knows, post, start_standin, wait_until, with_store};
use crate::process::{self, Process, args_of};
use crate::proxy::{self, Proxy};
use crate::sidecar::unix_millis;

/// Services of the hosts, in turn.
const SERVICES: [&str; 2] = ["desk", "desk-archive"];
const SLOTS: usize = 8;
const WORK_MICROS: u64 = 25_000;
/// Time in which a daemon that is asked to stop has to end.
const STOP_LIMIT: Duration = Duration::from_secs(6);
/// Time for which a leaving target serves on after the announcement.
const SERVES_ON: Duration = Duration::from_millis(3500);
/// Time between two looks at what is in force.
const WATCH_EVERY: Duration = Duration::from_millis(200);
/// Time in which a process is sure to have taken over its signals, in milliseconds.
const START_MS: u64 = 1000;
const START_LIMIT: Duration = Duration::from_secs(20);

/// Where a fault was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Place {
    Host(usize),
    Store,
}

/// A fault as it was made.
#[derive(Debug, Clone)]
pub(super) struct Made {
    pub(super) place: Place,
    pub(super) is_stop: bool,
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
}

/// A look at what is in force at a daemon.
#[derive(Debug, Clone)]
pub(super) struct Poll {
    pub(super) at_ms: u64,
    pub(super) host: usize,
    pub(super) node: Box<str>,
    pub(super) revision: u64,
}

/// What one start of a target has printed.
#[derive(Debug, Clone)]
pub(super) struct Printed {
    pub(super) host: usize,
    pub(super) lines: Vec<Box<str>>,
}

/// What was seen of the processes.
#[derive(Debug, Default)]
pub(super) struct Seen {
    pub(super) services: Vec<Box<str>>,
    pub(super) printed: Vec<Printed>,
    pub(super) made: Vec<Made>,
    pub(super) polls: Vec<Poll>,
    /// Revisions and when the store had acknowledged them.
    pub(super) configured: Vec<(u64, u64)>,
    /// What went wrong with the processes themselves.
    pub(super) ends: Vec<String>,
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
    daemon: Option<Process>,
    process: Option<Process>,
    to_target: Proxy,
    to_store: Proxy,
}

enum Undo {
    StartDaemon(usize),
    /// Process id of the daemon that was asked to stop, and when.
    AwaitStop(usize, u32, u64),
    ContinueDaemon(usize),
    ContinueTarget(usize),
    StartTarget(usize),
    ResetTarget(usize),
    OpenTarget(usize),
    OpenStore(usize),
    ResetStore,
    Nothing,
}

/// A store, and hosts with a daemon and a target each. Everything ends when it is
/// dropped.
pub struct Mesh {
    store: SocketAddr,
    _store_process: Process,
    hosts: Vec<Host>,
    logs: Option<PathBuf>,
    undo: Vec<(Duration, Undo, usize)>,
    seen: Seen,
    revision: u64,
    watch: Arc<Watch>,
    watcher: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Watch {
    stop: AtomicBool,
    polls: Mutex<Vec<Poll>>,
}

impl Mesh {
    /// Starts everything and waits until all daemons are ready.
    pub fn start(daemons: usize, seed: u64, logs: Option<&Path>) -> Result<Self, Box<str>> {
        let (store_process, store) = start_standin(seed, None)?;
        let hosts = (0..daemons).map(|number| prepare(number, store, seed));
        let mut mesh = Self {
            store,
            _store_process: store_process,
            hosts: hosts.collect::<Result<_, _>>()?,
            logs: logs.map(Path::to_owned),
            undo: Vec::new(),
            seen: Seen::default(),
            revision: 0,
            watch: Arc::default(),
            watcher: None,
        };
        mesh.seen.services = mesh.hosts.iter().map(|host| host.service.clone()).collect();
        mesh.configure()?;
        for number in 0..daemons {
            mesh.start_target(number)?;
            mesh.start_daemon(number)?;
        }
        mesh.wait_until_ready()?;
        mesh.start_watcher();
        Ok(mesh)
    }

    /// Waits until each daemon knows its target, the others and a configuration.
    pub fn wait_until_ready(&self) -> Result<(), Box<str>> {
        let daemons = self.hosts.len();
        let is_ready = |host: &Host| {
            let state = get(host.admin, "/state").unwrap_or_default();
            state["target"]["reachable"] == true && knows(&state, daemons)
        };
        let all_ready = || self.hosts.iter().all(is_ready);
        let waited = wait_until(START_LIMIT, all_ready);
        waited.map(drop).ok_or_else(|| "the daemons are not ready in time".into())
    }

    /// Address of the store.
    pub fn store(&self) -> SocketAddr {
        self.store
    }

    /// Address of a host's daemon for callers.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.hosts[host].callers
    }

    /// Address where a host's target announces itself.
    pub fn announce(&self, host: usize) -> SocketAddr {
        self.hosts[host].announce
    }

    /// Address where a host's daemon tells whether it is ready.
    pub fn ready(&self, host: usize) -> SocketAddr {
        self.hosts[host].ready
    }

    /// Service of a host's target.
    pub fn service(&self, host: usize) -> &str {
        &self.hosts[host].service
    }

    /// Sets the store's faults.
    pub fn set_store(&self, faults: &Value) {
        post(self.store, "/faults", faults);
    }

    /// Sets how a host's target behaves.
    pub fn tell_target(&self, host: usize, way: &Value) {
        post(self.hosts[host].target, "/lab", way);
    }

    /// Kills a host's daemon.
    pub fn kill_daemon(&mut self, host: usize) {
        self.hosts[host].daemon = None;
    }

    /// Sends a signal to a host's daemon.
    pub fn signal_daemon(&self, host: usize, name: &str) {
        signal(self.hosts[host].daemon.as_ref(), name);
    }

    /// Whether a host's daemon has ended.
    pub fn has_ended(&mut self, host: usize) -> bool {
        self.hosts[host].daemon.as_mut().is_none_or(Process::has_ended)
    }

    /// Lines that a host's daemon has written since the last call.
    pub fn daemon_lines(&self, host: usize) -> Vec<Box<str>> {
        self.hosts[host].daemon.as_ref().map(Process::lines).unwrap_or_default()
    }

    /// Lines that a host's target has written since the last call.
    pub fn target_lines(&self, host: usize) -> Vec<Box<str>> {
        self.hosts[host].process.as_ref().map(Process::lines).unwrap_or_default()
    }

    pub(super) fn entries(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    pub(super) fn has_faults(&self) -> bool {
        !self.undo.is_empty()
    }

    /// Makes a fault.
    pub(super) fn inject(&mut self, step: &Step, now: Duration) -> Result<(), Box<str>> {
        use Fault::*;
        let store = |faults: Value| post(self.store, "/faults", &faults);
        let (place, lasts, undo) = match step.fault {
            KillDaemon(host) => {
                self.hosts[host].daemon = None;
                (Place::Host(host), step.lasts, Undo::StartDaemon(host))
            }
            StopDaemon(host) => {
                let daemon = self.hosts[host].daemon.as_ref();
                signal(daemon, "TERM");
                let id = daemon.map_or(0, Process::id);
                (Place::Host(host), Duration::ZERO, Undo::AwaitStop(host, id, unix_millis()))
            }
            PauseDaemon(host) => {
                signal(self.hosts[host].daemon.as_ref(), "STOP");
                (Place::Host(host), step.lasts, Undo::ContinueDaemon(host))
            }
            ReloadDaemon(host) => {
                signal(self.hosts[host].daemon.as_ref(), "HUP");
                (Place::Host(host), Duration::ZERO, Undo::Nothing)
            }
            KillTarget(host) => {
                self.end_target(host);
                (Place::Host(host), step.lasts, Undo::StartTarget(host))
            }
            PauseTarget(host) => {
                signal(self.hosts[host].process.as_ref(), "STOP");
                (Place::Host(host), step.lasts, Undo::ContinueTarget(host))
            }
            LeaveTarget(host) => {
                post(self.hosts[host].target, "/lab", &json!({ "leave": true }));
                (Place::Host(host), SERVES_ON, Undo::StartTarget(host))
            }
            SlowTarget(host) => self.set_target(host, json!({ "pace": 7.0 }), step),
            FailTarget(host) => self.set_target(host, json!({ "fails": "errors" }), step),
            ShedTarget(host) => self.set_target(host, json!({ "fails": "shed" }), step),
            SilenceTarget(host) => self.set_way(host, proxy::Fault::Freeze, step),
            DelayTarget(host) => {
                self.set_way(host, proxy::Fault::Delay(Duration::from_millis(60)), step)
            }
            CutTarget(host) => self.set_way(host, proxy::Fault::CutAnswer(300), step),
            SilenceStore(host) => {
                self.hosts[host].to_store.set(proxy::Fault::Freeze);
                (Place::Host(host), step.lasts, Undo::OpenStore(host))
            }
            CutStore(host) => {
                self.hosts[host].to_store.set(proxy::Fault::Refuse);
                (Place::Host(host), step.lasts, Undo::OpenStore(host))
            }
            StoreDown => {
                store(json!({ "down": true }));
                (Place::Store, step.lasts, Undo::ResetStore)
            }
            StoreSilent => {
                store(json!({ "silent": true }));
                (Place::Store, step.lasts, Undo::ResetStore)
            }
            StoreSlow => {
                store(json!({ "slow_ms": 300 }));
                (Place::Store, step.lasts, Undo::ResetStore)
            }
            StoreLosesAnswers => {
                store(json!({ "lose_answers": 0.5, "lost_effect_after_ms": 1500 }));
                (Place::Store, step.lasts, Undo::ResetStore)
            }
            StoreForgets => {
                store(json!({ "drop_history": true }));
                (Place::Store, Duration::ZERO, Undo::Nothing)
            }
            Configure => {
                self.configure()?;
                return Ok(());
            }
        };
        let from_ms = unix_millis();
        let is_stop = matches!(step.fault, StopDaemon(_));
        self.seen.made.push(Made { place, is_stop, from_ms, to_ms: u64::MAX });
        self.undo.push((now + lasts, undo, self.seen.made.len() - 1));
        Ok(())
    }

    fn set_target(&self, host: usize, way: Value, step: &Step) -> (Place, Duration, Undo) {
        post(self.hosts[host].target, "/lab", &way);
        (Place::Host(host), step.lasts, Undo::ResetTarget(host))
    }

    fn set_way(&self, host: usize, fault: proxy::Fault, step: &Step) -> (Place, Duration, Undo) {
        self.hosts[host].to_target.set(fault);
        (Place::Host(host), step.lasts, Undo::OpenTarget(host))
    }

    /// Undoes what is over, and starts a daemon again that has ended by itself, as
    /// the platform does.
    pub(super) fn undo_due(&mut self, now: Duration) -> Result<(), Box<str>> {
        self.supervise()?;
        let (due, rest) =
            std::mem::take(&mut self.undo).into_iter().partition(|(until, ..)| *until <= now);
        self.undo = rest;
        for (_, undo, made) in due {
            let is_over = self.undo(undo, now, made)?;
            if is_over {
                self.seen.made[made].to_ms = unix_millis();
            }
        }
        Ok(())
    }

    fn supervise(&mut self) -> Result<(), Box<str>> {
        for host in 0..self.hosts.len() {
            let is_stopping = self
                .undo
                .iter()
                .any(|(_, undo, _)| matches!(undo, Undo::AwaitStop(asked, ..) if *asked == host));
            let daemon = &mut self.hosts[host].daemon;
            if is_stopping || !daemon.as_mut().is_some_and(Process::has_ended) {
                continue;
            }
            // A signal in the first moments of a process has its default effect.
            let recent = unix_millis().saturating_sub(START_MS);
            let is_signalled = self
                .seen
                .made
                .iter()
                .any(|made| made.place == Place::Host(host) && made.from_ms >= recent);
            if !is_signalled {
                self.seen.ends.push(format!("daemon {host} ended by itself"));
            }
            self.start_daemon(host)?;
        }
        Ok(())
    }

    fn undo(&mut self, undo: Undo, now: Duration, made: usize) -> Result<bool, Box<str>> {
        match undo {
            Undo::StartDaemon(host) => self.start_daemon(host)?,
            Undo::AwaitStop(host, id, asked_ms) => {
                return self.await_stop(host, id, asked_ms, now, made);
            }
            Undo::ContinueDaemon(host) => signal(self.hosts[host].daemon.as_ref(), "CONT"),
            Undo::ContinueTarget(host) => signal(self.hosts[host].process.as_ref(), "CONT"),
            Undo::StartTarget(host) => {
                self.end_target(host);
                self.start_target(host)?;
            }
            Undo::ResetTarget(host) => {
                post(self.hosts[host].target, "/lab", &json!({ "pace": 1.0, "fails": "" }));
            }
            Undo::OpenTarget(host) => self.hosts[host].to_target.set(proxy::Fault::None),
            Undo::OpenStore(host) => self.hosts[host].to_store.set(proxy::Fault::None),
            Undo::ResetStore => {
                let none = json!({
                    "down": false, "silent": false, "slow_ms": 1, "lose_answers": 0.0,
                });
                post(self.store, "/faults", &none);
            }
            Undo::Nothing => {}
        }
        Ok(true)
    }

    /// Starts a stopped daemon again once it has ended.
    fn await_stop(
        &mut self,
        host: usize,
        id: u32,
        asked_ms: u64,
        now: Duration,
        made: usize,
    ) -> Result<bool, Box<str>> {
        let asked = self.hosts[host].daemon.as_mut().filter(|daemon| daemon.id() == id);
        let Some(daemon) = asked else {
            // It was killed meanwhile, or has been started again.
            return Ok(true);
        };
        let is_over = daemon.has_ended();
        let waited = Duration::from_millis(unix_millis().saturating_sub(asked_ms));
        let paused = self
            .undo
            .iter()
            .any(|(_, undo, _)| matches!(undo, Undo::ContinueDaemon(paused) if *paused == host));
        if !is_over && (waited < STOP_LIMIT || paused) {
            let again = now + Duration::from_millis(20);
            self.undo.push((again, Undo::AwaitStop(host, id, asked_ms), made));
            return Ok(false);
        }
        if !is_over {
            self.seen.ends.push(format!("daemon {host} did not stop within {STOP_LIMIT:?}"));
            self.hosts[host].daemon = None;
        }
        self.start_daemon(host)?;
        Ok(true)
    }

    fn configure(&mut self) -> Result<(), Box<str>> {
        let revision = self.revision + 3;
        let route = |prefix: &str, kind: &str, service: &str| {
            json!({
                "name": format!("r{prefix}"), "prefix": prefix, "kind": kind,
                "timeout": "5s", "target_latency": "200ms", "priority": 1,
                "service": service, "max_attempts": 2,
            })
        };
        let paths = [
            route("/read/", "safe", SERVICES[0]),
            route("/order/", "unsafe", SERVICES[0]),
            route("/slow/", "safe", SERVICES[1]),
            route(&format!("/v{revision}/"), "safe", SERVICES[1]),
        ];
        let services = SERVICES.map(|name| json!({ "name": name, "health_path": "/healthz" }));
        let config = json!({
            "version": revision,
            "services": services,
            "virtual_hosts": [{ "hostname": "soak.example", "paths": paths }],
        });
        let write = Write {
            key: "op/config".into(),
            condition: Condition::Always,
            value: config.to_string().into(),
        };
        let commit = with_store(self.store, async |store| store.commit(vec![write]).await);
        if matches!(commit, Commit::Done(_)) {
            self.revision = revision;
            self.seen.configured.push((revision, unix_millis()));
        }
        // A write whose answer was lost may take effect, so that its number is not
        // used again.
        self.revision = self.revision.max(revision);
        Ok(())
    }

    fn start_target(&mut self, host: usize) -> Result<(), Box<str>> {
        self.hosts[host].process = Some(process::start(&self.hosts[host].target_args, None)?);
        Ok(())
    }

    /// Starts a daemon unless it runs: two faults may ask for it.
    pub fn start_daemon(&mut self, host: usize) -> Result<(), Box<str>> {
        if self.hosts[host].daemon.as_mut().is_some_and(|daemon| !daemon.has_ended()) {
            return Ok(());
        }
        self.keep_log(host);
        self.hosts[host].daemon = Some(process::start(&self.hosts[host].daemon_args, None)?);
        Ok(())
    }

    fn end_target(&mut self, host: usize) {
        if let Some(mut process) = self.hosts[host].process.take() {
            process.kill();
            // The thread that reads its lines needs a moment.
            std::thread::sleep(Duration::from_millis(20));
            self.seen.printed.push(Printed { host, lines: process.lines() });
        }
    }

    /// Appends what a daemon has written to its log.
    fn keep_log(&self, host: usize) {
        let (Some(folder), Some(daemon)) = (&self.logs, &self.hosts[host].daemon) else {
            return;
        };
        let text = daemon.lines().join("\n") + "\n";
        let path = folder.join(format!("daemon-{host}.log"));
        let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
        let written =
            file.and_then(|mut file| std::io::Write::write_all(&mut file, text.as_bytes()));
        if let Err(error) = written {
            eprintln!("soak: no log is kept: {error}");
        }
    }

    fn start_watcher(&mut self) {
        let (watch, admins) = (self.watch.clone(), self.hosts.iter().map(|host| host.admin));
        let admins: Vec<SocketAddr> = admins.collect();
        self.watcher = Some(std::thread::spawn(move || {
            while !watch.stop.load(Ordering::Relaxed) {
                for (host, admin) in admins.iter().enumerate() {
                    let at_ms = unix_millis();
                    let Some(state) = get(*admin, "/state") else { continue };
                    let node = state["node"].as_str().unwrap_or_default().into();
                    let revision = state["revision"].as_u64().unwrap_or(0);
                    let poll = Poll { at_ms, host, node, revision };
                    watch.polls.lock().unwrap_or_else(PoisonError::into_inner).push(poll);
                }
                std::thread::sleep(WATCH_EVERY);
            }
        }));
    }

    /// Ends all processes and gives what was seen.
    pub(super) fn collect(mut self) -> Seen {
        self.watch.stop.store(true, Ordering::Relaxed);
        if let Some(watcher) = self.watcher.take()
            && watcher.join().is_err()
        {
            self.seen.ends.push("the watcher has failed".into());
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].daemon.as_mut().is_some_and(Process::has_ended) {
                self.seen.ends.push(format!("daemon {host} ended by itself"));
            }
            self.keep_log(host);
            self.end_target(host);
        }
        let polls = self.watch.polls.lock().unwrap_or_else(PoisonError::into_inner).clone();
        Seen { polls, ..std::mem::take(&mut self.seen) }
    }
}

fn prepare(number: usize, store: SocketAddr, seed: u64) -> Result<Host, Box<str>> {
    let [callers, peers, admin, target, control, ready] = std::array::from_fn(|_| free_address());
    let proxy = |to| Proxy::spawn(to).map_err(|error| format!("no proxy: {error}"));
    let (to_target, to_store) = (proxy(target)?, proxy(store)?);
    let service = SERVICES[number % SERVICES.len()];
    let seed = (seed * 100 + number as u64).to_string();
    let daemon = [
        ("interface", "platform".into()),
        ("listen", callers.to_string()),
        ("peer-listen", peers.to_string()),
        ("admin", admin.to_string()),
        ("announce", control.to_string()),
        ("ready", ready.to_string()),
        ("data-centre", format!("zone-{}", number % 3)),
        ("service", service.into()),
        ("target", to_target.address().to_string()),
        ("slots", SLOTS.to_string()),
        ("platform", to_store.address().to_string()),
        ("stop-within", "5.5".into()),
        ("linger", "1.5".into()),
    ];
    let target_flags = [
        ("listen", target.to_string()),
        ("control", control.to_string()),
        ("announced", to_target.address().to_string()),
        ("service", service.into()),
        ("slots", SLOTS.to_string()),
        ("service-us", WORK_MICROS.to_string()),
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
        daemon: None,
        process: None,
        to_target,
        to_store,
    })
}

fn signal(process: Option<&Process>, name: &str) {
    if let Some(process) = process {
        process.signal(name);
    }
}
