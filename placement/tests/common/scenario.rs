//! Feeds a planner one message at a time and returns its orders as text.

use std::collections::BTreeMap;

use shaletrail_placement::{Catalogue, ModelSpec, Options, OrderNumber, OrderOutcome, PlannedOrder, Planner};
use shaletrail_protocol::external::{Heartbeat, LoadedModel, ServerReport};
use shaletrail_protocol::internal::{Demand, Presence, ServerRecord};
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_ring::{hash_of_name, Key, SlotArray};

pub const EDGE: NodeId = NodeId(1);
/// A time, in milliseconds, at which the orders of the previous lease holder have ended and the load budget is unused.
pub const AFTER_TAKEOVER: Millis = 20_000;

/// Returns a configuration of `count` models `m0`, `m1` and so on, two of which fit on a server.
pub fn catalogue(count: usize) -> Catalogue {
    let model = |index| ModelSpec {
        name: format!("m{index}"),
        weights_mb: 70_000.0,
        load_time_s: 2.0,
        adapters: 20,
        adapter_size_mb: 100.0,
    };
    Catalogue {
        models: (0..count).map(model).collect(),
        weights_mb: 150_000.0,
        adapter_capacity: 3,
        load_per_s: 2.0,
    }
}

pub fn address(server: usize) -> String {
    format!("10.0.0.{server}:80")
}

pub fn id(server: usize) -> String {
    format!("s{server}")
}

/// Returns the server's index for its [`id`].
pub fn server_index(id: &str) -> usize {
    id.strip_prefix('s').and_then(|digits| digits.parse().ok()).expect("a server id such as s0")
}

/// Converts texts such as `m1` or, with adapters, `m1/a1/a2` into the models that a server lists in a message.
pub fn loaded(models: &[&str]) -> Vec<LoadedModel> {
    let entry = |text: &&str| {
        let mut parts = text.split('/').map(str::to_owned);
        LoadedModel { name: parts.next().unwrap_or_default(), version: 1, adapters: parts.collect() }
    };
    models.iter().map(entry).collect()
}

pub struct Scenario {
    pub planner: Planner,
    pub now: Millis,
    /// Sequence number of the newest heartbeat.
    pub heartbeats: u64,
    /// The number of the newest order to each server, by server id.
    pub newest_orders: BTreeMap<String, OrderNumber>,
}

impl Scenario {
    /// Creates a planner with `models` models long after its lease began, and one ready server for each entry of
    /// `servers`, which lists the models that the server holds.
    pub fn new(models: usize, servers: &[&[&str]]) -> Scenario {
        let planner = Planner::new("s".into(), catalogue(models), Options::default(), 0);
        let mut scenario = Scenario::with_planner(planner);
        for (index, models) in servers.iter().enumerate() {
            scenario.heartbeat(index, models);
        }
        scenario
    }

    /// Wraps a planner that knows no servers yet.
    pub fn with_planner(planner: Planner) -> Scenario {
        Scenario { planner, now: AFTER_TAKEOVER, heartbeats: 0, newest_orders: BTreeMap::new() }
    }

    /// Creates the directory's record of a server after a new heartbeat, without passing it to the planner.
    pub fn record(&mut self, server: usize, models: &[&str], presence: Presence) -> ServerRecord {
        self.heartbeats += 1;
        let heartbeat = Heartbeat {
            service: "s".into(),
            address: address(server),
            slots: 64,
            models: Some(loaded(models)),
            sequence: self.heartbeats,
            ..Heartbeat::default()
        };
        ServerRecord { id: id(server), heartbeat, presence, ..ServerRecord::default() }
    }

    /// Passes a new heartbeat of a ready server to the planner.
    pub fn heartbeat(&mut self, server: usize, models: &[&str]) {
        self.update_presence(server, models, Presence::Ready);
    }

    /// Passes a directory record with a new heartbeat to the planner.
    pub fn update_presence(&mut self, server: usize, models: &[&str], presence: Presence) {
        let record = self.record(server, models, presence);
        self.planner.update_server(self.now, &record);
    }

    /// Passes the report of a server that has accepted `sequence` orders to the planner.
    pub fn report(&mut self, server: usize, sequence: u64, busy: bool, models: &[&str]) {
        let report = ServerReport {
            models: loaded(models),
            order_in_flight: busy,
            sequence,
            ..ServerReport::default()
        };
        self.planner.record_report(self.now, &id(server), &report);
    }

    pub fn report_demand(&mut self, demand: &[Demand]) {
        self.planner.record_demand(self.now, EDGE, demand);
    }

    /// Reports the outcome of the newest order to a server.
    pub fn complete_order(&mut self, server: usize, outcome: OrderOutcome) {
        let number = self.newest_orders[&id(server)];
        self.planner.complete_order(self.now, &id(server), number, outcome);
    }

    /// Advances the clock by `span` milliseconds and returns the next orders.
    pub fn orders_after(&mut self, span: Millis) -> Vec<String> {
        self.now += span;
        self.next_orders()
    }

    /// Returns the next orders as text, such as `s0 load m1 at 0`, where the last number is the required revision.
    pub fn next_orders(&mut self) -> Vec<String> {
        let text = |order: PlannedOrder| {
            let adapter = order.adapter.map(|adapter| format!("/{adapter}")).unwrap_or_default();
            format!("{} {} {}{adapter} at {}", order.server, order.operation, order.model, order.if_revision)
        };
        let orders = self.planner.next_orders(self.now);
        self.newest_orders.extend(orders.iter().map(|order| (order.server.clone(), order.number)));
        orders.into_iter().map(text).collect()
    }
}

/// Demand of one arriving request.
pub fn demand(model: &str) -> Demand {
    Demand { service: "s".into(), model: model.into(), arrived: 1, tokens: 1_000, ..Demand::default() }
}

/// Demand of one arriving request that waits for the model.
pub fn waiting(model: &str) -> Demand {
    Demand { queued: 1, ..demand(model) }
}

pub fn for_adapter(adapter: &str, demand: Demand) -> Demand {
    Demand { adapter: Some(adapter.into()), ..demand }
}

/// Returns the ids of the servers below `count` in the order of a model's hash ring sequence.
pub fn ring_sequence(model: &str, count: usize) -> Vec<String> {
    let mut ring = SlotArray::default();
    let weights: Vec<_> = (0..count).map(|index| (id(index), hash_of_name(&address(index)), 1.0)).collect();
    ring.update(&weights);
    ring.sequence(Key::of(model)).cloned().collect()
}
