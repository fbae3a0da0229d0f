//! Leader leases, and the voters' side of them.
//!
//! A voter that receives a message from a leader helps no other replica to replace that leader for the shortest
//! election timeout (leader stickiness; Ongaro's thesis, section 4.2.3). The leader's own lease is shorter and is
//! counted from the time at which the message was sent, so it expires first (section 6.4.1). The crate documentation
//! gives the full argument.

use shaletrail_protocol::Millis;

use crate::replica::{Replica, RoleState};

impl Replica {
    /// Whether this replica leads and holds the lease: a majority has responded to a message that it sent less than
    /// [`Options::lease_ms`] before `now`. `now` must be the current time.
    ///
    /// [`Options::lease_ms`]: crate::Options::lease_ms
    pub fn is_leader_with_lease(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// When the lease expires, according to the responses received so far. `None` if this replica does not lead, 0 if
    /// no majority has responded yet.
    pub fn lease_until(&self) -> Option<Millis> {
        let RoleState::Leader(leader_state) = &self.role_state else { return None };
        let acked_at = leader_state.quorum_acked_at(self.log.voters(), self.options.node);
        Some(if acked_at == 0 { 0 } else { acked_at.saturating_add(self.options.lease_ms) })
    }

    /// Whether a leader may hold a lease that relies on this replica's responses: this replica received a message from
    /// that leader within the shortest election timeout, or it leads itself and was in contact with a quorum within
    /// that time.
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
