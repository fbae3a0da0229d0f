//! Which coordinators are there.
//!
//! A member is monitored by a few peers that rendezvous hashing gives to everybody alike. A monitor pings, suspects
//! a member that misses answers, and takes it to be absent if it does not refute that. What is known travels on
//! pings and their answers. Seeds that are not members are pinged for ever, ever more rarely, as they may come up
//! later or never have been coordinators. Apart from monitoring, the voters named by [`Membership::watch`] are
//! pinged by each coordinator, as it must know whether it reaches the majority itself. One of them of which nothing
//! is known, as this process has started since it was lost or has forgotten it, is away like one that is absent.
//!
//! A member that is about to end says so itself: it is absent for the others from then on, without a suspicion first.
//!
//! Incarnations have no order: only a node itself can say that it has started anew, so that what others tell of
//! another incarnation leads to a ping first.

mod options;
mod probe;
mod table;

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::internal::{MemberRecord, MemberState, MembershipMessage};
use shaletrail_protocol::{Incarnation, Millis, NodeId};

pub use options::{Options, MAX_MEMBERS, MAX_MESSAGE_RECORDS, MAX_SEEDS};
use probe::Probe;
use table::Table;

use crate::rendezvous::{choose, node_key};
use crate::stable_hash::mix;

/// Messages waiting to be taken, at most; further ones are dropped, as on a lossy link.
const SENDS_KEPT: usize = 1024;

/// One coordinator's view of the coordinators.
#[derive(Debug)]
pub struct Membership {
    options: Options,
    own: MemberRecord,
    table: Table,
    seeds: Vec<NodeId>,
    /// The voters, and since when each is watched.
    watched: BTreeMap<NodeId, Millis>,
    targets: BTreeSet<NodeId>,
    targets_stale: bool,
    probes: BTreeMap<NodeId, Probe>,
    last_number: u64,
    last_tick: Millis,
    last_exchange: BTreeMap<NodeId, Millis>,
    sends: Vec<(NodeId, MembershipMessage)>,
}

impl Membership {
    /// A view that knows the seeds only.
    pub fn new(
        options: Options,
        node: NodeId,
        incarnation: Incarnation,
        seeds: &[NodeId],
        now: Millis,
    ) -> Self {
        let own = MemberRecord { node, incarnation, refutation: 0, state: MemberState::Alive };
        let mut membership = Membership {
            options,
            own,
            table: Table::default(),
            seeds: Vec::new(),
            watched: BTreeMap::new(),
            targets: BTreeSet::new(),
            targets_stale: true,
            probes: BTreeMap::new(),
            last_number: mix(incarnation.0) << 32,
            last_tick: now,
            last_exchange: BTreeMap::new(),
            sends: Vec::new(),
        };
        membership.add_seeds(seeds);
        membership
    }

    /// Further seeds; beyond [`MAX_SEEDS`] the oldest are dropped.
    pub fn add_seeds(&mut self, seeds: &[NodeId]) {
        self.seeds.retain(|seed| !seeds.contains(seed));
        self.seeds.extend(seeds.iter().filter(|seed| **seed != self.own.node));
        self.seeds.drain(..self.seeds.len().saturating_sub(MAX_SEEDS));
        self.targets_stale = true;
    }

    /// Names the nodes that this one pings whoever monitors them: the current voters.
    pub fn watch(&mut self, nodes: &[NodeId]) {
        let named: BTreeSet<NodeId> =
            nodes.iter().copied().filter(|node| *node != self.own.node).take(MAX_MEMBERS).collect();
        if named.iter().eq(self.watched.keys()) {
            return;
        }
        let since = |node: NodeId| self.watched.get(&node).copied().unwrap_or(self.last_tick);
        self.watched = named.into_iter().map(|node| (node, since(node))).collect();
        self.targets_stale = true;
    }

    /// Tells the members that this process is about to end: it is absent for them from now on.
    pub fn leave(&mut self, now: Millis) {
        self.own.state = MemberState::Dead;
        let mut others = self.alive();
        others.retain(|node| *node != self.own.node);
        others.into_iter().for_each(|node| self.ping(now, node));
    }

    /// Takes a message of another coordinator.
    pub fn receive(&mut self, now: Millis, from: NodeId, message: MembershipMessage) {
        if from == self.own.node {
            return;
        }
        match message {
            MembershipMessage::Ping { sequence_number: number, members } => {
                let before = self.table.state(from);
                self.learn(now, from, &members);
                if before != Some(MemberState::Alive) {
                    self.ping_soon(now, from);
                }
                let members = self.tell(now, from, before.is_none());
                self.send(from, MembershipMessage::Ack { sequence_number: number, members });
            }
            MembershipMessage::Ack { sequence_number: number, members } => {
                if let Some(probe) = self.probes.get_mut(&from) {
                    probe.pong(number);
                }
                self.learn(now, from, &members);
            }
        }
    }

    /// Judges who has missed answers, and pings whose turn it is. To be called at [`Membership::next_wake`].
    pub fn tick(&mut self, now: Millis) {
        self.forgive_after_stall(now);
        self.judge(now);
        self.forget(now);
        self.choose_targets(now);
        self.ping_due(now);
        self.last_tick = now;
    }

    /// When `tick` should be called next.
    pub fn next_wake(&self) -> Millis {
        let ping = self.targets.iter().filter_map(|node| self.probes.get(node)).map(Probe::next).min();
        let latest = self.last_tick + self.options.ping_ms;
        if self.targets_stale {
            return self.last_tick;
        }
        ping.map_or(latest, |ping| ping.min(latest))
    }

    /// Messages to send, taken out.
    pub fn take_sends(&mut self) -> Vec<(NodeId, MembershipMessage)> {
        std::mem::take(&mut self.sends)
    }

    /// Members whose state or incarnation has changed, or that were forgotten, since the last call.
    pub fn take_changed(&mut self) -> Vec<NodeId> {
        self.table.take_changed()
    }

    /// This node and all members that are not absent, in order of their addresses.
    pub fn alive(&self) -> Vec<NodeId> {
        let others = self.table.records().filter(|record| record.state != MemberState::Dead);
        let mut alive: Vec<NodeId> = others.map(|record| record.node).chain([self.own.node]).collect();
        alive.sort_unstable();
        alive
    }

    /// How a coordinator is seen; `None` if it is unknown.
    pub fn state(&self, node: NodeId) -> Option<MemberState> {
        self.record(node).map(|record| record.state)
    }

    /// Whether a node is taken to be away: it is absent, or it has been watched for as long as that takes and neither it
    /// nor anybody else has told of it.
    pub fn is_unreachable(&self, node: NodeId) -> bool {
        let patience = self.options.suspect_ms + self.options.absent_ms;
        match self.state(node) {
            Some(state) => state == MemberState::Dead,
            None => self.watched.get(&node).is_some_and(|since| since + patience <= self.last_tick),
        }
    }

    /// What is known of a coordinator.
    pub fn record(&self, node: NodeId) -> Option<&MemberRecord> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.table.record(node)
    }

    /// All that is known, this node first.
    pub fn members(&self) -> Vec<MemberRecord> {
        [&self.own].into_iter().chain(self.table.records()).cloned().collect()
    }

    /// Whether the node has answered a ping that this one sent within the last `within_ms`: both ways were open.
    /// Only nodes that this one pings are known so: those it watches, monitors, or has as seeds.
    pub fn has_contact_within(&self, node: NodeId, now: Millis, within_ms: Millis) -> bool {
        let answered = self.probes.get(&node).and_then(Probe::answered);
        answered.is_some_and(|sent| now.saturating_sub(sent) <= within_ms)
    }

    /// Whether more than half of the nodes, this one counted where it is among them, have answered pings sent
    /// within the last `within_ms`.
    pub fn has_quorum_contact(&self, now: Millis, of: &[NodeId], within_ms: Millis) -> bool {
        let nodes: BTreeSet<NodeId> = of.iter().copied().collect();
        let answering = nodes
            .iter()
            .filter(|node| **node == self.own.node || self.has_contact_within(**node, now, within_ms));
        answering.count() * 2 > nodes.len()
    }

    fn forgive_after_stall(&mut self, now: Millis) {
        if now.saturating_sub(self.last_tick) > self.options.stall_ms {
            self.probes.values_mut().for_each(|probe| probe.forgive(now));
            self.table.renew_suspicions(now);
            self.watched.values_mut().for_each(|since| *since = now);
        }
    }

    fn judge(&mut self, now: Millis) {
        let records: Vec<(NodeId, MemberState)> =
            self.table.records().map(|record| (record.node, record.state)).collect();
        for (node, state) in records {
            match state {
                MemberState::Alive if self.misses_answers(now, node) => {
                    self.table.degrade(now, node, MemberState::Suspect);
                }
                MemberState::Suspect if self.is_overdue(now, node) => {
                    self.table.degrade(now, node, MemberState::Dead);
                    self.targets_stale = true;
                }
                _ => {}
            }
        }
    }

    fn misses_answers(&self, now: Millis, node: NodeId) -> bool {
        let probe = self.targets.contains(&node).then(|| self.probes.get(&node)).flatten();
        probe.is_some_and(|probe| probe.is_missing(now, &self.options))
    }

    /// Whether a suspicion has stood for long enough, and this node does not itself hear the member.
    fn is_overdue(&self, now: Millis, node: NodeId) -> bool {
        let stood = self.table.since(node).is_some_and(|since| since + self.options.absent_ms <= now);
        stood && !self.has_contact_within(node, now, self.options.suspect_ms)
    }

    fn forget(&mut self, now: Millis) {
        let absent = self.table.records().filter(|record| record.state == MemberState::Dead);
        let long_absent: Vec<NodeId> = absent
            .map(|record| record.node)
            .filter(|node| self.table.since(*node).is_some_and(|since| since + self.options.forget_ms <= now))
            .collect();
        for node in long_absent {
            self.table.forget(node);
            self.targets_stale = true;
        }
    }

    fn choose_targets(&mut self, now: Millis) {
        if !std::mem::take(&mut self.targets_stale) {
            return;
        }
        let alive = self.alive();
        let members: Vec<NodeId> = self.table.records().map(|record| record.node).collect();
        let monitored = members.into_iter().filter(|node| self.is_monitor(*node, &alive));
        self.targets = monitored.chain(self.watched.keys().copied()).chain(self.strange_seeds()).collect();
        self.probes.retain(|node, _| self.targets.contains(node));
        self.last_exchange.retain(|node, _| self.targets.contains(node));
        for node in &self.targets {
            self.probes.entry(*node).or_insert_with(|| Probe::new(now, &self.options));
        }
    }

    /// Whether this node is among those that monitor `node`.
    fn is_monitor(&self, node: NodeId, alive: &[NodeId]) -> bool {
        let candidates: Vec<NodeId> = alive.iter().copied().filter(|other| *other != node).collect();
        choose(node_key(node), &candidates, self.options.monitors).contains(&self.own.node)
    }

    fn strange_seeds(&self) -> impl Iterator<Item = NodeId> + '_ {
        let strange =
            |seed: &NodeId| !matches!(self.table.state(*seed), Some(state) if state != MemberState::Dead);
        self.seeds.iter().copied().filter(strange)
    }

    fn ping_due(&mut self, now: Millis) {
        let targets = self.targets.iter().copied();
        let due: Vec<NodeId> =
            targets.filter(|node| self.probes.get(node).is_some_and(|probe| probe.is_due(now))).collect();
        for node in due {
            self.ping(now, node);
        }
    }

    fn ping(&mut self, now: Millis, node: NodeId) {
        self.last_number += 1;
        let number = self.last_number;
        let answers = matches!(self.table.state(node), Some(MemberState::Alive | MemberState::Suspect));
        if let Some(probe) = self.probes.get_mut(&node) {
            probe.sent(now, number, !answers, &self.options);
        }
        let members = self.tell(now, node, false);
        self.send(node, MembershipMessage::Ping { sequence_number: number, members });
    }

    /// Pings a node at the next tick and at the usual pace from then on, if it is pinged at all.
    fn ping_soon(&mut self, now: Millis, node: NodeId) {
        if let Some(probe) = self.probes.get_mut(&node) {
            probe.hasten(now, &self.options);
        }
    }

    fn learn(&mut self, now: Millis, from: NodeId, members: &[MemberRecord]) {
        for record in members.iter().take(MAX_MESSAGE_RECORDS) {
            if record.node == self.own.node {
                self.refute(record);
            } else if record.node == from {
                self.targets_stale |= self.table.learn_direct(now, record);
            } else {
                self.learn_told(now, record);
            }
        }
    }

    /// Takes what somebody tells of another. One that has been cut off takes all others to be absent: a member that this
    /// node hears itself is suspected at most, until it refutes that.
    fn learn_told(&mut self, now: Millis, record: &MemberRecord) {
        let is_heard = self.has_contact_within(record.node, now, self.options.suspect_ms);
        let state = if is_heard { record.state.min(MemberState::Suspect) } else { record.state };
        let record = &MemberRecord { state, ..record.clone() };
        let suspected = self.table.state(record.node) == Some(MemberState::Suspect);
        if self.table.learn_told(now, record) {
            self.targets_stale = true;
            let refuted = suspected && record.state == MemberState::Alive;
            if let (true, Some(probe)) = (refuted, self.probes.get_mut(&record.node)) {
                probe.calm(now + self.options.calm_ms);
            }
        } else if self.table.is_disputed(record) {
            self.ping_soon(now, record.node);
        }
    }

    /// Denies a suspicion against this node, unless it is about to end; what is said of its former incarnations is left
    /// alone.
    fn refute(&mut self, record: &MemberRecord) {
        if self.own.state == MemberState::Dead {
            return;
        }
        let suspected = record.state != MemberState::Alive && record.refutation >= self.own.refutation;
        if record.incarnation == self.own.incarnation && suspected {
            self.own.refutation = record.refutation.saturating_add(1);
        }
    }

    /// Records for a message: this node's own, what is new, and now and then everything.
    fn tell(&mut self, now: Millis, receiver: NodeId, everything: bool) -> Vec<MemberRecord> {
        let exchanged = self.last_exchange.get(&receiver);
        let due = exchanged.is_none_or(|last| *last + self.options.exchange_ms <= now);
        let all = everything || (due && self.targets.contains(&receiver));
        if all && self.targets.contains(&receiver) {
            self.last_exchange.insert(receiver, now);
        }
        let mut records = vec![self.own.clone()];
        records.extend(self.table.tell(receiver, all, MAX_MESSAGE_RECORDS - 1));
        records
    }

    fn send(&mut self, to: NodeId, message: MembershipMessage) {
        if self.sends.len() < SENDS_KEPT {
            self.sends.push((to, message));
        }
    }
}
