//! Calls of the operator and requests of clients.

use shaletrail_protocol::{Millis, NodeId};

use super::{Fleet, Machine, Process};
use crate::edge::Edge;
use crate::fixtures;
use crate::observer::ClientRequest;

impl Fleet {
    /// The operator creates a change that replaces the known configuration, and sends it until it is answered. Returns the
    /// number of the change.
    pub fn replace(&mut self) -> u64 {
        let change = self.create_change();
        self.operator.send_change(&mut self.world, change, None);
        change
    }

    /// Creates a change that replaces the known configuration, without sending it. Returns the number of the change.
    pub fn create_change(&mut self) -> u64 {
        let base = self.operator.known_version();
        let version = base + self.world.random_range(1..=3);
        self.operator.create_replacement(&mut self.world, base, version)
    }

    /// Sends or resends a change until it is answered, to random coordinators.
    pub fn send_change(&mut self, change: u64) {
        self.operator.send_change(&mut self.world, change, None);
    }

    /// Sends a change until it is answered, to one coordinator only.
    pub fn send_only_to(&mut self, node: NodeId, change: u64) {
        self.operator.send_change(&mut self.world, change, Some(node));
    }

    /// Sends a change until it is answered, the first attempt to `node`.
    pub fn send_first_to(&mut self, node: NodeId, change: u64) {
        self.operator.send_change_first_to(&mut self.world, change, node);
    }

    /// The operator creates a change of one item of the known configuration, and sends it until it is answered. Returns the
    /// number of the change.
    pub fn update(&mut self) -> u64 {
        let version = self.operator.known_version() + self.world.random_range(1..=3);
        let change = self.operator.create_update(&mut self.world, version);
        self.operator.send_change(&mut self.world, change, None);
        change
    }

    /// Sends a replacement of the configuration and waits for its acknowledgement. Returns the number of the change.
    ///
    /// # Panics
    /// It is not acknowledged within `limit`, in milliseconds.
    pub fn replace_within(&mut self, limit: Millis) -> u64 {
        let change = self.replace();
        let acknowledged = self.run_until(limit, |fleet| fleet.world.observer.is_acknowledged(change));
        assert!(acknowledged, "change {change} not acknowledged within {limit} ms\n{}", self.describe());
        change
    }

    /// Reads the configuration. Returns the number of the change that created it; 0 for none.
    ///
    /// # Panics
    /// No response comes within `limit`, in milliseconds.
    pub fn read_within(&mut self, limit: Millis) -> u64 {
        let call = self.operator.read(&mut self.world, None);
        let answered = self.run_until(limit, |fleet| !fleet.operator.is_pending(call));
        assert!(answered, "read not answered within {limit} ms\n{}", self.describe());
        let read = self.world.observer.reads.iter().rev().find(|read| read.call == call);
        read.and_then(|read| fixtures::change_in_document(&read.document)).unwrap_or_default()
    }

    /// Whether all running edges have applied a change.
    pub fn is_applied_everywhere(&self, change: u64) -> bool {
        self.edges()
            .iter()
            .filter_map(|node| self.edge(*node))
            .all(|edge| fixtures::change_in_view(edge.view()) == Some(change))
    }

    /// The number of edges that can route to servers and poll a coordinator that knows at least this many servers.
    pub(crate) fn edges_knowing_servers(&self, servers: usize) -> usize {
        let knows = |node: &&NodeId| {
            let polled =
                self.edge(**node).and_then(Edge::polled_coordinator).and_then(|node| self.coordinator(node));
            polled.is_some_and(|coordinator| coordinator.core().directory().records().count() >= servers)
                && self.edge(**node).is_some_and(|edge| edge.router().is_usable(0))
        };
        self.edges().iter().filter(knows).count()
    }

    // ---- Clients ---------------------------------------------------------------------------------------

    /// A client sends a request to an edge, which ignores it unless it runs and is not frozen. Returns the request's number.
    pub fn send_request(&mut self, node: NodeId, client_request: ClientRequest) -> u64 {
        let number = self.world.next_id();
        let machine = self.machines.get_mut(&node).filter(|machine| machine.frozen.is_none());
        if let Some(Machine { process: Some(Process::Edge(edge)), .. }) = machine {
            edge.handle_client_request(&mut self.world, number, client_request);
        }
        number
    }

    /// A client sends a request for a model on a path of the fixtures. Returns the request's number.
    pub fn request_model(&mut self, node: NodeId, path: &str, model: usize, adapter: Option<&str>) -> u64 {
        let client_request = ClientRequest {
            host: fixtures::HOST.to_owned(),
            path: format!("{path}x"),
            model: Some(fixtures::model_name(model)),
            adapter: adapter.map(str::to_owned),
            deadline_ms: None,
        };
        self.send_request(node, client_request)
    }

    /// A client sends a request to the service without models. Returns the request's number.
    pub fn request_web(&mut self, node: NodeId) -> u64 {
        let path = format!("{}x", fixtures::WEB_PATH);
        self.send_request(
            node,
            ClientRequest { host: fixtures::HOST.to_owned(), path, ..ClientRequest::default() },
        )
    }

    /// The status with which a request was answered; `None` if it has no response yet.
    pub fn status(&self, request: u64) -> Option<u16> {
        self.world.observer.requests.get(&request)?.response.map(|(_, status)| status)
    }
}
