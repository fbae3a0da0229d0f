//! The operator's configuration: parsing, validation, the replicated state machine, updates since a version, and the
//! typed view that is used to route requests.
//!
//! - [`Change`] is one operator call (`Config.Replace` or `Config.Update`), parsed and validated as far as possible
//!   without the current configuration.
//! - [`ConfigState`] is the state machine that the coordinators replicate. It validates changes against the current
//!   version, applies them, returns the configuration as the operator wrote it, and computes the update from an earlier
//!   version to the current one.
//! - [`ConfigView`] is the typed form of the configuration, which is used to route requests. Data-plane nodes keep
//!   their view up to date by applying each [`ConfigUpdate`](shaletrail_protocol::internal::ConfigUpdate) that they
//!   receive.
//!
//! Items are stored as the operator wrote them: numbers keep their notation, and unknown fields are preserved.
//!
//! A change passes through the modules as follows: `change` and `change_body` parse the call, using `json` and `item`;
//! `diff` compares it with the current `document`; `view` and `service_references` check the difference; `state` runs
//! these steps and records the change in `change_log` (to compute updates) and in `dedup_window` (to recognize retried
//! calls). `snapshot` encodes and decodes the state.

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

pub use change::{Change, ChangeId, ChangeKind};
pub use error::{DecodeError, InvalidConfig, ViewError};
pub use schema::{ClientLimits, Model, Route, RouteKind, Runtime, Service, WeightedService};
pub use state::{ChangeOutcome, ConfigState, MAX_CONFIGURATION_BYTES};
pub use view::ConfigView;
