//! One shard at this node: its replica, the state machine that committed entries are applied to, and log compaction.

use shaletrail_consensus::{Entry, Payload, Replica};
use shaletrail_protocol::Millis;

use super::limits::COMPACT_BYTES;
use super::state_machine::StateMachine;
use super::ShardEvent;

/// Number of applied entries after which the log is compacted into a snapshot, if the snapshot is large.
const COMPACT_ENTRIES: u64 = 128;
/// If the last snapshot was no larger than this, a new one is taken after each command. A node that restarts then has
/// the state that it had applied, even before a leader tells it the commit index.
const SMALL_SNAPSHOT_BYTES: usize = 96 << 10;

/// This node's part of a shard.
pub struct Shard {
    /// The consensus replica of the shard.
    pub replica: Replica,
    pub(super) state: StateMachine,
    pub(super) started_at: Millis,
    /// Whether the replica no longer participates because its state machine could not read a snapshot of the leader.
    pub(super) is_halted: bool,
    /// Bytes of the commands applied since the last snapshot.
    applied_bytes: usize,
    /// Index of the last entry covered by the newest snapshot that this process has taken; 0 if none.
    compacted_at: u64,
    /// Size of that snapshot; 0 if none.
    snapshot_bytes: usize,
}

impl Shard {
    /// Creates a shard whose state machine is in its initial state.
    pub(super) fn new(shard: u32, replica: Replica, now: Millis) -> Self {
        Shard {
            replica,
            state: StateMachine::new(shard),
            started_at: now,
            is_halted: false,
            applied_bytes: 0,
            compacted_at: 0,
            snapshot_bytes: 0,
        }
    }

    /// Applies a committed entry; returns the event for the rest of the coordinator, if any.
    pub(super) fn apply(&mut self, shard: u32, entry: Entry) -> Option<ShardEvent> {
        let (index, term) = (entry.index, entry.term);
        let Payload::Command(command) = entry.payload else { return None };
        self.applied_bytes += command.len();
        let event = match &mut self.state {
            StateMachine::Configuration(state) => {
                let outcome = state.apply(&command);
                Some(ShardEvent::ChangeApplied { index, term, outcome })
            }
            StateMachine::Service(state) => {
                state.apply(&command).map(|epoch| ShardEvent::LeaseEpochStarted { shard, epoch })
            }
        };
        self.compact_if_due(index);
        event
    }

    fn compact_if_due(&mut self, applied: u64) {
        let is_log_long =
            applied >= self.compacted_at + COMPACT_ENTRIES || self.applied_bytes >= COMPACT_BYTES;
        if !is_log_long && self.snapshot_bytes > SMALL_SNAPSHOT_BYTES {
            return;
        }
        let state = self.state.snapshot();
        self.snapshot_bytes = state.len();
        self.replica.compact(applied, state);
        self.compacted_at = applied;
        self.applied_bytes = 0;
    }
}
