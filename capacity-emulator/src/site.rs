//! Names, addresses, configuration and popularity of models.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde_json::{json, Value};
use shaletrail_protocol::external::LoadedModel;
use shaletrail_protocol::NodeId;

use crate::options::{Options, ADAPTERS_A_MODEL, BUSY_ADAPTERS};

/// Size of each model, in MB.
pub const WEIGHTS_MB: f64 = 65_000.0;
/// What a server holds, in MB.
pub const SERVER_MB: f64 = 220_000.0;
/// Models that fit into a server beside its adapters.
pub const MODELS_A_SERVER: usize = 3;
/// One server in so many begins with room for another model, as the planner keeps room ahead of need.
const SERVERS_A_SPARE: usize = 5;
/// Adapters that a server holds.
pub const ADAPTER_CAPACITY: usize = 8;
/// Size of an adapter, in MB.
pub const ADAPTER_MB: f64 = 60.0;
/// Of a load of a model from the store, in seconds.
pub const LOAD_TIME_S: f64 = 0.6;
/// Requests that a server works on at once.
pub const SLOTS: u32 = 64;
/// Tokens of a prompt, and the most out: 43 million a second over 100,000 requests.
pub const TOKENS: (u32, u32) = (400, 30);
const SERVER_PORT: u16 = 8_080;
/// The largest number of machines of a class.
const CLASS_BITS: u32 = 16;

/// The machine of a coordinator.
pub fn core_node(place: usize) -> NodeId {
    node(1, place)
}

/// The machine of an edge.
pub fn edge_node(place: usize) -> NodeId {
    node(2, place)
}

/// The machine of a server.
pub fn server_node(place: usize) -> NodeId {
    node(3, place)
}

fn node(class: u32, place: usize) -> NodeId {
    NodeId(u32::from(Ipv4Addr::new(10, 0, 0, 0)) | class << CLASS_BITS | place as u32)
}

/// The place of a machine in its class.
pub fn place(node: NodeId) -> usize {
    (node.0 & ((1 << CLASS_BITS) - 1)) as usize
}

/// Where a server is reached.
pub fn server_address(place: usize) -> String {
    SocketAddrV4::new(server_node(place).address(), SERVER_PORT).to_string()
}

/// The place of the server at an address, if it is one.
pub fn server_at(address: &str) -> Option<usize> {
    let address: SocketAddrV4 = address.parse().ok()?;
    Some(place(NodeId::from(*address.ip())))
}

/// A service's name.
pub fn service_name(service: usize) -> String {
    format!("llm-{service}")
}

/// A model's name. Models are ranked by popularity, 0 first, and spread over services in turn.
pub fn model_name(model: usize) -> String {
    format!("model{model:06}")
}

/// The service that a model belongs to.
pub fn service_of_model(options: &Options, model: usize) -> usize {
    model % options.services
}

/// The service that a server belongs to.
pub fn service_of_server(options: &Options, server: usize) -> usize {
    server % options.services
}

/// The host of a service's routes.
pub fn host(service: usize) -> String {
    format!("service-{service}.example")
}

/// The path of a route; each service has the same ones.
pub fn path(route: usize) -> String {
    format!("/route-{route}/")
}

/// Routes of one service.
pub fn routes_a_service(options: &Options) -> usize {
    (options.routes / options.services).max(1)
}

/// A whole configuration.
pub fn configuration(options: &Options, version: u64) -> Value {
    let routes: Vec<Value> = (0..options.services)
        .flat_map(|service| (0..routes_a_service(options)).map(move |route| (service, route)))
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

/// An update that replaces one route.
pub fn route_update(options: &Options, version: u64) -> Value {
    let number = version as usize;
    let route = route_item(number % options.services, number % routes_a_service(options), version);
    json!({"version": version, "upsert": {"routes": [route]}, "remove": {}})
}

/// An update that replaces one service with all its models.
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
    let own = (0..options.models).filter(|model| service_of_model(options, *model) == service);
    let model = |model: usize| {
        json!({"name": model_name(model), "weightsMb": WEIGHTS_MB, "loadTimeS": LOAD_TIME_S,
               "adapters": ADAPTERS_A_MODEL, "adapterSizeMb": ADAPTER_MB})
    };
    let loads = crate::options::LOADS_A_SERVER * options.servers as f64 / options.services as f64;
    json!({
        "name": service_name(service), "healthPath": "/healthz", "maxConnections": 96 + version % 8,
        "protocol": "h1", "tls": false,
        "runtime": {
            "slots": SLOTS, "kvCapacity": 233_278, "kvBytes": 163_840, "linkMbps": 1_100_000.0, "stride": 5,
            "models": own.map(model).collect::<Vec<_>>(), "weightsMb": SERVER_MB,
            "adapterCapacity": ADAPTER_CAPACITY, "loadPerS": loads.max(1.0),
        },
    })
}

/// Shares of requests by rank: the n-th is asked for 1/n as often as the first.
#[derive(Clone, Debug)]
pub struct Popularity {
    sums: Vec<f64>,
}

impl Popularity {
    /// Of so many things.
    pub fn of(count: usize) -> Self {
        let mut sum = 0.0;
        let sums = (1..=count).map(|rank| {
            sum += 1.0 / rank as f64;
            sum
        });
        Popularity { sums: sums.collect() }
    }

    /// The thing that a number from 0 to 1 stands for.
    pub fn pick(&self, part: f64) -> usize {
        let all = self.sums.last().copied().unwrap_or_default();
        self.sums.partition_point(|sum| *sum < part * all).min(self.sums.len().saturating_sub(1))
    }

    /// The share of one thing.
    pub fn share(&self, rank: usize) -> f64 {
        if rank >= self.sums.len() {
            return 0.0;
        }
        let all = self.sums.last().copied().unwrap_or(1.0);
        1.0 / (rank as f64 + 1.0) / all
    }
}

/// What each server holds at first: places go to models by their popularity, each model has one at least where there
/// are enough, and the busy adapters of what a server holds are there.
pub fn first_contents(options: &Options) -> Vec<Vec<LoadedModel>> {
    let mut contents: Vec<Vec<usize>> = vec![Vec::new(); options.servers];
    let popularity = Popularity::of(options.busy_models());
    let of_service = |service: usize| {
        (0..options.servers).filter(move |server| service_of_server(options, *server) == service)
    };
    for service in 0..options.services {
        let servers: Vec<usize> = of_service(service).collect();
        let places: usize = servers.iter().map(|server| first_models(options, *server)).sum();
        let own: Vec<usize> =
            (0..options.models).filter(|model| service_of_model(options, *model) == service).collect();
        let all: f64 = own.iter().map(|model| popularity.share(*model)).sum();
        let spare = places.saturating_sub(own.len()) as f64;
        let mut next = 0;
        for model in own {
            let replicas = 1 + (spare * popularity.share(model) / all) as usize;
            let mut left = replicas.min(servers.len());
            // One round over the servers is enough: each takes a model once.
            for _ in 0..servers.len() {
                if left == 0 {
                    break;
                }
                let server = servers[next % servers.len()];
                next += 1;
                if contents[server].len() < first_models(options, server) {
                    contents[server].push(model);
                    left -= 1;
                }
            }
        }
    }
    contents.into_iter().map(|models| with_adapters(&models)).collect()
}

/// Models that a server has room for at first.
fn first_models(options: &Options, server: usize) -> usize {
    let has_room = (server / options.services).is_multiple_of(SERVERS_A_SPARE);
    if has_room {
        MODELS_A_SERVER - 1
    } else {
        MODELS_A_SERVER
    }
}

fn with_adapters(models: &[usize]) -> Vec<LoadedModel> {
    let held = |model: &usize| LoadedModel {
        name: model_name(*model),
        version: 1,
        adapters: (1..=BUSY_ADAPTERS).map(adapter_name).collect(),
    };
    models.iter().map(held).collect()
}

/// An adapter's name; they are numbered from 1.
pub fn adapter_name(number: u32) -> String {
    format!("a{number}")
}
