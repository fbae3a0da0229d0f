//! A simulated model server and the configuration of its service.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shaletrail_placement::{Catalogue, ModelSpec};
use shaletrail_protocol::external::{LoadedModel, Operation, ServerReport};
use shaletrail_protocol::Millis;

/// Number of past reports that a server keeps, from which late reports are taken.
const REPORT_HISTORY: usize = 32;

pub fn model_name(index: usize) -> String {
    format!("m{index}")
}

/// Returns a configuration of `count` models `m0`, `m1` and so on of 70 GB each with 42 adapters. Three models fit on a
/// server.
pub fn catalogue(count: usize) -> Catalogue {
    let model = |index| ModelSpec {
        name: model_name(index),
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

/// The loaded adapters of each loaded model, by name.
pub type LoadedAdapters = BTreeMap<String, BTreeSet<String>>;

pub fn loaded_models(loaded: &LoadedAdapters) -> Vec<LoadedModel> {
    let entry = |(name, adapters): (&String, &BTreeSet<String>)| LoadedModel {
        name: name.clone(),
        version: 1,
        adapters: adapters.iter().cloned().collect(),
    };
    loaded.iter().map(entry).collect()
}

/// The order that a server is executing.
#[derive(Clone, Debug)]
pub struct RunningOrder {
    pub operation: Operation,
    pub model: String,
    pub adapter: Option<String>,
    pub ends_at: Millis,
    pub from_origin: bool,
}

#[derive(Clone, Debug)]
pub struct SimulatedServer {
    pub index: usize,
    /// Number of restarts, part of the server's id.
    pub restarts: u32,
    pub loaded: LoadedAdapters,
    /// Models on the server's disk, which survive a restart.
    pub disk: BTreeSet<String>,
    pub running: Option<RunningOrder>,
    /// Number of accepted orders.
    pub sequence: u64,
    /// Number of heartbeats sent.
    pub heartbeats: u64,
    pub next_heartbeat: Millis,
    pub last_heartbeat: Millis,
    pub draining: bool,
    /// When the server restarts after a crash; `None` while it is up.
    pub restarts_at: Option<Millis>,
    /// The newest reports that the server could have sent, each with its time.
    pub report_history: VecDeque<(Millis, ServerReport)>,
}

impl SimulatedServer {
    pub fn new(index: usize, now: Millis, next_heartbeat: Millis) -> SimulatedServer {
        SimulatedServer {
            index,
            restarts: 0,
            loaded: BTreeMap::new(),
            disk: BTreeSet::new(),
            running: None,
            sequence: 0,
            heartbeats: 0,
            next_heartbeat,
            last_heartbeat: now,
            draining: false,
            restarts_at: None,
            report_history: VecDeque::new(),
        }
    }

    pub fn id(&self) -> String {
        format!("s{}-{}", self.index, self.restarts)
    }

    pub fn is_up(&self) -> bool {
        self.restarts_at.is_none()
    }

    pub fn has(&self, model: &str, adapter: Option<&str>) -> bool {
        self.loaded
            .get(model)
            .is_some_and(|adapters| adapter.is_none_or(|adapter| adapters.contains(adapter)))
    }

    /// Completes the running order once its end time is reached.
    pub fn complete_order(&mut self, now: Millis) {
        let Some(run) = self.running.take_if(|run| run.ends_at <= now) else { return };
        match (run.operation, run.adapter) {
            (Operation::Load, None) => drop(self.loaded.insert(run.model, BTreeSet::new())),
            (Operation::Load, Some(adapter)) => {
                self.loaded.entry(run.model).or_default().insert(adapter);
            }
            (Operation::Evict, None) => drop(self.loaded.remove(&run.model)),
            (Operation::Evict, Some(adapter)) => {
                if let Some(adapters) = self.loaded.get_mut(&run.model) {
                    adapters.remove(&adapter);
                }
            }
        }
    }

    pub fn remember_report(&mut self, now: Millis) {
        let report = ServerReport {
            models: loaded_models(&self.loaded),
            order_in_flight: self.running.is_some(),
            sequence: self.sequence,
            ..ServerReport::default()
        };
        self.report_history.push_back((now, report));
        if self.report_history.len() > REPORT_HISTORY {
            self.report_history.pop_front();
        }
    }

    /// Returns the newest report that is at least `age` milliseconds old.
    pub fn report_of_age(&self, now: Millis, age: Millis) -> Option<ServerReport> {
        let latest = now.saturating_sub(age);
        let report = self.report_history.iter().rev().find(|(at, _)| *at <= latest);
        report.map(|(_, report)| report.clone())
    }

    pub fn crash(&mut self, restarts_at: Millis) {
        self.restarts_at = Some(restarts_at);
        self.loaded.clear();
        self.running = None;
        self.sequence = 0;
        self.report_history.clear();
    }

    pub fn restart(&mut self, now: Millis) {
        self.restarts_at = None;
        self.restarts += 1;
        self.heartbeats = 0;
        self.next_heartbeat = now;
        self.draining = false;
    }
}
