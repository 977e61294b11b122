//! Membership protocol: which members are alive, suspected, leaving, lost or stopped.
//!
//! The protocol follows SWIM: each member pings one other member per second, sends ping
//! requests to a few more if no acknowledgement arrives, and piggybacks updates on these
//! datagrams. The load on each member does not depend on the number of members.
//!
//! This crate performs no I/O: it receives messages and the current time, and returns the
//! actions that the caller has to perform.
//!
//! ```
//! use std::time::Instant;
//! use member::{Action, Member, Members, State};
//!
//! let local = Member {
//!     node: 1,
//!     incarnation: 0,
//!     state: State::Alive,
//!     address: "127.0.0.1:7001".into(),
//!     data_centre: "lahore-1".into(),
//!     service: "ward-desk".into(),
//!     slots: 12,
//! };
//! let now = Instant::now();
//! let mut members = Members::new(now, local.clone(), 7);
//! let peer = Member { node: 2, address: "127.0.0.1:7002".into(), ..local };
//! assert!(members.apply_update(now, peer));
//! assert_eq!(members.serving("ward-desk").count(), 2);
//! ```

mod confirmation;
mod detect;
mod digest;
mod evacuation;
mod gossip_queue;
mod locality;
mod members;
mod peer;
mod requesters;
mod update_queue;

pub use confirmation::{Confirmation, Freshness};
pub use detect::{Action, Kind, Message, UnknownKind};
pub use digest::BUCKETS;
pub use evacuation::{DataCentres, Evacuation, EvacuationRead, StorePosition};
pub use gossip_queue::GossipQueue;
pub use locality::FarReach;
pub use members::Members;
pub use peer::{Absence, Member, State, UnknownState};
pub use requesters::RecentRequesters;

/// Number of a node. Its high bits are the start time of the node. Of two nodes with the
/// same address, the one with the larger number has therefore started later, unless the
/// host's clock was set back in between.
pub type Node = u64;
