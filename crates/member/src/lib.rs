//! Decisions of membership: who is there, who is suspected, who has left.
//!
//! The protocol follows SWIM: each member pings one other a second, asks some
//! more to ping for it when no acknowledgement comes, and lets news ride on
//! these datagrams. Its cost for each member does not depend on their number.
//!
//! ```
//! use std::time::Instant;
//! use member::{Action, Member, Members, State};
//!
//! let own = Member {
//!     node: 1,
//!     incarnation: 0,
//!     state: State::Alive,
//!     address: "127.0.0.1:7001".into(),
//!     data_centre: "lahore-1".into(),
//!     service: "ward-desk".into(),
//!     slots: 12,
//! };
//! let now = Instant::now();
//! let mut members = Members::new(now, own.clone(), 7);
//! let peer = Member { node: 2, address: "127.0.0.1:7002".into(), ..own };
//! assert!(members.learn(now, peer));
//! assert_eq!(members.serving("ward-desk").count(), 2);
//! ```

mod askers;
mod detect;
mod digest;
mod members;
mod news;
mod peer;
mod rumour;

pub use askers::Askers;
pub use detect::{Action, Kind, Message, UnknownKind};
pub use digest::BUCKETS;
pub use members::Members;
pub use peer::{Absence, Member, State, UnknownState};
pub use rumour::Rumours;

/// Number of a node. The high bits are its start time, so that of two nodes
/// with one address the greater number is the later one, unless the host's clock has
/// been set back in between.
pub type Node = u64;
