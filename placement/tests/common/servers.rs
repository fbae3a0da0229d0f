//! One simulated model server, and the configuration that it goes by.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shaletrail_placement::{Catalogue, ModelSpec};
use shaletrail_protocol::external::{LoadedModel, Operation, ServerReport};
use shaletrail_protocol::Millis;

/// `count` models `m0`, `m1`, ... of 70 GB, three of which fit a server; 42 adapters each.
pub fn catalogue(count: usize) -> Catalogue {
    let model = |index| ModelSpec {
        name: format!("m{index}"),
        weights_mb: 70_000.0,
        load_time_s: 2.0,
        adapters: 42,
        adapter_size_mb: 66.0,
    };
    Catalogue {
        models: (0..count).map(model).collect(),
        weights_mb: 220_000.0,
        adapter_capacity: 8,
        load_per_s: 2.8,
    }
}

pub type Held = BTreeMap<String, BTreeSet<String>>;

pub fn list(held: &Held) -> Vec<LoadedModel> {
    let entry = |(name, adapters): (&String, &BTreeSet<String>)| LoadedModel {
        name: name.clone(),
        version: 1,
        adapters: adapters.iter().cloned().collect(),
    };
    held.iter().map(entry).collect()
}

#[derive(Clone, Debug)]
pub struct Running {
    pub operation: Operation,
    pub model: String,
    pub adapter: Option<String>,
    pub done: Millis,
    pub from_store: bool,
}

#[derive(Clone, Debug)]
pub struct SimulatedServer {
    pub index: usize,
    pub start: u32,
    pub held: BTreeMap<String, BTreeSet<String>>,
    pub disk: BTreeSet<String>,
    pub running: Option<Running>,
    pub sequence: u64,
    pub beats: u64,
    pub next_beat: Millis,
    pub last_beat: Millis,
    pub draining: bool,
    pub back_at: Option<Millis>,
    pub past: VecDeque<(Millis, ServerReport)>,
}

impl SimulatedServer {
    pub fn id(&self) -> String {
        format!("s{}-{}", self.index, self.start)
    }

    pub fn up(&self) -> bool {
        self.back_at.is_none()
    }

    pub fn report(&self) -> ServerReport {
        ServerReport {
            models: list(&self.held),
            order_in_flight: self.running.is_some(),
            sequence: self.sequence,
            ..ServerReport::default()
        }
    }
}
