//! Failure detection: the transitions of members to suspect and dead, and the removal of dead members.

use shaletrail_protocol::internal::MemberState;
use shaletrail_protocol::{Millis, NodeId};

use super::Membership;

impl Membership {
    /// Restarts all time-outs after a stall of this process, as acks and refutations that arrived during the stall may
    /// not have been processed yet.
    pub(super) fn restart_timeouts_after_stall(&mut self, now: Millis) {
        if now.saturating_sub(self.last_tick) > self.options.stall_ms {
            self.probes.values_mut().for_each(|probe| probe.reset_unanswered(now));
            self.table.restart_suspicions(now);
            self.voters.values_mut().for_each(|since| *since = now);
        }
    }

    /// Suspects members whose acks are missing, and declares suspects dead that have not refuted the suspicion in time.
    pub(super) fn detect_failures(&mut self, now: Millis) {
        let states: Vec<(NodeId, MemberState)> =
            self.table.records().map(|record| (record.node, record.state)).collect();
        for (node, state) in states {
            match state {
                MemberState::Alive if self.has_probe_timed_out(now, node) => {
                    self.table.set_state(now, node, MemberState::Suspect);
                }
                MemberState::Suspect if self.has_suspicion_expired(now, node) => {
                    self.table.set_state(now, node, MemberState::Dead);
                    self.targets_stale = true;
                }
                _ => {}
            }
        }
    }

    /// Removes members that have been dead for the retention time.
    pub(super) fn forget_dead(&mut self, now: Millis) {
        let retention_ms = self.options.dead_retention_ms;
        let dead = self.table.records().filter(|record| record.state == MemberState::Dead);
        let expired: Vec<NodeId> = dead
            .map(|record| record.node)
            .filter(|node| self.table.state_since(*node).is_some_and(|since| since + retention_ms <= now))
            .collect();
        for node in expired {
            self.table.remove(node);
            self.targets_stale = true;
        }
    }

    fn has_probe_timed_out(&self, now: Millis, node: NodeId) -> bool {
        let probe = self.targets.contains(&node).then(|| self.probes.get(&node)).flatten();
        probe.is_some_and(|probe| probe.has_timed_out(now, &self.options))
    }

    /// Whether a suspicion has lasted for its time-out while this node itself has no contact with the member. A member
    /// that answers this node is not declared dead because of another node's suspicion.
    fn has_suspicion_expired(&self, now: Millis, node: NodeId) -> bool {
        let timeout_ms = self.options.suspicion_timeout_ms;
        let expired = self.table.state_since(node).is_some_and(|since| since + timeout_ms <= now);
        expired && !self.has_contact_within(node, now, self.options.ping_timeout_ms)
    }
}
