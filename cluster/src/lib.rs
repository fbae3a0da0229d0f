//! Cluster state of one coordinator: which coordinators are alive, and which servers send heartbeats.
//!
//! - [`Membership`] is a failure detector and gossip protocol in the manner of SWIM (Das, Gupta, Motivala, 2002).
//! - [`Directory`] is the replicated table of servers. There is no leader; every coordinator holds a full replica.
//! - [`NodeAttributesTable`] knows the zone and region of each coordinator, also while it is down.
//! - [`rendezvous`] ranks nodes for a key, with the same result on every node.
//!
//! `Membership`, `Directory` and `NodeAttributesTable` are state machines without I/O: the caller passes in the time and
//! the received messages, and takes out the messages to send. None of them reads a clock or opens a socket.

pub mod directory;
pub mod membership;
pub mod node_attributes;
pub mod rendezvous;
mod send_queue;
mod stable_hash;

pub use directory::Directory;
pub use membership::Membership;
pub use node_attributes::NodeAttributesTable;
