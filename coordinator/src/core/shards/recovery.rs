//! Recovery of the shards from the journal's records when the process starts.

use shaletrail_consensus::{Options, Record, Replica};
use shaletrail_protocol::Millis;
use shaletrail_storage::StoredRecord;

use super::limits::max_uncommitted_bytes;
use super::shard::Shard;
use super::state_machine::StateMachine;
use super::SERVICE_SHARDS;
use crate::interface::{Action, CoordinatorOptions, StateChange};

/// The records of one shard in the journal.
#[derive(Clone, Default)]
struct StoredShard {
    records: Vec<Record>,
    /// Whether any record could not be decoded.
    is_corrupt: bool,
}

/// Restores all shards from the journal's records. If records of a shard cannot be decoded, it starts without any, as a
/// recovering voter, which counts for no quorum until a leader has readmitted it. The same applies to a shard without
/// records if the journal was erased, even during the bootstrap: the lost records may contain a vote or an acknowledged
/// entry of the group that is being bootstrapped.
pub(super) fn recover(
    options: &CoordinatorOptions,
    stored: Vec<StoredRecord>,
    now: Millis,
    actions: &mut Vec<Action>,
) -> Vec<Shard> {
    let mut shards = Vec::new();
    for (shard, stored) in (0..).zip(decode(stored)) {
        let is_unreadable = stored.is_corrupt || !is_state_readable(shard, &stored.records);
        let mut records = stored.records;
        if is_unreadable {
            records.clear();
            actions.push(Action::LogStateChange(StateChange::UnreadableRecords { shard }));
        }
        let recovering = !options.bootstrap || options.journal_was_erased || is_unreadable;
        let seed = options.seed.wrapping_add(u64::from(shard));
        let max_uncommitted_bytes = max_uncommitted_bytes(shard, options.checkpoint_bytes);
        let defaults = Options::new(options.node, seed);
        let replica_options = Options { recovering, max_uncommitted_bytes, ..defaults };
        let mut replica = Replica::new(replica_options, records, now);
        if options.bootstrap && options.seeds.contains(&options.node) {
            replica.bootstrap(now, &options.seeds);
        }
        shards.push(Shard::new(shard, replica, now));
    }
    shards
}

/// Decodes the records of each shard. Records of streams that belong to no shard are skipped.
fn decode(stored: Vec<StoredRecord>) -> Vec<StoredShard> {
    let mut shards = vec![StoredShard::default(); SERVICE_SHARDS as usize + 1];
    for StoredRecord { stream, bytes, .. } in stored {
        let Some(shard) = shards.get_mut(stream as usize) else { continue };
        match Record::decode(&bytes) {
            Ok(record) => shard.records.push(record),
            Err(_) => shard.is_corrupt = true,
        }
    }
    shards
}

/// Returns whether the state machine can be restored from the newest snapshot among the records, which replaces all
/// earlier ones. The snapshot that the bootstrap creates has an empty state and counts as readable.
fn is_state_readable(shard: u32, records: &[Record]) -> bool {
    let newest = records.iter().rev().find_map(|record| match record {
        Record::Snapshot(snapshot) => Some(&snapshot.state),
        _ => None,
    });
    newest.is_none_or(|state| state.is_empty() || StateMachine::new(shard).restore(state))
}
