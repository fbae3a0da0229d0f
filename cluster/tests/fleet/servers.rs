//! Simulated servers, which send heartbeats, drain, crash, and reuse the addresses of ended servers.

use std::collections::BTreeMap;

use rand::Rng;
use shaletrail_cluster::directory::{CallOutcome, CallToken, Directory};
use shaletrail_protocol::external::{Heartbeat, LoadedModel, ServerState};
use shaletrail_protocol::internal::{DirectoryCursor, ServerRecord};
use shaletrail_protocol::{Incarnation, Millis, NodeId};

use super::{Fleet, HEARTBEAT_MS};

/// The time after which a server that got no answer retries with the next coordinator, in milliseconds.
const FAILOVER_DELAY_MS: Millis = 100;

/// The replica of a coordinator's directory at an edge that polls that coordinator.
#[derive(Default)]
pub struct EdgeReplica {
    cursor: DirectoryCursor,
    pub records: BTreeMap<String, ServerRecord>,
}

impl EdgeReplica {
    pub fn poll(&mut self, directory: &Directory) {
        let update = directory.updates_since(self.cursor);
        if update.complete {
            self.records.clear();
        }
        self.records.extend(update.records.into_iter().map(|record| (record.id.clone(), record)));
        self.cursor = update.cursor;
    }
}

/// The state of a simulated server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    Ready,
    Draining,
    Ended,
    Crashed,
}

/// A call that waits for a majority, and the incarnation of the coordinator that accepted it.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    node: NodeId,
    incarnation: Incarnation,
    token: CallToken,
}

/// A simulated server. A server that is started later at the same address is a new one with a new id.
pub struct Server {
    pub id: String,
    pub port: u16,
    pub lifecycle: Lifecycle,
    pub models: u32,
    /// When its drain was first acknowledged.
    pub acknowledged_at: Option<Millis>,
    pub ended_at: Millis,
    sequence: u64,
    coordinator: usize,
    next_heartbeat: Millis,
    pending_call: Option<PendingCall>,
}

/// A drain that a coordinator has just acknowledged.
pub struct AcknowledgedDrain {
    pub id: String,
}

/// All servers of a simulated history, ended ones included.
#[derive(Default)]
pub struct Servers {
    pub all: Vec<Server>,
    started: u64,
}

impl Servers {
    pub fn add(&mut self, fleet: &mut Fleet, port: u16) {
        self.started += 1;
        self.all.push(Server {
            id: format!("i-{}", self.started),
            port,
            lifecycle: Lifecycle::Ready,
            models: 0,
            acknowledged_at: None,
            ended_at: 0,
            sequence: 0,
            coordinator: fleet.random.random_range(0..fleet.machines.len()),
            next_heartbeat: fleet.now,
            pending_call: None,
        });
    }

    pub fn in_lifecycle(&self, lifecycle: Lifecycle) -> Vec<usize> {
        (0..self.all.len()).filter(|index| self.all[*index].lifecycle == lifecycle).collect()
    }

    /// Sends the heartbeats that are due; returns the drains that have been acknowledged.
    pub fn step(&mut self, fleet: &mut Fleet) -> Vec<AcknowledgedDrain> {
        let outcomes = std::mem::take(&mut fleet.completed_calls);
        let acknowledged =
            self.all.iter_mut().filter_map(|server| server.handle_outcomes(fleet.now, &outcomes)).collect();
        for server in &mut self.all {
            let is_running = matches!(server.lifecycle, Lifecycle::Ready | Lifecycle::Draining);
            if is_running && server.next_heartbeat <= fleet.now {
                server.send_heartbeat(fleet);
            }
        }
        acknowledged
    }
}

impl Server {
    /// Makes the next heartbeat due at once.
    pub fn expedite_heartbeat(&mut self, now: Millis) {
        self.next_heartbeat = now;
    }

    pub fn heartbeat(&self) -> Heartbeat {
        let model = |number| LoadedModel { name: format!("m{number}"), version: 1, adapters: vec![] };
        Heartbeat {
            service: "pages".into(),
            address: format!("10.9.9.9:{}", self.port),
            slots: 4,
            state: if self.lifecycle == Lifecycle::Draining {
                ServerState::Draining
            } else {
                ServerState::Ready
            },
            models: Some((0..self.models).map(model).collect()),
            sequence: self.sequence,
            ..Heartbeat::default()
        }
    }

    fn send_heartbeat(&mut self, fleet: &mut Fleet) {
        self.sequence += 1;
        let heartbeat = self.heartbeat();
        let (now, count) = (fleet.now, fleet.machines.len());
        let is_lost = fleet.loss > 0.0 && fleet.random.random_bool(fleet.loss);
        let machine = &mut fleet.machines[self.coordinator % count];
        let Some(process) = machine.process.as_mut().filter(|_| !machine.frozen && !is_lost) else {
            return self.fail_over(fleet);
        };
        let accepted = process.directory.heartbeat(now, &self.id, heartbeat);
        self.next_heartbeat = now + HEARTBEAT_MS;
        if let Some(token) = accepted.call {
            let (node, incarnation) = (machine.node, process.incarnation);
            self.pending_call = Some(PendingCall { node, incarnation, token });
        }
    }

    fn fail_over(&mut self, fleet: &Fleet) {
        self.coordinator += 1;
        self.next_heartbeat = fleet.now + FAILOVER_DELAY_MS;
    }

    fn handle_outcomes(
        &mut self,
        now: Millis,
        outcomes: &[(NodeId, Incarnation, CallOutcome)],
    ) -> Option<AcknowledgedDrain> {
        let call = self.pending_call?;
        let has_outcome = |outcome: CallOutcome| outcomes.contains(&(call.node, call.incarnation, outcome));
        if has_outcome(CallOutcome::Failed(call.token)) {
            self.pending_call = None;
            self.coordinator += 1;
            self.next_heartbeat = now;
        } else if has_outcome(CallOutcome::Acknowledged(call.token)) {
            self.pending_call = None;
            self.acknowledged_at = self.acknowledged_at.or(Some(now));
            return Some(AcknowledgedDrain { id: self.id.clone() });
        }
        None
    }
}
