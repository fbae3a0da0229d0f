//! The coordinator receives heartbeats from servers and calls from the operator, replicates the configuration,
//! publishes the configuration and the directory of servers to the data-plane nodes (edges), and places models on
//! servers by sending them load and evict orders.
//!
//! [`core`] makes every decision as a sans-IO state machine that turns events into actions ([`interface`]). [`driver`]
//! owns the sockets, the disk and the clock.

pub mod core;
pub mod driver;
pub mod interface;

pub use driver::{run, CoordinatorError};
