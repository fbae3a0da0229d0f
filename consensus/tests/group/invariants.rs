//! The invariants of Raft (Ongaro's thesis, figure 3.2) and of leases and reads, checked at each effect.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_consensus::{Entry, Index, Payload, Snapshot, Term, VoterSet};
use shaletrail_protocol::{Millis, NodeId};

use super::command_number;
use super::machine::{decode_state, Machine};

/// Sees the effects of all machines and panics where an invariant is broken.
#[derive(Default)]
pub struct InvariantChecker {
    committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, NodeId>,
    acknowledged: BTreeMap<Index, Entry>,
    /// Pending reads by token, with the last index acknowledged when they were asked for.
    reads: BTreeMap<u64, Index>,
    /// Reads answered.
    pub reads_answered: u64,
    /// Reads that failed.
    pub reads_failed: u64,
}

impl InvariantChecker {
    /// State Machine Safety: all machines apply the same entry at an index.
    pub fn check_applied(&mut self, node: NodeId, entry: &Entry) {
        let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "{node} applies another entry than others did");
    }

    /// A snapshot's state holds what was committed up to its index, and nothing else.
    pub fn check_installed(&mut self, snapshot: &Snapshot) {
        let covered = self.committed.range(..=snapshot.index());
        let commands: Vec<u64> = covered.filter_map(|(_, entry)| command_number(&entry.payload)).collect();
        assert_eq!(decode_state(&snapshot.state), commands, "a state differs from what was committed");
    }

    /// Election Safety: there is one leader a term.
    pub fn check_elected(&mut self, node: NodeId, term: Term) {
        let leader = *self.leaders.entry(term).or_insert(node);
        assert_eq!(leader, node, "two leaders in term {term}");
    }

    /// What is acknowledged is synced on a majority, but for disks that were lost since.
    pub fn check_acknowledged(
        &mut self,
        index: Index,
        entry: &Entry,
        machines: &BTreeMap<NodeId, Machine>,
        node: NodeId,
    ) {
        let is_synced = |voter: NodeId| {
            machines
                .get(&voter)
                .is_some_and(|machine| machine.has_lost_disk || machine.disk.has_synced(entry))
        };
        let voters = machines[&node].replica.as_ref().expect("it has just applied").voters();
        assert!(voters.has_quorum(is_synced) || voters.is_joint(), "{index} is not synced on a majority");
        self.acknowledged.insert(index, entry.clone());
    }

    /// One machine at most holds a lease, at a moment of true time.
    pub fn check_leases(&self, machines: &BTreeMap<NodeId, Machine>, now: Millis) {
        let has_lease = |machine: &Machine| {
            let replica = machine.replica.as_ref();
            replica.is_some_and(|replica| replica.is_leader_with_lease(machine.clock(now)))
        };
        let leaseholders: Vec<NodeId> =
            machines.iter().filter(|(_, machine)| has_lease(machine)).map(|(node, _)| *node).collect();
        assert!(leaseholders.len() <= 1, "two leases at {now}: {leaseholders:?}");
    }

    /// Notes what a read that is asked for now has to see.
    pub fn begin_read(&mut self, token: u64) {
        self.reads.insert(token, self.acknowledged_index());
    }

    /// A read sees all that was acknowledged before it was asked for.
    pub fn check_read(&mut self, token: u64, index: Index, applied: Index) {
        let min_index = self.reads.remove(&token).expect("a read is answered once");
        assert!(index >= min_index, "a read at {index} misses {min_index}");
        assert!(applied >= index, "a read is answered before {index} is applied");
        self.reads_answered += 1;
    }

    pub fn fail_read(&mut self, token: u64) {
        self.reads.remove(&token).expect("a read is answered once");
        self.reads_failed += 1;
    }

    pub fn is_read_pending(&self, token: u64) -> bool {
        self.reads.contains_key(&token)
    }

    pub fn is_acknowledged(&self, index: Index) -> bool {
        self.acknowledged.contains_key(&index)
    }

    pub fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    pub fn acknowledged_index(&self) -> Index {
        self.acknowledged.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// The last committed voters and their index, where any change was committed.
    pub fn committed_voters(&self) -> Option<(Index, VoterSet)> {
        self.committed.iter().rev().find_map(|(index, entry)| match &entry.payload {
            Payload::Voters(voters) => Some((*index, voters.clone())),
            _ => None,
        })
    }

    /// Leader Completeness: a machine has applied everything that was ever acknowledged.
    pub fn assert_nothing_lost(&self, machine: &Machine) {
        let applied_commands: BTreeSet<u64> = machine.commands.iter().copied().collect();
        for (index, entry) in &self.acknowledged {
            let command = command_number(&entry.payload).expect("only commands are acknowledged");
            assert!(applied_commands.contains(&command), "{index}, acknowledged, was lost");
        }
    }
}
