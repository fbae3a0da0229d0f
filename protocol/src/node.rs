//! Identifiers of machines, processes and servers, and the unit of time.

use std::fmt;
use std::net::Ipv4Addr;

/// A time or a span in milliseconds of a node's own monotonic clock. Times of two machines are never compared.
pub type Millis = u64;

/// The identity of a machine: its IPv4 address as a number. A machine that replaces another one has a new address.
/// Ports are the same on all machines, so that the address is enough to reach it.
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
    /// The IPv4 address of the machine.
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

/// One start of a process, drawn at random so that no two starts have the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default, bitcode::Encode, bitcode::Decode)]
pub struct Incarnation(pub u64);

/// One start of a model server, as the server names itself: `ID` in the path of its heartbeats.
pub type ServerId = String;
