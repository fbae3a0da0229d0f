//! Reads the planner's state.

use shaletrail_protocol::external::{LoadedModel, Operation};
use shaletrail_protocol::{Millis, ServerId};

use super::Planner;
use crate::catalogue::adapter_name;
use crate::interface::{DesiredServer, PlannerCounters};
use crate::model::{Artifact, ModelId};
use crate::server::Server;

impl Planner {
    /// The desired contents of each ready server.
    pub fn desired_servers(&self) -> Vec<DesiredServer> {
        self.ready_servers().map(|server| self.desired_server(server)).collect()
    }

    fn desired_server(&self, server: &Server) -> DesiredServer {
        let stays = |id: &ModelId| server.serves(Artifact::model(*id));
        let load = server.in_flight.as_ref().filter(|order| order.is_for_model(Operation::Load));
        let reserved_for = server.reservation.map(|reservation| reservation.model);
        let loading = reserved_for.or(load.map(|order| order.artifact.model));
        DesiredServer {
            server: server.id.clone(),
            models: server.contents.models().filter(stays).filter_map(|id| self.model_name(id)).collect(),
            loading: loading.and_then(|id| self.model_name(id)),
        }
    }

    /// What a server serves now and does not evict, in the order of names; `None` while that is uncertain.
    ///
    /// This includes the effects of orders ahead of the server's next heartbeat. A load counts as complete after its expected
    /// time: a server that takes longer rejects requests, which then have not been executed.
    pub fn served(&self, now: Millis, id: &ServerId) -> Option<Vec<LoadedModel>> {
        let server = self.keys.get(id).and_then(|key| self.servers.get(key))?;
        if server.uncertainty.is_some() {
            return None;
        }
        let loaded = server.contents.models().filter(|model| server.serves(Artifact::model(*model)));
        let load = server.in_flight.as_ref().filter(|order| order.is_probably_loaded(now));
        let loading = load.map(|order| order.artifact).filter(|artifact| artifact.adapter.is_none());
        let loading = loading.filter(|artifact| !server.contents.has(*artifact));
        let models = loaded.chain(loading.map(|artifact| artifact.model));
        let mut served: Vec<LoadedModel> =
            models.filter_map(|model| self.served_model(server, model)).collect();
        served.sort_by(|one, other| one.name.cmp(&other.name));
        Some(served)
    }

    fn served_model(&self, server: &Server, model: ModelId) -> Option<LoadedModel> {
        let of_model = server.contents.adapters().filter(|(owner, _)| *owner == model);
        let served = of_model.filter(|(_, number)| server.serves(Artifact::adapter(model, *number)));
        let adapters = served.map(|(_, number)| adapter_name(number)).collect();
        Some(LoadedModel { name: self.model_name(model)?, version: 0, adapters })
    }

    /// The target number of replicas of a model; 0 without demand, or if the configuration does not name it.
    pub fn desired_replicas(&self, model: &str) -> usize {
        let artifact = self.models.configured_artifact(model, None);
        let model = artifact.and_then(|artifact| self.models.get(artifact.model));
        model.map_or(0, |model| model.target.replicas)
    }

    /// Counters of the planner's work since its creation.
    pub fn counters(&self) -> PlannerCounters {
        self.counters
    }

    fn model_name(&self, id: ModelId) -> Option<String> {
        self.models.get(id).map(|model| model.spec.name.clone())
    }
}
