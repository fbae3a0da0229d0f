//! Messages between the nodes: bitcode in length-prefixed frames over TCP, on the first of the ephemeral ports of each
//! coordinator.
//!
//! An edge polls one coordinator over a connection of its own ([`EdgeRequest`], [`PollResponse`]) and sends its loads to
//! other edges as datagrams ([`EdgeLoadReport`]). Coordinators keep one connection to each other for each direction,
//! over which the one that opened it sends [`CoordinatorMessage`]s. Each connection begins with a [`Handshake`].
//!
//! A message says what its sender knows, never what its receiver should conclude from it.

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

/// The first frame on a connection, by which the caller introduces itself.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Handshake {
    /// An edge, which goes on with [`EdgeRequest`]s.
    Edge(EdgeIdentity),
    /// A coordinator, which goes on with [`CoordinatorMessage`]s.
    Coordinator {
        /// The machine of the coordinator.
        node: NodeId,
        /// The start of its process.
        incarnation: Incarnation,
    },
}
