//! Identifiers of machines, processes and model servers, and the unit of time.

use std::fmt;
use std::net::Ipv4Addr;

/// A point in time or a duration, in milliseconds of the node's own monotonic clock. Clocks of different machines are
/// not synchronized, so points in time of two machines must not be compared.
pub type Millis = u64;

/// Identifies a machine by its IPv4 address, stored as a number. A replacement machine gets a new address. All
/// machines use the same ports, so the address alone is enough to reach a machine.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    bitcode::Encode,
    bitcode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct NodeId(pub u32);

impl NodeId {
    /// The IPv4 address that the id encodes.
    pub fn address(self) -> Ipv4Addr {
        Ipv4Addr::from(self.0)
    }
}

impl From<Ipv4Addr> for NodeId {
    fn from(address: Ipv4Addr) -> Self {
        NodeId(u32::from(address))
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.address().fmt(formatter)
    }
}

/// Identifies one run of a process, from its start to its end. The number is drawn at random at the start, so that a
/// restarted process is told apart from its previous run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default, bitcode::Encode, bitcode::Decode)]
pub struct Incarnation(pub u64);

/// Identifies one run of a model server. The server chooses the id and sends it as `ID` in the path of its
/// heartbeats.
pub type ServerId = String;
