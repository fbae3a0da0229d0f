//! Links between machines: delay, loss and cuts, each direction of a pair on its own.
//!
//! As over TCP, what one machine sends another arrives in order. A lost packet is sent again, so that it delays
//! what comes after it. What a cut holds up arrives if the cut ends soon, and is lost otherwise.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::RangeInclusive;

use rand::Rng;
use rand_pcg::Pcg64;
use shaletrail_protocol::{Millis, NodeId};

use crate::message::Message;

/// How long written bytes wait for the end of a cut before their connection is given up.
const UNACKNOWLEDGED: Millis = 1_500;
/// Between two attempts to send through a cut.
const AGAIN: Millis = 50;
/// By how much a lost packet delays what it carried.
const RESENT_AFTER: RangeInclusive<Millis> = 200..=400;

/// From one machine to another.
pub type Direction = (NodeId, NodeId);

/// What links are like.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// The time that a message takes, in milliseconds.
    pub delay: RangeInclusive<Millis>,
    /// The share of messages that are lost and sent again.
    pub loss: f64,
}

impl Default for Conditions {
    fn default() -> Self {
        Conditions { delay: 1..=3, loss: 0.0 }
    }
}

/// What goes wrong with the order of messages between coordinators: a connection that is made anew may bring a
/// message a second time, or leave one behind that still comes from the connection before it.
#[derive(Clone, Debug, Default)]
pub struct Disorder {
    /// The share of messages that come a second time, later.
    pub doubled: f64,
    /// The share of messages that are overtaken by later ones.
    pub overtaken: f64,
    /// By how much a message may be late, in milliseconds.
    pub late: Millis,
}

struct Flight {
    sent: Millis,
    arrives: Millis,
    message: Message,
}

/// All links.
#[derive(Default)]
pub struct Network {
    flights: BTreeMap<Direction, VecDeque<Flight>>,
    cuts: BTreeSet<Direction>,
    unpowered: BTreeSet<NodeId>,
    conditions: Conditions,
    special: BTreeMap<Direction, Conditions>,
    disorder: Disorder,
    /// Messages that are on their way outside of the usual order.
    strays: BTreeMap<Direction, Vec<(Millis, Message)>>,
}

/// What has come over a link.
#[derive(Default)]
pub struct Arrivals {
    /// The messages, in order.
    pub messages: Vec<Message>,
    /// When to look again, as something is held up.
    pub again: Option<Millis>,
}

impl Network {
    /// Sets what all links are like that have no conditions of their own.
    pub fn set_conditions(&mut self, conditions: Conditions) {
        self.conditions = conditions;
    }

    /// Sets what one direction is like.
    pub fn set_special(&mut self, direction: Direction, conditions: Conditions) {
        self.special.insert(direction, conditions);
    }

    /// Takes all conditions of single directions back.
    pub fn clear_special(&mut self) {
        self.special.clear();
    }

    /// Sets what goes wrong with the order of messages between coordinators.
    pub fn set_disorder(&mut self, disorder: Disorder) {
        self.disorder = disorder;
    }

    /// Cuts or joins one direction; whether that changed anything.
    pub fn set_cut(&mut self, direction: Direction, cut: bool) -> bool {
        if cut {
            self.cuts.insert(direction)
        } else {
            self.cuts.remove(&direction)
        }
    }

    /// Whether one direction is cut.
    pub fn is_cut(&self, direction: Direction) -> bool {
        self.cuts.contains(&direction)
    }

    /// All directions that are cut.
    pub fn cuts(&self) -> Vec<Direction> {
        self.cuts.iter().copied().collect()
    }

    /// Whether a path leads there and back, whatever runs at its ends.
    pub fn joins(&self, one: NodeId, other: NodeId) -> bool {
        !self.is_cut((one, other)) && !self.is_cut((other, one))
    }

    /// Whether a connection comes up, or is refused: the path leads there and back, and there is power.
    pub fn can_connect(&self, from: NodeId, to: NodeId) -> bool {
        self.joins(from, to) && !self.unpowered.contains(&to)
    }

    /// A machine without power says nothing, and what is on its way to it is lost.
    pub fn set_power(&mut self, node: NodeId, powered: bool) {
        if powered {
            self.unpowered.remove(&node);
        } else {
            self.unpowered.insert(node);
            self.drop_flights(node);
        }
    }

    /// Loses all that is on its way to or from a machine.
    pub fn drop_flights(&mut self, node: NodeId) {
        self.flights.retain(|(from, to), _| *from != node && *to != node);
        self.strays.retain(|(from, to), _| *from != node && *to != node);
    }

    /// Loses all that is on its way in one direction.
    pub fn reset(&mut self, direction: Direction) {
        self.flights.remove(&direction);
    }

    /// Has a message between coordinators come late, outside of the usual order, or a second time. When that
    /// arrives, and the message if it still goes the usual way.
    pub fn stray(
        &mut self,
        now: Millis,
        direction: Direction,
        message: Message,
        random: &mut Pcg64,
    ) -> (Option<Millis>, Option<Message>) {
        let Disorder { doubled, overtaken, late } = self.disorder;
        if doubled + overtaken <= 0.0 || !matches!(message, Message::Core(_)) {
            return (None, Some(message));
        }
        let draw: f64 = random.random();
        if draw >= doubled + overtaken {
            return (None, Some(message));
        }
        let arrives = now + random.random_range(0..=late);
        let kept = (draw < doubled).then(|| message.clone());
        self.strays.entry(direction).or_default().push((arrives, message));
        (Some(arrives), kept)
    }

    /// Puts a message on its way; when it arrives.
    pub fn send(
        &mut self,
        now: Millis,
        direction: Direction,
        message: Message,
        random: &mut Pcg64,
    ) -> Millis {
        let conditions = self.special.get(&direction).unwrap_or(&self.conditions);
        let mut arrives = now + random.random_range(conditions.delay.clone());
        if conditions.loss > 0.0 && random.random_bool(conditions.loss) {
            arrives += random.random_range(RESENT_AFTER);
        }
        let queue = self.flights.entry(direction).or_default();
        let arrives = arrives.max(queue.back().map_or(0, |flight| flight.arrives));
        queue.push_back(Flight { sent: now, arrives, message });
        arrives
    }

    /// Takes what has arrived.
    pub fn take(&mut self, now: Millis, direction: Direction) -> Arrivals {
        let mut arrivals = Arrivals::default();
        let cut = self.cuts.contains(&direction);
        if let Some(strays) = self.strays.get_mut(&direction) {
            let (due, later) = std::mem::take(strays).into_iter().partition(|(at, _)| *at <= now);
            *strays = later;
            let due: Vec<(Millis, Message)> = due;
            arrivals.messages.extend(due.into_iter().filter(|_| !cut).map(|(_, message)| message));
        }
        let Some(queue) = self.flights.get_mut(&direction) else { return arrivals };
        while let Some(flight) = queue.front_mut().filter(|flight| flight.arrives <= now) {
            if cut && now.saturating_sub(flight.sent) <= UNACKNOWLEDGED {
                flight.arrives = now + AGAIN;
                arrivals.again = Some(flight.arrives);
                break;
            }
            let flight = queue.pop_front();
            if !cut {
                arrivals.messages.extend(flight.map(|flight| flight.message));
            }
        }
        arrivals
    }
}
