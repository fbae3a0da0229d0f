//! The table of models: names, configuration, demand and the target number of replicas.

use std::collections::BTreeMap;

use crate::catalogue::{adapter_number, Catalogue, ModelSpec};
use crate::demand::ModelDemand;
use crate::target::ReplicaTarget;

/// Maximum number of models in the table, those that have left the configuration included.
const MAX_MODELS: usize = 8192;

/// Index of a model in the [`ModelTable`]; never reused for another name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelId(pub usize);

/// What an order loads or evicts: a model, or one of its adapters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Artifact {
    /// The model, or the model that the adapter belongs to.
    pub model: ModelId,
    /// The adapter's number; `None` for the model itself.
    pub adapter: Option<u32>,
}

impl Artifact {
    /// A model itself.
    pub fn model(model: ModelId) -> Self {
        Artifact { model, adapter: None }
    }

    /// An adapter of a model.
    pub fn adapter(model: ModelId, number: u32) -> Self {
        Artifact { model, adapter: Some(number) }
    }
}

/// Configuration, demand and replica target of one model.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// The model's entry in the newest configuration that named it.
    pub spec: ModelSpec,
    /// Whether the current configuration names the model.
    pub is_configured: bool,
    /// The demand for the model.
    pub demand: ModelDemand,
    /// The number of replicas that there should be.
    pub target: ReplicaTarget,
}

/// Models by index and by name.
#[derive(Clone, Debug, Default)]
pub struct ModelTable {
    models: Vec<Model>,
    names: BTreeMap<String, ModelId>,
}

impl ModelTable {
    /// Applies a configuration. Models that it no longer names stay in the table with their last known size.
    pub fn set_catalogue(&mut self, catalogue: &Catalogue) {
        self.models.iter_mut().for_each(|model| model.is_configured = false);
        for spec in &catalogue.models {
            let id = self.intern(&spec.name, catalogue.largest_model_mb());
            if let Some(model) = id.and_then(|id| self.models.get_mut(id.0)) {
                (model.spec, model.is_configured) = (spec.clone(), true);
            }
        }
        // Reported by a server before any configuration was known, and not named by this one either.
        for model in
            self.models.iter_mut().filter(|model| !model.is_configured && model.spec.weights_mb <= 0.0)
        {
            model.spec.weights_mb = catalogue.largest_model_mb();
        }
    }

    /// The index of a model name, which is added with the size `assumed_mb` if it is unknown. `None` if the table is full.
    pub fn intern(&mut self, name: &str, assumed_mb: f64) -> Option<ModelId> {
        if let Some(id) = self.names.get(name) {
            return Some(*id);
        }
        if self.models.len() >= MAX_MODELS {
            return None;
        }
        let id = ModelId(self.models.len());
        let spec = ModelSpec { name: name.to_owned(), weights_mb: assumed_mb, ..ModelSpec::default() };
        self.models.push(Model { spec, ..Model::default() });
        self.names.insert(name.to_owned(), id);
        Some(id)
    }

    /// The model, or the adapter of a model, of these names; `None` unless the current configuration has it.
    pub fn configured_artifact(&self, name: &str, adapter: Option<&str>) -> Option<Artifact> {
        let id = *self.names.get(name)?;
        let model = self.get(id).filter(|model| model.is_configured)?;
        let Some(adapter) = adapter else { return Some(Artifact::model(id)) };
        let number = adapter_number(adapter).filter(|number| *number <= model.spec.adapters)?;
        Some(Artifact::adapter(id, number))
    }

    /// A model by its index.
    pub fn get(&self, id: ModelId) -> Option<&Model> {
        self.models.get(id.0)
    }

    /// A model by its index, for changes.
    pub fn get_mut(&mut self, id: ModelId) -> Option<&mut Model> {
        self.models.get_mut(id.0)
    }

    /// The models that the current configuration names, in the order of their indices.
    pub fn configured(&self) -> impl Iterator<Item = (ModelId, &Model)> {
        let models = self.models.iter().enumerate().map(|(index, model)| (ModelId(index), model));
        models.filter(|(_, model)| model.is_configured)
    }

    /// The models that the current configuration names, for changes, in the order of their indices.
    pub fn configured_mut(&mut self) -> impl Iterator<Item = (ModelId, &mut Model)> {
        let models = self.models.iter_mut().enumerate().map(|(index, model)| (ModelId(index), model));
        models.filter(|(_, model)| model.is_configured)
    }

    /// Number of indices in use.
    pub fn len(&self) -> usize {
        self.models.len()
    }

    /// Size of a model's weights or of an adapter, in MB; infinite for an unknown model.
    pub fn size_mb(&self, artifact: Artifact) -> f64 {
        let size = |model: &Model| match artifact.adapter {
            None => model.spec.weights_mb,
            Some(_) => model.spec.adapter_size_mb,
        };
        self.get(artifact.model).map_or(f64::INFINITY, size)
    }
}
