//! The links between machines, with delay, loss and partitions for each direction separately.
//!
//! As over TCP, messages from one machine to another arrive in order. A lost packet is retransmitted and delays the messages
//! behind it. Messages during a partition are retransmitted until it heals, and are lost if it lasts too long.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::RangeInclusive;

use rand::Rng;
use rand_pcg::Pcg64;
use shaletrail_protocol::{Millis, NodeId};

use crate::message::Message;

/// How long unacknowledged bytes are retransmitted during a partition before their connection is closed, in milliseconds.
const CONNECTION_TIMEOUT: Millis = 1_500;
/// Interval of retransmissions during a partition, in milliseconds.
const RETRANSMIT_INTERVAL: Millis = 50;
/// Additional delay of a lost packet until its retransmission arrives, in milliseconds.
const RETRANSMIT_DELAY: RangeInclusive<Millis> = 200..=400;

/// One direction of a link: sender and receiver.
pub type Direction = (NodeId, NodeId);

/// Delay and loss of a link.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Delay of a message, in milliseconds.
    pub delay: RangeInclusive<Millis>,
    /// The probability that a message is lost and retransmitted.
    pub loss: f64,
}

impl Default for Conditions {
    fn default() -> Self {
        Conditions { delay: 1..=3, loss: 0.0 }
    }
}

/// How messages between coordinators are duplicated and reordered. With several connections in sequence, a message may arrive
/// a second time over the new connection, or arrive over the old one after later messages.
#[derive(Clone, Debug, Default)]
pub struct Disorder {
    /// The probability that a message arrives a second time, later.
    pub duplicate_probability: f64,
    /// The probability that a message is overtaken by later ones.
    pub reorder_probability: f64,
    /// Upper bound of the additional delay, in milliseconds.
    pub max_delay: Millis,
}

struct InFlightMessage {
    sent: Millis,
    arrives: Millis,
    message: Message,
}

/// The links between all machines, and the messages in flight.
#[derive(Default)]
pub struct Network {
    in_flight: BTreeMap<Direction, VecDeque<InFlightMessage>>,
    partitions: BTreeSet<Direction>,
    /// Machines without power.
    unpowered: BTreeSet<NodeId>,
    conditions: Conditions,
    link_conditions: BTreeMap<Direction, Conditions>,
    disorder: Disorder,
    /// Duplicated and overtaken messages in flight: time of arrival and message. They are not subject to the order of the link.
    out_of_order: BTreeMap<Direction, Vec<(Millis, Message)>>,
}

/// The messages that have arrived over a link.
#[derive(Default)]
pub struct Arrivals {
    /// The messages, in order of arrival.
    pub messages: Vec<Message>,
    /// When to call [`Network::take`] again; `None` unless a partition delays a message.
    pub retry_at: Option<Millis>,
}

impl Network {
    /// Sets delay and loss of all directions that have none of their own.
    pub fn set_conditions(&mut self, conditions: Conditions) {
        self.conditions = conditions;
    }

    /// Sets delay and loss of one direction.
    pub fn set_link_conditions(&mut self, direction: Direction, conditions: Conditions) {
        self.link_conditions.insert(direction, conditions);
    }

    /// Removes delay and loss of all single directions, so that the common ones apply.
    pub fn clear_link_conditions(&mut self) {
        self.link_conditions.clear();
    }

    /// Sets how messages between coordinators are duplicated and reordered.
    pub fn set_disorder(&mut self, disorder: Disorder) {
        self.disorder = disorder;
    }

    /// Partitions or heals one direction; returns whether this is a change.
    pub fn set_partitioned(&mut self, direction: Direction, partitioned: bool) -> bool {
        if partitioned {
            self.partitions.insert(direction)
        } else {
            self.partitions.remove(&direction)
        }
    }

    /// Whether one direction is partitioned.
    pub fn is_partitioned(&self, direction: Direction) -> bool {
        self.partitions.contains(&direction)
    }

    /// All directions that are partitioned.
    pub fn partitions(&self) -> Vec<Direction> {
        self.partitions.iter().copied().collect()
    }

    /// Whether neither direction between two machines is partitioned. The processes on them do not matter.
    pub fn is_connected(&self, one: NodeId, other: NodeId) -> bool {
        !self.is_partitioned((one, other)) && !self.is_partitioned((other, one))
    }

    /// Whether an attempt to connect gets an immediate response, which may be a refusal: there is no partition, and the
    /// receiver has power.
    pub fn can_connect(&self, from: NodeId, to: NodeId) -> bool {
        self.is_connected(from, to) && !self.unpowered.contains(&to)
    }

    /// Switches a machine's power on or off. Switching it off drops all messages in flight to or from the machine.
    pub fn set_power(&mut self, node: NodeId, powered: bool) {
        if powered {
            self.unpowered.remove(&node);
        } else {
            self.unpowered.insert(node);
            self.drop_in_flight(node);
        }
    }

    /// Drops all messages in flight to or from a machine.
    pub fn drop_in_flight(&mut self, node: NodeId) {
        self.in_flight.retain(|(from, to), _| *from != node && *to != node);
        self.out_of_order.retain(|(from, to), _| *from != node && *to != node);
    }

    /// Drops all messages in flight in one direction.
    pub fn reset(&mut self, direction: Direction) {
        self.in_flight.remove(&direction);
    }

    /// Duplicates or reorders a message between coordinators at random. Returns when the out-of-order copy arrives, if there is
    /// one, and the message if it is still to be sent in order.
    pub fn apply_disorder(
        &mut self,
        now: Millis,
        direction: Direction,
        message: Message,
        rng: &mut Pcg64,
    ) -> (Option<Millis>, Option<Message>) {
        let Disorder { duplicate_probability, reorder_probability, max_delay } = self.disorder;
        if duplicate_probability + reorder_probability <= 0.0 || !matches!(message, Message::Coordinator(_)) {
            return (None, Some(message));
        }
        let draw: f64 = rng.random();
        if draw >= duplicate_probability + reorder_probability {
            return (None, Some(message));
        }
        let arrives = now + rng.random_range(0..=max_delay);
        let remaining = (draw < duplicate_probability).then(|| message.clone());
        self.out_of_order.entry(direction).or_default().push((arrives, message));
        (Some(arrives), remaining)
    }

    /// Sends a message; returns when it arrives.
    pub fn send(&mut self, now: Millis, direction: Direction, message: Message, rng: &mut Pcg64) -> Millis {
        let conditions = self.link_conditions.get(&direction).unwrap_or(&self.conditions);
        let mut arrives = now + rng.random_range(conditions.delay.clone());
        if conditions.loss > 0.0 && rng.random_bool(conditions.loss) {
            arrives += rng.random_range(RETRANSMIT_DELAY);
        }
        let queue = self.in_flight.entry(direction).or_default();
        let arrives = arrives.max(queue.back().map_or(0, |in_flight| in_flight.arrives));
        queue.push_back(InFlightMessage { sent: now, arrives, message });
        arrives
    }

    /// Removes and returns the messages that have arrived.
    pub fn take(&mut self, now: Millis, direction: Direction) -> Arrivals {
        let mut arrivals = Arrivals::default();
        let partitioned = self.partitions.contains(&direction);
        if let Some(out_of_order) = self.out_of_order.get_mut(&direction) {
            let (due, later) = std::mem::take(out_of_order).into_iter().partition(|(at, _)| *at <= now);
            *out_of_order = later;
            let due: Vec<(Millis, Message)> = due;
            arrivals.messages.extend(due.into_iter().filter(|_| !partitioned).map(|(_, message)| message));
        }
        let Some(queue) = self.in_flight.get_mut(&direction) else { return arrivals };
        while let Some(in_flight) = queue.front_mut().filter(|in_flight| in_flight.arrives <= now) {
            if partitioned && now.saturating_sub(in_flight.sent) <= CONNECTION_TIMEOUT {
                in_flight.arrives = now + RETRANSMIT_INTERVAL;
                arrivals.retry_at = Some(in_flight.arrives);
                break;
            }
            let in_flight = queue.pop_front();
            if !partitioned {
                arrivals.messages.extend(in_flight.map(|in_flight| in_flight.message));
            }
        }
        arrivals
    }
}
