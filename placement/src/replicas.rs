//! Counts the replicas of each model on ready servers.

use shaletrail_protocol::external::Operation;

use crate::model::ModelId;
use crate::server::Server;

/// The replicas of one model, by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaCount {
    /// Replicas on ready servers that are not being evicted.
    pub serving: usize,
    /// Replicas that ready servers are loading.
    pub loading: usize,
    /// Replicas that ready servers are reserved for.
    pub reserved: usize,
}

impl ReplicaCount {
    /// Returns the number of replicas in all states.
    pub fn total(&self) -> usize {
        self.serving + self.loading + self.reserved
    }

    /// Removes a serving replica that is to be evicted.
    pub fn remove_serving(&mut self) {
        self.serving = self.serving.saturating_sub(1);
    }

    /// Removes a reservation that is cancelled.
    pub fn remove_reserved(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }
}

/// The replica counts of all models, indexed by [`ModelId`].
#[derive(Clone, Debug, Default)]
pub struct ReplicaCounts {
    counts: Vec<ReplicaCount>,
}

impl ReplicaCounts {
    /// Counts the replicas of the first `models` models of the table on those of `servers` that are ready.
    pub fn of_servers<'a>(models: usize, servers: impl Iterator<Item = &'a Server>) -> Self {
        let mut counts = ReplicaCounts { counts: vec![ReplicaCount::default(); models] };
        servers.filter(|server| server.is_ready()).for_each(|server| counts.add_server(server));
        counts
    }

    fn add_server(&mut self, server: &Server) {
        let order = server.in_flight.as_ref();
        let eviction = order.filter(|order| order.is_for_model(Operation::Evict));
        let evicted = eviction.map(|order| order.artifact.model);
        for model in server.contents.models().filter(|model| Some(*model) != evicted) {
            self.update(model, |count| count.serving += 1);
        }
        let load = order.filter(|order| order.is_for_model(Operation::Load));
        if let Some(order) = load.filter(|order| !server.contents.has(order.artifact)) {
            self.update(order.artifact.model, |count| count.loading += 1);
        }
        if let Some(reservation) = server.reservation {
            self.update(reservation.model, |count| count.reserved += 1);
        }
    }

    /// Returns the replica count of one model, or zero for a model that was not counted.
    pub fn of(&self, model: ModelId) -> ReplicaCount {
        self.counts.get(model.0).copied().unwrap_or_default()
    }

    /// Applies `change` to the count of one model; does nothing for a model that was not counted.
    pub fn update(&mut self, model: ModelId, change: impl FnOnce(&mut ReplicaCount)) {
        if let Some(count) = self.counts.get_mut(model.0) {
            change(count);
        }
    }
}
