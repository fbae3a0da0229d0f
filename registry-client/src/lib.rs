//! Client of the list service (the registry). It retries and fails over between the service's endpoints.
//!
//! `follow` decides without I/O how to follow the list; `driver` runs it on sockets and a clock. `client`
//! sends changes and retries them until they are acknowledged or refused. `lease` decides without I/O how
//! long a duty is held; `duty` runs it, and `supervisor` runs a command for as long as the duty is held.

#![deny(unsafe_code)]

pub mod agent;
pub mod call;
pub mod client;
#[cfg(feature = "duty")]
pub mod clock;
pub mod driver;
#[cfg(feature = "duty")]
pub mod duty;
pub mod fences;
pub mod follow;
#[cfg(feature = "duty")]
pub mod lease;
#[cfg(feature = "duty")]
pub mod maintenance;
#[cfg(feature = "duty")]
pub mod supervisor;
