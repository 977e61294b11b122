//! Fault schedules, generated from a seed.

use std::time::Duration;

use super::host::DATA_CENTRES;
use super::organisations::ORGANISATIONS;

/// Time over which the steps of a round are spread.
const ROUND_DURATION: Duration = Duration::from_secs(12);
/// Steps of a round, without those of links and clocks.
const STEPS: usize = 12;
/// Additional faults on links between daemons. They are drawn after the other steps, so that
/// a seed keeps its earlier steps.
const LINK_STEPS: usize = 3;
/// Additional clock jumps, drawn last for the same reason.
const CLOCK_STEPS: usize = 1;
/// Additional limits on request rates, drawn and numbered after all other steps.
const LIMIT_STEPS: usize = 2;
/// Additional restores of the store from an older copy, drawn and numbered after all other
/// steps. Each is two steps: the copy is made, and the store comes back with it.
const RESTORES: usize = 2;
/// Additional targets that send an answer twice, drawn and numbered after all other steps.
const REPEAT_STEPS: usize = 2;
/// Additional notices of other writers, drawn and numbered after all other steps.
const FOREIGN_STEPS: usize = 3;
/// Additional targets that leave by a deregistration alone while their daemon is killed, drawn
/// and numbered after all other steps.
const DEPARTURES: usize = 2;
/// Longest time between such a departure and the kill, whichever comes first.
const DEPARTURE_OFFSET: Duration = Duration::from_millis(500);
/// Time from a fault on most hosts to the change of the configuration.
const CHANGE_DELAY: Duration = Duration::from_millis(300);
/// Greatest age of a copy, in milliseconds.
const MAX_COPY_AGE_MS: u64 = 9000;
/// Time for which a target limits its rate: a limit must be kept from 3 s after it is named,
/// and requests are counted over 4 s.
const LIMIT_DURATION: Duration = Duration::from_secs(9);
/// Time for which an organisation sends many times its usual load.
const HOT_DURATION: Duration = Duration::from_secs(9);
/// Time for which a data centre is evacuated. Nothing may be sent there from 5 s on.
const EVACUATION_DURATION: Duration = Duration::from_secs(12);
/// Earliest start of an evacuation. It goes on for some seconds after the other faults, since it
/// need not be in force near faults.
const EVACUATION_START: Duration = Duration::from_secs(9);

/// A fault with its time.
#[derive(Debug, Clone)]
pub(super) struct Step {
    /// Start, relative to the end of the initial fault-free period.
    pub(super) at: Duration,
    /// Duration of the fault.
    pub(super) duration: Duration,
    pub(super) fault: Fault,
}

/// A fault and the host that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// Kills the daemon and restarts it.
    KillDaemon(usize),
    /// Sends TERM to the daemon and restarts it after its exit.
    StopDaemon(usize),
    /// Suspends the daemon.
    PauseDaemon(usize),
    /// Sends HUP to the daemon, so that it reloads its settings.
    ReloadDaemon(usize),
    /// Kills the target; a new process takes over its address.
    KillTarget(usize),
    /// Suspends the target.
    PauseTarget(usize),
    /// Makes the target announce that it is leaving, then replaces its process.
    LeaveTarget(usize),
    /// Makes the target leave without announcing it before. A heartbeat that it sent before
    /// arrives after the duration of the step.
    DeregisterTarget(usize),
    /// Makes requests at the target take seven times as long.
    SlowTarget(usize),
    /// Makes the target answer with errors.
    FailTarget(usize),
    /// Makes the target shed requests although it has free slots.
    ShedTarget(usize),
    /// Holds back all bytes between daemon and target.
    SilenceTarget(usize),
    /// Delays bytes between daemon and target.
    DelayTarget(usize),
    /// Cuts connections in the middle of the target's answers.
    CutTarget(usize),
    /// Repeats an answer of the target on each connection, in place of the next one.
    RepeatAnswers(usize),
    /// Sends the daemon a notice of another writer, with an unknown service. Excuses nothing.
    SendForeignNotice(usize),
    /// Holds back all bytes between daemon and store.
    SilenceStore(usize),
    /// Refuses the daemon's connections to the store.
    CutStore(usize),
    /// Makes the store respond with 503.
    StoreDown,
    /// Makes the store not respond.
    StoreSilent,
    /// Makes the store slow.
    StoreSlow,
    /// Makes the store lose the responses to some writes; these take effect seconds later.
    StoreLosesAnswers,
    /// Makes the store drop its change history.
    StoreForgets,
    /// Makes a copy of the store. Excuses nothing.
    CopyStore,
    /// Makes the store respond with 503 and then come back from its latest copy. Operators
    /// write their configuration again.
    RestoreStore,
    /// Changes the configuration, as operators do.
    Configure,
    /// Holds back bytes and drops datagrams from other daemons to this one, but not in the
    /// other direction.
    SilencePeer(usize),
    /// Refuses new connections and drops datagrams from other daemons to this one.
    RefusePeer(usize),
    /// Delays bytes and datagrams from other daemons to this one.
    DelayPeer(usize),
    /// Cuts connections from other daemons to this one in the middle of answers.
    CutPeer(usize),
    /// Makes the target name the request rate that it accepts. Excuses nothing.
    LimitTarget(usize),
    /// Makes an organisation, by index, send many times its usual load. Excuses nothing.
    HeatOrganisation(usize),
    /// Requests the evacuation of the data centre with this number. Excuses nothing.
    Evacuate(usize),
    /// Kills daemon and target, sets the host's wall clock back and restarts both.
    SetClockBack(usize),
}

/// Generates the schedule of a seed, ordered by time but for the limits at its end.
pub(super) fn generate(seed: u64, hosts: usize) -> Vec<Step> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut generate_step = |pick_fault: fn(&mut fastrand::Rng, usize) -> Fault| Step {
        at: ROUND_DURATION.mul_f64(random.f64()),
        duration: Duration::from_millis(random.u64(200..3500)),
        fault: pick_fault(&mut random, hosts),
    };
    let pickers = std::iter::repeat_n(pick_fault as fn(&mut _, _) -> _, STEPS);
    let pickers =
        pickers.chain(std::iter::repeat_n(pick_link_fault as fn(&mut _, _) -> _, LINK_STEPS));
    let set_back: fn(&mut fastrand::Rng, usize) -> Fault =
        |random, hosts| Fault::SetClockBack(random.usize(..hosts));
    let pickers = pickers.chain(std::iter::repeat_n(set_back, CLOCK_STEPS));
    let mut steps: Vec<Step> = pickers.map(&mut generate_step).collect();
    steps.sort_by_key(|step| step.at);
    steps.extend((0..LIMIT_STEPS).map(|_| Step {
        duration: LIMIT_DURATION,
        ..generate_step(|random, hosts| Fault::LimitTarget(random.usize(..hosts)))
    }));
    for _ in 0..RESTORES {
        let restore = generate_step(|_, _| Fault::RestoreStore);
        let copy = generate_step(|_, _| Fault::CopyStore);
        let age = Duration::from_millis(copy.duration.as_millis() as u64 * 3 % MAX_COPY_AGE_MS);
        steps.push(Step { at: restore.at.saturating_sub(age), ..copy });
        steps.push(restore);
    }
    steps.extend(
        (0..REPEAT_STEPS)
            .map(|_| generate_step(|random, hosts| Fault::RepeatAnswers(random.usize(..hosts)))),
    );
    for affect in [Fault::SilenceStore as fn(usize) -> Fault, Fault::PauseDaemon] {
        let step = generate_step(|random, hosts| Fault::SilenceStore(random.usize(..hosts)));
        steps.extend(affect_most_hosts(&step, hosts, affect));
    }
    steps.extend(
        (0..FOREIGN_STEPS).map(|_| {
            generate_step(|random, hosts| Fault::SendForeignNotice(random.usize(..hosts)))
        }),
    );
    steps.push(Step {
        duration: HOT_DURATION,
        ..generate_step(|random, _| Fault::HeatOrganisation(random.usize(..ORGANISATIONS.len())))
    });
    let evacuation = generate_step(|random, _| Fault::Evacuate(random.usize(..DATA_CENTRES)));
    steps.push(Step {
        at: EVACUATION_START + evacuation.at / 4,
        duration: EVACUATION_DURATION,
        ..evacuation
    });
    for _ in 0..DEPARTURES {
        let host = random.usize(..hosts);
        let at = ROUND_DURATION.mul_f64(random.f64());
        let kill_at = at + 2 * DEPARTURE_OFFSET.mul_f64(random.f64());
        steps.push(Step {
            at,
            duration: Duration::from_millis(random.u64(200..3500)),
            fault: Fault::DeregisterTarget(host),
        });
        steps.push(Step {
            at: kill_at.saturating_sub(DEPARTURE_OFFSET),
            duration: Duration::from_millis(random.u64(50..900)),
            fault: Fault::KillDaemon(host),
        });
    }
    steps
}

/// Returns a fault on all hosts but the one that `step` names, and a change of the configuration
/// meanwhile. The spared host has no other host that reads the store for it.
fn affect_most_hosts(step: &Step, hosts: usize, affect: fn(usize) -> Fault) -> Vec<Step> {
    let affected = (0..hosts).filter(|host| step.fault != Fault::SilenceStore(*host));
    let mut steps: Vec<Step> =
        affected.map(|host| Step { fault: affect(host), ..step.clone() }).collect();
    steps.push(Step { at: step.at + CHANGE_DELAY, fault: Fault::Configure, ..step.clone() });
    steps
}

fn pick_fault(random: &mut fastrand::Rng, hosts: usize) -> Fault {
    let host = random.usize(..hosts);
    match random.u8(..24) {
        0 | 1 => Fault::KillDaemon(host),
        2 | 3 => Fault::StopDaemon(host),
        4 => Fault::PauseDaemon(host),
        5 => Fault::ReloadDaemon(host),
        6 => Fault::KillTarget(host),
        7 => Fault::PauseTarget(host),
        8 | 9 => Fault::LeaveTarget(host),
        10 => Fault::SlowTarget(host),
        11 => Fault::FailTarget(host),
        12 => Fault::ShedTarget(host),
        13 => Fault::SilenceTarget(host),
        14 => Fault::DelayTarget(host),
        15 => Fault::CutTarget(host),
        16 => Fault::SilenceStore(host),
        17 => Fault::CutStore(host),
        18 => Fault::StoreDown,
        19 => Fault::StoreSilent,
        20 => Fault::StoreSlow,
        21 => Fault::StoreLosesAnswers,
        22 => Fault::StoreForgets,
        _ => Fault::Configure,
    }
}

fn pick_link_fault(random: &mut fastrand::Rng, hosts: usize) -> Fault {
    let host = random.usize(..hosts);
    match random.u8(..4) {
        0 => Fault::SilencePeer(host),
        1 => Fault::RefusePeer(host),
        2 => Fault::DelayPeer(host),
        _ => Fault::CutPeer(host),
    }
}
