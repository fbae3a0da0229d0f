//! A replica: its state, the calls of its driver, and what all roles share.

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use shaletrail_protocol::{Millis, NodeId};

use crate::effect::{Effect, ReplicaError};
use crate::entry::{Index, Payload, Position, Term};
use crate::leadership::Leadership;
use crate::log::Log;
use crate::message::{Message, VoterStatus};
use crate::options::Options;
use crate::persistence::Persistence;
use crate::record::{HardState, Record, Snapshot};
use crate::voters::VoterSet;

/// Index and term of the empty snapshot with which a group is founded; it is never handed out to be installed.
pub const BOOTSTRAP_INDEX: Index = 1;
const FOUNDING: Position = Position { term: 1, index: BOOTSTRAP_INDEX };
/// The lease in tenths of the shortest election timeout, at most.
const LEASE_TENTHS: Millis = 9;

/// What a replica does in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Takes entries and neither votes nor stands: not among the voters, or recovering.
    Learner,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// The state that goes with the role.
#[derive(Clone, Debug)]
pub(crate) enum State {
    Follower,
    PreCandidate { granted: BTreeSet<NodeId> },
    Candidate { granted: BTreeSet<NodeId> },
    Leader(Box<Leadership>),
}

/// One replica of one shard. See the crate's page.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) options: Options,
    pub(crate) now: Millis,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) persistence: Persistence,
    pub(crate) state: State,
    pub(crate) leader: Option<NodeId>,
    pub(crate) commit: Index,
    /// How far entries have been handed out.
    pub(crate) applied: Index,
    /// How far the log is known to be that of the leader of the present term.
    pub(crate) verified: Index,
    /// Until then a leader that was heard is not to be replaced.
    pub(crate) loyal_until: Millis,
    pub(crate) election_at: Millis,
    /// Whether the group was just founded here and no leader has been heard.
    pub(crate) founding: bool,
    /// The ticket that covers the hard state.
    hard_ticket: u64,
    random: Pcg32,
    pub(crate) effects: Vec<Effect>,
}

impl Replica {
    /// A replica from the records that it asked to persist before, in their order; without any it is new. What the
    /// restored records hold of the state machine comes as [`Effect::InstallSnapshot`].
    pub fn new(options: Options, restored: Vec<Record>, now: Millis) -> Replica {
        let mut options = options;
        options.lease_ms = options.lease_ms.min(options.election_min_ms * LEASE_TENTHS / 10);
        options.election_max_ms = options.election_max_ms.max(options.election_min_ms);
        options.bootstrap_election_max_ms =
            options.bootstrap_election_max_ms.max(options.bootstrap_election_min_ms);
        let mut random = Pcg32::seed_from_u64(options.seed);
        let (hard, log) = replay(restored);
        let is_new = hard.is_none();
        let recovering = options.recovering;
        let new_disk = || HardState { term: 0, voted_for: None, recovering, disk_id: random.random() };
        let hard = hard.unwrap_or_else(new_disk);
        let mut replica = Replica {
            now,
            hard,
            persistence: Persistence::restored(log.last().index),
            state: State::Follower,
            leader: None,
            commit: log.snapshot_index(),
            applied: log.snapshot_index(),
            verified: 0,
            loyal_until: if is_new { now } else { now + options.election_min_ms },
            election_at: Millis::MAX,
            founding: false,
            hard_ticket: 0,
            random,
            effects: Vec::new(),
            log,
            options,
        };
        if is_new {
            replica.record_hard();
        }
        replica.reset_election();
        if let Some(snapshot) = replica.log.snapshot().cloned() {
            replica.hand_out_snapshot(snapshot);
        }
        replica
    }

    /// Founds the group, on each of its first voters alike, when the whole system starts for the first time. Without
    /// effect on a replica that already has entries or is recovering.
    pub fn bootstrap(&mut self, now: Millis, voters: &[NodeId]) {
        self.set_now(now);
        if self.hard.recovering || self.log.last().index > 0 || voters.is_empty() {
            return;
        }
        if self.hard.term < FOUNDING.term {
            self.hard.term = FOUNDING.term;
            self.hard.voted_for = None;
            self.record_hard();
        }
        let snapshot = Snapshot { position: FOUNDING, voters: VoterSet::new(voters), state: [].into() };
        self.install(snapshot);
        self.founding = self.leader.is_none();
        self.reset_election();
    }

    /// Takes a message from another replica. One that cannot be meant is left out.
    pub fn receive(&mut self, now: Millis, from: NodeId, message: Message) {
        self.set_now(now);
        if from == self.options.node || !message.is_plausible() {
            return;
        }
        match message {
            Message::PreVoteRequest { term, last } => self.on_pre_vote(from, term, last),
            Message::PreVoteResponse { term, granted } => self.on_pre_vote_answer(from, term, granted),
            Message::VoteRequest { term, last, leadership_transfer } => {
                self.on_vote(from, term, last, leadership_transfer)
            }
            Message::VoteResponse { term, granted } => self.on_vote_answer(from, term, granted),
            Message::Heartbeat { term, commit, stamp } => self.on_heartbeat(from, term, commit, stamp),
            Message::HeartbeatResponse { term, stamp, received, matched, status: standing } => {
                if self.hear_follower(from, term, stamp, standing) {
                    self.on_heartbeat_answer(from, stamp, received, matched);
                }
            }
            Message::Append { term, previous, entries, commit, stamp } => {
                if self.follow_or_reject(from, term) {
                    self.on_append(from, previous, entries, commit, stamp);
                }
            }
            Message::AppendResponse { term, stamp, outcome, status: standing } => {
                if self.hear_follower(from, term, stamp, standing) {
                    self.on_append_answer(from, outcome, stamp);
                }
            }
            Message::InstallSnapshot { term, snapshot, stamp } => {
                if self.follow_or_reject(from, term) {
                    self.on_install(from, snapshot, stamp);
                }
            }
            Message::TimeoutNow { term } => self.on_timeout_now(term),
            Message::Rejoin { term, disk_id: boot } => self.on_readmit(from, term, boot),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) {
        self.set_now(now);
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_at {
            self.on_election_timeout();
        }
    }

    /// When [`Replica::tick`] has something to do next; may be past, or [`Millis::MAX`].
    pub fn next_wake(&self) -> Millis {
        match &self.state {
            State::Leader(leadership) => leadership.heartbeat_at,
            _ if self.is_eligible() => self.election_at,
            _ => Millis::MAX,
        }
    }

    /// All records up to this ticket are synced.
    pub fn persisted(&mut self, now: Millis, ticket: u64) {
        self.set_now(now);
        self.persistence.persisted(ticket);
        while let Some(waiting) = self.persistence.next_released() {
            match waiting.message {
                Message::VoteResponse { term, granted } if waiting.to == self.options.node => {
                    self.on_vote_answer(waiting.to, term, granted);
                }
                message => self.effects.push(Effect::Send(waiting.to, message)),
            }
        }
        self.advance_commit();
    }

    /// Replaces the log up to `index` by the state of the state machine as it is after that entry. Without effect
    /// where the entry was not handed out yet, or is covered already.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) {
        if index > self.applied || index <= self.log.snapshot_index() {
            return;
        }
        let Some(position) = self.log.position(index) else { return };
        let voters = self.log.voters_at(index).clone();
        let snapshot = Snapshot { position, voters, state: state.into() };
        self.persistence.record(Record::Snapshot(snapshot.clone()));
        self.log.install(snapshot, self.options.retain_bytes);
    }

    /// What is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.replicate();
        if let Some(batch) = self.persistence.flush(self.now, self.log.last().index) {
            self.effects.push(Effect::Persist { ticket: batch.ticket, records: batch.records });
        }
        std::mem::take(&mut self.effects)
    }

    /// All that must be kept, for a checkpoint that replaces all earlier records, those included that are still
    /// on their way to the disk. Records of tickets that are not synced yet may follow it once more.
    pub fn records(&self) -> Vec<Record> {
        let mut records = vec![Record::Hard(self.hard.clone())];
        records.extend(self.log.snapshot().cloned().map(Record::Snapshot));
        let entries = self.log.batch(self.log.snapshot_index() + 1, usize::MAX, false);
        if !entries.is_empty() {
            records.push(Record::Entries(entries));
        }
        records
    }

    /// What this replica does in its group.
    pub fn role(&self) -> Role {
        match self.state {
            State::Leader(_) => Role::Leader,
            State::Candidate { .. } => Role::Candidate,
            State::PreCandidate { .. } => Role::PreCandidate,
            State::Follower if self.hard.recovering || !self.log.voters().contains(self.options.node) => {
                Role::Learner
            }
            State::Follower => Role::Follower,
        }
    }

    /// Whether this replica leads. It may have been replaced without knowing it yet.
    pub fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    /// The leader of the present term, where known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The newest term seen.
    pub fn term(&self) -> Term {
        self.hard.term
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
        self.commit
    }

    /// The last entry of the log.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Index of the last entry that the snapshot covers.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot_index()
    }

    /// Whether this replica's former disk was lost and no leader has readmitted it.
    pub fn is_recovering(&self) -> bool {
        self.hard.recovering
    }

    pub(crate) fn set_now(&mut self, now: Millis) {
        self.now = self.now.max(now);
    }

    pub(crate) fn standing(&self) -> VoterStatus {
        VoterStatus { disk_id: self.hard.disk_id, recovering: self.hard.recovering }
    }

    pub(crate) fn not_leader<T>(&self) -> Result<T, ReplicaError> {
        Err(ReplicaError::NotLeader { leader: self.leader })
    }

    /// Whether this replica may stand for election.
    pub(crate) fn is_eligible(&self) -> bool {
        !self.hard.recovering && self.log.voters().contains(self.options.node)
    }

    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.effects.push(Effect::Send(to, message));
    }

    /// Sends a message that names the term, as soon as the term is synced.
    pub(crate) fn send_in_term(&mut self, to: NodeId, message: Message) {
        self.send_after(self.hard_ticket, to, message);
    }

    /// Sends a message as soon as all that was recorded so far is synced.
    pub(crate) fn send_promise(&mut self, to: NodeId, message: Message) {
        self.send_after(self.persistence.covering(), to, message);
    }

    fn send_after(&mut self, ticket: u64, to: NodeId, message: Message) {
        if self.persistence.is_done(ticket) && to != self.options.node {
            self.send(to, message);
        } else {
            self.persistence.wait(ticket, to, message);
        }
    }

    pub(crate) fn record_hard(&mut self) {
        self.persistence.record(Record::Hard(self.hard.clone()));
        self.hard_ticket = self.persistence.covering();
    }

    /// Ends the present role and follows, in a term not below the present one.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        let former = std::mem::replace(&mut self.state, State::Follower);
        if let State::Leader(leadership) = former {
            let failed = leadership.reads.iter().map(|read| Effect::ReadFailed { token: read.token });
            self.effects.extend(failed);
            self.effects.push(Effect::Deposed { term: self.hard.term });
        }
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted_for = None;
            self.verified = 0;
            self.record_hard();
        }
        self.leader = leader;
        self.reset_election();
    }

    /// Draws the time of the next election.
    pub(crate) fn reset_election(&mut self) {
        let (least, most) = if self.founding {
            (self.options.bootstrap_election_min_ms, self.options.bootstrap_election_max_ms)
        } else {
            (self.options.election_min_ms, self.options.election_max_ms)
        };
        self.election_at = self.now + self.random.random_range(least..=most);
    }

    /// Takes a snapshot over that isn't covered by the state machine yet.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        self.persistence.record(Record::Snapshot(snapshot.clone()));
        self.persistence.truncated(0);
        self.log.install(snapshot.clone(), 0);
        self.commit = snapshot.index();
        self.applied = snapshot.index();
        self.hand_out_snapshot(snapshot);
    }

    fn hand_out_snapshot(&mut self, snapshot: Snapshot) {
        if snapshot.index() > BOOTSTRAP_INDEX {
            self.effects.push(Effect::InstallSnapshot(snapshot));
        }
    }

    /// Raises the commit index and hands the entries out.
    pub(crate) fn commit_to(&mut self, index: Index) {
        self.commit = self.commit.max(index.min(self.log.last().index));
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else { return };
            self.applied += 1;
            self.effects.push(Effect::Apply(entry));
        }
    }

    /// Appends an entry as leader.
    pub(crate) fn append_own(&mut self, payload: Payload) -> Index {
        let index = self.log.last().index + 1;
        let entry = crate::entry::Entry { index, term: self.hard.term, payload };
        self.persistence.record(Record::Entries(vec![entry.clone()]));
        self.log.push(entry);
        index
    }
}

/// The newest hard state, if there is one, and the log.
fn replay(records: Vec<Record>) -> (Option<HardState>, Log) {
    let mut hard = None;
    let mut log = Log::default();
    for record in records {
        match record {
            Record::Hard(state) => hard = Some(state),
            Record::Entries(entries) => log.restore(entries),
            Record::Snapshot(snapshot) => log.install(snapshot, 0),
        }
    }
    (hard, log)
}
