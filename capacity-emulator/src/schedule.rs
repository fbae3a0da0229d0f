//! Virtual time, what is going to happen, and how long links take.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use shaletrail_coordinator::interface::{OrderId, OrderOutcome};
use shaletrail_protocol::external::{Order, ServerReport};
use shaletrail_protocol::{Millis, ServerId};
use shaletrail_routing::interface::{Attempt, RequestId};

use crate::options::{ZONES, ZONES_A_REGION};

/// One way inside a zone.
const IN_ZONE: Millis = 1;
/// One way between zones of a region.
const IN_REGION: Millis = 2;
/// One way between regions.
const BETWEEN_REGIONS: Millis = 30;

/// Something at a coordinator.
#[derive(Clone, Debug)]
pub enum AtCore {
    /// Time has passed.
    Tick,
    /// The disk has synced all records up to a ticket.
    Synced(u64),
    /// A frame of another coordinator.
    Frame {
        /// The other.
        from: usize,
        /// The frame.
        frame: Rc<[u8]>,
    },
    /// A frame of an edge; `poll` names it if it is a poll.
    EdgeFrame {
        /// The edge.
        edge: usize,
        /// The poll's number.
        poll: u64,
        /// The frame.
        frame: Vec<u8>,
    },
    /// An edge has given a poll up.
    PollCancelled(u64),
    /// A heartbeat.
    Heartbeat {
        /// The server.
        server: usize,
        /// As it is named.
        id: ServerId,
        /// The body.
        body: Vec<u8>,
    },
    /// A change by the operator.
    Operator(Vec<u8>),
    /// How an order ended.
    Ordered(OrderId, OrderOutcome),
    /// A server's report.
    Reported(ServerId, Option<Box<ServerReport>>),
}

/// Something at an edge.
#[derive(Clone, Debug)]
pub enum AtEdge {
    /// The next step in polling.
    Step,
    /// The reply to a poll.
    Reply {
        /// The poll's number.
        poll: u64,
        /// The frame.
        frame: Vec<u8>,
    },
    /// A poll has had no answer, or its connection was refused or reset.
    PollFailed(u64),
    /// All coordinators have failed, and the pause is over.
    Round,
    /// Demand that cannot wait goes out.
    Urgent,
    /// The others are told what is under way.
    TellLoads,
    /// A datagram of another edge.
    Loads(Rc<[u8]>),
    /// The router wants to be woken.
    Wake,
    /// A client's request.
    Request,
    /// A server has answered.
    Answered {
        /// The request.
        request: RequestId,
        /// The sending.
        attempt: Attempt,
        /// The server.
        server: usize,
        /// The status.
        status: u16,
    },
}

/// Something at a server.
#[derive(Clone, Debug)]
pub enum AtServer {
    /// Its next heartbeat.
    Heartbeat,
    /// An order arrives.
    Order {
        /// Of which coordinator.
        core: usize,
        /// That start of the coordinator.
        start: u64,
        /// Its name.
        order: OrderId,
        /// For whom it is.
        expected: ServerId,
        /// The order.
        body: Box<Order>,
    },
    /// It has carried an order out.
    OrderDone,
    /// A question for its report.
    Ask {
        /// Of which coordinator.
        core: usize,
        /// That start of the coordinator.
        start: u64,
        /// For whom it is.
        expected: ServerId,
    },
}

/// Something that is going to happen. Processes are named by their place and their start.
#[derive(Clone, Debug)]
pub enum Happening {
    /// At a coordinator; nothing if it has been started anew since.
    Core(usize, u64, AtCore),
    /// At an edge; nothing if it has been started anew since.
    Edge(usize, u64, AtEdge),
    /// At a server.
    Server(usize, AtServer),
    /// The operator's next change.
    Operator,
    /// A server's machine restarts.
    ServerRestarts,
}

struct Entry {
    at: Millis,
    number: u64,
    happening: Happening,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Time, schedule and luck, which all nodes share.
pub struct Schedule {
    /// The present, in milliseconds.
    pub now: Millis,
    /// All luck.
    pub random: Pcg64,
    entries: BinaryHeap<Reverse<Entry>>,
    number: u64,
}

impl Schedule {
    /// Nothing is going to happen.
    pub fn new(seed: u64) -> Self {
        Schedule { now: 0, random: Pcg64::seed_from_u64(seed), entries: BinaryHeap::new(), number: 0 }
    }

    /// Has something happen after a while.
    pub fn after(&mut self, delay: Millis, happening: Happening) {
        self.number += 1;
        let entry = Entry { at: self.now + delay, number: self.number, happening };
        self.entries.push(Reverse(entry));
    }

    /// Takes out the next thing that happens by a certain time, and brings the clock there.
    pub fn next(&mut self, until: Millis) -> Option<Happening> {
        if self.entries.peek().is_none_or(|Reverse(entry)| entry.at > until) {
            self.now = until;
            return None;
        }
        let Reverse(entry) = self.entries.pop()?;
        self.now = entry.at;
        Some(entry.happening)
    }

    /// A number that has not been given before.
    pub fn name(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// The pause to the next of events that come at random at a rate a second; `None` at rate 0.
    pub fn pause(&mut self, rate: f64) -> Option<Millis> {
        if rate <= 0.0 {
            return None;
        }
        let part: f64 = self.random.random_range(f64::EPSILON..1.0);
        Some((-part.ln() * 1_000.0 / rate).round() as Millis)
    }
}

/// The zone of the machine at a place in its class.
pub fn zone_of(place: usize) -> usize {
    place % ZONES
}

/// One way between two zones.
pub fn latency(from: usize, to: usize) -> Millis {
    if from == to {
        IN_ZONE
    } else if from / ZONES_A_REGION == to / ZONES_A_REGION {
        IN_REGION
    } else {
        BETWEEN_REGIONS
    }
}
