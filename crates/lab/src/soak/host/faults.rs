//! Injects the faults of a round and reverts them.

use std::time::Duration;

use serde_json::{Value, json};

use super::super::schedule::{Fault, Step};
use super::{Made, Mesh, Place, signal};
use crate::fleet::post;
use crate::process::Process;
use crate::proxy;
use crate::sidecar::unix_millis;

/// Time limit for a daemon to exit after TERM.
const STOP_LIMIT: Duration = Duration::from_secs(6);
/// Time for which a leaving target keeps serving after its announcement.
const SERVES_ON: Duration = Duration::from_millis(3500);
/// Time, in milliseconds, within which a started process has installed its signal handlers.
const START_MS: u64 = 1000;

/// Amount by which a host's clock is set back. It is longer than a round, so that the next
/// process starts at an earlier time than the previous one.
const CLOCK_STEP: Duration = Duration::from_secs(60);

/// Fault of a link that delays bytes.
const DELAY: proxy::Fault = proxy::Fault::Delay(Duration::from_millis(60));
/// Fault of a link that cuts connections after 300 bytes: after some complete answers, in the
/// middle of another one.
const CUT: proxy::Fault = proxy::Fault::CutAnswer(300);

/// Action that reverts a fault.
pub(super) enum Undo {
    StartDaemon(usize),
    /// Starts target and daemon.
    StartHost(usize),
    /// Waits for the exit of a daemon. Contains host, process id and the time of TERM in Unix
    /// milliseconds.
    AwaitStop(usize, u32, u64),
    ContinueDaemon(usize),
    ContinueTarget(usize),
    StartTarget(usize),
    ResetTarget(usize),
    OpenTarget(usize),
    OpenPeer(usize),
    OpenStore(usize),
    ResetStore,
    Nothing,
}

impl Mesh {
    /// Injects a fault.
    pub(in crate::soak) fn inject(&mut self, step: &Step, now: Duration) -> Result<(), Box<str>> {
        use Fault::*;
        // Taken before the injection, because a killed process is gone before this function
        // records the fault.
        let from_ms = unix_millis();
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
            SetClockBack(host) => {
                self.hosts[host].daemon = None;
                self.end_target(host);
                self.hosts[host].clock_behind += CLOCK_STEP;
                (Place::Host(host), step.lasts, Undo::StartHost(host))
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
            DelayTarget(host) => self.set_way(host, DELAY, step),
            CutTarget(host) => self.set_way(host, CUT, step),
            SilencePeer(host) => self.set_link(host, proxy::Fault::Freeze, step),
            RefusePeer(host) => self.set_link(host, proxy::Fault::Refuse, step),
            DelayPeer(host) => self.set_link(host, DELAY, step),
            CutPeer(host) => self.set_link(host, CUT, step),
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

    fn set_link(&self, host: usize, fault: proxy::Fault, step: &Step) -> (Place, Duration, Undo) {
        self.hosts[host].to_peer.set(fault);
        (Place::Host(host), step.lasts, Undo::OpenPeer(host))
    }

    /// Reverts the faults whose time is over, and restarts daemons that exited on their own,
    /// as the platform does.
    pub(in crate::soak) fn undo_due(&mut self, now: Duration) -> Result<(), Box<str>> {
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
            // A signal that arrives before a process has installed its handlers has its
            // default effect.
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
            Undo::StartHost(host) => {
                self.end_target(host);
                self.start_target(host)?;
                self.start_daemon(host)?;
            }
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
            Undo::OpenPeer(host) => self.hosts[host].to_peer.set(proxy::Fault::None),
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

    /// Restarts a stopped daemon after its exit.
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
            // The daemon was killed in the meantime or is already restarted.
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
}
