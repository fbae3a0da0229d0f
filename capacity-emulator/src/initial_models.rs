//! The models that servers have loaded at the start of a run.

use shaletrail_protocol::external::LoadedModel;

use crate::deployment::{adapter_name, model_name, service_of_model, service_of_server};
use crate::options::{Options, BUSY_ADAPTERS};
use crate::popularity::Popularity;

/// The number of models that fit into a server's memory beside its adapters.
pub const MODELS_PER_SERVER: usize = 3;
/// One in this many servers starts with a free slot for a model, because the planner keeps spare capacity for new
/// demand.
const SERVERS_PER_SPARE_SLOT: usize = 5;

/// The models and busy adapters that each server has loaded at the start, by server index. Slots are assigned to models
/// by popularity. Every model gets at least one replica if there are enough slots.
pub fn initial_models(options: &Options) -> Vec<Vec<LoadedModel>> {
    let mut models_by_server: Vec<Vec<usize>> = vec![Vec::new(); options.servers];
    let popularity = Popularity::of(options.busy_models());
    for service in 0..options.services {
        assign_models_of_service(options, &popularity, service, &mut models_by_server);
    }
    models_by_server.into_iter().map(|models| with_busy_adapters(&models)).collect()
}

fn assign_models_of_service(
    options: &Options,
    popularity: &Popularity,
    service: usize,
    models_by_server: &mut [Vec<usize>],
) {
    let servers: Vec<usize> =
        (0..options.servers).filter(|server| service_of_server(options, *server) == service).collect();
    let models: Vec<usize> =
        (0..options.models).filter(|model| service_of_model(options, *model) == service).collect();
    let slots: usize = servers.iter().map(|server| initial_slots(options, *server)).sum();
    let total_fraction: f64 = models.iter().map(|model| popularity.request_fraction(*model)).sum();
    let spare_slots = slots.saturating_sub(models.len()) as f64;
    let mut next = 0;
    for model in models {
        let replicas = 1 + (spare_slots * popularity.request_fraction(model) / total_fraction) as usize;
        let mut unplaced = replicas.min(servers.len());
        // One pass over the servers is enough, because a server holds at most one replica of a model.
        for _ in 0..servers.len() {
            if unplaced == 0 {
                break;
            }
            let server = servers[next % servers.len()];
            next += 1;
            if models_by_server[server].len() < initial_slots(options, server) {
                models_by_server[server].push(model);
                unplaced -= 1;
            }
        }
    }
}

/// The maximum number of models that a server has loaded at the start.
fn initial_slots(options: &Options, server: usize) -> usize {
    let has_spare_slot = (server / options.services).is_multiple_of(SERVERS_PER_SPARE_SLOT);
    if has_spare_slot {
        MODELS_PER_SERVER - 1
    } else {
        MODELS_PER_SERVER
    }
}

fn with_busy_adapters(models: &[usize]) -> Vec<LoadedModel> {
    let loaded = |model: &usize| LoadedModel {
        name: model_name(*model),
        version: 1,
        adapters: (1..=BUSY_ADAPTERS).map(adapter_name).collect(),
    };
    models.iter().map(loaded).collect()
}
