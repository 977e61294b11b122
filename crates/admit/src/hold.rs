//! Requests that crash the targets that run them.
//!
//! A request in flight at the crashes of two targets is held: no guard starts
//! it and no entry forwards it for a bounded time. Requests that have been
//! answered lately are never suspected, so that a popular request that was in
//! flight beside one that crashes is not condemned with it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Hash of a request's service, method, path and body.
pub type Fingerprint = u64;

/// Random number of one crash.
pub type Crash = u64;

/// Crashes after which a request is held.
const HELD_AFTER: usize = 2;
/// First and longest time of a hold. It doubles with each further crash.
const HOLD_MIN: Duration = Duration::from_secs(60);
const HOLD_MAX: Duration = Duration::from_secs(600);
/// How long a crash is remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// How long an answer proves that a request is harmless.
const HARMLESS_FOR: Duration = Duration::from_secs(30);
/// Most requests remembered of each kind.
const MAX_REMEMBERED: usize = 4096;

/// That a request was in flight at a crash, as daemons tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Hold {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crash.
    pub crash: Crash,
}

/// What one daemon knows of requests and crashes.
#[derive(Debug, Default)]
pub struct Holds {
    suspects: HashMap<Fingerprint, Suspect>,
    harmless: HashMap<Fingerprint, Instant>,
}

#[derive(Debug)]
struct Suspect {
    crashes: Vec<Crash>,
    last: Instant,
}

impl Holds {
    /// Notes a crash of the target beside this daemon, with the requests that
    /// were in flight. Returns what other daemons have to know.
    pub fn observe_crash(
        &mut self,
        now: Instant,
        crash: Crash,
        in_flight: impl IntoIterator<Item = Fingerprint>,
    ) -> Vec<Hold> {
        let holds = in_flight.into_iter().map(|fingerprint| Hold { fingerprint, crash });
        holds.filter(|hold| self.hear(now, *hold)).collect()
    }

    /// Takes in what a daemon has told. `true` when it was news.
    pub fn hear(&mut self, now: Instant, hold: Hold) -> bool {
        if self.is_harmless(now, hold.fingerprint) {
            return false;
        }
        self.forget(now);
        let suspect = self
            .suspects
            .entry(hold.fingerprint)
            .or_insert(Suspect { crashes: Vec::new(), last: now });
        if suspect.crashes.contains(&hold.crash) {
            return false;
        }
        suspect.crashes.push(hold.crash);
        suspect.last = now;
        true
    }

    /// Notes that a request was answered: it crashes nothing.
    pub fn observe_answer(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
        if self.harmless.len() >= MAX_REMEMBERED {
            self.harmless.retain(|_, at| now.duration_since(*at) < HARMLESS_FOR / 2);
        }
        if self.harmless.len() < MAX_REMEMBERED {
            self.harmless.insert(fingerprint, now);
        }
    }

    /// The time for which a request is still held.
    pub fn held_for(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        let suspect = self.suspects.get(&fingerprint)?;
        let further = suspect.crashes.len().checked_sub(HELD_AFTER)?;
        let hold = HOLD_MIN.saturating_mul(1 << further.min(8)).min(HOLD_MAX);
        hold.checked_sub(now.duration_since(suspect.last)).filter(|left| !left.is_zero())
    }

    /// Number of requests held now.
    pub fn count_held(&self, now: Instant) -> usize {
        let held = |fingerprint: &&Fingerprint| self.held_for(now, **fingerprint).is_some();
        self.suspects.keys().filter(held).count()
    }

    fn is_harmless(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let answered = self.harmless.get(&fingerprint);
        answered.is_some_and(|at| now.duration_since(*at) < HARMLESS_FOR)
    }

    fn forget(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| now.duration_since(suspect.last) < MEMORY);
        if self.suspects.len() >= MAX_REMEMBERED {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last);
            if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.suspects.remove(&fingerprint);
            }
        }
    }
}
