//! Calls to the list service that survive its failures. `follow` is the pure core of following the list; `driver`
//! gives it sockets and a clock; `changes` puts changes until they hold.

#![deny(unsafe_code)]

pub mod agent;
pub mod call;
pub mod changes;
pub mod driver;
pub mod follow;
