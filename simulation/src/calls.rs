//! What the operator and clients do at a fleet.

use shaletrail_protocol::{Millis, NodeId};

use crate::edge::Edge;
use crate::fleet::{Fleet, Machine, Process};
use crate::site;
use crate::witness::Ask;

impl Fleet {
    /// The operator replaces the configuration that it knows, and sends that until it is answered. The change.
    pub fn replace(&mut self) -> u64 {
        let change = self.write();
        self.operator.send_change(&mut self.world, change, None);
        change
    }

    /// Writes a replacement of the configuration that is known, and doesn't send it.
    pub fn write(&mut self) -> u64 {
        let base = self.operator.known_version();
        let version = base + self.world.between(1..=3);
        self.operator.write_replacement(&mut self.world, base, version)
    }

    /// Sends a change, perhaps again, until it is answered.
    pub fn send(&mut self, change: u64) {
        self.operator.send_change(&mut self.world, change, None);
    }

    /// Sends a change to one coordinator only, until it is answered.
    pub fn send_to(&mut self, node: NodeId, change: u64) {
        self.operator.send_change(&mut self.world, change, Some(node));
    }

    /// Sends a change, the first try to a certain coordinator, until it is answered.
    pub fn send_first_to(&mut self, node: NodeId, change: u64) {
        self.operator.send_change_first_to(&mut self.world, change, node);
    }

    /// The operator changes one item of the configuration that it knows.
    pub fn update(&mut self) -> u64 {
        let version = self.operator.known_version() + self.world.between(1..=3);
        let change = self.operator.write_update(&mut self.world, version);
        self.operator.send_change(&mut self.world, change, None);
        change
    }

    /// A change of the operator that is acknowledged.
    ///
    /// # Panics
    /// It isn't within `limit`.
    pub fn replace_within(&mut self, limit: Millis) -> u64 {
        let change = self.replace();
        let acknowledged = self.run_until(limit, |fleet| fleet.world.witness.is_acknowledged(change));
        assert!(acknowledged, "change {change} is not acknowledged in time\n{}", self.describe());
        change
    }

    /// Reads back, and checks that the newest acknowledged change, or a later one, is there.
    ///
    /// # Panics
    /// No answer comes within `limit`.
    pub fn read_within(&mut self, limit: Millis) -> u64 {
        let call = self.operator.read(&mut self.world, None);
        let answered = self.run_until(limit, |fleet| !fleet.operator.waits(call));
        assert!(answered, "no answer to a read in time\n{}", self.describe());
        let read = self.world.witness.reads.iter().rev().find(|read| read.call == call);
        read.and_then(|read| site::marked(&read.document)).unwrap_or_default()
    }

    /// Whether a change is in force at all edges that run.
    pub fn is_in_force(&self, change: u64) -> bool {
        self.edges()
            .iter()
            .filter_map(|node| self.edge(*node))
            .all(|edge| site::marked_in_view(edge.view()) == Some(change))
    }

    /// Edges that could send to this many servers at least, as coordinators see them.
    pub(crate) fn knowing_edges(&self, servers: usize) -> usize {
        let knows = |node: &&NodeId| {
            let polled = self.edge(**node).and_then(Edge::polls).and_then(|node| self.coordinator(node));
            polled.is_some_and(|coordinator| coordinator.core().directory().records().count() >= servers)
                && self.edge(**node).is_some_and(|edge| edge.router().is_usable(0))
        };
        self.edges().iter().filter(knows).count()
    }

    // ---- Clients ---------------------------------------------------------------------------------------

    /// A client asks at an edge. The request's number.
    pub fn ask(&mut self, node: NodeId, ask: Ask) -> u64 {
        let number = self.world.number();
        let machine = self.machines.get_mut(&node).filter(|machine| machine.frozen.is_none());
        if let Some(Machine { process: Some(Process::Edge(edge)), .. }) = machine {
            edge.ask(&mut self.world, number, ask);
        }
        number
    }

    /// A client asks for a model; `path` is one of the site's.
    pub fn ask_model(&mut self, node: NodeId, path: &str, model: usize, adapter: Option<&str>) -> u64 {
        let ask = Ask {
            host: site::HOST.to_owned(),
            path: format!("{path}x"),
            model: Some(site::model_name(model)),
            adapter: adapter.map(str::to_owned),
            deadline_ms: None,
        };
        self.ask(node, ask)
    }

    /// A client asks for something at the service without models.
    pub fn ask_plain(&mut self, node: NodeId) -> u64 {
        let path = format!("{}x", site::PLAIN);
        self.ask(node, Ask { host: site::HOST.to_owned(), path, ..Ask::default() })
    }

    /// The status that a request was answered with.
    pub fn status(&self, request: u64) -> Option<u16> {
        self.world.witness.requests.get(&request)?.answer.map(|(_, status)| status)
    }
}
