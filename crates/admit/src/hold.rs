//! Holds requests that crash the targets that run them.
//!
//! A request that was in flight at two crashes is held for a bounded time: no
//! guard starts it and no entry forwards it. Requests that were answered
//! recently are never suspected. Otherwise a popular request would be held
//! merely because it was in flight beside the one that causes the crashes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Hash of a request's service, method, path and body.
pub type Fingerprint = u64;

/// Random number that identifies one crash.
pub type CrashId = u64;

/// Number of crashes after which a request is held.
const CRASHES_BEFORE_HOLD: usize = 2;
/// Shortest and longest hold. The hold time doubles with each further crash.
const HOLD_MIN: Duration = Duration::from_secs(60);
const HOLD_MAX: Duration = Duration::from_secs(600);
/// How long a suspected request is remembered after its last crash.
const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
/// How long a request counts as harmless after it was answered.
const HARMLESS_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of suspected requests, and of harmless ones, that are remembered.
const MAX_TRACKED: usize = 4096;

/// States that a request was in flight at a crash. Daemons send these to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Hold {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crash.
    pub crash: CrashId,
}

/// Tracks which requests were in flight at crashes, and which ones are harmless.
#[derive(Debug, Default)]
pub struct HoldTracker {
    suspects: HashMap<Fingerprint, SuspectRequest>,
    harmless: HashMap<Fingerprint, Instant>,
}

#[derive(Debug)]
struct SuspectRequest {
    crashes: Vec<CrashId>,
    last_crash: Instant,
}

impl HoldTracker {
    /// Records a crash of the target beside this daemon, with the requests that
    /// were in flight. Returns the holds to send to other daemons.
    pub fn observe_crash(
        &mut self,
        now: Instant,
        crash: CrashId,
        in_flight: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<Hold> {
        let holds = in_flight.into_iter().map(|fingerprint| Hold { fingerprint, crash });
        holds.filter(|hold| self.apply(now, *hold)).collect()
    }

    /// Applies a hold received from another daemon. Returns whether it was new.
    pub fn apply(&mut self, now: Instant, hold: Hold) -> bool {
        if self.is_harmless(now, hold.fingerprint) {
            return false;
        }
        self.evict_suspects(now);
        let suspect = self
            .suspects
            .entry(hold.fingerprint)
            .or_insert(SuspectRequest { crashes: Vec::new(), last_crash: now });
        if suspect.crashes.contains(&hold.crash) {
            return false;
        }
        suspect.crashes.push(hold.crash);
        suspect.last_crash = now;
        true
    }

    /// Records that a request was answered, which shows that it causes no crash.
    pub fn observe_answer(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
        if self.harmless.len() >= MAX_TRACKED {
            self.harmless.retain(|_, at| now.duration_since(*at) < HARMLESS_RETENTION / 2);
        }
        if self.harmless.len() < MAX_TRACKED {
            self.harmless.insert(fingerprint, now);
        }
    }

    /// Returns how much longer a request is held, or `None` if it is not held.
    pub fn held_for(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        let suspect = self.suspects.get(&fingerprint)?;
        let further = suspect.crashes.len().checked_sub(CRASHES_BEFORE_HOLD)?;
        let hold = HOLD_MIN.saturating_mul(1 << further.min(8)).min(HOLD_MAX);
        hold.checked_sub(now.duration_since(suspect.last_crash)).filter(|left| !left.is_zero())
    }

    /// Number of requests that are currently held.
    pub fn count_held(&self, now: Instant) -> usize {
        let held = |fingerprint: &&Fingerprint| self.held_for(now, **fingerprint).is_some();
        self.suspects.keys().filter(held).count()
    }

    fn is_harmless(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let answered = self.harmless.get(&fingerprint);
        answered.is_some_and(|at| now.duration_since(*at) < HARMLESS_RETENTION)
    }

    /// Removes expired suspects, and the oldest one if there are still too many.
    fn evict_suspects(&mut self, now: Instant) {
        self.suspects
            .retain(|_, suspect| now.duration_since(suspect.last_crash) < SUSPECT_RETENTION);
        if self.suspects.len() >= MAX_TRACKED {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last_crash);
            if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.suspects.remove(&fingerprint);
            }
        }
    }
}
