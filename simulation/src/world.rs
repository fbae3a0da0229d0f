//! The state that all machines share: virtual time, scheduled events, the random number generator, the network and the
//! observer.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use shaletrail_coordinator::interface::OrderId;
use shaletrail_protocol::{Millis, NodeId};

use crate::contact::ContactTracker;
use crate::message::{CallNumber, Message};
use crate::network::{Direction, Network};
use crate::observer::Observer;

/// A timer of a process, named after what happens when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The next tick of a coordinator's core is due.
    Tick,
    /// A coordinator's disk completes its I/O.
    DiskIo,
    /// The connection for an order is established or has failed.
    OrderConnected(OrderId),
    /// An order has no response in time.
    OrderTimeout(OrderId),
    /// A server has not sent its report in time.
    ReportTimeout(CallNumber),
    /// An edge starts its next poll.
    PollNext,
    /// An edge has completed its backoff after all coordinators had failed.
    PollBackoff,
    /// A poll has no response in time, or its connection could not be established.
    PollTimeout(CallNumber),
    /// An edge sends an urgent report.
    UrgentReport,
    /// An edge sends its loads to the other edges.
    LoadGossip,
    /// The wake-up that a router has requested is due.
    RouterWake,
    /// The connection for a request could not be established in time.
    ConnectTimeout(CallNumber),
    /// A server sends its next heartbeat.
    Heartbeat,
    /// A server's call to a coordinator has no response in time.
    CoordinatorCallTimeout(CallNumber),
    /// A server completes the load or eviction of an order.
    OrderCompleted(u64),
    /// A server completes the execution of a request.
    RequestCompleted(CallNumber),
    /// A server checks whether it may exit.
    ServerExit,
    /// An attempt of the operator has no response in time.
    OperatorTimeout(CallNumber),
    /// The operator sends the next attempt of a call.
    OperatorRetry(u64),
}

/// An event that is scheduled for a virtual time.
#[derive(Clone, Debug)]
pub enum ScheduledEvent {
    /// Messages that have arrived over a link are delivered.
    Arrival(Direction),
    /// A timer expires. It is ignored unless the machine runs the same incarnation.
    Timer {
        /// The machine's address.
        node: NodeId,
        /// The incarnation of its process.
        incarnation: u64,
        /// The timer.
        timer: Timer,
    },
    /// The process of a machine starts.
    Start(NodeId),
    /// The next period begins for a machine whose quota of processor time was spent.
    QuotaRenewed(NodeId),
    /// A process completes its graceful shutdown. Ignored unless the machine runs the same incarnation.
    ShutdownCompleted {
        /// The machine's address.
        node: NodeId,
        /// The incarnation of its process.
        incarnation: u64,
    },
}

/// The state that all machines of a simulation share.
pub struct World {
    /// Virtual time, in milliseconds.
    pub now: Millis,
    /// The simulated network.
    pub network: Network,
    /// The record of all externally visible events.
    pub observer: Observer,
    /// Tracks which machines have quorum contact.
    pub contact: ContactTracker,
    /// Number of loads from the weight store in progress, over all servers.
    pub loading: u32,
    /// The only source of randomness of a simulation.
    pub rng: Pcg64,
    schedule: BTreeMap<(Millis, u64), ScheduledEvent>,
    /// Number of events scheduled so far; orders those that are due at the same time.
    scheduled: u64,
    last_id: u64,
    incarnations: BTreeMap<NodeId, u64>,
}

impl World {
    /// Creates a world without scheduled events.
    pub fn new(seed: u64) -> Self {
        World {
            now: 0,
            network: Network::default(),
            observer: Observer::default(),
            contact: ContactTracker::default(),
            loading: 0,
            rng: Pcg64::seed_from_u64(seed),
            schedule: BTreeMap::new(),
            scheduled: 0,
            last_id: 0,
            incarnations: BTreeMap::new(),
        }
    }

    /// A new identifier, unique in this simulation.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Draws a random number from an inclusive range.
    pub fn random_range(&mut self, range: RangeInclusive<u64>) -> u64 {
        self.rng.random_range(range)
    }

    /// Draws `true` with this probability. Draws no random number if the probability is 0.
    pub fn random_bool(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability.min(1.0))
    }

    /// Schedules an event; one in the past is due immediately.
    pub fn schedule_at(&mut self, time: Millis, event: ScheduledEvent) {
        self.scheduled += 1;
        self.schedule.insert((time.max(self.now), self.scheduled), event);
    }

    /// Sets a timer of a process. It is ignored if the process restarts before it expires.
    pub fn set_timer(&mut self, node: NodeId, time: Millis, timer: Timer) {
        let incarnation = self.incarnation_of(node);
        self.schedule_at(time, ScheduledEvent::Timer { node, incarnation, timer });
    }

    /// Sends a message over the network.
    pub fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        let (out_of_order_arrival, message) =
            self.network.apply_disorder(self.now, (from, to), message, &mut self.rng);
        if let Some(arrives) = out_of_order_arrival {
            self.schedule_at(arrives, ScheduledEvent::Arrival((from, to)));
        }
        let Some(message) = message else { return };
        let arrives = self.network.send(self.now, (from, to), message, &mut self.rng);
        self.schedule_at(arrives, ScheduledEvent::Arrival((from, to)));
    }

    /// The number of a machine's current incarnation.
    pub fn incarnation_of(&self, node: NodeId) -> u64 {
        self.incarnations.get(&node).copied().unwrap_or_default()
    }

    /// Begins a new incarnation of a machine's process and returns its number.
    pub fn begin_incarnation(&mut self, node: NodeId) -> u64 {
        let incarnation = self.incarnations.entry(node).or_default();
        *incarnation += 1;
        *incarnation
    }

    /// Removes the next event that is due by `deadline` and advances the clock to it; `None` if there is none.
    pub fn pop_due(&mut self, deadline: Millis) -> Option<ScheduledEvent> {
        let first = self.schedule.first_entry().filter(|first| first.key().0 <= deadline)?;
        self.now = first.key().0;
        Some(first.remove())
    }

    /// When the next event is due; `None` if none is scheduled.
    pub fn next_event_at(&self) -> Option<Millis> {
        self.schedule.first_key_value().map(|((at, _), _)| *at)
    }
}
