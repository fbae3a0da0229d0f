//! The leader's own duties: starting its term, checking its contact with a quorum, and accepting proposals.

use shaletrail_protocol::Millis;

use crate::effect::Effect;
use crate::entry::{Entry, Index, Payload};
use crate::error::ReplicaError;
use crate::leader_state::LeaderState;
use crate::record::Record;
use crate::replica::{Replica, RoleState};

impl Replica {
    /// Starts leading the current term. The empty entry lets the leader find out what is committed: a leader may only
    /// count replicas of entries of its own term (Ongaro's thesis, section 3.6.2).
    pub(crate) fn become_leader(&mut self) {
        let own_node = self.options.node;
        let term_start_index = self.log.last_position().index + 1;
        let peers = self.log.voters().members().filter(|node| *node != own_node);
        self.role_state = RoleState::Leader(Box::new(LeaderState::new(self.now, term_start_index, peers)));
        self.leader = Some(own_node);
        self.bootstrapping = false;
        self.effects.push(Effect::BecameLeader { term: self.hard_state.term });
        self.append_entry(Payload::Empty);
    }

    /// Steps down if no quorum has responded for the longest election timeout (check-quorum; Ongaro's thesis, section
    /// 6.2). Otherwise schedules heartbeats that are due.
    pub(crate) fn tick_leader(&mut self) {
        let RoleState::Leader(leader_state) = &mut self.role_state else { return };
        let last_contact = leader_state.last_quorum_contact(self.log.voters(), self.options.node);
        if last_contact.saturating_add(self.options.election_max_ms) <= self.now {
            self.become_follower(self.hard_state.term, None);
        } else if self.now >= leader_state.heartbeat_at {
            leader_state.heartbeat_pending = true;
        }
    }

    /// Appends a command to the log. The command has taken effect once it is returned as [`Effect::Apply`] with this
    /// index and the current term. If this replica loses leadership first, the command may be lost.
    ///
    /// # Errors
    ///
    /// [`ReplicaError::NotLeader`]; [`ReplicaError::TooLarge`] if the command exceeds [`Options::max_command_bytes`];
    /// and [`ReplicaError::Busy`] if too many entries or bytes are uncommitted, or if a voter that the group may soon
    /// depend on is too far behind.
    ///
    /// [`Options::max_command_bytes`]: crate::Options::max_command_bytes
    pub fn propose(&mut self, now: Millis, command: Vec<u8>) -> Result<Index, ReplicaError> {
        self.check_proposal(now, command.len())?;
        Ok(self.append_entry(Payload::Command(command.into())))
    }

    /// Whether a command of this size would be accepted now, for an owner that encodes large commands only then.
    ///
    /// # Errors
    ///
    /// Those of [`Replica::propose`].
    pub fn check_proposal(&mut self, now: Millis, size: usize) -> Result<(), ReplicaError> {
        self.set_now(now);
        if !self.is_leader() {
            return self.not_leader();
        }
        if size > self.options.max_command_bytes {
            return Err(ReplicaError::TooLarge { size });
        }
        let uncommitted = self.log.last_position().index - self.commit_index;
        let uncommitted_bytes = self.log.bytes_after(self.commit_index);
        let is_full = uncommitted >= self.options.max_uncommitted_entries
            || (uncommitted > 0 && uncommitted_bytes + size > self.options.max_uncommitted_bytes);
        if is_full || self.must_reject_proposals(size) {
            return Err(ReplicaError::Busy);
        }
        Ok(())
    }

    /// Appends an entry of the current term. A leader never overwrites its own entries (Leader Append-Only; Ongaro's
    /// thesis, figure 3.2).
    pub(crate) fn append_entry(&mut self, payload: Payload) -> Index {
        let index = self.log.last_position().index + 1;
        let entry = Entry { index, term: self.hard_state.term, payload };
        self.persistence.record(Record::Entries(vec![entry.clone()]));
        self.log.push(entry);
        index
    }
}
