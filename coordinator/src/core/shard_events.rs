//! Handling of events from the shards: responses to the operator, order leases, and log lines for state changes.

use shaletrail_protocol::Millis;

use super::lease_state::LeaseEpoch;
use super::operator::CallStage;
use super::shards::{ShardEvent, CONFIGURATION};
use super::Coordinator;
use crate::interface::{Action, StateChange};

impl Coordinator {
    /// Executes the pending effects of all replicas and handles the resulting events.
    pub(super) fn process_shards(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for event in self.shards.process_effects(actions) {
            self.on_shard_event(now, event, actions);
        }
        // Checked here because a snapshot that is installed changes the version without an event.
        let version = self.configuration_version();
        if version != self.last_applied_version {
            self.last_applied_version = version;
            self.order_leases.on_configuration(self.shards.configuration().view());
            actions.push(Action::LogStateChange(StateChange::ConfigurationApplied { version }));
        }
    }

    fn on_shard_event(&mut self, now: Millis, event: ShardEvent, actions: &mut Vec<Action>) {
        match event {
            ShardEvent::ChangeApplied { index, term, outcome } => {
                self.on_change_applied(index, term, &outcome, actions)
            }
            ShardEvent::LeaseEpochStarted { shard, epoch } => {
                self.on_lease_epoch_started(now, shard, epoch, actions)
            }
            ShardEvent::ReadReady { token } => self.on_read_ready(token, actions),
            ShardEvent::ReadFailed { token } => self.on_read_failed(token),
            ShardEvent::BecameLeader { shard, term } => {
                actions.push(Action::LogStateChange(StateChange::BecameLeader { shard, term }));
                if shard == CONFIGURATION {
                    self.transfer_configuration_if_disk_degraded(now);
                }
                self.order_leases.on_elected(now, shard, term);
            }
            ShardEvent::LostLeadership { shard, term } => {
                actions.push(Action::LogStateChange(StateChange::LostLeadership { shard, term }));
                self.order_leases.on_deposed(shard);
                if shard == CONFIGURATION {
                    self.operator_calls.restart(needs_leadership);
                }
            }
        }
    }

    fn on_lease_epoch_started(
        &mut self,
        now: Millis,
        shard: u32,
        epoch: LeaseEpoch,
        actions: &mut Vec<Action>,
    ) {
        let fencing_token = epoch.holder.fencing_token;
        let replica = self.shards.get(shard).map(|shard| &shard.replica);
        // A node sends orders only in the term in which it acquired the lease. If a later leader commits the entry, it
        // starts an epoch in which no node sends orders.
        let leads = replica.is_some_and(|replica| replica.is_leader() && replica.term() == fencing_token);
        if self.order_leases.on_epoch_started(now, shard, epoch, leads) {
            let acquired = StateChange::OrderLeaseAcquired { shard, fencing_token };
            actions.push(Action::LogStateChange(acquired));
        }
    }
}

/// Returns whether a call at this stage depends on this node's leadership and must be submitted to the next leader
/// after the leadership is lost.
fn needs_leadership(stage: CallStage) -> bool {
    matches!(stage, CallStage::Proposed { .. } | CallStage::Reading)
}
