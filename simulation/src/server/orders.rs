//! How a model server takes orders.

use std::collections::BTreeSet;

use shaletrail_protocol::external::{Operation, Order, ServerReport};
use shaletrail_protocol::{Millis, NodeId};

use super::{concerns, listed, ModelServer, Running};
use crate::witness::OrderSeen;
use crate::world::{Timer, World};

/// What an adapter takes to come up.
const ADAPTER_TAKES: std::ops::RangeInclusive<Millis> = 5..=20;
/// What the unloading of a model takes.
const EVICTION_TAKES: std::ops::RangeInclusive<Millis> = 0..=300;
/// Between two looks whether the runs have ended that an unload waits for.
const UNLOAD_AGAIN: Millis = 10;
/// The part of its time that a model takes from the server's own disk.
const FROM_OWN_DISK: f64 = 0.2;

impl ModelServer {
    pub(super) fn report(&self) -> ServerReport {
        ServerReport {
            models: listed(&self.held),
            order_in_flight: self.running.is_some(),
            sequence: self.revision,
            active: self.serving.len() as u64,
            ..ServerReport::default()
        }
    }

    pub(super) fn take_order(
        &mut self,
        world: &mut World,
        from: NodeId,
        expected: &str,
        order: Order,
    ) -> u16 {
        if expected != self.id {
            return 421;
        }
        let status = self.judge_order(&order);
        world.witness.ordered(OrderSeen {
            at: world.now,
            server: self.id.clone(),
            from,
            holder: order.lease_holder.clone(),
            token: order.fencing_token,
            status,
        });
        if status == 202 {
            self.begin_order(world, order);
        }
        status
    }

    fn judge_order(&self, order: &Order) -> u16 {
        let wrong_revision = order.if_revision.is_some_and(|revision| revision != self.revision);
        if self.running.is_some() || wrong_revision {
            return 409;
        }
        let adapters = self.held.get(&order.model);
        let has = match &order.adapter {
            None => adapters.is_some(),
            Some(adapter) => adapters.is_some_and(|adapters| adapters.contains(adapter)),
        };
        if has == (order.operation == Operation::Load) {
            return 200;
        }
        if order.adapter.is_some() && adapters.is_none() {
            return 400;
        }
        202
    }

    fn begin_order(&mut self, world: &mut World, order: Order) {
        self.revision += 1;
        let loads_model = order.operation == Operation::Load && order.adapter.is_none();
        let from_store = loads_model && !self.disk.contains(&order.model);
        let takes = match (order.operation, &order.adapter) {
            (Operation::Load, Some(_)) => world.between(ADAPTER_TAKES),
            (Operation::Evict, _) => world.between(EVICTION_TAKES),
            (Operation::Load, None) => self.load_time(world, from_store),
        };
        if order.operation == Operation::Load {
            self.check_capacity(world, &order);
        }
        if from_store {
            world.loading += 1;
            world.witness.loaded(world.now, &self.options.service);
        }
        let number = world.number();
        self.running = Some(Running { number, order, from_store });
        world.wake(self.node, world.now + takes, Timer::OrderDone(number));
    }

    fn load_time(&self, world: &World, from_store: bool) -> Millis {
        let models = &self.options.models;
        let slowed = (f64::from(world.loading + 1) / f64::from(models.loads_at_once())).max(1.0);
        let part = if from_store { slowed } else { FROM_OWN_DISK };
        (models.load_time_s * 1_000.0 * part) as Millis
    }

    /// A server that is ordered to load beyond its room falls; the witness remembers it.
    fn check_capacity(&self, world: &mut World, order: &Order) {
        let mut after = self.held.clone();
        after.entry(order.model.clone()).or_default().extend(order.adapter.clone());
        let adapters: usize = after.values().map(BTreeSet::len).sum();
        let models = &self.options.models;
        let beyond = models.megabytes(after.len(), adapters) > models.server_mb;
        if beyond || adapters > models.adapter_capacity as usize {
            world.witness.overflowed(world.now, &self.id, format!("{after:?}"));
        }
    }

    pub(super) fn order_done(&mut self, world: &mut World, number: u64) {
        let Some(running) = self.running.take_if(|running| running.number == number) else { return };
        let mut under_way = self.serving.values().map(|serving| &serving.request);
        if running.order.operation == Operation::Evict
            && under_way.any(|request| concerns(&running.order, request))
        {
            // An unload waits until its runs end.
            world.wake(self.node, world.now + UNLOAD_AGAIN, Timer::OrderDone(number));
            self.running = Some(running);
            return;
        }
        let Order { operation, model, adapter, .. } = running.order;
        if running.from_store {
            world.loading -= 1;
            self.disk.insert(model.clone());
        }
        match (operation, adapter) {
            (Operation::Load, adapter) => self.held.entry(model).or_default().extend(adapter),
            (Operation::Evict, None) => drop(self.held.remove(&model)),
            (Operation::Evict, Some(adapter)) => {
                if let Some(adapters) = self.held.get_mut(&model) {
                    adapters.remove(&adapter);
                }
            }
        }
    }
}
