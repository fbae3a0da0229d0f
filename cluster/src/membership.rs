//! Membership of the coordinators: failure detection and gossip in the manner of SWIM.
//!
//! Each member is monitored by a few peers, and every node computes the same choice of monitors (`targets`). A
//! monitor pings the member, suspects it if acks are missing, and declares it dead unless it refutes the suspicion in
//! time (`failure_detector`). Member records are piggybacked on pings and acks (`gossip`) and merge by incarnation,
//! refutation number and state (`member_table`). A member that shuts down announces it ([`Membership::leave`]).
//!
//! A seed that is not a live member is pinged indefinitely with backoff, as it may start later. Every coordinator
//! pings all voters ([`Membership::set_voters`]), as each must know whether it reaches a quorum. A voter may have no
//! record, because this process started after the voter failed or has since forgotten it. Such a voter becomes
//! unreachable after the same time as a voter with a record.
//!
//! Incarnations are random and have no order, so that only the node itself can announce a new one. If a third node
//! reports a different incarnation, this node first pings the member concerned.

mod failure_detector;
mod gossip;
mod member_table;
mod options;
mod probe;
mod targets;

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::internal::{MemberRecord, MemberState, MembershipMessage};
use shaletrail_protocol::{Incarnation, Millis, NodeId};

pub use options::{Options, MAX_MEMBERS, MAX_MESSAGE_RECORDS, MAX_SEEDS};

use member_table::MemberTable;
use probe::Probe;

use crate::send_queue::SendQueue;
use crate::stable_hash::first_message_number;

/// One coordinator's view of the membership.
#[derive(Debug)]
pub struct Membership {
    options: Options,
    own: MemberRecord,
    table: MemberTable,
    seeds: Vec<NodeId>,
    /// The voters, each with the start of its detection time-out: when it became a voter, or the end of the last stall.
    voters: BTreeMap<NodeId, Millis>,
    /// The nodes that this one pings.
    targets: BTreeSet<NodeId>,
    /// Whether `targets` must be computed again.
    targets_stale: bool,
    probes: BTreeMap<NodeId, Probe>,
    last_ping_number: u64,
    last_tick: Millis,
    last_full_exchange: BTreeMap<NodeId, Millis>,
    send_queue: SendQueue<MembershipMessage>,
}

impl Membership {
    /// A membership that knows only its seeds; their states are unknown until they answer.
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
            table: MemberTable::default(),
            seeds: Vec::new(),
            voters: BTreeMap::new(),
            targets: BTreeSet::new(),
            targets_stale: true,
            probes: BTreeMap::new(),
            last_ping_number: first_message_number(incarnation),
            last_tick: now,
            last_full_exchange: BTreeMap::new(),
            send_queue: SendQueue::default(),
        };
        membership.add_seeds(seeds);
        membership
    }

    /// Adds seeds. The oldest are dropped if there are more than [`MAX_SEEDS`].
    pub fn add_seeds(&mut self, seeds: &[NodeId]) {
        self.seeds.retain(|seed| !seeds.contains(seed));
        self.seeds.extend(seeds.iter().filter(|seed| **seed != self.own.node));
        self.seeds.drain(..self.seeds.len().saturating_sub(MAX_SEEDS));
        self.targets_stale = true;
    }

    /// Sets the current voters, of which at most [`MAX_MEMBERS`] are kept. This node pings them even if it is not one
    /// of their monitors.
    pub fn set_voters(&mut self, voters: &[NodeId]) {
        let voters: BTreeSet<NodeId> =
            voters.iter().copied().filter(|node| *node != self.own.node).take(MAX_MEMBERS).collect();
        if voters.iter().eq(self.voters.keys()) {
            return;
        }
        let since = |node: NodeId| self.voters.get(&node).copied().unwrap_or(self.last_tick);
        self.voters = voters.into_iter().map(|node| (node, since(node))).collect();
        self.targets_stale = true;
    }

    /// Detects failures and queues the pings that are due. Must be called at the time that [`Membership::next_wake`]
    /// returns.
    pub fn tick(&mut self, now: Millis) {
        self.restart_timeouts_after_stall(now);
        self.detect_failures(now);
        self.forget_dead(now);
        self.update_targets(now);
        self.ping_due_targets(now);
        self.last_tick = now;
    }

    /// The time at which [`Membership::tick`] must be called next.
    pub fn next_wake(&self) -> Millis {
        if self.targets_stale {
            return self.last_tick;
        }
        let next_ping =
            self.targets.iter().filter_map(|node| self.probes.get(node)).map(Probe::next_ping).min();
        let latest = self.last_tick + self.options.ping_interval_ms;
        next_ping.map_or(latest, |next_ping| next_ping.min(latest))
    }

    /// Takes the queued messages, each with its receiver.
    pub fn take_messages(&mut self) -> Vec<(NodeId, MembershipMessage)> {
        self.send_queue.take()
    }

    /// Takes the members whose records were changed or removed since the last call.
    pub fn take_changed(&mut self) -> Vec<NodeId> {
        self.table.take_changed()
    }

    /// This node and all members that are not dead (suspects included), sorted by address.
    pub fn alive(&self) -> Vec<NodeId> {
        let others = self.table.records().filter(|record| record.state != MemberState::Dead);
        let mut alive: Vec<NodeId> = others.map(|record| record.node).chain([self.own.node]).collect();
        alive.sort_unstable();
        alive
    }

    /// The state of a coordinator; `None` if there is no record of it.
    pub fn state(&self, node: NodeId) -> Option<MemberState> {
        self.record(node).map(|record| record.state)
    }

    /// Whether a node is dead, or is a voter that has had no record for as long as failure detection takes.
    pub fn is_unreachable(&self, node: NodeId) -> bool {
        let detection_ms = self.options.ping_timeout_ms + self.options.suspicion_timeout_ms;
        match self.state(node) {
            Some(state) => state == MemberState::Dead,
            None => self.voters.get(&node).is_some_and(|since| since + detection_ms <= self.last_tick),
        }
    }

    /// The record of a coordinator, this node included; `None` if there is none.
    pub fn record(&self, node: NodeId) -> Option<&MemberRecord> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.table.record(node)
    }

    /// The records of this node, which comes first, and of all known members, dead ones included.
    pub fn members(&self) -> Vec<MemberRecord> {
        [&self.own].into_iter().chain(self.table.records()).cloned().collect()
    }

    /// Whether the node has answered a ping that was sent within the last `within_ms` milliseconds, which shows that
    /// the network worked in both directions. Always false for nodes that this one does not ping.
    pub fn has_contact_within(&self, node: NodeId, now: Millis, within_ms: Millis) -> bool {
        let sent_at = self.probes.get(&node).and_then(Probe::answered_ping_sent_at);
        sent_at.is_some_and(|sent_at| now.saturating_sub(sent_at) <= within_ms)
    }

    /// Whether more than half of the voters have answered pings that were sent within the last `within_ms`
    /// milliseconds. If this node is a voter, it counts as one that has answered.
    pub fn has_quorum_contact(&self, now: Millis, voters: &[NodeId], within_ms: Millis) -> bool {
        let voters: BTreeSet<NodeId> = voters.iter().copied().collect();
        let answering = voters
            .iter()
            .filter(|node| **node == self.own.node || self.has_contact_within(**node, now, within_ms));
        answering.count() * 2 > voters.len()
    }
}
