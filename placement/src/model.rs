//! The model table: the name, configuration, demand and target number of replicas of each model.

use std::collections::BTreeMap;

use crate::catalogue::{adapter_number, Catalogue, ModelSpec};
use crate::demand::ModelDemand;
use crate::target::ReplicaTarget;

/// Maximum number of models in the table, including those that have left the configuration.
const MAX_MODELS: usize = 8192;

/// Index of a model in the [`ModelTable`]; never reused for another model name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelId(pub usize);

/// What an order loads or evicts: a model or one of its adapters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Artifact {
    /// The model, or the model that the adapter belongs to.
    pub model: ModelId,
    /// The adapter's number; `None` for the model itself.
    pub adapter: Option<u32>,
}

impl Artifact {
    /// Creates the artifact for a model itself.
    pub fn model(model: ModelId) -> Self {
        Artifact { model, adapter: None }
    }

    /// Creates the artifact for an adapter of a model.
    pub fn adapter(model: ModelId, number: u32) -> Self {
        Artifact { model, adapter: Some(number) }
    }
}

/// Configuration, demand and replica target of one model.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// The model's entry in the newest configuration that contained it. For a model that was never configured it has
    /// only the name and an assumed size.
    pub spec: ModelSpec,
    /// Whether the current configuration contains the model.
    pub is_configured: bool,
    /// The demand for the model and its adapters.
    pub demand: ModelDemand,
    /// The target number of replicas.
    pub target: ReplicaTarget,
}

/// All models that the configuration or a server has ever named, by index and by name.
#[derive(Clone, Debug, Default)]
pub struct ModelTable {
    models: Vec<Model>,
    names: BTreeMap<String, ModelId>,
}

impl ModelTable {
    /// Applies a configuration. Models that it no longer contains stay in the table with their last known size.
    pub fn set_catalogue(&mut self, catalogue: &Catalogue) {
        self.models.iter_mut().for_each(|model| model.is_configured = false);
        for spec in &catalogue.models {
            let id = self.intern(&spec.name, catalogue.largest_model_mb());
            if let Some(model) = id.and_then(|id| self.models.get_mut(id.0)) {
                (model.spec, model.is_configured) = (spec.clone(), true);
            }
        }
        // Models that a server reported before any configuration was known, and that this configuration does not
        // contain either.
        for model in
            self.models.iter_mut().filter(|model| !model.is_configured && model.spec.weights_mb <= 0.0)
        {
            model.spec.weights_mb = catalogue.largest_model_mb();
        }
    }

    /// Returns the index of a model name. An unknown name is added with the size `assumed_mb`; `None` if the table is
    /// full.
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

    /// Looks up a model, or an adapter of a model, by name; `None` unless the current configuration contains it.
    pub fn configured_artifact(&self, name: &str, adapter: Option<&str>) -> Option<Artifact> {
        let id = *self.names.get(name)?;
        let model = self.get(id).filter(|model| model.is_configured)?;
        let Some(adapter) = adapter else { return Some(Artifact::model(id)) };
        let number = adapter_number(adapter).filter(|number| *number <= model.spec.adapters)?;
        Some(Artifact::adapter(id, number))
    }

    /// Returns a model by its index; `None` if the index is out of range.
    pub fn get(&self, id: ModelId) -> Option<&Model> {
        self.models.get(id.0)
    }

    /// As [`ModelTable::get`], mutable.
    pub fn get_mut(&mut self, id: ModelId) -> Option<&mut Model> {
        self.models.get_mut(id.0)
    }

    /// Iterates over the models of the current configuration in the order of their indices.
    pub fn configured(&self) -> impl Iterator<Item = (ModelId, &Model)> {
        let models = self.models.iter().enumerate().map(|(index, model)| (ModelId(index), model));
        models.filter(|(_, model)| model.is_configured)
    }

    /// As [`ModelTable::configured`], mutable.
    pub fn configured_mut(&mut self) -> impl Iterator<Item = (ModelId, &mut Model)> {
        let models = self.models.iter_mut().enumerate().map(|(index, model)| (ModelId(index), model));
        models.filter(|(_, model)| model.is_configured)
    }

    /// Returns the number of models, including those that are no longer configured.
    pub fn len(&self) -> usize {
        self.models.len()
    }

    /// Returns the size of a model's weights or of an adapter, in MB; infinite for an unknown model.
    pub fn size_mb(&self, artifact: Artifact) -> f64 {
        let size = |model: &Model| match artifact.adapter {
            None => model.spec.weights_mb,
            Some(_) => model.spec.adapter_size_mb,
        };
        self.get(artifact.model).map_or(f64::INFINITY, size)
    }
}
