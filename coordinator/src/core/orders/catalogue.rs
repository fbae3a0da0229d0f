//! Converts the configuration of a service's models into the planner's catalogue.

use shaletrail_configuration::{Model, Runtime};
use shaletrail_placement::{Catalogue, ModelSpec};

pub(super) fn catalogue(runtime: &Runtime) -> Catalogue {
    let spec = |model: &Model| ModelSpec {
        name: model.name.clone(),
        weights_mb: model.weights_mb,
        load_time_s: model.load_time_s,
        adapters: model.adapters,
        adapter_size_mb: model.adapter_size_mb,
    };
    Catalogue {
        models: runtime.models.iter().map(spec).collect(),
        weights_mb: runtime.weights_mb,
        adapter_capacity: runtime.adapter_capacity,
        load_per_s: runtime.load_per_s,
    }
}
