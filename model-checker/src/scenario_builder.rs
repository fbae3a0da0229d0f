//! Builds the initial state of a scenario: elects node 1 in a new group and then applies inputs one by one.

use std::sync::Arc;

use shaletrail_protocol::{Millis, NodeId};

use crate::cluster_state::ClusterState;
use crate::group_options::{GroupOptions, BOOTSTRAP_ELECTION_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS};
use crate::input::{Envelope, Input};
use crate::transition::FaultBudget;
use crate::transition_cache::TransitionCache;

/// An initial state under construction. Panics if an invariant is violated while it is built.
pub(crate) struct ScenarioBuilder {
    state: ClusterState,
    cache: TransitionCache,
}

impl ScenarioBuilder {
    /// A newly bootstrapped group led by node 1, with no message in flight.
    pub fn led_by_1(options: GroupOptions) -> ScenarioBuilder {
        let mut builder =
            ScenarioBuilder { state: ClusterState::bootstrapped(options), cache: TransitionCache::default() };
        builder.advance(BOOTSTRAP_ELECTION_TIMEOUT_MS).input(1, Input::Tick).deliver_all();
        // The heartbeat tells all followers the last commit index; their responses tell the leader that they have it.
        builder.advance(HEARTBEAT_INTERVAL_MS).input(1, Input::Tick).deliver_all();
        builder
    }

    /// Advances the clock by a number of milliseconds.
    pub fn advance(&mut self, ms: Millis) -> &mut Self {
        self.state.now += ms;
        self
    }

    /// Applies one input to a node.
    pub fn input(&mut self, node: u32, input: Input) -> &mut Self {
        let result = self.state.step_node(NodeId(node), &input, &mut self.cache);
        result.unwrap_or_else(|violation| {
            panic!("invariant violated while building the initial state: {violation}")
        });
        self
    }

    /// Delivers all messages of a kind that are currently in flight between two nodes.
    pub fn deliver(&mut self, from: u32, to: u32, kind: &str) -> &mut Self {
        let is_selected = |envelope: &Arc<Envelope>| {
            (envelope.from.0, envelope.to.0, envelope.message.name()) == (from, to, kind)
        };
        let in_flight = std::mem::take(&mut self.state.in_flight);
        let (mut selected, others): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(is_selected);
        self.state.in_flight = others;
        assert!(!selected.is_empty(), "no {kind} from {from} to {to} is in flight");
        // Sorting by debug text delivers appends in the order of their entries.
        selected.sort_by_key(|envelope| format!("{:?}", envelope.message));
        for envelope in selected {
            self.input(to, Input::Receive(envelope));
        }
        self
    }

    /// Delivers appends, snapshots and their responses between two nodes until none are in flight.
    pub fn replicate(&mut self, leader: u32, follower: u32) -> &mut Self {
        let is_replication = |envelope: &Arc<Envelope>| {
            let (from, to, kind) = (envelope.from.0, envelope.to.0, envelope.message.name());
            (from, to) == (leader, follower) && matches!(kind, "Append" | "InstallSnapshot")
                || (from, to) == (follower, leader) && kind == "AppendResponse"
        };
        while let Some(position) = self.state.in_flight.iter().position(is_replication) {
            let envelope = self.state.in_flight.remove(position);
            self.input(envelope.to.0, Input::Receive(envelope));
        }
        self
    }

    /// Drops all messages in flight.
    pub fn drop_all(&mut self) -> &mut Self {
        self.state.in_flight.clear();
        self
    }

    /// Drops all messages of a kind.
    pub fn drop_kind(&mut self, kind: &str) -> &mut Self {
        self.state.in_flight.retain(|envelope| envelope.message.name() != kind);
        self
    }

    /// Drops all messages addressed to a node.
    pub fn drop_all_to(&mut self, node: u32) -> &mut Self {
        self.state.in_flight.retain(|envelope| envelope.to.0 != node);
        self
    }

    /// Completes syncs and delivers messages until none are pending.
    pub fn deliver_all(&mut self) -> &mut Self {
        loop {
            let syncing = self.state.nodes.iter().find(|node| node.is_syncing());
            if let Some(node) = syncing.map(|node| node.id) {
                self.input(node.0, Input::Sync);
            } else if let Some(envelope) = self.state.in_flight.pop() {
                self.input(envelope.to.0, Input::Receive(envelope));
            } else {
                return self;
            }
        }
    }

    /// Returns the initial state with this fault budget.
    pub fn build(&self, budget: FaultBudget) -> ClusterState {
        let mut initial_state = self.state.clone();
        initial_state.budget = budget;
        initial_state
    }
}
