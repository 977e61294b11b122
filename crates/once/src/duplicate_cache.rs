//! Cache of the requests that one guard has claimed, by which it recognises duplicates.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::row::Fingerprint;

/// The claimed requests of one guard by id, with the answers of those that have ended. Answers
/// are bounded in total size and age; running requests are never evicted.
#[derive(Debug)]
pub struct DuplicateCache<A> {
    entries: HashMap<Box<str>, Record<A>>,
    /// When each kept answer was added, its request id and its size, the oldest first.
    order: VecDeque<(Instant, Box<str>, usize)>,
    bytes: usize,
    max_bytes: usize,
    max_age: Duration,
}

/// Progress of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Execution<A> {
    /// The request is being claimed, queued or running.
    Running,
    /// The request has ended with this answer.
    Ended(A),
}

/// Result of looking up a copy of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Lookup<'a, A> {
    /// The cache holds no copy of the request.
    Absent,
    /// The cache holds a copy of the same request.
    Known(&'a Execution<A>),
    /// The id belongs to a request with different content.
    Conflict,
}

#[derive(Debug)]
struct Record<A> {
    fingerprint: Fingerprint,
    execution: Execution<A>,
}

impl<A> DuplicateCache<A> {
    /// Creates an empty cache that keeps answers of at most `max_bytes` in total, each for at
    /// most `max_age`.
    pub fn new(max_bytes: usize, max_age: Duration) -> Self {
        Self { entries: HashMap::new(), order: VecDeque::new(), bytes: 0, max_bytes, max_age }
    }

    /// Looks up a copy of a request.
    pub fn lookup(&self, id: &str, fingerprint: Fingerprint) -> Lookup<'_, A> {
        match self.entries.get(id) {
            None => Lookup::Absent,
            Some(record) if record.fingerprint != fingerprint => Lookup::Conflict,
            Some(record) => Lookup::Known(&record.execution),
        }
    }

    /// Adds a request that this guard is about to claim and run. The caller has looked it up
    /// before and found it absent.
    pub fn begin(&mut self, id: &str, fingerprint: Fingerprint) {
        let record = Record { fingerprint, execution: Execution::Running };
        self.entries.insert(id.into(), record);
    }

    /// Removes a request that did not run.
    pub fn remove(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Stores the answer with which a request has ended, of `bytes` in size, and evicts old
    /// answers.
    pub fn end(&mut self, now: Instant, id: &str, answer: A, bytes: usize) {
        let Some(record) = self.entries.get_mut(id) else {
            return;
        };
        record.execution = Execution::Ended(answer);
        self.bytes += bytes;
        self.order.push_back((now, id.into(), bytes));
        self.evict(now);
    }

    /// Returns the number of ids in the cache.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Evicts the oldest answers until both limits are kept.
    fn evict(&mut self, now: Instant) {
        while let Some((ended, ..)) = self.order.front() {
            let is_old = now.duration_since(*ended) > self.max_age;
            if !is_old && self.bytes <= self.max_bytes {
                return;
            }
            if let Some((_, id, bytes)) = self.order.pop_front() {
                self.entries.remove(&id);
                self.bytes -= bytes;
            }
        }
    }
}
