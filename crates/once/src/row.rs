//! The row of a request id and its text form in the table.

use serde_json::{Value, json};

/// Hash of a request's service, method, path and body.
pub type Fingerprint = u64;

/// Random number that identifies the attempt that has written a row.
pub type Nonce = u64;

/// The row of a request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Fingerprint of the request to which the id belongs.
    pub fingerprint: Fingerprint,
    /// Nonce of the attempt that wrote the row.
    pub nonce: Nonce,
    /// State of the request.
    pub state: State,
}

/// State of a request, as recorded in its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The request was refused and never runs; its caller receives `not-run`.
    Refused,
    /// The guard of `node` may run the request, or has run it.
    Claimed {
        /// The node that holds the claim.
        node: u64,
    },
    /// The request ran and its target has answered.
    Ended {
        /// The node where the request ran.
        node: u64,
        /// HTTP status of the target's answer.
        status: u16,
    },
}

impl Row {
    /// Returns the row as JSON text for the table. The 64-bit numbers are written as
    /// hexadecimal strings, because some JSON parsers keep only 53 bits of a number.
    pub fn to_text(&self) -> String {
        let (state, node, status) = match self.state {
            State::Refused => ("refused", 0, 0),
            State::Claimed { node } => ("claimed", node, 0),
            State::Ended { node, status } => ("ended", node, status),
        };
        json!({
            "fingerprint": format!("{:016x}", self.fingerprint),
            "nonce": format!("{:016x}", self.nonce),
            "state": state,
            "node": format!("{node:016x}"),
            "status": status,
        })
        .to_string()
    }
}

impl TryFrom<&str> for Row {
    type Error = serde_json::Error;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let value: Value = serde_json::from_str(text)?;
        let node = parse_hex(&value, "node")?;
        let state = match value["state"].as_str() {
            Some("refused") => State::Refused,
            Some("claimed") => State::Claimed { node },
            Some("ended") => {
                State::Ended { node, status: value["status"].as_u64().unwrap_or_default() as u16 }
            }
            _ => return Err(parse_error("unknown state of the request")),
        };
        Ok(Self {
            fingerprint: parse_hex(&value, "fingerprint")?,
            nonce: parse_hex(&value, "nonce")?,
            state,
        })
    }
}

/// Returns the key of the row that names the latest era of the store in which an absent row
/// of a service's request ids was never written.
pub fn settled_key(service: &str) -> Box<str> {
    format!("settled/{service}").into()
}

/// Returns the fingerprint of a request. The hash is FNV-1a, so that it is the same in all
/// processes and versions.
pub fn fingerprint(service: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let parts = [service.as_bytes(), method.as_bytes(), path.as_bytes(), body];
    let bytes = parts.iter().flat_map(|part| part.iter().chain(&[0xff]));
    bytes.fold(OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

fn parse_hex(value: &Value, key: &str) -> Result<u64, serde_json::Error> {
    let text = value[key].as_str().unwrap_or_default();
    u64::from_str_radix(text, 16)
        .map_err(|_| parse_error("expected a 64-bit number as a hexadecimal string"))
}

fn parse_error(text: &str) -> serde_json::Error {
    serde::de::Error::custom(text)
}
