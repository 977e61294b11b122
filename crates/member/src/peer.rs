//! Members and their states.

use std::time::Instant;

use crate::Node;

/// An entry of the member list. Members exchange these entries as updates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Node number of the member.
    pub node: Node,
    /// Increased by the member itself each time it refutes an update about it or changes its
    /// service or slots. Of two updates, the one with the larger incarnation holds.
    pub incarnation: u64,
    /// State of the member, as known to the sender of the update.
    pub state: State,
    /// Address of the member's daemon, for TCP and UDP.
    pub address: Box<str>,
    /// Data centre of the member.
    pub data_centre: Box<str>,
    /// Service of the target on the member's host; empty if there is none.
    pub service: Box<str>,
    /// Advertised slots of the target.
    pub slots: u16,
}

/// State of a member. Of two updates with the same incarnation, the one whose state comes
/// later in this order holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum State {
    /// The member answers pings.
    Alive = 0,
    /// Some other member has received no acknowledgement from this one.
    Suspect = 1,
    /// The member accepts no new requests and is about to stop.
    Leaving = 2,
    /// The member did not refute its suspicion in time.
    Lost = 3,
    /// The member has stopped.
    Left = 4,
}

/// Why a member is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Absence {
    /// The member is lost, but not most of its data centre.
    Dead,
    /// Most members of its data centre are lost, possibly because of a network partition.
    Unreachable,
}

/// Error for a code that stands for no [`State`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownState(pub u8);

impl TryFrom<u8> for State {
    type Error = UnknownState;

    fn try_from(code: u8) -> Result<Self, UnknownState> {
        let states = [Self::Alive, Self::Suspect, Self::Leaving, Self::Lost, Self::Left];
        states.get(usize::from(code)).copied().ok_or(UnknownState(code))
    }
}

impl State {
    /// Whether new calls may be sent to a member in this state.
    pub fn takes_calls(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Whether a member in this state is expected to answer pings.
    pub fn is_present(self) -> bool {
        self <= Self::Leaving
    }
}

impl Member {
    /// Whether this update replaces `other`, an update about the same node.
    pub(crate) fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// A member as recorded in the list of the local node.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// When the state was last set. For a suspected member, the start of its suspicion timeout.
    pub(crate) since: Instant,
}
