//! Selects the server that loads a missing replica.
//!
//! Servers are examined in the order of the model's hash ring sequence, so that routing and placement agree on the
//! model's preferred servers. A cheaper eviction and, for overloaded models, a server below full utilisation take
//! precedence over that order.

use shaletrail_ring::Key;

use crate::context::PlacementContext;
use crate::eviction::{max_eviction_cost, Cost, EvictionCost};
use crate::missing::MissingReplica;
use crate::model::{Artifact, ModelId};
use crate::replicas::ReplicaCounts;
use crate::server::{Reservation, Server, ServerKey};
use crate::urgency::Urgency;

/// Servers at or above this utilisation are avoided for further replicas. 1 is the load of one replica at target
/// utilisation.
const MAX_UTILIZATION: f64 = 1.0;

/// The server selected for a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server that is to load the model.
    pub server: ServerKey,
    /// Whether the model is to be loaded from the weight store, because it is not known to be on the server's disk.
    pub from_origin: bool,
    /// The first model to evict from the server; `None` if the new model fits without an eviction.
    pub victim: Option<ModelId>,
}

/// Sort key of a candidate server; the smallest is the best. The fields are compared in order of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether the server is fully utilised and the replica is for an overloaded model.
    is_avoided: bool,
    cost: Cost,
    /// Position in the model's hash ring sequence.
    position: usize,
}

impl PlacementContext<'_> {
    /// Returns the best server for a missing replica among those that accept an order now. Adds the number of examined
    /// servers to `examined`.
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
        let victim = match self.shortfall_mb(server, missing.model) > 0.0 {
            true => self.first_victim(key, server, missing.model, max_cost, counts),
            false => None,
        };
        Some(Candidate { server: key, from_origin: !server.has_on_disk(missing.model), victim })
    }

    /// Returns the server if it accepts an order now, is not taken by another model and does not hold this one. A model
    /// that requests wait for may replace a reservation that no request waits for; it then uses the capacity that was
    /// already freed for that reservation.
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
