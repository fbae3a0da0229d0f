//! What a leader does on its own: it takes office, keeps contact with a quorum, and takes proposals.

use shaletrail_protocol::Millis;

use crate::effect::Effect;
use crate::entry::{Entry, Index, Payload};
use crate::error::ReplicaError;
use crate::leader_state::LeaderState;
use crate::record::Record;
use crate::replica::{Replica, RoleState};

impl Replica {
    /// Leads the present term. The empty entry lets the leader learn what is committed: only an entry of its own term
    /// may be counted (Ongaro's thesis, section 3.6.2).
    pub(crate) fn become_leader(&mut self) {
        let own_node = self.options.node;
        let term_start_index = self.log.last().index + 1;
        let peers = self.log.voters().members().filter(|node| *node != own_node);
        self.role_state = RoleState::Leader(Box::new(LeaderState::new(self.now, term_start_index, peers)));
        self.leader = Some(own_node);
        self.bootstrapping = false;
        self.effects.push(Effect::BecameLeader { term: self.hard_state.term });
        self.append_entry(Payload::Empty);
    }

    /// Steps down where no quorum has responded for the longest election timeout (check-quorum; Ongaro's thesis,
    /// section 6.2), else sends heartbeats where they are due.
    pub(crate) fn tick_leader(&mut self) {
        let RoleState::Leader(leader_state) = &mut self.role_state else { return };
        let last_contact = leader_state.last_quorum_contact(self.log.voters(), self.options.node);
        if last_contact.saturating_add(self.options.election_max_ms) <= self.now {
            self.become_follower(self.hard_state.term, None);
        } else if self.now >= leader_state.heartbeat_at {
            leader_state.heartbeat_pending = true;
        }
    }

    /// Adds a command to the log. It has taken effect once it comes back as [`Effect::Apply`] with this index and
    /// the present term; it may be lost if the leadership is.
    ///
    /// # Errors
    ///
    /// [`ReplicaError::NotLeader`], [`ReplicaError::TooLarge`] for a command over [`Options::max_command_bytes`], and
    /// [`ReplicaError::Busy`] where too much is uncommitted already, or a voter that the group will need is too far behind.
    ///
    /// [`Options::max_command_bytes`]: crate::Options::max_command_bytes
    pub fn propose(&mut self, now: Millis, command: Vec<u8>) -> Result<Index, ReplicaError> {
        self.set_now(now);
        if !self.is_leader() {
            return self.not_leader();
        }
        let size = command.len();
        if size > self.options.max_command_bytes {
            return Err(ReplicaError::TooLarge { size });
        }
        let uncommitted = self.log.last().index - self.commit_index;
        let uncommitted_bytes = self.log.bytes_after(self.commit_index);
        let is_full = uncommitted >= self.options.max_uncommitted_entries
            || (uncommitted > 0 && uncommitted_bytes + size > self.options.max_uncommitted_bytes);
        if is_full || self.must_hold_proposals(size) {
            return Err(ReplicaError::Busy);
        }
        Ok(self.append_entry(Payload::Command(command.into())))
    }

    /// Appends an entry of the present term; a leader never replaces one of its own (Leader Append-Only; Ongaro's
    /// thesis, figure 3.2).
    pub(crate) fn append_entry(&mut self, payload: Payload) -> Index {
        let index = self.log.last().index + 1;
        let entry = Entry { index, term: self.hard_state.term, payload };
        self.persistence.record(Record::Entries(vec![entry.clone()]));
        self.log.push(entry);
        index
    }
}
