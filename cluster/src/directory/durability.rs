//! Durability of what is acknowledged: a server's call is answered, and a peer's batch acknowledged, only once the stages that
//! they concern are on this coordinator's disk. So whatever was acknowledged survives the death of all coordinators at once.

use std::collections::{BTreeMap, VecDeque};

use shaletrail_protocol::internal::ServerRecord;
use shaletrail_protocol::{Millis, NodeId};

use super::server_entry::ServerKey;
use super::Directory;

/// Acknowledgements that wait for the disk, at most; the oldest are dropped, as their batches are sent again.
const MAX_HELD_ACKNOWLEDGEMENTS: usize = 256;

/// Records of servers that leave, to be made durable together.
#[derive(Clone, Debug, PartialEq)]
pub struct UnsyncedRecords {
    /// Rises with each set of records; see [`Directory::on_synced`].
    pub ticket: u64,
    /// The records.
    pub records: Vec<ServerRecord>,
}

/// A batch of a peer that names stages which are not on disk here.
#[derive(Clone, Debug)]
struct HeldAcknowledgement {
    peer: NodeId,
    batch: u64,
    servers: Vec<ServerKey>,
}

/// Which stages are not on disk, and what waits for them.
#[derive(Debug, Default)]
pub(super) struct Durability {
    /// Servers whose stage is not on disk, with the ticket that covers it once there is one.
    unsynced: BTreeMap<ServerKey, Option<u64>>,
    last_ticket: u64,
    held: VecDeque<HeldAcknowledgement>,
    released: Vec<(NodeId, u64)>,
}

impl Durability {
    /// A server has entered another stage.
    pub(super) fn record_stage(&mut self, key: ServerKey) {
        self.unsynced.insert(key, None);
    }

    /// The server is no longer in the directory, or its stage is on disk from the start.
    pub(super) fn forget(&mut self, key: ServerKey) {
        self.unsynced.remove(&key);
    }

    /// Whether the server's stage is on disk.
    pub(super) fn is_synced(&self, key: ServerKey) -> bool {
        !self.unsynced.contains_key(&key)
    }

    /// Holds the acknowledgement of a batch until these servers' stages are on disk.
    fn hold(&mut self, peer: NodeId, batch: u64, servers: Vec<ServerKey>) {
        if self.held.len() >= MAX_HELD_ACKNOWLEDGEMENTS {
            self.held.pop_front();
        }
        self.held.push_back(HeldAcknowledgement { peer, batch, servers });
    }

    /// Gives a ticket to all stages that have none yet.
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

    /// All tickets up to this one are on disk; the servers whose stage is now.
    fn on_synced(&mut self, synced: u64) -> Vec<ServerKey> {
        let is_covered = |ticket: Option<u64>| ticket.is_some_and(|ticket| ticket <= synced);
        let keys: Vec<ServerKey> =
            self.unsynced.iter().filter(|(_, ticket)| is_covered(**ticket)).map(|(key, _)| *key).collect();
        self.unsynced.retain(|_, ticket| !is_covered(*ticket));
        let unsynced = &self.unsynced;
        let released = &mut self.released;
        self.held.retain(|held| {
            let waits = held.servers.iter().any(|key| unsynced.contains_key(key));
            if !waits {
                released.push((held.peer, held.batch));
            }
            waits
        });
        keys
    }
}

impl Directory {
    /// Takes the records of servers that have begun to leave, to be made durable; [`Directory::on_synced`] is to be called
    /// with their ticket once they are.
    pub fn take_unsynced(&mut self) -> Option<UnsyncedRecords> {
        let (ticket, keys) = self.durability.take_unsynced()?;
        let entries = keys.into_iter().filter_map(|key| self.table.get(key));
        Some(UnsyncedRecords { ticket, records: entries.map(|entry| entry.record.clone()).collect() })
    }

    /// All records up to this ticket are on disk: calls and acknowledgements that waited for them may go on.
    pub fn on_synced(&mut self, now: Millis, ticket: u64) {
        self.record_call(now);
        for key in self.durability.on_synced(ticket) {
            self.complete_calls(key);
        }
    }

    /// Takes the batches that may be acknowledged since the last time, with the peers that sent them.
    pub fn take_acknowledgements(&mut self) -> Vec<(NodeId, u64)> {
        std::mem::take(&mut self.durability.released)
    }

    /// The batch's number if it may be acknowledged now; else the acknowledgement is held.
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
        self.durability.hold(peer, batch, unsynced);
        None
    }
}
