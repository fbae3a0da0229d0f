//! Estimates the utilisation of servers.

use std::collections::BTreeMap;

use crate::model::{Artifact, ModelId, ModelTable};
use crate::replicas::ReplicaCounts;
use crate::server::{Server, ServerKey};

/// Returns the utilisation of each ready server, assuming that the demand for each model is spread evenly over its
/// replicas. 1 is the load of one replica at target utilisation.
pub fn server_utilization(
    models: &ModelTable,
    servers: &BTreeMap<ServerKey, Server>,
    counts: &ReplicaCounts,
) -> BTreeMap<ServerKey, f64> {
    let of_replica = |id: ModelId| {
        let replicas = counts.of(id).total().max(1);
        models.get(id).map_or(0.0, |model| model.target.demand / replicas as f64)
    };
    let of_server = |server: &Server| {
        let loading = server
            .in_flight
            .iter()
            .map(|order| order.artifact)
            .filter(|artifact| is_loading_model(server, *artifact))
            .map(|artifact| artifact.model);
        let reserved = server.reservation.iter().map(|reservation| reservation.model);
        server.contents.models().chain(loading).chain(reserved).map(of_replica).sum()
    };
    let ready = servers.iter().filter(|(_, server)| server.is_ready());
    ready.map(|(key, server)| (*key, of_server(server))).collect()
}

fn is_loading_model(server: &Server, artifact: Artifact) -> bool {
    artifact.adapter.is_none() && server.is_loading_or_reserved(artifact) && !server.contents.has(artifact)
}
