//! Simulates servers that execute orders, and checks the limits at each order.

use std::collections::BTreeSet;

use rand::Rng;
use shaletrail_placement::{ModelSpec, Options, OrderOutcome, PlannedOrder};
use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;

use super::Simulation;
use crate::common::simulated_server::{LoadedAdapters, RunningOrder, SimulatedServer};

/// A slow load takes up to this many times as long.
const MAX_LOAD_FACTOR: f64 = 6.0;
/// Time to load an adapter, in milliseconds.
const ADAPTER_LOAD_TIME: Millis = 5;
/// Maximum time of an eviction, in milliseconds.
const MAX_EVICTION_TIME: Millis = 800;
/// Time to load from the server's disk, relative to a load from the weight store.
const DISK_LOAD_FACTOR: f64 = 0.2;

impl Simulation {
    pub(super) fn run_servers(&mut self) {
        let now = self.now;
        for server in &mut self.servers {
            server.complete_order(now);
            if server.is_up() {
                server.remember_report(now);
            }
        }
    }

    pub(super) fn execute(&mut self, order: &PlannedOrder) -> OrderOutcome {
        let running = self.servers.iter().filter_map(|server| server.running.as_ref());
        let concurrent_loads = running.filter(|run| run.from_origin).count();
        let is_slow = self.happens(self.faults.load_slow);
        let slow_load_factor = if is_slow { self.random.random_range(1.0..MAX_LOAD_FACTOR) } else { 1.0 };
        let is_addressed = |server: &SimulatedServer| server.id() == order.server && server.is_up();
        let Some(index) = self.servers.iter().position(is_addressed) else {
            return self.outcome_without_server(&order.server);
        };
        if let Some(outcome) = self.outcome_without_execution(index, order) {
            return outcome;
        }
        let server = &mut self.servers[index];
        server.sequence += 1;
        let is_model_load = order.operation == Operation::Load && order.adapter.is_none();
        let from_origin = is_model_load && server.disk.insert(order.model.clone());
        let duration = match (order.operation, &order.adapter) {
            (Operation::Evict, _) => self.random.random_range(0..MAX_EVICTION_TIME),
            (Operation::Load, Some(_)) => ADAPTER_LOAD_TIME,
            (Operation::Load, None) => {
                let factor = if from_origin { 1.0 } else { DISK_LOAD_FACTOR };
                let max_concurrent = self.catalogue.max_concurrent_loads();
                let slowdown = ((concurrent_loads + 1) as f64 / max_concurrent as f64).max(1.0);
                (self.spec(&order.model).load_time_s * 1_000.0 * factor * slowdown * slow_load_factor)
                    as Millis
            }
        };
        self.start_order(index, order, duration, from_origin);
        OrderOutcome::Accepted
    }

    /// Returns the outcome of an order that the server does not execute; `None` if it executes the order.
    fn outcome_without_execution(&self, index: usize, order: &PlannedOrder) -> Option<OrderOutcome> {
        let server = &self.servers[index];
        if server.running.is_some() || order.if_revision != server.sequence {
            return Some(OrderOutcome::Busy);
        }
        let has = server.has(&order.model, order.adapter.as_deref());
        if has == (order.operation == Operation::Load) {
            return Some(OrderOutcome::AlreadyDone);
        }
        let lacks_model = order.adapter.is_some() && !server.has(&order.model, None);
        lacks_model.then_some(OrderOutcome::Rejected)
    }

    fn start_order(&mut self, index: usize, order: &PlannedOrder, duration: Millis, from_origin: bool) {
        let server = &mut self.servers[index];
        server.running = Some(RunningOrder {
            operation: order.operation,
            model: order.model.clone(),
            adapter: order.adapter.clone(),
            ends_at: self.now + duration,
            from_origin,
        });
        if order.operation == Operation::Load {
            let mut after = server.loaded.clone();
            after.entry(order.model.clone()).or_default().extend(order.adapter.clone());
            self.check_capacity(&order.server, &after);
        }
        if from_origin {
            self.check_store_rate();
        }
    }

    /// Returns the outcome of an order to a server that is not running: its address refuses connections, unless the
    /// server has restarted in the meantime and responds with 421.
    fn outcome_without_server(&self, id: &str) -> OrderOutcome {
        let host = id.split('-').next();
        let has_restarted =
            self.servers.iter().any(|server| server.is_up() && server.id().split('-').next() == host);
        if has_restarted {
            OrderOutcome::WrongInstance
        } else {
            OrderOutcome::NotSent
        }
    }

    fn spec(&self, model: &str) -> &ModelSpec {
        self.catalogue
            .models
            .iter()
            .find(|spec| spec.name == model)
            .expect("the model is in the configuration")
    }

    fn check_capacity(&self, id: &str, loaded: &LoadedAdapters) {
        let replica_mb = |(name, adapters): (&String, &BTreeSet<String>)| {
            let spec = self.spec(name);
            spec.weights_mb + adapters.len() as f64 * spec.adapter_size_mb
        };
        let used_mb: f64 = loaded.iter().map(replica_mb).sum();
        let adapters: usize = loaded.values().map(BTreeSet::len).sum();
        let fits =
            used_mb <= self.catalogue.weights_mb && adapters <= self.catalogue.adapter_capacity as usize;
        assert!(
            fits,
            "{id} was ordered to load beyond its capacity at {} ms: {loaded:?}\n{}",
            self.now,
            self.trace_of(id)
        );
    }

    fn check_store_rate(&mut self) {
        self.origin_loads.push(self.now);
        let window = Options::default().origin_window;
        let in_window = self.origin_loads.iter().filter(|at| **at + window > self.now).count();
        let allowed = self.catalogue.load_per_s * window as f64 / 1_000.0;
        assert!(
            in_window as f64 <= allowed,
            "{in_window} loads from the weight store started in the window that ends at {} ms",
            self.now
        );
    }
}
