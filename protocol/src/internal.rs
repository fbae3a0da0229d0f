//! Messages between nodes. They are encoded with bitcode and sent as length-prefixed frames over TCP to the first of
//! a coordinator's ephemeral ports, except for the datagrams between edges.
//!
//! An edge is a machine that runs the `data-plane` role. It polls one coordinator over a dedicated connection
//! ([`EdgeRequest`], [`PollResponse`]) and sends its load on each server to other edges as datagrams
//! ([`EdgeLoadReport`]). Two coordinators have one connection for each direction; the coordinator that opened a
//! connection sends [`CoordinatorMessage`]s over it. Each connection begins with a [`Handshake`].
//!
//! A message states what its sender knows and leaves the conclusions to the receiver.

mod config;
mod coordinator;
mod directory;
mod edge;
mod load;
mod membership;
mod operator;

use bitcode::{Decode, Encode};

pub use config::{ConfigItem, ConfigUpdate, ItemKey};
pub use coordinator::{CoordinatorMessage, EdgeReport};
pub use directory::{DirectoryCursor, PlacementOverlay, Presence, ServerRecord};
pub use edge::{Demand, EdgeIdentity, EdgeRequest, PollRequest, PollResponse, ServerOutcomes};
pub use load::{EdgeLoadReport, EdgeServerLoad, LoadScope};
pub use membership::{MemberRecord, MemberState, MembershipMessage};
pub use operator::{OperatorCall, OperatorResponse};

use crate::{Incarnation, NodeId};

/// The first frame on a connection, which identifies the node that opened it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Handshake {
    /// From an edge; followed by [`EdgeRequest`]s.
    Edge(EdgeIdentity),
    /// From a coordinator; followed by [`CoordinatorMessage`]s.
    Coordinator {
        /// The machine of the coordinator.
        node: NodeId,
        /// The current run of the coordinator's process.
        incarnation: Incarnation,
    },
}
