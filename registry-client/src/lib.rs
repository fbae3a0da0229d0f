//! Calls to the list service that survive its failures. `follow` is the pure core of following the list; `driver`
//! gives it sockets and a clock; `changes` puts changes until they hold. `tenure` is
//! the pure core of holding a duty; `duty` drives it, and `supervisor` keeps a command within it.

#![deny(unsafe_code)]

pub mod agent;
pub mod call;
pub mod changes;
#[cfg(feature = "duty")]
pub mod clock;
pub mod driver;
#[cfg(feature = "duty")]
pub mod duty;
pub mod fences;
pub mod follow;
#[cfg(feature = "duty")]
pub mod keeper;
#[cfg(feature = "duty")]
pub mod supervisor;
#[cfg(feature = "duty")]
pub mod tenure;
