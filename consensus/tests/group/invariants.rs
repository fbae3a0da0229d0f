//! The invariants of Raft (Ongaro's thesis, figure 3.2) and those of leases and reads, checked on every effect.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_consensus::{Entry, Index, Payload, Snapshot, Term, VoterSet};
use shaletrail_protocol::{Millis, NodeId};

use super::command_number;
use super::machine::{decode_state, Machine};

/// Observes the effects of all machines and panics if an invariant is violated.
#[derive(Default)]
pub struct InvariantChecker {
    committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, NodeId>,
    acknowledged: BTreeMap<Index, Entry>,
    /// Pending reads by token, with the highest index that was acknowledged when each was requested.
    reads: BTreeMap<u64, Index>,
    /// Number of reads that were answered.
    pub reads_answered: u64,
    /// Number of reads that failed.
    pub reads_failed: u64,
}

impl InvariantChecker {
    /// State Machine Safety: all machines apply the same entry at each index.
    pub fn check_applied(&mut self, node: NodeId, entry: &Entry) {
        let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "{node} applied a different entry than other machines");
    }

    /// The state in a snapshot contains exactly the commands committed up to its index.
    pub fn check_installed(&mut self, snapshot: &Snapshot) {
        let covered = self.committed.range(..=snapshot.index());
        let commands: Vec<u64> = covered.filter_map(|(_, entry)| command_number(&entry.payload)).collect();
        assert_eq!(
            decode_state(&snapshot.state),
            commands,
            "the snapshot's state differs from the committed commands"
        );
    }

    /// Election Safety: there is at most one leader per term.
    pub fn check_elected(&mut self, node: NodeId, term: Term) {
        let leader = *self.leaders.entry(term).or_insert(node);
        assert_eq!(leader, node, "two leaders in term {term}");
    }

    /// An acknowledged entry is synced on a majority. Disks that were lost since count as synced.
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
        let voters = machines[&node].replica.as_ref().expect("it has just applied an entry").voters();
        assert!(
            voters.has_quorum(is_synced) || voters.is_joint(),
            "entry {index} was acknowledged without being synced on a majority"
        );
        self.acknowledged.insert(index, entry.clone());
    }

    /// At any moment of true time, at most one machine holds a lease.
    pub fn check_leases(&self, machines: &BTreeMap<NodeId, Machine>, now: Millis) {
        let has_lease = |machine: &Machine| {
            let replica = machine.replica.as_ref();
            replica.is_some_and(|replica| replica.is_leader_with_lease(machine.clock(now)))
        };
        let leaseholders: Vec<NodeId> =
            machines.iter().filter(|(_, machine)| has_lease(machine)).map(|(node, _)| *node).collect();
        assert!(leaseholders.len() <= 1, "two leases at the same time, at {now}: {leaseholders:?}");
    }

    /// Registers a read, and which entries it has to reflect.
    pub fn begin_read(&mut self, token: u64) {
        self.reads.insert(token, self.acknowledged_index());
    }

    /// A read reflects everything that was acknowledged before it was requested.
    pub fn check_read(&mut self, token: u64, index: Index, applied: Index) {
        let min_index = self.reads.remove(&token).expect("a read is answered once");
        assert!(index >= min_index, "a read at index {index} misses the acknowledged index {min_index}");
        assert!(applied >= index, "a read was answered before index {index} was applied");
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

    /// The last committed voter set and its index; `None` if no membership change was committed.
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
            assert!(applied_commands.contains(&command), "the acknowledged entry {index} was lost");
        }
    }
}
