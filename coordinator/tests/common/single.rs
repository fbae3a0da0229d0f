//! A single coordinator whose clock and disk are driven by a test. Its messages to other nodes are not delivered.

use shaletrail_coordinator::core::Coordinator;
use shaletrail_coordinator::interface::{Action, CallId, Event, StateChange};
use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::{OperatorCall, OperatorResponse, PollRequest, PollResponse};
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_storage::StoredRecord;

use super::{
    coordinator_options, edge_identity, heartbeat, node, replace_call, responses, EDGE, START, TICK,
};

/// Longer than an election takes.
pub const ELECTION: Millis = 2_000;

/// A coordinator with its clock and the actions that it has emitted.
pub struct SingleCoordinator {
    pub core: Coordinator,
    pub now: Millis,
    /// Whether records are synced as soon as they are persisted.
    pub syncs: bool,
    /// All actions except those that persist records.
    pub actions: Vec<Action>,
    unsynced: Option<u64>,
    next_call: u64,
}

impl SingleCoordinator {
    /// Bootstraps the first of `coordinators` nodes. The others do not exist, so it never receives their messages.
    pub fn new(coordinators: u8) -> Self {
        SingleCoordinator::start(coordinators, true, Vec::new(), Incarnation(77))
    }

    /// Like [`SingleCoordinator::new`], with this incarnation.
    pub fn with_incarnation(coordinators: u8, incarnation: u64) -> Self {
        SingleCoordinator::start(coordinators, true, Vec::new(), Incarnation(incarnation))
    }

    /// The only coordinator of its system, after it has become the leader of all shards.
    pub fn leading() -> Self {
        let mut coordinator = SingleCoordinator::new(1);
        coordinator.run(ELECTION);
        coordinator
    }

    /// The first of three nodes, after it has failed to be elected for lack of a quorum.
    pub fn without_quorum() -> Self {
        let mut coordinator = SingleCoordinator::new(3);
        coordinator.run(ELECTION);
        coordinator
    }

    /// The only coordinator of its system, restarted with these records on its disk.
    pub fn restarted(stored: Vec<StoredRecord>) -> Self {
        SingleCoordinator::start(1, false, stored, Incarnation(77))
    }

    fn start(coordinators: u8, bootstrap: bool, stored: Vec<StoredRecord>, incarnation: Incarnation) -> Self {
        let seeds: Vec<NodeId> = (1..=coordinators).map(node).collect();
        let hosts_lost = usize::from(coordinators / 2);
        let options = coordinator_options(node(1), &seeds, bootstrap, hosts_lost, incarnation);
        let core = Coordinator::new(options, stored, START);
        SingleCoordinator { core, now: START, syncs: true, actions: Vec::new(), unsynced: None, next_call: 0 }
    }

    /// Handles an event, and the completed syncs that result from it.
    pub fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.core.handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Persist { ticket, .. } if self.syncs => {
                        events.push(Event::Persisted { ticket, wants_checkpoint: false });
                    }
                    Action::Persist { ticket, .. } => self.unsynced = Some(ticket),
                    other => self.actions.push(other),
                }
            }
        }
    }

    /// The ticket of the latest records that are not synced; `None` if all are.
    pub fn unsynced_ticket(&self) -> Option<u64> {
        self.unsynced
    }

    /// Completes the sync of all persisted records, and from now on syncs records immediately.
    pub fn sync(&mut self) {
        self.syncs = true;
        if let Some(ticket) = self.unsynced.take() {
            self.handle(Event::Persisted { ticket, wants_checkpoint: false });
        }
    }

    /// Advances the clock, with ticks.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            self.handle(Event::Tick);
        }
    }

    fn new_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    /// Sends a call of the operator.
    pub fn operator_call(&mut self, request: OperatorCall) -> CallId {
        let call = self.new_call();
        self.handle(Event::OperatorCall { call, request });
        call
    }

    /// Sends a call of the operator that replaces the configuration.
    pub fn replace_config(&mut self, base_version: u64, body: &str) -> CallId {
        self.operator_call(replace_call(base_version, body))
    }

    /// Returns the response to a call of the operator, if there is one.
    pub fn operator_response(&self, call: CallId) -> Option<&OperatorResponse> {
        responses::operator_response(&self.actions, call)
    }

    /// Sends a heartbeat of a server.
    pub fn heartbeat(&mut self, id: &str, state: ServerState, sequence: u64) -> CallId {
        let call = self.new_call();
        self.handle(Event::Heartbeat { call, id: id.to_owned(), heartbeat: heartbeat(state, sequence) });
        call
    }

    /// Returns whether a call of a server was acknowledged; `None` if it is not answered yet.
    pub fn server_response(&self, call: CallId) -> Option<bool> {
        responses::server_response(&self.actions, call)
    }

    /// Sends a poll of an edge.
    pub fn poll(&mut self, request: PollRequest) -> CallId {
        let call = self.new_call();
        self.handle(Event::Poll { call, edge: edge_identity(EDGE), request });
        call
    }

    /// Returns the response to a poll, if there is one.
    pub fn poll_response(&self, call: CallId) -> Option<&PollResponse> {
        responses::poll_response(&self.actions, call)
    }

    /// Requests a checkpoint on behalf of the journal, and returns its records.
    pub fn checkpoint(&mut self) -> Vec<(u32, Vec<u8>)> {
        self.handle(Event::Persisted { ticket: 0, wants_checkpoint: true });
        responses::checkpoint(&self.actions).expect("a checkpoint is written")
    }

    /// Returns whether a state change that satisfies the predicate was logged.
    pub fn has_logged(&self, predicate: impl Fn(&StateChange) -> bool) -> bool {
        responses::has_logged(&self.actions, predicate)
    }
}
