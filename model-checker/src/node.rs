//! One node: a replica, its disk and its state machine, connected in the same way as in a coordinator.

use std::collections::BTreeMap;
use std::sync::Arc;

use shaletrail_configuration::ChangeOutcome;
use shaletrail_consensus::{Effect, Entry, Index, LogPosition, Options, Payload, Record, Replica, Term};
use shaletrail_coordinator::core::lease_state::{LeaseEpoch, LeaseHolder, LeaseState};
use shaletrail_protocol::{Millis, NodeId};

use crate::config_changes::{self, ChangeId};
use crate::disk::Disk;
use crate::fingerprint::{self, Fingerprint};
use crate::group_options::{
    GroupOptions, StateMachineKind, BOOTSTRAP_ELECTION_TIMEOUT_MS, ELECTION_TIMEOUT_MS,
};
use crate::input::{Envelope, Input};
use crate::observation::{EvaluatedOutcome, Observation};
use crate::order_leadership::Leadership;
use crate::state_machine::{CommandResult, StateMachine};

/// The result of applying an input to a node.
#[derive(Clone, Debug)]
pub(crate) struct NodeTransition {
    /// The node's next state.
    pub node: Arc<Node>,
    /// The messages and observations that the transition produced.
    pub output: NodeOutput,
}

/// Messages and observations produced by a transition.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeOutput {
    /// Messages to other nodes.
    pub sent: Vec<Arc<Envelope>>,
    /// What the node did, for the invariant checks.
    pub observations: Vec<Observation>,
}

/// The state of one node.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub id: NodeId,
    pub replica: Replica,
    /// Hash of the complete state of the node.
    pub fingerprint: Fingerprint,
    options: GroupOptions,
    /// The number of times the process has restarted.
    restarts: u64,
    disk: Disk,
    state_machine: StateMachine,
    leadership: Option<Leadership>,
    /// Changes proposed during the current leadership, by index, with the term of the proposal.
    proposals: BTreeMap<Index, (Term, ChangeId)>,
    /// Whether it has ever lost a disk.
    has_lost_disk: bool,
}

impl Node {
    /// A node that starts for the first time, as a member of the new group if it is one of the initial voters.
    pub fn new(id: NodeId, options: GroupOptions, initial_voters: &[NodeId], now: Millis) -> Node {
        let is_initial_voter = initial_voters.contains(&id);
        let mut replica = Replica::new(replica_options(id, 0, &options, !is_initial_voter), Vec::new(), now);
        if is_initial_voter {
            replica.bootstrap(now, initial_voters);
        }
        let mut node = Node {
            id,
            replica,
            fingerprint: 0,
            options,
            restarts: 0,
            disk: Disk::default(),
            state_machine: StateMachine::new(options.state_machine),
            leadership: None,
            proposals: BTreeMap::new(),
            has_lost_disk: false,
        };
        node.process_effects(now, &mut NodeOutput::default());
        while node.sync(now) {
            node.process_effects(now, &mut NodeOutput::default());
        }
        node.update_fingerprint();
        node
    }

    /// Whether a disk write is pending.
    pub fn is_syncing(&self) -> bool {
        self.disk.is_syncing()
    }

    /// Whether a crash can tear the next write to be synced.
    pub fn can_tear_write(&self) -> bool {
        self.disk.can_tear()
    }

    /// Whether the node has lost its disk and has not synced a leader's permission to rejoin.
    pub fn is_recovering_disk(&self) -> bool {
        self.has_lost_disk && self.disk.is_recovering().unwrap_or(true)
    }

    /// Returns the node after an input, with its output.
    pub fn step(&self, now: Millis, input: &Input) -> NodeTransition {
        let mut node = self.clone();
        let mut output = NodeOutput::default();
        node.handle(now, input);
        node.process_effects(now, &mut output);
        if node.record_completed_wait(now) {
            node.process_effects(now, &mut output);
        }
        self.observe_lost_order_lease(now, &node, &mut output);
        node.observe_order_lease(&mut output);
        node.update_fingerprint();
        NodeTransition { node: Arc::new(node), output }
    }

    fn update_fingerprint(&mut self) {
        let process = (&self.leadership, &self.proposals, self.restarts, self.has_lost_disk);
        self.fingerprint = fingerprint::of(&(
            fingerprint::of_debug(&self.replica),
            fingerprint::of_debug(&self.disk),
            fingerprint::of_debug(&process),
            self.state_machine.snapshot(),
            self.id,
        ));
    }

    fn handle(&mut self, now: Millis, input: &Input) {
        // Errors are ignored: a call that the replica rejects leaves it unchanged.
        match input {
            Input::Receive(envelope) => {
                self.replica.receive(now, envelope.from, envelope.message.clone());
            }
            Input::Sync => {
                self.sync(now);
            }
            Input::Tick => self.replica.tick(now),
            Input::Crash { torn_write } => self.crash(now, *torn_write),
            Input::LoseDisk => self.lose_disk(now),
            Input::TransferLeadership => self.replica.transfer_leadership(now),
            Input::AddLearner(learner) => drop(self.replica.add_learner(*learner)),
            Input::ChangeVoters(voters) => drop(self.replica.change_voters(now, voters.clone())),
            Input::Propose(change) => self.propose(now, *change),
            Input::Read(token) => drop(self.replica.read(now, *token)),
        }
    }

    fn propose(&mut self, now: Millis, change: ChangeId) {
        let term = self.replica.term();
        if let Ok(index) = self.replica.propose(now, config_changes::get(change).encode()) {
            self.proposals.insert(index, (term, change));
        }
    }

    fn crash(&mut self, now: Millis, torn_write: bool) {
        self.disk.crash(torn_write);
        self.restart(now, false);
    }

    fn lose_disk(&mut self, now: Millis) {
        self.disk = Disk::default();
        self.has_lost_disk = true;
        self.restart(now, true);
    }

    fn restart(&mut self, now: Millis, recovering: bool) {
        self.restarts += 1;
        self.state_machine = StateMachine::new(self.options.state_machine);
        self.leadership = None;
        self.proposals.clear();
        let options = replica_options(self.id, self.restarts, &self.options, recovering);
        self.replica = Replica::new(options, self.disk.synced().to_vec(), now);
    }

    /// Completes the oldest write. Returns false if none is pending.
    fn sync(&mut self, now: Millis) -> bool {
        let Some(ticket) = self.disk.sync() else { return false };
        self.replica.persisted(now, ticket);
        true
    }

    fn has_slow_disk(&self) -> bool {
        self.options.slow_disks & (1 << self.id.0) != 0
    }

    /// Processes effects until none remain. A disk that is not slow syncs whenever no effects remain.
    fn process_effects(&mut self, now: Millis, output: &mut NodeOutput) {
        loop {
            let effects = self.replica.take_effects();
            if effects.is_empty() && (self.has_slow_disk() || !self.sync(now)) {
                return;
            }
            for effect in effects {
                self.process_effect(now, effect, output);
            }
        }
    }

    fn process_effect(&mut self, now: Millis, effect: Effect, output: &mut NodeOutput) {
        match effect {
            Effect::Send(to, message) => output.sent.push(Arc::new(Envelope::new(self.id, to, message))),
            Effect::Persist { ticket, records } => self.disk.write(ticket, records),
            Effect::Apply(entry) => self.apply(now, entry, output),
            Effect::InstallSnapshot(snapshot) => {
                self.state_machine.restore(&snapshot.state);
                let state = fingerprint::of(&self.state_machine.snapshot());
                let index = snapshot.index();
                output.observations.push(Observation::InstalledSnapshot { index, state });
            }
            Effect::ReadReady { token, index } => {
                output.observations.push(Observation::ServedRead { token, index });
            }
            Effect::ReadFailed { .. } => {}
            Effect::BecameLeader { term } => self.on_became_leader(now, term, output),
            Effect::LostLeadership { .. } => {
                self.leadership = None;
                self.proposals.clear();
            }
        }
    }

    fn on_became_leader(&mut self, now: Millis, term: Term, output: &mut NodeOutput) {
        self.leadership = Some(Leadership::new(term, now));
        let snapshot_index = self.replica.snapshot_index();
        output.observations.push(Observation::BecameLeader { term, snapshot_index, log: self.log() });
        if self.options.state_machine == StateMachineKind::OrderLease {
            let holder = LeaseHolder { node: self.id, fencing_token: term };
            let _ = self.replica.propose(now, LeaseState::acquire_command(holder));
        }
    }

    fn log(&self) -> Vec<LogPosition> {
        let mut log = Vec::new();
        for record in self.replica.records() {
            if let Record::Entries(entries) = record {
                log.extend(entries.iter().map(Entry::position));
            }
        }
        log
    }

    fn apply(&mut self, now: Millis, entry: Entry, output: &mut NodeOutput) {
        let position = entry.position();
        let payload = fingerprint::of_debug(&entry.payload);
        if let Payload::Command(command) = &entry.payload {
            match self.state_machine.apply(command) {
                CommandResult::Change(change, outcome) => {
                    self.on_change_evaluated(position, change, &outcome, output);
                }
                CommandResult::LeaseEpoch(epoch) => self.on_lease_epoch(now, epoch, output),
                CommandResult::Nothing => {}
            }
        }
        let snapshot = self.state_machine.snapshot();
        let state = fingerprint::of(&snapshot);
        output.observations.push(Observation::Applied { position, payload, state });
        if matches!(entry.payload, Payload::Command(_)) {
            self.replica.compact(entry.index, snapshot);
        }
    }

    /// Records the evaluation of a change. Also records the response to the operator, if this node proposed the change
    /// at this position during its current leadership.
    fn on_change_evaluated(
        &mut self,
        position: LogPosition,
        change: ChangeId,
        outcome: &ChangeOutcome,
        output: &mut NodeOutput,
    ) {
        let index = position.index;
        let outcome = match outcome {
            ChangeOutcome::Accepted => EvaluatedOutcome::Accepted,
            ChangeOutcome::Duplicate => EvaluatedOutcome::Duplicate,
            _ => EvaluatedOutcome::Rejected,
        };
        output.observations.push(Observation::EvaluatedChange { index, change, outcome });
        if self.proposals.remove(&index) == Some((position.term, change)) {
            let acknowledged = outcome != EvaluatedOutcome::Rejected;
            output.observations.push(Observation::RespondedToChange { index, change, acknowledged });
        }
    }

    /// Determines through the coordinator's `OrderLeases` when this leader may send orders.
    fn on_lease_epoch(&mut self, now: Millis, epoch: LeaseEpoch, output: &mut NodeOutput) {
        let Some(leadership) = &mut self.leadership else { return };
        let leads = self.replica.is_leader() && self.replica.term() == epoch.holder.fencing_token;
        let Some(orders_from) = leadership.begin_epoch(now, self.id, epoch, leads) else { return };
        let fencing_token = leadership.term;
        output.observations.push(Observation::AcquiredOrderLease { fencing_token, orders_from });
    }

    /// Proposes the entry that records that the wait for the previous holder's lease is over, as the coordinator does
    /// after each event. Returns whether the entry was proposed.
    fn record_completed_wait(&mut self, now: Millis) -> bool {
        let Some(leadership) = &mut self.leadership else { return false };
        if !leadership.wait_completed(now) {
            return false;
        }
        let holder = LeaseHolder { node: self.id, fencing_token: leadership.term };
        let proposed = self.replica.propose(now, LeaseState::wait_completed_command(holder)).is_ok();
        leadership.must_record_wait = !proposed;
        proposed
    }

    /// Adds an observation if an order lease ended between this state and the next.
    fn observe_lost_order_lease(&self, now: Millis, next: &Node, output: &mut NodeOutput) {
        let Some(previous) = self.leadership.filter(|previous| previous.orders_from.is_some()) else {
            return;
        };
        if next.leadership.is_none_or(|leadership| leadership.term != previous.term) {
            let fencing_token = previous.term;
            output.observations.push(Observation::LostOrderLease { fencing_token, at: now });
        }
    }

    fn observe_order_lease(&self, output: &mut NodeOutput) {
        let Some(Leadership { term, orders_from: Some(orders_from), .. }) = self.leadership else { return };
        if let Some(until) = self.replica.lease_until().filter(|until| orders_from < *until) {
            output.observations.push(Observation::MayWriteOrders { fencing_token: term, until });
        }
    }
}

fn replica_options(id: NodeId, restarts: u64, group: &GroupOptions, recovering: bool) -> Options {
    let defaults = Options::new(id, u64::from(id.0) + 100 * restarts);
    let max_append_bytes = if group.single_entry_appends { 1 } else { defaults.max_append_bytes };
    Options {
        recovering,
        election_min_ms: ELECTION_TIMEOUT_MS,
        election_max_ms: ELECTION_TIMEOUT_MS,
        bootstrap_election_min_ms: BOOTSTRAP_ELECTION_TIMEOUT_MS,
        bootstrap_election_max_ms: BOOTSTRAP_ELECTION_TIMEOUT_MS,
        max_append_bytes,
        max_probe_bytes: max_append_bytes.min(defaults.max_probe_bytes),
        ..defaults
    }
}
