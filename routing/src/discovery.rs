//! Handlers for updates of the configuration and of the server records. They keep the server pool of each
//! service current.

use std::collections::BTreeMap;
use std::sync::Arc;

use shaletrail_configuration::View;
use shaletrail_protocol::internal::ServerRecord;
use shaletrail_protocol::Millis;

use crate::interface::Action;
use crate::router::Router;
use crate::server::{Availability, ServerHandle};
use crate::server_pool::{ReadinessChange, ServerPool};
use crate::server_table::MergeOutcome;

impl Router {
    pub(crate) fn on_configuration_updated(
        &mut self,
        now: Millis,
        view: Arc<View>,
        actions: &mut Vec<Action>,
    ) {
        let options = &self.options;
        self.pools.retain(|name, pool| {
            !pool.members.is_empty() || pool.open_requests > 0 || view.service(name).is_some()
        });
        for service in view.services() {
            self.pools.entry(service.name.clone()).or_insert_with(|| ServerPool::new(options));
        }
        self.view = Some(view);
        self.drain_queues(now, actions);
    }

    pub(crate) fn on_servers_updated(
        &mut self,
        now: Millis,
        records: Vec<ServerRecord>,
        complete: bool,
        actions: &mut Vec<Action>,
    ) {
        let mut changed_servers = Vec::new();
        if complete {
            let listed = records.iter().map(|record| &record.id).collect();
            changed_servers = self.servers.mark_unlisted(now, &listed);
        }
        for record in records {
            let service = record.heartbeat.service.clone();
            match self.servers.merge(record, &self.options) {
                MergeOutcome::Added(handle) => {
                    let options = &self.options;
                    self.pools.entry(service).or_insert_with(|| ServerPool::new(options)).add(handle);
                    changed_servers.push(handle);
                }
                MergeOutcome::Updated(handle) => changed_servers.push(handle),
                MergeOutcome::Draining(handle) => self.on_draining(handle, actions),
                MergeOutcome::Ignored => {}
            }
        }
        self.update_slots(&changed_servers);
        self.drop_departed_servers(now);
        self.drain_queues(now, actions);
    }

    /// Adds servers that became ready to the slot arrays of their services, and removes those that are no
    /// longer ready.
    fn update_slots(&mut self, changed_servers: &[ServerHandle]) {
        let mut changed: BTreeMap<String, Vec<ReadinessChange>> = BTreeMap::new();
        for handle in changed_servers {
            let Some(server) = self.servers.get_mut(*handle) else { continue };
            let ready = server.availability() == Availability::Ready;
            if std::mem::replace(&mut server.in_slot_array, ready) != ready {
                let (service, address) =
                    (server.record.heartbeat.service.clone(), server.record.heartbeat.address.clone());
                changed.entry(service).or_default().push(ReadinessChange { server: *handle, address, ready });
            }
        }
        for (service, changed) in changed {
            if let Some(pool) = self.pools.get_mut(&service) {
                pool.update_slots(&changed);
            }
        }
    }

    fn on_draining(&mut self, handle: ServerHandle, actions: &mut Vec<Action>) {
        self.close_connections(handle, actions);
        if let Some(server) = self.servers.get(handle) {
            if let Some(pool) = self.pools.get_mut(&server.record.heartbeat.service) {
                pool.remove(handle);
            }
        }
    }

    /// Tells the driver to close its connections to a server. Does nothing if it was told before.
    pub(crate) fn close_connections(&mut self, handle: ServerHandle, actions: &mut Vec<Action>) {
        if let Some(id) = self.servers.get_mut(handle).and_then(|server| server.mark_connections_closed()) {
            actions.push(Action::CloseConnections(id));
        }
    }

    pub(crate) fn drop_departed_servers(&mut self, now: Millis) {
        for (handle, service) in self.servers.drop_departed(now, &self.options) {
            if let Some(pool) = self.pools.get_mut(&service) {
                pool.remove(handle);
            }
        }
    }
}
