//! Random sequences of large changes and faults on machines with real journals. Whatever happens, the core can be read
//! and changed once the faults have ended.
//!
//! `SHALETRAIL_SEEDS=60 cargo test --test large_changes` plays more seeds.

mod common;

use std::collections::BTreeMap;
use std::ops::Range;

use common::simulated_cluster::SimulatedCluster;
use common::{configuration, large_replace_call, replace_call};
use shaletrail_coordinator::interface::{CallId, Event};
use shaletrail_protocol::internal::{OperatorCall, OperatorResponse};
use shaletrail_protocol::{Millis, NodeId};

/// Number of seeds that are played unless the environment says otherwise.
const DEFAULT_SEEDS: u64 = 6;
/// Number of random steps with one seed.
const STEPS: usize = 40;
/// Longest time between two steps.
const MAX_PAUSE: Millis = 400;
/// Number of changes that the operator may have under way at the same time.
const MAX_CONCURRENT_CHANGES: u64 = 8;
/// Lengths of changes, in bytes.
const CHANGE_BYTES: Range<u64> = 200_000..4_190_000;
/// Time for restarts and elections after the faults have ended, and for calls to end.
const RECOVERY: Millis = 8_000;

/// The operator's view of a cluster that suffers random faults.
struct Play {
    cluster: SimulatedCluster,
    nodes: Vec<NodeId>,
    /// The machine that suffers a fault; at most one at a time, as the cluster tolerates one.
    faulty: Option<NodeId>,
    /// Versions of the changes that were sent, by call.
    sent: BTreeMap<CallId, u64>,
    next_version: u64,
}

impl Play {
    fn new(seed: u64) -> Play {
        let cluster = SimulatedCluster::bootstrapped_with_journals(1, seed);
        let nodes = cluster.running();
        Play { cluster, nodes, faulty: None, sent: BTreeMap::new(), next_version: 2 }
    }

    fn random_node(&mut self) -> NodeId {
        self.nodes[self.cluster.random_below(self.nodes.len() as u64) as usize]
    }

    fn step(&mut self) {
        match self.cluster.random_below(10) {
            0..4 => self.send_changes(),
            4 => self.fail(|cluster, node| cluster.set_stalled(node, true)),
            5 => self.fail(|cluster, node| cluster.set_checkpoints_fail(node, true)),
            6 => self.fail(SimulatedCluster::isolate),
            7 => self.fail(SimulatedCluster::lose_power),
            8 => self.end_fault(),
            _ => self.report_degraded_disk(),
        }
        let pause = self.cluster.random_below(MAX_PAUSE);
        self.cluster.run(pause);
    }

    /// Sends changes that are all based on the version that a node has applied, each to a random node.
    fn send_changes(&mut self) {
        let base_version = self.newest_version();
        for _ in 0..=self.cluster.random_below(MAX_CONCURRENT_CHANGES) {
            let length =
                CHANGE_BYTES.start + self.cluster.random_below(CHANGE_BYTES.end - CHANGE_BYTES.start);
            let version = self.next_version;
            self.next_version += 1;
            let change = large_replace_call(base_version, version, length as usize);
            let at = self.random_node();
            let call = self.cluster.send_operator_call(at, &change);
            self.sent.insert(call, version);
        }
    }

    fn newest_version(&self) -> u64 {
        let running = self.cluster.running();
        running.iter().map(|node| self.cluster.core(*node).configuration_version()).max().unwrap_or_default()
    }

    fn fail(&mut self, fault: impl FnOnce(&mut SimulatedCluster, NodeId)) {
        self.end_fault();
        let node = self.random_node();
        fault(&mut self.cluster, node);
        self.faulty = Some(node);
    }

    fn end_fault(&mut self) {
        let Some(node) = self.faulty.take() else { return };
        self.cluster.set_stalled(node, false);
        self.cluster.set_checkpoints_fail(node, false);
        self.cluster.heal();
        if !self.cluster.running().contains(&node) {
            self.cluster.start(node);
        }
    }

    /// Makes a node transfer its leadership, as its driver does while a sync takes long.
    fn report_degraded_disk(&mut self) {
        let node = self.random_node();
        self.cluster.handle(node, Event::DiskDegraded { wants_checkpoint: false });
    }

    /// The newest version that was acknowledged.
    fn acknowledged_version(&self) -> u64 {
        let is_done = |call: &CallId| {
            matches!(self.cluster.operator_response(*call), Some(OperatorResponse::Done { .. }))
        };
        self.sent.iter().filter(|(call, _)| is_done(call)).map(|(_, version)| *version).max().unwrap_or(1)
    }
}

fn seeds() -> u64 {
    std::env::var("SHALETRAIL_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

#[test]
fn core_can_be_read_and_changed_after_random_large_changes_and_faults() {
    for seed in 0..seeds() {
        // given
        let mut play = Play::new(seed);
        for _ in 0..STEPS {
            play.step();
        }

        // when
        play.end_fault();
        play.cluster.run(RECOVERY);

        // then
        let body = play.cluster.retry_operator_call(&OperatorCall::Read);
        let Some(body) = body else { panic!("seed {seed}: no configuration: {}", play.cluster.describe()) };
        let version = play.newest_version();
        let text = String::from_utf8(body).expect("the body is UTF-8");
        assert!(text.contains(&format!("\"version\":{version}")), "seed {seed}: {version}");
        assert!(play.acknowledged_version() <= version, "seed {seed}: an acknowledged version is lost");
        let change = replace_call(version, &configuration(play.next_version, "next.example"));
        let is_changed = play.cluster.retry_operator_call(&change).is_some();
        assert!(is_changed, "seed {seed}: no change is accepted: {}", play.cluster.describe());
    }
}
