//! The number of hosts among which quotas are divided.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Time for which each lost host, and the largest number heard from others, still counts.
const MEMORY: Duration = Duration::from_secs(60);
/// Number of parts of [`MEMORY`] for which the largest number heard is kept.
const SLOTS: usize = 12;
/// Part of the known hosts that may be lost for longer without counting. More are probably on the
/// other side of a partition and accrue there, so they count until they are forgotten or have
/// left. It is the part by which a quota may be exceeded.
const MAX_UNCOUNTED: f64 = 0.1;
/// Time after which a host that has met no other member accrues.
const ALONE: Duration = Duration::from_secs(5);
/// Time without growth of the number of hosts after which a host that has just started accrues.
/// When many hosts start at once, their first lists are incomplete. Until then, requests with a
/// quota are refused.
const STEADY: Duration = Duration::from_millis(300);
/// Time since the first exchange of lists after which a host accrues even if its list grows.
const STEADY_LIMIT: Duration = Duration::from_secs(10);

/// Whether a host in the member list is present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The host is alive, suspected or leaving.
    Present,
    /// The host is lost. It may be unreachable and still admit requests.
    Lost,
}

/// Number of hosts in the fleet, as far as the local host knows.
#[derive(Debug)]
pub struct Fleet {
    started: Instant,
    exchanged: Option<Instant>,
    grown: Instant,
    is_steady: bool,
    /// Present hosts.
    present: u32,
    /// When each lost host was first seen to be lost.
    lost: HashMap<Box<str>, Instant>,
    /// Largest number heard in each recent slot of time, with the start of the slot.
    heard: [(Option<Instant>, u32); SLOTS],
    largest: u32,
}

impl Fleet {
    /// Creates a fleet of only the local host, which starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            exchanged: None,
            grown: now,
            is_steady: false,
            present: 1,
            lost: HashMap::new(),
            heard: [(None, 0); SLOTS],
            largest: 1,
        }
    }

    /// Replaces the list of hosts by the addresses of all members that have not left, including
    /// the local one.
    pub fn set_members<'a>(
        &mut self,
        now: Instant,
        members: impl IntoIterator<Item = (&'a str, Presence)>,
    ) {
        let (mut present, mut lost) = (HashSet::new(), HashSet::new());
        for (address, presence) in members {
            match presence {
                Presence::Present => present.insert(address),
                Presence::Lost => lost.insert(address),
            };
        }
        self.present = present.len().max(1) as u32;
        self.lost.retain(|address, _| lost.contains(&**address) && !present.contains(&**address));
        for address in lost.difference(&present) {
            if !self.lost.contains_key(*address) {
                self.lost.insert((*address).into(), now);
            }
        }
        self.note_growth(now);
    }

    /// The local host has compared its list with that of another member, which is not lost.
    pub fn exchanged(&mut self, now: Instant) {
        self.exchanged.get_or_insert(now);
    }

    /// Another host counts this many hosts.
    pub fn heard(&mut self, now: Instant, hosts: u32) {
        let slot_length = MEMORY / SLOTS as u32;
        let slot = (now.saturating_duration_since(self.started).as_secs() / slot_length.as_secs())
            as usize
            % SLOTS;
        let (start, most) = &mut self.heard[slot];
        let is_current =
            start.is_some_and(|start| now.saturating_duration_since(start) <= slot_length);
        if !is_current {
            (*start, *most) = (Some(now), 0);
        }
        *most = (*most).max(hosts);
        self.note_growth(now);
    }

    /// Returns the number of hosts that the local host counts by itself. This is what it tells
    /// others: a number that was only heard would otherwise be repeated forever.
    pub fn count(&self, now: Instant) -> u32 {
        let is_old = |since: &&Instant| now.saturating_duration_since(**since) >= MEMORY;
        let old = self.lost.values().filter(is_old).count() as u32;
        let known = self.present + self.lost.len() as u32;
        let are_uncounted = f64::from(old) <= f64::from(known) * MAX_UNCOUNTED;
        known - if are_uncounted { old } else { 0 }
    }

    /// Returns the number of hosts among which quotas are divided, or `None` while the local
    /// host does not know enough to accrue.
    pub fn hosts(&mut self, now: Instant) -> Option<u32> {
        let largest = self.largest_known(now);
        if !self.is_steady {
            self.is_steady = match self.exchanged {
                Some(exchanged) => {
                    now.saturating_duration_since(self.grown.max(exchanged)) >= STEADY
                        || now.saturating_duration_since(exchanged) >= STEADY_LIMIT
                }
                None => now.saturating_duration_since(self.started) >= ALONE,
            };
        }
        self.is_steady.then_some(largest)
    }

    fn largest_known(&self, now: Instant) -> u32 {
        let is_recent = |start: Option<Instant>| {
            start.is_some_and(|start| now.saturating_duration_since(start) < MEMORY)
        };
        let heard = self.heard.iter().filter(|(start, _)| is_recent(*start));
        heard.map(|(_, most)| *most).max().unwrap_or(0).max(self.count(now))
    }

    fn note_growth(&mut self, now: Instant) {
        let largest = self.largest_known(now);
        if largest > self.largest {
            self.grown = now;
            self.largest = largest;
        }
    }
}
