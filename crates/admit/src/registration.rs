//! Tracks which process of the target is registered, from the notices that targets
//! send.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of departed processes that are remembered, so that notices from
/// them that arrive late are recognised as stale.
const MAX_DEPARTED: usize = 32;

/// A notice that a target sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The target is running, or finishing its requests before it stops.
    Announced(Announcement),
    /// The target is leaving now.
    Deregistered {
        /// Instance id of the process that is leaving.
        instance: Box<str>,
        /// Start time of that process, as in [`Announcement::started`]; 0 if unknown.
        started: u64,
    },
}

/// The description of a running target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Instance id of the target process. A later process may reuse it.
    pub instance: Box<str>,
    /// Service that the target provides.
    pub service: Box<str>,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the target runs at a time.
    pub slots: u16,
    /// Whether the target no longer accepts new requests.
    pub is_leaving: bool,
    /// Start time of the process in Unix milliseconds; 0 if unknown.
    pub started: u64,
    /// Increases with each announcement of one process.
    pub sequence: u64,
    /// How much longer the target is slow after its start.
    pub cold_remaining: Duration,
}

/// How a notice changes the registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeEffect {
    /// A new process is registered.
    Started,
    /// The registered process is confirmed.
    Confirmed,
    /// The registered process no longer accepts new requests.
    Leaving,
    /// The notice is outdated, or is about a process that is not registered.
    Stale,
    /// The notice describes another target than the one of the settings, and has no effect.
    Foreign,
}

/// The registered process of the target.
#[derive(Debug, Default)]
pub struct Registration {
    /// Service and address that an announcement must have; `None` accepts any.
    expected: Option<(Box<str>, SocketAddr)>,
    current: Option<Announcement>,
    departed: VecDeque<(Box<str>, u64)>,
}

impl Registration {
    /// Creates a registration for the processes of one target. Announcements with another
    /// service or address come from another writer and are not applied.
    pub fn for_target(service: Box<str>, address: SocketAddr) -> Self {
        Self { expected: Some((service, address)), ..Self::default() }
    }

    /// The registered process, which may be leaving.
    pub fn current(&self) -> Option<&Announcement> {
        self.current.as_ref()
    }

    /// Whether a process is registered and accepts new requests.
    pub fn accepts_requests(&self) -> bool {
        self.current.as_ref().is_some_and(|current| !current.is_leaving)
    }

    /// Number of departed processes that are remembered.
    pub fn departure_count(&self) -> usize {
        self.departed.len()
    }

    /// Applies a notice from a target.
    pub fn apply(&mut self, notice: Notice) -> NoticeEffect {
        match notice {
            Notice::Announced(announcement) if self.is_foreign(&announcement) => {
                NoticeEffect::Foreign
            }
            Notice::Announced(announcement) => self.apply_announcement(announcement),
            Notice::Deregistered { instance, started } => self.apply_departure(instance, started),
        }
    }

    /// Applies the description from a target's health page. It is used only while no
    /// process is registered.
    pub fn apply_health_page(&mut self, announcement: Announcement) -> NoticeEffect {
        match self.current {
            Some(_) => NoticeEffect::Stale,
            None => self.apply_announcement(announcement),
        }
    }

    /// Records that the process with this instance id states that it is leaving.
    pub fn leave(&mut self, instance: &str) -> NoticeEffect {
        match &mut self.current {
            Some(current) if *current.instance == *instance => {
                current.is_leaving = true;
                NoticeEffect::Leaving
            }
            _ => NoticeEffect::Stale,
        }
    }

    /// Removes the process with this instance id, because its address now belongs to
    /// another target. No process is registered until the next notice. Returns whether
    /// `instance` was registered.
    pub fn remove(&mut self, instance: &str) -> bool {
        let is_current =
            self.current.as_ref().is_some_and(|current| *current.instance == *instance);
        if let Some(current) = self.current.take_if(|_| is_current) {
            self.record_departure(current.instance, current.started);
        }
        is_current
    }

    fn apply_announcement(&mut self, announcement: Announcement) -> NoticeEffect {
        if self.is_stale(&announcement) {
            return NoticeEffect::Stale;
        }
        let is_same =
            self.current.as_ref().is_some_and(|known| is_same_process(known, &announcement));
        let was_leaving = is_same && self.current.as_ref().is_some_and(|known| known.is_leaving);
        // A process that is leaving does not become available again.
        let is_leaving = announcement.is_leaving || was_leaving;
        self.current = Some(Announcement { is_leaving, ..announcement });
        match (is_same, is_leaving) {
            (_, true) => NoticeEffect::Leaving,
            (true, false) => NoticeEffect::Confirmed,
            (false, false) => NoticeEffect::Started,
        }
    }

    fn apply_departure(&mut self, instance: Box<str>, started: u64) -> NoticeEffect {
        self.record_departure(instance.clone(), started);
        match &mut self.current {
            Some(current)
                if current.instance == instance && start_times_match(current.started, started) =>
            {
                current.is_leaving = true;
                NoticeEffect::Leaving
            }
            _ => NoticeEffect::Stale,
        }
    }

    fn is_foreign(&self, announcement: &Announcement) -> bool {
        self.expected.as_ref().is_some_and(|(service, address)| {
            announcement.service != *service || announcement.address != *address
        })
    }

    fn is_stale(&self, announcement: &Announcement) -> bool {
        let has_departed = self.departed.iter().any(|(instance, started)| {
            *instance == announcement.instance && departure_covers(*started, announcement.started)
        });
        let is_current =
            self.current.as_ref().is_some_and(|known| is_same_process(known, announcement));
        if has_departed && !is_current {
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

    fn record_departure(&mut self, instance: Box<str>, started: u64) {
        if self.departed.len() == MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back((instance, started));
    }
}

fn is_same_process(one: &Announcement, other: &Announcement) -> bool {
    one.instance == other.instance && start_times_match(one.started, other.started)
}

/// Whether two start times are equal. An unknown time (0) matches any other.
fn start_times_match(one: u64, other: u64) -> bool {
    one == other || one == 0 || other == 0
}

/// Whether the departure of a process that started at `departed` also applies to an
/// announcement with the start time `announced`. If only the time at the departure is
/// unknown, the announcement may come from a later process with the same instance id.
fn departure_covers(departed: u64, announced: u64) -> bool {
    departed == announced || announced == 0
}
