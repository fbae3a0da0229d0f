//! The state and roles of a replica, and the queries that its owner may call.

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

/// The role of a replica in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Receives entries, but neither votes nor campaigns, because it is not a voter or is recovering.
    Learner,
    /// Follows a leader, or waits for one.
    Follower,
    /// Requests pre-votes in its current term.
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Leads its term.
    Leader,
}

/// The volatile state of each role. Learners use `Follower`.
#[derive(Clone, Debug)]
pub(crate) enum RoleState {
    /// Follows a leader, or waits for one.
    Follower,
    /// Collects pre-votes. `granted` includes its own.
    PreCandidate { granted: BTreeSet<NodeId> },
    /// Collects votes. `granted` includes its own once that is synced.
    Candidate { granted: BTreeSet<NodeId> },
    /// Leads its term.
    Leader(Box<LeaderState>),
}

/// One replica of one shard. The crate documentation describes the protocol.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) options: Options,
    /// The latest time passed by the driver, by the clock of this process.
    pub(crate) now: Millis,
    /// Term, vote and disk as last recorded. `hard_state_ticket` tells whether they are synced.
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) persistence: Persistence,
    pub(crate) role_state: RoleState,
    /// The leader of the current term, if known.
    pub(crate) leader: Option<NodeId>,
    /// The highest index known to be committed.
    pub(crate) commit_index: Index,
    /// The highest index handed to the state machine; at most `commit_index`.
    pub(crate) applied_index: Index,
    /// Highest index up to which the log is known to match that of the current term's leader. The leader's commit index
    /// applies only up to here, because later entries may stem from former leaders.
    pub(crate) leader_match_index: Index,
    /// Until this time, this voter does not help to replace the leader that it last received a message from.
    pub(crate) leader_lease_until: Millis,
    /// When this replica campaigns, unless it receives a message from a leader first.
    pub(crate) election_at: Millis,
    /// Whether the group was just bootstrapped here and no leader has been elected yet.
    pub(crate) bootstrapping: bool,
    /// The persistence ticket that covers the hard state.
    pub(crate) hard_state_ticket: u64,
    pub(crate) random: Pcg32,
    /// Effects that the driver has not taken yet, in order.
    pub(crate) effects: Vec<Effect>,
}

impl Replica {
    /// The role of this replica in its group.
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

    /// Whether this replica leads. Another replica may already have replaced it without its knowledge.
    pub fn is_leader(&self) -> bool {
        matches!(self.role_state, RoleState::Leader(_))
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The latest term that this replica has seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The latest voter set in this replica's log, whether committed or not.
    pub fn voters(&self) -> &VoterSet {
        self.log.voters()
    }

    /// Index of the entry that introduced [`Replica::voters`].
    pub fn voters_index(&self) -> Index {
        self.log.voters_index()
    }

    /// The highest index known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Position of the last entry of the log.
    pub fn last_position(&self) -> LogPosition {
        self.log.last_position()
    }

    /// Index of the last entry covered by the snapshot, 0 if there is no snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot_index()
    }

    /// Whether this replica's previous disk was lost and no leader has let it rejoin yet.
    pub fn is_recovering(&self) -> bool {
        self.hard_state.recovering
    }

    /// Turns this replica into a voter that lost its disk, for an owner whose state machine lacks what the group has
    /// decided. The change takes effect when the returned records are stored. Term and vote are kept, because this disk
    /// has promised them. Afterwards the owner may only query the replica, because effects that it has not taken are
    /// dropped.
    #[must_use]
    pub fn begin_recovery(&mut self) -> Vec<Record> {
        self.become_follower(self.hard_state.term, None);
        self.hard_state.recovering = true;
        self.hard_state.disk_id = self.random.random();
        self.effects.clear();
        vec![Record::HardState(self.hard_state.clone())]
    }

    /// Advances the clock. It never goes back, so that no lease granted to a leader is shortened.
    pub(crate) fn set_now(&mut self, now: Millis) {
        self.now = self.now.max(now);
    }

    /// The disk identity and recovery status that this replica's responses carry.
    pub(crate) fn voter_status(&self) -> VoterStatus {
        VoterStatus { disk_id: self.hard_state.disk_id, recovering: self.hard_state.recovering }
    }

    /// The error of a call that only the leader can serve.
    pub(crate) fn not_leader<T>(&self) -> Result<T, ReplicaError> {
        Err(ReplicaError::NotLeader { leader: self.leader })
    }

    /// Whether this replica may campaign: it is a voter and is not recovering.
    pub(crate) fn is_promotable(&self) -> bool {
        !self.hard_state.recovering && self.log.voters().contains(self.options.node)
    }

    /// Ends the current role and becomes a follower in `term`, which must not be lower than the current term. A new
    /// term is recorded, because after a restart this replica must not follow a leader of an earlier term.
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

    /// Moves to the newer term that a response carried, if it is newer.
    pub(crate) fn adopt_newer_term(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
    }

    /// Draws a random election timeout, so that split votes are rare (Ongaro's thesis, section 3.4).
    pub(crate) fn reset_election_timeout(&mut self) {
        let (shortest, longest) = if self.bootstrapping {
            (self.options.bootstrap_election_min_ms, self.options.bootstrap_election_max_ms)
        } else {
            (self.options.election_min_ms, self.options.election_max_ms)
        };
        self.election_at = self.now + self.random.random_range(shortest..=longest);
    }
}
