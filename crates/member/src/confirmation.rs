//! Gossip about when the store was last read.
//!
//! A member that reads the store confirms that nothing newer than the configuration in force
//! was there. Confirmations are numbered in rounds: each is numbered one above the latest that
//! its member knew. A member therefore dates a round only once, when it first learns of it, and
//! a round that circulates does not appear younger than it is.

use std::time::{Duration, Instant};

/// Number of datagrams in which each member passes a round on.
const SENDS_PER_ROUND: u32 = 4;

/// A read of the store by some member, as a datagram carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// Number of the round; at least 1.
    pub round: u64,
    /// Time since the read.
    pub age: Duration,
}

/// What a member knows about the latest read of the store by any member.
#[derive(Debug, Default)]
pub struct Freshness {
    latest: Option<Round>,
    /// Number of datagrams that are still to carry the latest round.
    pending_sends: u32,
}

#[derive(Debug, Clone, Copy)]
struct Round {
    number: u64,
    read_at: Instant,
}

impl Freshness {
    /// Records a read by the local member, which began at `read_at`.
    pub fn confirm(&mut self, read_at: Instant) {
        let number = self.latest.map_or(0, |latest| latest.number).saturating_add(1);
        self.advance(Round { number, read_at });
    }

    /// Records a confirmation by another member. Returns `true` if it is of a later round.
    pub fn learn(&mut self, now: Instant, confirmation: Confirmation) -> bool {
        let Confirmation { round, age } = confirmation;
        let is_later = self.latest.is_none_or(|latest| latest.number < round);
        // A read from before the start of the clock says nothing.
        let Some(read_at) = now.checked_sub(age).filter(|_| is_later) else {
            return false;
        };
        self.advance(Round { number: round, read_at });
        true
    }

    /// Returns when the store was last read, as far as known.
    pub fn read_at(&self) -> Option<Instant> {
        self.latest.map(|latest| latest.read_at)
    }

    /// Whether more datagrams should carry the latest round.
    pub fn has_pending(&self) -> bool {
        self.pending_sends > 0
    }

    /// Returns the confirmation for one datagram and counts it as sent once more.
    pub fn take(&mut self, now: Instant) -> Option<Confirmation> {
        self.pending_sends = self.pending_sends.saturating_sub(1);
        let Round { number, read_at } = self.latest?;
        Some(Confirmation { round: number, age: now.duration_since(read_at) })
    }

    fn advance(&mut self, round: Round) {
        let known = self.latest.map_or(round.read_at, |latest| latest.read_at);
        self.latest = Some(Round { read_at: known.max(round.read_at), ..round });
        self.pending_sends = SENDS_PER_ROUND;
    }
}
