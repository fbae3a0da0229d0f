//! What follows from what the shards have done: answers to the operator, turns of holders of orders, notes.

use shaletrail_protocol::Millis;

use super::operator::Stage;
use super::shards::{Done, CONFIGURATION};
use super::Coordinator;
use crate::interface::{Action, StateChange};

impl Coordinator {
    pub(super) fn run_shards(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for done in self.shards.pump(actions) {
            match done {
                Done::Judged { index, term, judgement } => self.judged(index, term, judgement, actions),
                Done::Installed => {}
                Done::Turn { shard, epoch } => {
                    let leads = self.shards.get(shard).map(|shard| &shard.replica);
                    let leads = leads.is_some_and(|replica| {
                        replica.is_leader() && replica.term() == epoch.holder.fencing_token
                    });
                    if self.holders.on_epoch_started(now, shard, epoch, leads) {
                        actions.push(Action::LogStateChange(StateChange::OrderLeaseAcquired {
                            shard,
                            fencing_token: epoch.holder.fencing_token,
                        }));
                    }
                }
                Done::ReadReady { token } => self.read_done(token, true, actions),
                Done::ReadFailed { token } => self.read_done(token, false, actions),
                Done::Elected { shard, term } => {
                    actions.push(Action::LogStateChange(StateChange::BecameLeader { shard, term }));
                    if shard == CONFIGURATION {
                        self.hand_over_if_disk_sick(now);
                    }
                    self.holders.on_elected(now, shard, term);
                }
                Done::Deposed { shard, term } => {
                    actions.push(Action::LogStateChange(StateChange::LostLeadership { shard, term }));
                    self.holders.on_deposed(shard);
                    if shard == CONFIGURATION {
                        self.operator_calls.start_over(rests_on_leadership);
                    }
                }
            }
        }
        let version = self.configuration_version();
        if version != self.announced_version {
            self.announced_version = version;
            self.holders.configured(self.shards.configuration().view());
            actions.push(Action::LogStateChange(StateChange::ConfigurationApplied { version }));
        }
    }
}

/// Whether a call at this stage is lost with the own leadership and must be brought to the next leader.
fn rests_on_leadership(stage: Stage) -> bool {
    matches!(stage, Stage::Proposed { .. } | Stage::Reading)
}
