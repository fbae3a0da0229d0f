//! The membership protocol among coordinators, after SWIM (Das, Gupta, Motivala 2002).

use bitcode::{Decode, Encode};

use crate::{Incarnation, NodeId};

/// Pings and their acknowledgements; both carry records of members (gossip).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum MembershipMessage {
    /// Asks the receiver to acknowledge that it is alive.
    Ping {
        /// Identifies the ping at its sender; the acknowledgement repeats it.
        sequence_number: u64,
        /// Members as the sender knows them.
        members: Vec<MemberRecord>,
    },
    /// Acknowledges a ping.
    Ack {
        /// The `sequence_number` of the ping.
        sequence_number: u64,
        /// Members as the sender knows them.
        members: Vec<MemberRecord>,
    },
}

/// A coordinator as another one knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct MemberRecord {
    /// The machine of the member.
    pub node: NodeId,
    /// The start of its process; 0 while it is known from seeds only.
    pub incarnation: Incarnation,
    /// Raised by the member itself to refute a suspicion (SWIM's incarnation number).
    pub refutation: u64,
    /// The state that the sender sees the member in.
    pub state: MemberState,
}

/// The state of a member as another one sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, strum::Display)]
pub enum MemberState {
    /// It acknowledges pings.
    #[default]
    Alive,
    /// It has missed acknowledgements, and may refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time, or announced its shutdown.
    Dead,
}
