//! Parsing of services, their runtimes and their models.

use crate::error::InvalidConfig;
use crate::json::Object;
use crate::keys::NAME;
use crate::schema::{Model, Runtime, Service};

const DEFAULT_HEALTH_PATH: &str = "/healthz";

const RUNTIME: &str = "runtime";
/// Path of the models within the service.
const RUNTIME_MODELS: &str = "runtime/models";
const WEIGHTS_MB: &str = "weightsMb";

/// Parses a service. Its name is the item name in the path of `object`.
pub(super) fn parse(object: &Object<'_>) -> Result<Service, InvalidConfig> {
    let runtime = match object.get(RUNTIME) {
        Some(value) => {
            let path = object.path().within(RUNTIME, None);
            Some(parse_runtime(&Object::parse_required(value.clone(), RUNTIME, path)?)?)
        }
        None => None,
    };
    Ok(Service {
        name: object.path().item_name().to_owned(),
        health_path: object.optional_string("healthPath")?.unwrap_or_else(|| DEFAULT_HEALTH_PATH.to_owned()),
        max_connections: object.optional_u32("maxConnections")?.unwrap_or(u32::MAX),
        runtime,
    })
}

fn parse_runtime(object: &Object<'_>) -> Result<Runtime, InvalidConfig> {
    Ok(Runtime {
        models: parse_models(object)?,
        slots: object.optional_u32("slots")?.unwrap_or(1),
        kv_capacity: object.optional_u64("kvCapacity")?.unwrap_or(0),
        tokens_per_event: object.optional_u32("stride")?.unwrap_or(1),
        weights_mb: object.optional_f64(WEIGHTS_MB)?.unwrap_or(0.0),
        adapter_capacity: object.optional_u32("adapterCapacity")?.unwrap_or(0),
        load_per_s: object.optional_f64("loadPerS")?.unwrap_or(0.0),
    })
}

fn parse_models(runtime: &Object<'_>) -> Result<Vec<Model>, InvalidConfig> {
    let elements = runtime.elements("models")?.into_iter().enumerate();
    let models = elements.map(|(index, element)| {
        let path = runtime.path().within(RUNTIME_MODELS, Some(index));
        parse_model(&Object::parse_required(element, RUNTIME_MODELS, path)?)
    });
    models.collect()
}

fn parse_model(object: &Object<'_>) -> Result<Model, InvalidConfig> {
    Ok(Model {
        name: object.required_string(NAME)?,
        weights_mb: object.optional_f64(WEIGHTS_MB)?.unwrap_or(0.0),
        load_time_s: object.optional_f64("loadTimeS")?.unwrap_or(0.0),
        adapters: object.optional_u32("adapters")?.unwrap_or(0),
        adapter_size_mb: object.optional_f64("adapterSizeMb")?.unwrap_or(0.0),
    })
}
