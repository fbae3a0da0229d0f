//! What follows from the state of this node's disk: who should lead, and what a checkpoint holds.

use shaletrail_protocol::Millis;

use super::Coordinator;
use crate::interface::Action;

/// A disk that was found sick counts as such for so long after it last showed it.
const SICK_FOR: Millis = 1_500;

impl Coordinator {
    /// The disk does not make records safe: whoever can, should lead.
    pub(super) fn on_disk_sick(&mut self, now: Millis) {
        self.sick_until = now + SICK_FOR;
        self.hand_over_if_disk_sick(now);
    }

    /// The configuration cannot change without a disk. Orders can go on: their right rests on heartbeats, and another
    /// holder would have to wait for the lease.
    pub(super) fn hand_over_if_disk_sick(&mut self, now: Millis) {
        let replica = self.shards.configuration_replica();
        if now < self.sick_until && replica.is_leader() {
            replica.transfer_leadership(now);
        }
    }

    /// Lets other voters lead.
    pub(super) fn transfer_leadership(&mut self, now: Millis) {
        for shard in self.shards.numbers() {
            if let Some(replica) = self.shards.replica_mut(shard).filter(|replica| replica.is_leader()) {
                replica.transfer_leadership(now);
            }
        }
    }

    pub(super) fn checkpoint_if(&mut self, wanted: bool, actions: &mut Vec<Action>) {
        if wanted {
            let live = self
                .shards
                .live_records()
                .into_iter()
                .chain(self.directory_snapshots.live_record())
                .collect();
            actions.push(Action::Checkpoint { live });
        }
    }
}
