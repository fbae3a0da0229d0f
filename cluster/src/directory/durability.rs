//! Durability of acknowledged stages: a server's call is answered, and a peer's batch is acknowledged, only once the
//! stages that they concern are on this coordinator's disk. An acknowledged stage therefore survives a simultaneous
//! failure of all coordinators.

use std::collections::{BTreeMap, VecDeque};

use shaletrail_protocol::internal::ServerRecord;
use shaletrail_protocol::{Millis, NodeId};

use super::server_entry::ServerKey;
use super::Directory;

/// Limit on the acknowledgements that wait for the disk. Beyond it the oldest are dropped; the peer then sends the
/// batch again.
const MAX_DEFERRED_ACKNOWLEDGEMENTS: usize = 256;

/// Records of draining and removed servers that must be written to disk and synced.
#[derive(Clone, Debug, PartialEq)]
pub struct UnsyncedRecords {
    /// Identifies this set of records; higher than all earlier tickets. See [`Directory::on_synced`].
    pub ticket: u64,
    /// The records, each with the stage that must become durable.
    pub records: Vec<ServerRecord>,
}

/// The acknowledgement of a peer's batch, which waits until the stages in the batch are on disk here.
#[derive(Clone, Debug)]
struct DeferredAcknowledgement {
    peer: NodeId,
    batch: u64,
    servers: Vec<ServerKey>,
}

/// The stages that are not on disk yet, and the acknowledgements that wait for them.
#[derive(Debug, Default)]
pub(super) struct Durability {
    /// Servers whose stage is not on disk, each with the ticket that covers it; `None` until the record has been taken.
    unsynced: BTreeMap<ServerKey, Option<u64>>,
    last_ticket: u64,
    deferred: VecDeque<DeferredAcknowledgement>,
    released: Vec<(NodeId, u64)>,
}

impl Durability {
    /// Records that a server has entered a later stage, which is not on disk yet.
    pub(super) fn record_stage(&mut self, key: ServerKey) {
        self.unsynced.insert(key, None);
    }

    /// Stops tracking a server that has been dropped from the directory, or whose record was loaded from disk.
    pub(super) fn forget(&mut self, key: ServerKey) {
        self.unsynced.remove(&key);
    }

    /// Whether the server's stage is on disk.
    pub(super) fn is_synced(&self, key: ServerKey) -> bool {
        !self.unsynced.contains_key(&key)
    }

    /// Defers the acknowledgement of a batch until the stages of these servers are on disk.
    fn defer(&mut self, peer: NodeId, batch: u64, servers: Vec<ServerKey>) {
        if self.deferred.len() >= MAX_DEFERRED_ACKNOWLEDGEMENTS {
            self.deferred.pop_front();
        }
        self.deferred.push_back(DeferredAcknowledgement { peer, batch, servers });
    }

    /// Assigns one ticket to all stages that have none yet, and returns it with their servers; `None` if there are
    /// none.
    fn take_unsynced(&mut self) -> Option<(u64, Vec<ServerKey>)> {
        let keys: Vec<ServerKey> =
            self.unsynced.iter().filter(|(_, ticket)| ticket.is_none()).map(|(key, _)| *key).collect();
        if keys.is_empty() {
            return None;
        }
        self.last_ticket += 1;
        self.unsynced.values_mut().for_each(|ticket| _ = ticket.get_or_insert(self.last_ticket));
        Some((self.last_ticket, keys))
    }

    /// Records that all tickets up to `synced` are on disk; returns the servers whose stage has thereby become durable.
    fn on_synced(&mut self, synced: u64) -> Vec<ServerKey> {
        let is_covered = |ticket: Option<u64>| ticket.is_some_and(|ticket| ticket <= synced);
        let keys: Vec<ServerKey> =
            self.unsynced.iter().filter(|(_, ticket)| is_covered(**ticket)).map(|(key, _)| *key).collect();
        self.unsynced.retain(|_, ticket| !is_covered(*ticket));
        let unsynced = &self.unsynced;
        let released = &mut self.released;
        self.deferred.retain(|deferred| {
            let waits = deferred.servers.iter().any(|key| unsynced.contains_key(key));
            if !waits {
                released.push((deferred.peer, deferred.batch));
            }
            waits
        });
        keys
    }
}

impl Directory {
    /// Takes the records of servers that have become draining or removed and must be made durable; `None` if there are
    /// none. Call [`Directory::on_synced`] with their ticket once they are on disk.
    pub fn take_unsynced(&mut self) -> Option<UnsyncedRecords> {
        let (ticket, keys) = self.durability.take_unsynced()?;
        let entries = keys.into_iter().filter_map(|key| self.table.get(key));
        Some(UnsyncedRecords { ticket, records: entries.map(|entry| entry.record.clone()).collect() })
    }

    /// Handles the sync of all records up to this ticket: completes the calls and releases the acknowledgements that
    /// waited for them.
    pub fn on_synced(&mut self, now: Millis, ticket: u64) {
        self.record_activity(now);
        for key in self.durability.on_synced(ticket) {
            self.complete_calls(key);
        }
    }

    /// Takes the deferred acknowledgements that may now be sent, as pairs of the peer and its batch number.
    pub fn take_deferred_acknowledgements(&mut self) -> Vec<(NodeId, u64)> {
        std::mem::take(&mut self.durability.released)
    }

    /// Returns the batch number if the batch may be acknowledged now; otherwise defers the acknowledgement.
    pub(super) fn acknowledge_once_synced(
        &mut self,
        peer: NodeId,
        batch: u64,
        servers: impl Iterator<Item = ServerKey>,
    ) -> Option<u64> {
        let unsynced: Vec<ServerKey> = servers.filter(|key| !self.durability.is_synced(*key)).collect();
        if unsynced.is_empty() {
            return Some(batch);
        }
        self.durability.defer(peer, batch, unsynced);
        None
    }
}
