//! What is known of each server: its record, its load, what speaks against it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::{Presence, ServerOutcomes, ServerRecord};
use shaletrail_protocol::{Millis, ServerId};

use crate::health::Health;
use crate::interface::ServerLoad;
use crate::report::Wanted;
use crate::share::OwnShare;
use crate::Options;

/// Ids of servers that have left which are remembered, so that no late record brings them back.
const RETIRED_KEPT: usize = 4096;
/// Models that one server is remembered to lack.
const LACKS_KEPT: usize = 16;

/// Names a server inside the router; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServerHandle(u32);

/// How a server stands for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Takes requests.
    Ready,
    /// Nothing has been heard of it for a while: only for want of others.
    Silent,
    /// Leaves or is gone: never again.
    Leaving,
}

#[derive(Clone, Copy, Debug)]
struct SeenLoad {
    at: Millis,
    load: ServerLoad,
    /// Requests of this edge that were open there.
    open: u32,
}

#[derive(Clone, Debug)]
struct Lack {
    model: String,
    adapter: Option<String>,
    until: Millis,
}

/// A server.
#[derive(Debug)]
pub(crate) struct Server {
    /// The newest record.
    pub record: ServerRecord,
    /// Requests of this edge that are open there.
    pub open: u32,
    /// What speaks against it.
    pub health: Health,
    /// What this edge has under way there.
    pub share: OwnShare,
    /// When an answer last came from it.
    pub heard_at: Millis,
    /// For the next report.
    pub observed: ServerOutcomes,
    load: Option<SeenLoad>,
    full_until: Millis,
    lacks: Vec<Lack>,
    /// Whether it is in its service's slot array.
    pub in_array: bool,
    /// Another instance answered at its address.
    displaced: bool,
    /// The driver has been told to close its connections.
    forgotten: bool,
    /// Since when the directory no longer lists it.
    unlisted_since: Option<Millis>,
}

impl Server {
    fn new(record: ServerRecord) -> Self {
        let observed = ServerOutcomes { server: record.id.clone(), succeeded: 0, failed: 0, unreachable: 0 };
        Server {
            share: OwnShare::new(&record.id),
            record,
            open: 0,
            health: Health::default(),
            heard_at: 0,
            observed,
            load: None,
            full_until: 0,
            lacks: Vec::new(),
            in_array: false,
            displaced: false,
            forgotten: false,
            unlisted_since: None,
        }
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        if leaves(&self.record) || self.displaced {
            Standing::Leaving
        } else if self.record.presence == Presence::TimedOut || self.unlisted_since.is_some() {
            Standing::Silent
        } else {
            Standing::Ready
        }
    }

    /// Whether it holds what is asked for, as far as is known.
    pub fn holds(&self, wanted: &Wanted, now: Millis) -> bool {
        if wanted.model.is_empty() {
            return true;
        }
        if self.record.heartbeat.models.is_none() {
            return true;
        }
        self.record.serves(&wanted.model, wanted.adapter.as_deref()) && !self.lacks(wanted, now)
    }

    /// It said that it lacks what was asked for.
    pub fn note_lack(&mut self, wanted: &Wanted, until: Millis) {
        if self.lacks.len() >= LACKS_KEPT {
            self.lacks.remove(0);
        }
        let (model, adapter) = (wanted.model.clone(), wanted.adapter.clone());
        self.lacks.push(Lack { model, adapter, until });
    }

    fn lacks(&self, wanted: &Wanted, now: Millis) -> bool {
        let same =
            |lack: &Lack| lack.until > now && lack.model == wanted.model && lack.adapter == wanted.adapter;
        self.lacks.iter().any(same)
    }

    /// When a lack may be over by itself.
    pub fn lacks_until(&self, wanted: &Wanted, now: Millis) -> Option<Millis> {
        let same =
            |lack: &&Lack| lack.until > now && lack.model == wanted.model && lack.adapter == wanted.adapter;
        self.lacks.iter().filter(same).map(|lack| lack.until).max()
    }

    /// Another instance answered at its address: it is gone until a newer record says otherwise.
    pub fn note_displaced(&mut self) {
        self.displaced = true;
    }

    /// Its id where the driver has not been told yet to close its connections.
    pub fn forget(&mut self) -> Option<ServerId> {
        let told = std::mem::replace(&mut self.forgotten, true);
        (!told).then(|| self.record.id.clone())
    }

    /// It told its load.
    pub fn note_load(&mut self, now: Millis, load: ServerLoad) {
        self.load = Some(SeenLoad { at: now, load, open: self.open });
    }

    /// It turned a request away for being full.
    pub fn note_full(&mut self, until: Millis) {
        self.full_until = self.full_until.max(until);
    }

    /// A service without models has nothing else to turn away: it is full after all.
    pub fn note_full_without_models(&mut self, until: Millis) {
        if self.record.heartbeat.models.is_none() {
            self.note_full(until);
        }
    }

    /// Slots that it works with: as an answer told, or its record.
    pub fn slots(&self) -> u32 {
        let told = self.load.map(|seen| seen.load.slots).filter(|slots| *slots > 0);
        told.unwrap_or(self.record.heartbeat.slots).max(1)
    }

    /// Whether it has shown no sign of life for long to a request that waits there.
    pub fn is_silent(&self, now: Millis, options: &Options) -> bool {
        self.share.is_silent(now, self.heard_at, options.silent_ms)
    }

    /// Requests that are there by the best knowledge: those of this edge, and what an answer told since `since`.
    pub fn occupied(&self, since: Millis) -> u32 {
        let told = self.told(since).map(|seen| {
            let there = seen.load.running.saturating_add(seen.load.waiting);
            there.saturating_add(self.open).saturating_sub(seen.open)
        });
        told.unwrap_or(0).max(self.open)
    }

    /// What is known of its room.
    pub fn room(&self, now: Millis, since: Millis, options: &Options) -> Room {
        let (slots, occupied) = (self.slots(), self.occupied(since));
        let waiting = self.told(since).map_or(0, |seen| seen.load.waiting);
        let queue = (f64::from(slots) * options.queue_share).ceil() as u32;
        if now < self.full_until || waiting > queue || occupied >= slots.saturating_add(queue) {
            Room::Full
        } else if waiting > 0 || occupied >= slots {
            Room::Queue
        } else {
            Room::Slots
        }
    }

    /// When it may no longer be full, where only time is needed for that. What an answer told counts for `valid`
    /// milliseconds.
    pub fn full_until(&self, now: Millis, valid: Millis) -> Option<Millis> {
        let load_until = self.load.map(|seen| seen.at + valid);
        [Some(self.full_until), load_until].into_iter().flatten().filter(|until| *until > now).min()
    }

    fn told(&self, since: Millis) -> Option<&SeenLoad> {
        self.load.as_ref().filter(|seen| seen.at >= since)
    }
}

/// Whether a server has room for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Room {
    /// A slot is free, as far as is known.
    Slots,
    /// It would wait there.
    Queue,
    /// It would be turned away, or wait long.
    Full,
}

fn leaves(record: &ServerRecord) -> bool {
    matches!(record.presence, Presence::Draining | Presence::Removed)
        || record.heartbeat.state == ServerState::Draining
}

/// The later heartbeat with the later note: each may come by another way.
fn later_of_each(known: &ServerRecord, mut record: ServerRecord) -> ServerRecord {
    if record.heartbeat.sequence < known.heartbeat.sequence {
        record.heartbeat = known.heartbeat.clone();
        record.presence = known.presence;
    }
    if known.overlay.is_later_than(&record.overlay) {
        record.overlay = known.overlay.clone();
    }
    record
}

/// What a record changed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// A server that was known.
    Updated(ServerHandle),
    /// A server that was not known.
    Added(ServerHandle),
    /// It has begun to leave.
    Left(ServerHandle),
    /// The record is older than what is known, or the table is full.
    Ignored,
}

/// All servers known.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    by_handle: BTreeMap<ServerHandle, Server>,
    by_id: BTreeMap<ServerId, ServerHandle>,
    /// Servers that leave or are not listed.
    departing: BTreeSet<ServerHandle>,
    retired: BTreeSet<ServerId>,
    retired_order: VecDeque<ServerId>,
    next: u32,
}

impl Servers {
    /// The server, unless it has been dropped.
    pub fn get(&self, handle: ServerHandle) -> Option<&Server> {
        self.by_handle.get(&handle)
    }

    /// The server, unless it has been dropped.
    pub fn get_mut(&mut self, handle: ServerHandle) -> Option<&mut Server> {
        self.by_handle.get_mut(&handle)
    }

    /// All servers.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.by_handle.values_mut()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.by_handle.is_empty()
    }

    /// Takes a record over unless it is older than what is known. `Draining` and `Gone` are final.
    pub fn merge(&mut self, record: ServerRecord, options: &Options) -> Merge {
        if self.retired.contains(&record.id) {
            return Merge::Ignored;
        }
        match self.by_id.get(&record.id) {
            Some(&handle) => self.merge_known(handle, record),
            None => self.merge_new(record, options),
        }
    }

    fn merge_known(&mut self, handle: ServerHandle, record: ServerRecord) -> Merge {
        let Some(server) = self.by_handle.get_mut(&handle) else { return Merge::Ignored };
        let known = &server.record;
        if leaves(known) {
            if record.presence == Presence::Removed {
                server.record.presence = Presence::Removed;
            }
            return Merge::Ignored;
        }
        if leaves(&record) {
            server.record = record;
            self.departing.insert(handle);
            return Merge::Left(handle);
        }
        let moved = known.heartbeat.service != record.heartbeat.service;
        let later_note = record.overlay.is_later_than(&known.overlay);
        if moved || (record.heartbeat.sequence < known.heartbeat.sequence && !later_note) {
            return Merge::Ignored;
        }
        let record = later_of_each(known, record);
        if record.heartbeat.sequence > known.heartbeat.sequence {
            (server.displaced, server.forgotten) = (false, false);
        }
        server.unlisted_since = None;
        server.record = record;
        self.departing.remove(&handle);
        Merge::Updated(handle)
    }

    fn merge_new(&mut self, record: ServerRecord, options: &Options) -> Merge {
        if leaves(&record) {
            self.retire(record.id);
            return Merge::Ignored;
        }
        if self.by_handle.len() >= options.max_servers {
            return Merge::Ignored;
        }
        let handle = ServerHandle(self.next);
        self.next = self.next.wrapping_add(1);
        self.by_id.insert(record.id.clone(), handle);
        self.by_handle.insert(handle, Server::new(record));
        Merge::Added(handle)
    }

    /// Marks and returns servers that a whole directory does not list; they are dropped by
    /// [`Servers::drop_unlisted`].
    pub fn mark_unlisted(&mut self, now: Millis, listed: &BTreeSet<&ServerId>) -> Vec<ServerHandle> {
        let mut unlisted = Vec::new();
        for (handle, server) in self.by_handle.iter_mut() {
            if !listed.contains(&server.record.id) {
                server.unlisted_since.get_or_insert(now);
                self.departing.insert(*handle);
                unlisted.push(*handle);
            }
        }
        unlisted
    }

    /// Drops servers that have left, and those not listed for long, where no request is open there.
    pub fn drop_unlisted(&mut self, now: Millis, options: &Options) -> Vec<(ServerHandle, String)> {
        let over = |server: &Server| {
            let unlisted = server.unlisted_since.is_some_and(|since| now >= since + options.unlisted_ms);
            server.open == 0 && (leaves(&server.record) || unlisted)
        };
        let departing = self.departing.iter().copied();
        let handles: Vec<_> =
            departing.filter(|handle| self.by_handle.get(handle).is_some_and(over)).collect();
        handles.into_iter().filter_map(|handle| Some((handle, self.remove(handle)?))).collect()
    }

    /// When the next unlisted server is due to be dropped.
    pub fn next_drop(&self, options: &Options) -> Option<Millis> {
        let departing = self.departing.iter().filter_map(|handle| self.by_handle.get(handle));
        let idle = departing.filter(|server| server.open == 0 && !leaves(&server.record));
        idle.filter_map(|server| server.unlisted_since).map(|since| since + options.unlisted_ms).min()
    }

    fn remove(&mut self, handle: ServerHandle) -> Option<String> {
        let server = self.by_handle.remove(&handle)?;
        self.departing.remove(&handle);
        self.by_id.remove(&server.record.id);
        if leaves(&server.record) {
            self.retire(server.record.id);
        }
        Some(server.record.heartbeat.service)
    }

    fn retire(&mut self, id: ServerId) {
        if !self.retired.insert(id.clone()) {
            return;
        }
        self.retired_order.push_back(id);
        if self.retired_order.len() > RETIRED_KEPT {
            if let Some(oldest) = self.retired_order.pop_front() {
                self.retired.remove(&oldest);
            }
        }
    }
}
