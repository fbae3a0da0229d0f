//! What operator, servers and clients have seen.

use std::collections::BTreeMap;

use serde_json::Value;
use shaletrail_coordinator::interface::StateChange;
use shaletrail_protocol::{Incarnation, Millis, NodeId, ServerId};

/// Log lines of coordinators that are kept for messages of failed tests.
const MOST_NOTES: usize = 4_000;

/// What a client asks for.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// `Host`.
    pub host: String,
    /// The path.
    pub path: String,
    /// `Model` before the slash.
    pub model: Option<String>,
    /// `Model` after the slash.
    pub adapter: Option<String>,
    /// `Deadline-Ms`.
    pub deadline_ms: Option<Millis>,
}

/// A request, from its client's side and from its servers'.
#[derive(Clone, Debug)]
pub struct RequestSeen {
    /// When it came.
    pub at: Millis,
    /// Where it came.
    pub edge: NodeId,
    /// What for.
    pub ask: Ask,
    /// Whether it may run once only.
    pub once: bool,
    /// Sendings by the edge, with the servers.
    pub sendings: Vec<(Millis, ServerId)>,
    /// The version in force there; 0 for none.
    pub version: u64,
    /// Whether the edge was in touch.
    pub in_touch: bool,
    /// Sendings that were written to a connection, less those of which the connection was refused.
    pub written: Vec<(Millis, String)>,
    /// Servers that turned it away, with the status.
    pub turned_away: Vec<(Millis, ServerId, u16)>,
    /// Servers that ran it.
    pub runs: Vec<(Millis, ServerId)>,
    /// The answer's status.
    pub answer: Option<(Millis, u16)>,
}

/// Where a request comes.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// The edge.
    pub edge: NodeId,
    /// The version in force there; 0 for none.
    pub version: u64,
    /// Whether it is in touch.
    pub in_touch: bool,
}

/// A sending of a request.
#[derive(Clone, Debug)]
pub struct Sending {
    /// When.
    pub at: Millis,
    /// From where.
    pub edge: NodeId,
    /// The request.
    pub request: u64,
    /// Where to.
    pub server: ServerId,
    /// The server's service.
    pub service: String,
    /// Whether the edge was in touch.
    pub in_touch: bool,
}

/// An order as a server saw it.
#[derive(Clone, Debug)]
pub struct OrderSeen {
    /// When.
    pub at: Millis,
    /// The server.
    pub server: ServerId,
    /// The machine that sent it.
    pub from: NodeId,
    /// `leaseHolder`.
    pub holder: String,
    /// `fencingToken`.
    pub token: u64,
    /// The answer.
    pub status: u16,
}

/// A `draining` that was acknowledged.
#[derive(Clone, Debug)]
pub struct Drained {
    /// When the server had the acknowledgement.
    pub at: Millis,
    /// The server.
    pub server: ServerId,
    /// The coordinator that acknowledged.
    pub by: NodeId,
    /// Whether it was in touch.
    pub in_touch: bool,
}

/// A configuration that came into force at an edge.
#[derive(Clone, Debug)]
pub struct InForce {
    /// When.
    pub at: Millis,
    /// The edge.
    pub edge: NodeId,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// The version.
    pub version: u64,
    /// The change that made it.
    pub change: Option<u64>,
}

/// How a call of the operator ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum Outcome {
    /// 200.
    Acknowledged,
    /// 412.
    Conflict {
        /// The version that is said to be current.
        current: u64,
    },
    /// 400.
    Invalid,
}

/// A change that the operator has sent.
#[derive(Clone, Debug)]
pub struct ChangeSent {
    /// `Base-Version`.
    pub base: u64,
    /// Its version.
    pub version: u64,
    /// What the configuration is with it.
    pub document: Value,
    /// Its answers.
    pub outcomes: Vec<(Millis, Outcome)>,
}

impl ChangeSent {
    /// When it was first acknowledged.
    pub fn acknowledged_at(&self) -> Option<Millis> {
        let mut outcomes = self.outcomes.iter();
        outcomes.find(|(_, outcome)| *outcome == Outcome::Acknowledged).map(|(at, _)| *at)
    }
}

/// A change that was refused because another version is current.
#[derive(Clone, Debug)]
pub struct Rejection {
    /// The change.
    pub change: u64,
    /// When it was first sent in this call.
    pub begun: Millis,
    /// When the answer came.
    pub at: Millis,
    /// The version that is said to be current.
    pub current: u64,
}

/// A configuration that was read back.
#[derive(Clone, Debug)]
pub struct ReadBack {
    /// The call.
    pub call: u64,
    /// When it was first sent.
    pub begun: Millis,
    /// When its answer came.
    pub at: Millis,
    /// The answer.
    pub document: Value,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Witness {
    /// Requests, by the clients' numbers.
    pub requests: BTreeMap<u64, RequestSeen>,
    /// Sendings of requests, in order.
    pub sendings: Vec<Sending>,
    /// Orders that servers answered, in order.
    pub orders: Vec<OrderSeen>,
    /// Moments at which loads from the weight store began, with the service.
    pub loads: Vec<(Millis, String)>,
    /// Orders to load beyond a server's room.
    pub overflows: Vec<(Millis, ServerId, String)>,
    /// Acknowledgements of `draining`.
    pub drains: Vec<Drained>,
    /// What had no acknowledgement in time although nothing was wrong.
    pub unacknowledged: Vec<(Millis, String)>,
    /// Configurations in force at edges, in order.
    pub in_force: Vec<InForce>,
    /// Changes of the operator.
    pub changes: BTreeMap<u64, ChangeSent>,
    /// Reads of the operator, in order.
    pub reads: Vec<ReadBack>,
    /// Changes that were refused as built on another version, in order.
    pub refusals: Vec<Rejection>,
    /// When each machine was last thawed, or a link of it joined.
    pub healed: BTreeMap<NodeId, Vec<Millis>>,
    /// What was done to the fleet, for messages of failed tests.
    pub story: Vec<(Millis, String)>,
    /// Log lines of coordinators. No check goes by them.
    pub notes: Vec<(Millis, NodeId, StateChange)>,
}

impl Witness {
    /// A client asks.
    pub fn asked(&mut self, at: Millis, number: u64, ask: &Ask, once: bool, place: Place) {
        let Place { edge, version, in_touch } = place;
        let seen = RequestSeen {
            at,
            edge,
            ask: ask.clone(),
            once,
            sendings: Vec::new(),
            version,
            in_touch,
            written: Vec::new(),
            turned_away: Vec::new(),
            runs: Vec::new(),
            answer: None,
        };
        self.requests.insert(number, seen);
    }

    /// A client is answered.
    pub fn answered(&mut self, at: Millis, number: u64, status: u16) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.answer.get_or_insert((at, status));
        }
    }

    /// An edge sends a request.
    pub fn sent(&mut self, sending: Sending) {
        if let Some(request) = self.requests.get_mut(&sending.request) {
            request.sendings.push((sending.at, sending.server.clone()));
        }
        self.sendings.push(sending);
    }

    /// A request is written to a server's connection.
    pub fn written(&mut self, at: Millis, number: u64, service: &str) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.written.push((at, service.to_owned()));
        }
    }

    /// The connection to which a request was written had been refused.
    pub fn unwritten(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.written.pop();
        }
    }

    /// A server turns a request away.
    pub fn turned_away(&mut self, at: Millis, number: u64, server: &ServerId, status: u16) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.turned_away.push((at, server.clone(), status));
        }
    }

    /// A server runs a request.
    pub fn ran(&mut self, at: Millis, number: u64, server: &ServerId, _service: &str) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.runs.push((at, server.clone()));
        }
    }

    /// A server answers an order.
    pub fn ordered(&mut self, order: OrderSeen) {
        self.orders.push(order);
    }

    /// A load from the weight store begins.
    pub fn loaded(&mut self, at: Millis, service: &str) {
        self.loads.push((at, service.to_owned()));
    }

    /// A server is ordered to load beyond its room.
    pub fn overflowed(&mut self, at: Millis, server: &ServerId, what: String) {
        self.overflows.push((at, server.clone(), what));
    }

    /// A server has the acknowledgement of its `draining`.
    pub fn drained(&mut self, at: Millis, server: &ServerId, by: NodeId, in_touch: bool) {
        self.drains.push(Drained { at, server: server.clone(), by, in_touch });
    }

    /// Something had no acknowledgement in time although nothing was wrong.
    pub fn not_acknowledged(&mut self, at: Millis, what: String) {
        self.unacknowledged.push((at, what));
    }

    /// A configuration comes into force at an edge.
    pub fn in_force(
        &mut self,
        at: Millis,
        edge: NodeId,
        incarnation: Incarnation,
        version: u64,
        change: Option<u64>,
    ) {
        self.in_force.push(InForce { at, edge, incarnation, version, change });
    }

    /// The operator writes a change.
    pub fn writes(&mut self, change: u64, sent: ChangeSent) {
        self.changes.insert(change, sent);
    }

    /// A change is answered.
    pub fn judged(&mut self, at: Millis, change: u64, outcome: Outcome) {
        if let Some(change) = self.changes.get_mut(&change) {
            change.outcomes.push((at, outcome));
        }
    }

    /// A change is refused as built on another version.
    pub fn refused(&mut self, refusal: Rejection) {
        self.refusals.push(refusal);
    }

    /// A configuration is read back.
    pub fn read_back(&mut self, read: ReadBack) {
        self.reads.push(read);
    }

    /// A machine is thawed, or a link of it joined.
    pub fn heals(&mut self, at: Millis, node: NodeId) {
        self.healed.entry(node).or_default().push(at);
    }

    /// Something is done to the fleet.
    pub fn tell(&mut self, at: Millis, what: String) {
        self.story.push((at, what));
    }

    /// A coordinator writes a line to its log.
    pub fn note(&mut self, at: Millis, node: NodeId, note: StateChange) {
        if self.notes.len() < MOST_NOTES {
            self.notes.push((at, node, note));
        }
    }

    /// The answer to a change, if it has one.
    pub fn outcome(&self, change: u64) -> Option<Outcome> {
        self.changes.get(&change)?.outcomes.last().map(|(_, outcome)| *outcome)
    }

    /// Whether a change was acknowledged.
    pub fn is_acknowledged(&self, change: u64) -> bool {
        self.changes.get(&change).is_some_and(|change| change.acknowledged_at().is_some())
    }

    /// The newest version acknowledged before a moment.
    pub fn acknowledged_version(&self, before: Millis) -> u64 {
        let known = |change: &ChangeSent| change.acknowledged_at().is_some_and(|at| at < before);
        self.changes
            .values()
            .filter(|change| known(change))
            .map(|change| change.version)
            .max()
            .unwrap_or_default()
    }
}
