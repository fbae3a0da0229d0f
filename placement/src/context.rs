//! The read-only view of the planner's state that a planning pass bases its decisions on.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::Millis;
use shaletrail_ring::SlotArray;

use crate::catalogue::Catalogue;
use crate::model::{Artifact, ModelId, ModelTable};
use crate::options::Options;
use crate::server::{Server, ServerKey};

/// The state that a planning pass bases its decisions on.
pub struct PlacementContext<'a> {
    /// The time of the pass, in milliseconds.
    pub now: Millis,
    /// The models with their demand and targets.
    pub models: &'a ModelTable,
    /// All known servers, including those that are not ready.
    pub servers: &'a BTreeMap<ServerKey, Server>,
    /// The hash ring of the ready servers.
    pub ring: &'a SlotArray<ServerKey>,
    /// The service's configuration.
    pub catalogue: &'a Catalogue,
    /// The planner's tunable parameters.
    pub options: &'a Options,
    /// Replicas beyond their model's target; see [`surplus_replicas`](crate::surplus::surplus_replicas).
    pub surplus: BTreeSet<(ServerKey, ModelId)>,
    /// Servers that this pass has already selected for a missing replica.
    pub claimed: BTreeSet<ServerKey>,
    /// Utilisation of each ready server; see [`server_utilization`](crate::utilization::server_utilization).
    pub utilization: BTreeMap<ServerKey, f64>,
}

impl PlacementContext<'_> {
    /// Returns how much capacity must be freed before the model fits on the server, in MB; 0 or less if it fits now.
    pub fn shortfall_mb(&self, server: &Server, model: ModelId) -> f64 {
        let size_mb = self.models.size_mb(Artifact::model(model));
        server.used_mb(self.models) + size_mb - self.catalogue.weights_mb
    }
}
