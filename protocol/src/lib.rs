//! Every message of the system, and the settings its processes start with.
//!
//! [`outside`] holds what servers and operators speak (JSON over HTTP/1.1), [`inside`] what the nodes speak
//! among themselves (bitcode in length-prefixed [`frame`]s), [`settings`] the file that a process starts with.

pub mod external;
pub mod frame;
pub mod internal;
pub mod node;
pub mod settings;

pub use node::{Incarnation, Millis, NodeId, ServerId};
