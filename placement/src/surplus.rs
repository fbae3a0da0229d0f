//! Finds replicas in excess of their model's target.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_ring::{Key, SlotArray};

use crate::model::{Artifact, ModelId, ModelTable};
use crate::replicas::ReplicaCounts;
use crate::server::{Server, ServerKey};

/// Returns the replicas in excess of their model's target: for each model the last ones in its hash ring sequence.
pub fn surplus_replicas(
    models: &ModelTable,
    servers: &BTreeMap<ServerKey, Server>,
    ring: &SlotArray<ServerKey>,
    counts: &ReplicaCounts,
) -> BTreeSet<(ServerKey, ModelId)> {
    let mut surplus = BTreeSet::new();
    for (id, model) in models.configured().filter(|(_, model)| model.target.replicas > 0) {
        let serving = counts.of(id).serving;
        if serving <= model.target.replicas {
            continue;
        }
        let serves =
            |key: &&ServerKey| servers.get(key).is_some_and(|server| server.serves(Artifact::model(id)));
        let replicas = ring.sequence(Key::of(&model.spec.name)).filter(serves).take(serving);
        surplus.extend(replicas.skip(model.target.replicas).map(|key| (*key, id)));
    }
    surplus
}
