//! What coordinators know about each other for the choice of voters: the zone and region of each machine, and whether it
//! counts towards quorums.
//!
//! Each node announces its own attributes. Every node keeps a copy of the whole table, passes it on to all members that
//! are alive, and stores it on its disk. So the place of a machine is still known while it is down, after a restart of
//! all nodes, and to a node that has never been in contact with it.
//!
//! The table is sent to a member until that member acknowledges it, with backoff, as a member that runs an older release
//! never does. Records merge by their revision, which only the node itself increases: when it starts with attributes
//! that differ from its stored record, or when it hears of a record of itself that differs (for example after it has
//! lost its disk).

use std::collections::{BTreeMap, BTreeSet};

use bitcode::{Decode, Encode};
use shaletrail_protocol::{Incarnation, Millis, NodeId};

use crate::send_queue::SendQueue;
use crate::stable_hash::first_message_number;

/// Limit on the records in the table.
pub const MAX_RECORDS: usize = 256;
/// Limit on the name of a zone or region, in bytes. Longer names are truncated.
pub const MAX_NAME_BYTES: usize = 128;
/// Time after which an unacknowledged table is sent again, in milliseconds. It doubles with each repetition.
const RESEND_INTERVAL: Millis = 250;
/// The longest time between two repetitions, in milliseconds.
const MAX_RESEND_INTERVAL: Millis = 10_000;

/// The attributes of one coordinator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct NodeAttributes {
    /// The zone (failure domain) in which the machine is located.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// Whether the node may vote. Of the nodes that may not, any number may be lost at the same time.
    pub counts_for_quorum: bool,
}

impl NodeAttributes {
    /// The attributes of a machine. Names longer than [`MAX_NAME_BYTES`] are truncated.
    pub fn new(zone: &str, region: &str, counts_for_quorum: bool) -> Self {
        NodeAttributes { zone: truncated(zone), region: truncated(region), counts_for_quorum }
    }

    fn is_within_limits(&self) -> bool {
        self.zone.len() <= MAX_NAME_BYTES && self.region.len() <= MAX_NAME_BYTES
    }
}

fn truncated(name: &str) -> String {
    name[..name.floor_char_boundary(MAX_NAME_BYTES)].to_owned()
}

/// The attributes of a node, with the revision by which two records of the same node are ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct AttributeRecord {
    /// The machine.
    pub node: NodeId,
    /// Increased by the node itself when its attributes change. The higher revision wins.
    pub revision: u64,
    /// The attributes as of that revision.
    pub attributes: NodeAttributes,
}

/// A message between two tables.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum AttributeMessage {
    /// The sender's whole table; answered with an `Ack`.
    Table {
        /// The version of the sender's table; the acknowledgement repeats it.
        version: u64,
        /// All records of the sender.
        records: Vec<AttributeRecord>,
    },
    /// Acknowledges that the sender has merged a table of the receiver.
    Ack {
        /// The `version` of the table.
        version: u64,
    },
}

/// How far a peer knows this node's table.
#[derive(Clone, Copy, Debug)]
struct PeerProgress {
    incarnation: Incarnation,
    acknowledged_version: u64,
    next_send: Millis,
    resend_interval: Millis,
}

impl PeerProgress {
    fn new(incarnation: Incarnation, now: Millis) -> Self {
        PeerProgress {
            incarnation,
            acknowledged_version: 0,
            next_send: now,
            resend_interval: RESEND_INTERVAL,
        }
    }

    fn record_sent(&mut self, now: Millis) {
        self.next_send = now + self.resend_interval;
        self.resend_interval = (self.resend_interval * 2).min(MAX_RESEND_INTERVAL);
    }

    fn restart_sending(&mut self, now: Millis) {
        self.next_send = now;
        self.resend_interval = RESEND_INTERVAL;
    }
}

/// One coordinator's copy of the attributes of all coordinators.
#[derive(Debug)]
pub struct NodeAttributesTable {
    node: NodeId,
    records: BTreeMap<NodeId, AttributeRecord>,
    /// Increased with each change of the table by this process.
    version: u64,
    /// Whether the records on disk, if any, differ from the table.
    needs_persisting: bool,
    peers: BTreeMap<NodeId, PeerProgress>,
    /// Nodes whose records are not evicted: members and voters.
    retained: BTreeSet<NodeId>,
    send_queue: SendQueue<AttributeMessage>,
}

impl NodeAttributesTable {
    /// A table with this node's own attributes and the records that it had stored on its disk.
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        attributes: NodeAttributes,
        stored: Vec<AttributeRecord>,
    ) -> Self {
        let mut table = NodeAttributesTable {
            node,
            records: stored.into_iter().take(MAX_RECORDS).map(|record| (record.node, record)).collect(),
            version: first_message_number(incarnation) + 1,
            needs_persisting: false,
            peers: BTreeMap::new(),
            retained: BTreeSet::from([node]),
            send_queue: SendQueue::default(),
        };
        let own = AttributeRecord { node, revision: 1, attributes };
        match table.records.get(&node).map(|stored| (stored.revision, stored.attributes == own.attributes)) {
            Some((_, true)) => {}
            Some((revision, false)) => {
                table.records.insert(node, AttributeRecord { revision: revision.saturating_add(1), ..own });
                table.needs_persisting = true;
            }
            // Without a stored record there is nothing that a restart could not derive from the settings.
            None => _ = table.records.insert(node, own),
        }
        table
    }

    /// The attributes of a node; `None` if no record of it has been received.
    pub fn get(&self, node: NodeId) -> Option<&NodeAttributes> {
        self.records.get(&node).map(|record| &record.attributes)
    }

    /// The version of the table, which each change increases.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether a node may vote. A node that has not announced its attributes may.
    pub fn counts_for_quorum(&self, node: NodeId) -> bool {
        self.get(node).is_none_or(|attributes| attributes.counts_for_quorum)
    }

    /// Sets the members that are alive, each with its incarnation. They receive the table. A peer with another
    /// incarnation than before has restarted and may have lost its copy.
    pub fn set_peers(&mut self, now: Millis, alive: &[(NodeId, Incarnation)]) {
        self.peers.retain(|peer, _| alive.iter().any(|(node, _)| node == peer));
        for (node, incarnation) in alive.iter().filter(|(node, _)| *node != self.node) {
            let progress = self.peers.entry(*node).or_insert_with(|| PeerProgress::new(*incarnation, now));
            if progress.incarnation != *incarnation {
                *progress = PeerProgress::new(*incarnation, now);
            }
        }
    }

    /// Sets the nodes whose records must not be evicted when the table is full: the members and the voters.
    pub fn set_retained(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        self.retained = nodes.into_iter().chain([self.node]).collect();
    }

    /// Queues the table for each peer that has not acknowledged its present version and whose next transmission is due.
    pub fn tick(&mut self, now: Millis) {
        let version = self.version;
        let is_due =
            |progress: &PeerProgress| progress.acknowledged_version != version && progress.next_send <= now;
        let due: Vec<NodeId> =
            self.peers.iter().filter(|(_, progress)| is_due(progress)).map(|(node, _)| *node).collect();
        for peer in due {
            let records = self.records.values().cloned().collect();
            self.send_queue.push(peer, AttributeMessage::Table { version, records });
            if let Some(progress) = self.peers.get_mut(&peer) {
                progress.record_sent(now);
            }
        }
    }

    /// Handles a message of another coordinator.
    pub fn receive(&mut self, now: Millis, from: NodeId, message: AttributeMessage) {
        match message {
            AttributeMessage::Table { version, records } => {
                let records = records.into_iter().take(MAX_RECORDS);
                let changes = records.filter(|record| record.attributes.is_within_limits());
                let is_changed = changes.fold(false, |changed, record| self.merge(record) | changed);
                if is_changed {
                    self.on_changed(now);
                }
                self.send_queue.push(from, AttributeMessage::Ack { version });
            }
            // Of another version, it may be a late one to an earlier run of this process.
            AttributeMessage::Ack { version } if version != self.version => {}
            AttributeMessage::Ack { version } => {
                if let Some(progress) = self.peers.get_mut(&from) {
                    progress.acknowledged_version = version;
                }
            }
        }
    }

    /// Takes the queued messages, each with its receiver.
    pub fn take_messages(&mut self) -> Vec<(NodeId, AttributeMessage)> {
        self.send_queue.take()
    }

    /// The encoded table, if it has changed since the last call.
    pub fn take_unpersisted(&mut self) -> Option<Vec<u8>> {
        std::mem::take(&mut self.needs_persisting).then(|| self.encode())
    }

    /// The encoded table, for a checkpoint of the journal; `None` if it holds nothing that the settings do not say.
    pub fn live_record(&self) -> Option<Vec<u8>> {
        let is_own_first = |record: &AttributeRecord| record.node == self.node && record.revision == 1;
        (!self.records.values().all(is_own_first)).then(|| self.encode())
    }

    /// Encodes all records, for [`NodeAttributesTable::decode`].
    fn encode(&self) -> Vec<u8> {
        let records: Vec<AttributeRecord> = self.records.values().cloned().collect();
        bitcode::encode(&records)
    }

    /// Decodes the records of a table; `None` if the bytes are invalid.
    pub fn decode(bytes: &[u8]) -> Option<Vec<AttributeRecord>> {
        bitcode::decode(bytes).ok()
    }

    /// Merges a record. Returns whether the table has changed.
    fn merge(&mut self, record: AttributeRecord) -> bool {
        if record.node == self.node {
            return self.refute(record);
        }
        let known_revision = self.records.get(&record.node).map(|known| known.revision);
        let is_newer = known_revision.is_none_or(|known| known < record.revision);
        let has_room = known_revision.is_some() || self.records.len() < MAX_RECORDS;
        if !is_newer || !(has_room || self.evict_one()) {
            return false;
        }
        self.records.insert(record.node, record);
        true
    }

    /// Raises the revision of this node's own record above that of a different record that is in circulation.
    fn refute(&mut self, record: AttributeRecord) -> bool {
        let Some(own) = self.records.get_mut(&self.node) else { return false };
        let is_different = record.attributes != own.attributes;
        let revision = if is_different { record.revision.saturating_add(1) } else { record.revision };
        let is_newer = revision > own.revision;
        own.revision = own.revision.max(revision);
        is_newer
    }

    /// Evicts the record of a node that is neither a member nor a voter; returns false if there is none.
    fn evict_one(&mut self) -> bool {
        let departed = self.records.keys().copied().find(|node| !self.retained.contains(node));
        departed.is_some_and(|node| self.records.remove(&node).is_some())
    }

    fn on_changed(&mut self, now: Millis) {
        self.version += 1;
        self.needs_persisting = true;
        self.peers.values_mut().for_each(|progress| progress.restart_sending(now));
    }
}
