//! The public handle of the balancer: takes events, returns actions, and reports on its servers.

use crate::balance::Node;
use crate::interface::*;

/// A sans-IO state machine that makes the decisions of one node.
pub struct Balancer(Node);

impl Balancer {
    /// A node that has just started. `seed` feeds random draws only, never the home servers of keys.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Node::new(settings, seed).map(Balancer)
    }

    /// Handles one event and appends the actions that the host must carry out, in their order.
    pub fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        self.0.now = now;
        self.0.on_event(event);
        actions.append(&mut self.0.actions);
    }

    /// Server counts as of the last event, for operators.
    pub fn server_counts(&self) -> ServerCounts {
        let node = &self.0;
        let servers = node.servers.values().filter(|s| self.is_listed(&s.entry));
        let avoided = servers
            .clone()
            .filter(|s| node.now < s.ejected_until || node.out_of_service.contains_key(&s.entry.server));
        ServerCounts { listed: servers.count(), avoided: avoided.count() }
    }

    /// Whether the roster lists a cache server under this name.
    pub fn has_server(&self, server: &ServerId) -> bool {
        self.0.servers.get(server).is_some_and(|s| self.is_listed(&s.entry))
    }

    fn is_listed(&self, entry: &RosterEntry) -> bool {
        entry.state != ServerState::Gone && !self.0.settings.is_origin(entry)
    }
}
