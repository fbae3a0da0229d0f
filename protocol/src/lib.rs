//! Every message of the system, and the settings that its processes start with.
//!
//! [`external`] has the messages of model servers and operators (JSON over HTTP/1.1), [`internal`] those between the
//! nodes (bitcode in length-prefixed [`frame`]s), [`settings`] the file that a process starts with.
//!
//! bitcode encodes fields and variants by their position: a type with `Encode` may have a name changed, and nothing
//! moved, added or removed.

pub mod external;
pub mod frame;
pub mod internal;
pub mod node;
pub mod settings;

pub use node::{Incarnation, Millis, NodeId, ServerId};
