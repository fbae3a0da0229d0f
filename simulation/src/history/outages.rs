//! Faults of coordinators, never more at once than the system tolerates.

use std::ops::RangeInclusive;

use shaletrail_protocol::{Millis, NodeId};
use shaletrail_storage::fault_injection::Faults;

use super::{History, Recovery, CATCH_UP_PERIOD};
use crate::fixtures;
use crate::fleet::Fleet;
use crate::network::Conditions;

/// Probability that a fault strikes the leader rather than a random coordinator. Faults of leaders reveal more errors.
const LEADER_PROBABILITY: f64 = 0.4;
/// Latency of a slow disk, in milliseconds.
const SLOW_DISK: RangeInclusive<Millis> = 50..=400;

impl History {
    /// Chooses a coordinator that may fail now; `None` if the tolerated number of coordinators is unavailable already.
    pub(super) fn choose_victim(&mut self, leader_probability: f64) -> Option<NodeId> {
        let now = self.fleet.world.now;
        self.unavailable_until.retain(|_, until| *until > now);
        if self.unavailable_until.len() >= self.fleet.options.hosts_lost as usize {
            return None;
        }
        let unavailable: Vec<NodeId> = self.unavailable_until.keys().copied().collect();
        let available = self.coordinators_except(&unavailable);
        self.leader_or_any(&available, leader_probability)
    }

    pub(super) fn inject_coordinator_fault(&mut self) {
        let Some(node) = self.choose_victim(LEADER_PROBABILITY) else { return };
        let until = match self.world().random_range(0..=9) {
            0 => self.take_down(node, "killed", Fleet::kill),
            1 => self.take_down(node, "loses power", Fleet::lose_power),
            2 => self.take_down(node, "loses power and its disk", |fleet, node| {
                fleet.lose_power(node);
                fleet.lose_disk(node);
            }),
            3 | 4 => {
                self.record(format!("{node} frozen"));
                self.fleet.freeze(node);
                self.schedule_recovery(Recovery::Thaw(node))
            }
            5 => {
                self.inject_disk_fault(node, SLOW_DISK);
                self.schedule_recovery(Recovery::Disk(node))
            }
            6 | 7 => self.isolate(node),
            8 => self.take_down(node, "shuts down gracefully", Fleet::terminate),
            _ => self.replace_machine(node),
        };
        self.unavailable_until.insert(node, until + CATCH_UP_PERIOD);
    }

    pub(super) fn take_down(
        &mut self,
        node: NodeId,
        how: &str,
        down: impl FnOnce(&mut Fleet, NodeId),
    ) -> Millis {
        self.record(format!("{node} {how}"));
        down(&mut self.fleet, node);
        self.schedule_recovery(Recovery::Start(node))
    }

    /// Gives a disk a random fault: it stalls, is slow, is full, or its writes or syncs fail.
    pub(super) fn inject_disk_fault(&mut self, node: NodeId, slow: RangeInclusive<Millis>) {
        let kind = self.draw(0..=4);
        self.record(format!(
            "{node}'s disk gets fault {kind} (0 stalled, 1 slow, 2 full, 3 writes fail, 4 syncs fail)"
        ));
        match kind {
            0 => self.fleet.set_disk_stalled(node, true),
            1 => self.fleet.set_disk_latency(node, slow),
            2 => self.fleet.set_disk_faults(node, Faults { full: true, ..Faults::default() }),
            3 => self.fleet.set_disk_faults(node, Faults { writes_fail: true, ..Faults::default() }),
            _ => self.fleet.set_disk_faults(node, Faults { syncs_fail: true, ..Faults::default() }),
        }
    }

    /// Partitions a coordinator from the others, in one direction or both, or also from edges and the operator.
    fn isolate(&mut self, node: NodeId) -> Millis {
        let kind = self.world().random_range(0..=3);
        let mut partitions = Vec::new();
        let mut others: Vec<NodeId> = self.fleet.coordinators();
        others.retain(|other| *other != node);
        if kind == 3 {
            // Also from edges and the operator.
            others.extend(self.fleet.edges());
            others.push(fixtures::operator());
        }
        for other in others {
            if kind != 1 {
                partitions.push((node, other));
            }
            if kind != 2 {
                partitions.push((other, node));
            }
        }
        self.record(format!("{node} isolated, kind {kind} (0 both directions, 1 incoming, 2 outgoing, 3 also from edges and operator)"));
        for (from, to) in &partitions {
            self.fleet.partition_one_way(*from, *to, true);
        }
        self.schedule_recovery(Recovery::HealPartitions(partitions))
    }

    fn replace_machine(&mut self, node: NodeId) -> Millis {
        if self.coordinators_created > 100 {
            return self.fleet.world.now;
        }
        if self.world().random_bool(0.3) {
            // A planned replacement: the new coordinator joins before the old one is removed.
            self.join_replacement();
            self.record(format!("{node} removed after its replacement had joined"));
            self.fleet.remove_coordinator(node);
            return self.fleet.world.now;
        }
        self.record(format!("{node} removed permanently"));
        self.fleet.remove_coordinator(node);
        self.schedule_recovery(Recovery::JoinReplacement)
    }

    pub(super) fn join_replacement(&mut self) {
        let node = fixtures::coordinator(self.coordinators_created);
        self.coordinators_created += 1;
        self.record(format!("{node} joins"));
        self.fleet.join_coordinator(node);
        let now = self.fleet.world.now;
        self.unavailable_until.insert(node, now + CATCH_UP_PERIOD);
        // From now on, the settings files name three of the current coordinators as seeds.
        let seeds: Vec<NodeId> = self.fleet.coordinators().into_iter().rev().take(3).collect();
        for node in self.fleet.coordinators().into_iter().chain(self.fleet.edges()) {
            self.fleet.set_seeds(node, seeds.clone());
        }
    }

    /// Sends a change that reaches one of the coordinators late, and waits for its acknowledgement.
    fn await_acknowledgement(&mut self) {
        let coordinators = self.fleet.coordinators();
        let delayed = self.choose(&coordinators);
        for other in coordinators {
            if let Some(delayed) = delayed.filter(|delayed| *delayed != other) {
                self.world()
                    .network
                    .set_link_conditions((other, delayed), Conditions { delay: 20..=60, loss: 0.0 });
            }
        }
        let change = self.fleet.replace();
        self.fleet.run_until(500, |fleet| fleet.world.observer.is_acknowledged(change));
        self.world().network.clear_link_conditions();
    }

    /// Stops all coordinators and edges by a power loss or a kill, and restarts them. After a power loss, the tolerated number
    /// of coordinators may also lose their disks.
    pub(super) fn inject_total_outage(&mut self) {
        let now = self.fleet.world.now;
        self.unavailable_until.retain(|_, until| *until > now);
        if !self.unavailable_until.is_empty() {
            return;
        }
        if self.world().random_bool(0.5) {
            self.await_acknowledgement();
        }
        let power_loss = self.world().random_bool(0.6);
        self.record(format!("all coordinators and edges stop; power loss: {power_loss}"));
        self.fleet.stop_all(power_loss);
        if power_loss && self.world().random_bool(0.4) {
            let mut without_disk = self.fleet.coordinators();
            while without_disk.len() > self.fleet.options.hosts_lost as usize {
                let kept_index = self.world().random_range(0..=without_disk.len() as u64 - 1) as usize;
                without_disk.remove(kept_index);
            }
            for node in without_disk {
                self.record(format!("{node} loses its disk"));
                self.fleet.lose_disk(node);
            }
        }
        let down = self.world().random_range(10..=2_000);
        self.fleet.run(down);
        self.fleet.start_stopped();
        let restarted_at = self.fleet.world.now + 300;
        for node in self.fleet.coordinators() {
            self.unavailable_until.insert(node, restarted_at + CATCH_UP_PERIOD);
        }
    }
}
