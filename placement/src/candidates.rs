//! On which server a missing replica is loaded.
//!
//! The servers are examined in the order of the model's hash ring sequence, so that routing and placement agree on a model's
//! preferred servers. Before that order come the cost of evictions and, for overloaded models, the server's utilisation.

use shaletrail_ring::Key;

use crate::context::PlacementContext;
use crate::eviction::{max_eviction_cost, Cost, EvictionCost};
use crate::missing::MissingReplica;
use crate::model::{Artifact, ModelId};
use crate::replicas::ReplicaCounts;
use crate::server::{Reservation, Server, ServerKey};
use crate::urgency::Urgency;

/// Utilisation of a server, relative to one replica at target utilisation, from which further replicas avoid it.
const MAX_UTILIZATION: f64 = 1.0;

/// The server chosen for a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: ServerKey,
    /// Whether the load comes from the weight store, as far as is known.
    pub from_origin: bool,
    /// The first model to evict there, if one must be.
    pub victim: Option<ModelId>,
}

/// Ranks candidates, the best first, by its fields in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether the server's utilisation is too high for the replica.
    is_avoided: bool,
    cost: Cost,
    /// Position in the model's hash ring sequence.
    position: usize,
}

impl PlacementContext<'_> {
    /// The best server for a missing replica, among those that accept an order now. Adds the number of servers examined to
    /// `examined`.
    pub fn best_candidate(
        &self,
        missing: &MissingReplica,
        counts: &ReplicaCounts,
        examined: &mut u64,
    ) -> Option<Candidate> {
        let model = self.models.get(missing.model)?;
        let max_cost = max_eviction_cost(missing.urgency, missing.utilization());
        let mut best: Option<(Rank, ServerKey)> = None;
        for (position, key) in self.ring.sequence(Key::of(&model.spec.name)).enumerate() {
            let Some(server) = self.available_server(*key, missing) else { continue };
            *examined += 1;
            let cost = self.cost_to_fit(*key, server, missing.model, max_cost, counts);
            let Some(cost) = cost else { continue };
            let is_avoided = missing.urgency == Urgency::Overloaded && self.is_fully_utilized(*key);
            let rank = Rank { is_avoided, cost, position };
            if best.is_none_or(|(other, _)| rank < other) {
                best = Some((rank, *key));
            }
            if !is_avoided && cost.eviction == EvictionCost::None {
                break;
            }
        }
        let (_, key) = best?;
        let server = self.servers.get(&key)?;
        let victim = match self.missing_mb(server, missing.model) > 0.0 {
            true => self.first_victim(key, server, missing.model, max_cost, counts),
            false => None,
        };
        Some(Candidate { server: key, from_origin: !server.has_on_disk(missing.model), victim })
    }

    /// A server if it accepts an order now, is not chosen for another model and does not hold this one. A reservation that no
    /// request waits for gives way to a model that requests wait for: what it has evicted so far is room for that one.
    fn available_server(&self, key: ServerKey, missing: &MissingReplica) -> Option<&Server> {
        let stays = |reservation: &Reservation| {
            missing.urgency != Urgency::Waiting || reservation.urgency == Urgency::Waiting
        };
        let is_free = |server: &&Server| {
            let is_claimed = server.reservation.as_ref().is_some_and(stays) || self.claimed.contains(&key);
            let holds_it = server.contents.has(Artifact::model(missing.model));
            server.accepts_orders(self.now) && !is_claimed && !holds_it
        };
        self.servers.get(&key).filter(is_free)
    }

    fn is_fully_utilized(&self, key: ServerKey) -> bool {
        self.utilization.get(&key).is_some_and(|utilization| *utilization >= MAX_UTILIZATION)
    }
}
