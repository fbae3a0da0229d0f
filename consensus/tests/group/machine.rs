//! A simulated machine: a replica with its clock, disk and state machine.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use rand_pcg::Pcg32;
use shaletrail_consensus::{Entry, HardState, Index, Message, Options, Record, Replica, Snapshot, Term};
use shaletrail_protocol::{Millis, NodeId};

use super::command_number;

/// Records that were handed to the disk and are not synced yet.
struct PendingSync {
    ticket: u64,
    records: Vec<Record>,
    due: Millis,
}

/// A simulated disk.
#[derive(Default)]
pub struct Disk {
    /// The synced records, each of which has been encoded and decoded again.
    synced: Vec<Record>,
    pending: VecDeque<PendingSync>,
}

impl Disk {
    pub fn enqueue(&mut self, ticket: u64, records: Vec<Record>, due: Millis) {
        self.pending.push_back(PendingSync { ticket, records, due });
    }

    /// Syncs the next batch of records if it is due, and returns its ticket.
    pub fn sync_due(&mut self, now: Millis) -> Option<u64> {
        let pending = self.pending.pop_front_if(|pending| pending.due <= now)?;
        self.synced.extend(pending.records.iter().map(encode_and_decode));
        Some(pending.ticket)
    }

    /// Loses unsynced records, except for a random number of the first ones, which may have reached the disk.
    fn lose_unsynced(&mut self, random: &mut Pcg32) {
        let unsynced: Vec<Record> = self.pending.drain(..).flat_map(|pending| pending.records).collect();
        let survivors = random.random_range(0..=unsynced.len());
        self.synced.extend(unsynced.iter().take(survivors).map(encode_and_decode));
    }

    /// The disk identity in the latest hard state.
    pub fn id(&self) -> u64 {
        self.hard_state().expect("a hard state was recorded").disk_id
    }

    fn hard_state(&self) -> Option<&HardState> {
        self.synced.iter().rev().find_map(|record| match record {
            Record::HardState(hard_state) => Some(hard_state),
            _ => None,
        })
    }

    /// All synced records, oldest first.
    pub fn records(&self) -> &[Record] {
        &self.synced
    }

    /// Replaces all synced records. Pending records are synced after them.
    pub fn checkpoint(&mut self, records: &[Record]) {
        self.synced = records.iter().map(encode_and_decode).collect();
    }

    /// Whether the disk holds no hard state, or that of a recovering voter.
    pub fn is_recovering(&self) -> bool {
        self.hard_state().is_none_or(|hard_state| hard_state.recovering)
    }

    /// Whether an entry is synced here, in the log or in a snapshot.
    pub fn has_synced(&self, entry: &Entry) -> bool {
        let newest = self.synced.iter().rev().find_map(|record| match record {
            Record::Entries(entries) if entries.first().is_some_and(|first| first.index <= entry.index) => {
                Some(entries.iter().any(|other| other.position() == entry.position()))
            }
            Record::Snapshot(snapshot) if snapshot.index() >= entry.index => Some(true),
            _ => None,
        });
        newest.unwrap_or(false)
    }
}

fn encode_and_decode(record: &Record) -> Record {
    Record::decode(&record.encode()).expect("records encoded here decode")
}

pub struct Machine {
    pub replica: Option<Replica>,
    pub disk: Disk,
    pub is_paused: bool,
    pub is_disk_stalled: bool,
    /// Duration of each sync, if the disk differs from the conditions of the group.
    pub sync_ms: Option<Millis>,
    /// Whether it was removed permanently and never runs again.
    pub is_removed: bool,
    /// Whether it has ever lost a disk.
    pub has_lost_disk: bool,
    /// Messages that arrived while it was paused.
    pub inbox: Vec<(NodeId, Message)>,
    /// Terms of the proposals made here in the current leadership, by index.
    pub proposals: BTreeMap<Index, Term>,
    pub applied: Index,
    /// The commands applied, in order.
    pub commands: Vec<u64>,
    clock_offset: Millis,
}

impl Machine {
    pub fn new(clock_offset: Millis) -> Self {
        Machine {
            replica: None,
            disk: Disk::default(),
            is_paused: false,
            is_disk_stalled: false,
            sync_ms: None,
            is_removed: false,
            has_lost_disk: false,
            inbox: Vec::new(),
            proposals: BTreeMap::new(),
            applied: 0,
            commands: Vec::new(),
            clock_offset,
        }
    }

    /// The time on its own monotonic clock.
    pub fn clock(&self, now: Millis) -> Millis {
        now + self.clock_offset
    }

    pub fn is_running(&self) -> bool {
        self.replica.is_some() && !self.is_paused
    }

    /// Starts a replica with the records on the disk.
    pub fn start(&mut self, options: Options, now: Millis) {
        let now = self.clock(now);
        self.applied = shaletrail_consensus::BOOTSTRAP_INDEX;
        self.commands.clear();
        self.replica = Some(Replica::new(options, self.disk.records().to_vec(), now));
    }

    pub fn crash(&mut self, random: &mut Pcg32) {
        self.disk.lose_unsynced(random);
        self.replica = None;
        self.is_paused = false;
        self.inbox.clear();
        self.proposals.clear();
    }

    pub fn wipe_disk(&mut self) {
        self.disk = Disk::default();
        self.has_lost_disk = true;
    }

    /// Applies an entry. Returns its index if it was proposed here.
    pub fn apply(&mut self, entry: Entry) -> Option<Index> {
        assert_eq!(entry.index, self.applied + 1, "entries are applied in order and without gaps");
        self.applied = entry.index;
        self.commands.extend(command_number(&entry.payload));
        let term = self.proposals.remove(&entry.index)?;
        (term == entry.term).then_some(entry.index)
    }

    pub fn install(&mut self, snapshot: &Snapshot) {
        assert!(snapshot.index() > self.applied, "a snapshot is ahead of the state machine");
        self.applied = snapshot.index();
        self.commands = decode_state(&snapshot.state);
    }

    /// The encoded state of the state machine.
    pub fn encode_state(&self) -> Vec<u8> {
        bitcode::encode(&self.commands)
    }

    /// Lets the replica compact its log up to the last applied entry.
    pub fn compact(&mut self) {
        let state = self.encode_state();
        let applied = self.applied;
        if let Some(replica) = &mut self.replica {
            replica.compact(applied, state);
        }
    }

    /// Replaces the records on the disk by a checkpoint.
    pub fn checkpoint(&mut self) {
        if let Some(replica) = &self.replica {
            self.disk.checkpoint(&replica.records());
        }
    }

    pub fn describe(&self, node: NodeId) -> String {
        let Some(replica) = &self.replica else {
            return format!("{node}: down, removed {}", self.is_removed);
        };
        format!(
            "{node}: {} in term {}, leader {:?}, last {:?}, commit {}, snapshot {}, applied {}, voters {:?}, \
             recovering {}, paused {}, disk stalled {}",
            replica.role(),
            replica.term(),
            replica.leader(),
            replica.last_position(),
            replica.commit_index(),
            replica.snapshot_index(),
            self.applied,
            replica.voters(),
            replica.is_recovering(),
            self.is_paused,
            self.is_disk_stalled,
        )
    }
}

/// The commands in an encoded state.
pub fn decode_state(state: &[u8]) -> Vec<u64> {
    bitcode::decode(state).expect("states encoded here decode")
}
