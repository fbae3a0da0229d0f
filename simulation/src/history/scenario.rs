//! Scenarios: histories that each concentrate on one kind of fault, and the steps that several of them use.

use shaletrail_protocol::{Millis, NodeId};

use super::{History, Mix, MAX_PENDING_CALLS};
use crate::fleet::{Fleet, FleetOptions};

/// Time without faults within which the system must return to service, in milliseconds.
const RECOVERY_TIME: Millis = 5_000;
/// Number of recent changes that are kept for resending.
const MAX_SENT_CHANGES: usize = 64;

/// The kind of fault that a history concentrates on. Its `strum` name is the one that the command line of `histories` takes
/// and its output prints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString)]
pub enum Scenario {
    /// Partitions of coordinators, for seconds or for less than a message's delay.
    #[strum(serialize = "cuts")]
    Partitions,
    /// Concurrent operators, lost responses and resent changes.
    #[strum(serialize = "races")]
    Races,
    /// Repeated failures, each right after the previous one was repaired.
    #[strum(serialize = "losses")]
    Losses,
    /// Hundreds of changes while coordinators crash at arbitrary points of their work and restart.
    #[strum(serialize = "storms")]
    Crashes,
    /// Duplicated, delayed and reordered messages, and callers that restart while a call is in flight.
    #[strum(serialize = "calls")]
    MessageDisorder,
    /// Losses of all coordinators of a zone at once.
    #[strum(serialize = "zones")]
    ZoneLosses,
}

impl Scenario {
    /// The number of the scenario, starting at 1; part of the seed of its histories.
    pub fn number(self) -> u32 {
        self as u32 + 1
    }
}

impl History {
    /// Plays a history of a scenario and checks all invariants at its end.
    ///
    /// # Panics
    /// An invariant is violated, or the system does not return to service after the repairs.
    pub fn play_scenario(scenario: Scenario, seed: u64) -> Fleet {
        let large = seed % 3 == 2;
        let size = if large { 2 } else { 1 };
        let layout = match scenario {
            Scenario::ZoneLosses => FleetOptions {
                coordinators: 9,
                zones: 3,
                zones_lost: 1,
                seeds_in_one_zone: seed.is_multiple_of(2),
                ..FleetOptions::default()
            },
            _ => FleetOptions { coordinators: if large { 5 } else { 3 }, ..FleetOptions::default() },
        };
        let options = FleetOptions {
            hosts_lost: size,
            disk_latency: if seed.is_multiple_of(2) { 0..=2 } else { 3..=15 },
            seed: seed.wrapping_mul(8).wrapping_add(u64::from(scenario.number())),
            ..layout
        };
        let coordinators = options.coordinators;
        let mut history = History::begin(Fleet::ready(options), Mix::requests_only(), coordinators);
        match scenario {
            Scenario::Partitions => history.play_partitions(),
            Scenario::Races => history.play_races(),
            Scenario::Losses => history.play_losses(),
            Scenario::Crashes => history.play_crashes(),
            Scenario::MessageDisorder => history.play_disorder(),
            Scenario::ZoneLosses => history.play_zone_losses(),
        }
        history.quiesce(RECOVERY_TIME);
        history.fleet.check();
        history.fleet
    }

    // ---- Steps that several scenarios use --------------------------------------------------------------

    /// Draws a random number from a range.
    pub(super) fn draw(&mut self, range: std::ops::RangeInclusive<Millis>) -> Millis {
        self.world().random_range(range)
    }

    /// The leader of the configuration's shard with this probability if it is among the given nodes, otherwise a random one of
    /// them.
    pub(super) fn leader_or_any(&mut self, among: &[NodeId], leader_probability: f64) -> Option<NodeId> {
        let leader = self.fleet.leader().filter(|leader| among.contains(leader));
        if leader.is_some() && self.world().random_bool(leader_probability) {
            return leader;
        }
        self.choose(among)
    }

    /// All coordinators except the given ones.
    pub(super) fn coordinators_except(&self, not: &[NodeId]) -> Vec<NodeId> {
        self.fleet.coordinators().into_iter().filter(|node| !not.contains(node)).collect()
    }

    /// The operator creates a change and sends it, the first attempt to `first` if given. `None` if too many calls are pending.
    pub(super) fn submit_change(&mut self, first: Option<NodeId>) -> Option<u64> {
        if self.fleet.operator.pending_count() >= MAX_PENDING_CALLS {
            return None;
        }
        let change = self.fleet.create_change();
        self.send_change_to(change, first);
        if self.sent_changes.len() >= MAX_SENT_CHANGES {
            self.sent_changes.remove(0);
        }
        self.sent_changes.push(change);
        Some(change)
    }

    /// The operator sends or resends a change, the first attempt to `first` if given.
    pub(super) fn send_change_to(&mut self, change: u64, first: Option<NodeId>) {
        match first {
            Some(first) => self.fleet.send_first_to(first, change),
            None => self.fleet.send_change(change),
        }
    }

    /// Resends a random earlier change, the first attempt to a random coordinator.
    pub(super) fn resend_random_change(&mut self) {
        let sent = self.sent_changes.clone();
        let coordinators = self.fleet.coordinators();
        if let (Some(change), Some(node)) = (self.choose(&sent), self.choose(&coordinators)) {
            if self.fleet.operator.pending_count() < MAX_PENDING_CALLS {
                self.send_change_to(change, Some(node));
            }
        }
    }

    /// The operator reads the configuration, the first attempt from `node`.
    pub(super) fn read_at(&mut self, node: NodeId) {
        if self.fleet.operator.pending_count() < MAX_PENDING_CALLS {
            self.fleet.operator.read_first_at(&mut self.fleet.world, node);
        }
    }

    /// Waits up to `limit` milliseconds for the outcome of a change; returns whether it came.
    pub(super) fn await_outcome(&mut self, change: u64, limit: Millis) -> bool {
        self.fleet.run_until(limit, |fleet| fleet.world.observer.outcome(change).is_some())
    }
}
