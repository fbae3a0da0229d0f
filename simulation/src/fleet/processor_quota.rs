//! Machines whose share of a core is a quota: a process runs at full speed until the quota is spent, and then not at all until
//! the period is over. Its clock goes on; messages and timers wait, in their order.

use shaletrail_protocol::{Millis, NodeId};

use super::{Deferred, Fleet};
use crate::world::ScheduledEvent;

/// The period of a quota, in milliseconds.
pub const QUOTA_PERIOD: Millis = 100;

/// The quota of one machine, and what waits for the next period.
pub(crate) struct ProcessorQuota {
    /// How much of each period the process runs, from its start on, in milliseconds.
    running: Millis,
    /// When periods begin, modulo [`QUOTA_PERIOD`].
    phase: Millis,
    waiting: Vec<Deferred>,
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
    /// Lets a machine's process run for `running` milliseconds of each [`QUOTA_PERIOD`] only; `None` ends that. Periods begin at
    /// a random time.
    pub fn set_processor_quota(&mut self, node: NodeId, running: Option<Millis>) {
        let phase = self.world.random_range(0..=QUOTA_PERIOD - 1);
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let quota = running.map(|running| ProcessorQuota { running, phase, waiting: Vec::new() });
        let former = std::mem::replace(&mut machine.quota, quota);
        let waiting = former.map(|quota| quota.waiting).unwrap_or_default();
        self.handle_deferred(node, waiting);
    }

    /// Takes an event for a machine whose quota is spent, to be handled with the next period; gives it back otherwise.
    pub(super) fn defer_if_quota_is_spent(&mut self, node: NodeId, event: Deferred) -> Option<Deferred> {
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

    /// A period has begun.
    pub(super) fn renew_quota(&mut self, node: NodeId) {
        let quota = self.machines.get_mut(&node).and_then(|machine| machine.quota.as_mut());
        let waiting = quota.map(|quota| std::mem::take(&mut quota.waiting)).unwrap_or_default();
        self.handle_deferred(node, waiting);
    }
}
