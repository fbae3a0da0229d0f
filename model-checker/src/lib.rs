//! Explores a small Raft group exhaustively: every interleaving of events within stated bounds.
//!
//! The code under test is the production code: `shaletrail_consensus::Replica`, the evaluation of configuration changes
//! (`shaletrail_configuration::ConfigState`) and the order lease (`shaletrail_coordinator::core::{lease_state,
//! orders}`). No part of the protocol is reimplemented here.
//!
//! A [`ClusterState`] consists of three voters, a learner, their disks and all messages in flight. A [`Scenario`] is an
//! initial state shortly before a possible failure, with a [`FaultBudget`]. [`explore`] applies all [`Transition`]s
//! from there, breadth first, and skips states that it has already visited. After each transition the
//! [`InvariantChecker`] checks all invariants; a violation is reported with the shortest path to it.
//!
//! Lost messages and frozen processes need no transition of their own: a lost message is one that is never delivered,
//! and a frozen process is one that receives no input.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cluster_state;
mod config_changes;
mod disk;
mod explorer;
mod fingerprint;
mod group_options;
mod input;
mod invariants;
mod node;
mod observation;
mod order_leadership;
mod scenario;
mod scenario_builder;
mod scenarios;
mod state_machine;
mod transition;
mod transition_cache;

pub use cluster_state::ClusterState;
pub use explorer::{explore, Limits, Report, Violation};
pub use invariants::{Invariant, InvariantChecker, InvariantViolation};
pub use scenario::Scenario;
pub use scenarios::SCENARIOS;
pub use transition::{FaultBudget, Transition};
