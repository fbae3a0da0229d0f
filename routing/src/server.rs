//! What is known of each server: its record, its load, what speaks against it.

use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::{Presence, ServerOutcomes, ServerRecord};
use shaletrail_protocol::{Millis, ServerId};

use crate::failure_accrual::FailureAccrual;
use crate::interface::ServerLoad;
use crate::local_load::LocalLoad;
use crate::report::Target;
use crate::Options;

/// Models that one server is remembered to lack.
const MAX_MISSING_MODELS: usize = 16;

/// Names a server inside the router; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServerHandle(pub(crate) u32);

/// How a server stands for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    /// Takes requests.
    Ready,
    /// Nothing has been heard of it for a while: only for want of others.
    TimedOut,
    /// Leaves or is gone: never again.
    Draining,
}

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    at: Millis,
    load: ServerLoad,
    /// Requests of this edge that were open there.
    open: u32,
}

#[derive(Clone, Debug)]
struct MissingModel {
    model: String,
    adapter: Option<String>,
    until: Millis,
}

/// A server.
#[derive(Debug)]
pub(crate) struct Server {
    /// The newest record.
    pub record: ServerRecord,
    /// Requests of this edge that are open there.
    pub open: u32,
    /// What speaks against it.
    pub health: FailureAccrual,
    /// What this edge has under way there.
    pub local_load: LocalLoad,
    /// When an answer last came from it.
    pub last_response_at: Millis,
    /// For the next report.
    pub outcomes: ServerOutcomes,
    load: Option<ReportedLoad>,
    full_until: Millis,
    missing_models: Vec<MissingModel>,
    /// Whether it is in its service's slot array.
    pub in_slot_array: bool,
    /// Another instance answered at its address.
    pub displaced: bool,
    /// The driver has been told to close its connections.
    pub connections_closed: bool,
    /// Since when the directory no longer lists it.
    pub unlisted_since: Option<Millis>,
}

impl Server {
    pub fn new(record: ServerRecord) -> Self {
        let outcomes = ServerOutcomes { server: record.id.clone(), succeeded: 0, failed: 0, unreachable: 0 };
        Server {
            local_load: LocalLoad::new(&record.id),
            record,
            open: 0,
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

    /// How it stands.
    pub fn availability(&self) -> Availability {
        if is_draining(&self.record) || self.displaced {
            Availability::Draining
        } else if self.record.presence == Presence::TimedOut || self.unlisted_since.is_some() {
            Availability::TimedOut
        } else {
            Availability::Ready
        }
    }

    /// Whether it holds what is asked for, as far as is known.
    pub fn holds(&self, target: &Target, now: Millis) -> bool {
        if target.model.is_empty() {
            return true;
        }
        if self.record.heartbeat.models.is_none() {
            return true;
        }
        self.record.serves(&target.model, target.adapter.as_deref()) && !self.is_missing(target, now)
    }

    /// It said that it lacks what was asked for.
    pub fn record_missing_model(&mut self, target: &Target, until: Millis) {
        if self.missing_models.len() >= MAX_MISSING_MODELS {
            self.missing_models.remove(0);
        }
        let (model, adapter) = (target.model.clone(), target.adapter.clone());
        self.missing_models.push(MissingModel { model, adapter, until });
    }

    fn is_missing(&self, target: &Target, now: Millis) -> bool {
        let same = |missing: &MissingModel| {
            missing.until > now && missing.model == target.model && missing.adapter == target.adapter
        };
        self.missing_models.iter().any(same)
    }

    /// When a lack may be over by itself.
    pub fn missing_until(&self, target: &Target, now: Millis) -> Option<Millis> {
        let same = |missing: &&MissingModel| {
            missing.until > now && missing.model == target.model && missing.adapter == target.adapter
        };
        self.missing_models.iter().filter(same).map(|missing| missing.until).max()
    }

    /// Another instance answered at its address: it is gone until a newer record says otherwise.
    pub fn mark_displaced(&mut self) {
        self.displaced = true;
    }

    /// Its id where the driver has not been told yet to close its connections.
    pub fn close_connections(&mut self) -> Option<ServerId> {
        let already_closed = std::mem::replace(&mut self.connections_closed, true);
        (!already_closed).then(|| self.record.id.clone())
    }

    /// It told its load.
    pub fn record_load(&mut self, now: Millis, load: ServerLoad) {
        self.load = Some(ReportedLoad { at: now, load, open: self.open });
    }

    /// It turned a request away for being full.
    pub fn record_full(&mut self, until: Millis) {
        self.full_until = self.full_until.max(until);
    }

    /// A service without models has nothing else to turn away: it is full after all.
    pub fn record_full_without_models(&mut self, until: Millis) {
        if self.record.heartbeat.models.is_none() {
            self.record_full(until);
        }
    }

    /// Slots that it works with: as an answer told, or its record.
    pub fn slots(&self) -> u32 {
        let reported = self.load.map(|seen| seen.load.slots).filter(|slots| *slots > 0);
        reported.unwrap_or(self.record.heartbeat.slots).max(1)
    }

    /// Whether it has shown no sign of life for long to a request that waits there.
    pub fn is_unresponsive(&self, now: Millis, options: &Options) -> bool {
        self.local_load.is_unresponsive(now, self.last_response_at, options.unresponsive_after_ms)
    }

    /// Requests that are there by the best knowledge: those of this edge, and what an answer told since `since`.
    pub fn occupied(&self, since: Millis) -> u32 {
        let reported = self.reported_load(since).map(|seen| {
            let there = seen.load.running.saturating_add(seen.load.waiting);
            there.saturating_add(self.open).saturating_sub(seen.open)
        });
        reported.unwrap_or(0).max(self.open)
    }

    /// What is known of its room.
    pub fn capacity(&self, now: Millis, since: Millis, options: &Options) -> Capacity {
        let (slots, occupied) = (self.slots(), self.occupied(since));
        let waiting = self.reported_load(since).map_or(0, |seen| seen.load.waiting);
        let queue = (f64::from(slots) * options.server_queue_fraction).ceil() as u32;
        if now < self.full_until || waiting > queue || occupied >= slots.saturating_add(queue) {
            Capacity::Full
        } else if waiting > 0 || occupied >= slots {
            Capacity::Queue
        } else {
            Capacity::Free
        }
    }

    /// When it may no longer be full, where only time is needed for that. What an answer told counts for `valid`
    /// milliseconds.
    pub fn full_until(&self, now: Millis, valid: Millis) -> Option<Millis> {
        let load_until = self.load.map(|seen| seen.at + valid);
        [Some(self.full_until), load_until].into_iter().flatten().filter(|until| *until > now).min()
    }

    fn reported_load(&self, since: Millis) -> Option<&ReportedLoad> {
        self.load.as_ref().filter(|seen| seen.at >= since)
    }
}

/// Whether a server has room for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Capacity {
    /// A slot is free, as far as is known.
    Free,
    /// It would wait there.
    Queue,
    /// It would be turned away, or wait long.
    Full,
}

/// Whether a record says that its server is draining or gone, which is final.
pub(crate) fn is_draining(record: &ServerRecord) -> bool {
    matches!(record.presence, Presence::Draining | Presence::Removed)
        || record.heartbeat.state == ServerState::Draining
}
