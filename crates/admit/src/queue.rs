//! Requests that wait in the guard, in the order in which they run.

use std::time::{Duration, Instant};

use crate::Ticket;

/// Whether a request may wait behind others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// It may not wait behind patient ones.
    Urgent,
    /// It may wait until its deadline comes near.
    Patient,
}

/// A request that waits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) class: Class,
    /// Urgency; 0 goes before all others.
    pub(crate) rank: u8,
    /// When its answer ceases to be of full use.
    pub(crate) aim: Instant,
    pub(crate) deadline: Instant,
    /// Time that it needs once it has started.
    pub(crate) needed: Duration,
}

/// What decides the order, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Its answer can still be of full use.
    InTime,
    /// It can only be answered late.
    Late,
    /// It waits behind all others.
    Patient,
}

type Key = (Stage, u8, Instant, Ticket);

/// Waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        let place = self.waiting.iter().position(|waiting| waiting.ticket == ticket);
        place.map(|place| self.waiting.swap_remove(place)).is_some()
    }

    /// Takes the request to run next. In a queue that is too long for all, those
    /// whose answers can still be of full use go before those that are late
    /// already: else each would be late in turn. A patient one counts as urgent
    /// when it must start within `margin` to be in time.
    pub(crate) fn pop(&mut self, now: Instant, margin: Duration) -> Option<Waiting> {
        let keyed = self.waiting.iter().enumerate();
        let first = keyed.min_by_key(|(_, waiting)| key_of(waiting, now, margin))?.0;
        Some(self.waiting.swap_remove(first))
    }

    /// Takes a request that cannot be answered before its deadline any more.
    pub(crate) fn pop_overdue(&mut self, now: Instant) -> Option<Waiting> {
        let place = self.waiting.iter().position(|w| w.deadline < now + w.needed)?;
        Some(self.waiting.swap_remove(place))
    }

    /// Requests that would run before a new one.
    pub(crate) fn ahead_of(&self, new: &Waiting, now: Instant, margin: Duration) -> usize {
        let own = key_of(new, now, margin);
        self.waiting.iter().filter(|waiting| key_of(waiting, now, margin) < own).count()
    }

    pub(crate) fn patient(&self) -> usize {
        self.waiting.iter().filter(|waiting| waiting.class == Class::Patient).count()
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}

fn key_of(waiting: &Waiting, now: Instant, margin: Duration) -> Key {
    let is_due = waiting.deadline <= now + margin;
    let (stage, by) = match waiting.class {
        Class::Patient if !is_due => (Stage::Patient, waiting.deadline),
        // A patient one that is due must start now.
        Class::Patient => (Stage::InTime, waiting.deadline),
        Class::Urgent if now + waiting.needed <= waiting.aim => (Stage::InTime, waiting.aim),
        Class::Urgent => (Stage::Late, waiting.deadline),
    };
    let rank = match waiting.class {
        Class::Patient => 0,
        Class::Urgent => waiting.rank,
    };
    (stage, rank, by, waiting.ticket)
}
