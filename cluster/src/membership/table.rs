//! What is known of the members: records merge by incarnation, refutation and state.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::internal::{MemberRecord, MemberState};
use shaletrail_protocol::{Incarnation, Millis, NodeId};

use super::options::{MAX_MEMBERS, MAX_MESSAGE_RECORDS};

/// Ended incarnations of one node that are remembered, at most.
const FORMER_KEPT: usize = 4;
/// How long an ended incarnation is remembered, in milliseconds: late messages of its process are older.
const FORMER_MS: Millis = 5000;
/// Times that a change is told, for each doubling of the number of members.
const TELLINGS: u32 = 4;

#[derive(Clone, Debug)]
struct Former {
    incarnation: Incarnation,
    until: Millis,
}

#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    former: Vec<Former>,
    since: Millis,
    /// Messages that shall still carry the record.
    tellings: u32,
    /// Orders records by age: the newest are told first.
    updated: u64,
}

/// Records of the other members.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    members: BTreeMap<NodeId, Member>,
    changed: BTreeSet<NodeId>,
    updates: u64,
    rotation: usize,
}

impl Table {
    pub(super) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    pub(super) fn record(&self, node: NodeId) -> Option<&MemberRecord> {
        self.members.get(&node).map(|member| &member.record)
    }

    pub(super) fn state(&self, node: NodeId) -> Option<MemberState> {
        self.record(node).map(|record| record.state)
    }

    /// When the member came into its state.
    pub(super) fn since(&self, node: NodeId) -> Option<Millis> {
        self.members.get(&node).map(|member| member.since)
    }

    /// Members whose incarnation or state has changed since the last call.
    pub(super) fn take_changed(&mut self) -> Vec<NodeId> {
        std::mem::take(&mut self.changed).into_iter().collect()
    }

    /// A record that its own node has sent. True if something changed.
    pub(super) fn learn_direct(&mut self, now: Millis, record: &MemberRecord) -> bool {
        let Some(member) = self.members.get_mut(&record.node) else {
            return self.insert(now, MemberRecord { state: MemberState::Alive, ..record.clone() });
        };
        if member.record.incarnation == record.incarnation {
            return self.merge(now, record);
        }
        member.former.retain(|former| now < former.until);
        if member.former.iter().any(|former| former.incarnation == record.incarnation) {
            return false;
        }
        if member.former.len() == FORMER_KEPT {
            member.former.remove(0);
        }
        member.former.push(Former { incarnation: member.record.incarnation, until: now + FORMER_MS });
        self.put(now, MemberRecord { state: MemberState::Alive, ..record.clone() });
        true
    }

    /// A record told by somebody else. True if something changed.
    pub(super) fn learn_told(&mut self, now: Millis, record: &MemberRecord) -> bool {
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

    /// Whether somebody tells of an incarnation that only the node itself can confirm.
    pub(super) fn is_disputed(&self, record: &MemberRecord) -> bool {
        self.record(record.node).is_some_and(|known| known.incarnation != record.incarnation)
    }

    /// Moves a member into a worse state.
    pub(super) fn degrade(&mut self, now: Millis, node: NodeId, state: MemberState) {
        if let Some(record) = self.record(node).cloned() {
            self.put(now, MemberRecord { state, ..record });
        }
    }

    /// Counts suspicions anew from now, as after a pause in which refutations could not be read.
    pub(super) fn renew_suspicions(&mut self, now: Millis) {
        let suspects = self.members.values_mut().filter(|member| member.record.state == MemberState::Suspect);
        suspects.for_each(|member| member.since = now);
    }

    pub(super) fn forget(&mut self, node: NodeId) {
        if self.members.remove(&node).is_some() {
            self.changed.insert(node);
        }
    }

    fn insert(&mut self, now: Millis, record: MemberRecord) -> bool {
        if self.members.len() >= MAX_MEMBERS && !self.make_room() {
            return false;
        }
        self.put(now, record);
        true
    }

    /// Drops the member that has been absent for longest.
    fn make_room(&mut self) -> bool {
        let absent = self.members.iter().filter(|(_, member)| member.record.state == MemberState::Dead);
        let oldest = absent.min_by_key(|(_, member)| member.since).map(|(node, _)| *node);
        oldest.is_some_and(|node| self.members.remove(&node).is_some())
    }

    fn merge(&mut self, now: Millis, record: &MemberRecord) -> bool {
        let Some(known) = self.record(record.node) else { return false };
        let newer = (record.refutation, record.state) > (known.refutation, known.state);
        if newer {
            self.put(now, record.clone());
        }
        newer
    }

    fn put(&mut self, now: Millis, record: MemberRecord) {
        self.updates += 1;
        let node = record.node;
        let tellings = TELLINGS * (usize::BITS - self.members.len().leading_zeros() + 1);
        let updated = self.updates;
        let member = self.members.entry(node).or_insert_with(|| Member {
            record: record.clone(),
            former: Vec::new(),
            since: now,
            tellings,
            updated,
        });
        if member.record.state != record.state || member.record.incarnation != record.incarnation {
            member.since = now;
        }
        member.record = record;
        member.tellings = tellings;
        member.updated = updated;
        self.changed.insert(node);
    }

    /// At most `count` records for a message to `receiver`: what it should refute first, then the newest; with
    /// `all`, also what is not new, in turn.
    pub(super) fn tell(&mut self, receiver: NodeId, all: bool, count: usize) -> Vec<MemberRecord> {
        let count = count.min(MAX_MESSAGE_RECORDS);
        let mut told = Vec::new();
        let refutable = self.record(receiver).filter(|record| record.state != MemberState::Alive);
        told.extend(refutable.cloned());
        let mut fresh: Vec<(u64, NodeId)> = self
            .members
            .iter()
            .filter(|(node, member)| **node != receiver && member.tellings > 0)
            .map(|(node, member)| (member.updated, *node))
            .collect();
        fresh.sort_unstable_by(|left, right| right.cmp(left));
        for (_, node) in fresh.into_iter().take(count.saturating_sub(told.len())) {
            if let Some(member) = self.members.get_mut(&node) {
                member.tellings -= 1;
                told.push(member.record.clone());
            }
        }
        if all {
            self.tell_others(receiver, count, &mut told);
        }
        told
    }

    fn tell_others(&mut self, receiver: NodeId, count: usize, told: &mut Vec<MemberRecord>) {
        let already: BTreeSet<NodeId> = told.iter().map(|record| record.node).collect();
        let mut others: Vec<&MemberRecord> = self
            .records()
            .filter(|record| record.node != receiver && !already.contains(&record.node))
            .collect();
        let room = count.saturating_sub(told.len());
        if others.len() > room {
            let turn = self.rotation % others.len();
            others.rotate_left(turn);
            others.truncate(room);
        }
        told.extend(others.into_iter().cloned());
        self.rotation = self.rotation.wrapping_add(room);
    }
}
