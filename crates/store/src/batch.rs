//! Several independent writes in one transaction.

use crate::client::{Commit, Failure, Store};
use crate::row::Write;

/// Most writes of one transaction.
const MAX_WRITES: usize = 32;

/// Independent writes that wait for the next transaction.
///
/// Each write has its own condition and its own result. When some conditions
/// do not hold, the others are sent again without them.
#[derive(Debug)]
pub struct Batch<T> {
    waiting: Vec<(Write, T)>,
}

impl<T> Default for Batch<T> {
    fn default() -> Self {
        Self { waiting: Vec::new() }
    }
}

impl<T> Batch<T> {
    /// Adds a write. `token` comes back with its result.
    pub fn push(&mut self, write: Write, token: T) {
        self.waiting.push((write, token));
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the writes of the next transaction: no two of one row.
    pub fn take(&mut self) -> Vec<(Write, T)> {
        let mut taken: Vec<(Write, T)> = Vec::new();
        let mut left = Vec::new();
        for (write, token) in self.waiting.drain(..) {
            let is_free = taken.iter().all(|(other, _)| other.key != write.key);
            if is_free && taken.len() < MAX_WRITES {
                taken.push((write, token));
            } else {
                left.push((write, token));
            }
        }
        self.waiting = left;
        taken
    }
}

/// Sends writes in one transaction, and again without those whose conditions
/// did not hold. Returns each token with the result of its write.
pub async fn commit_each<T>(store: &Store, mut writes: Vec<(Write, T)>) -> Vec<(Write, T, Commit)> {
    let mut results = Vec::new();
    while !writes.is_empty() {
        let batch = writes.iter().map(|(write, _)| write.clone()).collect();
        let failed = match store.commit(batch).await {
            Commit::Conflict(failed) if !failed.is_empty() => failed,
            other => {
                results.extend(settle(writes, other));
                break;
            }
        };
        let (lost, rest): (Vec<_>, Vec<_>) =
            writes.into_iter().enumerate().partition(|(place, _)| failed.contains(place));
        let lost =
            lost.into_iter().map(|(_, (write, token))| (write, token, Commit::Conflict(vec![0])));
        results.extend(lost);
        writes = rest.into_iter().map(|(_, pair)| pair).collect();
    }
    results
}

fn settle<T>(writes: Vec<(Write, T)>, commit: Commit) -> impl Iterator<Item = (Write, T, Commit)> {
    let mut tags = match &commit {
        Commit::Done(tags) => tags.clone().into_iter(),
        _ => Vec::new().into_iter(),
    };
    writes.into_iter().map(move |(write, token)| {
        let own = match &commit {
            Commit::Done(_) => match tags.next() {
                Some(tag) => Commit::Done(vec![tag]),
                None => Commit::Unknown,
            },
            Commit::Conflict(_) => Commit::NotSent(Failure::Garbled),
            other => other.clone(),
        };
        (write, token, own)
    })
}
