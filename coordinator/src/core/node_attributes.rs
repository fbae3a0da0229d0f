//! The exchange of node attributes with other coordinators, and their storage in the journal.
//!
//! The messages are sent as those of a shard with the number [`STREAM`]: a node that runs an older release ignores
//! messages of shards that it does not have, and skips records of journal streams that it does not know, while it would
//! close the connection on a message of an unknown kind.

use shaletrail_cluster::node_attributes::{AttributeRecord, NodeAttributes, NodeAttributesTable};
use shaletrail_protocol::internal::{CoordinatorMessage, MemberRecord, MemberState};
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_storage::StoredRecord;

use super::Coordinator;
use crate::interface::Action;

/// The journal stream of the table, and the number of the shard as whose messages tables are sent.
pub const STREAM: u32 = 1_002;
/// Maximum size of the encoded table, in bytes: [`MAX_RECORDS`] records with two names each.
///
/// [`MAX_RECORDS`]: shaletrail_cluster::node_attributes::MAX_RECORDS
pub const MAX_TABLE_BYTES: usize = 128 << 10;

/// Derives the attributes of a machine from its settings.
pub fn from_settings(settings: &Settings) -> NodeAttributes {
    NodeAttributes::new(&settings.zone, settings.own_region(), settings.counts_for_quorum)
}

/// Removes the tables from the records of the journal. Returns the records of the newest table that can be decoded.
pub(super) fn restore_from(stored: &mut Vec<StoredRecord>) -> Vec<AttributeRecord> {
    let mut newest = Vec::new();
    stored.retain(|record| {
        if record.stream == STREAM {
            newest = NodeAttributesTable::decode(&record.bytes).unwrap_or(std::mem::take(&mut newest));
        }
        record.stream != STREAM
    });
    newest
}

impl Coordinator {
    /// Handles a message about node attributes. Messages that cannot be decoded are ignored.
    pub(super) fn receive_node_attributes(&mut self, now: Millis, from: NodeId, body: &[u8]) {
        if let Ok(message) = bitcode::decode(body) {
            self.node_attributes.receive(now, from, message);
        }
    }

    /// Tells the table which nodes receive it, and which records it must keep.
    pub(super) fn update_node_attribute_peers(&mut self, now: Millis, members: &[MemberRecord]) {
        let alive: Vec<(NodeId, Incarnation)> = members
            .iter()
            .filter(|member| member.state == MemberState::Alive)
            .map(|member| (member.node, member.incarnation))
            .collect();
        self.node_attributes.set_peers(now, &alive);
        let members = members.iter().map(|member| member.node);
        self.node_attributes.set_retained(members.chain(self.shards.voters()));
    }

    /// Sends the messages that are due, and writes the table to the journal if it has changed. Nothing waits for the sync:
    /// a node that restarts announces its attributes again, and the others have stored them.
    pub(super) fn exchange_node_attributes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.node_attributes.tick(now);
        for (to, message) in self.node_attributes.take_messages() {
            let body = bitcode::encode(&message);
            actions.push(Action::Send { to, message: CoordinatorMessage::Shard { shard: STREAM, body } });
        }
        if let Some(table) = self.node_attributes.take_unpersisted() {
            self.shards.persist_record(STREAM, table, actions);
        }
    }
}
