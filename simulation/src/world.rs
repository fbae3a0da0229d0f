//! What all machines share: the clock, what is going to happen, luck, the network and the witness.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use shaletrail_coordinator::interface::OrderId;
use shaletrail_protocol::{Millis, NodeId};

use crate::message::{CallNumber, Message};
use crate::network::{Direction, Network};
use crate::touch::Touch;
use crate::witness::Witness;

/// Something that a process has asked to be woken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A coordinator's tick.
    Tick,
    /// A coordinator's disk has done something.
    Disk,
    /// The connection for an order is up, or not.
    OrderConnected(OrderId),
    /// An order has had no answer in time.
    OrderLate(OrderId),
    /// A server's report has not come in time.
    ReportLate(CallNumber),
    /// An edge's next step in polling.
    PollStep,
    /// All coordinators have failed an edge, and it has paused.
    PollRound,
    /// A poll has had no answer in time, or its connection has not come up.
    PollLate(CallNumber),
    /// An edge sends what cannot wait.
    UrgentReport,
    /// An edge tells the others what it has under way.
    TellPeers,
    /// The router's wake-up.
    Router,
    /// The connection for a request has not come up.
    RequestUnreachable(CallNumber),
    /// A server's next heartbeat.
    Heartbeat,
    /// A server's call has had no answer in time.
    ServerCallLate(CallNumber),
    /// A server has worked on its order.
    OrderDone(u64),
    /// A server has an answer to a request.
    RequestDone(CallNumber),
    /// A server ends.
    ServerEnds,
    /// The operator's call has had no answer in time.
    OperatorLate(CallNumber),
    /// The operator sends a call again.
    OperatorAgain(u64),
}

/// Something that is going to happen.
#[derive(Clone, Debug)]
pub enum Happening {
    /// Something may have come over a link.
    Arrival(Direction),
    /// A process is woken, if it is still the same start of it.
    Timer {
        /// The machine.
        node: NodeId,
        /// The start of its process.
        start: u64,
        /// For what.
        timer: Timer,
    },
    /// A machine's process is started.
    Start(NodeId),
    /// A process that was told to end has ended, if it is still the same start of it.
    End {
        /// The machine.
        node: NodeId,
        /// The start of its process.
        start: u64,
    },
}

/// What all machines share.
pub struct World {
    /// The time that is true for everybody, in milliseconds.
    pub now: Millis,
    /// The links.
    pub network: Network,
    /// What is seen from outside.
    pub witness: Witness,
    /// Who is in touch.
    pub touch: Touch,
    /// Loads from the weight store under way, over all servers.
    pub loading: u32,
    /// All luck.
    pub random: Pcg64,
    schedule: BTreeMap<(Millis, u64), Happening>,
    scheduled: u64,
    numbers: u64,
    starts: BTreeMap<NodeId, u64>,
}

impl World {
    /// A world in which nothing is going to happen.
    pub fn new(seed: u64) -> Self {
        World {
            now: 0,
            network: Network::default(),
            witness: Witness::default(),
            touch: Touch::default(),
            loading: 0,
            random: Pcg64::seed_from_u64(seed),
            schedule: BTreeMap::new(),
            scheduled: 0,
            numbers: 0,
            starts: BTreeMap::new(),
        }
    }

    /// A number that has not been given before.
    pub fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    /// A random number.
    pub fn between(&mut self, range: RangeInclusive<u64>) -> u64 {
        self.random.random_range(range)
    }

    /// Whether something happens that has this chance.
    pub fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random_bool(share.min(1.0))
    }

    /// Has something happen.
    pub fn at(&mut self, time: Millis, happening: Happening) {
        self.scheduled += 1;
        self.schedule.insert((time.max(self.now), self.scheduled), happening);
    }

    /// Wakes a process, unless it has been started anew by then.
    pub fn wake(&mut self, node: NodeId, time: Millis, timer: Timer) {
        let start = self.start_of(node);
        self.at(time, Happening::Timer { node, start, timer });
    }

    /// Puts a message on its way.
    pub fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        let (late, message) = self.network.stray(self.now, (from, to), message, &mut self.random);
        if let Some(late) = late {
            self.at(late, Happening::Arrival((from, to)));
        }
        let Some(message) = message else { return };
        let arrives = self.network.send(self.now, (from, to), message, &mut self.random);
        self.at(arrives, Happening::Arrival((from, to)));
    }

    /// The number of a process's present start.
    pub fn start_of(&self, node: NodeId) -> u64 {
        self.starts.get(&node).copied().unwrap_or_default()
    }

    /// Counts a new start of a process.
    pub fn begin_start(&mut self, node: NodeId) -> u64 {
        let start = self.starts.entry(node).or_default();
        *start += 1;
        *start
    }

    /// Takes out the next thing that happens by a certain time, and brings the clock there.
    pub fn next(&mut self, until: Millis) -> Option<Happening> {
        let first = self.schedule.first_entry().filter(|first| first.key().0 <= until)?;
        self.now = first.key().0;
        Some(first.remove())
    }

    /// When the next thing happens.
    pub fn next_at(&self) -> Option<Millis> {
        self.schedule.first_key_value().map(|((at, _), _)| *at)
    }
}
