//! The models and adapters that a server may hold, derived from its messages and the orders sent to it.
//!
//! Messages arrive out of order: a heartbeat may have been built before an order that is known to be complete.
//! Therefore an artifact known only from a response or a report is kept for [`HEARTBEAT_GRACE`] and until two
//! consecutive heartbeats omit it. An artifact that a heartbeat has listed is removed by the first later heartbeat that
//! omits it. This is accurate enough to tell edges where models are, but it is no proof: before an order uses capacity
//! that a heartbeat has freed, the planner requests a report (see [`RemovedContents`]).

use std::collections::BTreeMap;

use shaletrail_protocol::Millis;

use crate::model::{Artifact, ModelId, ModelTable};

/// Number of consecutive heartbeats that must omit an artifact that no heartbeat has listed yet, before it is removed.
const MIN_MISSED_HEARTBEATS: u8 = 2;
/// Maximum delay of a heartbeat, in milliseconds; an artifact known only from a response or a report is kept for this
/// long.
const HEARTBEAT_GRACE: Millis = 4_000;

/// Which messages have confirmed that an artifact is on the server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Evidence {
    /// Whether any heartbeat has listed it.
    in_heartbeat: bool,
    /// Number of consecutive heartbeats that omitted it.
    missed_heartbeats: u8,
    /// When a message last listed it, or an order added it.
    confirmed_at: Millis,
}

impl Evidence {
    /// Records that a message omitted the artifact. Returns whether the artifact is still assumed to be on the server.
    fn record_omission(&mut self, now: Millis, source: ContentsSource) -> bool {
        match source {
            ContentsSource::Heartbeat => {
                self.missed_heartbeats = self.missed_heartbeats.saturating_add(1);
                let is_recent = now.saturating_sub(self.confirmed_at) < HEARTBEAT_GRACE;
                !self.in_heartbeat && (self.missed_heartbeats < MIN_MISSED_HEARTBEATS || is_recent)
            }
            ContentsSource::Report => false,
        }
    }

    fn confirm(&mut self, now: Millis, source: ContentsSource) {
        (self.missed_heartbeats, self.confirmed_at) = (0, now);
        self.in_heartbeat |= source == ContentsSource::Heartbeat;
    }
}

/// The kind of message that lists a server's contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentsSource {
    /// A heartbeat that is newer than all others received from the server.
    Heartbeat,
    /// A report, which shows the state after all orders that the server has acknowledged.
    Report,
}

/// Contents that are removed because a message omitted them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RemovedContents {
    /// The removed models and adapters; without the adapters of a removed model.
    pub artifacts: Vec<Artifact>,
    /// Whether unidentified models or adapters were removed as well.
    pub unidentified: bool,
}

/// A model with its adapters, as listed in a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedModel {
    /// The model; `None` if the model table had no space for its name.
    pub model: Option<ModelId>,
    /// The numbers of its adapters.
    pub adapters: Vec<u32>,
    /// Number of adapters whose names could not be parsed.
    pub unidentified_adapters: usize,
}

/// A model on the server, with its adapters.
#[derive(Clone, Debug, Default)]
struct Replica {
    evidence: Evidence,
    adapters: BTreeMap<u32, Evidence>,
    unidentified_adapters: usize,
}

/// The largest sizes of a model and of one of its adapters, in MB, over all configurations that were in force while a
/// server held or loaded it. It is not known with which of them the server loaded its weights.
#[derive(Clone, Copy, Debug, Default)]
struct FormerSizes {
    model_mb: f64,
    adapter_mb: f64,
}

impl Replica {
    /// Applies the adapters that a message lists, and adds those that it omits to `removed`.
    fn reconcile(
        &mut self,
        now: Millis,
        id: ModelId,
        listed: &ListedModel,
        source: ContentsSource,
        removed: &mut RemovedContents,
    ) {
        self.evidence.confirm(now, source);
        removed.unidentified |= self.unidentified_adapters > listed.unidentified_adapters;
        self.unidentified_adapters = listed.unidentified_adapters;
        self.adapters.retain(|number, evidence| {
            let stays = listed.adapters.contains(number) || evidence.record_omission(now, source);
            if !stays {
                removed.artifacts.push(Artifact::adapter(id, *number));
            }
            stays
        });
        for number in &listed.adapters {
            self.adapters.entry(*number).or_default().confirm(now, source);
        }
    }

    fn adapter_count(&self) -> usize {
        self.adapters.len() + self.unidentified_adapters
    }
}

/// The models and adapters that a server may hold, as far as the planner knows.
#[derive(Clone, Debug, Default)]
pub struct ServerContents {
    replicas: BTreeMap<ModelId, Replica>,
    /// Sizes of models that the server has held or has been loading since before the last change of the configuration.
    former_sizes: BTreeMap<ModelId, FormerSizes>,
    /// Whether the server holds models that are not in the model table and so have an unknown size.
    has_unidentified_model: bool,
}

impl ServerContents {
    /// Applies a complete list of the server's contents. Returns what was removed because the list omits it.
    pub fn reconcile(
        &mut self,
        now: Millis,
        listed: &[ListedModel],
        source: ContentsSource,
    ) -> RemovedContents {
        let has_unidentified_model = listed.iter().any(|entry| entry.model.is_none());
        let mut removed = RemovedContents {
            unidentified: self.has_unidentified_model && !has_unidentified_model,
            ..RemovedContents::default()
        };
        self.has_unidentified_model = has_unidentified_model;
        let identified: Vec<(ModelId, &ListedModel)> =
            listed.iter().filter_map(|entry| Some((entry.model?, entry))).collect();
        self.replicas.retain(|id, replica| {
            let is_listed = identified.iter().any(|(model, _)| model == id);
            let stays = is_listed || replica.evidence.record_omission(now, source);
            if !stays {
                removed.artifacts.push(Artifact::model(*id));
                self.former_sizes.remove(id);
            }
            stays
        });
        for (id, entry) in identified {
            self.replicas.entry(id).or_default().reconcile(now, id, entry, source, &mut removed);
        }
        removed
    }

    /// Adds an artifact that an order has loaded and no message has listed yet.
    pub fn add(&mut self, now: Millis, artifact: Artifact) {
        let evidence = Evidence { confirmed_at: now, ..Evidence::default() };
        let replica = self.replicas.entry(artifact.model);
        let replica = replica.or_insert_with(|| Replica { evidence, ..Replica::default() });
        if let Some(adapter) = artifact.adapter {
            replica.adapters.entry(adapter).or_insert(evidence);
        }
    }

    /// Returns whether the model or adapter may be on the server.
    pub fn has(&self, artifact: Artifact) -> bool {
        self.replicas.get(&artifact.model).is_some_and(|replica| match artifact.adapter {
            None => true,
            Some(adapter) => replica.adapters.contains_key(&adapter),
        })
    }

    /// Iterates over the models in the order of their indices.
    pub fn models(&self) -> impl Iterator<Item = ModelId> + '_ {
        self.replicas.keys().copied()
    }

    /// Iterates over the identified adapters as pairs of model and adapter number, in ascending order.
    pub fn adapters(&self) -> impl Iterator<Item = (ModelId, u32)> + '_ {
        self.replicas.iter().flat_map(|(id, replica)| replica.adapters.keys().map(|adapter| (*id, *adapter)))
    }

    /// Returns the number of adapters, including unidentified ones.
    pub fn adapter_count(&self) -> usize {
        self.replicas.values().map(Replica::adapter_count).sum()
    }

    /// Called before the configuration changes: remembers the current sizes of what the server holds or is `loading`,
    /// because its weights may keep these sizes after the change.
    pub fn keep_sizes(&mut self, models: &ModelTable, loading: Option<Artifact>) {
        let held = self.replicas.keys().copied().chain(loading.map(|artifact| artifact.model));
        // The size of a model that is not configured is only an assumption.
        let is_configured = |id: &ModelId| models.get(*id).is_some_and(|model| model.is_configured);
        for id in held.filter(is_configured) {
            let former = self.former_sizes.entry(id).or_default();
            former.model_mb = former.model_mb.max(models.size_mb(Artifact::model(id)));
            former.adapter_mb = former.adapter_mb.max(models.size_mb(Artifact::adapter(id, 0)));
        }
    }

    /// Called when the model is loaded again, which gives it the currently configured size.
    pub fn forget_former_sizes(&mut self, id: ModelId) {
        self.former_sizes.remove(&id);
    }

    /// Returns an upper bound of the size of an artifact on this server, in MB.
    pub fn size_mb(&self, artifact: Artifact, models: &ModelTable) -> f64 {
        let former = self.former_sizes.get(&artifact.model).copied().unwrap_or_default();
        let former_mb = if artifact.adapter.is_some() { former.adapter_mb } else { former.model_mb };
        models.size_mb(artifact).max(former_mb)
    }

    /// Returns the used capacity in MB; infinite if the server holds a model of unknown size.
    pub fn used_mb(&self, models: &ModelTable) -> f64 {
        if self.has_unidentified_model {
            return f64::INFINITY;
        }
        self.replicas.keys().map(|id| self.replica_mb(*id, models)).sum()
    }

    /// Returns the capacity that a model and its adapters use, in MB; 0 if the server does not hold the model.
    pub fn replica_mb(&self, id: ModelId, models: &ModelTable) -> f64 {
        let Some(replica) = self.replicas.get(&id) else { return 0.0 };
        let model_mb = self.size_mb(Artifact::model(id), models);
        // The adapter size of an unknown model is infinite, and infinity times zero would be NaN.
        match replica.adapter_count() {
            0 => model_mb,
            count => model_mb + count as f64 * self.size_mb(Artifact::adapter(id, 0), models),
        }
    }
}
