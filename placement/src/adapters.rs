//! Which adapters go where: to holders of their model, in the order of the adapter's own RJ-CH sequence.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;
use shaletrail_ring::Key;

use crate::catalogue::adapter_name;
use crate::choice::{Scene, ServerKey};
use crate::demand::{is_within, AdapterDemand};
use crate::model::{Item, Model, ModelId};
use crate::server::Server;

/// An adapter without a holder is loaded if it was asked for within this time, in milliseconds.
const ASKED: Millis = 2_000;
/// An adapter that was asked for within this time does not give way, in milliseconds.
const SETTLED: Millis = 1_000;
/// Missing adapters that one round looks at.
const MOST_NEEDS: usize = 64;

/// An order about an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdapterOrder {
    /// At which server.
    pub server: ServerKey,
    /// What to do.
    pub operation: Operation,
    /// The adapter.
    pub item: Item,
}

#[derive(Clone, Copy, Debug)]
struct Missing {
    item: Item,
    waiting: u32,
    /// Thousandths of a request a second.
    rate: u64,
}

/// The next orders, at most one for each server, for adapters that are missing.
pub fn orders(scene: &Scene, examined: &mut u64) -> Vec<AdapterOrder> {
    let mut orders: Vec<AdapterOrder> = Vec::new();
    for missing in missing(scene) {
        let taken = |key: ServerKey| orders.iter().any(|order| order.server == key);
        if let Some(order) = order_for(scene, missing.item, taken, examined) {
            orders.push(order);
        }
    }
    orders
}

fn missing(scene: &Scene) -> Vec<Missing> {
    let asked = |model: &Model| model.demand.adapters.values().any(|adapter| is_asked(adapter, scene.now));
    if !scene.models.configured().any(|(_, model)| asked(model)) {
        return Vec::new();
    }
    let (holders, copies) = count(scene);
    let mut all = Vec::new();
    for (id, model) in scene.models.configured() {
        let of_model = holders.get(&id).copied().unwrap_or_default();
        for (number, demand) in model.demand.adapters.iter().filter(|(_, demand)| is_asked(demand, scene.now))
        {
            let there = copies.get(&(id, *number)).copied().unwrap_or_default();
            let rate = demand.arrivals.per_second(scene.now);
            let wanted = 1 + (rate / scene.options.adapter_replica_rate.max(0.1)) as usize;
            if there < wanted.min(of_model) {
                let item = Item { model: id, adapter: Some(*number) };
                all.push(Missing { item, waiting: demand.waiting, rate: (rate * 1_000.0) as u64 });
            }
        }
    }
    all.sort_by_key(|missing| (Reverse(missing.waiting), Reverse(missing.rate), missing.item));
    all.truncate(MOST_NEEDS);
    all
}

fn is_asked(demand: &AdapterDemand, now: Millis) -> bool {
    demand.waiting > 0 || is_within(demand.last, now, ASKED)
}

type Holders = BTreeMap<ModelId, usize>;
type AdapterCopies = BTreeMap<(ModelId, u32), usize>;

/// Ready holders of each model, and of each adapter, those on their way included.
fn count(scene: &Scene) -> (Holders, AdapterCopies) {
    let (mut holders, mut copies) = (Holders::new(), AdapterCopies::new());
    for server in scene.servers.values().filter(|server| server.is_ready()) {
        for model in
            server.holding.models().filter(|model| server.serves(Item { model: *model, adapter: None }))
        {
            *holders.entry(model).or_default() += 1;
        }
        let held = server.holding.adapters();
        let served =
            held.filter(|(model, number)| server.serves(Item { model: *model, adapter: Some(*number) }));
        for adapter in served {
            *copies.entry(adapter).or_default() += 1;
        }
        let coming = server.in_flight.iter().filter(|order| order.operation == Operation::Load);
        for item in coming.map(|order| order.item).filter(|item| !server.holding.has(*item)) {
            if let Some(number) = item.adapter {
                *copies.entry((item.model, number)).or_default() += 1;
            }
        }
    }
    (holders, copies)
}

/// The order that brings an adapter nearer: a load where there is room, else an eviction where the adapter that
/// goes was not asked for the longest.
fn order_for(
    scene: &Scene,
    item: Item,
    taken: impl Fn(ServerKey) -> bool,
    examined: &mut u64,
) -> Option<AdapterOrder> {
    let model = scene.models.get(item.model)?;
    let key = Key::of_parts(&[&model.spec.name, &adapter_name(item.adapter?)]);
    let mut best: Option<(Millis, AdapterOrder)> = None;
    for key in scene.ring.sequence(key) {
        let Some(server) = scene.servers.get(key).filter(|server| takes(scene, server, item)) else {
            continue;
        };
        if taken(*key) {
            continue;
        }
        *examined += 1;
        let added = scene.models.size_mb(item);
        let fits = server.used_mb(scene.models) + added <= scene.catalogue.weights_mb;
        if fits && server.holding.adapter_count() < scene.catalogue.adapter_capacity as usize {
            return Some(AdapterOrder { server: *key, operation: Operation::Load, item });
        }
        let Some((idle, victim)) = oldest(scene, server) else { continue };
        if best.is_none_or(|(longest, _)| idle > longest) {
            best = Some((idle, AdapterOrder { server: *key, operation: Operation::Evict, item: victim }));
        }
    }
    best.map(|(_, order)| order)
}

fn takes(scene: &Scene, server: &Server, item: Item) -> bool {
    server.takes_orders(scene.now)
        && server.reserved.is_none()
        && server.holding.has(Item { adapter: None, ..item })
        && !server.holding.has(item)
}

/// The adapter of a server that was not asked for the longest, with that time.
fn oldest(scene: &Scene, server: &Server) -> Option<(Millis, Item)> {
    let held = server.holding.adapters();
    let with_idle = held.filter_map(|(id, number)| {
        let demand = scene.models.get(id)?.demand.adapters.get(&number);
        let last = demand.and_then(|demand| demand.last);
        let idle = last.map_or(Millis::MAX, |last| scene.now.saturating_sub(last));
        let settled = idle >= SETTLED && demand.is_none_or(|demand| demand.waiting == 0);
        settled.then_some((idle, Item { model: id, adapter: Some(number) }))
    });
    with_idle.max_by_key(|(idle, item)| (*idle, Reverse(*item)))
}
