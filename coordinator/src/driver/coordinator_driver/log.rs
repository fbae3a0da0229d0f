//! Log lines for events on which an operator of the system may have to act.

use shaletrail_protocol::external::ServerReport;
use shaletrail_storage::WriterEvent;
use slog::{debug, info, o, warn, Logger, Record, Serializer, KV};

use crate::core::voters::tolerance::LossAssessment;
use crate::driver::order_client::OutgoingOrder;
use crate::interface::{OrderOutcome, StateChange};

/// Logs a change of the coordinator's state. Expected changes have the level info, changes on which an operator may
/// have to act have the level warning.
pub fn log_state_change(log: &Logger, change: &StateChange) {
    match change {
        StateChange::BecameLeader { shard, term } => {
            info!(log, "became leader of shard"; "shard" => shard, "term" => term)
        }
        StateChange::LostLeadership { shard, term } => {
            info!(log, "lost leadership of shard"; "shard" => shard, "term" => term)
        }
        StateChange::ConfigurationApplied { version } => {
            info!(log, "configuration applied"; "version" => version)
        }
        StateChange::VotersChanging { shard, target_voters } => {
            let voters: Vec<String> = target_voters.iter().map(ToString::to_string).collect();
            info!(log, "changing voters of shard"; "shard" => shard, "target_voters" => voters.join(","))
        }
        StateChange::FaultToleranceChanged { shard, assessment } => {
            log_fault_tolerance(log, *shard, assessment)
        }
        StateChange::OrderLeaseAcquired { shard, fencing_token } => {
            info!(log, "acquired order lease of shard"; "shard" => shard, "fencing_token" => fencing_token)
        }
        StateChange::QuorumContactChanged(has_contact) => {
            warn!(log, "quorum contact changed"; "has_contact" => has_contact)
        }
        StateChange::UnreadableSnapshot { shard } => {
            warn!(log, "snapshot of shard is unreadable, shard is halted until the next start"; "shard" => shard)
        }
        StateChange::UnreadableRecords { shard } => {
            warn!(log, "records of shard are unreadable"; "shard" => shard)
        }
    }
}

fn log_fault_tolerance(log: &Logger, shard: u32, assessment: &LossAssessment) {
    let keys = AssessmentKeys(*assessment);
    if assessment.is_tolerated() {
        info!(log, "voters of shard withstand the tolerated losses"; "shard" => shard, keys);
    } else {
        warn!(log, "voters of shard do not withstand the tolerated losses"; "shard" => shard, keys);
    }
}

/// The numbers of an assessment, as keys of a log line.
struct AssessmentKeys(LossAssessment);

impl KV for AssessmentKeys {
    fn serialize(&self, _record: &Record, serializer: &mut dyn Serializer) -> slog::Result {
        let LossAssessment { voters, minority, lost_with_hosts, lost_with_zones, lost_with_regions } = self.0;
        serializer.emit_usize("voters", voters)?;
        serializer.emit_usize("minority", minority)?;
        serializer.emit_usize("lost_with_hosts", lost_with_hosts)?;
        serializer.emit_usize("lost_with_zones", lost_with_zones)?;
        serializer.emit_usize("lost_with_regions", lost_with_regions)
    }
}

/// Logs an order with its outcome. The outcomes busy and already done are logged as info instead of debug: they show
/// that the server has accepted an order that this coordinator did not know about.
pub(super) fn log_order(log: &Logger, outgoing: &OutgoingOrder, outcome: OrderOutcome) {
    let order = &outgoing.body;
    let log = log.new(o!("operation" => order.operation.to_string(), "model" => order.model.clone(),
        "adapter" => order.adapter.clone().unwrap_or_default(), "server" => outgoing.server.clone(),
        "revision" => order.if_revision, "fencing_token" => order.fencing_token,
        "outcome" => outcome.to_string()));
    match outcome {
        OrderOutcome::Busy | OrderOutcome::AlreadyDone => info!(log, "order rejected by server"),
        _ => debug!(log, "order completed"),
    }
}

pub(super) fn log_server_report(log: &Logger, server: &str, report: &ServerReport) {
    debug!(log, "received report of server"; "server" => server, "revision" => report.sequence,
        "order_in_flight" => report.order_in_flight, "models" => report.models.len());
}

pub(super) fn log_journal_failure(log: &Logger, report: &WriterEvent) {
    match report {
        WriterEvent::SyncFailed { error, .. } => warn!(log, "journal write failed"; "error" => %error),
        WriterEvent::CheckpointFailed { error } => {
            warn!(log, "journal checkpoint failed"; "error" => %error)
        }
        WriterEvent::Synced { .. } | WriterEvent::Checkpointed { .. } | WriterEvent::Stopped => {}
    }
}
