//! The service registry: a replicated list of instances, and duties that one process holds at a time.
//! `catalogue`, `leases` and `duties` contain the logic without I/O; the other modules add the log,
//! replication and the network.

#![deny(unsafe_code)]
// The error of a request is the response to send instead. It is created once for a failed request and
// returned through one or two functions.
#![allow(clippy::result_large_err)]

pub mod catalogue;
mod discovery_api;
pub mod duties;
mod duty_api;
mod http;
pub mod leases;
mod log;
mod operator_api;
mod raft_network;
mod replica;
mod service;
mod state_machine;
mod types;

pub use log::OpenError;
pub use replica::{restore, DataFolder, Settings};
pub use service::{run, Options, ServiceError};
