//! The coordinator: takes heartbeats of servers and calls of the operator, keeps the configuration, tells the
//! data-plane nodes both, places models on servers and orders them to load and evict.
//!
//! [`core`] holds every decision, as a sans-IO state machine: events in, actions out ([`interface`]). [`driver`]
//! owns sockets, disk and clock.

pub mod core;
pub mod driver;
pub mod interface;

pub use driver::{run, CoordinatorError};
