//! Schedules of faults, drawn from a seed.

use std::time::Duration;

/// Time over which the steps of a round are spread.
const ROUND: Duration = Duration::from_secs(12);
/// Steps of a round.
const STEPS: usize = 12;
/// Faults of links between daemons beside them, drawn after them, so that a seed
/// keeps its steps.
const LINK_STEPS: usize = 3;
/// Clocks that jump, drawn after those.
const CLOCK_STEPS: usize = 1;

/// A fault at a time of a round.
#[derive(Debug, Clone)]
pub(super) struct Step {
    /// When it begins, counted from the first step.
    pub(super) at: Duration,
    /// How long it lasts.
    pub(super) lasts: Duration,
    pub(super) fault: Fault,
}

/// What goes wrong, and at which host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// The daemon is killed and started again.
    KillDaemon(usize),
    /// The daemon is asked to stop and started again.
    StopDaemon(usize),
    /// The daemon stands still.
    PauseDaemon(usize),
    /// The daemon is asked to look at its settings again.
    ReloadDaemon(usize),
    /// The target is killed; another start takes its address.
    KillTarget(usize),
    /// The target stands still.
    PauseTarget(usize),
    /// The target announces that it leaves, and ends; another start follows.
    LeaveTarget(usize),
    /// The target takes seven times as long.
    SlowTarget(usize),
    /// The target answers with errors.
    FailTarget(usize),
    /// The target refuses what it has slots for.
    ShedTarget(usize),
    /// Bytes between daemon and target are held back.
    SilenceTarget(usize),
    /// Bytes between daemon and target come late.
    DelayTarget(usize),
    /// Answers of the target are cut.
    CutTarget(usize),
    /// Bytes between daemon and store are held back.
    SilenceStore(usize),
    /// The daemon's connections to the store are refused.
    CutStore(usize),
    /// The store answers 503.
    StoreDown,
    /// The store gives no answer.
    StoreSilent,
    /// The store is slow.
    StoreSlow,
    /// The store does writes and does not answer; some take effect seconds later.
    StoreLosesAnswers,
    /// The store drops its history.
    StoreForgets,
    /// The operators change the configuration.
    Configure,
    /// Bytes and datagrams to the daemon from the others are held back or lost; its
    /// own to them are not.
    SilencePeer(usize),
    /// New connections of the others to the daemon are refused, datagrams are lost.
    RefusePeer(usize),
    /// Bytes and datagrams to the daemon come late.
    DelayPeer(usize),
    /// Connections of the others to the daemon are cut in the midst of answers.
    CutPeer(usize),
    /// Daemon and target are killed; when they start again their host's time of day has
    /// been set back.
    SetClockBack(usize),
}

/// Draws a schedule.
pub(super) fn draw(seed: u64, hosts: usize) -> Vec<Step> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut draw = |pick: fn(&mut fastrand::Rng, usize) -> Fault| Step {
        at: ROUND.mul_f64(random.f64()),
        lasts: Duration::from_millis(random.u64(200..3500)),
        fault: pick(&mut random, hosts),
    };
    let picks = std::iter::repeat_n(pick as fn(&mut _, _) -> _, STEPS);
    let picks = picks.chain(std::iter::repeat_n(pick_link as fn(&mut _, _) -> _, LINK_STEPS));
    let set_back: fn(&mut fastrand::Rng, usize) -> Fault =
        |random, hosts| Fault::SetClockBack(random.usize(..hosts));
    let picks = picks.chain(std::iter::repeat_n(set_back, CLOCK_STEPS));
    let mut steps: Vec<Step> = picks.map(&mut draw).collect();
    steps.sort_by_key(|step| step.at);
    steps
}

fn pick(random: &mut fastrand::Rng, hosts: usize) -> Fault {
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

fn pick_link(random: &mut fastrand::Rng, hosts: usize) -> Fault {
    let host = random.usize(..hosts);
    match random.u8(..4) {
        0 => Fault::SilencePeer(host),
        1 => Fault::RefusePeer(host),
        2 => Fault::DelayPeer(host),
        _ => Fault::CutPeer(host),
    }
}
