//! The balancer as its host sees it: events in, actions out, and what it tells operators.

use crate::balance::Node;
use crate::interface::*;

/// The decisions of one node.
pub struct Balancer(Node);

impl Balancer {
    /// A node that has just come up. `seed` feeds jitter only, never the homes of keys.
    ///
    /// # Errors
    /// Where a setting makes no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Node::new(settings, seed).map(Balancer)
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        self.0.now = now;
        self.0.on_event(event);
        actions.append(&mut self.0.actions);
    }

    /// What there is of servers as of the last event, for operators.
    pub fn listed(&self) -> Listed {
        let node = &self.0;
        let servers = node.servers.values().filter(|s| self.is_listed(&s.entry));
        let avoided = servers
            .clone()
            .filter(|s| node.now < s.ejected_until || node.out_of_service.contains_key(&s.entry.server));
        Listed { all: servers.count(), avoided: avoided.count() }
    }

    /// A cache server is listed under this name.
    pub fn lists(&self, server: &ServerId) -> bool {
        self.0.servers.get(server).is_some_and(|s| self.is_listed(&s.entry))
    }

    fn is_listed(&self, entry: &RosterEntry) -> bool {
        entry.state != ServerState::Gone && !self.0.settings.is_origin(entry)
    }
}
