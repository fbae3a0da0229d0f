//! Explores a small group of replicas exhaustively: every order of events within stated bounds.
//!
//! What is explored is the production code: `shaletrail_consensus::Replica`, the configuration's judgement
//! (`shaletrail_configuration::ConfigState`) and the turns of holders of orders
//! (`shaletrail_coordinator::core::{lease_state, orders}`). Nothing of the protocol is written again here.
//!
//! A [`World`] is three voters, a spare, their disks and all messages under way. A [`Scene`] is a start close
//! to a danger, and a [`Budget`] of faults. [`explore`] takes all [`Step`]s from there, breadth first, and drops
//! states that it has seen. After each step the [`Judge`] checks what must hold; what doesn't is reported with the
//! shortest path that leads to it.
//!
//! A message that is lost is one that is never delivered, and a process that is frozen is one that nothing is
//! delivered to: neither needs a step of its own.

mod explorer;
mod fingerprint;
mod judge;
mod machine;
mod scenes;
mod world;

pub use explorer::{explore, Limits, Report, Violation};
pub use judge::Judge;
pub use scenes::{scenes, Scene};
pub use world::{Budget, Step, World};
