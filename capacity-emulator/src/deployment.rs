//! The emulated deployment: names, addresses and configuration.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde_json::{json, Value};
use shaletrail_protocol::NodeId;

use crate::options::{Options, ADAPTERS_PER_MODEL, LOADS_PER_SECOND_PER_SERVER};

/// The size of the weights of each model, in MB.
pub const MODEL_WEIGHTS_MB: f64 = 65_000.0;
/// The memory of a server that is available for models, in MB.
pub const SERVER_MEMORY_MB: f64 = 220_000.0;
/// The maximum number of adapters loaded on a server.
pub const ADAPTER_CAPACITY: usize = 8;
/// The size of an adapter, in MB.
pub const ADAPTER_SIZE_MB: f64 = 60.0;
/// The time to load a model from the model store, in seconds.
pub const MODEL_LOAD_TIME_S: f64 = 0.6;
/// The number of requests that a server processes concurrently.
pub const SLOTS: u32 = 64;
/// The tokens of a prompt and the maximum tokens of a response. The sum, at 100,000 requests per second, is 43 million
/// tokens per second.
pub const TOKENS: (u32, u32) = (400, 30);
/// The port on which servers accept requests.
const SERVER_PORT: u16 = 8_080;
/// The number of address bits that hold a node's index within its class.
const INDEX_BITS: u32 = 16;
/// Class number of coordinators in an address.
const COORDINATOR_CLASS: u32 = 1;
/// Class number of edges in an address.
const EDGE_CLASS: u32 = 2;
/// Class number of servers in an address.
const SERVER_CLASS: u32 = 3;

/// The node id of the coordinator with this index.
pub fn coordinator_node(index: usize) -> NodeId {
    node(COORDINATOR_CLASS, index)
}

/// The node id of the edge with this index.
pub fn edge_node(index: usize) -> NodeId {
    node(EDGE_CLASS, index)
}

/// The node id of the server with this index.
pub fn server_node(index: usize) -> NodeId {
    node(SERVER_CLASS, index)
}

fn node(class: u32, index: usize) -> NodeId {
    NodeId(u32::from(Ipv4Addr::new(10, 0, 0, 0)) | class << INDEX_BITS | index as u32)
}

/// The index of a node within its class (coordinators, edges or servers).
pub fn index_of(node: NodeId) -> usize {
    (node.0 & ((1 << INDEX_BITS) - 1)) as usize
}

/// The address at which a server accepts requests.
pub fn server_address(index: usize) -> String {
    SocketAddrV4::new(server_node(index).address(), SERVER_PORT).to_string()
}

/// The index of the server with this address; `None` if the address does not parse.
pub fn server_at(address: &str) -> Option<usize> {
    let address: SocketAddrV4 = address.parse().ok()?;
    Some(index_of(NodeId::from(*address.ip())))
}

/// The name of the service with this index.
pub fn service_name(service: usize) -> String {
    format!("llm-{service}")
}

/// The name of a model. Models are numbered by popularity, with 0 the most popular, and assigned to services round
/// robin.
pub fn model_name(model: usize) -> String {
    format!("model{model:06}")
}

/// The index of the service that a model belongs to.
pub fn service_of_model(options: &Options, model: usize) -> usize {
    model % options.services
}

/// The index of the service that a server belongs to.
pub fn service_of_server(options: &Options, server: usize) -> usize {
    server % options.services
}

/// The host name in the routes of a service.
pub fn host(service: usize) -> String {
    format!("service-{service}.example")
}

/// The path prefix of a route. All services use the same prefixes.
pub fn path(route: usize) -> String {
    format!("/route-{route}/")
}

/// The number of routes of each service.
pub fn routes_per_service(options: &Options) -> usize {
    (options.routes / options.services).max(1)
}

/// A complete configuration as JSON.
pub fn configuration(options: &Options, version: u64) -> Value {
    let routes: Vec<Value> = (0..options.services)
        .flat_map(|service| (0..routes_per_service(options)).map(move |route| (service, route)))
        .map(|(service, route)| route_item(service, route, version))
        .collect();
    let services: Vec<Value> =
        (0..options.services).map(|service| service_item(options, service, version)).collect();
    json!({
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    })
}

/// A change that replaces one route, as JSON.
pub fn route_update(options: &Options, version: u64) -> Value {
    let number = version as usize;
    let route = route_item(number % options.services, number % routes_per_service(options), version);
    json!({"version": version, "upsert": {"routes": [route]}, "remove": {}})
}

/// A change that replaces one service with all its models, as JSON.
pub fn service_update(options: &Options, version: u64) -> Value {
    let service = service_item(options, version as usize % options.services, version);
    json!({"version": version, "upsert": {"services": [service]}, "remove": {}})
}

fn route_item(service: usize, route: usize, version: u64) -> Value {
    json!({
        "name": format!("route-{service}-{route}"), "host": host(service), "pathPrefix": path(route),
        "type": "idempotent", "timeoutMs": 5000 + version % 1000, "targetLatencyMs": 1000, "priority": 1,
        "service": service_name(service), "maxAttempts": 2, "affinity": true, "resumable": false,
    })
}

fn service_item(options: &Options, service: usize, version: u64) -> Value {
    let models = (0..options.models).filter(|model| service_of_model(options, *model) == service);
    let model = |model: usize| {
        json!({"name": model_name(model), "weightsMb": MODEL_WEIGHTS_MB, "loadTimeS": MODEL_LOAD_TIME_S,
               "adapters": ADAPTERS_PER_MODEL, "adapterSizeMb": ADAPTER_SIZE_MB})
    };
    let loads = LOADS_PER_SECOND_PER_SERVER * options.servers as f64 / options.services as f64;
    json!({
        "name": service_name(service), "healthPath": "/healthz", "maxConnections": 96 + version % 8,
        "protocol": "h1", "tls": false,
        "runtime": {
            "slots": SLOTS, "kvCapacity": 233_278, "kvBytes": 163_840, "linkMbps": 1_100_000.0, "stride": 5,
            "models": models.map(model).collect::<Vec<_>>(), "weightsMb": SERVER_MEMORY_MB,
            "adapterCapacity": ADAPTER_CAPACITY, "loadPerS": loads.max(1.0),
        },
    })
}

/// The name of an adapter. The adapters of a model are numbered from 1.
pub fn adapter_name(number: u32) -> String {
    format!("a{number}")
}
