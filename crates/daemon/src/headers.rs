//! Names of the headers of the project's own HTTP interface, described in
//! `docs/CALLERS.md`.

use wire::Header;

pub(crate) const SERVICE: &str = "bronzeport-service";
pub(crate) const REQUEST_ID: &str = "bronzeport-request-id";
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub(crate) const DEADLINE_MS: &str = "bronzeport-deadline-ms";
pub(crate) const DEPTH: &str = "bronzeport-depth";
pub(crate) const OUTCOME: &str = "bronzeport-outcome";
pub(crate) const REASON: &str = "bronzeport-reason";
pub(crate) const NODE: &str = "bronzeport-node";
pub(crate) const ENTRY: &str = "bronzeport-entry";
pub(crate) const RETRY_AFTER_MS: &str = "bronzeport-retry-after-ms";

/// Whether an answer of a target passes on the answer of a daemon further down the chain
/// of nested calls.
pub(crate) fn is_from_deeper_layer(headers: &[Header]) -> bool {
    headers.iter().any(|header| *header.name == *OUTCOME)
}
