//! The operator's configuration: parsing, validation, the replicated state machine, updates since a version, and the
//! typed view that requests are routed by.
//!
//! A [`Change`] is one call of the operator (`Config.Replace` or `Config.Update`), parsed and checked on its own.
//! [`ConfigState`] is the state machine that the coordinators replicate: it validates changes against the current
//! version, applies them, returns the configuration as it was written, and computes what changed since a version.
//! [`View`] is the typed form that requests are routed by; data-plane nodes keep theirs up to date with
//! [`ConfigUpdate`](shaletrail_protocol::internal::ConfigUpdate).
//!
//! Items are stored as the operator wrote them: the spelling of numbers is kept, and so are unknown fields.
//!
//! The way of a change through the modules: `change` and `change_body` parse a call with the help of `json` and
//! `item`; `diff` compares it with the `document`; `view` and `service_references` check the difference; `state` puts
//! these together and records the change in `change_log` (for updates) and `dedup_window` (for repeated calls).
//! `snapshot` encodes the state.

mod change;
mod change_body;
mod change_log;
mod content_hash;
mod dedup_window;
mod diff;
mod document;
mod error;
mod host;
mod item;
mod item_list;
mod json;
mod keys;
mod route_table;
mod schema;
mod service_references;
mod snapshot;
mod state;
mod view;

pub use change::{Change, ChangeKind};
pub use error::{DecodeError, InvalidConfig, ViewError};
pub use schema::{ClientLimits, Model, Route, RouteKind, Runtime, Service, WeightedService};
pub use state::{ChangeOutcome, ConfigState, MAX_CONFIGURATION_BYTES};
pub use view::View;
