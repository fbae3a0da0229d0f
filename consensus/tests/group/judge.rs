//! Checks what must hold at every moment.

use std::collections::BTreeMap;

use shaletrail_consensus::{Entry, Index, Payload, Snapshot, Term, VoterSet};
use shaletrail_protocol::{Millis, NodeId};

use super::command_number;
use super::machine::{decode_state, Machine};

/// Sees all effects of all machines.
#[derive(Default)]
pub struct Judge {
    committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, NodeId>,
    acknowledged: BTreeMap<Index, Entry>,
    /// Reads that are out, with the last index acknowledged when they were asked for.
    reads: BTreeMap<u64, Index>,
    /// Reads answered.
    pub reads_answered: u64,
    /// Reads that failed.
    pub reads_failed: u64,
}

impl Judge {
    /// All machines apply the same entries.
    pub fn applies(&mut self, node: NodeId, entry: &Entry) {
        let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "{node} applies another entry than others did");
    }

    /// States hold what was committed, and nothing else.
    pub fn installs(&mut self, snapshot: &Snapshot) {
        let covered = self.committed.range(..=snapshot.index());
        let commands: Vec<u64> = covered.filter_map(|(_, entry)| command_number(&entry.payload)).collect();
        assert_eq!(decode_state(&snapshot.state), commands, "a state differs from what was committed");
    }

    /// There is one leader a term.
    pub fn elects(&mut self, node: NodeId, term: Term) {
        let leader = *self.leaders.entry(term).or_insert(node);
        assert_eq!(leader, node, "two leaders in term {term}");
    }

    /// What is acknowledged is synced on a majority.
    pub fn acknowledges(
        &mut self,
        index: Index,
        entry: &Entry,
        machines: &BTreeMap<NodeId, Machine>,
        node: NodeId,
    ) {
        let holds = |voter: NodeId| {
            machines.get(&voter).is_some_and(|machine| machine.was_wiped || machine.disk.holds(entry))
        };
        let voters = machines[&node].replica.as_ref().expect("it has just applied").voters();
        assert!(voters.has_quorum(holds) || voters.is_joint(), "{index} is not synced on a majority");
        self.acknowledged.insert(index, entry.clone());
    }

    /// Only one machine holds a lease, by true time.
    pub fn leases(&self, machines: &BTreeMap<NodeId, Machine>, now: Millis) {
        let holds = |machine: &Machine| {
            let replica = machine.replica.as_ref();
            replica.is_some_and(|replica| replica.is_leader_with_lease(machine.clock(now)))
        };
        let holders: Vec<NodeId> =
            machines.iter().filter(|(_, machine)| holds(machine)).map(|(node, _)| *node).collect();
        assert!(holders.len() <= 1, "two leases at {now}: {holders:?}");
    }

    pub fn asks_read(&mut self, token: u64) {
        self.reads.insert(token, self.acknowledged_index());
    }

    /// A read sees all that was acknowledged before it was asked for.
    pub fn answers_read(&mut self, token: u64, index: Index, applied: Index) {
        let least = self.reads.remove(&token).expect("a read is answered once");
        assert!(index >= least, "a read at {index} misses {least}");
        assert!(applied >= index, "a read is answered before {index} is applied");
        self.reads_answered += 1;
    }

    pub fn fails_read(&mut self, token: u64) {
        self.reads.remove(&token).expect("a read is answered once");
        self.reads_failed += 1;
    }

    pub fn is_read_open(&self, token: u64) -> bool {
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

    /// A machine has applied everything that was ever acknowledged.
    pub fn has_all_acknowledged(&self, machine: &Machine) {
        let held: std::collections::BTreeSet<u64> = machine.commands.iter().copied().collect();
        for (index, entry) in &self.acknowledged {
            let command = command_number(&entry.payload).expect("only commands are acknowledged");
            assert!(held.contains(&command), "{index}, acknowledged, was lost");
        }
    }
}
