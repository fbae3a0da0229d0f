//! One shard at this node: its replica, the state machine that its entries are applied to, and the log's compaction.

use shaletrail_consensus::{Entry, Payload, Replica};
use shaletrail_protocol::Millis;

use super::state_machine::StateMachine;
use super::ShardEvent;

/// Applied entries after which the log is replaced by a snapshot, where the snapshot is large.
const COMPACT_ENTRIES: u64 = 128;
/// Bytes of applied commands after which it is.
const COMPACT_BYTES: usize = 2 << 20;
/// A snapshot of up to this many bytes is taken after each command: a node that restarts then knows all that it has
/// applied, before there is a leader to tell it what is committed.
const SMALL_SNAPSHOT_BYTES: usize = 96 << 10;

/// One shard at this node.
pub struct Shard {
    /// The shard's replica.
    pub replica: Replica,
    pub(super) state: StateMachine,
    pub(super) started_at: Millis,
    /// Whether the replica takes no part any more: its state machine lacks what the group has decided.
    pub(super) is_halted: bool,
    /// Bytes of the commands that were applied since the last snapshot.
    applied_bytes: usize,
    /// The last entry that the newest snapshot of this process covers.
    compacted_at: u64,
    /// Size of that snapshot.
    snapshot_bytes: usize,
}

impl Shard {
    /// A shard with the state machine's initial state.
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

    /// Applies a committed entry.
    pub(super) fn apply(&mut self, shard: u32, entry: Entry) -> Option<ShardEvent> {
        let (index, term) = (entry.index, entry.term);
        let Payload::Command(command) = entry.payload else { return None };
        self.applied_bytes += command.len();
        let event = match &mut self.state {
            StateMachine::Configuration(state) => {
                let outcome = state.apply(&command);
                Some(ShardEvent::ChangeDecided { index, term, outcome })
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
