//! The table of models: names, what the configuration says, demand and the wanted number of replicas.

use std::collections::BTreeMap;

use crate::catalogue::{adapter_number, Catalogue, ModelSpec};
use crate::demand::ModelDemand;
use crate::target::Target;

/// Names kept at most, those of models that have left the configuration included.
const MOST_NAMES: usize = 8192;

/// Index of a model in the [`ModelTable`]; never given to another name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelId(pub usize);

/// A model or one of its adapters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Item {
    /// The model.
    pub model: ModelId,
    /// The adapter's number, if it is about an adapter.
    pub adapter: Option<u32>,
}

/// All that is kept about one model.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// What the newest configuration that named it said.
    pub spec: ModelSpec,
    /// Whether the configuration in force names it.
    pub current: bool,
    /// What is asked for.
    pub demand: ModelDemand,
    /// How many replicas there should be.
    pub target: Target,
}

/// Models by index and by name.
#[derive(Clone, Debug, Default)]
pub struct ModelTable {
    models: Vec<Model>,
    names: BTreeMap<String, ModelId>,
}

impl ModelTable {
    /// Takes over a configuration. Models that it no longer names stay known by their size.
    pub fn set_catalogue(&mut self, catalogue: &Catalogue) {
        self.models.iter_mut().for_each(|model| model.current = false);
        for spec in &catalogue.models {
            let id = self.intern(&spec.name, catalogue.largest_model_mb());
            if let Some(model) = id.and_then(|id| self.models.get_mut(id.0)) {
                (model.spec, model.current) = (spec.clone(), true);
            }
        }
        // Held by a server before any configuration was known, and not named by this one either.
        for model in self.models.iter_mut().filter(|model| !model.current && model.spec.weights_mb <= 0.0) {
            model.spec.weights_mb = catalogue.largest_model_mb();
        }
    }

    /// The index of a name that a server holds; a new one where the configuration does not know it, with the
    /// size to be assumed. `None` when the table is full.
    pub fn intern(&mut self, name: &str, assumed_mb: f64) -> Option<ModelId> {
        if let Some(id) = self.names.get(name) {
            return Some(*id);
        }
        if self.models.len() >= MOST_NAMES {
            return None;
        }
        let id = ModelId(self.models.len());
        let spec = ModelSpec { name: name.to_owned(), weights_mb: assumed_mb, ..ModelSpec::default() };
        self.models.push(Model { spec, ..Model::default() });
        self.names.insert(name.to_owned(), id);
        Some(id)
    }

    /// A model, and adapter, that the configuration in force names.
    pub fn current(&self, name: &str, adapter: Option<&str>) -> Option<Item> {
        let model = *self.names.get(name)?;
        let known = self.get(model).filter(|model| model.current)?;
        let adapter = match adapter {
            None => None,
            Some(name) => Some(adapter_number(name).filter(|number| *number <= known.spec.adapters)?),
        };
        Some(Item { model, adapter })
    }

    /// A model by its index.
    pub fn get(&self, id: ModelId) -> Option<&Model> {
        self.models.get(id.0)
    }

    /// A model by its index, to change it.
    pub fn get_mut(&mut self, id: ModelId) -> Option<&mut Model> {
        self.models.get_mut(id.0)
    }

    /// All models with their indices.
    pub fn iter(&self) -> impl Iterator<Item = (ModelId, &Model)> {
        self.models.iter().enumerate().map(|(index, model)| (ModelId(index), model))
    }

    /// The models that the configuration in force names.
    pub fn configured(&self) -> impl Iterator<Item = (ModelId, &Model)> {
        self.iter().filter(|(_, model)| model.current)
    }

    /// The models that the configuration in force names, to change them.
    pub fn configured_mut(&mut self) -> impl Iterator<Item = (ModelId, &mut Model)> {
        self.iter_mut().filter(|(_, model)| model.current)
    }

    /// All models, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ModelId, &mut Model)> {
        self.models.iter_mut().enumerate().map(|(index, model)| (ModelId(index), model))
    }

    /// How many indices there are.
    pub fn len(&self) -> usize {
        self.models.len()
    }

    /// Room that a model's weights, or one of its adapters, take, in MB.
    pub fn size_mb(&self, item: Item) -> f64 {
        let size = |model: &Model| match item.adapter {
            None => model.spec.weights_mb,
            Some(_) => model.spec.adapter_size_mb,
        };
        self.get(item.model).map_or(f64::INFINITY, size)
    }
}
