//! The records of the other members: how they merge, and which of them the next message carries.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::internal::{MemberRecord, MemberState};
use shaletrail_protocol::{Incarnation, Millis, NodeId};

use super::options::{MAX_MEMBERS, MAX_MESSAGE_RECORDS};

/// Number of previous incarnations that are kept for each member, so that their late messages are recognised.
const MAX_PREVIOUS_INCARNATIONS: usize = 4;
/// How long a previous incarnation is kept, in milliseconds. Its last messages arrive well before that.
const PREVIOUS_INCARNATION_RETENTION_MS: Millis = 5000;
/// Number of messages that carry a change, for each doubling of the number of members.
const TRANSMISSIONS_PER_DOUBLING: u32 = 4;

#[derive(Clone, Debug)]
struct PreviousIncarnation {
    incarnation: Incarnation,
    expires_at: Millis,
}

#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    previous_incarnations: Vec<PreviousIncarnation>,
    /// When the member entered its present state.
    state_since: Millis,
    /// Number of further messages that carry the record as a recent change.
    remaining_transmissions: u32,
    /// The position of the record's last update among all updates; the latest updates are sent first.
    update_sequence: u64,
}

/// The records of the other members.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    members: BTreeMap<NodeId, Member>,
    changed: BTreeSet<NodeId>,
    last_update_sequence: u64,
    /// The offset at which the next full exchange starts if not all records fit into one message.
    rotation_offset: usize,
}

impl MemberTable {
    pub(super) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    pub(super) fn record(&self, node: NodeId) -> Option<&MemberRecord> {
        self.members.get(&node).map(|member| &member.record)
    }

    pub(super) fn state(&self, node: NodeId) -> Option<MemberState> {
        self.record(node).map(|record| record.state)
    }

    /// When the member entered its present state; `None` if it is unknown.
    pub(super) fn state_since(&self, node: NodeId) -> Option<Millis> {
        self.members.get(&node).map(|member| member.state_since)
    }

    /// Takes the members whose records were changed or removed since the last call.
    pub(super) fn take_changed(&mut self) -> Vec<NodeId> {
        std::mem::take(&mut self.changed).into_iter().collect()
    }

    /// Merges a record that a node has sent about itself; returns whether the table changed.
    ///
    /// Only such a record may replace a live incarnation by a new one. Late messages of a previous incarnation are
    /// ignored.
    pub(super) fn merge_self_report(&mut self, now: Millis, record: &MemberRecord) -> bool {
        let Some(member) = self.members.get_mut(&record.node) else {
            return self.insert(now, MemberRecord { state: MemberState::Alive, ..record.clone() });
        };
        if member.record.incarnation == record.incarnation {
            return self.merge(now, record);
        }
        member.previous_incarnations.retain(|previous| now < previous.expires_at);
        if member.previous_incarnations.iter().any(|previous| previous.incarnation == record.incarnation) {
            return false;
        }
        if member.previous_incarnations.len() == MAX_PREVIOUS_INCARNATIONS {
            member.previous_incarnations.remove(0);
        }
        member.previous_incarnations.push(PreviousIncarnation {
            incarnation: member.record.incarnation,
            expires_at: now + PREVIOUS_INCARNATION_RETENTION_MS,
        });
        self.put(now, MemberRecord { state: MemberState::Alive, ..record.clone() });
        true
    }

    /// Merges a record that a node has sent about another one; returns whether the table changed.
    pub(super) fn merge_from_peer(&mut self, now: Millis, record: &MemberRecord) -> bool {
        match self.members.get(&record.node).map(|member| &member.record) {
            None => record.state == MemberState::Alive && self.insert(now, record.clone()),
            Some(known) if known.incarnation == record.incarnation => self.merge(now, record),
            Some(known) => {
                let replaces = known.state == MemberState::Dead && record.state == MemberState::Alive;
                if replaces {
                    self.put(now, record.clone());
                }
                replaces
            }
        }
    }

    /// Whether the record's incarnation differs from the known one. Only the node itself can confirm the change.
    pub(super) fn has_different_incarnation(&self, record: &MemberRecord) -> bool {
        self.record(record.node).is_some_and(|known| known.incarnation != record.incarnation)
    }

    /// Sets the state of a member, as a change that is gossiped; without effect if the member is unknown.
    pub(super) fn set_state(&mut self, now: Millis, node: NodeId, state: MemberState) {
        if let Some(record) = self.record(node).cloned() {
            self.put(now, MemberRecord { state, ..record });
        }
    }

    /// Restarts the time-outs of all suspicions. Used after a stall, during which no refutations were processed.
    pub(super) fn restart_suspicions(&mut self, now: Millis) {
        let suspects = self.members.values_mut().filter(|member| member.record.state == MemberState::Suspect);
        suspects.for_each(|member| member.state_since = now);
    }

    pub(super) fn remove(&mut self, node: NodeId) {
        if self.members.remove(&node).is_some() {
            self.changed.insert(node);
        }
    }

    /// Selects at most `max_records` records for a message to `receiver`. The receiver's own record comes first if it
    /// is suspect or dead, so that the receiver can refute it. Recent changes follow, the latest first. With `full`,
    /// the remaining space is filled with other records, in rotation over successive messages.
    pub(super) fn records_for(
        &mut self,
        receiver: NodeId,
        full: bool,
        max_records: usize,
    ) -> Vec<MemberRecord> {
        let max_records = max_records.min(MAX_MESSAGE_RECORDS);
        let refutable = self.record(receiver).filter(|record| record.state != MemberState::Alive);
        let mut selected: Vec<MemberRecord> = refutable.cloned().into_iter().collect();
        self.select_recent_changes(receiver, max_records, &mut selected);
        if full {
            self.select_remaining(receiver, max_records, &mut selected);
        }
        selected
    }

    fn select_recent_changes(
        &mut self,
        receiver: NodeId,
        max_records: usize,
        selected: &mut Vec<MemberRecord>,
    ) {
        let mut recent: Vec<(u64, NodeId)> = self
            .members
            .iter()
            .filter(|(node, member)| **node != receiver && member.remaining_transmissions > 0)
            .map(|(node, member)| (member.update_sequence, *node))
            .collect();
        recent.sort_unstable_by(|left, right| right.cmp(left));
        for (_, node) in recent.into_iter().take(max_records.saturating_sub(selected.len())) {
            if let Some(member) = self.members.get_mut(&node) {
                member.remaining_transmissions -= 1;
                selected.push(member.record.clone());
            }
        }
    }

    fn select_remaining(&mut self, receiver: NodeId, max_records: usize, selected: &mut Vec<MemberRecord>) {
        let already: BTreeSet<NodeId> = selected.iter().map(|record| record.node).collect();
        let mut others: Vec<&MemberRecord> = self
            .records()
            .filter(|record| record.node != receiver && !already.contains(&record.node))
            .collect();
        let remaining = max_records.saturating_sub(selected.len());
        if others.len() > remaining {
            let start = self.rotation_offset % others.len();
            others.rotate_left(start);
            others.truncate(remaining);
        }
        selected.extend(others.into_iter().cloned());
        self.rotation_offset = self.rotation_offset.wrapping_add(remaining);
    }

    fn insert(&mut self, now: Millis, record: MemberRecord) -> bool {
        if self.members.len() >= MAX_MEMBERS && !self.evict_oldest_dead() {
            return false;
        }
        self.put(now, record);
        true
    }

    /// Evicts the member that has been dead for the longest time; returns false if no member is dead.
    fn evict_oldest_dead(&mut self) -> bool {
        let dead = self.members.iter().filter(|(_, member)| member.record.state == MemberState::Dead);
        let oldest = dead.min_by_key(|(_, member)| member.state_since).map(|(node, _)| *node);
        let Some(oldest) = oldest else { return false };
        self.remove(oldest);
        true
    }

    /// Merges a record of the known incarnation. The higher refutation number wins; if they are equal, the later state
    /// in the order alive, suspect, dead wins.
    fn merge(&mut self, now: Millis, record: &MemberRecord) -> bool {
        let Some(known) = self.record(record.node) else { return false };
        let is_newer = (record.refutation, record.state) > (known.refutation, known.state);
        if is_newer {
            self.put(now, record.clone());
        }
        is_newer
    }

    fn put(&mut self, now: Millis, record: MemberRecord) {
        self.last_update_sequence += 1;
        let node = record.node;
        let doublings = usize::BITS - self.members.len().leading_zeros();
        let remaining_transmissions = TRANSMISSIONS_PER_DOUBLING * (doublings + 1);
        let update_sequence = self.last_update_sequence;
        let member = self.members.entry(node).or_insert_with(|| Member {
            record: record.clone(),
            previous_incarnations: Vec::new(),
            state_since: now,
            remaining_transmissions,
            update_sequence,
        });
        if member.record.state != record.state || member.record.incarnation != record.incarnation {
            member.state_since = now;
        }
        member.record = record;
        member.remaining_transmissions = remaining_transmissions;
        member.update_sequence = update_sequence;
        self.changed.insert(node);
    }
}
