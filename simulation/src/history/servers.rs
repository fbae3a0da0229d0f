//! Crashes, drains and starts of model servers.

use shaletrail_protocol::{Millis, NodeId};

use super::{History, Recovery};
use crate::fixtures::{self, LLM_SERVICE, WEB_SERVICE};

/// Time after which an address may be reused, in milliseconds (`addressReuseS`).
const ADDRESS_REUSE: Millis = 2_000;
/// Number of machines that model servers can run on.
const MAX_SERVER_MACHINES: u8 = 8;

impl History {
    pub(super) fn disturb_servers(&mut self) {
        let running = self.fleet.servers();
        let Some(node) = self.choose(&running) else { return };
        let service = self.fleet.server(node).map(|server| server.service().to_owned()).unwrap_or_default();
        let stays_in_service = |other: &&NodeId| {
            let server = self.fleet.server(**other);
            **other != node
                && server.is_some_and(|server| server.service() == service && !server.is_draining())
        };
        if running.iter().filter(stays_in_service).count() < 2 {
            return self.schedule_server_start();
        }
        match self.world().random_range(0..=3) {
            0 => {
                self.record(format!("server {node} crashes"));
                self.fleet.crash_server(node);
                self.schedule_recovery(Recovery::Server(node));
            }
            1 => {
                self.record(format!("server {node} drains"));
                self.fleet.drain_server(node, None);
            }
            2 => {
                let remaining = self.world().random_range(200..=4_000);
                self.record(format!("server {node} drains and exits within {remaining} ms"));
                self.fleet.drain_server(node, Some(remaining));
            }
            _ => self.schedule_server_start(),
        }
    }

    /// Schedules the start of a server on a random machine that runs none.
    pub(super) fn schedule_server_start(&mut self) {
        let free_machines: Vec<NodeId> = (0..MAX_SERVER_MACHINES)
            .map(fixtures::server)
            .filter(|node| !self.fleet.is_running(*node))
            .collect();
        if let Some(node) = self.choose(&free_machines) {
            let at = self.fleet.world.now + ADDRESS_REUSE;
            self.recoveries.push((at, Recovery::Server(node)));
        }
    }

    pub(super) fn start_server(&mut self, node: NodeId) {
        if self.fleet.is_running(node) {
            return;
        }
        let service = if self.world().random_bool(0.5) { LLM_SERVICE } else { WEB_SERVICE };
        let id = self.fleet.start_server(node, service, Vec::new());
        self.record(format!("server {node} starts as {id} of {service}"));
    }
}
