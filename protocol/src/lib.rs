//! The messages that nodes exchange with model servers and with each other, and the settings file of a process.
//!
//! - [`external`]: messages to and from model servers, as JSON over HTTP/1.1.
//! - [`internal`]: messages between nodes, encoded with bitcode and sent as length-prefixed [`frame`]s.
//! - [`settings`]: the settings file that a process reads when it starts.
//!
//! bitcode encodes fields and variants by their position. In a type that derives `Encode`, names may change, but
//! fields and variants must not be moved, added or removed.

pub mod external;
pub mod frame;
pub mod internal;
pub mod node;
pub mod settings;

pub use node::{Incarnation, Millis, NodeId, ServerId};
