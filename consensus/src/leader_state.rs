//! The state that a leader keeps during its term, and what a quorum of voters has acknowledged.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shaletrail_protocol::{Millis, NodeId};

use crate::entry::Index;
use crate::message::RoundStamp;
use crate::progress::Progress;
use crate::voters::VoterSet;

/// A read that has not been confirmed yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    /// Chosen by the caller to identify the read.
    pub token: u64,
    /// The first round of messages sent after the read was requested. A quorum's responses to it confirm the read.
    pub round: u64,
}

/// The volatile state of a leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// All other voters, the learners, and removed voters until they have been told that their removal is committed.
    pub peers: BTreeMap<NodeId, Progress>,
    /// Replicas that receive entries but do not vote.
    pub learners: BTreeSet<NodeId>,
    /// Index of the empty entry that starts the term.
    pub term_start_index: Index,
    /// When this replica became leader of the term.
    pub elected_at: Millis,
    /// Number of the latest round of messages, starting at 1 in each term.
    pub round: u64,
    /// When the next heartbeat is due.
    pub heartbeat_at: Millis,
    /// Unconfirmed reads, oldest first.
    pub pending_reads: VecDeque<PendingRead>,
    /// Whether proposals are rejected until lagging voters have caught up.
    pub rejects_proposals: bool,
    /// Whether a heartbeat has to be sent to every peer with the next effects.
    pub heartbeat_pending: bool,
    /// Whether the commit index has advanced and has to be announced to every peer with the next effects.
    pub commit_broadcast_pending: bool,
}

impl LeaderState {
    /// The state of a newly elected leader, whose term starts with the entry at `term_start_index`.
    pub fn new(now: Millis, term_start_index: Index, peers: impl Iterator<Item = NodeId>) -> Self {
        LeaderState {
            peers: peers.map(|node| (node, Progress::new(term_start_index))).collect(),
            learners: BTreeSet::new(),
            term_start_index,
            elected_at: now,
            round: 0,
            heartbeat_at: now,
            pending_reads: VecDeque::new(),
            rejects_proposals: false,
            heartbeat_pending: true,
            commit_broadcast_pending: false,
        }
    }

    /// Starts replicating to a node. `next` is the index after the last entry of the log.
    pub fn add_peer(&mut self, node: NodeId, next: Index) {
        self.peers.entry(node).or_insert_with(|| Progress::new(next));
    }

    /// Send time of the latest message that a quorum has acknowledged: [`Millis::MAX`] if the leader alone is a quorum,
    /// 0 if no quorum has acknowledged any message.
    pub fn quorum_acked_at(&self, voters: &VoterSet, leader: NodeId) -> Millis {
        voters.quorum_value(|node| if node == leader { Millis::MAX } else { self.acked_by(node).sent_at })
    }

    /// The latest round that a quorum has acknowledged.
    pub fn quorum_acked_round(&self, voters: &VoterSet, leader: NodeId) -> u64 {
        voters.quorum_value(|node| if node == leader { u64::MAX } else { self.acked_by(node).round })
    }

    /// When this leader was last in contact with a quorum; the start of the term if it has not been yet.
    pub fn last_quorum_contact(&self, voters: &VoterSet, leader: NodeId) -> Millis {
        self.quorum_acked_at(voters, leader).max(self.elected_at)
    }

    /// The highest index that a quorum has synced. `synced` is the leader's own synced index.
    pub fn quorum_matched(&self, voters: &VoterSet, leader: NodeId, synced: Index) -> Index {
        let matched = |node| self.peers.get(&node).map_or(0, Progress::quorum_matched);
        voters.quorum_value(|node| if node == leader { synced } else { matched(node) })
    }

    /// The latest stamp that a peer has acknowledged; the zero stamp if the peer does not count towards quorums.
    fn acked_by(&self, node: NodeId) -> RoundStamp {
        self.peers.get(&node).map(Progress::quorum_ack).unwrap_or_default()
    }
}
