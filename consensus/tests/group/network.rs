//! The simulated network of a group. Links lose, duplicate, delay and block messages, and tests can drop, replay and
//! forge messages.

use rand::Rng;
use shaletrail_consensus::{Message, RoundStamp, VoterStatus};
use shaletrail_protocol::{Millis, NodeId};

use super::Group;

/// Maximum number of recorded messages. Further ones replace random earlier ones.
const MAX_RECORDED: usize = 256;

/// How links and disks behave.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Lost messages per thousand.
    pub lost_permille: u32,
    /// Duplicated messages per thousand.
    pub duplicated_permille: u32,
    /// Maximum delay of a message. Each message draws its own delay, so messages may overtake each other.
    pub max_delay_ms: Millis,
    /// Maximum duration of a sync.
    pub max_sync_ms: Millis,
}

impl Conditions {
    /// Links that lose nothing, and fast disks.
    pub const HEALTHY: Conditions =
        Conditions { lost_permille: 0, duplicated_permille: 0, max_delay_ms: 3, max_sync_ms: 3 };
}

/// A message that has been sent and has not arrived yet.
#[derive(Clone, Debug)]
pub(super) struct MessageInTransit {
    pub from: NodeId,
    pub to: NodeId,
    pub message: Message,
}

/// Called for each message with its sender and receiver. The message is dropped if it returns false.
pub type Filter = Box<dyn FnMut(NodeId, NodeId, &Message) -> bool>;

impl Group {
    /// Blocks all links between two sides, in both directions.
    pub fn partition(&mut self, one: &[NodeId], other: &[NodeId]) {
        for left in one {
            for right in other {
                self.blocked_links.insert((*left, *right));
                self.blocked_links.insert((*right, *left));
            }
        }
    }

    /// Blocks all links of a machine.
    pub fn isolate(&mut self, node: NodeId) {
        let others = self.others(node);
        self.partition(&[node], &others);
    }

    /// From now on, drops the messages for which the condition holds.
    pub fn drop_messages(&mut self, is_dropped: fn(&Message) -> bool) {
        self.filter = Some(Box::new(move |_, _, message| !is_dropped(message)));
    }

    pub(super) fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        *self.sent.entry(message.name()).or_default() += 1;
        if let Message::Heartbeat { stamp, .. } = &message {
            self.last_rounds.insert(from, stamp.round);
        }
        let encoded = bitcode::encode(&message);
        let message: Message = bitcode::decode(&encoded).expect("messages decode");
        if (self.should_record)(&message) {
            self.record(MessageInTransit { from, to, message: message.clone() });
        }
        let passes = self.filter.as_mut().is_none_or(|filter| filter(from, to, &message));
        if !passes || self.blocked_links.contains(&(from, to)) || self.occurs(self.conditions.lost_permille) {
            return;
        }
        if self.occurs(self.conditions.duplicated_permille) {
            self.schedule(MessageInTransit { from, to, message: message.clone() });
        }
        self.schedule(MessageInTransit { from, to, message });
    }

    fn record(&mut self, message: MessageInTransit) {
        if self.recorded.len() < MAX_RECORDED {
            self.recorded.push(message);
        } else {
            let slot = self.random.random_range(0..MAX_RECORDED);
            self.recorded[slot] = message;
        }
    }

    /// Discards the messages recorded so far.
    pub fn clear_recorded(&mut self) {
        self.recorded.clear();
    }

    /// Delivers a random recorded message again, even over a blocked link, as if it had been in transit for long.
    pub fn replay_recorded(&mut self) {
        if !self.recorded.is_empty() {
            let slot = self.random.random_range(0..self.recorded.len());
            let message = self.recorded[slot].clone();
            self.schedule(message);
        }
    }

    /// Delivers a message that no replica has sent.
    pub fn inject(&mut self, from: NodeId, to: NodeId, message: Message) {
        self.schedule(MessageInTransit { from, to, message });
    }

    /// Blocks a follower's link to the leader, and delivers a forged heartbeat response in the follower's name.
    pub fn forge_heartbeat_response(&mut self, follower: NodeId, leader: NodeId, stamp: RoundStamp) {
        self.blocked_links.insert((follower, leader));
        let status = VoterStatus { disk_id: self.machines[&follower].disk.id(), recovering: false };
        let term = self.term(leader);
        let response = Message::HeartbeatResponse { term, stamp, received: 1, matched: 1, status };
        self.inject(follower, leader, response);
    }

    fn schedule(&mut self, message: MessageInTransit) {
        let slower_by = self.slow_links.get(&(message.from, message.to)).copied().unwrap_or(0);
        let at = self.now + slower_by + self.random.random_range(1..=self.conditions.max_delay_ms);
        self.sequence += 1;
        self.in_transit.insert((at, self.sequence), message);
    }

    fn occurs(&mut self, permille: u32) -> bool {
        permille > 0 && self.random.random_ratio(permille, 1000)
    }

    pub(super) fn next_arrival(&mut self) -> Option<MessageInTransit> {
        let first = self.in_transit.first_entry().filter(|first| first.key().0 <= self.now)?;
        Some(first.remove())
    }

    pub(super) fn deliver(&mut self, message: MessageInTransit) {
        let Some(machine) = self.machines.get_mut(&message.to) else { return };
        if machine.is_paused {
            machine.inbox.push((message.from, message.message));
        } else {
            self.call(message.to, |replica, now| replica.receive(now, message.from, message.message));
        }
    }
}
