//! What a server may hold, by all that it has said and all that it was ordered.
//!
//! Messages overtake each other: a heartbeat may have been built before an order that is known to be done. So what
//! is known from an answer or a report stays for [`GRACE`] and until two heartbeats in a row lack it, and what a
//! heartbeat listed goes with the first later one that does not. That is good enough to tell edges what is where. It
//! proves nothing: whoever takes up room that a heartbeat has freed asks for a report first (see [`Dropped`]).

use std::collections::BTreeMap;

use shaletrail_protocol::Millis;

use crate::model::{Item, ModelId, ModelTable};

/// Heartbeats in a row that must lack something that none has listed yet.
const MISSES: u8 = 2;
/// How late heartbeats may be, in milliseconds.
const GRACE: Millis = 4_000;

/// How surely something is there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Evidence {
    /// A heartbeat has listed it.
    listed: bool,
    /// Heartbeats in a row that lacked it.
    missed: u8,
    /// When it was last known.
    at: Millis,
}

impl Evidence {
    /// Whether it stays after a message from `source` that lacks it.
    fn survives(&mut self, now: Millis, source: Source) -> bool {
        match source {
            Source::Heartbeat => {
                self.missed = self.missed.saturating_add(1);
                !self.listed && (self.missed < MISSES || now.saturating_sub(self.at) < GRACE)
            }
            Source::Report => false,
        }
    }

    fn confirm(&mut self, now: Millis, source: Source) {
        (self.missed, self.at) = (0, now);
        self.listed |= source == Source::Heartbeat;
    }
}

/// Where a list of models comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A heartbeat that is newer than all seen of that server.
    Heartbeat,
    /// A report that shows the state after all orders answered so far.
    Report,
}

/// What a list lacked and is therefore taken to be gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Models and adapters.
    pub items: Vec<Item>,
    /// Whether there were also things without a known name among them.
    pub nameless: bool,
}

/// A model as listed: its adapters by number, and how many more have names of another form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listed {
    /// The model.
    pub model: Option<ModelId>,
    /// Its adapters.
    pub adapters: Vec<u32>,
    /// Adapters whose names cannot be read.
    pub strange: usize,
}

#[derive(Clone, Debug, Default)]
struct Copy {
    evidence: Evidence,
    adapters: BTreeMap<u32, Evidence>,
    strange: usize,
}

/// The models and adapters that a server may hold.
#[derive(Clone, Debug, Default)]
pub struct Holding {
    copies: BTreeMap<ModelId, Copy>,
    /// Listed models that there was no index for: the room that they take is unknown.
    unknown: bool,
}

impl Holding {
    /// Takes over a list of all that a server holds, and tells what is gone by it.
    pub fn absorb(&mut self, now: Millis, listed: &[Listed], source: Source) -> Dropped {
        let unknown = listed.iter().any(|entry| entry.model.is_none());
        let mut dropped = Dropped { nameless: self.unknown && !unknown, ..Dropped::default() };
        self.unknown = unknown;
        let named: Vec<(ModelId, &Listed)> =
            listed.iter().filter_map(|entry| Some((entry.model?, entry))).collect();
        self.copies.retain(|id, copy| {
            let stays = named.iter().any(|(model, _)| model == id) || copy.evidence.survives(now, source);
            if !stays {
                dropped.items.push(Item { model: *id, adapter: None });
            }
            stays
        });
        for (id, entry) in named {
            let copy = self.copies.entry(id).or_default();
            copy.evidence.confirm(now, source);
            dropped.nameless |= copy.strange > entry.strange;
            copy.strange = entry.strange;
            copy.adapters.retain(|number, evidence| {
                let stays = entry.adapters.contains(number) || evidence.survives(now, source);
                if !stays {
                    dropped.items.push(Item { model: id, adapter: Some(*number) });
                }
                stays
            });
            for number in &entry.adapters {
                copy.adapters.entry(*number).or_default().confirm(now, source);
            }
        }
        dropped
    }

    /// Notes that something is there which no message has listed yet.
    pub fn add(&mut self, now: Millis, item: Item) {
        let fresh = Evidence { at: now, ..Evidence::default() };
        let copy = self.copies.entry(item.model);
        let copy = copy.or_insert_with(|| Copy { evidence: fresh, ..Copy::default() });
        if let Some(adapter) = item.adapter {
            copy.adapters.entry(adapter).or_insert(fresh);
        }
    }

    /// Whether a model, or an adapter with its model, may be there.
    pub fn has(&self, item: Item) -> bool {
        self.copies.get(&item.model).is_some_and(|copy| match item.adapter {
            None => true,
            Some(adapter) => copy.adapters.contains_key(&adapter),
        })
    }

    /// The models.
    pub fn models(&self) -> impl Iterator<Item = ModelId> + '_ {
        self.copies.keys().copied()
    }

    /// The adapters of all models.
    pub fn adapters(&self) -> impl Iterator<Item = (ModelId, u32)> + '_ {
        self.copies.iter().flat_map(|(id, copy)| copy.adapters.keys().map(|adapter| (*id, *adapter)))
    }

    /// How many adapters there may be.
    pub fn adapter_count(&self) -> usize {
        self.copies.values().map(|copy| copy.adapters.len() + copy.strange).sum()
    }

    /// Room taken, in MB; infinite where a model without known size is there.
    pub fn used_mb(&self, models: &ModelTable) -> f64 {
        if self.unknown {
            return f64::INFINITY;
        }
        self.copies.keys().map(|id| self.copy_mb(*id, models)).sum()
    }

    /// Room that one model takes with its adapters, in MB; 0 where it is not there.
    pub fn copy_mb(&self, id: ModelId, models: &ModelTable) -> f64 {
        self.copies.get(&id).map_or(0.0, |copy| {
            let adapters = (copy.adapters.len() + copy.strange) as f64;
            let adapter_mb = models.size_mb(Item { model: id, adapter: Some(0) });
            models.size_mb(Item { model: id, adapter: None })
                + if adapters > 0.0 { adapters * adapter_mb } else { 0.0 }
        })
    }
}
