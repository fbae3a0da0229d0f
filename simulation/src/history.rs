//! Randomized histories: faults of all kinds, never more at once than the system must tolerate. At the end all faults are
//! repaired, and the system must return to service.

mod crashes;
mod disorder;
mod losses;
mod mix;
mod outages;
mod partitions;
mod quiescence;
mod races;
mod recovery;
mod scenario;
mod servers;
mod traffic;
mod zone_losses;

pub use losses::{has_all_voters, is_fully_replicated};
pub use mix::Mix;
pub use scenario::Scenario;

use mix::many_models;
use recovery::Recovery;

use std::collections::BTreeMap;

use shaletrail_protocol::{Millis, NodeId};

use crate::fixtures::Models;
use crate::fleet::{Fleet, FleetOptions};
use crate::network::Conditions;
use crate::world::World;

/// How long a machine counts as unavailable after its restart, in milliseconds (`syncS`).
const CATCH_UP_PERIOD: Millis = 4_000;
/// Interval between two steps of a history, in milliseconds.
const STEP_INTERVAL: std::ops::RangeInclusive<Millis> = 20..=120;
/// Upper bound of concurrent calls of the operator.
const MAX_PENDING_CALLS: usize = 8;
/// Time without faults within which the system must return to service, in milliseconds.
const RECOVERY_TIME: Millis = 8_000;
/// `ackTimeoutMs`, in milliseconds.
const ACK_TIMEOUT: Millis = 4_000;

/// A function that injects an event of one kind into a history.
type Step = fn(&mut History);

/// A running history: the fleet, the faults in effect and their scheduled repairs.
pub struct History {
    fleet: Fleet,
    mix: Mix,
    /// Scheduled repairs of the faults in effect, with their due times.
    recoveries: Vec<(Millis, Recovery)>,
    /// For each coordinator that has failed, when it stops counting as unavailable.
    unavailable_until: BTreeMap<NodeId, Millis>,
    coordinators_created: u8,
    /// Start of the current period without faults; `None` while a fault is in effect.
    fault_free_since: Option<Millis>,
    /// Whether no link has a delay or loss other than the default.
    links_nominal: bool,
    acknowledged_changes: Vec<u64>,
    /// Earlier changes that a history may resend.
    sent_changes: Vec<u64>,
}

impl History {
    /// Plays a mixed history for `duration` milliseconds and checks all invariants at its end.
    ///
    /// # Panics
    /// An invariant is violated, or the system does not return to service after the repairs.
    pub fn play(seed: u64, mix: Mix, duration: Millis) -> Fleet {
        let large = seed % 4 == 3;
        let options = FleetOptions {
            coordinators: if large { 5 } else { 3 },
            hosts_lost: if large { 2 } else { 1 },
            edges: 3,
            initial_models: vec![vec![0, 1], vec![0, 2], vec![3]],
            web_servers: 3,
            disk_latency: if seed.is_multiple_of(2) { 0..=2 } else { 5..=30 },
            models: if seed.is_multiple_of(3) { many_models() } else { Models::default() },
            seed,
            ..FleetOptions::default()
        };
        let coordinators_created = options.coordinators;
        let mut history = History::begin(Fleet::ready(options), mix, coordinators_created);
        history.advance(duration);
        history.quiesce(RECOVERY_TIME);
        history.fleet.check();
        history.fleet
    }

    fn begin(fleet: Fleet, mix: Mix, coordinators_created: u8) -> Self {
        History {
            fleet,
            mix,
            recoveries: Vec::new(),
            unavailable_until: BTreeMap::new(),
            coordinators_created,
            fault_free_since: None,
            links_nominal: true,
            acknowledged_changes: Vec::new(),
            sent_changes: Vec::new(),
        }
    }

    fn advance(&mut self, duration: Millis) {
        let end = self.fleet.world.now + duration;
        while self.fleet.world.now < end {
            let step = self.world().random_range(STEP_INTERVAL).min(end - self.fleet.world.now);
            self.fleet.run(step);
            self.check_acknowledgements();
            self.run_due_recoveries();
            self.step();
        }
    }

    fn step(&mut self) {
        let mix = self.mix;
        let steps: [(f64, Step); 7] = [
            (mix.coordinator_faults, History::inject_coordinator_fault),
            (mix.total_outages, History::inject_total_outage),
            (mix.edge_faults, History::inject_edge_fault),
            (mix.server_changes, History::disturb_servers),
            (mix.operator_calls, History::run_operator),
            (mix.client_requests, History::send_client_request),
            (mix.link_changes, History::disturb_links),
        ];
        for (probability, step) in steps {
            if self.world().random_bool(probability) {
                step(self);
            }
        }
    }

    /// Records calls of the operator and draining servers that were not acknowledged in time although no fault was in effect.
    fn check_acknowledgements(&mut self) {
        let now = self.fleet.world.now;
        let is_fault_free = self.links_nominal
            && self.fleet.operator.response_loss == 0.0
            && self.fleet.world.contact.is_fault_free(now, &self.fleet.world.network);
        self.fault_free_since = if is_fault_free { self.fault_free_since.or(Some(now)) } else { None };
        let Some(fault_free_since) = self.fault_free_since else { return };
        let is_overdue = |since: Millis| since.max(fault_free_since) + ACK_TIMEOUT < now;
        let calls = self.fleet.operator.pending_since().filter(|(_, since)| is_overdue(*since));
        let mut descriptions: Vec<String> = calls.map(|(call, _)| format!("call {call}")).collect();
        let servers = self.fleet.servers().into_iter().filter_map(|node| self.fleet.server(node));
        let draining = servers.filter(|server| server.draining_since().is_some_and(is_overdue));
        descriptions.extend(draining.map(|server| format!("draining of {}", server.id())));
        for description in descriptions {
            self.fleet.world.observer.acknowledgement_overdue(now, description);
        }
    }

    fn world(&mut self) -> &mut World {
        &mut self.fleet.world
    }

    fn record(&mut self, action: String) {
        let now = self.fleet.world.now;
        self.fleet.world.observer.record_action(now, action);
    }

    fn choose<T: Clone>(&mut self, from: &[T]) -> Option<T> {
        let last = (from.len() as u64).checked_sub(1)?;
        let index = self.world().random_range(0..=last) as usize;
        from.get(index).cloned()
    }

    fn inject_edge_fault(&mut self) {
        let edges = self.fleet.edges();
        let Some(node) = self.choose(&edges) else { return };
        match self.world().random_range(0..=3) {
            0 => {
                self.take_down(node, "killed", Fleet::kill);
            }
            3 => {
                self.take_down(node, "shuts down gracefully", Fleet::terminate);
            }
            1 => {
                self.record(format!("{node} frozen"));
                self.fleet.freeze(node);
                self.schedule_recovery(Recovery::Thaw(node));
            }
            _ => {
                let coordinators = self.fleet.coordinators();
                let Some(other) = self.choose(&coordinators) else { return };
                self.record(format!("{node} and {other} partitioned"));
                self.fleet.partition(node, other, true);
                self.schedule_recovery(Recovery::HealPartitions(vec![(node, other), (other, node)]));
            }
        }
    }

    fn disturb_links(&mut self) {
        let max_delay = self.world().random_range(2..=60);
        let loss = if self.world().random_bool(0.5) { 0.02 } else { 0.0 };
        self.record(format!("links take up to {max_delay} ms, loss {loss}"));
        self.links_nominal = false;
        self.world().network.set_conditions(Conditions { delay: 1..=max_delay, loss });
        self.schedule_recovery(Recovery::Links);
    }
}
