//! Decisions about the row of a request id.

use crate::row::{Fingerprint, Nonce, Row, State};

/// What to do with a request that arrives at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// No copy has run or can run without a new claim.
    Proceed,
    /// Another copy holds the claim: its node knows the outcome, if any does.
    Ask {
        /// The node that holds the claim.
        node: u64,
        /// Status of the answer, when the run has ended.
        ended: Option<u16>,
    },
    /// A copy was refused for good: no copy ever runs.
    Refused,
    /// The id stands for a request with another content.
    Conflict,
}

/// What became of a write to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// The row is written.
    Done,
    /// The row's tag was another one; nothing is written.
    Refused,
    /// The answer was lost: the row may be written, now or later.
    Unknown,
    /// The write was never sent.
    NotSent,
}

/// What a guard does after it tried to claim a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// Run the request: nobody else may.
    Run,
    /// Another copy holds the row.
    Taken {
        /// The node that holds the claim, when there is one.
        node: Option<u64>,
    },
    /// The id stands for a request with another content.
    Conflict,
    /// Nobody can tell who holds the row: do not run.
    Undecided,
    /// The claim was never sent: this copy does not run.
    NotSent,
}

/// Decides on arrival, by the row that stands in the table.
pub fn decide_arrival(row: Option<&Row>, fingerprint: Fingerprint) -> Arrival {
    let Some(row) = row else {
        return Arrival::Proceed;
    };
    if row.fingerprint != fingerprint {
        return Arrival::Conflict;
    }
    match row.state {
        State::Refused => Arrival::Refused,
        State::Claimed { node } => Arrival::Ask { node, ended: None },
        State::Ended { node, status } => Arrival::Ask { node, ended: Some(status) },
    }
}

/// Decides after a claim. `read_back` is the row as read after an answer that
/// was lost or a tag that did not match, or `None` when it could not be read.
pub fn decide_claim(
    written: Written,
    read_back: Option<Option<&Row>>,
    fingerprint: Fingerprint,
    nonce: Nonce,
) -> Claim {
    match (written, read_back) {
        (Written::Done, _) => Claim::Run,
        (Written::NotSent, _) => Claim::NotSent,
        (_, Some(Some(row))) => decide_by_row(row, fingerprint, nonce),
        // A write that is still on its way may yet take effect; its nonce is
        // given up, so that nobody runs under it.
        (_, Some(None) | None) => Claim::Undecided,
    }
}

fn decide_by_row(row: &Row, fingerprint: Fingerprint, nonce: Nonce) -> Claim {
    if row.fingerprint != fingerprint {
        return Claim::Conflict;
    }
    match row.state {
        State::Claimed { .. } if row.nonce == nonce => Claim::Run,
        State::Claimed { node } | State::Ended { node, .. } => Claim::Taken { node: Some(node) },
        State::Refused => Claim::Taken { node: None },
    }
}
