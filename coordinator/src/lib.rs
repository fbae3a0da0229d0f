//! The coordinator: receives heartbeats of servers and calls of the operator, replicates the configuration, publishes
//! configuration and directory to the data-plane nodes, and places models on servers by load and evict orders.
//!
//! [`core`] makes every decision as a sans-IO state machine that turns events into actions ([`interface`]). [`driver`]
//! owns sockets, disk and clock.

pub mod core;
pub mod driver;
pub mod interface;

pub use driver::{run, CoordinatorError};
