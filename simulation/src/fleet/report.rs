//! The check of the invariants of a fleet, and the description of a fleet for failure messages.

use std::net::Ipv4Addr;

use shaletrail_protocol::{Millis, NodeId};

use super::{
    Fleet, Process, CONVERGENCE, DRAIN, ORIGIN_OVERSHOOT, ORIGIN_WINDOW, RETRY_RATIO, RETRY_SLACK,
    RETRY_WINDOW,
};
use crate::fixtures;
use crate::invariants::{violations, InvariantBounds};

impl Fleet {
    /// The bounds of the invariants that follow from the settings of this fleet.
    pub fn bounds(&self) -> InvariantBounds {
        InvariantBounds {
            convergence: CONVERGENCE,
            attempts: fixtures::MAX_ATTEMPTS,
            retry_window: RETRY_WINDOW,
            retry_ratio: RETRY_RATIO,
            retry_slack: RETRY_SLACK,
            drain: DRAIN,
            lease: self.options.order_lease,
            origin_window: ORIGIN_WINDOW,
            origin_overshoot: ORIGIN_OVERSHOOT,
            load_per_s: self.options.models.load_per_s,
        }
    }

    /// Checks all invariants against the record of the observer.
    ///
    /// # Panics
    /// An invariant is violated.
    pub fn check(&self) {
        let violations = violations(&self.world.observer, &self.bounds());
        let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
        assert!(violations.is_empty(), "{}\n{}", lines.join("\n"), self.describe());
    }

    /// Describes all actions, state changes and orders in order of time, and the state of all machines, for failure messages.
    pub fn describe(&self) -> String {
        let mut lines = vec![format!("seed {} at {}", self.options.seed, self.world.now)];
        let state_changes = self
            .world
            .observer
            .state_changes
            .iter()
            .map(|(at, node, change)| (*at, format!("{node} {change:?}")));
        let actions = self.world.observer.actions.iter().map(|(at, what)| (*at, format!("---- {what}")));
        let orders = self.world.observer.orders.iter().map(|order| {
            let text =
                format!("{} orders {} to {}: {}", order.from, order.server, order.description, order.status);
            (order.at, text)
        });
        let mut entries: Vec<(Millis, String)> = actions.chain(state_changes).chain(orders).collect();
        entries.sort_by_key(|(at, _)| *at);
        lines.extend(entries.into_iter().map(|(at, what)| format!("  {at} {what}")));
        for (from, to) in self.world.network.partitions() {
            lines.push(format!("  partition from {from} to {to}"));
        }
        for node in self.coordinators() {
            lines.push(format!("  {node}: {}", self.describe_coordinator(node)));
        }
        for (node, machine) in &self.machines {
            let Some(Process::Server(server)) = &machine.process else { continue };
            let (id, loaded) = (server.id(), server.loaded());
            lines.push(format!("  {node}: server {id} of {} has loaded {loaded:?}", server.service()));
        }
        for node in self.edges() {
            let edge = self.edge(node);
            let known = edge.map(|edge| (edge.view().version, edge.polled_coordinator()));
            lines.push(format!("  {node}: version and polled coordinator {known:?}"));
        }
        lines.join("\n")
    }

    fn describe_coordinator(&self, node: NodeId) -> String {
        let Some(coordinator) = self.coordinator(node) else { return "not running".to_owned() };
        let core = coordinator.core();
        let shard = |number| core.shards().get(number).map(|shard| &shard.replica);
        let shards = core.shards().numbers().filter_map(shard).map(|replica| {
            let voters: Vec<Ipv4Addr> = replica.voters().members().map(NodeId::address).collect();
            format!(
                "{:?} term {} leader {:?} voters {voters:?}",
                replica.role(),
                replica.term(),
                replica.leader()
            )
        });
        format!(
            "version {} quorum contact {} frozen {}, {}",
            core.configuration_version(),
            core.has_quorum_contact(),
            self.is_frozen(node),
            shards.collect::<Vec<_>>().join("; ")
        )
    }
}
