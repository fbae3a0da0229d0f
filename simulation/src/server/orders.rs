//! Orders at a model server: their responses, and the loads and evictions of models and adapters.

use std::collections::BTreeSet;

use shaletrail_protocol::external::{Operation, Order, ServerReport};
use shaletrail_protocol::{Millis, NodeId};

use super::{order_affects, to_loaded_models, ModelServer, RunningOrder};
use crate::observer::ObservedOrder;
use crate::world::{Timer, World};

/// Duration of an adapter's load, in milliseconds.
const ADAPTER_LOAD_TIME: std::ops::RangeInclusive<Millis> = 5..=20;
/// Duration of an eviction, in milliseconds.
const EVICTION_TIME: std::ops::RangeInclusive<Millis> = 0..=300;
/// Interval of the check whether the requests that an eviction waits for have completed, in milliseconds.
const EVICTION_RETRY_INTERVAL: Millis = 10;
/// Load time from the machine's disk as a fraction of that from the weight store.
const DISK_LOAD_FACTOR: f64 = 0.2;

impl ModelServer {
    pub(super) fn report(&self) -> ServerReport {
        ServerReport {
            models: to_loaded_models(&self.loaded),
            order_in_flight: self.current_order.is_some(),
            sequence: self.revision,
            active: self.in_flight.len() as u64,
            ..ServerReport::default()
        }
    }

    pub(super) fn handle_order(
        &mut self,
        world: &mut World,
        from: NodeId,
        expected: &str,
        order: Order,
    ) -> u16 {
        if expected != self.id {
            return 421;
        }
        let status = self.order_status(&order);
        world.observer.order_received(ObservedOrder {
            at: world.now,
            server: self.id.clone(),
            from,
            description: describe_order(&order),
            lease_holder: order.lease_holder.clone(),
            fencing_token: order.fencing_token,
            status,
        });
        if status == 202 {
            self.start_order(world, order);
        }
        status
    }

    fn order_status(&self, order: &Order) -> u16 {
        let wrong_revision = order.if_revision.is_some_and(|revision| revision != self.revision);
        if self.current_order.is_some() || wrong_revision {
            return 409;
        }
        let adapters = self.loaded.get(&order.model);
        let is_loaded = match &order.adapter {
            None => adapters.is_some(),
            Some(adapter) => adapters.is_some_and(|adapters| adapters.contains(adapter)),
        };
        if is_loaded == (order.operation == Operation::Load) {
            return 200;
        }
        if order.adapter.is_some() && adapters.is_none() {
            return 400;
        }
        202
    }

    fn start_order(&mut self, world: &mut World, order: Order) {
        self.revision += 1;
        let loads_model = order.operation == Operation::Load && order.adapter.is_none();
        let from_store = loads_model && !self.disk_models.contains(&order.model);
        let duration = match (order.operation, &order.adapter) {
            (Operation::Load, Some(_)) => world.random_range(ADAPTER_LOAD_TIME),
            (Operation::Evict, _) => world.random_range(EVICTION_TIME),
            (Operation::Load, None) => self.load_time(world, from_store),
        };
        if order.operation == Operation::Load {
            self.check_capacity(world, &order);
        }
        if from_store {
            world.loading += 1;
            world.observer.load_started(world.now, &self.options.service);
        }
        let number = world.next_id();
        self.current_order = Some(RunningOrder { number, order, from_store });
        world.set_timer(self.node, world.now + duration, Timer::OrderCompleted(number));
    }

    fn load_time(&self, world: &World, from_store: bool) -> Millis {
        let models = &self.options.models;
        let contention = (f64::from(world.loading + 1) / f64::from(models.max_concurrent_loads())).max(1.0);
        let factor = if from_store { contention } else { DISK_LOAD_FACTOR };
        (models.load_time_s * 1_000.0 * factor) as Millis
    }

    /// Records a violation if a load exceeds the server's memory or adapter capacity.
    fn check_capacity(&self, world: &mut World, order: &Order) {
        let mut after = self.loaded.clone();
        after.entry(order.model.clone()).or_default().extend(order.adapter.clone());
        let adapters: usize = after.values().map(BTreeSet::len).sum();
        let models = &self.options.models;
        let exceeds_memory = models.memory_mb(after.len(), adapters) > models.server_mb;
        if exceeds_memory || adapters > models.adapter_capacity as usize {
            world.observer.capacity_exceeded(world.now, &self.id, format!("{after:?}"));
        }
    }

    pub(super) fn complete_order(&mut self, world: &mut World, number: u64) {
        let Some(current_order) = self.current_order.take_if(|current_order| current_order.number == number)
        else {
            return;
        };
        let mut in_flight_requests = self.in_flight.values().map(|in_flight| &in_flight.request);
        if current_order.order.operation == Operation::Evict
            && in_flight_requests.any(|request| order_affects(&current_order.order, request))
        {
            // An eviction waits until the requests that use the model or the adapter have completed.
            world.set_timer(self.node, world.now + EVICTION_RETRY_INTERVAL, Timer::OrderCompleted(number));
            self.current_order = Some(current_order);
            return;
        }
        let Order { operation, model, adapter, .. } = current_order.order;
        if current_order.from_store {
            world.loading -= 1;
            self.disk_models.insert(model.clone());
        }
        match (operation, adapter) {
            (Operation::Load, adapter) => self.loaded.entry(model).or_default().extend(adapter),
            (Operation::Evict, None) => drop(self.loaded.remove(&model)),
            (Operation::Evict, Some(adapter)) => {
                if let Some(adapters) = self.loaded.get_mut(&model) {
                    adapters.remove(&adapter);
                }
            }
        }
    }
}

fn describe_order(order: &Order) -> String {
    let adapter = order.adapter.as_ref().map(|adapter| format!("/{adapter}")).unwrap_or_default();
    format!("{} {}{adapter} at {:?}", order.operation, order.model, order.if_revision)
}
