//! Reactions to the state of this node's disk: leadership is transferred away from a node whose disk is degraded, and
//! checkpoints are written on request.

use shaletrail_protocol::Millis;

use super::{node_attributes, Coordinator};
use crate::interface::Action;

/// How long a disk counts as degraded after the last [`DiskDegraded`](crate::interface::Event::DiskDegraded) event.
const DEGRADED_PERIOD: Millis = 1_500;
/// Delay between a failed checkpoint and the next attempt.
const CHECKPOINT_RETRY_DELAY: Millis = 500;

impl Coordinator {
    /// Handles a disk that does not make records durable: another voter should lead the configuration's shard.
    pub(super) fn on_disk_degraded(&mut self, now: Millis) {
        self.disk_degraded_until = now + DEGRADED_PERIOD;
        self.transfer_configuration_if_disk_degraded(now);
    }

    /// Transfers the leadership of the configuration's shard while the disk is degraded, because changes need a working
    /// disk. The service shards keep their leader: heartbeats suffice to renew the lease under which it sends orders,
    /// and a new holder would first have to wait for one lease duration.
    pub(super) fn transfer_configuration_if_disk_degraded(&mut self, now: Millis) {
        let replica = self.shards.configuration_replica();
        if now < self.disk_degraded_until && replica.is_leader() {
            replica.transfer_leadership(now);
        }
    }

    /// Transfers the leadership of all shards that this node leads, in preparation for its shutdown.
    pub(super) fn transfer_all_leaderships(&mut self, now: Millis) {
        for shard in self.shards.numbers() {
            if let Some(replica) = self.shards.replica_mut(shard).filter(|replica| replica.is_leader()) {
                replica.transfer_leadership(now);
            }
        }
    }

    /// Handles a checkpoint that could not be written.
    pub(super) fn on_checkpoint_failed(&mut self, now: Millis) {
        self.on_disk_degraded(now);
        self.checkpoint_retry_at = Some(now + CHECKPOINT_RETRY_DELAY);
    }

    /// Writes a failed checkpoint again once its delay has passed. The journal requests one only after a further append,
    /// and a leader whose log is full appends nothing until the journals of its followers have space.
    pub(super) fn retry_checkpoint_if_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let is_due = self.checkpoint_retry_at.is_some_and(|retry_at| retry_at <= now);
        self.checkpoint_if(is_due, actions);
    }

    /// Emits a checkpoint of all live records if the driver has asked for one.
    pub(super) fn checkpoint_if(&mut self, is_requested: bool, actions: &mut Vec<Action>) {
        if !is_requested {
            return;
        }
        self.checkpoint_retry_at = None;
        let mut live = self.shards.live_records();
        live.extend(self.directory_snapshots.live_records());
        live.extend(self.node_attributes.live_record().map(|table| (node_attributes::STREAM, table)));
        actions.push(Action::Checkpoint { live });
    }
}
