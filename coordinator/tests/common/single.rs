//! One coordinator, alone with a clock and a disk that a test drives by hand.

use shaletrail_coordinator::core::Coordinator;
use shaletrail_coordinator::interface::{Action, CallId, Event, StateChange};
use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::{OperatorCall, OperatorResponse, PollRequest, PollResponse};
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_storage::StoredRecord;

use super::{
    coordinator_options, edge_identity, heartbeat, node, replace_call, responses, EDGE, START, TICK,
};

/// Long enough for an election among the coordinators that are there.
pub const ELECTION: Millis = 2_000;

/// A coordinator with its clock.
pub struct SingleCoordinator {
    pub core: Coordinator,
    pub now: Millis,
    /// Whether records are synced as soon as they are handed to the disk.
    pub syncs: bool,
    /// All actions but those that persist records.
    pub actions: Vec<Action>,
    unsynced: Option<u64>,
    next_call: u64,
}

impl SingleCoordinator {
    /// The first of `coordinators` nodes that start for the first time; the others are never heard.
    pub fn new(coordinators: u8) -> Self {
        SingleCoordinator::start(coordinators, true, Vec::new(), Incarnation(77))
    }

    /// The same, with this incarnation.
    pub fn with_incarnation(coordinators: u8, incarnation: u64) -> Self {
        SingleCoordinator::start(coordinators, true, Vec::new(), Incarnation(incarnation))
    }

    /// The only coordinator of its system, once it leads all shards.
    pub fn leading() -> Self {
        let mut coordinator = SingleCoordinator::new(1);
        coordinator.run(ELECTION);
        coordinator
    }

    /// The first of three nodes, once it has tried to be elected; it has no quorum.
    pub fn without_quorum() -> Self {
        let mut coordinator = SingleCoordinator::new(3);
        coordinator.run(ELECTION);
        coordinator
    }

    /// The only coordinator of its system, restarted with what its disk holds.
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

    /// Handles an event, and the syncs that follow from it.
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

    /// Syncs all records that were handed to the disk, and all later ones at once.
    pub fn sync(&mut self) {
        self.syncs = true;
        if let Some(ticket) = self.unsynced.take() {
            self.handle(Event::Persisted { ticket, wants_checkpoint: false });
        }
    }

    /// Lets time pass, with ticks.
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

    /// The operator calls.
    pub fn operator_call(&mut self, request: OperatorCall) -> CallId {
        let call = self.new_call();
        self.handle(Event::OperatorCall { call, request });
        call
    }

    /// The operator replaces the configuration.
    pub fn replace_config(&mut self, base_version: u64, body: &str) -> CallId {
        self.operator_call(replace_call(base_version, body))
    }

    /// The response to an operator's call, if there is one.
    pub fn operator_response(&self, call: CallId) -> Option<&OperatorResponse> {
        responses::operator_response(&self.actions, call)
    }

    /// A server sends a heartbeat.
    pub fn heartbeat(&mut self, id: &str, state: ServerState, sequence: u64) -> CallId {
        let call = self.new_call();
        self.handle(Event::Heartbeat { call, id: id.to_owned(), heartbeat: heartbeat(state, sequence) });
        call
    }

    /// Whether a server's call was acknowledged, if it is answered.
    pub fn server_response(&self, call: CallId) -> Option<bool> {
        responses::server_response(&self.actions, call)
    }

    /// An edge polls.
    pub fn poll(&mut self, request: PollRequest) -> CallId {
        let call = self.new_call();
        self.handle(Event::Poll { call, edge: edge_identity(EDGE), request });
        call
    }

    /// The response to a poll, if there is one.
    pub fn poll_response(&self, call: CallId) -> Option<&PollResponse> {
        responses::poll_response(&self.actions, call)
    }

    /// The journal asks for a checkpoint; its records.
    pub fn checkpoint(&mut self) -> Vec<(u32, Vec<u8>)> {
        self.handle(Event::Persisted { ticket: 0, wants_checkpoint: true });
        responses::checkpoint(&self.actions).expect("a checkpoint is written")
    }

    /// Whether a state change that satisfies the predicate was logged.
    pub fn has_logged(&self, predicate: impl Fn(&StateChange) -> bool) -> bool {
        responses::has_logged(&self.actions, predicate)
    }
}
