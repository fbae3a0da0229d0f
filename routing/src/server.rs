//! One server as known to this edge: its record, load, capacity and failures.

use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::{Presence, ServerOutcomes, ServerRecord};
use shaletrail_protocol::{Millis, ServerId};

use crate::failure_accrual::FailureAccrual;
use crate::interface::ServerLoad;
use crate::local_load::LocalLoad;
use crate::target::Target;
use crate::Options;

/// Maximum number of missing models that are remembered per server.
const MAX_MISSING_MODELS: usize = 16;

/// Identifies a server within the router. Handles are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServerHandle(pub(crate) u32);

/// Whether a server is available for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    /// It accepts requests.
    Ready,
    /// Its heartbeats have timed out, or the directory no longer lists it. It is used only if no ready server
    /// can serve a request.
    TimedOut,
    /// It is draining, removed or displaced, and receives no requests.
    Draining,
}

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    reported_at: Millis,
    load: ServerLoad,
    /// Requests of this edge that were in flight at the server when the load was reported.
    open_requests: u32,
}

#[derive(Clone, Debug)]
struct MissingModel {
    model: String,
    adapter: Option<String>,
    expires_at: Millis,
}

/// A server, and what this edge has observed about it.
#[derive(Debug)]
pub(crate) struct Server {
    /// The newest record of the server.
    pub record: ServerRecord,
    /// Number of requests of this edge that are in flight at the server.
    pub open_requests: u32,
    pub health: FailureAccrual,
    /// The load that this edge has put on the server, as advertised to other edges.
    pub local_load: LocalLoad,
    /// When the server last responded to any request of this edge.
    pub last_response_at: Millis,
    /// Attempt outcomes since the last report.
    pub outcomes: ServerOutcomes,
    load: Option<ReportedLoad>,
    full_until: Millis,
    missing_models: Vec<MissingModel>,
    /// Whether the server is in the slot array of its service.
    pub in_slot_array: bool,
    /// Whether another instance responded at the address of this server.
    pub displaced: bool,
    /// Whether the driver was told to close its connections to the server.
    pub connections_closed: bool,
    /// Since when the directory no longer lists the server; `None` if it is listed.
    pub unlisted_since: Option<Millis>,
}

impl Server {
    /// Creates a server with a first record, about which nothing has been observed yet.
    pub fn new(record: ServerRecord) -> Self {
        let outcomes = ServerOutcomes { server: record.id.clone(), succeeded: 0, failed: 0, unreachable: 0 };
        Server {
            local_load: LocalLoad::new(&record.id),
            record,
            open_requests: 0,
            health: FailureAccrual::default(),
            last_response_at: 0,
            outcomes,
            load: None,
            full_until: 0,
            missing_models: Vec::new(),
            in_slot_array: false,
            displaced: false,
            connections_closed: false,
            unlisted_since: None,
        }
    }

    /// The availability according to its record, its listing in the directory, and whether it was displaced.
    pub fn availability(&self) -> Availability {
        if is_draining(&self.record) || self.displaced {
            Availability::Draining
        } else if self.record.presence == Presence::TimedOut || self.unlisted_since.is_some() {
            Availability::TimedOut
        } else {
            Availability::Ready
        }
    }

    /// Whether the server has the model and adapter loaded, as far as is known.
    pub fn has_loaded(&self, target: &Target, now: Millis) -> bool {
        if target.model.is_empty() {
            return true;
        }
        if self.record.heartbeat.models.is_none() {
            return true;
        }
        self.record.serves(&target.model, target.adapter.as_deref()) && !self.is_missing(target, now)
    }

    /// Records that the server rejected a request because the model or adapter is not loaded.
    pub fn record_missing_model(&mut self, target: &Target, until: Millis) {
        if self.missing_models.len() >= MAX_MISSING_MODELS {
            self.missing_models.remove(0);
        }
        let (model, adapter) = (target.model.clone(), target.adapter.clone());
        self.missing_models.push(MissingModel { model, adapter, expires_at: until });
    }

    fn is_missing(&self, target: &Target, now: Millis) -> bool {
        self.missing_until(target, now).is_some()
    }

    /// Until when the model or adapter counts as missing; `None` if it does not.
    pub fn missing_until(&self, target: &Target, now: Millis) -> Option<Millis> {
        let is_same_target = |missing: &&MissingModel| {
            missing.expires_at > now && missing.model == target.model && missing.adapter == target.adapter
        };
        self.missing_models.iter().filter(is_same_target).map(|missing| missing.expires_at).max()
    }

    /// Records that another instance responded at the address of this server. It is unavailable until a newer
    /// heartbeat arrives.
    pub fn mark_displaced(&mut self) {
        self.displaced = true;
    }

    /// Marks the connections to the server as closed. Returns its id if they were not marked before.
    pub fn mark_connections_closed(&mut self) -> Option<ServerId> {
        let already_closed = std::mem::replace(&mut self.connections_closed, true);
        (!already_closed).then(|| self.record.id.clone())
    }

    /// Records the load that a response reported.
    pub fn record_load(&mut self, now: Millis, load: ServerLoad) {
        self.load = Some(ReportedLoad { reported_at: now, load, open_requests: self.open_requests });
    }

    /// Records that the server rejected a request for lack of capacity.
    pub fn record_full(&mut self, until: Millis) {
        self.full_until = self.full_until.max(until);
    }

    /// Records a rejection by a server that reported free slots. If the server has no models, only a lack of
    /// capacity can be the reason.
    pub fn record_full_without_models(&mut self, until: Millis) {
        if self.record.heartbeat.models.is_none() {
            self.record_full(until);
        }
    }

    /// The number of slots that a response last reported, or else that of the heartbeat; at least 1.
    pub fn slots(&self) -> u32 {
        let reported = self.load.map(|report| report.load.slots).filter(|slots| *slots > 0);
        reported.unwrap_or(self.record.heartbeat.slots).max(1)
    }

    /// Whether a request in flight has waited for [`Options::unresponsive_after_ms`] while the server
    /// responded to no request.
    pub fn is_unresponsive(&self, now: Millis, options: &Options) -> bool {
        self.local_load.is_unresponsive(now, self.last_response_at, options.unresponsive_after_ms)
    }

    /// Estimated number of requests at the server: the load reported at or after `since`, adjusted by the
    /// change of this edge's requests since then, and at least the requests of this edge.
    pub fn occupied(&self, since: Millis) -> u32 {
        let reported = self.reported_load(since).map(|report| {
            let occupied_at_report = report.load.running.saturating_add(report.load.waiting);
            occupied_at_report.saturating_add(self.open_requests).saturating_sub(report.open_requests)
        });
        reported.unwrap_or(0).max(self.open_requests)
    }

    /// The capacity for one more request, as far as is known. Loads reported before `since` are ignored.
    pub fn capacity(&self, now: Millis, since: Millis, options: &Options) -> Capacity {
        let (slots, occupied) = (self.slots(), self.occupied(since));
        let waiting = self.reported_load(since).map_or(0, |report| report.load.waiting);
        let queue = (f64::from(slots) * options.server_queue_fraction).ceil() as u32;
        if now < self.full_until || waiting > queue || occupied >= slots.saturating_add(queue) {
            Capacity::Full
        } else if waiting > 0 || occupied >= slots {
            Capacity::Queue
        } else {
            Capacity::Free
        }
    }

    /// When the server may have capacity without a further event. A reported load is valid for `load_ttl`
    /// milliseconds.
    pub fn full_until(&self, now: Millis, load_ttl: Millis) -> Option<Millis> {
        let load_until = self.load.map(|report| report.reported_at + load_ttl);
        [Some(self.full_until), load_until].into_iter().flatten().filter(|until| *until > now).min()
    }

    fn reported_load(&self, since: Millis) -> Option<&ReportedLoad> {
        self.load.as_ref().filter(|report| report.reported_at >= since)
    }
}

/// The capacity of a server for one more request. The variants are in the order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Capacity {
    /// A slot is free.
    Free,
    /// The request would wait in the server's queue.
    Queue,
    /// The request would be rejected or wait for a long time.
    Full,
}

/// Whether the server is draining or removed according to the record. Neither state can be left again.
pub(crate) fn is_draining(record: &ServerRecord) -> bool {
    matches!(record.presence, Presence::Draining | Presence::Removed)
        || record.heartbeat.state == ServerState::Draining
}
