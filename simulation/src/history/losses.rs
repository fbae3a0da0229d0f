//! Scenario `losses`: repeated failures, each within about a message's delay of the moment at which the previous one counts as
//! repaired.

use shaletrail_protocol::{Millis, NodeId};

use super::{History, Recovery};
use crate::coordinator::CoordinatorProcess;
use crate::fixtures;
use crate::network::Conditions;
use crate::Fleet;

/// Number of consecutive failures in a history.
const LOSSES: std::ops::RangeInclusive<u64> = 2..=5;
/// Time within which a failure must be repaired, in milliseconds.
const REPAIRED_WITHIN: Millis = 15_000;
/// How long a machine is down, in milliseconds.
const DOWNTIME: std::ops::RangeInclusive<Millis> = 1..=1_500;
/// Time from the repair to the next failure, in milliseconds.
const NEXT_LOSS_DELAY: std::ops::RangeInclusive<Millis> = 0..=4;
/// Time from a coordinator's SIGTERM to its exit, in milliseconds.
const SHUTDOWN_TIME: Millis = 400;

/// How a coordinator's machine fails.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It loses power and restarts with its disk intact.
    Power,
    /// It loses power and restarts with an empty disk.
    Disk,
    /// Its process is killed and restarted.
    Process,
    /// It shuts down gracefully (SIGTERM) and does not return; a replacement joins.
    Leaving,
    /// It fails permanently and without notice; a replacement joins.
    Machine,
    /// A replacement joins before this machine is removed. The seeds of the replacement may name this machine only.
    Planned,
    /// It is partitioned from all other coordinators.
    Partition,
}

/// The failures to choose from; one that is listed twice is twice as likely.
const LOSS_WEIGHTS: [Loss; 9] = [
    Loss::Power,
    Loss::Disk,
    Loss::Disk,
    Loss::Process,
    Loss::Leaving,
    Loss::Machine,
    Loss::Machine,
    Loss::Planned,
    Loss::Partition,
];

impl History {
    pub(super) fn play_losses(&mut self) {
        let losses = self.draw(LOSSES);
        let mut replaced = false;
        for _ in 0..losses {
            self.await_repair(replaced);
            // The next failure strikes while this change is in flight, or right after its acknowledgement.
            let change = self.submit_change(None);
            let wait = self.world().random_bool(0.5);
            if let Some(change) = change.filter(|_| wait) {
                self.await_outcome(change, 500);
                self.await_repair(replaced);
            }
            let wait = self.draw(NEXT_LOSS_DELAY);
            self.fleet.run(wait);
            if self.world().random_bool(0.2) {
                self.lose_power_and_disks();
                replaced = false;
                continue;
            }
            replaced = self.fail_some();
        }
        self.await_repair(false);
    }

    /// Sends changes until all shards are fully replicated or, if all failed machines get replacements, until the
    /// replacements are voters.
    fn await_repair(&mut self, replaced: bool) {
        let mut is_repaired: fn(&Fleet) -> bool = if replaced { has_all_voters } else { is_fully_replicated };
        let end = self.fleet.world.now + REPAIRED_WITHIN;
        loop {
            let step = self.draw(20..=250);
            if self.fleet.run_until(step, is_repaired) {
                return;
            }
            self.run_due_recoveries();
            if self.fleet.operator.pending_count() < 3 {
                let coordinators = self.fleet.coordinators();
                let node = self.choose(&coordinators);
                self.submit_change(node);
            }
            if replaced && self.lose_joining_disk() {
                is_repaired = is_fully_replicated;
            }
            assert!(
                self.fleet.world.now < end,
                "failure not repaired within {REPAIRED_WITHIN} ms\n{}",
                self.fleet.describe()
            );
        }
    }

    /// Sometimes erases the disk of a joining coordinator while the voters are being changed. This must be harmless as long
    /// as no shard has removed another voter in its favour. Returns whether the disk was erased.
    fn lose_joining_disk(&mut self) -> bool {
        let newest = self.fleet.coordinators().last().copied();
        let (Some(leader), Some(newest)) = (self.fleet.leader(), newest) else { return false };
        let changing = self.fleet.coordinator(leader).is_some_and(is_changing_voters);
        let is_joining = newest.0 >= fixtures::coordinator(self.fleet.options.coordinators).0;
        let may_lose_disk =
            changing && is_joining && newest != leader && !self.is_voter_outside_joint(newest);
        let loses_disk = may_lose_disk && self.world().random_bool(0.3);
        if loses_disk {
            self.record(format!("{newest} loses its disk while it joins"));
            self.fleet.lose_power(newest);
            self.fleet.lose_disk(newest);
            self.fleet.start(newest);
        }
        loses_disk
    }

    /// Whether a coordinator is a voter of a shard that is not in a joint configuration. Its failure then counts towards the
    /// number of tolerated failures.
    fn is_voter_outside_joint(&self, node: NodeId) -> bool {
        let coordinators = self.fleet.coordinators();
        let running = coordinators.into_iter().filter_map(|other| self.fleet.coordinator(other));
        running
            .flat_map(|coordinator| {
                let shards = coordinator.core().shards();
                shards.numbers().filter_map(move |number| shards.get(number))
            })
            .map(|shard| shard.replica.voters())
            .any(|voters| voters.contains(node) && !voters.is_joint())
    }

    /// All coordinators lose power right after the acknowledgement of a change that some of them have not received. The
    /// tolerated number of the others also lose their disks.
    fn lose_power_and_disks(&mut self) {
        let Some(leader) = self.fleet.leader() else { return };
        let max_failures = self.fleet.options.hosts_lost as usize;
        let mut others = self.coordinators_except(&[leader]);
        let delayed = others.split_off(others.len().saturating_sub(max_failures));
        for node in &delayed {
            self.world()
                .network
                .set_link_conditions((leader, *node), Conditions { delay: 300..=400, loss: 0.0 });
        }
        if self.world().random_bool(0.5) {
            // The leader's own sync takes longer than that of the first follower that responds.
            self.fleet.set_disk_latency(leader, 60..=150);
        }
        let change = self.fleet.replace();
        self.sent_changes.push(change);
        self.fleet.run_until(300, |fleet| fleet.world.observer.is_acknowledged(change));
        let without_disk: Vec<NodeId> = if self.world().random_bool(0.3) { vec![leader] } else { others };
        let without_disk = without_disk.into_iter().take(max_failures).collect::<Vec<_>>();
        self.record(format!(
            "all lose power, {delayed:?} have not received {change}, {without_disk:?} lose their disks"
        ));
        self.fleet.stop_all(true);
        for node in without_disk {
            self.fleet.lose_disk(node);
        }
        self.world().network.clear_link_conditions();
        let default_latency = self.fleet.options.disk_latency.clone();
        self.fleet.set_disk_latency(leader, default_latency);
        let down = self.draw(10..=800);
        self.fleet.run(down);
        self.fleet.start_stopped();
        self.fleet.run(300);
    }

    /// Fails between one and the tolerated number of coordinators; returns whether each of them gets a replacement.
    fn fail_some(&mut self) -> bool {
        let max_failures = u64::from(self.fleet.options.hosts_lost);
        let count = self.draw(1..=max_failures);
        let mut chosen = Vec::new();
        for _ in 0..count {
            let left = self.coordinators_except(&chosen);
            chosen.extend(self.leader_or_any(&left, 0.4));
        }
        let mut all_replaced = true;
        for node in chosen {
            let loss = self.choose(&LOSS_WEIGHTS).unwrap_or(Loss::Power);
            self.record(format!("{node} fails: {loss:?}"));
            self.inject_loss(node, loss);
            all_replaced &= matches!(loss, Loss::Leaving | Loss::Machine | Loss::Planned);
            let pause = self.draw(0..=3);
            self.fleet.run(pause);
        }
        all_replaced
    }

    fn inject_loss(&mut self, node: NodeId, loss: Loss) {
        let restart_at = self.fleet.world.now + self.draw(DOWNTIME);
        match loss {
            Loss::Power => {
                self.fleet.lose_power(node);
                self.recoveries.push((restart_at, Recovery::Start(node)));
            }
            Loss::Disk => {
                self.fleet.lose_power(node);
                self.fleet.lose_disk(node);
                self.recoveries.push((restart_at, Recovery::Start(node)));
            }
            Loss::Process => {
                self.fleet.kill(node);
                self.recoveries.push((restart_at, Recovery::Start(node)));
            }
            Loss::Leaving => {
                self.fleet.terminate(node);
                let wait = self.draw(0..=SHUTDOWN_TIME);
                self.fleet.run(wait);
                self.fleet.remove_coordinator(node);
                self.recoveries.push((restart_at, Recovery::JoinReplacement));
            }
            Loss::Machine => {
                self.fleet.remove_coordinator(node);
                self.recoveries.push((restart_at, Recovery::JoinReplacement));
            }
            Loss::Planned => {
                self.join_with_seed(node);
                let wait = self.draw(0..=1_500);
                self.fleet.run(wait);
                self.fleet.terminate(node);
                let wait = self.draw(0..=SHUTDOWN_TIME);
                self.fleet.run(wait);
                self.fleet.remove_coordinator(node);
            }
            Loss::Partition => {
                let partitions: Vec<(NodeId, NodeId)> = self
                    .coordinators_except(&[node])
                    .into_iter()
                    .flat_map(|other| [(node, other), (other, node)])
                    .collect();
                for (from, to) in &partitions {
                    self.fleet.partition_one_way(*from, *to, true);
                }
                self.recoveries.push((restart_at, Recovery::HealPartitions(partitions)));
            }
        }
    }

    /// A coordinator joins. Its seeds name `seed` only, or the usual coordinators.
    fn join_with_seed(&mut self, seed: NodeId) {
        if self.world().random_bool(0.5) {
            return self.join_replacement();
        }
        let node = fixtures::coordinator(self.coordinators_created);
        self.coordinators_created += 1;
        self.record(format!("{node} joins with {seed} as its only seed"));
        self.fleet.join_coordinator_with_seeds(node, vec![seed]);
    }
}

fn is_changing_voters(coordinator: &CoordinatorProcess) -> bool {
    let shards = coordinator.core().shards();
    shards.numbers().filter_map(|number| shards.get(number)).any(|shard| shard.replica.is_changing_voters())
}

/// Whether each shard has the desired number of voters, all of them running, and no change of voters in progress. Their logs
/// may lag.
pub fn has_all_voters(fleet: &Fleet) -> bool {
    all_shards(fleet, |fleet, number| voters_of(fleet, number).is_some())
}

/// Whether all shards are fully replicated: each has the desired number of voters and no change of voters in progress, and its
/// leader counts each voter towards quorums and knows that it has all committed entries.
pub fn is_fully_replicated(fleet: &Fleet) -> bool {
    all_shards(fleet, is_shard_fully_replicated)
}

fn all_shards(fleet: &Fleet, holds: impl Fn(&Fleet, u32) -> bool) -> bool {
    let any = fleet.coordinators().into_iter().find_map(|node| fleet.coordinator(node));
    any.is_some_and(|any| any.core().shards().numbers().all(|number| holds(fleet, number)))
}

/// The leader and voters of a shard. `None` unless it has the desired number of voters, all of them running, and no change of
/// voters in progress.
fn voters_of(fleet: &Fleet, number: u32) -> Option<(NodeId, Vec<NodeId>)> {
    let leader = fleet.leader_of(number)?;
    let replica = &fleet.coordinator(leader)?.core().shards().get(number)?.replica;
    let voters: Vec<NodeId> = replica.voters().members().collect();
    let serving = fleet.coordinators();
    let desired_voters = 2 * fleet.options.hosts_lost as usize + 1;
    let serves = |node: &NodeId| serving.contains(node) && fleet.is_running(*node) && !fleet.is_frozen(*node);
    let complete =
        !replica.is_changing_voters() && voters.len() == desired_voters && voters.iter().all(serves);
    complete.then_some((leader, voters))
}

fn is_shard_fully_replicated(fleet: &Fleet, number: u32) -> bool {
    let replica_of = |node| Some(&fleet.coordinator(node)?.core().shards().get(number)?.replica);
    let Some((leader, voters)) = voters_of(fleet, number) else { return false };
    let Some(leading) = replica_of(leader) else { return false };
    let holds_all = |node: &NodeId| {
        let peer = leading.peer_status(*node);
        *node == leader
            || peer.is_some_and(|peer| peer.counts_towards_quorum && peer.matched >= leading.commit_index())
    };
    let follows = |node: &NodeId| {
        replica_of(*node).is_some_and(|other| other.term() == leading.term() && !other.is_recovering())
    };
    voters.iter().all(|node| follows(node) && holds_all(node))
}
