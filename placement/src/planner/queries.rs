//! Read-only queries of the planner's state.

use shaletrail_protocol::external::{LoadedModel, Operation};
use shaletrail_protocol::{Millis, ServerId};

use super::Planner;
use crate::catalogue::adapter_name;
use crate::interface::{DesiredServer, PlannerCounters};
use crate::model::{Artifact, ModelId};
use crate::server::Server;

impl Planner {
    /// Returns the desired contents of each ready server.
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

    /// Returns the models and adapters that a server holds and is not evicting, sorted by model name; `None` while they
    /// are uncertain or if the server is unknown.
    ///
    /// The result includes effects of orders that the server's heartbeats do not show yet. A load counts as complete
    /// after its expected time. If it takes longer, the server rejects the requests that it then gets without executing
    /// them.
    pub fn served_models(&self, now: Millis, id: &ServerId) -> Option<Vec<LoadedModel>> {
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

    /// Returns the target number of replicas of a model; 0 without demand or if the model is not configured.
    pub fn desired_replicas(&self, model: &str) -> usize {
        let artifact = self.models.configured_artifact(model, None);
        let model = artifact.and_then(|artifact| self.models.get(artifact.model));
        model.map_or(0, |model| model.target.replicas)
    }

    /// Returns the counters of the planner's work since it was created.
    pub fn counters(&self) -> PlannerCounters {
        self.counters
    }

    fn model_name(&self, id: ModelId) -> Option<String> {
        self.models.get(id).map(|model| model.spec.name.clone())
    }
}
