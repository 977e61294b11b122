//! Tracks which process of the target is registered, from the notices that targets
//! send.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of departed processes that are remembered, so that notices from
/// them that arrive late are recognised as stale.
const MAX_DEPARTED: usize = 32;
/// Longest time for which a notice is under way. One that arrives later than that after an event
/// was sent after the event.
const MAX_NOTICE_DELAY: Duration = Duration::from_secs(10);

/// A notice that a target sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The target is running, or finishing its requests before it stops.
    Announced(Announcement),
    /// The target is leaving now.
    Deregistered {
        /// Instance id of the process that is leaving.
        instance: Box<str>,
        /// Start time of that process, as in [`Announcement::started`].
        started: Option<u64>,
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
    /// Start time of the process in Unix milliseconds; `None` if unknown.
    pub started: Option<u64>,
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
#[derive(Debug)]
pub struct Registration {
    created_at: Instant,
    /// Service and address that an announcement must have; `None` accepts any.
    expected: Option<(Box<str>, SocketAddr)>,
    current: Option<Announcement>,
    /// Whether all departures are known of processes that may still be announced. Until then, an
    /// announced process may have left before this registration was created, and an earlier
    /// daemon has acknowledged that.
    is_confirmed: bool,
    /// The process whose health page did not say that it is in service, while the registration
    /// was not confirmed.
    denied: Option<Box<str>>,
    departed: VecDeque<Departure>,
}

/// A process that has left.
#[derive(Debug)]
struct Departure {
    instance: Box<str>,
    started: Option<u64>,
    /// Time at which the departure was last stated.
    at: Instant,
}

impl Registration {
    /// Creates a registration for the processes of any target.
    pub fn new(now: Instant) -> Self {
        Self {
            created_at: now,
            expected: None,
            current: None,
            is_confirmed: false,
            denied: None,
            departed: VecDeque::new(),
        }
    }

    /// Creates a registration for the processes of one target. Announcements with another
    /// service or address come from another writer and are not applied.
    pub fn for_target(now: Instant, service: Box<str>, address: SocketAddr) -> Self {
        Self { expected: Some((service, address)), ..Self::new(now) }
    }

    /// The registered process, which may be leaving.
    pub fn current(&self) -> Option<&Announcement> {
        self.current.as_ref()
    }

    /// Whether a process is registered and accepts new requests.
    pub fn accepts_requests(&self) -> bool {
        self.current.as_ref().is_some_and(|current| !current.is_leaving) && !self.is_denied()
    }

    /// Whether the health page of the registered process does not say that it is in service, so
    /// that it may have left before this registration was created.
    pub fn is_denied(&self) -> bool {
        self.current.as_ref().is_some_and(|current| self.denied.as_ref() == Some(&current.instance))
    }

    /// Number of departed processes that are remembered.
    pub fn departure_count(&self) -> usize {
        self.departed.len()
    }

    /// Applies a notice from a target.
    pub fn apply(&mut self, now: Instant, notice: Notice) -> NoticeEffect {
        match notice {
            Notice::Announced(announcement) if self.is_foreign(&announcement) => {
                NoticeEffect::Foreign
            }
            Notice::Announced(announcement) => self.apply_announcement(now, announcement),
            Notice::Deregistered { instance, started } => {
                self.apply_departure(now, instance, started)
            }
        }
    }

    /// Applies the description from a target's health page. It is used only while no
    /// process is registered.
    pub fn apply_health_page(&mut self, now: Instant, announcement: Announcement) -> NoticeEffect {
        match self.current {
            Some(_) => NoticeEffect::Stale,
            None => self.apply_announcement(now, announcement),
        }
    }

    /// Records that the health page says that a process is in service: if it leaves later, the
    /// notice comes here.
    pub fn confirm(&mut self) {
        self.is_confirmed = true;
        self.denied = None;
    }

    /// Records that the health page of the process `instance` does not say that it is in
    /// service: it fails, or it has left. That counts only until the registration is confirmed,
    /// because the page can be wrong.
    pub fn deny(&mut self, instance: &str) {
        if !self.is_confirmed {
            self.denied = Some(instance.into());
        }
    }

    /// Records that the process with this instance id states that it is leaving.
    pub fn leave(&mut self, now: Instant, instance: &str) -> NoticeEffect {
        self.apply_departure(now, instance.into(), None)
    }

    /// Removes the process with this instance id, because its address now belongs to
    /// another target. No process is registered until the next notice. Returns whether
    /// `instance` was registered.
    pub fn remove(&mut self, now: Instant, instance: &str) -> bool {
        let is_current =
            self.current.as_ref().is_some_and(|current| *current.instance == *instance);
        if let Some(current) = self.current.take_if(|_| is_current) {
            self.record_departure(now, current.instance, current.started);
        }
        is_current
    }

    fn apply_announcement(&mut self, now: Instant, announcement: Announcement) -> NoticeEffect {
        let is_stale = self.is_stale(now, &announcement);
        if announcement.is_leaving {
            self.record_departure(now, announcement.instance.clone(), announcement.started);
        }
        if is_stale {
            return NoticeEffect::Stale;
        }
        let is_same = self.is_current_process(now, &announcement);
        let was_leaving = is_same && self.current.as_ref().is_some_and(|known| known.is_leaving);
        // A process that is leaving does not become available again.
        let is_leaving = announcement.is_leaving || was_leaving;
        if is_same {
            self.complete_departure(&announcement);
        } else {
            self.departed.retain(|departure| !departure.precedes(now, &announcement));
        }
        if now - self.created_at >= MAX_NOTICE_DELAY {
            self.confirm();
        }
        self.current = Some(Announcement { is_leaving, ..announcement });
        match (is_same, is_leaving) {
            (_, true) => NoticeEffect::Leaving,
            (true, false) => NoticeEffect::Confirmed,
            (false, false) => NoticeEffect::Started,
        }
    }

    fn apply_departure(
        &mut self,
        now: Instant,
        instance: Box<str>,
        started: Option<u64>,
    ) -> NoticeEffect {
        let is_registered = |current: &&mut Announcement| {
            current.instance == instance && start_times_match(current.started, started)
        };
        let (started, effect) = match self.current.as_mut().filter(is_registered) {
            Some(current) => {
                current.is_leaving = true;
                (started.or(current.started), NoticeEffect::Leaving)
            }
            None => (started, NoticeEffect::Stale),
        };
        self.record_departure(now, instance, started);
        effect
    }

    fn is_foreign(&self, announcement: &Announcement) -> bool {
        self.expected.as_ref().is_some_and(|(service, address)| {
            announcement.service != *service || announcement.address != *address
        })
    }

    fn is_stale(&self, now: Instant, announcement: &Announcement) -> bool {
        let is_current = self.is_current_process(now, announcement);
        let has_departed =
            self.departed.iter().any(|departure| departure.covers(now, announcement));
        if has_departed && !is_current {
            return true;
        }
        let Some(known) = &self.current else {
            return false;
        };
        match is_current {
            true => announcement.sequence < known.sequence,
            false => {
                let starts = announcement.started.zip(known.started);
                starts.is_some_and(|(announced, known)| announced < known)
            }
        }
    }

    /// Whether an announcement comes from the registered process.
    fn is_current_process(&self, now: Instant, announcement: &Announcement) -> bool {
        let Some(known) = &self.current else {
            return false;
        };
        if known.instance != announcement.instance {
            return false;
        }
        let has_left = known.started.is_none()
            && self.departed.iter().any(|departure| departure.precedes(now, announcement));
        start_times_match(known.started, announcement.started) && !has_left
    }

    /// Adds the start time of the registered process to its departure, if that has none.
    fn complete_departure(&mut self, announcement: &Announcement) {
        let is_incomplete = |departure: &&mut Departure| {
            departure.instance == announcement.instance && departure.started.is_none()
        };
        for departure in self.departed.iter_mut().filter(is_incomplete) {
            departure.started = announcement.started;
        }
    }

    fn record_departure(&mut self, now: Instant, instance: Box<str>, started: Option<u64>) {
        self.departed.retain(|known| (&known.instance, known.started) != (&instance, started));
        if self.departed.len() == MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back(Departure { instance, started, at: now });
    }
}

impl Departure {
    /// Whether an announcement comes from the process that has left. If the start time of
    /// that process is unknown, a late announcement of it cannot be told from one of a later
    /// process with the same instance id, so that both are covered as long as one may be under
    /// way.
    fn covers(&self, now: Instant, announcement: &Announcement) -> bool {
        self.instance == announcement.instance
            && match (self.started, announcement.started) {
                (Some(departed), Some(announced)) => departed == announced,
                (None, Some(_)) => now - self.at < MAX_NOTICE_DELAY,
                (_, None) => true,
            }
    }

    /// Whether the process has left without a start time, and an announcement with one comes
    /// from a later process with the same instance id.
    fn precedes(&self, now: Instant, announcement: &Announcement) -> bool {
        self.instance == announcement.instance
            && self.started.is_none()
            && announcement.started.is_some()
            && !self.covers(now, announcement)
    }
}

/// Whether two start times are equal. An unknown time matches any other.
fn start_times_match(one: Option<u64>, other: Option<u64>) -> bool {
    one.zip(other).is_none_or(|(one, other)| one == other)
}
