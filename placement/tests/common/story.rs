//! A planner that is told one message after the other, and its orders in words.

use std::collections::BTreeMap;

use shaletrail_placement::{Catalogue, ModelSpec, Options, OrderNumber, OrderOutcome, PlannedOrder, Planner};
use shaletrail_protocol::external::{Heartbeat, LoadedModel, Report};
use shaletrail_protocol::internal::{Demand, Presence, ServerRecord};
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_ring::{hash_of_name, Key, SlotArray};

pub const EDGE: NodeId = NodeId(1);
/// A former holder's orders are over and its allowance is free again.
pub const LATE: Millis = 20_000;

pub fn catalogue(models: usize) -> Catalogue {
    let model = |index| ModelSpec {
        name: format!("m{index}"),
        weights_mb: 70_000.0,
        load_time_s: 2.0,
        adapters: 20,
        adapter_size_mb: 100.0,
    };
    Catalogue {
        models: (0..models).map(model).collect(),
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

/// What a server lists: `m1` or, with adapters, `m1/a1/a2`.
pub fn held(models: &[&str]) -> Vec<LoadedModel> {
    let entry = |text: &&str| {
        let mut parts = text.split('/').map(str::to_owned);
        LoadedModel { name: parts.next().unwrap_or_default(), version: 1, adapters: parts.collect() }
    };
    models.iter().map(entry).collect()
}

pub struct Story {
    pub planner: Planner,
    pub now: Millis,
    pub beats: u64,
    /// The newest order to each server.
    pub newest: BTreeMap<String, OrderNumber>,
}

impl Story {
    /// A planner that took over long ago, with servers that hold two models each.
    pub fn new(models: usize, servers: &[&[&str]]) -> Story {
        let planner = Planner::new("s".into(), catalogue(models), Options::default(), 0);
        let mut story = Story::of(planner);
        for (index, models) in servers.iter().enumerate() {
            story.heartbeat(index, models);
        }
        story
    }

    /// A planner that knows no servers yet.
    pub fn of(planner: Planner) -> Story {
        Story { planner, now: LATE, beats: 0, newest: BTreeMap::new() }
    }

    pub fn record(&mut self, server: usize, models: &[&str], presence: Presence) -> ServerRecord {
        self.beats += 1;
        let heartbeat = Heartbeat {
            service: "s".into(),
            address: address(server),
            slots: 64,
            models: Some(held(models)),
            sequence: self.beats,
            ..Heartbeat::default()
        };
        ServerRecord { id: id(server), heartbeat, presence, ..ServerRecord::default() }
    }

    pub fn heartbeat(&mut self, server: usize, models: &[&str]) {
        let record = self.record(server, models, Presence::Ready);
        self.planner.update_server(self.now, &record);
    }

    pub fn presence(&mut self, server: usize, models: &[&str], presence: Presence) {
        let record = self.record(server, models, presence);
        self.planner.update_server(self.now, &record);
    }

    pub fn report(&mut self, server: usize, sequence: u64, busy: bool, models: &[&str]) {
        let report = Report { models: held(models), utilization: busy, sequence, ..Report::default() };
        self.planner.record_report(self.now, &id(server), &report);
    }

    pub fn ask(&mut self, asked: &[Demand]) {
        self.planner.record_demand(self.now, EDGE, asked);
    }

    pub fn outcome(&mut self, server: usize, outcome: OrderOutcome) {
        let number = self.newest[&id(server)];
        self.planner.complete_order(self.now, &id(server), number, outcome);
    }

    pub fn after(&mut self, span: Millis) -> Vec<String> {
        self.now += span;
        self.orders()
    }

    /// The next orders, in words.
    pub fn orders(&mut self) -> Vec<String> {
        let words = |order: PlannedOrder| {
            let adapter = order.adapter.map(|adapter| format!("/{adapter}")).unwrap_or_default();
            format!("{} {} {}{adapter} at {}", order.server, order.operation, order.model, order.if_revision)
        };
        let orders = self.planner.next_orders(self.now);
        self.newest.extend(orders.iter().map(|order| (order.server.clone(), order.number)));
        orders.into_iter().map(words).collect()
    }
}

pub fn demand(model: &str) -> Demand {
    Demand { service: "s".into(), model: model.into(), arrived: 1, tokens: 1_000, ..Demand::default() }
}

pub fn waiting(model: &str) -> Demand {
    Demand { waiting: 1, ..demand(model) }
}

pub fn for_adapter(adapter: &str, demand: Demand) -> Demand {
    Demand { adapter: Some(adapter.into()), ..demand }
}

/// Names of servers 0 to `count` in the order of a model's sequence.
pub fn sequence(model: &str, count: usize) -> Vec<String> {
    let mut ring = SlotArray::default();
    let sizes: Vec<_> = (0..count).map(|index| (id(index), hash_of_name(&address(index)), 1.0)).collect();
    ring.update(&sizes);
    ring.sequence(Key::of(model)).cloned().collect()
}
