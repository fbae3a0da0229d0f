//! Cluster state of one coordinator: the other coordinators, and the servers that send heartbeats.
//!
//! - [`Membership`] is a failure detector and gossip protocol in the manner of SWIM (Das, Gupta, Motivala, 2002).
//! - [`Directory`] is the replicated table of servers: every coordinator holds a full replica without a leader.
//! - [`rendezvous`] ranks nodes for a key, alike on every node.
//!
//! Both state machines are pure: the caller passes in the time and the received messages, and takes out the
//! messages to send. Neither reads a clock nor opens a socket.

pub mod directory;
pub mod membership;
pub mod rendezvous;
mod send_queue;
mod stable_hash;

pub use directory::Directory;
pub use membership::Membership;
