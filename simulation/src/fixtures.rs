//! Configurations to test with: one service with models, one without, and a marker route that names the change of a configuration; and the addresses of all machines.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde_json::{json, Value};
use shaletrail_configuration::ConfigView;
use shaletrail_protocol::NodeId;

/// The service with models.
pub const LLM_SERVICE: &str = "llm";
/// The service without models.
pub const WEB_SERVICE: &str = "web";
/// The host of all routes but the marker route.
pub const HOST: &str = "site.example";
/// Path of requests for models that are not idempotent.
pub const NON_IDEMPOTENT_PATH: &str = "/once/";
/// Path of requests for models that are idempotent.
pub const IDEMPOTENT_PATH: &str = "/again/";
/// Path of requests to the service without models, which are not idempotent.
pub const WEB_PATH: &str = "/plain/";
/// `maxAttempts` of all routes.
pub const MAX_ATTEMPTS: usize = 2;
/// Name of the route whose host names the change of the configuration.
pub const MARKER_ROUTE: &str = "mark";

/// The port of model servers.
const SERVER_PORT: u16 = 8_080;

/// The models of a service and the capacity of its servers.
#[derive(Clone, Debug)]
pub struct Models {
    /// Number of models, named `m0`, `m1`, ...
    pub count: usize,
    /// Weights of each model, in MB.
    pub weights_mb: f64,
    /// Load time of a model from the weight store, in seconds.
    pub load_time_s: f64,
    /// Number of adapters of each model, named `a1`, `a2`, ...
    pub adapters: u32,
    /// Size of each adapter, in MB.
    pub adapter_size_mb: f64,
    /// Memory of each server, in MB.
    pub server_mb: f64,
    /// Number of adapters that a server can have loaded.
    pub adapter_capacity: u32,
    /// Rate limit of the weight store, in loads per second.
    pub load_per_s: f64,
    /// Requests that a server executes at once.
    pub slots: u32,
}

impl Default for Models {
    fn default() -> Self {
        Models {
            count: 6,
            weights_mb: 70_000.0,
            load_time_s: 0.6,
            adapters: 9,
            adapter_size_mb: 66.0,
            server_mb: 220_000.0,
            adapter_capacity: 4,
            load_per_s: 1.4,
            slots: 16,
        }
    }
}

impl Models {
    /// Memory that models and adapters occupy, in MB.
    pub fn memory_mb(&self, models: usize, adapters: usize) -> f64 {
        models as f64 * self.weights_mb + adapters as f64 * self.adapter_size_mb
    }

    /// The number of concurrent loads that the weight store serves at full speed.
    pub fn max_concurrent_loads(&self) -> u32 {
        (self.load_per_s * self.load_time_s).ceil().max(1.0) as u32
    }
}

/// A complete configuration whose marker route names a change.
pub fn configuration(models: &Models, change: u64, version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            marker_route(change),
            route("once", HOST, NON_IDEMPOTENT_PATH, "non_idempotent", LLM_SERVICE),
            route("again", HOST, IDEMPOTENT_PATH, "idempotent", LLM_SERVICE),
            route("plain", HOST, WEB_PATH, "non_idempotent", WEB_SERVICE),
        ],
        "services": [llm(models), service(WEB_SERVICE)],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    })
}

/// The body of an update that changes the marker route only.
pub fn marker_update(change: u64, version: u64) -> Value {
    json!({"version": version, "upsert": {"routes": [marker_route(change)]}, "remove": {}})
}

/// The marker route of a change.
pub fn marker_route(change: u64) -> Value {
    route(MARKER_ROUTE, &format!("change-{change}.example"), "/", "idempotent", WEB_SERVICE)
}

/// The change that a view's marker route names; `None` without a configuration.
pub fn change_in_view(view: &ConfigView) -> Option<u64> {
    let route = view.routes().find(|route| route.name == MARKER_ROUTE)?;
    change_in_host(&route.host)
}

/// The change that a configuration's marker route names.
pub fn change_in_document(configuration: &Value) -> Option<u64> {
    let routes = configuration.get("routes")?.as_array()?;
    let route =
        routes.iter().find(|route| route.get("name").and_then(Value::as_str) == Some(MARKER_ROUTE))?;
    change_in_host(route.get("host")?.as_str()?)
}

fn change_in_host(host: &str) -> Option<u64> {
    host.strip_prefix("change-")?.strip_suffix(".example")?.parse().ok()
}

fn route(name: &str, host: &str, prefix: &str, kind: &str, service: &str) -> Value {
    json!({"name": name, "host": host, "pathPrefix": prefix, "type": kind, "timeoutMs": 6000,
           "targetLatencyMs": 4000, "priority": 1, "service": service, "maxAttempts": MAX_ATTEMPTS, "affinity": service == LLM_SERVICE})
}

fn service(name: &str) -> Value {
    json!({"name": name, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false})
}

fn llm(models: &Models) -> Value {
    let model = |number: usize| {
        json!({"name": model_name(number), "weightsMb": models.weights_mb, "loadTimeS": models.load_time_s,
               "adapters": models.adapters, "adapterSizeMb": models.adapter_size_mb})
    };
    let mut llm = service(LLM_SERVICE);
    llm["runtime"] = json!({
        "slots": models.slots, "kvCapacity": 233_278, "kvBytes": 163_840, "linkMbps": 1_100_000.0, "stride": 5,
        "models": (0..models.count).map(model).collect::<Vec<_>>(),
        "weightsMb": models.server_mb, "adapterCapacity": models.adapter_capacity, "loadPerS": models.load_per_s,
    });
    llm
}

/// The name of a model.
pub fn model_name(number: usize) -> String {
    format!("m{number}")
}

/// The machine of a coordinator.
pub fn coordinator(number: u8) -> NodeId {
    NodeId::from(Ipv4Addr::new(10, 0, 0, number + 1))
}

/// The machine of an edge.
pub fn edge(number: u8) -> NodeId {
    NodeId::from(Ipv4Addr::new(10, 0, 1, number + 1))
}

/// The machine of a model server.
pub fn server(number: u8) -> NodeId {
    NodeId::from(Ipv4Addr::new(10, 0, 2, number + 1))
}

/// The machine of the operator.
pub fn operator() -> NodeId {
    NodeId::from(Ipv4Addr::new(10, 0, 3, 1))
}

/// A model server's address, as heartbeats give it.
pub fn server_address(node: NodeId) -> String {
    SocketAddrV4::new(node.address(), SERVER_PORT).to_string()
}

/// The machine of a model server's address.
///
/// # Panics
/// The address is malformed.
pub fn server_node(address: &str) -> NodeId {
    let address: SocketAddrV4 = address.parse().expect("an address that a heartbeat gave");
    NodeId::from(*address.ip())
}

/// The version of a configuration; 0 for none.
pub fn version_of(document: &Value) -> u64 {
    document.get("version").and_then(Value::as_u64).unwrap_or_default()
}
