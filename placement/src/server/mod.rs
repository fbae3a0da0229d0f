//! The state of one server, as far as the planner knows it.
//!
//! [`messages`] applies heartbeats and reports, [`orders`] tracks an order from sending to completion, and
//! [`reporting`] decides when to request a report.

mod messages;
mod orders;
mod reporting;

use std::collections::BTreeSet;

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::{Millis, ServerId};

use crate::contents::ServerContents;
use crate::in_flight::InFlightOrder;
use crate::model::{Artifact, ModelId, ModelTable};
use crate::revision::OrderRevision;
use crate::uncertainty::Uncertainty;
use crate::urgency::Urgency;
use reporting::ReportSchedule;

/// Identifies a server within the planner. A server that restarts gets a new key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerKey(pub u64);

/// Reserves a server for a model, which the server loads as soon as it fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The model to load.
    pub model: ModelId,
    /// Whether the load is expected to come from the weight store and not from the server's disk.
    pub from_origin: bool,
    /// Why the replica is missing.
    pub urgency: Urgency,
}

/// A server of the service, from one start of its process to the next.
#[derive(Clone, Debug)]
pub struct Server {
    /// The server's identity, new at each start.
    pub id: ServerId,
    /// The server's address, `IP:PORT`, which determines its position on the hash ring.
    pub address: String,
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
    /// The server's state in the directory.
    pub presence: Presence,
    /// The models and adapters that the server may hold.
    pub contents: ServerContents,
    /// The order in flight; a server has at most one.
    pub in_flight: Option<InFlightOrder>,
    /// The model that the server is reserved for, if any.
    pub reservation: Option<Reservation>,
    /// The number of orders that the server has accepted, which `contents` reflects.
    pub revision: OrderRevision,
    /// Set while the server may have accepted orders that the planner does not know.
    pub uncertainty: Option<Uncertainty>,
    /// Models that a heartbeat or report has listed and that are therefore on the server's disk.
    on_disk: BTreeSet<ModelId>,
    /// Sequence number of the newest heartbeat that listed the contents.
    last_heartbeat: Option<u64>,
    /// The server gets no order before this time.
    blocked_until: Millis,
    reports: ReportSchedule,
}

impl Server {
    /// Creates a server that is seen for the first time. `uncertainty` covers orders of the previous lease holder. If
    /// that holder has sent any, the server rejects the first order because of its revision, and a report then gives
    /// the actual revision.
    pub fn new(id: ServerId, uncertainty: Uncertainty) -> Self {
        Server {
            id,
            address: String::new(),
            slots: 0,
            presence: Presence::TimedOut,
            contents: ServerContents::default(),
            in_flight: None,
            reservation: None,
            revision: OrderRevision::INITIAL,
            uncertainty: Some(uncertainty),
            on_disk: BTreeSet::new(),
            last_heartbeat: None,
            blocked_until: 0,
            reports: ReportSchedule::default(),
        }
    }

    /// Discards all order state at the start of a lease. `uncertainty` covers the orders of earlier leases; `None` if
    /// no orders were ever sent.
    pub fn reset_for_lease(&mut self, uncertainty: Option<Uncertainty>) {
        self.in_flight = None;
        self.reservation = None;
        self.uncertainty = uncertainty;
        self.blocked_until = 0;
        self.reports = ReportSchedule::default();
        match uncertainty {
            Some(_) => self.revision.invalidate(),
            None => self.revision = OrderRevision::INITIAL,
        }
    }

    /// Returns whether requests may be routed to the server.
    pub fn is_ready(&self) -> bool {
        self.presence == Presence::Ready
    }

    /// Returns whether an order may be sent to the server now.
    pub fn accepts_orders(&self, now: Millis) -> bool {
        self.is_ready()
            && self.last_heartbeat.is_some()
            && self.in_flight.is_none()
            && self.uncertainty.is_none()
            && now >= self.blocked_until
    }

    /// Returns whether the server holds the artifact and is not evicting it.
    pub fn serves(&self, artifact: Artifact) -> bool {
        self.contents.has(artifact) && !self.in_flight.as_ref().is_some_and(|order| order.evicts(artifact))
    }

    /// Returns whether the server is loading the artifact or is reserved for it.
    pub fn is_loading_or_reserved(&self, artifact: Artifact) -> bool {
        let is_load =
            |order: &InFlightOrder| order.operation == Operation::Load && order.artifact == artifact;
        let is_reserved = |reservation: &Reservation| artifact == Artifact::model(reservation.model);
        self.in_flight.as_ref().is_some_and(is_load) || self.reservation.as_ref().is_some_and(is_reserved)
    }

    /// Returns whether the model is known to be on the server's own disk.
    pub fn has_on_disk(&self, model: ModelId) -> bool {
        self.on_disk.contains(&model)
    }

    /// Returns the capacity that may be in use, including a load in flight, in MB.
    pub fn used_mb(&self, models: &ModelTable) -> f64 {
        let loading = self.loading().filter(|artifact| !self.contents.has(*artifact));
        let loading_mb = loading.map_or(0.0, |artifact| self.contents.size_mb(artifact, models));
        self.contents.used_mb(models) + loading_mb
    }

    /// Called before the configuration changes: what the server holds or is loading may keep its current size
    /// afterwards.
    pub fn keep_sizes(&mut self, models: &ModelTable) {
        let loading = self.loading();
        self.contents.keep_sizes(models, loading);
    }

    fn loading(&self) -> Option<Artifact> {
        let load = self.in_flight.as_ref().filter(|order| order.operation == Operation::Load);
        load.map(|order| order.artifact)
    }
}
