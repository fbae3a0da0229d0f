//! The state of a replica, its roles, and what its owner may ask of it.

use std::collections::BTreeSet;

use rand::Rng;
use rand_pcg::Pcg32;
use shaletrail_protocol::{Millis, NodeId};

use crate::effect::Effect;
use crate::entry::{Index, LogPosition, Term};
use crate::error::ReplicaError;
use crate::leader_state::LeaderState;
use crate::log::Log;
use crate::message::VoterStatus;
use crate::options::Options;
use crate::persistence::Persistence;
use crate::record::{HardState, Record};
use crate::voters::VoterSet;

/// What a replica does in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Takes entries, and neither votes nor campaigns: it is not among the voters, or is recovering.
    Learner,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for pre-votes, in the term that it has.
    PreCandidate,
    /// Asks for votes, in a term of its own.
    Candidate,
    /// Leads the term.
    Leader,
}

/// The volatile state that goes with the role. Learners are followers here.
#[derive(Clone, Debug)]
pub(crate) enum RoleState {
    /// Follows a leader or waits for one.
    Follower,
    /// Gathers pre-votes; holds those granted, its own included.
    PreCandidate { granted: BTreeSet<NodeId> },
    /// Gathers votes; holds those granted, its own once that is synced.
    Candidate { granted: BTreeSet<NodeId> },
    /// Leads the term.
    Leader(Box<LeaderState>),
}

/// One replica of one shard; the crate's documentation has the protocol.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) options: Options,
    /// The greatest time that the driver has given, by the clock of this process.
    pub(crate) now: Millis,
    /// Term, vote and disk, as last recorded; see `hard_state_ticket` for whether it is synced.
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) persistence: Persistence,
    pub(crate) role_state: RoleState,
    /// The leader of the present term, where known.
    pub(crate) leader: Option<NodeId>,
    /// How far entries are known to be committed.
    pub(crate) commit_index: Index,
    /// How far entries have been handed to the state machine; never above `commit_index`.
    pub(crate) applied_index: Index,
    /// How far the log is known to match that of the leader of the present term. Commit indexes of the leader count
    /// up to here only: what lies behind may be entries of former leaders.
    pub(crate) leader_match_index: Index,
    /// Until then this voter helps nobody to replace the leader that it last received a message of.
    pub(crate) leader_lease_until: Millis,
    /// When this replica campaigns unless it receives a message of a leader before.
    pub(crate) election_at: Millis,
    /// Whether the group was just bootstrapped here and no leader has been elected yet.
    pub(crate) bootstrapping: bool,
    /// The ticket that covers the hard state.
    pub(crate) hard_state_ticket: u64,
    pub(crate) random: Pcg32,
    /// What the driver has to do, in order.
    pub(crate) effects: Vec<Effect>,
}

impl Replica {
    /// What this replica does in its group.
    pub fn role(&self) -> Role {
        match self.role_state {
            RoleState::Leader(_) => Role::Leader,
            RoleState::Candidate { .. } => Role::Candidate,
            RoleState::PreCandidate { .. } => Role::PreCandidate,
            RoleState::Follower
                if self.hard_state.recovering || !self.log.voters().contains(self.options.node) =>
            {
                Role::Learner
            }
            RoleState::Follower => Role::Follower,
        }
    }

    /// Whether this replica leads. It may have been replaced without knowing it yet.
    pub fn is_leader(&self) -> bool {
        matches!(self.role_state, RoleState::Leader(_))
    }

    /// The leader of the present term, where known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The newest term seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The voters in force here, the newest in the log, committed or not.
    pub fn voters(&self) -> &VoterSet {
        self.log.voters()
    }

    /// Index of the entry that brought the voters in force here.
    pub fn voters_index(&self) -> Index {
        self.log.voters_index()
    }

    /// How far entries are known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// The last entry of the log.
    pub fn last(&self) -> LogPosition {
        self.log.last()
    }

    /// Index of the last entry that the snapshot covers, 0 if there is none.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot_index()
    }

    /// Whether this replica's former disk was lost and no leader has let it rejoin.
    pub fn is_recovering(&self) -> bool {
        self.hard_state.recovering
    }

    /// Counts as a voter that lost its disk, from the returned records on, for an owner whose state machine lacks what the
    /// group has decided. Term and vote stay: they were promised by this disk. The owner must not call the replica again
    /// except to look at it, as effects that were not taken are dropped.
    #[must_use]
    pub fn lose_state(&mut self) -> Vec<Record> {
        self.become_follower(self.hard_state.term, None);
        self.hard_state.recovering = true;
        self.hard_state.disk_id = self.random.random();
        self.effects.clear();
        vec![Record::HardState(self.hard_state.clone())]
    }

    /// Advances the clock; it never goes back, so that no lease given to a leader gets shorter.
    pub(crate) fn set_now(&mut self, now: Millis) {
        self.now = self.now.max(now);
    }

    /// The disk that this replica's responses speak for, and whether they count.
    pub(crate) fn voter_status(&self) -> VoterStatus {
        VoterStatus { disk_id: self.hard_state.disk_id, recovering: self.hard_state.recovering }
    }

    /// The error of a call that only the leader can serve.
    pub(crate) fn not_leader<T>(&self) -> Result<T, ReplicaError> {
        Err(ReplicaError::NotLeader { leader: self.leader })
    }

    /// Whether this replica may campaign and vote: a voter that is not recovering.
    pub(crate) fn is_promotable(&self) -> bool {
        !self.hard_state.recovering && self.log.voters().contains(self.options.node)
    }

    /// Ends the present role and follows, in a term not below the present one. A new term is recorded: a restart must
    /// not bring back one in which another leader could still be followed.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        let former = std::mem::replace(&mut self.role_state, RoleState::Follower);
        if let RoleState::Leader(leader_state) = former {
            let failed =
                leader_state.pending_reads.iter().map(|read| Effect::ReadFailed { token: read.token });
            self.effects.extend(failed);
            self.effects.push(Effect::LostLeadership { term: self.hard_state.term });
        }
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
            self.leader_match_index = 0;
            self.record_hard_state();
        }
        self.leader = leader;
        self.reset_election_timeout();
    }

    /// Goes on to a newer term that a response named.
    pub(crate) fn adopt_newer_term(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
    }

    /// Draws the time of the next election at random, so that votes are rarely split (Ongaro's thesis, section 3.4).
    pub(crate) fn reset_election_timeout(&mut self) {
        let (shortest, longest) = if self.bootstrapping {
            (self.options.bootstrap_election_min_ms, self.options.bootstrap_election_max_ms)
        } else {
            (self.options.election_min_ms, self.options.election_max_ms)
        };
        self.election_at = self.now + self.random.random_range(shortest..=longest);
    }
}
