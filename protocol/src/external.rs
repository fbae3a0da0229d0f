//! Messages exchanged with model servers as JSON over HTTP/1.1: the heartbeats that servers send, and the orders and
//! report requests that they receive.
//!
//! The platform defines the names of the JSON fields. Unknown fields of heartbeats and reports are ignored and absent
//! ones get defaults, because servers of other releases may send more or fewer fields.

use serde::{Deserialize, Serialize};

/// The maximum length of a heartbeat's body, in bytes.
pub const MAX_HEARTBEAT_BYTES: usize = 4096;

/// A model that is loaded on a server, with the adapters that are loaded on it.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, bitcode::Encode, bitcode::Decode,
)]
#[serde(default)]
pub struct LoadedModel {
    /// The name of the model, as used in the routes of the configuration.
    pub name: String,
    /// The version of the model's weights.
    pub version: u64,
    /// The names of the loaded adapters.
    pub adapters: Vec<String>,
}

/// The lifecycle state that a server reports for itself.
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
    /// The server is shutting down gracefully: no new requests may be sent to it.
    Draining,
}

/// The body of `POST /Instances.Heartbeat/ID`, which a server sends once per heartbeat interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, bitcode::Encode, bitcode::Decode)]
#[serde(default, rename_all = "camelCase")]
pub struct Heartbeat {
    /// The service that the server belongs to.
    pub service: String,
    /// The address on which the server accepts requests and orders, as `IP:PORT`.
    pub address: String,
    /// The zone (failure domain) in which the server is located.
    pub zone: String,
    /// The version of the server's software.
    pub version: String,
    /// The number of requests that the server processes concurrently. It queues further requests.
    pub slots: u32,
    /// Whether the server accepts new requests or is draining.
    pub state: ServerState,
    /// Milliseconds until the server's warm-up after its start is complete; 0 once it is.
    pub cold_remaining_ms: f64,
    /// Milliseconds until the platform removes the server; `None` if no removal has been announced.
    pub remaining_ms: Option<f64>,
    /// The phases of inference that the server runs; `combined` for both prefill and decode.
    pub phase: String,
    /// The loaded models; absent for services without models.
    pub models: Option<Vec<LoadedModel>>,
    /// Increases with each heartbeat of one server run, so that a heartbeat that arrives out of order is recognized.
    pub sequence: u64,
}

/// The response to a heartbeat or a deregistration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct HeartbeatResponse {
    /// The address for subsequent heartbeats, as `IP:PORT`; absent if it does not change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub heartbeat_endpoint: Option<String>,
}

/// The operation that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Operation {
    /// Load a model from the weight store, or an adapter of a model that is already loaded.
    Load,
    /// Evict a model with all its adapters, or a single adapter.
    Evict,
}

/// The body of `POST /order`, with which a coordinator loads or evicts a model or an adapter on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Order {
    /// Whether to load or to evict.
    pub operation: Operation,
    /// The name of the model.
    pub model: String,
    /// The name of the adapter; absent if the order is for the model itself.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The [`ServerReport::sequence`] that the server must be at, otherwise it rejects the order. If absent, the
    /// server does not check its sequence.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub if_revision: Option<u64>,
    /// The name of the node that holds the order lease for the server.
    pub lease_holder: String,
    /// Increases with each lease, so that a server can reject orders of a previous lease holder.
    pub fencing_token: u64,
}

/// The response to `GET /report`: the state of a server at the time of the request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct ServerReport {
    /// The loaded models.
    pub models: Vec<LoadedModel>,
    /// Whether the server is executing an order. The JSON field is named `utilization`.
    #[serde(rename = "utilization")]
    pub order_in_flight: bool,
    /// The number of orders that the server has accepted since its start.
    pub sequence: u64,
    /// The number of requests that wait for a slot.
    pub queued: u64,
    /// The number of requests that are being processed.
    pub active: u64,
    /// The part of the KV cache that cannot be evicted, in tokens.
    pub kv_in_use: u64,
    /// The capacity of the KV cache, in tokens.
    pub kv_limit: u64,
}
