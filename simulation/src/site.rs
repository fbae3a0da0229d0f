//! Configurations to test with: one service with models, one without, and a mark that shows which change is in force.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde_json::{json, Value};
use shaletrail_configuration::View;
use shaletrail_protocol::NodeId;

/// The service with models.
pub const LLM: &str = "llm";
/// The service without models.
pub const WEB: &str = "web";
/// The host of the usual routes.
pub const HOST: &str = "site.example";
/// Requests for models that may run once.
pub const ONCE: &str = "/once/";
/// Requests for models that may be repeated.
pub const AGAIN: &str = "/again/";
/// Requests to the service without models that may run once.
pub const PLAIN: &str = "/plain/";
/// `maxAttempts` of all routes.
pub const MAX_ATTEMPTS: usize = 2;
/// The route whose host names the change that is in force.
const MARK: &str = "mark";

/// The port of model servers.
const SERVER_PORT: u16 = 8_080;

/// What a site's servers run.
#[derive(Clone, Debug)]
pub struct Models {
    /// Models, named `m0`, `m1`, ...
    pub count: usize,
    /// Of each model, in MB.
    pub weights_mb: f64,
    /// From the weight store, in seconds.
    pub load_time_s: f64,
    /// Adapters of each model, named `a1`, `a2`, ...
    pub adapters: u32,
    /// Of each adapter, in MB.
    pub adapter_size_mb: f64,
    /// Of each server, in MB.
    pub server_mb: f64,
    /// Of each server.
    pub adapter_capacity: u32,
    /// Loads a second that the weight store allows.
    pub load_per_s: f64,
    /// Requests that a server works on at once.
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
    /// MB that models with their adapters take.
    pub fn megabytes(&self, models: usize, adapters: usize) -> f64 {
        models as f64 * self.weights_mb + adapters as f64 * self.adapter_size_mb
    }

    /// Loads at once at which the weight store still gives each its full speed.
    pub fn loads_at_once(&self) -> u32 {
        (self.load_per_s * self.load_time_s).ceil().max(1.0) as u32
    }
}

/// A whole configuration.
pub fn configuration(models: &Models, change: u64, version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            mark(change),
            route("once", HOST, ONCE, "non_idempotent", LLM),
            route("again", HOST, AGAIN, "idempotent", LLM),
            route("plain", HOST, PLAIN, "non_idempotent", WEB),
        ],
        "services": [llm(models), service(WEB)],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    })
}

/// Items that mark a change, as the body of an update.
pub fn marking_update(change: u64, version: u64) -> Value {
    json!({"version": version, "upsert": {"routes": [mark(change)]}, "remove": {}})
}

/// The route that marks a change.
pub fn mark(change: u64) -> Value {
    route(MARK, &format!("change-{change}.example"), "/", "idempotent", WEB)
}

/// The change that is in force in a view; `None` where there is no configuration.
pub fn marked_in_view(view: &View) -> Option<u64> {
    let route = view.routes().find(|route| route.name == MARK)?;
    change_of_host(&route.host)
}

/// The change that is in force in a configuration.
pub fn marked(configuration: &Value) -> Option<u64> {
    let routes = configuration.get("routes")?.as_array()?;
    let route = routes.iter().find(|route| route.get("name").and_then(Value::as_str) == Some(MARK))?;
    change_of_host(route.get("host")?.as_str()?)
}

fn change_of_host(host: &str) -> Option<u64> {
    host.strip_prefix("change-")?.strip_suffix(".example")?.parse().ok()
}

fn route(name: &str, host: &str, prefix: &str, kind: &str, service: &str) -> Value {
    json!({"name": name, "host": host, "pathPrefix": prefix, "type": kind, "timeoutMs": 6000,
           "targetLatencyMs": 4000, "priority": 1, "service": service, "maxAttempts": MAX_ATTEMPTS, "affinity": service == LLM})
}

fn service(name: &str) -> Value {
    json!({"name": name, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false})
}

fn llm(models: &Models) -> Value {
    let model = |number: usize| {
        json!({"name": model_name(number), "weightsMb": models.weights_mb, "loadTimeS": models.load_time_s,
               "adapters": models.adapters, "adapterSizeMb": models.adapter_size_mb})
    };
    let mut llm = service(LLM);
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

/// Where the operator calls from.
pub fn operator() -> NodeId {
    NodeId::from(Ipv4Addr::new(10, 0, 3, 1))
}

/// A model server's address as heartbeats give it.
pub fn server_address(node: NodeId) -> String {
    SocketAddrV4::new(node.address(), SERVER_PORT).to_string()
}

/// The machine at a model server's address.
///
/// # Panics
/// The address is not one that a heartbeat gave.
pub fn server_node(address: &str) -> NodeId {
    let address: SocketAddrV4 = address.parse().expect("an address that a heartbeat gave");
    NodeId::from(*address.ip())
}
