//! What a leader keeps for its term, and what a quorum of its peers has acknowledged.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shaletrail_protocol::{Millis, NodeId};

use crate::entry::Index;
use crate::message::RoundStamp;
use crate::progress::Progress;
use crate::voters::VoterSet;

/// A read that waits for its confirmation.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    /// The owner's name for it.
    pub token: u64,
    /// The round that confirms it: the first that was sent after it was asked for.
    pub round: u64,
}

/// The volatile state of a leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// All other voters, learners, and those that leave, until the commit of that was announced to them.
    pub peers: BTreeMap<NodeId, Progress>,
    /// Replicas that don't vote.
    pub learners: BTreeSet<NodeId>,
    /// The empty entry with which the term began.
    pub term_start_index: Index,
    /// When the term began.
    pub elected_at: Millis,
    /// The last round of messages, from 1 in each term.
    pub round: u64,
    /// When the next heartbeat is due.
    pub heartbeat_at: Millis,
    /// Reads that are not confirmed yet, oldest first.
    pub pending_reads: VecDeque<PendingRead>,
    /// Whether proposals are rejected until the voters that are behind have caught up.
    pub holds_proposals: bool,
    /// Whether every peer gets a heartbeat with the next effects.
    pub heartbeat_pending: bool,
    /// Whether the commit index rose and is announced to every peer with the next effects.
    pub commit_broadcast_pending: bool,
}

impl LeaderState {
    /// Of a leader elected now, whose term begins with the entry at `term_start_index`.
    pub fn new(now: Millis, term_start_index: Index, peers: impl Iterator<Item = NodeId>) -> Self {
        LeaderState {
            peers: peers.map(|node| (node, Progress::new(term_start_index))).collect(),
            learners: BTreeSet::new(),
            term_start_index,
            elected_at: now,
            round: 0,
            heartbeat_at: now,
            pending_reads: VecDeque::new(),
            holds_proposals: false,
            heartbeat_pending: true,
            commit_broadcast_pending: false,
        }
    }

    /// Begins to replicate to a node; `next` is the entry after the last of the log.
    pub fn add_peer(&mut self, node: NodeId, next: Index) {
        self.peers.entry(node).or_insert_with(|| Progress::new(next));
    }

    /// When the newest message was sent that a quorum has acknowledged: [`Millis::MAX`] for a group of one, 0 where
    /// there is none.
    pub fn quorum_acked_at(&self, voters: &VoterSet, leader: NodeId) -> Millis {
        voters.quorum_value(|node| if node == leader { Millis::MAX } else { self.acked_by(node).sent_at })
    }

    /// The newest round that a quorum has acknowledged.
    pub fn quorum_acked_round(&self, voters: &VoterSet, leader: NodeId) -> u64 {
        voters.quorum_value(|node| if node == leader { u64::MAX } else { self.acked_by(node).round })
    }

    /// When this leader was last in contact with a quorum, or when the term began.
    pub fn last_quorum_contact(&self, voters: &VoterSet, leader: NodeId) -> Millis {
        self.quorum_acked_at(voters, leader).max(self.elected_at)
    }

    /// The last index that a quorum has synced; `synced` is the leader's own.
    pub fn quorum_matched(&self, voters: &VoterSet, leader: NodeId, synced: Index) -> Index {
        let matched = |node| self.peers.get(&node).map_or(0, Progress::quorum_matched);
        voters.quorum_value(|node| if node == leader { synced } else { matched(node) })
    }

    /// The newest stamp that a peer has acknowledged, where that counts.
    fn acked_by(&self, node: NodeId) -> RoundStamp {
        self.peers.get(&node).map(Progress::quorum_ack).unwrap_or_default()
    }
}
