//! Messages of the membership protocol between coordinators, which is based on SWIM (Das, Gupta, Motivala 2002).

use bitcode::{Decode, Encode};

use crate::{Incarnation, NodeId};

/// A ping or its acknowledgement. Both carry gossip: the sender's records of members.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum MembershipMessage {
    /// Probes whether the receiver is alive; answered with an `Ack`.
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

/// What one coordinator knows about another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct MemberRecord {
    /// The machine of the member.
    pub node: NodeId,
    /// The current run of the member's process; 0 while the member is only known as a seed.
    pub incarnation: Incarnation,
    /// Increased by the member itself to refute a suspicion (called the incarnation number in SWIM).
    pub refutation: u64,
    /// The state of the member, as the sender sees it.
    pub state: MemberState,
}

/// The liveness of a member, as another member sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, strum::Display)]
pub enum MemberState {
    /// It acknowledges pings.
    #[default]
    Alive,
    /// It has not acknowledged pings, and may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time, or announced its shutdown.
    Dead,
}
