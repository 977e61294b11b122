//! Decisions based on the row of a request id.

use crate::row::{Fingerprint, Nonce, Row, State};

/// What the entry does with a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// No copy holds a claim: send the request to a target. No copy can run without a new
    /// claim.
    Proceed,
    /// Another copy holds the claim: request the outcome from its node. No other node can
    /// have it.
    Recall {
        /// The node that holds the claim.
        node: u64,
        /// HTTP status of the answer, if the request has ended.
        ended: Option<u16>,
    },
    /// A copy was refused permanently, so that no copy ever runs.
    Refused,
    /// The id belongs to a request with different content.
    Conflict,
}

/// Result of a write to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The row is written.
    Done,
    /// The row had another tag than expected; nothing is written.
    TagMismatch,
    /// The answer was lost: the write may have taken effect or may still take effect.
    Unknown,
    /// The write was never sent.
    NotSent,
    /// The row is written, but the store has come back from an older copy since the row was
    /// read, so that the expected tag may have belonged to another row.
    Restored,
}

/// What a guard does after it has tried to claim a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Run the request. No other copy may run.
    Run,
    /// Another copy holds the row.
    Taken {
        /// The node that holds the claim; `None` if a copy was refused.
        node: Option<u64>,
    },
    /// The id belongs to a request with different content.
    Conflict,
    /// It is unknown which copy holds the row: do not run the request.
    Undecided,
    /// The claim was never sent: do not run the request.
    NotSent,
}

/// Decides what to do with a request on arrival, from its row in the table.
pub fn decide_arrival(row: Option<&Row>, fingerprint: Fingerprint) -> ArrivalDecision {
    let Some(row) = row else {
        return ArrivalDecision::Proceed;
    };
    if row.fingerprint != fingerprint {
        return ArrivalDecision::Conflict;
    }
    match row.state {
        State::Refused => ArrivalDecision::Refused,
        State::Claimed { node } => ArrivalDecision::Recall { node, ended: None },
        State::Ended { node, status } => ArrivalDecision::Recall { node, ended: Some(status) },
    }
}

/// Decides what to do after a claim. `read_back` is the row as read after a lost answer or a
/// tag mismatch, or `None` if it could not be read.
pub fn decide_claim(
    write_result: WriteResult,
    read_back: Option<Option<&Row>>,
    fingerprint: Fingerprint,
    nonce: Nonce,
) -> ClaimDecision {
    match (write_result, read_back) {
        (WriteResult::Done, _) => ClaimDecision::Run,
        (WriteResult::NotSent, _) => ClaimDecision::NotSent,
        (WriteResult::Restored, _) => ClaimDecision::Undecided,
        (_, Some(Some(row))) => decide_by_row(row, fingerprint, nonce),
        // The write may still take effect. Its nonce is never used again, so that no copy
        // runs under the claim.
        (_, Some(None) | None) => ClaimDecision::Undecided,
    }
}

fn decide_by_row(row: &Row, fingerprint: Fingerprint, nonce: Nonce) -> ClaimDecision {
    if row.fingerprint != fingerprint {
        return ClaimDecision::Conflict;
    }
    match row.state {
        State::Claimed { .. } if row.nonce == nonce => ClaimDecision::Run,
        State::Claimed { node } | State::Ended { node, .. } => {
            ClaimDecision::Taken { node: Some(node) }
        }
        State::Refused => ClaimDecision::Taken { node: None },
    }
}
