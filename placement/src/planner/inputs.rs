//! Applies the planner's inputs: demand, directory records and server reports.

use shaletrail_protocol::external::{LoadedModel, ServerReport};
use shaletrail_protocol::internal::{Demand, Presence, ServerRecord};
use shaletrail_protocol::{Millis, NodeId, ServerId};
use shaletrail_ring::hash_of_name;

use super::{Planner, UNREACHABLE_BACKOFF};
use crate::catalogue::adapter_number;
use crate::contents::ListedModel;
use crate::server::{Server, ServerKey};

/// Further servers are ignored once this many are known.
const MAX_SERVERS: usize = 4_096;

impl Planner {
    /// Applies the demand that a source reports: an edge, or a coordinator on behalf of its edges. The waiting and
    /// in-progress requests replace those of the source's last report.
    pub fn record_demand(&mut self, now: Millis, source: NodeId, demand: &[Demand]) {
        self.demand_sources.record(now, source, demand, &self.service, &mut self.models);
        self.has_changed |= demand.iter().any(|entry| entry.service == self.service);
    }

    /// Applies the directory's record of a server. Records of other services are ignored. A heartbeat that is not newer
    /// than the last one neither changes the known contents nor makes a server ready again.
    pub fn update_server(&mut self, now: Millis, record: &ServerRecord) {
        let heartbeat = &record.heartbeat;
        if heartbeat.service != self.service {
            return;
        }
        if record.presence == Presence::Removed {
            return self.remove_server(&record.id);
        }
        let Some(key) = self.find_or_add_server(&record.id) else { return };
        let listed = heartbeat.models.as_deref().map(|models| self.identify(models));
        let Some(server) = self.servers.get_mut(&key) else { return };
        let is_newer = server.record_heartbeat(now, heartbeat.sequence, listed.as_deref());
        if !is_newer && record.presence == Presence::Ready && !server.is_ready() {
            return;
        }
        self.has_changed |= is_newer;
        server.slots = heartbeat.slots;
        let address_changed = server.address != heartbeat.address;
        server.address.clone_from(&heartbeat.address);
        self.set_presence(key, record.presence, address_changed);
    }

    /// Removes a server that the directory has removed; does nothing if it is unknown.
    pub fn remove_server(&mut self, id: &ServerId) {
        let Some(key) = self.keys.remove(id) else { return };
        self.ring.update(&[(key, 0, 0.0)]);
        self.servers.remove(&key);
        self.has_changed = true;
    }

    /// Applies a server's response to `GET /report`; ignored if the server is unknown.
    pub fn record_report(&mut self, now: Millis, id: &ServerId, report: &ServerReport) {
        let listed = self.identify(&report.models);
        let Some(server) = self.server_mut(id) else { return };
        server.record_report(now, report.sequence, report.order_in_flight, &listed);
        self.has_changed = true;
    }

    /// Records that a server did not respond to `GET /report`.
    pub fn report_failed(&mut self, now: Millis, id: &ServerId) {
        if let Some(server) = self.server_mut(id) {
            server.report_failed(now, UNREACHABLE_BACKOFF);
            self.has_changed = true;
        }
    }

    /// Treats a server as timed out until its next heartbeat, because another server has its address.
    pub(super) fn mark_timed_out(&mut self, now: Millis, id: &ServerId) {
        let Some(key) = self.keys.get(id).copied() else { return };
        if let Some(server) = self.servers.get_mut(&key) {
            server.order_rejected(now, UNREACHABLE_BACKOFF);
        }
        self.set_presence(key, Presence::TimedOut, false);
    }

    fn set_presence(&mut self, key: ServerKey, presence: Presence, address_changed: bool) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        let was_ready = server.is_ready();
        server.presence = presence;
        if !server.is_ready() {
            server.reservation = None;
        }
        if was_ready != server.is_ready() || address_changed {
            self.has_changed = true;
            let weight = if server.is_ready() { 1.0 } else { 0.0 };
            self.ring.update(&[(key, hash_of_name(&server.address), weight)]);
        }
    }

    fn find_or_add_server(&mut self, id: &ServerId) -> Option<ServerKey> {
        if let Some(key) = self.keys.get(id) {
            return Some(*key);
        }
        if self.servers.len() >= MAX_SERVERS {
            return None;
        }
        self.last_key += 1;
        let key = ServerKey(self.last_key);
        self.keys.insert(id.clone(), key);
        self.servers.insert(key, Server::new(id.clone(), self.initial_uncertainty));
        Some(key)
    }

    /// Resolves the names of models and adapters in a message. A model that is not in the configuration is assumed to
    /// be as large as the largest configured one.
    fn identify(&mut self, loaded: &[LoadedModel]) -> Vec<ListedModel> {
        let assumed_mb = self.catalogue.largest_model_mb();
        let identify_model = |entry: &LoadedModel| {
            let adapters: Vec<u32> = entry.adapters.iter().filter_map(|name| adapter_number(name)).collect();
            let unidentified_adapters = entry.adapters.len() - adapters.len();
            let model = self.models.intern(&entry.name, assumed_mb);
            ListedModel { model, adapters, unidentified_adapters }
        };
        loaded.iter().map(identify_model).collect()
    }
}
