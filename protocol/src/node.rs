//! Names of machines, processes and servers, and the unit of time.

use std::fmt;
use std::net::Ipv4Addr;

/// Milliseconds of a node's own steady clock. Never compared between machines.
pub type Millis = u64;

/// A machine of the system, known by its IPv4 address: a machine that replaces another has a new one.
/// Ports are the same on all machines, so that the address says how to reach it.
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
    /// The machine's address.
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

/// One start of a process: drawn at random, equal only to itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default, bitcode::Encode, bitcode::Decode)]
pub struct Incarnation(pub u64);

/// One start of a server, as the server names itself (`id` in the path of its heartbeats).
pub type ServerId = String;
