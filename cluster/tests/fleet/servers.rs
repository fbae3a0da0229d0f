//! Servers of the fleet in memory: they send heartbeats, leave, crash, and follow one another at an address.

use std::collections::BTreeMap;

use rand::Rng;
use shaletrail_cluster::directory::{CallOutcome, CallToken, Directory};
use shaletrail_protocol::external::{Heartbeat, LoadedModel, ServerState};
use shaletrail_protocol::internal::{DirectoryCursor, ServerRecord};
use shaletrail_protocol::{Incarnation, Millis, NodeId};

use super::{Fleet, HEARTBEAT_MS};

/// How a server calls a coordinator that did not acknowledge it: the next one after so long.
const NEXT_NODE_MS: Millis = 100;

/// What an edge knows that polls one coordinator.
#[derive(Default)]
pub struct Mirror {
    cursor: DirectoryCursor,
    pub records: BTreeMap<String, ServerRecord>,
}

impl Mirror {
    pub fn poll(&mut self, directory: &Directory) {
        let news = directory.updates_since(self.cursor);
        if news.complete {
            self.records.clear();
        }
        self.records.extend(news.records.into_iter().map(|record| (record.id.clone(), record)));
        self.cursor = news.cursor;
    }
}

/// How far a server has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    Ready,
    Draining,
    Ended,
    Crashed,
}

/// A call that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Call {
    node: NodeId,
    incarnation: Incarnation,
    token: CallToken,
}

/// One start of a server.
pub struct Server {
    pub id: String,
    pub port: u16,
    pub life: Life,
    pub models: u32,
    /// When its draining was acknowledged.
    pub settled: Option<Millis>,
    pub ended_at: Millis,
    sequence: u64,
    at: usize,
    next: Millis,
    call: Option<Call>,
}

/// A draining that a coordinator has just acknowledged.
pub struct SettledDrain {
    pub id: String,
}

/// All servers of a history.
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
            life: Life::Ready,
            models: 0,
            settled: None,
            ended_at: 0,
            sequence: 0,
            at: fleet.random.random_range(0..fleet.machines.len()),
            next: fleet.now,
            call: None,
        });
    }

    pub fn with_life(&self, life: Life) -> Vec<usize> {
        (0..self.all.len()).filter(|index| self.all[*index].life == life).collect()
    }

    /// Lets the servers speak whose turn it is; the drainings that were acknowledged.
    pub fn step(&mut self, fleet: &mut Fleet) -> Vec<SettledDrain> {
        let ended = std::mem::take(&mut fleet.ended_calls);
        let settled =
            self.all.iter_mut().filter_map(|server| server.take_answer(fleet.now, &ended)).collect();
        for server in &mut self.all {
            let speaks = matches!(server.life, Life::Ready | Life::Draining);
            if speaks && server.next <= fleet.now {
                server.speak(fleet);
            }
        }
        settled
    }
}

impl Server {
    /// Its next heartbeat is due at once.
    pub fn hurry(&mut self, now: Millis) {
        self.next = now;
    }

    pub fn heartbeat(&self) -> Heartbeat {
        let model = |number| LoadedModel { name: format!("m{number}"), version: 1, adapters: vec![] };
        Heartbeat {
            service: "pages".into(),
            address: format!("10.9.9.9:{}", self.port),
            slots: 4,
            state: if self.life == Life::Draining { ServerState::Draining } else { ServerState::Ready },
            models: Some((0..self.models).map(model).collect()),
            sequence: self.sequence,
            ..Heartbeat::default()
        }
    }

    fn speak(&mut self, fleet: &mut Fleet) {
        self.sequence += 1;
        let heartbeat = self.heartbeat();
        let (now, count) = (fleet.now, fleet.machines.len());
        let lost = fleet.loss > 0.0 && fleet.random.random_bool(fleet.loss);
        let machine = &mut fleet.machines[self.at % count];
        let Some(process) = machine.process.as_mut().filter(|_| !machine.frozen && !lost) else {
            return self.turn_to_next(fleet);
        };
        let accepted = process.directory.heartbeat(now, &self.id, heartbeat);
        self.next = now + HEARTBEAT_MS;
        if let Some(token) = accepted.call {
            let (node, incarnation) = (machine.node, process.incarnation);
            self.call = Some(Call { node, incarnation, token });
        }
    }

    fn turn_to_next(&mut self, fleet: &Fleet) {
        self.at += 1;
        self.next = fleet.now + NEXT_NODE_MS;
    }

    fn take_answer(
        &mut self,
        now: Millis,
        ended: &[(NodeId, Incarnation, CallOutcome)],
    ) -> Option<SettledDrain> {
        let call = self.call?;
        let answer = |settlement: CallOutcome| ended.contains(&(call.node, call.incarnation, settlement));
        if answer(CallOutcome::Failed(call.token)) {
            self.call = None;
            self.at += 1;
            self.next = now;
        } else if answer(CallOutcome::Acknowledged(call.token)) {
            self.call = None;
            self.settled = self.settled.or(Some(now));
            return Some(SettledDrain { id: self.id.clone() });
        }
        None
    }
}
