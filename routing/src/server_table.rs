//! The table of all servers known to this edge. Merges new records into it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shaletrail_protocol::internal::{Presence, ServerRecord};
use shaletrail_protocol::{Millis, ServerId};

use crate::server::{is_draining, Server, ServerHandle};
use crate::Options;

/// Maximum number of removed servers whose ids are remembered, so that a late record does not add them again.
const MAX_RETIRED_SERVERS: usize = 4096;

/// Combines the later heartbeat with the later overlay, since the two may arrive by different paths.
fn merge_records(known: &ServerRecord, mut record: ServerRecord) -> ServerRecord {
    if record.heartbeat.sequence < known.heartbeat.sequence {
        record.heartbeat = known.heartbeat.clone();
        record.presence = known.presence;
    }
    if known.overlay.is_later_than(&record.overlay) {
        record.overlay = known.overlay.clone();
    }
    record
}

/// The effect of merging a record.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// A known server was updated.
    Updated(ServerHandle),
    /// A new server was added.
    Added(ServerHandle),
    /// A known server began to drain or was removed.
    Draining(ServerHandle),
    /// Nothing changed for the balancer: the record is outdated, its server is draining or removed, or the
    /// table is full.
    Ignored,
}

#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    by_handle: BTreeMap<ServerHandle, Server>,
    by_id: BTreeMap<ServerId, ServerHandle>,
    /// Servers that are draining or unlisted. They are dropped once no request is in flight.
    departing: BTreeSet<ServerHandle>,
    retired: BTreeSet<ServerId>,
    retired_order: VecDeque<ServerId>,
    next_handle: u32,
}

impl ServerTable {
    /// The server; `None` if it has been dropped.
    pub fn get(&self, handle: ServerHandle) -> Option<&Server> {
        self.by_handle.get(&handle)
    }

    /// The server, for changes; `None` if it has been dropped.
    pub fn get_mut(&mut self, handle: ServerHandle) -> Option<&mut Server> {
        self.by_handle.get_mut(&handle)
    }

    /// All servers that have not been dropped, including departing ones, in the order of their handles.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.by_handle.values_mut()
    }

    /// Whether the table contains no servers, not even departing ones.
    pub fn is_empty(&self) -> bool {
        self.by_handle.is_empty()
    }

    /// Merges a record unless it is outdated. A server never leaves the states `Draining` and `Removed`.
    pub fn merge(&mut self, record: ServerRecord, options: &Options) -> MergeOutcome {
        if self.retired.contains(&record.id) {
            return MergeOutcome::Ignored;
        }
        match self.by_id.get(&record.id) {
            Some(&handle) => self.merge_known(handle, record),
            None => self.merge_new(record, options),
        }
    }

    fn merge_known(&mut self, handle: ServerHandle, record: ServerRecord) -> MergeOutcome {
        let Some(server) = self.by_handle.get_mut(&handle) else { return MergeOutcome::Ignored };
        let known = &server.record;
        if is_draining(known) {
            if record.presence == Presence::Removed {
                server.record.presence = Presence::Removed;
            }
            return MergeOutcome::Ignored;
        }
        if is_draining(&record) {
            server.record = record;
            self.departing.insert(handle);
            return MergeOutcome::Draining(handle);
        }
        let changed_service = known.heartbeat.service != record.heartbeat.service;
        let has_newer_overlay = record.overlay.is_later_than(&known.overlay);
        if changed_service || (record.heartbeat.sequence < known.heartbeat.sequence && !has_newer_overlay) {
            return MergeOutcome::Ignored;
        }
        let record = merge_records(known, record);
        if record.heartbeat.sequence > known.heartbeat.sequence {
            (server.displaced, server.connections_closed) = (false, false);
        }
        server.unlisted_since = None;
        server.record = record;
        self.departing.remove(&handle);
        MergeOutcome::Updated(handle)
    }

    fn merge_new(&mut self, record: ServerRecord, options: &Options) -> MergeOutcome {
        if is_draining(&record) {
            self.retire(record.id);
            return MergeOutcome::Ignored;
        }
        if self.by_handle.len() >= options.max_servers {
            return MergeOutcome::Ignored;
        }
        let handle = ServerHandle(self.next_handle);
        self.next_handle = self.next_handle.wrapping_add(1);
        self.by_id.insert(record.id.clone(), handle);
        self.by_handle.insert(handle, Server::new(record));
        MergeOutcome::Added(handle)
    }

    /// Marks and returns the servers that a complete directory does not list. They are later dropped by
    /// [`ServerTable::drop_departed`].
    pub fn mark_unlisted(&mut self, now: Millis, listed: &BTreeSet<&ServerId>) -> Vec<ServerHandle> {
        let mut unlisted = Vec::new();
        for (handle, server) in &mut self.by_handle {
            if !listed.contains(&server.record.id) {
                server.unlisted_since.get_or_insert(now);
                self.departing.insert(*handle);
                unlisted.push(*handle);
            }
        }
        unlisted
    }

    /// Drops servers without requests in flight that are draining or have been unlisted for
    /// [`Options::unlisted_ttl_ms`]. Returns them with their services.
    pub fn drop_departed(&mut self, now: Millis, options: &Options) -> Vec<(ServerHandle, String)> {
        let may_drop = |server: &Server| {
            let unlisted = server.unlisted_since.is_some_and(|since| now >= since + options.unlisted_ttl_ms);
            server.open_requests == 0 && (is_draining(&server.record) || unlisted)
        };
        let departing = self.departing.iter().copied();
        let handles: Vec<_> =
            departing.filter(|handle| self.by_handle.get(handle).is_some_and(may_drop)).collect();
        handles.into_iter().filter_map(|handle| Some((handle, self.remove(handle)?))).collect()
    }

    /// When the next unlisted server is due to be dropped; `None` if there is none without requests in
    /// flight.
    pub fn next_drop_at(&self, options: &Options) -> Option<Millis> {
        let departing = self.departing.iter().filter_map(|handle| self.by_handle.get(handle));
        let idle = departing.filter(|server| server.open_requests == 0 && !is_draining(&server.record));
        idle.filter_map(|server| server.unlisted_since).map(|since| since + options.unlisted_ttl_ms).min()
    }

    fn remove(&mut self, handle: ServerHandle) -> Option<String> {
        let server = self.by_handle.remove(&handle)?;
        self.departing.remove(&handle);
        self.by_id.remove(&server.record.id);
        if is_draining(&server.record) {
            self.retire(server.record.id);
        }
        Some(server.record.heartbeat.service)
    }

    fn retire(&mut self, id: ServerId) {
        if !self.retired.insert(id.clone()) {
            return;
        }
        self.retired_order.push_back(id);
        if self.retired_order.len() > MAX_RETIRED_SERVERS {
            if let Some(oldest) = self.retired_order.pop_front() {
                self.retired.remove(&oldest);
            }
        }
    }
}
