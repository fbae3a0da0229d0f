//! The state of the whole group, and the transitions that it allows.

use std::fmt;
use std::sync::Arc;

use shaletrail_protocol::{Millis, NodeId};

use crate::config_changes::CHANGE_COUNT;
use crate::fingerprint::{self, Fingerprint};
use crate::group_options::GroupOptions;
use crate::input::{Envelope, Input};
use crate::invariants::{InvariantChecker, InvariantViolation};
use crate::node::Node;
use crate::observation::Observation;
use crate::transition::{FaultBudget, Transition};
use crate::transition_cache::TransitionCache;

/// Nodes that found the group.
pub(crate) const FOUNDERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];
/// A node that does not vote at the start.
pub(crate) const LEARNER: NodeId = NodeId(4);
/// The voters after a change: the learner replaces the third founder.
pub(crate) const VOTERS_AFTER_CHANGE: [NodeId; 3] = [NodeId(1), NodeId(2), LEARNER];

/// A state of the group: its nodes, the messages in flight, and what was observed on the path to it.
#[derive(Clone, Debug)]
pub struct ClusterState {
    pub(crate) now: Millis,
    pub(crate) nodes: Vec<Arc<Node>>,
    /// Messages in flight, sorted by fingerprint.
    pub(crate) in_flight: Vec<Arc<Envelope>>,
    pub(crate) budget: FaultBudget,
    invariants: Arc<InvariantChecker>,
    next_read_token: u64,
}

impl ClusterState {
    /// A group that has just been founded, and a learner.
    pub(crate) fn founded(options: GroupOptions) -> ClusterState {
        let ids = FOUNDERS.into_iter().chain([LEARNER]);
        let nodes = ids.map(|id| Arc::new(Node::new(id, options, &FOUNDERS, 0)));
        ClusterState {
            now: 0,
            nodes: nodes.collect(),
            in_flight: Vec::new(),
            budget: FaultBudget::default(),
            invariants: Arc::default(),
            next_read_token: 1,
        }
    }

    /// Of the whole state.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let nodes: Vec<Fingerprint> = self.nodes.iter().map(|node| node.fingerprint).collect();
        let in_flight: Vec<Fingerprint> =
            self.in_flight.iter().map(|envelope| envelope.fingerprint).collect();
        fingerprint::of(&(self.now, nodes, in_flight, &*self.invariants, self.budget, self.next_read_token))
    }

    /// All transitions that the state and its budget allow.
    pub(crate) fn transitions(&self) -> Vec<Transition> {
        let mut transitions = self.deliveries();
        for node in &self.nodes {
            self.add_transitions_of_node(node, &mut transitions);
        }
        if self.budget.clock_advances > 0 {
            transitions.push(Transition::AdvanceClock);
        }
        transitions
    }

    /// Deliveries of each message in flight. Of equal messages the first stands for all.
    fn deliveries(&self) -> Vec<Transition> {
        let is_first_of_equals = |position: &usize| {
            *position == 0
                || self.in_flight[position - 1].fingerprint != self.in_flight[*position].fingerprint
        };
        let positions: Vec<usize> = (0..self.in_flight.len()).filter(is_first_of_equals).collect();
        let mut transitions: Vec<Transition> = positions.iter().copied().map(Transition::Deliver).collect();
        if self.budget.duplicates > 0 {
            transitions.extend(positions.into_iter().map(Transition::DeliverAndKeep));
        }
        transitions
    }

    fn add_transitions_of_node(&self, node: &Node, transitions: &mut Vec<Transition>) {
        let (id, budget, is_leader) = (node.id, &self.budget, node.replica.is_leader());
        let ticks = if is_leader { budget.leader_ticks } else { budget.election_timeouts };
        if ticks > 0 && node.replica.next_wake() <= self.now {
            transitions.push(Transition::Tick(id));
        }
        if node.is_syncing() {
            transitions.push(Transition::Sync(id));
        }
        if budget.crashes > 0 {
            transitions.push(Transition::Crash { node: id, torn_write: false });
            if node.can_tear_write() {
                transitions.push(Transition::Crash { node: id, torn_write: true });
            }
        }
        let other_disks_intact = self.nodes.iter().all(|other| other.id == id || !other.is_recovering_disk());
        if budget.disk_losses > 0 && other_disks_intact {
            transitions.push(Transition::LoseDisk(id));
        }
        if is_leader {
            self.add_transitions_of_leader(id, transitions);
        }
    }

    fn add_transitions_of_leader(&self, leader: NodeId, transitions: &mut Vec<Transition>) {
        if self.budget.leadership_transfers > 0 {
            transitions.push(Transition::TransferLeadership(leader));
        }
        if self.budget.voter_changes > 0 {
            transitions.push(Transition::ChangeVoters(leader));
        }
        if self.budget.reads > 0 {
            transitions.push(Transition::Read(leader));
        }
        let changes = (0..CHANGE_COUNT).filter(|change| self.budget.proposals & (1 << change) != 0);
        transitions.extend(changes.map(|change| Transition::Propose { node: leader, change }));
    }

    /// The state after a transition; `None` where a message was delivered and did nothing, which is the same as its loss.
    pub(crate) fn apply(
        &self,
        transition: &Transition,
        cache: &mut TransitionCache,
    ) -> Option<Result<ClusterState, InvariantViolation>> {
        let mut next = self.clone();
        next.budget.spend(transition, |node| self.node(node).replica.is_leader());
        if matches!(transition, Transition::AdvanceClock) {
            next.now += Millis::from(next.budget.clock_advance_ms);
            return Some(Ok(next));
        }
        let (node, input) = next.take_input(transition)?;
        let is_delivery = matches!(transition, Transition::Deliver(_) | Transition::DeliverAndKeep(_));
        match next.step_node(node, &input, cache) {
            Ok(changed) if is_delivery && !changed => None,
            Ok(_) => Some(Ok(next)),
            Err(violation) => Some(Err(violation)),
        }
    }

    /// The node that a transition concerns and its input; `None` if it concerns no node.
    fn take_input(&mut self, transition: &Transition) -> Option<(NodeId, Input)> {
        let node_and_input = match transition {
            Transition::AdvanceClock => return None,
            Transition::Deliver(position) => {
                let envelope = self.in_flight.remove(*position);
                (envelope.to, Input::Receive(envelope))
            }
            Transition::DeliverAndKeep(position) => {
                let envelope = self.in_flight[*position].clone();
                (envelope.to, Input::Receive(envelope))
            }
            Transition::Sync(node) => (*node, Input::Sync),
            Transition::Tick(node) => (*node, Input::Tick),
            Transition::Crash { node, torn_write } => (*node, Input::Crash { torn_write: *torn_write }),
            Transition::LoseDisk(node) => (*node, Input::LoseDisk),
            Transition::TransferLeadership(node) => (*node, Input::TransferLeadership),
            Transition::ChangeVoters(node) => (*node, Input::ChangeVoters(VOTERS_AFTER_CHANGE.to_vec())),
            Transition::Propose { node, change } => (*node, Input::Propose(*change)),
            Transition::Read(node) => (*node, Input::Read(self.begin_read())),
        };
        Some(node_and_input)
    }

    fn begin_read(&mut self) -> u64 {
        let token = self.next_read_token;
        self.next_read_token += 1;
        Arc::make_mut(&mut self.invariants).begin_read(token);
        token
    }

    /// Gives a node an input and checks the invariants; whether the node changed or sent anything.
    pub(crate) fn step_node(
        &mut self,
        node: NodeId,
        input: &Input,
        cache: &mut TransitionCache,
    ) -> Result<bool, InvariantViolation> {
        let position = self.position_of(node);
        let transition = cache.step(&self.nodes[position], self.now, input);
        let sent = &transition.output.sent;
        let changed = transition.node.fingerprint != self.nodes[position].fingerprint || !sent.is_empty();
        self.nodes[position] = transition.node.clone();
        for envelope in sent {
            let at = self.in_flight.partition_point(|other| other.fingerprint < envelope.fingerprint);
            self.in_flight.insert(at, envelope.clone());
        }
        self.check_observations(node, &transition.output.observations)?;
        self.check_leader_leases()?;
        Ok(changed)
    }

    fn check_observations(
        &mut self,
        node: NodeId,
        observations: &[Observation],
    ) -> Result<(), InvariantViolation> {
        if observations.is_empty() {
            return Ok(());
        }
        let invariants = Arc::make_mut(&mut self.invariants);
        observations.iter().try_for_each(|observation| invariants.observe(node, observation))
    }

    fn check_leader_leases(&self) -> Result<(), InvariantViolation> {
        let holders = self.nodes.iter().filter(|node| node.replica.is_leader_with_lease(self.now));
        let holders: Vec<NodeId> = holders.map(|node| node.id).collect();
        InvariantChecker::check_leader_leases(self.now, &holders)
    }

    fn position_of(&self, node: NodeId) -> usize {
        self.nodes.iter().position(|other| other.id == node).expect("messages go to nodes of the group")
    }

    fn node(&self, id: NodeId) -> &Node {
        &self.nodes[self.position_of(id)]
    }

    /// A transition from this state as a line of a path.
    pub(crate) fn describe(&self, transition: &Transition) -> String {
        match transition {
            Transition::Deliver(position) => self.describe_delivery("deliver", *position),
            Transition::DeliverAndKeep(position) => self.describe_delivery("deliver and keep", *position),
            Transition::Propose { node, change } => {
                format!("operator proposes change {change} to {}", node.0)
            }
            Transition::AdvanceClock => {
                format!("the clock advances by {} ms", self.budget.clock_advance_ms)
            }
            other => format!("{other:?}"),
        }
    }

    fn describe_delivery(&self, verb: &str, position: usize) -> String {
        let envelope = &self.in_flight[position];
        format!("{verb} {} -> {}: {:?}", envelope.from.0, envelope.to.0, envelope.message)
    }
}

impl fmt::Display for ClusterState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "at {} ms, {} messages in flight", self.now, self.in_flight.len())?;
        for node in &self.nodes {
            let replica = &node.replica;
            writeln!(
                formatter,
                "  {}: {} in term {}, last {:?}, commit {}, voters {:?}, recovering {}",
                node.id.0,
                replica.role(),
                replica.term(),
                replica.last_position(),
                replica.commit_index(),
                replica.voters(),
                replica.is_recovering(),
            )?;
        }
        Ok(())
    }
}
