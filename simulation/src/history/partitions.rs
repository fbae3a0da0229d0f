//! Scenario `cuts`: partitions of one or two coordinators from voters, edges or the operator, in one direction or both, for
//! seconds or for less than a message's delay, while the operator, servers and edges reach either side.

use shaletrail_protocol::{Millis, NodeId};

use super::{History, Recovery, CATCH_UP_PERIOD};
use crate::fixtures;
use crate::fleet::Fleet;
use crate::network::Direction;

/// Duration of a long partition, in milliseconds.
const LONG_PARTITION: std::ops::RangeInclusive<Millis> = 3_000..=14_000;
/// Duration of a partition that heals within one or two message delays, in milliseconds.
const SHORT_PARTITION: std::ops::RangeInclusive<Millis> = 1..=40;
/// Duration of a partition that ends at about the same time as a leader's lease, in milliseconds.
const LEASE_LENGTH_PARTITION: std::ops::RangeInclusive<Millis> = 350..=1_300;
/// Interval between two disturbances during a partition, in milliseconds.
const DISTURBANCE_INTERVAL: std::ops::RangeInclusive<Millis> = 30..=450;
/// Time after which a superseded configuration must no longer be served, in milliseconds.
const SUPERSEDED_AFTER: Millis = 5_000;
/// Upper bound of consecutive short partitions.
const MAX_FLAPS: u64 = 6;

impl History {
    pub(super) fn play_partitions(&mut self) {
        let coordinators = self.fleet.coordinators();
        let Some(first) = self.leader_or_any(&coordinators, 0.6) else { return };
        let mut isolated = vec![first];
        if self.fleet.options.hosts_lost > 1 && self.world().random_bool(0.5) {
            let others = self.coordinators_except(&isolated);
            isolated.extend(self.choose(&others));
        }
        if self.world().random_bool(0.35) {
            self.begin_leadership_transfer(first);
        }
        if self.world().random_bool(0.3) {
            self.flap_partitions(&isolated);
        }
        match self.draw(0..=7) {
            0 | 1 => return self.isolate_lease_holder(),
            2 | 3 => return self.read_across_election(),
            _ => {}
        }
        if self.world().random_bool(0.75) {
            self.partition_for_long(&isolated);
        } else {
            let duration = self.draw(LEASE_LENGTH_PARTITION);
            self.partition_during(&isolated, duration);
        }
        let after = self.draw(300..=CATCH_UP_PERIOD);
        self.advance(after);
    }

    /// Makes the leader begin to transfer its leadership just before it is isolated.
    fn begin_leadership_transfer(&mut self, node: NodeId) {
        match self.draw(0..=2) {
            0 => {
                self.record(format!("{node}'s disk stalls"));
                self.fleet.set_disk_stalled(node, true);
                self.schedule_recovery(Recovery::Disk(node));
                let wait = self.draw(380..=520);
                self.fleet.run(wait);
            }
            1 => {
                self.take_down(node, "shuts down gracefully", Fleet::terminate);
                let wait = self.draw(0..=6);
                self.fleet.run(wait);
            }
            _ => {
                self.record(format!("{node} frozen"));
                self.fleet.freeze(node);
                let wait = self.draw(1..=1_200);
                self.fleet.run(wait);
                self.record(format!("{node} thawed"));
                self.fleet.thaw(node);
            }
        }
    }

    /// Draws the directions of a partition between the isolated coordinators and other machines.
    fn draw_partitions(&mut self, isolated: &[NodeId]) -> Vec<Direction> {
        let direction = self.draw(0..=2);
        let from = self.draw(0..=5);
        let mut others = match from {
            // 0 and 1: the other coordinators; 2: these and edges; 3: edges only; 4: these, edges and the operator; 5: also
            // model servers.
            0 | 1 => self.coordinators_except(isolated),
            2 => [self.coordinators_except(isolated), self.fleet.edges()].concat(),
            3 => self.fleet.edges(),
            _ => {
                [self.coordinators_except(isolated), self.fleet.edges(), vec![fixtures::operator()]].concat()
            }
        };
        if from == 5 {
            others.extend(self.fleet.servers());
        }
        if self.world().random_bool(0.2) && others.len() > 1 {
            // One of them stays reachable.
            let reachable_index = self.draw(0..=others.len() as u64 - 1) as usize;
            others.remove(reachable_index);
        }
        let from_each_other = isolated.len() > 1 && self.world().random_bool(0.3);
        self.record(format!(
            "isolated: {isolated:?}, from {others:?}, direction {direction} (0 both, 1 incoming, 2 outgoing), from each other: {from_each_other}"
        ));
        let mut partitions = Vec::new();
        for node in isolated {
            let peers: Vec<NodeId> = if from_each_other { isolated.to_vec() } else { Vec::new() };
            for other in others.iter().chain(&peers).filter(|other| *other != node) {
                if direction != 1 {
                    partitions.push((*node, *other));
                }
                if direction != 2 {
                    partitions.push((*other, *node));
                }
            }
        }
        partitions
    }

    fn set_partitions(&mut self, partitions: &[Direction], partitioned: bool) {
        for (from, to) in partitions {
            self.fleet.partition_one_way(*from, *to, partitioned);
        }
    }

    fn flap_partitions(&mut self, isolated: &[NodeId]) {
        let times = self.draw(1..=MAX_FLAPS);
        for _ in 0..times {
            let partitions = self.draw_partitions(isolated);
            self.set_partitions(&partitions, true);
            let node = isolated[0];
            self.call_both_sides(node);
            let duration = self.draw(SHORT_PARTITION);
            self.fleet.run(duration);
            self.set_partitions(&partitions, false);
            let pause = self.draw(0..=250);
            self.fleet.run(pause);
        }
    }

    fn partition_for_long(&mut self, isolated: &[NodeId]) {
        let duration = self.draw(LONG_PARTITION);
        self.partition_during(isolated, duration);
    }

    fn partition_during(&mut self, isolated: &[NodeId], duration: Millis) {
        let partitions = self.draw_partitions(isolated);
        self.set_partitions(&partitions, true);
        let end = self.fleet.world.now + duration;
        if duration > SUPERSEDED_AFTER && self.world().random_bool(0.6) {
            // The configuration of the isolated coordinators is superseded long before an edge starts that reaches only one of
            // them. They must not serve it.
            let others = self.coordinators_except(isolated);
            let other = self.choose(&others);
            let change = self.submit_change(other);
            self.advance(1_500);
            if let Some(change) = change {
                self.await_outcome(change, 1_000);
            }
            self.advance(SUPERSEDED_AFTER - 1_500);
            self.restart_edge(isolated[0], true);
        }
        while self.fleet.world.now < end {
            let node = self.choose(isolated).unwrap_or(isolated[0]);
            self.disturb_partition(node);
            let pause = self.draw(DISTURBANCE_INTERVAL).min(end.saturating_sub(self.fleet.world.now));
            self.advance(pause);
        }
        self.record(format!("partition heals: {isolated:?}"));
        if self.world().random_bool(0.3) {
            // The links heal one by one.
            for (from, to) in &partitions {
                self.fleet.partition_one_way(*from, *to, false);
                let pause = self.draw(0..=60);
                self.fleet.run(pause);
            }
        } else {
            self.set_partitions(&partitions, false);
        }
        self.call_both_sides(isolated[0]);
        let pause = self.draw(0..=5);
        self.fleet.run(pause);
        self.call_both_sides(isolated[0]);
    }

    /// Partitions the holder of an order lease from one voter. Once another node leads, or after a time limit, the holder
    /// no longer receives anything from any voter. Orders are needed throughout.
    fn isolate_lease_holder(&mut self) {
        let shard = self.draw(1..=2) as u32;
        let Some(lease_holder) = self.fleet.leader_of(shard) else { return };
        let others = self.coordinators_except(&[lease_holder]);
        let Some(voter) = self.choose(&others) else { return };
        self.record(format!("{lease_holder}, the order lease holder, is partitioned from {voter}"));
        let mut partitions = vec![(lease_holder, voter), (voter, lease_holder)];
        self.set_partitions(&partitions, true);
        let duration = self.draw(800..=3_000);
        let end = self.fleet.world.now + duration;
        let replaced =
            move |fleet: &Fleet| fleet.leader_of(shard).is_some_and(|leader| leader != lease_holder);
        while self.fleet.world.now < end && !self.fleet.run_until(30, replaced) {
            self.request_adapters();
        }
        self.record(format!("{lease_holder} no longer receives messages of coordinators"));
        let rest: Vec<Direction> = others.iter().map(|other| (*other, lease_holder)).collect();
        self.set_partitions(&rest, true);
        partitions.extend(rest);
        let duration = self.draw(3_500..=6_000);
        let end = self.fleet.world.now + duration;
        while self.fleet.world.now < end {
            self.request_adapters();
            self.advance(30);
        }
        self.record(format!("the partition of {lease_holder} heals"));
        self.set_partitions(&partitions, false);
        let after = self.draw(300..=CATCH_UP_PERIOD);
        self.advance(after);
    }

    /// Isolates or freezes the leader until its successor has acknowledged a change. Reads are sent to the former leader
    /// throughout and must not return a superseded version.
    fn read_across_election(&mut self) {
        let Some(former) = self.fleet.leader() else { return };
        let others = self.coordinators_except(&[former]);
        let freezes = self.world().random_bool(0.4);
        self.record(format!("leader {former} is isolated or frozen; frozen: {freezes}"));
        let partitions: Vec<Direction> =
            others.iter().flat_map(|other| [(former, *other), (*other, former)]).collect();
        if freezes {
            self.fleet.freeze(former);
        } else {
            self.set_partitions(&partitions, true);
        }
        self.fleet.run_until(2_500, |fleet| fleet.leader().is_some_and(|leader| leader != former));
        let next = self.fleet.leader();
        let change = self.submit_change(next);
        let end = self.fleet.world.now + 900;
        while self.fleet.world.now < end {
            self.read_at(former);
            let pause = self.draw(5..=40);
            self.fleet.run(pause);
        }
        if let Some(change) = change {
            self.await_outcome(change, 1_000);
        }
        self.record(format!("{former} is thawed and reconnected"));
        self.fleet.thaw(former);
        self.set_partitions(&partitions, false);
        for _ in 0..3 {
            self.read_at(former);
            let pause = self.draw(0..=4);
            self.fleet.run(pause);
        }
        let after = self.draw(300..=CATCH_UP_PERIOD);
        self.advance(after);
    }

    /// Requests an adapter at each edge. The orders to load it complete quickly.
    fn request_adapters(&mut self) {
        for edge in self.fleet.edges() {
            let adapter = format!("a{}", self.draw(1..=9));
            self.fleet.request_model(edge, fixtures::IDEMPOTENT_PATH, 0, Some(&adapter));
        }
    }

    /// The operator calls an isolated coordinator and one of the others at the same time.
    fn call_both_sides(&mut self, node: NodeId) {
        let others = self.coordinators_except(&[node]);
        let Some(other) = self.choose(&others) else { return };
        if self.world().random_bool(0.5) {
            let (first, second) = (self.fleet.create_change(), self.fleet.create_change());
            self.sent_changes.extend([first, second]);
            self.send_change_to(first, Some(node));
            self.send_change_to(second, Some(other));
        }
        self.read_at(node);
        self.read_at(other);
    }

    /// Injects a random call or fault while a coordinator is isolated.
    fn disturb_partition(&mut self, node: NodeId) {
        match self.draw(0..=11) {
            0..=2 => self.call_both_sides(node),
            3 => {
                let others = self.coordinators_except(&[node]);
                let other = self.choose(&others);
                self.submit_change(other);
            }
            4 => self.read_at(node),
            5 => self.resend_random_change(),
            6 => {
                let only = self.world().random_bool(0.5);
                self.restart_edge(node, only);
            }
            7 => self.inject_edge_fault(),
            8 | 9 => self.disturb_servers(),
            10 if !self.fleet.is_frozen(node) => {
                self.record(format!("{node} frozen"));
                self.fleet.freeze(node);
                let until = self.fleet.world.now + self.draw(50..=2_500);
                self.recoveries.push((until, Recovery::Thaw(node)));
            }
            _ => {
                let edges = self.fleet.edges();
                if let Some(edge) = self.choose(&edges) {
                    let model = self.draw(0..=5) as usize;
                    self.fleet.request_model(edge, fixtures::NON_IDEMPOTENT_PATH, model, None);
                }
            }
        }
    }

    /// Restarts an edge; if `only` is true, the isolated coordinator is the only one that it reaches.
    fn restart_edge(&mut self, node: NodeId, only: bool) {
        let edges = self.fleet.edges();
        let Some(edge) = self.choose(&edges) else { return };
        self.record(format!("edge {edge} restarts, reaches {node} only: {only}"));
        if only {
            let others = self.coordinators_except(&[node]);
            let partitions: Vec<Direction> =
                others.into_iter().flat_map(|other| [(edge, other), (other, edge)]).collect();
            self.set_partitions(&partitions, true);
            self.schedule_recovery(Recovery::HealPartitions(partitions));
        }
        self.fleet.kill(edge);
        self.fleet.start(edge);
        for _ in 0..4 {
            let pause = self.draw(1..=40);
            self.fleet.run(pause);
            self.fleet.request_web(edge);
        }
    }
}
