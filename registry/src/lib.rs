//! The list service. `catalogue`, `leases` and `duties` are its pure cores; the rest gives them a log, replicas and sockets.

#![deny(unsafe_code)]
// The error of a call is the answer to give instead, whole; it is made once a refused call and passed one level up.
#![allow(clippy::result_large_err)]

pub mod catalogue;
mod changing;
pub mod duties;
mod duty_calls;
mod http;
pub mod leases;
mod links;
mod log;
mod machine;
mod reading;
mod replica;
mod service;
mod types;

pub use log::OpenError;
pub use replica::{restore, Folder, Settings};
pub use service::{run, Options, ServiceError};
