//! The service that remembers what was decided about the latest requests, and
//! writes the lines of those that are worth it.
//!
//! The lines of a request are held until its end is known here. Those of a
//! request that went badly are all written; of the others, those whose ids fall
//! into the sample, which is the same on all daemons.

mod allowance;
mod event;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kernel::{Inbox, Kernel, Reply};
use route::Node;

pub(crate) use event::{ARRIVED, Belief, Event, Inside, outcome_text, reason_text};

use crate::{logs, names};
use allowance::Allowance;
use event::Weight;

/// Most requests remembered whose end is known, about 600 bytes each.
const MAX_ENDED: usize = 2_000;
/// Most requests remembered whose end is not known.
const MAX_OPEN: usize = 4_000;
/// One of this many ids has its lines written whatever its end.
const SAMPLE: u64 = 32;
/// Time after which dropped lines are reported.
const REPORT_EVERY: Duration = Duration::from_secs(10);

/// What the service is told and asked.
#[derive(Debug)]
pub(crate) enum Ask {
    /// Remember a decision.
    Note { id: Box<str>, event: Event },
    /// Tell what is known of a request.
    Explain { id: Box<str>, reply: Reply<Vec<Entry>> },
}

/// A remembered decision.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    at: SystemTime,
    pub(crate) event: Event,
}

/// A request whose end is not known.
#[derive(Debug)]
struct Open {
    number: u64,
    entries: Vec<Entry>,
}

/// Starts the service.
pub(crate) fn start(kernel: &Kernel, node: Node) {
    let inbox = kernel.register(names::JOURNAL);
    let now = kernel.clock().now();
    let task = Task {
        kernel: kernel.clone(),
        node,
        open: HashMap::new(),
        by_age: BTreeMap::new(),
        opened: 0,
        ended: VecDeque::new(),
        allowance: Allowance::new(now),
        dropped: 0,
        reported: now,
    };
    kernel.start(task.run(inbox));
}

struct Task {
    kernel: Kernel,
    node: Node,
    open: HashMap<Box<str>, Open>,
    /// The ids of `open` by their numbers, oldest first.
    by_age: BTreeMap<u64, Box<str>>,
    /// Requests opened since the start, which numbers the next.
    opened: u64,
    ended: VecDeque<(Box<str>, Vec<Entry>)>,
    allowance: Allowance,
    dropped: u64,
    reported: Instant,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Ask>) {
        while let Some(ask) = inbox.receive().await {
            match ask {
                Ask::Note { id, event } => self.note(id, event),
                Ask::Explain { id, reply } => {
                    reply.send(self.explain(&id));
                }
            }
        }
    }

    fn note(&mut self, id: Box<str>, event: Event) {
        let open = self.open.entry(id.clone()).or_insert_with(|| {
            self.opened += 1;
            self.by_age.insert(self.opened, id.clone());
            Open { number: self.opened, entries: Vec::new() }
        });
        open.entries.push(Entry { at: SystemTime::now(), event });
        match weigh_last(&open.entries) {
            Weight::Under => self.forget_open(),
            Weight::Usual => self.end(id, false),
            Weight::Bad => self.end(id, true),
        }
    }

    /// A request whose end never comes here is given up when there are many.
    fn forget_open(&mut self) {
        if self.open.len() <= MAX_OPEN {
            return;
        }
        if let Some((_, id)) = self.by_age.pop_first() {
            self.end(id, false);
        }
    }

    fn end(&mut self, id: Box<str>, is_bad: bool) {
        let Some(Open { number, entries }) = self.open.remove(&id) else {
            return;
        };
        self.by_age.remove(&number);
        if is_bad || is_sampled(&id) {
            self.write(&id, &entries);
        }
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back((id, entries));
    }

    /// Writes all lines of a request, or only those that tell how it went if too
    /// many requests go badly.
    fn write(&mut self, id: &str, entries: &[Entry]) {
        let now = self.kernel.clock().now();
        let is_result = |index: usize| entries[index].event.is_result();
        let chosen = self.allowance.take(now, entries.len(), is_result);
        let dropped = (entries.len() - chosen.len()) as u64;
        for entry in chosen.into_iter().map(|index| &entries[index]) {
            logs::write_request_line(self.node, id, millis_of(entry.at), &entry.event);
        }
        if dropped > 0 {
            self.dropped += dropped;
            metrics::counter!("bronzeport_log_lines_dropped_total", "cause" => "rate")
                .increment(dropped);
        }
        if self.dropped > 0 && now - self.reported > REPORT_EVERY {
            log::warn!("{} lines about requests were not written: too many a second", self.dropped);
            self.dropped = 0;
            self.reported = now;
        }
    }

    fn explain(&self, id: &str) -> Vec<Entry> {
        let ended = self.ended.iter().filter(|(known, _)| **known == *id);
        let ended = ended.flat_map(|(_, entries)| entries);
        let open = self.open.get(id).into_iter().flat_map(|open| &open.entries);
        ended.chain(open).cloned().collect()
    }
}

/// What the last decision about a request means for its lines. Where it arrived
/// from its caller, only the caller's answer ends it: the guard beside may have
/// refused it before another took it.
fn weigh_last(entries: &[Entry]) -> Weight {
    let Some(last) = entries.last() else { return Weight::Under };
    let is_entry = entries.iter().any(|entry| matches!(entry.event, Event::Arrived { .. }));
    match is_entry && !matches!(last.event, Event::Ended { .. } | Event::Left { .. }) {
        true => Weight::Under,
        false => last.event.weight(),
    }
}

/// Whether an id's lines are written whatever its end; the same on all daemons.
fn is_sampled(id: &str) -> bool {
    once::fingerprint("", "", id, b"").is_multiple_of(SAMPLE)
}

/// Milliseconds since 1970.
pub(crate) fn millis_of(at: SystemTime) -> u64 {
    at.duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Entry {
    /// One line: milliseconds since 1970, the node that decided, the decision.
    pub(crate) fn line(&self, node: Node) -> Box<str> {
        format!("{} {node:016x} {}", millis_of(self.at), self.event.text()).into()
    }
}
