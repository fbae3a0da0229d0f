//! The operator's configuration: reading, checking, the replicated state machine, deltas and the typed view.
//!
//! A [`Change`] is one call of the operator (`Config.Replace` or `Config.Update`), read and checked on its own.
//! [`ConfigState`] is what the coordinators replicate: it judges changes against the current version, applies
//! them, gives the whole configuration back as it was written, and tells what changed since a version.
//! [`View`] is the typed form that requests are decided by; edges feed theirs with
//! [`ConfigUpdate`](shaletrail_protocol::internal::ConfigUpdate).
//!
//! Items are kept as the operator wrote them: numbers to the letter, unknown fields too.

mod change;
mod content;
mod document;
mod error;
mod fields;
mod log;
mod plan;
mod reading;
mod route_table;
mod scan;
mod snapshot;
mod state;
mod typed;
mod view;

pub use change::Change;
pub use error::{DecodeError, InvalidConfig, ViewError};
pub use state::{ChangeOutcome, ConfigState, MAX_CONFIGURATION_BYTES};
pub use typed::{ClientLimits, Model, Route, RouteKind, Runtime, Service};
pub use view::View;
