//! Leases: a leader's, and the promise of the voters that it rests on.
//!
//! A voter that receives a message of a leader helps nobody to replace it for the shortest election timeout (leader
//! stickiness; Ongaro's thesis, section 4.2.3). The leader's own lease is shorter and counts from the sending of the
//! message, so it ends first (section 6.4.1). The crate's documentation has the argument.

use shaletrail_protocol::Millis;

use crate::replica::{Replica, RoleState};

impl Replica {
    /// Whether this replica leads and holds the lease: a majority has responded to a message that it sent less than
    /// [`Options::lease_ms`] before `now`, which must be the time of the moment.
    ///
    /// [`Options::lease_ms`]: crate::Options::lease_ms
    pub fn is_leader_with_lease(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Until when the lease lasts, by the responses so far; `None` unless this replica leads, 0 where no majority has
    /// responded yet.
    pub fn lease_until(&self) -> Option<Millis> {
        let RoleState::Leader(leader_state) = &self.role_state else { return None };
        let acked_at = leader_state.quorum_acked_at(self.log.voters(), self.options.node);
        Some(if acked_at == 0 { 0 } else { acked_at.saturating_add(self.options.lease_ms) })
    }

    /// Whether a leader may hold a lease by this replica's promise: it received a message of that leader within the
    /// shortest election timeout, or leads and has been in contact with a quorum within it.
    pub(crate) fn in_leader_lease(&self) -> bool {
        match &self.role_state {
            RoleState::Leader(leader_state) => {
                let last_contact = leader_state.last_quorum_contact(self.log.voters(), self.options.node);
                last_contact.saturating_add(self.options.election_min_ms) > self.now
            }
            _ => self.now < self.leader_lease_until,
        }
    }
}
