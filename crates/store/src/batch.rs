//! Batching of independent writes into transactions.

use crate::client::{CommitResult, Failure, Store};
use crate::row::Write;

/// Maximum number of writes in one transaction.
const MAX_WRITES: usize = 32;

/// A queue of independent writes for the next transactions.
///
/// Each write has its own condition and its own result. If the conditions of some
/// writes do not hold, [`commit_each`] sends the other writes again without them.
#[derive(Debug)]
pub struct Batch<T> {
    queued: Vec<(Write, T)>,
}

impl<T> Default for Batch<T> {
    fn default() -> Self {
        Self { queued: Vec::new() }
    }
}

impl<T> Batch<T> {
    /// Adds a write. `token` is returned together with the result of the write.
    pub fn push(&mut self, write: Write, token: T) {
        self.queued.push((write, token));
    }

    /// Whether no writes are queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Removes and returns the writes for the next transaction. No two of them are
    /// to the same row; a later write to the same row stays in the queue.
    pub fn take(&mut self) -> Vec<(Write, T)> {
        let mut taken: Vec<(Write, T)> = Vec::new();
        let mut remaining = Vec::new();
        for (write, token) in self.queued.drain(..) {
            let is_new_row = taken.iter().all(|(other, _)| other.key != write.key);
            if is_new_row && taken.len() < MAX_WRITES {
                taken.push((write, token));
            } else {
                remaining.push((write, token));
            }
        }
        self.queued = remaining;
        taken
    }
}

/// Commits writes in one transaction. When the conditions of some writes do not
/// hold, the transaction is sent again without these writes. Returns each write
/// with its token and its result.
pub async fn commit_each<T>(
    store: &Store,
    mut writes: Vec<(Write, T)>,
) -> Vec<(Write, T, CommitResult)> {
    let mut results = Vec::new();
    while !writes.is_empty() {
        let batch = writes.iter().map(|(write, _)| write.clone()).collect();
        let failed = match store.commit(batch).await {
            CommitResult::Conflict(failed) if !failed.is_empty() => failed,
            result => {
                results.extend(split_result(writes, result));
                break;
            }
        };
        let (conflicting, remaining): (Vec<_>, Vec<_>) =
            writes.into_iter().enumerate().partition(|(index, _)| failed.contains(index));
        let conflicting = conflicting
            .into_iter()
            .map(|(_, (write, token))| (write, token, CommitResult::Conflict(vec![0])));
        results.extend(conflicting);
        writes = remaining.into_iter().map(|(_, pair)| pair).collect();
    }
    results
}

/// Derives the result of each write from the result of the transaction. A conflict
/// without the indices of conflicting writes counts as a malformed response.
fn split_result<T>(
    writes: Vec<(Write, T)>,
    result: CommitResult,
) -> impl Iterator<Item = (Write, T, CommitResult)> {
    let mut tags = match &result {
        CommitResult::Done(tags) => tags.clone().into_iter(),
        _ => Vec::new().into_iter(),
    };
    writes.into_iter().map(move |(write, token)| {
        let write_result = match &result {
            CommitResult::Done(_) => match tags.next() {
                Some(tag) => CommitResult::Done(vec![tag]),
                None => CommitResult::Unknown,
            },
            CommitResult::Conflict(_) => CommitResult::NotSent(Failure::Garbled),
            other => other.clone(),
        };
        (write, token, write_result)
    })
}
