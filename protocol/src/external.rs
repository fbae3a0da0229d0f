//! Messages of model servers, as JSON over HTTP/1.1: heartbeats that they send, orders and requests for reports that
//! they receive.
//!
//! The names of the JSON fields are the platform's. Unknown fields are ignored and absent ones have defaults, as servers
//! of other releases may send more or fewer of them.

use serde::{Deserialize, Serialize};

/// The longest body of a heartbeat that is accepted, in bytes.
pub const MAX_HEARTBEAT_BYTES: usize = 4096;

/// A model that is loaded on a server, with its adapters.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, bitcode::Encode, bitcode::Decode,
)]
#[serde(default)]
pub struct LoadedModel {
    /// The name of the model, as routes of the configuration name it.
    pub name: String,
    /// The version of the weights.
    pub version: u64,
    /// The names of the adapters that are loaded on the model.
    pub adapters: Vec<String>,
}

/// The lifecycle state of a server, as it reports it.
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
    /// The server accepts requests.
    #[default]
    Ready,
    /// The server shuts down gracefully: no new requests may be sent to it.
    Draining,
}

/// The body of `POST /Instances.Heartbeat/ID`, which a server sends each heartbeat interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, bitcode::Encode, bitcode::Decode)]
#[serde(default, rename_all = "camelCase")]
pub struct Heartbeat {
    /// The service that the server belongs to.
    pub service: String,
    /// The address that the server accepts requests and orders on, `IP:PORT`.
    pub address: String,
    /// The zone (failure domain) that the server stands in.
    pub zone: String,
    /// The version of the server's software.
    pub version: String,
    /// Requests that the server processes concurrently; further ones queue there.
    pub slots: u32,
    /// Whether the server accepts requests.
    pub state: ServerState,
    /// Milliseconds until the server has warmed up after its start; 0 once it has.
    pub cold_remaining_ms: f64,
    /// Milliseconds until the platform takes the server away, where that has been announced.
    pub remaining_ms: Option<f64>,
    /// The phases of inference that the server runs; `combined` for prefill and decode.
    pub phase: String,
    /// The models that are loaded; absent for services without models.
    pub models: Option<Vec<LoadedModel>>,
    /// Rises with each heartbeat of one start, so that one that was overtaken is recognised.
    pub sequence: u64,
}

/// The response to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct HeartbeatResponse {
    /// The address for later heartbeats, `IP:PORT`; absent if it does not change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub heartbeat_endpoint: Option<String>,
}

/// What an order tells a server to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Operation {
    /// Load a model from the weight store, or an adapter of a model that is loaded.
    Load,
    /// Evict a model with its adapters, or one adapter.
    Evict,
}

/// The body of `POST /order`, by which a coordinator changes what is loaded on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Order {
    /// Whether to load or to evict.
    pub operation: Operation,
    /// The model that is concerned.
    pub model: String,
    /// The adapter that is concerned; absent if it is the model itself.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The `sequence` of [`ServerReport`] that the server must be at, else it rejects the order; absent if it need not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub if_revision: Option<u64>,
    /// The name of the node that holds the lease on the server's orders.
    pub lease_holder: String,
    /// Rises with each lease, so that a server can reject the orders of an earlier holder.
    pub fencing_token: u64,
}

/// The response to `GET /report`: the state of a server as it is at that moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct ServerReport {
    /// The models that are loaded.
    pub models: Vec<LoadedModel>,
    /// Whether the server still carries out an order.
    #[serde(rename = "utilization")]
    pub order_in_flight: bool,
    /// Counts the orders that this start of the server has accepted.
    pub sequence: u64,
    /// Requests that wait for a slot.
    pub queued: u64,
    /// Requests that are processed.
    pub active: u64,
    /// KV cache that cannot be evicted, in tokens.
    pub kv_in_use: u64,
    /// The capacity of the KV cache, in tokens.
    pub kv_limit: u64,
}
