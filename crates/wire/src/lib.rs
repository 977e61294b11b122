//! Messages between daemons and the connections that carry them.
//!
//! Calls travel over TCP by Cap'n Proto RPC, many at a time and in any order;
//! dropping the future of a call cancels it at the far side. Gossip travels in
//! UDP datagrams. The schema stands in `schema/bronzeport.capnp`; the code
//! made from it is committed.
//!
//! ```
//! use member::Kind;
//! use wire::{Gossip, decode_gossip, encode_gossip};
//!
//! let ping = Gossip { kind: Kind::Ping, sequence: 7, ..Gossip::default() };
//! let datagram = encode_gossip(&ping);
//! assert_eq!(decode_gossip(&datagram).unwrap().sequence, 7);
//! assert!(decode_gossip(b"garbage").is_err());
//! ```

mod convert;
mod datagram;
mod hello;
mod link;
mod message;
mod serve;
mod uplink;

#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
mod bronzeport_capnp;

pub use datagram::{MAX_DATAGRAM_BYTES, decode_gossip, encode_gossip};
pub use hello::{HelloError, VERSION};
pub use link::{Link, connect};
pub use message::{Answer, Changes, Gossip, Header, Outcome, Question, Reason, Reply, Request};
pub use serve::{Answering, serve};
pub use uplink::{PART_BYTES, Passage, Turn, Uplink};

/// An error of a call between daemons.
pub type Error = capnp::Error;

/// Largest body of a request or an answer, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Largest message that is read, in words of 8 bytes.
pub(crate) const MAX_MESSAGE_WORDS: usize = 512 * 1024;

pub(crate) fn reader_options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options.nesting_limit(32);
    options
}
