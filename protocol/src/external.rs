//! What servers speak: heartbeats to the system, orders and reports from it. JSON; fields not named are passed
//! over, as new ones may appear.

use serde::{Deserialize, Serialize};

/// The longest heartbeat taken, in bytes.
pub const MAX_HEARTBEAT_BYTES: usize = 4096;

/// A model that a server holds, with its adapters.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, bitcode::Encode, bitcode::Decode,
)]
#[serde(default)]
pub struct LoadedModel {
    /// The model's name.
    pub name: String,
    /// The version of its weights.
    pub version: u64,
    /// Names of the adapters that are there.
    pub adapters: Vec<String>,
}

/// The life of a server, as it tells it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    bitcode::Encode,
    bitcode::Decode,
    strum::Display,
)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Takes requests.
    #[default]
    Ready,
    /// Leaves: nothing new may be sent to it.
    Draining,
}

/// Body of `POST /Instances.Heartbeat/ID`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, bitcode::Encode, bitcode::Decode)]
#[serde(default, rename_all = "camelCase")]
pub struct Heartbeat {
    /// The service that the server belongs to.
    pub service: String,
    /// Where it is reached, `IP:PORT`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Milliseconds that it will still be slow from its start.
    pub cold_remaining_ms: f64,
    /// Milliseconds until it is gone, where it is taken away at short notice.
    pub remaining_ms: Option<f64>,
    /// What it does (`combined`).
    pub phase: String,
    /// What it holds; absent for services without models.
    pub models: Option<Vec<LoadedModel>>,
    /// Rises with each call, so that a late one is recognised.
    pub sequence: u64,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct HeartbeatResponse {
    /// Where later heartbeats should go, `IP:PORT`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub heartbeat_endpoint: Option<String>,
}

/// What an order asks of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Operation {
    /// Fetch a model, or an adapter of a model that is there.
    Load,
    /// Drop it.
    Evict,
}

/// Body of `POST /order`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Order {
    /// What to do.
    pub operation: Operation,
    /// With which model.
    pub model: String,
    /// With which of its adapters, if not with the model itself.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The `sequence` that the server must be at.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub if_revision: Option<u64>,
    /// The node that orders.
    pub lease_holder: String,
    /// Its fence: rises with each holder.
    pub fencing_token: u64,
}

/// Answer to `GET /report`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct ServerReport {
    /// What it holds.
    pub models: Vec<LoadedModel>,
    /// Whether an order is under way.
    #[serde(rename = "utilization")]
    pub order_in_flight: bool,
    /// Orders taken.
    pub sequence: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Requests that run.
    pub active: u64,
    /// Tokens of memory that cannot give way.
    pub kv_in_use: u64,
    /// Tokens of memory in all.
    pub kv_limit: u64,
}
