//! Quotas of processor time, as of a container: a process runs at full speed until its quota is spent, and not at all for the
//! rest of the period. Its clock keeps running; messages and timers wait in order.

use shaletrail_protocol::{Millis, NodeId};

use super::{DeferredEvent, Fleet};
use crate::world::ScheduledEvent;

/// The period of a quota, in milliseconds.
pub const QUOTA_PERIOD: Millis = 100;

/// The quota of one machine, and the events that wait for its next period.
pub(crate) struct ProcessorQuota {
    /// How long the process runs from the start of each period, in milliseconds.
    running: Millis,
    /// Start of the periods, in milliseconds modulo [`QUOTA_PERIOD`].
    phase: Millis,
    waiting: Vec<DeferredEvent>,
}

impl ProcessorQuota {
    fn is_spent(&self, now: Millis) -> bool {
        (now + QUOTA_PERIOD - self.phase) % QUOTA_PERIOD >= self.running
    }

    fn next_period(&self, now: Millis) -> Millis {
        now + QUOTA_PERIOD - (now + QUOTA_PERIOD - self.phase) % QUOTA_PERIOD
    }
}

impl Fleet {
    /// Limits a machine's process to `running` milliseconds of each [`QUOTA_PERIOD`], or ends the limit if that is `None`.
    /// Periods begin at a random time.
    pub fn set_processor_quota(&mut self, node: NodeId, running: Option<Millis>) {
        let phase = self.world.random_range(0..=QUOTA_PERIOD - 1);
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let quota = running.map(|running| ProcessorQuota { running, phase, waiting: Vec::new() });
        let former = std::mem::replace(&mut machine.quota, quota);
        let waiting = former.map(|quota| quota.waiting).unwrap_or_default();
        self.handle_deferred(node, waiting);
    }

    /// Defers an event until the next period if the quota of its machine is spent; returns the event otherwise.
    pub(super) fn defer_if_quota_is_spent(
        &mut self,
        node: NodeId,
        event: DeferredEvent,
    ) -> Option<DeferredEvent> {
        let now = self.world.now;
        let quota = self.machines.get_mut(&node).and_then(|machine| machine.quota.as_mut());
        let Some(quota) = quota.filter(|quota| quota.is_spent(now) || !quota.waiting.is_empty()) else {
            return Some(event);
        };
        if quota.waiting.is_empty() {
            let at = quota.next_period(now);
            self.world.schedule_at(at, ScheduledEvent::QuotaRenewed(node));
        }
        quota.waiting.push(event);
        None
    }

    /// Handles the events that waited for the period that begins now.
    pub(super) fn renew_quota(&mut self, node: NodeId) {
        let quota = self.machines.get_mut(&node).and_then(|machine| machine.quota.as_mut());
        let waiting = quota.map(|quota| std::mem::take(&mut quota.waiting)).unwrap_or_default();
        self.handle_deferred(node, waiting);
    }
}
