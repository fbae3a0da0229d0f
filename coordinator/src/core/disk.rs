//! Reactions to the state of this node's disk: leadership moves away from a degraded one, and checkpoints are written.

use shaletrail_protocol::Millis;

use super::Coordinator;
use crate::interface::Action;

/// How long a disk counts as degraded after the last report of it.
const DEGRADED_PERIOD: Millis = 1_500;

impl Coordinator {
    /// The disk does not make records durable: a voter whose disk does should lead.
    pub(super) fn on_disk_degraded(&mut self, now: Millis) {
        self.disk_degraded_until = now + DEGRADED_PERIOD;
        self.transfer_configuration_if_disk_degraded(now);
    }

    /// Transfers the leadership of the configuration's shard, which cannot change without a disk. Orders can go on: the
    /// order lease rests on heartbeats, and another holder would have to wait until it is over.
    pub(super) fn transfer_configuration_if_disk_degraded(&mut self, now: Millis) {
        let replica = self.shards.configuration_replica();
        if now < self.disk_degraded_until && replica.is_leader() {
            replica.transfer_leadership(now);
        }
    }

    /// Transfers the leadership of all shards that this node leads, before it shuts down.
    pub(super) fn transfer_all_leaderships(&mut self, now: Millis) {
        for shard in self.shards.numbers() {
            if let Some(replica) = self.shards.replica_mut(shard).filter(|replica| replica.is_leader()) {
                replica.transfer_leadership(now);
            }
        }
    }

    /// Replaces the journal's content by the live records if the driver wants that.
    pub(super) fn checkpoint_if(&mut self, wanted: bool, actions: &mut Vec<Action>) {
        if !wanted {
            return;
        }
        let mut live = self.shards.live_records();
        live.extend(self.directory_snapshots.live_records());
        actions.push(Action::Checkpoint { live });
    }
}
