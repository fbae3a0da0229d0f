//! Linearizable reads without a log entry (ReadIndex; Ongaro's thesis, section 6.4).
//!
//! A read waits until a quorum has responded to a round of messages sent after the read was requested. This shows that
//! no later leader had been elected when the read was requested. The read also waits until an entry of the leader's own
//! term is committed, because until then the leader does not know what former leaders have committed.

use shaletrail_protocol::Millis;

use crate::effect::Effect;
use crate::error::ReplicaError;
use crate::leader_state::PendingRead;
use crate::replica::{Replica, RoleState};

impl Replica {
    /// Requests a read that reflects everything acknowledged before the request. The result is [`Effect::ReadReady`] or
    /// [`Effect::ReadFailed`] with the same token.
    ///
    /// # Errors
    ///
    /// [`ReplicaError::NotLeader`], and [`ReplicaError::Busy`] if
    /// [`Options::max_pending_reads`](crate::Options::max_pending_reads) reads are pending.
    pub fn read(&mut self, now: Millis, token: u64) -> Result<(), ReplicaError> {
        self.set_now(now);
        let RoleState::Leader(leader_state) = &mut self.role_state else { return self.not_leader() };
        if leader_state.pending_reads.len() >= self.options.max_pending_reads {
            return Err(ReplicaError::Busy);
        }
        leader_state.pending_reads.push_back(PendingRead { token, round: leader_state.round + 1 });
        leader_state.heartbeat_pending = true;
        Ok(())
    }

    /// Completes the reads whose round a quorum has responded to, once an entry of the current term is committed.
    pub(crate) fn confirm_reads(&mut self) {
        let RoleState::Leader(leader_state) = &mut self.role_state else { return };
        if leader_state.pending_reads.is_empty() || self.commit_index < leader_state.term_start_index {
            return;
        }
        let confirmed = leader_state.quorum_acked_round(self.log.voters(), self.options.node);
        while let Some(read) = leader_state.pending_reads.pop_front_if(|read| read.round <= confirmed) {
            self.effects.push(Effect::ReadReady { token: read.token, index: self.commit_index });
        }
    }
}
