//! Which start of the target is served, by what targets say of themselves.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Starts that have left which are remembered, so that late news of them is
/// known to be late.
const MAX_GONE: usize = 32;

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// It is there.
    Here(Announcement),
    /// It leaves now.
    Gone {
        /// Id of the start that leaves.
        instance: Box<str>,
        /// When that start was, as in [`Announcement::started`]; 0 if not told.
        started: u64,
    },
}

/// A target that is there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Id of the target's start; a later start may have the same.
    pub instance: Box<str>,
    /// Service that it answers for.
    pub service: Box<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// It takes no new work.
    pub is_leaving: bool,
    /// Unix time of its start in milliseconds; 0 if not told.
    pub started: u64,
    /// Grows with each announcement of one start.
    pub sequence: u64,
    /// How much longer it is slow after its start.
    pub cold_for: Duration,
}

/// What a notice changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A start that was not known is served now.
    Started,
    /// The start that is served is confirmed.
    Confirmed,
    /// The start that is served takes no new work.
    Leaving,
    /// The notice is about an earlier time or another start.
    Stale,
}

/// The start of the target that is served.
#[derive(Debug, Default)]
pub struct Standing {
    current: Option<Announcement>,
    gone: VecDeque<(Box<str>, u64)>,
}

impl Standing {
    /// The start that is served, or that is leaving.
    pub fn current(&self) -> Option<&Announcement> {
        self.current.as_ref()
    }

    /// Whether a start is known and takes new work.
    pub fn takes_work(&self) -> bool {
        self.current.as_ref().is_some_and(|current| !current.is_leaving)
    }

    /// Takes in what a target says of itself.
    pub fn hear(&mut self, notice: Notice) -> Change {
        match notice {
            Notice::Here(announcement) => self.hear_announcement(announcement),
            Notice::Gone { instance, started } => self.hear_gone(instance, started),
        }
    }

    /// Takes in what a target's health page shows while nothing has been heard.
    pub fn guess(&mut self, announcement: Announcement) -> Change {
        match self.current {
            Some(_) => Change::Stale,
            None => self.hear_announcement(announcement),
        }
    }

    /// The address is another target's: nothing is known until the next notice.
    /// `true` when `instance` was served.
    pub fn forget(&mut self, instance: &str) -> bool {
        let is_current =
            self.current.as_ref().is_some_and(|current| *current.instance == *instance);
        if let Some(current) = self.current.take_if(|_| is_current) {
            self.note_gone(current.instance, current.started);
        }
        is_current
    }

    fn hear_announcement(&mut self, announcement: Announcement) -> Change {
        if self.is_stale(&announcement) {
            return Change::Stale;
        }
        let is_same =
            self.current.as_ref().is_some_and(|known| is_same_start(known, &announcement));
        let was_leaving = is_same && self.current.as_ref().is_some_and(|known| known.is_leaving);
        // A start that leaves does not come back.
        let is_leaving = announcement.is_leaving || was_leaving;
        self.current = Some(Announcement { is_leaving, ..announcement });
        match (is_same, is_leaving) {
            (_, true) => Change::Leaving,
            (true, false) => Change::Confirmed,
            (false, false) => Change::Started,
        }
    }

    fn hear_gone(&mut self, instance: Box<str>, started: u64) -> Change {
        self.note_gone(instance.clone(), started);
        match &mut self.current {
            Some(current) if current.instance == instance && agree(current.started, started) => {
                current.is_leaving = true;
                Change::Leaving
            }
            _ => Change::Stale,
        }
    }

    fn is_stale(&self, announcement: &Announcement) -> bool {
        let has_left = self.gone.iter().any(|(instance, started)| {
            *instance == announcement.instance && agree_exactly(*started, announcement.started)
        });
        let is_current =
            self.current.as_ref().is_some_and(|known| is_same_start(known, announcement));
        if has_left && !is_current {
            return true;
        }
        let Some(known) = &self.current else {
            return false;
        };
        match is_current {
            true => announcement.sequence < known.sequence,
            false => announcement.started != 0 && announcement.started < known.started,
        }
    }

    fn note_gone(&mut self, instance: Box<str>, started: u64) {
        if self.gone.len() == MAX_GONE {
            self.gone.pop_front();
        }
        self.gone.push_back((instance, started));
    }
}

fn is_same_start(one: &Announcement, other: &Announcement) -> bool {
    one.instance == other.instance && agree(one.started, other.started)
}

/// Times of a start agree, where both are told.
fn agree(one: u64, other: u64) -> bool {
    one == other || one == 0 || other == 0
}

/// A start whose time was not told when it left may not be the one that speaks
/// now, if that tells its time.
fn agree_exactly(gone: u64, now: u64) -> bool {
    gone == now || now == 0
}
