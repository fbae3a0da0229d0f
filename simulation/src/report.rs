//! Whether the rules hold, and what a fleet looks like where they don't.

use std::net::Ipv4Addr;

use shaletrail_protocol::{Millis, NodeId};

use crate::checks::{violations, Bounds};
use crate::fleet::{
    Fleet, CONVERGENCE, DRAIN, LEASE, ORIGIN_OVERSHOOT, ORIGIN_WINDOW, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW,
};
use crate::site;

impl Fleet {
    /// The bounds that the rules are checked by.
    pub fn bounds(&self) -> Bounds {
        Bounds {
            convergence: CONVERGENCE,
            attempts: site::MAX_ATTEMPTS,
            retry_window: RETRY_WINDOW,
            retry_ratio: RETRY_RATIO,
            retry_slack: RETRY_SLACK,
            drain: DRAIN,
            lease: LEASE,
            origin_window: ORIGIN_WINDOW,
            origin_overshoot: ORIGIN_OVERSHOOT,
            load_per_s: self.options.models.load_per_s,
        }
    }

    /// Checks all rules over what was seen.
    ///
    /// # Panics
    /// One is broken.
    pub fn check(&self) {
        let found = violations(&self.world.witness, &self.bounds());
        let lines: Vec<String> = found.iter().map(ToString::to_string).collect();
        assert!(found.is_empty(), "{}\n{}", lines.join("\n"), self.describe());
    }

    /// What is known of the fleet, for messages of failed tests.
    pub fn describe(&self) -> String {
        let mut lines = vec![format!("seed {} at {}", self.options.seed, self.world.now)];
        let notes = self.world.witness.notes.iter().map(|(at, node, note)| (*at, format!("{node} {note:?}")));
        let story = self.world.witness.story.iter().map(|(at, what)| (*at, format!("---- {what}")));
        let mut told: Vec<(Millis, String)> = story.chain(notes).collect();
        told.sort_by_key(|(at, _)| *at);
        lines.extend(told.into_iter().map(|(at, what)| format!("  {at} {what}")));
        for (from, to) in self.world.network.cuts() {
            lines.push(format!("  cut from {from} to {to}"));
        }
        for node in self.coordinators() {
            lines.push(format!("  {node}: {}", self.describe_coordinator(node)));
        }
        for node in self.edges() {
            let edge = self.edge(node);
            let known = edge.map(|edge| (edge.view().version, edge.polls()));
            lines.push(format!("  {node}: version and coordinator {known:?}"));
        }
        lines.join("\n")
    }

    fn describe_coordinator(&self, node: NodeId) -> String {
        let Some(coordinator) = self.coordinator(node) else { return "does not run".to_owned() };
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
            "version {} in touch {} frozen {}, {}",
            core.configuration_version(),
            core.has_quorum_contact(),
            self.is_frozen(node),
            shards.collect::<Vec<_>>().join("; ")
        )
    }
}
