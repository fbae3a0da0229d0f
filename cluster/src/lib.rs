//! Which coordinators are there, and which servers.
//!
//! Two pure parts: [`Membership`] finds the coordinators and tells which of them answer, [`Directory`] keeps the
//! servers that send heartbeats and shares them with the other coordinators. Neither reads a clock nor opens a
//! socket: time is passed in, messages to send are taken out.

pub mod directory;
pub mod membership;
pub mod rendezvous;
mod stable_hash;

pub use directory::Directory;
pub use membership::Membership;
