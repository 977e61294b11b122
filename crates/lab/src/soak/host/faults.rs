//! Injects the faults of a round and reverts them.

use std::time::Duration;

use serde_json::{Value, json};

use super::super::schedule::{Fault, Step};
use super::{FaultLocation, InjectedFault, Mesh, signal};
use crate::fleet::post;
use crate::process::Process;
use crate::proxy;
use crate::sidecar::unix_millis;

/// Time limit for a daemon to exit after TERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a leaving target keeps serving after its announcement.
const SERVE_AFTER_LEAVE: Duration = Duration::from_millis(3500);
/// Requests per second that a target accepts while it names a limit. It is below what callers
/// send to each target.
const LIMIT_PER_SECOND: f64 = 4.0;
/// Time, in milliseconds, within which a started process has installed its signal handlers.
const STARTUP_MS: u64 = 1000;

/// Amount by which a host's clock is set back. It is longer than a round, so that the next
/// process starts at an earlier time than the previous one.
const CLOCK_STEP: Duration = Duration::from_secs(60);

/// Time after the present, in milliseconds, at which the process of a foreign notice has started.
const FOREIGN_BIRTH_MS: u64 = 60_000;

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
    ResetTargetLimit(usize),
    RestoreTargetLink(usize),
    RestorePeerLink(usize),
    RestoreStoreLink(usize),
    ResetStore,
    RestoreStore,
    CoolOrganisation,
    EndEvacuation,
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
        let (location, duration, undo) = match step.fault {
            KillDaemon(host) => {
                self.hosts[host].daemon = None;
                (FaultLocation::Host(host), step.duration, Undo::StartDaemon(host))
            }
            StopDaemon(host) => {
                let daemon = self.hosts[host].daemon.as_ref();
                signal(daemon, "TERM");
                let id = daemon.map_or(0, Process::id);
                (
                    FaultLocation::Host(host),
                    Duration::ZERO,
                    Undo::AwaitStop(host, id, unix_millis()),
                )
            }
            PauseDaemon(host) => {
                signal(self.hosts[host].daemon.as_ref(), "STOP");
                (FaultLocation::Host(host), step.duration, Undo::ContinueDaemon(host))
            }
            ReloadDaemon(host) => {
                signal(self.hosts[host].daemon.as_ref(), "HUP");
                (FaultLocation::Host(host), Duration::ZERO, Undo::Nothing)
            }
            SetClockBack(host) => {
                self.hosts[host].daemon = None;
                self.kill_target(host);
                self.hosts[host].clock_behind += CLOCK_STEP;
                (FaultLocation::Host(host), step.duration, Undo::StartHost(host))
            }
            KillTarget(host) => {
                self.kill_target(host);
                (FaultLocation::Host(host), step.duration, Undo::StartTarget(host))
            }
            PauseTarget(host) => {
                signal(self.hosts[host].target_process.as_ref(), "STOP");
                (FaultLocation::Host(host), step.duration, Undo::ContinueTarget(host))
            }
            LeaveTarget(host) => {
                post(self.hosts[host].target, "/lab", &json!({ "leave": true }));
                (FaultLocation::Host(host), SERVE_AFTER_LEAVE, Undo::StartTarget(host))
            }
            DeregisterTarget(host) => {
                let late_heartbeat = step.duration.as_millis() as u64;
                let behaviour = json!({ "deregister": true, "late_heartbeat_ms": late_heartbeat });
                post(self.hosts[host].target, "/lab", &behaviour);
                (FaultLocation::Host(host), SERVE_AFTER_LEAVE, Undo::StartTarget(host))
            }
            LimitTarget(host) => {
                let limit = json!({ "rate_limit": LIMIT_PER_SECOND });
                post(self.hosts[host].target, "/lab", &limit);
                (FaultLocation::Nowhere, step.duration, Undo::ResetTargetLimit(host))
            }
            SlowTarget(host) => self.inject_target_behaviour(host, json!({ "pace": 7.0 }), step),
            FailTarget(host) => {
                self.inject_target_behaviour(host, json!({ "fails": "errors" }), step)
            }
            ShedTarget(host) => {
                self.inject_target_behaviour(host, json!({ "fails": "shed" }), step)
            }
            SilenceTarget(host) => self.inject_target_link_fault(host, proxy::Fault::Freeze, step),
            DelayTarget(host) => self.inject_target_link_fault(host, DELAY, step),
            CutTarget(host) => self.inject_target_link_fault(host, CUT, step),
            RepeatAnswers(host) => {
                self.inject_target_link_fault(host, proxy::Fault::RepeatAnswer, step)
            }
            SendForeignNotice(host) => {
                self.send_foreign_notice(host);
                return Ok(());
            }
            SilencePeer(host) => self.inject_peer_link_fault(host, proxy::Fault::Freeze, step),
            RefusePeer(host) => self.inject_peer_link_fault(host, proxy::Fault::Refuse, step),
            DelayPeer(host) => self.inject_peer_link_fault(host, DELAY, step),
            CutPeer(host) => self.inject_peer_link_fault(host, CUT, step),
            SilenceStore(host) => {
                self.hosts[host].store_proxy.set(proxy::Fault::Freeze);
                (FaultLocation::Host(host), step.duration, Undo::RestoreStoreLink(host))
            }
            CutStore(host) => {
                self.hosts[host].store_proxy.set(proxy::Fault::Refuse);
                (FaultLocation::Host(host), step.duration, Undo::RestoreStoreLink(host))
            }
            StoreDown => {
                store(json!({ "down": true }));
                (FaultLocation::Store, step.duration, Undo::ResetStore)
            }
            StoreSilent => {
                store(json!({ "silent": true }));
                (FaultLocation::Store, step.duration, Undo::ResetStore)
            }
            StoreSlow => {
                store(json!({ "slow_ms": 300 }));
                (FaultLocation::Store, step.duration, Undo::ResetStore)
            }
            StoreLosesAnswers => {
                store(json!({ "lose_answers": 0.5, "lost_effect_after_ms": 1500 }));
                (FaultLocation::Store, step.duration, Undo::ResetStore)
            }
            StoreForgets => {
                store(json!({ "drop_history": true }));
                (FaultLocation::Store, Duration::ZERO, Undo::Nothing)
            }
            CopyStore => {
                store(json!({ "copy": true }));
                return Ok(());
            }
            RestoreStore => {
                store(json!({ "down": true }));
                (FaultLocation::Store, step.duration, Undo::RestoreStore)
            }
            Configure => {
                self.configure()?;
                return Ok(());
            }
            HeatOrganisation(index) => {
                self.demand.set_hot(Some(index));
                (FaultLocation::Nowhere, step.duration, Undo::CoolOrganisation)
            }
            Evacuate(data_centre) => {
                self.evacuated = Some(data_centre);
                self.write_evacuation();
                (FaultLocation::Nowhere, step.duration, Undo::EndEvacuation)
            }
        };
        let is_planned_stop = matches!(step.fault, StopDaemon(_));
        self.observations.faults.push(InjectedFault {
            location,
            is_planned_stop,
            from_ms,
            to_ms: u64::MAX,
        });
        self.undo.push((now + duration, undo, self.observations.faults.len() - 1));
        Ok(())
    }

    fn send_foreign_notice(&self, host: usize) {
        let notice = json!({
            "address": self.hosts[host].target_proxy.address().to_string(),
            "born": unix_millis() + FOREIGN_BIRTH_MS,
            "info": { "service": "unknown", "version": "v1", "zone": "z", "slots": 8 },
            "status": { "state": "ready", "sequence": 1, "cold_remaining": "0ms" },
        });
        let to = self.hosts[host].announce;
        // A suspended daemon does not respond, which must not delay the next steps.
        std::thread::spawn(move || post(to, "/api/Instances.Heartbeat/i-other", &notice));
    }

    fn inject_target_behaviour(
        &self,
        host: usize,
        behaviour: Value,
        step: &Step,
    ) -> (FaultLocation, Duration, Undo) {
        post(self.hosts[host].target, "/lab", &behaviour);
        (FaultLocation::Host(host), step.duration, Undo::ResetTarget(host))
    }

    fn inject_target_link_fault(
        &self,
        host: usize,
        fault: proxy::Fault,
        step: &Step,
    ) -> (FaultLocation, Duration, Undo) {
        self.hosts[host].target_proxy.set(fault);
        (FaultLocation::Host(host), step.duration, Undo::RestoreTargetLink(host))
    }

    fn inject_peer_link_fault(
        &self,
        host: usize,
        fault: proxy::Fault,
        step: &Step,
    ) -> (FaultLocation, Duration, Undo) {
        self.hosts[host].peer_proxy.set(fault);
        (FaultLocation::Host(host), step.duration, Undo::RestorePeerLink(host))
    }

    /// Reverts the faults whose time is over, and restarts daemons that exited on their own,
    /// as the platform does.
    pub(in crate::soak) fn revert_expired(&mut self, now: Duration) -> Result<(), Box<str>> {
        self.restart_exited_daemons()?;
        if self.pending_evacuation {
            self.write_evacuation();
        }
        let (due, rest) =
            std::mem::take(&mut self.undo).into_iter().partition(|(until, ..)| *until <= now);
        self.undo = rest;
        for (_, undo, fault_index) in due {
            let is_over = self.revert(undo, now, fault_index)?;
            if is_over {
                self.observations.faults[fault_index].to_ms = unix_millis();
            }
        }
        Ok(())
    }

    fn restart_exited_daemons(&mut self) -> Result<(), Box<str>> {
        for host in 0..self.hosts.len() {
            let is_stopping = self.undo.iter().any(
                |(_, undo, _)| matches!(undo, Undo::AwaitStop(stopping, ..) if *stopping == host),
            );
            let daemon = &mut self.hosts[host].daemon;
            if is_stopping || !daemon.as_mut().is_some_and(Process::has_exited) {
                continue;
            }
            // A signal that arrives before a process has installed its handlers has its
            // default effect.
            let recent = unix_millis().saturating_sub(STARTUP_MS);
            let is_signalled = self.observations.faults.iter().any(|fault| {
                fault.location == FaultLocation::Host(host) && fault.from_ms >= recent
            });
            if !is_signalled {
                self.observations
                    .process_failures
                    .push(format!("daemon {host} exited unexpectedly"));
            }
            self.start_daemon(host)?;
        }
        Ok(())
    }

    fn revert(&mut self, undo: Undo, now: Duration, fault_index: usize) -> Result<bool, Box<str>> {
        match undo {
            Undo::StartDaemon(host) => self.start_daemon(host)?,
            Undo::StartHost(host) => {
                self.kill_target(host);
                self.start_target(host)?;
                self.start_daemon(host)?;
            }
            Undo::AwaitStop(host, id, requested_ms) => {
                return self.await_stop(host, id, requested_ms, now, fault_index);
            }
            Undo::ContinueDaemon(host) => signal(self.hosts[host].daemon.as_ref(), "CONT"),
            Undo::ContinueTarget(host) => signal(self.hosts[host].target_process.as_ref(), "CONT"),
            Undo::StartTarget(host) => {
                self.kill_target(host);
                self.start_target(host)?;
            }
            Undo::ResetTarget(host) => {
                post(self.hosts[host].target, "/lab", &json!({ "pace": 1.0, "fails": "" }));
            }
            Undo::ResetTargetLimit(host) => {
                post(self.hosts[host].target, "/lab", &json!({ "rate_limit": null }));
            }
            Undo::RestoreTargetLink(host) => self.hosts[host].target_proxy.set(proxy::Fault::None),
            Undo::RestorePeerLink(host) => self.hosts[host].peer_proxy.set(proxy::Fault::None),
            Undo::RestoreStoreLink(host) => self.hosts[host].store_proxy.set(proxy::Fault::None),
            Undo::ResetStore => self.reset_store(),
            Undo::RestoreStore => {
                self.end_observed_evacuation();
                post(self.store, "/faults", &json!({ "restore": true }));
                self.reset_store();
                self.write_configuration_again();
                self.write_evacuation();
            }
            Undo::CoolOrganisation => self.demand.set_hot(None),
            Undo::EndEvacuation => {
                self.end_observed_evacuation();
                self.evacuated = None;
                self.write_evacuation();
            }
            Undo::Nothing => {}
        }
        Ok(true)
    }

    fn reset_store(&self) {
        let none = json!({ "down": false, "silent": false, "slow_ms": 1, "lose_answers": 0.0 });
        post(self.store, "/faults", &none);
    }

    /// Restarts a stopped daemon after its exit.
    fn await_stop(
        &mut self,
        host: usize,
        id: u32,
        requested_ms: u64,
        now: Duration,
        fault_index: usize,
    ) -> Result<bool, Box<str>> {
        let stopping = self.hosts[host].daemon.as_mut().filter(|daemon| daemon.id() == id);
        let Some(daemon) = stopping else {
            // The daemon was killed in the meantime or is already restarted.
            return Ok(true);
        };
        let has_exited = daemon.has_exited();
        let waited = Duration::from_millis(unix_millis().saturating_sub(requested_ms));
        let paused = self
            .undo
            .iter()
            .any(|(_, undo, _)| matches!(undo, Undo::ContinueDaemon(paused) if *paused == host));
        if !has_exited && (waited < STOP_TIMEOUT || paused) {
            let next_check = now + Duration::from_millis(20);
            self.undo.push((next_check, Undo::AwaitStop(host, id, requested_ms), fault_index));
            return Ok(false);
        }
        if !has_exited {
            self.observations
                .process_failures
                .push(format!("daemon {host} did not stop within {STOP_TIMEOUT:?}"));
            self.hosts[host].daemon = None;
        }
        self.start_daemon(host)?;
        Ok(true)
    }
}
