//! Failure detection: who becomes suspect, dead and forgotten as time passes.

use shaletrail_protocol::internal::MemberState;
use shaletrail_protocol::{Millis, NodeId};

use super::Membership;

impl Membership {
    /// Restarts all time-outs if this process has stalled, as answers and refutations may still be unread.
    pub(super) fn restart_timeouts_after_stall(&mut self, now: Millis) {
        if now.saturating_sub(self.last_tick) > self.options.stall_ms {
            self.probes.values_mut().for_each(|probe| probe.reset_misses(now));
            self.table.restart_suspicions(now);
            self.voters.values_mut().for_each(|since| *since = now);
        }
    }

    /// Suspects members that have missed answers, and declares suspects dead that have not refuted in time.
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

    /// Forgets members that have been dead for long.
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

    /// Whether a suspicion has lasted for its time-out, and this node itself has no contact with the member.
    fn has_suspicion_expired(&self, now: Millis, node: NodeId) -> bool {
        let timeout_ms = self.options.suspicion_timeout_ms;
        let expired = self.table.state_since(node).is_some_and(|since| since + timeout_ms <= now);
        expired && !self.has_contact_within(node, now, self.options.ping_timeout_ms)
    }
}
