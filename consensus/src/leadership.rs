//! What a leader keeps for its term.

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

/// The state of a leader.
#[derive(Clone, Debug)]
pub(crate) struct Leadership {
    /// All other voters, learners, and those that leave until they have been told.
    pub peers: BTreeMap<NodeId, Progress>,
    /// Replicas that don't vote.
    pub learners: BTreeSet<NodeId>,
    /// The empty entry with which the term began.
    pub first_index: Index,
    /// When the term began.
    pub since: Millis,
    /// The last round of messages.
    pub round: u64,
    /// When the next heartbeat is due.
    pub heartbeat_at: Millis,
    /// Reads, oldest first.
    pub reads: VecDeque<PendingRead>,
    /// Whether every peer is to get a heartbeat with the next effects.
    pub wants_round: bool,
    /// Whether every peer is to be told the commit index with the next effects.
    pub has_commit_news: bool,
}

impl Leadership {
    /// Of a leader elected now, whose term begins with the entry at `first_index`.
    pub fn new(now: Millis, first_index: Index, peers: impl Iterator<Item = NodeId>) -> Self {
        Leadership {
            peers: peers.map(|node| (node, Progress::new(first_index))).collect(),
            learners: BTreeSet::new(),
            first_index,
            since: now,
            round: 0,
            heartbeat_at: now,
            reads: VecDeque::new(),
            wants_round: true,
            has_commit_news: false,
        }
    }

    /// What a peer has answered, where it counts.
    fn answer_of(&self, node: NodeId) -> RoundStamp {
        self.peers.get(&node).map(Progress::counted_answer).unwrap_or_default()
    }

    /// When the newest message was sent that a majority has answered; `own` for the leader itself.
    pub fn answered_by_quorum(&self, voters: &VoterSet, leader: NodeId, own: Millis) -> Millis {
        voters.quorum_value(|node| if node == leader { own } else { self.answer_of(node).sent_at })
    }

    /// The newest round that a majority has answered.
    pub fn confirmed_round(&self, voters: &VoterSet, leader: NodeId) -> u64 {
        voters.quorum_value(|node| if node == leader { u64::MAX } else { self.answer_of(node).round })
    }

    /// Since when no majority has been heard, or when the term began.
    pub fn contact_since(&self, voters: &VoterSet, leader: NodeId) -> Millis {
        self.answered_by_quorum(voters, leader, Millis::MAX).max(self.since)
    }

    /// The last index that a majority holds; `synced` is the leader's own.
    pub fn replicated(&self, voters: &VoterSet, leader: NodeId, synced: Index) -> Index {
        let matched = |node| self.peers.get(&node).map_or(0, Progress::counted_match);
        voters.quorum_value(|node| if node == leader { synced } else { matched(node) })
    }

    /// The voter in touch whose log is the longest.
    pub fn best_voter(&self, voters: &VoterSet, in_touch_since: Millis) -> Option<NodeId> {
        let eligible = self.peers.iter().filter(|(node, peer)| {
            voters.incoming().contains(node)
                && peer.counts()
                && peer.counted_answer().sent_at >= in_touch_since
        });
        eligible.max_by_key(|(_, peer)| peer.counted_match()).map(|(node, _)| *node)
    }
}
