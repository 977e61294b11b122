//! The service that records the events of recent requests and writes some of them to the
//! log.
//!
//! The log lines of a request are kept back until the request has ended at this daemon. They
//! are written if the request ended badly or if its id is part of a sample. The sample is the
//! same on all daemons, so that the lines of a sampled request are complete.

mod event;
mod rate_limit;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kernel::{Inbox, Kernel, Reply};
use route::Node;

pub(crate) use event::{
    ARRIVED, Event, GuardState, HedgeCause, TargetEstimate, outcome_text, reason_text,
};

use crate::{logs, names};
use event::RequestState;
use rate_limit::LineRateLimit;

/// Maximum number of ended requests that are kept, about 600 bytes each.
const MAX_ENDED: usize = 2_000;
/// Maximum number of requests that are kept while they have not ended.
const MAX_OPEN: usize = 4_000;
/// One in this many requests is sampled: its lines are written however it ends.
const SAMPLE_DIVISOR: u64 = 32;
/// Minimum time between two log lines that report dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Messages to the service.
#[derive(Debug)]
pub(crate) enum Message {
    /// Record an event of a request.
    Record { id: Box<str>, event: Event },
    /// Return the recorded events of a request.
    Explain { id: Box<str>, reply: Reply<Vec<RecordedEvent>> },
}

/// An event and its time.
#[derive(Debug, Clone)]
pub(crate) struct RecordedEvent {
    at: SystemTime,
    pub(crate) event: Event,
}

/// A request that has not ended.
#[derive(Debug)]
struct OpenRequest {
    number: u64,
    events: Vec<RecordedEvent>,
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
        opened_count: 0,
        ended: VecDeque::new(),
        rate_limit: LineRateLimit::new(now),
        dropped_lines: 0,
        drops_reported_at: now,
    };
    kernel.start(task.run(inbox));
}

struct Task {
    kernel: Kernel,
    node: Node,
    open: HashMap<Box<str>, OpenRequest>,
    /// The ids of `open` by their numbers, oldest first.
    by_age: BTreeMap<u64, Box<str>>,
    /// Number of requests opened since the daemon started; the number of the latest one.
    opened_count: u64,
    ended: VecDeque<(Box<str>, Vec<RecordedEvent>)>,
    rate_limit: LineRateLimit,
    dropped_lines: u64,
    drops_reported_at: Instant,
}

impl Task {
    async fn run(mut self, inbox: Inbox<Message>) {
        while let Some(message) = inbox.receive().await {
            match message {
                Message::Record { id, event } => self.record(id, event),
                Message::Explain { id, reply } => {
                    reply.send(self.explain(&id));
                }
            }
        }
    }

    fn record(&mut self, id: Box<str>, event: Event) {
        let open = self.open.entry(id.clone()).or_insert_with(|| {
            self.opened_count += 1;
            self.by_age.insert(self.opened_count, id.clone());
            OpenRequest { number: self.opened_count, events: Vec::new() }
        });
        open.events.push(RecordedEvent { at: SystemTime::now(), event });
        match request_state(&open.events) {
            RequestState::Open => self.evict_oldest_open(),
            RequestState::EndedWell => self.end(id, false),
            RequestState::EndedBadly => self.end(id, true),
        }
    }

    /// Ends the oldest open request if there are too many. Without this, requests whose end
    /// is never recorded at this daemon would accumulate.
    fn evict_oldest_open(&mut self) {
        if self.open.len() <= MAX_OPEN {
            return;
        }
        if let Some((_, id)) = self.by_age.pop_first() {
            self.end(id, false);
        }
    }

    fn end(&mut self, id: Box<str>, ended_badly: bool) {
        let Some(OpenRequest { number, events }) = self.open.remove(&id) else {
            return;
        };
        self.by_age.remove(&number);
        if ended_badly || is_sampled(&id) {
            self.write(&id, &events);
        }
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back((id, events));
    }

    /// Writes all lines of a request, or only the lines with its result if too many requests
    /// end badly.
    fn write(&mut self, id: &str, events: &[RecordedEvent]) {
        let now = self.kernel.clock().now();
        let is_result = |index: usize| events[index].event.is_result();
        let chosen = self.rate_limit.select(now, events.len(), is_result);
        let dropped_lines = (events.len() - chosen.len()) as u64;
        for recorded in chosen.into_iter().map(|index| &events[index]) {
            logs::write_request_line(self.node, id, unix_millis(recorded.at), &recorded.event);
        }
        if dropped_lines > 0 {
            self.dropped_lines += dropped_lines;
            metrics::counter!("bronzeport_log_lines_dropped_total", "cause" => "rate")
                .increment(dropped_lines);
        }
        if self.dropped_lines > 0 && now - self.drops_reported_at > DROP_REPORT_INTERVAL {
            log::warn!(
                "{} lines about requests were not written: log rate limit exceeded",
                self.dropped_lines
            );
            self.dropped_lines = 0;
            self.drops_reported_at = now;
        }
    }

    fn explain(&self, id: &str) -> Vec<RecordedEvent> {
        let ended = self.ended.iter().filter(|(ended_id, _)| **ended_id == *id);
        let ended = ended.flat_map(|(_, events)| events);
        let open = self.open.get(id).into_iter().flat_map(|open| &open.events);
        ended.chain(open).cloned().collect()
    }
}

/// Returns the state of a request after its last event. If the request entered through this
/// daemon, it ends only when the caller has its answer or disconnects. Events of this
/// daemon's guard do not end it, because after a refusal another guard may accept it.
fn request_state(events: &[RecordedEvent]) -> RequestState {
    let Some(last) = events.last() else { return RequestState::Open };
    let is_entry = events.iter().any(|recorded| matches!(recorded.event, Event::Arrived { .. }));
    match is_entry && !matches!(last.event, Event::Ended { .. } | Event::Left { .. }) {
        true => RequestState::Open,
        false => last.event.request_state(),
    }
}

/// Whether the lines of a request are written however it ends. All daemons sample the same
/// ids.
fn is_sampled(id: &str) -> bool {
    once::fingerprint("", "", id, b"").is_multiple_of(SAMPLE_DIVISOR)
}

/// Returns the milliseconds since 1970.
pub(crate) fn unix_millis(at: SystemTime) -> u64 {
    at.duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl RecordedEvent {
    /// Returns one line with the milliseconds since 1970, the node and the event.
    pub(crate) fn line(&self, node: Node) -> Box<str> {
        format!("{} {node:016x} {}", unix_millis(self.at), self.event.text()).into()
    }
}
