//! The servers that send heartbeats, as one coordinator knows them.
//!
//! A heartbeat reaches one coordinator. What changes with it is pushed to all others at once and kept for those
//! that don't acknowledge it (hinted handoff); that a server lives on as it was goes to them in digests. Nobody
//! leads: records merge alike everywhere, as draining and gone are final for an id and otherwise the higher
//! sequence wins. A call that says `draining`, or deregisters, ends when a majority of the voters knows it.
//!
//! Silence is each coordinator's own conclusion, and none while it is young, out of touch or has stood still.

mod calls;
mod changes;
mod digest;
mod entry;
mod exchange;
mod options;
mod outbox;
mod table;
mod touch;

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::external::{Heartbeat, ServerState};
use shaletrail_protocol::internal::{DirectoryCursor, PlacementOverlay, Presence, ServerRecord};
use shaletrail_protocol::{Incarnation, Millis, NodeId};

pub use calls::{CallOutcome, CallToken};
pub use digest::{DirectoryMessage, ServerDigest};
pub use entry::ServerKey;
pub use options::{
    Options, MAX_BATCHES_IN_FLIGHT, MAX_BATCH_RECORDS, MAX_DIGEST_SERVERS, MAX_PENDING_CALLS,
    MAX_RETRY_RECORDS,
};

use calls::Calls;
use changes::ChangeLog;
use entry::Stage;
use outbox::Outbox;
use table::{Merged, Source, Table};
use touch::Touch;

use crate::stable_hash::mix;

/// Between two looks for servers that have fallen silent or are to be forgotten, in milliseconds.
const SCAN_MS: Millis = 200;

/// How a heartbeat was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Whether it told something that edges care about.
    pub changed: bool,
    /// Set for a server that leaves: answer once [`Directory::take_completed_calls`] returns this.
    pub call: Option<CallToken>,
}

/// What an edge has missed.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryUpdate {
    /// Servers that changed, or all of them.
    pub records: Vec<ServerRecord>,
    /// Whether `records` is the whole directory.
    pub complete: bool,
    /// Where the edge stands after these.
    pub cursor: DirectoryCursor,
}

/// The servers, as one coordinator knows them.
#[derive(Debug)]
pub struct Directory {
    options: Options,
    node: NodeId,
    table: Table,
    log: ChangeLog,
    peers: BTreeMap<NodeId, Outbox>,
    voters: BTreeSet<NodeId>,
    calls: Calls,
    touch: Touch,
    started: Millis,
    last_version: u64,
    last_batch: u64,
    /// Servers that this coordinator itself has heard since its last digest.
    heard: BTreeSet<ServerKey>,
    next_digest: Millis,
    next_summary: Millis,
    next_scan: Millis,
    sends: Vec<(NodeId, DirectoryMessage)>,
}

impl Directory {
    /// An empty directory of one start of a coordinator.
    pub fn new(options: Options, node: NodeId, incarnation: Incarnation, now: Millis) -> Self {
        Directory {
            node,
            table: Table::default(),
            log: ChangeLog::new(incarnation, options.changes),
            peers: BTreeMap::new(),
            voters: BTreeSet::new(),
            calls: Calls::default(),
            touch: Touch::new(now),
            started: now,
            last_version: 0,
            last_batch: mix(incarnation.0) << 32,
            heard: BTreeSet::new(),
            next_digest: now + options.digest_interval_ms,
            next_summary: now + options.full_digest_interval_ms,
            next_scan: now + SCAN_MS,
            sends: Vec::new(),
            options,
        }
    }

    /// Names all other coordinators, those that are away included: hints for them are kept. A new one is sent
    /// everything.
    pub fn set_peers(&mut self, now: Millis, peers: &[NodeId]) {
        let others: BTreeSet<NodeId> = peers.iter().copied().filter(|peer| *peer != self.node).collect();
        let gone: Vec<NodeId> = self.peers.keys().copied().filter(|peer| !others.contains(peer)).collect();
        for peer in gone {
            self.peers.remove(&peer);
            self.forget_holder(peer);
        }
        let newcomers: Vec<NodeId> =
            others.into_iter().filter(|peer| !self.peers.contains_key(peer)).collect();
        for peer in newcomers {
            self.peers.insert(peer, Outbox::default());
            self.queue_everything(peer);
        }
        self.flush(now);
    }

    /// Names the coordinators whose majority must know of a server that leaves; this one counts where it is among
    /// them. While there are none, no call is settled.
    pub fn set_voters(&mut self, voters: &[NodeId]) {
        self.voters = voters.iter().copied().collect();
        self.calls.servers().into_iter().for_each(|server| self.settle(server));
    }

    /// Tells whether this coordinator reaches the majority. While it doesn't, it takes no server to be silent.
    pub fn set_quorum_contact(&mut self, now: Millis, in_touch: bool) {
        self.touch.set(now, in_touch);
    }

    /// Tells the incarnation of another coordinator; a new one has forgotten all and is sent everything.
    pub fn on_peer_started(&mut self, now: Millis, peer: NodeId, incarnation: Incarnation) {
        let Some(outbox) = self.peers.get_mut(&peer) else { return };
        if !outbox.is_new_start(incarnation) {
            return;
        }
        outbox.clear();
        self.forget_holder(peer);
        self.queue_everything(peer);
        self.flush(now);
    }

    /// Takes a heartbeat of a server.
    pub fn heartbeat(&mut self, now: Millis, id: &str, heartbeat: Heartbeat) -> Accepted {
        self.touch.observe(now, self.options.stall_ms);
        let presence = match heartbeat.state {
            ServerState::Ready => Presence::Ready,
            ServerState::Draining => Presence::Draining,
        };
        let record = ServerRecord { id: id.to_owned(), heartbeat, presence, ..ServerRecord::default() };
        let merged = self.take_from_server(now, record);
        let leaves = presence == Presence::Draining;
        let call = leaves.then(|| self.register(now, ServerKey::of(id), Stage::Draining));
        Accepted { changed: matches!(merged, Merged::Changed | Merged::Finished), call }
    }

    /// Takes the farewell of a server; answer once [`Directory::take_completed_calls`] returns the token.
    pub fn deregister(&mut self, now: Millis, id: &str) -> CallToken {
        self.touch.observe(now, self.options.stall_ms);
        let key = ServerKey::of(id);
        let heartbeat = self.table.get(key).map(|entry| entry.record.heartbeat.clone()).unwrap_or_default();
        let presence = Presence::Removed;
        let record = ServerRecord { id: id.to_owned(), heartbeat, presence, ..ServerRecord::default() };
        self.take_from_server(now, record);
        self.register(now, key, Stage::Gone)
    }

    /// Takes what the holder of a server's orders, at this node, knows of its contents beyond its heartbeats.
    pub fn set_placement_overlay(&mut self, now: Millis, id: &str, note: PlacementOverlay) {
        let key = ServerKey::of(id);
        if self.table.get_mut(key).is_some_and(|entry| entry.take_note(note)) {
            self.note_change(key);
            self.note_version(key, Merged::Changed);
            self.queue_for_all(key, &[]);
            self.flush(now);
        }
    }

    /// Takes what an earlier start of this coordinator knew. Servers that send no heartbeat from now on fall silent
    /// as usual.
    pub fn restore(&mut self, now: Millis, records: Vec<ServerRecord>) {
        for record in records {
            let key = ServerKey::of(&record.id);
            let merged = self.table.merge(now, key, record, Source::Peer);
            if matches!(merged, Merged::Changed | Merged::Finished) {
                self.note_change(key);
                self.note_version(key, merged);
            }
            self.note_life(key);
        }
    }

    /// Takes a batch of another coordinator; the number to acknowledge to it.
    pub fn merge(&mut self, now: Millis, from: NodeId, batch: u64, records: Vec<ServerRecord>) -> u64 {
        self.touch.observe(now, self.options.stall_ms);
        self.note_answer(from);
        for record in records {
            self.take_from_peer(now, from, record);
        }
        self.flush(now);
        batch
    }

    /// Takes the acknowledgement of one batch by another coordinator. It covers that batch only.
    pub fn acknowledge(&mut self, now: Millis, peer: NodeId, batch: u64) {
        self.touch.observe(now, self.options.stall_ms);
        self.note_answer(peer);
        let hints = self.peers.get_mut(&peer).map(|outbox| outbox.acknowledge(batch)).unwrap_or_default();
        for hint in hints {
            let entry = self.table.get_mut(hint.key);
            if let Some(entry) = entry.filter(|entry| hint.version >= entry.stage_version) {
                entry.note_holder(peer);
                self.settle(hint.key);
            }
        }
        self.flush(now);
    }

    /// Takes a digest of another coordinator, and asks for what it tells anew.
    pub fn receive_digest(&mut self, now: Millis, from: NodeId, servers: Vec<ServerDigest>) {
        self.touch.observe(now, self.options.stall_ms);
        self.note_answer(from);
        let said = servers.iter().take(MAX_DIGEST_SERVERS);
        let wanted: Vec<ServerKey> =
            said.filter(|said| self.take_digest(now, from, said)).map(|said| said.key).collect();
        if !wanted.is_empty() {
            self.send(from, DirectoryMessage::Ask { servers: wanted });
        }
        self.flush(now);
    }

    /// Sends another coordinator the records that it asks for.
    pub fn receive_ask(&mut self, now: Millis, from: NodeId, servers: Vec<ServerKey>) {
        self.touch.observe(now, self.options.stall_ms);
        self.note_answer(from);
        for key in servers.into_iter().take(MAX_DIGEST_SERVERS) {
            self.queue(from, key);
        }
        self.flush(now);
    }

    /// Concludes what time tells, and sends what is due. To be called at [`Directory::next_wake`].
    pub fn tick(&mut self, now: Millis) {
        self.touch.observe(now, self.options.stall_ms);
        self.calls.expire(now);
        if self.next_scan <= now {
            self.next_scan = now + SCAN_MS;
            self.scan(now);
        }
        self.send_digests(now);
        self.peers.values_mut().for_each(|outbox| outbox.expire(now, &self.options));
        self.flush(now);
    }

    /// When `tick` should be called next.
    pub fn next_wake(&self) -> Millis {
        let batches = self.peers.values().filter_map(|outbox| outbox.next_wake(&self.options)).min();
        let digest = (!self.heard.is_empty()).then_some(self.next_digest);
        let others = digest.into_iter().chain(batches).chain(self.calls.next_deadline());
        others.fold(self.next_scan.min(self.next_summary), Millis::min)
    }

    /// Messages to send, taken out.
    pub fn take_sends(&mut self) -> Vec<(NodeId, DirectoryMessage)> {
        std::mem::take(&mut self.sends)
    }

    /// Calls that have ended since the last time.
    pub fn take_completed_calls(&mut self) -> Vec<CallOutcome> {
        self.calls.take_ended()
    }

    /// Whether a majority of the voters knows that the server is draining or gone.
    pub fn is_known_to_majority(&self, id: &str) -> bool {
        self.has_majority(ServerKey::of(id))
    }

    /// Where an edge stands that knows all changes so far.
    pub fn cursor(&self) -> DirectoryCursor {
        self.log.cursor()
    }

    /// What changed after the cursor, or everything if that cannot be told.
    pub fn updates_since(&self, cursor: DirectoryCursor) -> DirectoryUpdate {
        let cursor_now = self.log.cursor();
        let Some(changes) = self.log.since(cursor) else {
            return DirectoryUpdate {
                records: self.records().cloned().collect(),
                complete: true,
                cursor: cursor_now,
            };
        };
        let newest = changes
            .filter_map(|change| self.table.get(change.server).filter(|entry| entry.change == change.number));
        DirectoryUpdate {
            records: newest.map(|entry| entry.record.clone()).collect(),
            complete: false,
            cursor: cursor_now,
        }
    }

    /// All servers known.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.table.iter().map(|(_, entry)| &entry.record)
    }

    /// One server.
    pub fn record(&self, id: &str) -> Option<&ServerRecord> {
        self.table.get(ServerKey::of(id)).map(|entry| &entry.record)
    }

    /// Whether this coordinator has just started, so that servers may be there that it has not heard of.
    pub fn is_recently_started(&self, now: Millis) -> bool {
        now.saturating_sub(self.started) < self.options.heartbeat_timeout_ms
    }

    fn take_from_server(&mut self, now: Millis, record: ServerRecord) -> Merged {
        let key = ServerKey::of(&record.id);
        let merged = self.table.merge(now, key, record, Source::Server);
        match merged {
            Merged::Stale => {}
            Merged::Refreshed => {
                self.heard.insert(key);
            }
            Merged::Changed | Merged::Finished => {
                self.note_change(key);
                self.note_version(key, merged);
                self.queue_for_all(key, &[]);
            }
        }
        self.note_life(key);
        self.displace_forerunner(now, key);
        self.flush(now);
        merged
    }

    fn take_from_peer(&mut self, now: Millis, from: NodeId, record: ServerRecord) {
        let key = ServerKey::of(&record.id);
        let said = Stage::from(record.presence);
        let merged = self.table.merge(now, key, record, Source::Peer);
        if matches!(merged, Merged::Changed | Merged::Finished) {
            self.note_change(key);
        }
        if merged == Merged::Finished {
            self.note_version(key, merged);
            self.queue_for_all(key, &[from]);
        }
        if merged != Merged::Stale {
            self.note_life(key);
        }
        self.compare_stage(from, key, said);
    }

    /// Takes one server of a digest; true if its record should be asked for.
    fn take_digest(&mut self, now: Millis, from: NodeId, said: &ServerDigest) -> bool {
        let Some(entry) = self.table.get(said.key) else { return said.presence != Presence::TimedOut };
        let later_stage = Stage::from(said.presence) > entry.stage();
        let other_content = said.sequence > entry.sequence() && said.fingerprint != entry.fingerprint;
        match self.table.refresh(now, said, &self.options) {
            Merged::Stale => {}
            Merged::Refreshed => self.note_life(said.key),
            Merged::Changed | Merged::Finished => {
                self.note_change(said.key);
                self.note_life(said.key);
            }
        }
        self.compare_stage(from, said.key, Stage::from(said.presence));
        later_stage || other_content
    }

    /// Another coordinator has told at which stage it sees a server: it knows as much, or must be told.
    fn compare_stage(&mut self, peer: NodeId, key: ServerKey, said: Stage) {
        let Some(entry) = self.table.get_mut(key) else { return };
        if said < entry.stage() {
            self.queue(peer, key);
        } else if said == entry.stage() {
            entry.note_holder(peer);
            self.settle(key);
        }
    }

    /// A server was heard: it has an address, and needs a place in the table.
    fn note_life(&mut self, key: ServerKey) {
        self.table.occupy_address(key);
        while self.table.len() > self.options.servers {
            let Some(spared) = self.table.spare(key) else { return };
            self.table.remove(spared);
        }
    }

    /// A server has spoken: who was at its address before is gone. What other coordinators tell is no reason for
    /// that, as it may be old, nor is a silence during which this one could not hear.
    fn displace_forerunner(&mut self, now: Millis, key: ServerKey) {
        let address_takeover_ms = self.options.address_takeover_ms;
        if !self.touch.lasts(now, address_takeover_ms) {
            return;
        }
        if let Some(displaced) = self.table.displace(now, key, address_takeover_ms) {
            self.note_change(displaced);
            self.note_version(displaced, Merged::Finished);
            self.queue_for_all(displaced, &[]);
        }
    }

    fn note_change(&mut self, key: ServerKey) {
        if let Some(entry) = self.table.get_mut(key) {
            entry.change = self.log.note(key);
        }
    }

    fn note_version(&mut self, key: ServerKey, merged: Merged) {
        if let Some(entry) = self.table.get_mut(key) {
            self.last_version += 1;
            entry.version = self.last_version;
            if merged == Merged::Finished {
                entry.stage_version = self.last_version;
            }
        }
    }

    fn note_answer(&mut self, peer: NodeId) {
        if let Some(outbox) = self.peers.get_mut(&peer) {
            outbox.heard();
        }
    }

    fn forget_holder(&mut self, peer: NodeId) {
        self.table.iter_mut().for_each(|(_, entry)| entry.holders.retain(|holder| *holder != peer));
    }

    /// Lets a call wait for the majority, and tells those that are not known to have heard of it.
    fn register(&mut self, now: Millis, key: ServerKey, stage: Stage) -> CallToken {
        let token = self.calls.register(key, stage, now + self.options.majority_timeout_ms);
        self.settle(key);
        if self.calls.waits_for(key) {
            let holders = self.table.get(key).map(|entry| entry.holders.clone()).unwrap_or_default();
            self.queue_for_all(key, &holders);
            self.flush(now);
        }
        token
    }

    fn settle(&mut self, key: ServerKey) {
        if self.calls.waits_for(key) && self.has_majority(key) {
            if let Some(entry) = self.table.get(key) {
                self.calls.settle(key, entry.stage());
            }
        }
    }

    fn has_majority(&self, key: ServerKey) -> bool {
        let Some(entry) = self.table.get(key).filter(|entry| entry.stage() != Stage::Present) else {
            return false;
        };
        let knows = |voter: &&NodeId| **voter == self.node || entry.holders.contains(voter);
        self.voters.iter().filter(knows).count() * 2 > self.voters.len()
    }

    /// Looks for servers that are over by their own word, have fallen silent, or need not be remembered.
    fn scan(&mut self, now: Millis) {
        let options = &self.options;
        let may_expire = self.touch.lasts(now, options.heartbeat_timeout_ms);
        let mut changed = Vec::new();
        let mut forgotten = Vec::new();
        for (key, entry) in self.table.iter_mut() {
            let unheard = now.saturating_sub(entry.heard);
            if entry.stage() != Stage::Gone && entry.ends.is_some_and(|ends| ends <= now) {
                entry.enter(now, Presence::Removed);
                changed.push((key, Merged::Finished));
            } else if entry.stage() != Stage::Present {
                let since = entry.since.max(entry.heard);
                forgotten
                    .extend((now.saturating_sub(since) >= options.tombstone_retention_ms).then_some(key));
            } else if may_expire && entry.is_silent() {
                let silent = now.saturating_sub(entry.since);
                forgotten.extend((silent >= options.remove_timed_out_ms).then_some(key));
            } else if may_expire && unheard >= options.heartbeat_timeout_ms {
                entry.enter(now, Presence::TimedOut);
                changed.push((key, Merged::Changed));
            }
        }
        for (key, merged) in changed {
            self.note_change(key);
            if merged == Merged::Finished {
                self.note_version(key, merged);
            }
        }
        forgotten.into_iter().for_each(|key| self.table.remove(key));
    }
}
