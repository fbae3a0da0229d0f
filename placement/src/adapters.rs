//! Placement of adapters: an adapter is loaded on servers that hold its model, in the order of the hash ring sequence
//! of the model and adapter names.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;
use shaletrail_ring::Key;

use crate::catalogue::adapter_name;
use crate::context::PlacementContext;
use crate::demand::{is_within, AdapterDemand};
use crate::model::{Artifact, Model, ModelId};
use crate::server::{Server, ServerKey};

/// An adapter is in demand for this long after its last request, in milliseconds.
const DEMAND_WINDOW: Millis = 2_000;
/// An adapter is not evicted for this long after its last request, in milliseconds.
const MIN_IDLE: Millis = 1_000;
/// Missing adapters beyond this number wait for a later planning pass.
const MAX_MISSING_ADAPTERS: usize = 64;
/// Request rates are compared as integers, in units of 1 / `RATE_SCALE` requests per second.
const RATE_SCALE: f64 = 1_000.0;

/// An order to load or evict an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdapterOrder {
    /// The server that receives the order.
    pub server: ServerKey,
    /// Whether to load or to evict.
    pub operation: Operation,
    /// The adapter to load or evict, with the model that it belongs to.
    pub artifact: Artifact,
}

/// An adapter with fewer replicas than its demand needs.
#[derive(Clone, Copy, Debug)]
struct MissingAdapter {
    artifact: Artifact,
    /// Requests that wait for the adapter.
    waiting: u32,
    /// Request rate, in units of 1 / [`RATE_SCALE`] requests per second.
    scaled_rate: u64,
}

/// Returns the next orders for missing adapters, at most one per server. Adds the number of examined servers to
/// `examined`.
pub fn adapter_orders(context: &PlacementContext, examined: &mut u64) -> Vec<AdapterOrder> {
    let mut orders: Vec<AdapterOrder> = Vec::new();
    for missing in missing_adapters(context) {
        let has_order = |key: ServerKey| orders.iter().any(|order| order.server == key);
        if let Some(order) = order_for(context, missing.artifact, has_order, examined) {
            orders.push(order);
        }
    }
    orders
}

/// Returns the missing adapters, most urgent first.
fn missing_adapters(context: &PlacementContext) -> Vec<MissingAdapter> {
    let has_demand =
        |model: &Model| model.demand.adapters.values().any(|adapter| is_in_demand(adapter, context.now));
    if !context.models.configured().any(|(_, model)| has_demand(model)) {
        return Vec::new();
    }
    let counts = AdapterCounts::of_servers(context);
    let mut all = Vec::new();
    for (id, model) in context.models.configured() {
        let adapters = model.demand.adapters.iter();
        for (number, demand) in adapters.filter(|(_, demand)| is_in_demand(demand, context.now)) {
            let rate = demand.arrivals.per_second(context.now);
            let desired = 1 + (rate / context.options.adapter_replica_rate.max(0.1)) as usize;
            if counts.of_adapter(id, *number) < desired.min(counts.of_model(id)) {
                all.push(MissingAdapter {
                    artifact: Artifact::adapter(id, *number),
                    waiting: demand.waiting,
                    scaled_rate: (rate * RATE_SCALE) as u64,
                });
            }
        }
    }
    all.sort_by_key(|missing| (Reverse(missing.waiting), Reverse(missing.scaled_rate), missing.artifact));
    all.truncate(MAX_MISSING_ADAPTERS);
    all
}

fn is_in_demand(demand: &AdapterDemand, now: Millis) -> bool {
    demand.waiting > 0 || is_within(demand.last_requested, now, DEMAND_WINDOW)
}

/// The number of replicas of each model and adapter on ready servers.
#[derive(Default)]
struct AdapterCounts {
    models: BTreeMap<ModelId, usize>,
    /// Includes adapters that are being loaded.
    adapters: BTreeMap<(ModelId, u32), usize>,
}

impl AdapterCounts {
    fn of_servers(context: &PlacementContext) -> Self {
        let mut counts = AdapterCounts::default();
        context.servers.values().filter(|server| server.is_ready()).for_each(|server| counts.add(server));
        counts
    }

    fn add(&mut self, server: &Server) {
        let models = server.contents.models();
        for model in models.filter(|model| server.serves(Artifact::model(*model))) {
            *self.models.entry(model).or_default() += 1;
        }
        let adapters = server.contents.adapters();
        for adapter in adapters.filter(|(model, number)| server.serves(Artifact::adapter(*model, *number))) {
            *self.adapters.entry(adapter).or_default() += 1;
        }
        let load = server.in_flight.as_ref().filter(|order| order.operation == Operation::Load);
        let loading = load.map(|order| order.artifact).filter(|artifact| !server.contents.has(*artifact));
        if let Some(Artifact { model, adapter: Some(number) }) = loading {
            *self.adapters.entry((model, number)).or_default() += 1;
        }
    }

    fn of_model(&self, model: ModelId) -> usize {
        self.models.get(&model).copied().unwrap_or_default()
    }

    fn of_adapter(&self, model: ModelId, number: u32) -> usize {
        self.adapters.get(&(model, number)).copied().unwrap_or_default()
    }
}

/// Returns the next order for a missing adapter: a load if it fits on a server, otherwise the eviction of the adapter
/// that has been idle the longest.
fn order_for(
    context: &PlacementContext,
    artifact: Artifact,
    has_order: impl Fn(ServerKey) -> bool,
    examined: &mut u64,
) -> Option<AdapterOrder> {
    let model = context.models.get(artifact.model)?;
    let ring_key = Key::of_parts(&[&model.spec.name, &adapter_name(artifact.adapter?)]);
    let mut best_eviction: Option<(Millis, AdapterOrder)> = None;
    for key in context.ring.sequence(ring_key) {
        let server = context.servers.get(key).filter(|server| is_candidate(context, server, artifact));
        let Some(server) = server.filter(|_| !has_order(*key)) else { continue };
        *examined += 1;
        if fits_adapter(context, server, artifact) {
            return Some(AdapterOrder { server: *key, operation: Operation::Load, artifact });
        }
        let Some((idle_ms, victim)) = longest_idle_adapter(context, server) else { continue };
        if best_eviction.is_none_or(|(longest, _)| idle_ms > longest) {
            let order = AdapterOrder { server: *key, operation: Operation::Evict, artifact: victim };
            best_eviction = Some((idle_ms, order));
        }
    }
    best_eviction.map(|(_, order)| order)
}

/// Returns whether the server accepts an order now and holds the adapter's model, but not the adapter.
fn is_candidate(context: &PlacementContext, server: &Server, artifact: Artifact) -> bool {
    server.accepts_orders(context.now)
        && server.reservation.is_none()
        && server.contents.has(Artifact::model(artifact.model))
        && !server.contents.has(artifact)
}

/// Returns whether the adapter fits on the server, both by size and by number of adapters.
fn fits_adapter(context: &PlacementContext, server: &Server, artifact: Artifact) -> bool {
    let used_mb = server.used_mb(context.models) + context.models.size_mb(artifact);
    let max_adapters = context.catalogue.adapter_capacity as usize;
    used_mb <= context.catalogue.weights_mb && server.contents.adapter_count() < max_adapters
}

/// Returns the server's adapter that has been idle the longest, with its idle time in milliseconds; `None` if all are
/// in use.
fn longest_idle_adapter(context: &PlacementContext, server: &Server) -> Option<(Millis, Artifact)> {
    let idle_adapters = server.contents.adapters().filter_map(|(id, number)| {
        let demand = context.models.get(id)?.demand.adapters.get(&number);
        let last_requested = demand.and_then(|demand| demand.last_requested);
        let idle_ms = last_requested.map_or(Millis::MAX, |last| context.now.saturating_sub(last));
        let is_idle = idle_ms >= MIN_IDLE && demand.is_none_or(|demand| demand.waiting == 0);
        is_idle.then_some((idle_ms, Artifact::adapter(id, number)))
    });
    idle_adapters.max_by_key(|(idle_ms, artifact)| (*idle_ms, Reverse(*artifact)))
}
