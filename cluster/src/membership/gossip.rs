//! Pings, acks, and the member records that both carry.

use shaletrail_protocol::internal::{MemberRecord, MemberState, MembershipMessage};
use shaletrail_protocol::{Millis, NodeId};

use super::options::MAX_MESSAGE_RECORDS;
use super::Membership;

impl Membership {
    /// Handles a message from another coordinator: merges its member records, and queues an ack if it is a ping.
    pub fn receive(&mut self, now: Millis, from: NodeId, message: MembershipMessage) {
        if from == self.own.node {
            return;
        }
        match message {
            MembershipMessage::Ping { sequence_number, members } => {
                let state_before = self.table.state(from);
                self.merge_records(now, from, &members);
                if state_before != Some(MemberState::Alive) {
                    self.expedite_ping(now, from);
                }
                let members = self.records_for(now, from, state_before.is_none());
                self.send_queue.push(from, MembershipMessage::Ack { sequence_number, members });
            }
            MembershipMessage::Ack { sequence_number, members } => {
                if let Some(probe) = self.probes.get_mut(&from) {
                    probe.record_ack(sequence_number);
                }
                self.merge_records(now, from, &members);
            }
        }
    }

    /// Announces that this process is about to shut down. The other members mark it dead at once, without suspecting it
    /// first.
    pub fn leave(&mut self, now: Millis) {
        self.own.state = MemberState::Dead;
        let mut others = self.alive();
        others.retain(|node| *node != self.own.node);
        others.into_iter().for_each(|node| self.ping(now, node));
    }

    pub(super) fn ping(&mut self, now: Millis, node: NodeId) {
        self.last_ping_number += 1;
        let sequence_number = self.last_ping_number;
        let is_live = matches!(self.table.state(node), Some(MemberState::Alive | MemberState::Suspect));
        if let Some(probe) = self.probes.get_mut(&node) {
            probe.record_ping(now, sequence_number, !is_live, &self.options);
        }
        let members = self.records_for(now, node, false);
        self.send_queue.push(node, MembershipMessage::Ping { sequence_number, members });
    }

    /// Makes a ping due at the next tick if the node is a ping target.
    fn expedite_ping(&mut self, now: Millis, node: NodeId) {
        if let Some(probe) = self.probes.get_mut(&node) {
            probe.expedite(now, &self.options);
        }
    }

    fn merge_records(&mut self, now: Millis, from: NodeId, members: &[MemberRecord]) {
        for record in members.iter().take(MAX_MESSAGE_RECORDS) {
            if record.node == self.own.node {
                self.refute(record);
            } else if record.node == from {
                self.targets_stale |= self.table.merge_self_report(now, record);
            } else {
                self.merge_from_peer(now, record);
            }
        }
    }

    /// Merges a record that a peer has sent about another member.
    ///
    /// A peer on the other side of a partition considers all other nodes dead. A member that this node has contact with
    /// is therefore at most suspected, until it refutes the report.
    fn merge_from_peer(&mut self, now: Millis, record: &MemberRecord) {
        let has_contact = self.has_contact_within(record.node, now, self.options.ping_timeout_ms);
        let state = if has_contact { record.state.min(MemberState::Suspect) } else { record.state };
        let record = &MemberRecord { state, ..record.clone() };
        let was_suspect = self.table.state(record.node) == Some(MemberState::Suspect);
        if self.table.merge_from_peer(now, record) {
            self.targets_stale = true;
            let is_refuted = was_suspect && record.state == MemberState::Alive;
            if let (true, Some(probe)) = (is_refuted, self.probes.get_mut(&record.node)) {
                probe.cool_down(now + self.options.suspicion_cooldown_ms);
            }
        } else if self.table.has_different_incarnation(record) {
            self.expedite_ping(now, record.node);
        }
    }

    /// Refutes a report that this incarnation is suspect or dead by raising the refutation number, unless this process
    /// is shutting down.
    fn refute(&mut self, record: &MemberRecord) {
        if self.own.state == MemberState::Dead {
            return;
        }
        let is_suspicion = record.state != MemberState::Alive && record.refutation >= self.own.refutation;
        if record.incarnation == self.own.incarnation && is_suspicion {
            self.own.refutation = record.refutation.saturating_add(1);
        }
    }

    /// The records for a message: this node's own and those that changed recently. If `full` is set or a full exchange
    /// with the receiver is due, other records fill the message.
    fn records_for(&mut self, now: Millis, receiver: NodeId, full: bool) -> Vec<MemberRecord> {
        let last_exchange = self.last_full_exchange.get(&receiver);
        let is_due = last_exchange.is_none_or(|last| *last + self.options.full_exchange_interval_ms <= now);
        let is_target = self.targets.contains(&receiver);
        let full = full || (is_due && is_target);
        if full && is_target {
            self.last_full_exchange.insert(receiver, now);
        }
        let mut records = vec![self.own.clone()];
        records.extend(self.table.records_for(receiver, full, MAX_MESSAGE_RECORDS - 1));
        records
    }
}
