//! The models and adapters that a server may hold, by all of its messages and orders.
//!
//! Messages arrive out of order: a heartbeat may have been built before an order that is known to be complete. So what is
//! known from a response or a report stays for [`HEARTBEAT_GRACE`] and until two consecutive heartbeats lack it, and what a
//! heartbeat listed goes with the first later one that lacks it. That suffices to tell edges where models are. It proves
//! nothing: before an order uses capacity that a heartbeat has freed, a report is requested (see [`RemovedContents`]).

use std::collections::BTreeMap;

use shaletrail_protocol::Millis;

use crate::model::{Artifact, ModelId, ModelTable};

/// Consecutive heartbeats that must lack an artifact that none has listed yet.
const MIN_MISSED_HEARTBEATS: u8 = 2;
/// Maximum delay of a heartbeat, in milliseconds.
const HEARTBEAT_GRACE: Millis = 4_000;

/// Which messages have confirmed that an artifact is on the server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Evidence {
    /// Whether a heartbeat has listed it.
    in_heartbeat: bool,
    /// Consecutive heartbeats that lacked it.
    missed_heartbeats: u8,
    /// When it was last confirmed.
    confirmed_at: Millis,
}

impl Evidence {
    /// Whether the artifact stays after a message from `source` that lacks it.
    fn survives(&mut self, now: Millis, source: ContentsSource) -> bool {
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

/// The message that lists the contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentsSource {
    /// A heartbeat, newer than any other received from the server.
    Heartbeat,
    /// A report, which shows the state after all acknowledged orders.
    Report,
}

/// What a message lacked and is therefore removed from the known contents.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RemovedContents {
    /// Models and adapters.
    pub artifacts: Vec<Artifact>,
    /// Whether models or adapters without a known identity were among them.
    pub unidentified: bool,
}

/// A model with its adapters as a message lists it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedModel {
    /// The model; `None` if there was no index for its name.
    pub model: Option<ModelId>,
    /// Its adapters, by number.
    pub adapters: Vec<u32>,
    /// Number of adapters whose names have no known form.
    pub unidentified_adapters: usize,
}

/// The replica of a model on the server.
#[derive(Clone, Debug, Default)]
struct Replica {
    evidence: Evidence,
    adapters: BTreeMap<u32, Evidence>,
    unidentified_adapters: usize,
}

/// The largest sizes of a model and of one of its adapters in configurations that were in force while a server held or loaded
/// it, in MB: which one the weights on the server are of is not known.
#[derive(Clone, Copy, Debug, Default)]
struct FormerSizes {
    model_mb: f64,
    adapter_mb: f64,
}

impl Replica {
    /// Applies the adapters that a message lists, and adds what it lacks to `removed`.
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
            let stays = listed.adapters.contains(number) || evidence.survives(now, source);
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

/// The models and adapters that a server may hold.
#[derive(Clone, Debug, Default)]
pub struct ServerContents {
    replicas: BTreeMap<ModelId, Replica>,
    /// Of models that are there, or are being loaded, since before the last change of the configuration.
    former_sizes: BTreeMap<ModelId, FormerSizes>,
    /// Whether the server holds models without an index, whose size is unknown.
    has_unidentified_model: bool,
}

impl ServerContents {
    /// Applies a complete list of the server's contents. Returns what is removed by it.
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
            let stays = is_listed || replica.evidence.survives(now, source);
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

    /// Adds an artifact that no message has listed yet.
    pub fn add(&mut self, now: Millis, artifact: Artifact) {
        let evidence = Evidence { confirmed_at: now, ..Evidence::default() };
        let replica = self.replicas.entry(artifact.model);
        let replica = replica.or_insert_with(|| Replica { evidence, ..Replica::default() });
        if let Some(adapter) = artifact.adapter {
            replica.adapters.entry(adapter).or_insert(evidence);
        }
    }

    /// Whether a model, or an adapter with its model, may be on the server.
    pub fn has(&self, artifact: Artifact) -> bool {
        self.replicas.get(&artifact.model).is_some_and(|replica| match artifact.adapter {
            None => true,
            Some(adapter) => replica.adapters.contains_key(&adapter),
        })
    }

    /// The models, in the order of their indices.
    pub fn models(&self) -> impl Iterator<Item = ModelId> + '_ {
        self.replicas.keys().copied()
    }

    /// The identified adapters of all models, as model and number, in that order.
    pub fn adapters(&self) -> impl Iterator<Item = (ModelId, u32)> + '_ {
        self.replicas.iter().flat_map(|(id, replica)| replica.adapters.keys().map(|adapter| (*id, *adapter)))
    }

    /// Number of adapters, unidentified ones included.
    pub fn adapter_count(&self) -> usize {
        self.replicas.values().map(Replica::adapter_count).sum()
    }

    /// The configuration is about to change: what is there, or is being loaded, may keep the sizes that it has now.
    pub fn keep_sizes(&mut self, models: &ModelTable, loading: Option<Artifact>) {
        let held = self.replicas.keys().copied().chain(loading.map(|artifact| artifact.model));
        // The sizes of others are assumed.
        let is_configured = |id: &ModelId| models.get(*id).is_some_and(|model| model.is_configured);
        for id in held.filter(is_configured) {
            let former = self.former_sizes.entry(id).or_default();
            former.model_mb = former.model_mb.max(models.size_mb(Artifact::model(id)));
            former.adapter_mb = former.adapter_mb.max(models.size_mb(Artifact::adapter(id, 0)));
        }
    }

    /// The model is loaded anew, with the size that it has now.
    pub fn forget_former_sizes(&mut self, id: ModelId) {
        self.former_sizes.remove(&id);
    }

    /// The size that an artifact has on this server, or a greater one, in MB.
    pub fn size_mb(&self, artifact: Artifact, models: &ModelTable) -> f64 {
        let former = self.former_sizes.get(&artifact.model).copied().unwrap_or_default();
        let former_mb = if artifact.adapter.is_some() { former.adapter_mb } else { former.model_mb };
        models.size_mb(artifact).max(former_mb)
    }

    /// Used capacity in MB; infinite with a model of unknown size.
    pub fn used_mb(&self, models: &ModelTable) -> f64 {
        if self.has_unidentified_model {
            return f64::INFINITY;
        }
        self.replicas.keys().map(|id| self.replica_mb(*id, models)).sum()
    }

    /// Capacity that a model uses with its adapters, in MB; 0 if the server does not hold it.
    pub fn replica_mb(&self, id: ModelId, models: &ModelTable) -> f64 {
        let Some(replica) = self.replicas.get(&id) else { return 0.0 };
        let model_mb = self.size_mb(Artifact::model(id), models);
        // The size of an adapter of an unknown model is infinite, which must not be multiplied by zero.
        match replica.adapter_count() {
            0 => model_mb,
            count => model_mb + count as f64 * self.size_mb(Artifact::adapter(id, 0), models),
        }
    }
}
