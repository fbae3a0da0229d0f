//! Applies a server's heartbeats and reports to its known state.

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::Millis;

use super::Server;
use crate::contents::{ContentsSource, ListedModel, RemovedContents};
use crate::in_flight::InFlightOrder;
use crate::model::Artifact;
use crate::uncertainty::Uncertainty;

impl Server {
    /// Applies a heartbeat and the contents that it lists, if any. Returns false, without effect, if the heartbeat is
    /// not newer than the last one.
    pub fn record_heartbeat(&mut self, now: Millis, sequence: u64, listed: Option<&[ListedModel]>) -> bool {
        if self.last_heartbeat.is_some_and(|newest| sequence <= newest) {
            return false;
        }
        // A server that does not list its contents gets no orders.
        let Some(listed) = listed else { return true };
        self.last_heartbeat = Some(sequence);
        self.remember_on_disk(listed);
        let removed = self.contents.reconcile(now, listed, ContentsSource::Heartbeat);
        if !self.is_evicting_all(&removed) {
            // The heartbeat may be older than the orders whose effects it does not show.
            self.revision.invalidate();
        }
        self.complete_order_by_contents();
        if self.uncertainty.is_some_and(|uncertainty| uncertainty.is_resolved_by_heartbeat(now)) {
            self.uncertainty = None;
        }
        true
    }

    /// Returns whether the accepted eviction in flight explains everything that was removed. In that case the revision
    /// can stay known even if the heartbeat is older than the order, because the server rejects the next order until
    /// the eviction has ended.
    fn is_evicting_all(&self, removed: &RemovedContents) -> bool {
        let eviction = self.in_flight.as_ref().filter(|order| order.accepted_at.is_some());
        let is_evicted = |artifact: &Artifact| eviction.is_some_and(|order| order.evicts(*artifact));
        !removed.unidentified && removed.artifacts.iter().all(is_evicted)
    }

    /// Completes the order in flight if the server has accepted it and the contents show its effect.
    fn complete_order_by_contents(&mut self) {
        let contents = &self.contents;
        let is_complete = |order: &mut InFlightOrder| {
            let has_artifact = contents.has(order.artifact);
            order.accepted_at.is_some() && has_artifact == (order.operation == Operation::Load)
        };
        self.in_flight.take_if(is_complete);
    }

    /// Applies a report of the server's contents at `revision`. `busy` tells whether the server is still executing its
    /// last order. The report only adds to the models on disk if the server is busy, if the order in flight is
    /// unanswered, or if the report is outdated or does not resolve the uncertainty.
    pub fn record_report(&mut self, now: Millis, revision: u64, busy: bool, listed: &[ListedModel]) {
        self.remember_on_disk(listed);
        let unanswered = self.in_flight.as_ref().is_some_and(|order| order.accepted_at.is_none());
        let resolves = |uncertainty: Uncertainty| uncertainty.is_resolved_by_report(now, revision);
        let is_outdated = self.revision.is_newer_than(revision);
        if unanswered || busy || is_outdated || !self.uncertainty.is_none_or(resolves) {
            return;
        }
        self.contents.reconcile(now, listed, ContentsSource::Report);
        self.revision.set_reported(revision);
        self.uncertainty = None;
        // The contents in the report show whether the order succeeded or failed.
        self.in_flight = None;
        self.reports.revision_received();
    }

    /// Records the listed models as being on the server's disk. Only models in messages are recorded, because a load
    /// that got no response may never have started.
    fn remember_on_disk(&mut self, listed: &[ListedModel]) {
        self.on_disk.extend(listed.iter().filter_map(|entry| entry.model));
    }
}
