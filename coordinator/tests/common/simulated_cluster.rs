//! Several coordinators under a simulated clock, with message delays, partitions, slow disks, and machines that lose
//! power or their disks, are removed, or join. The calls of its operator and servers are in [`calls`].

mod calls;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shaletrail_consensus::{Entry, Options, Payload, Record, Replica};
use shaletrail_coordinator::core::Coordinator;
use shaletrail_coordinator::interface::{Action, CallId, CoordinatorOptions, Event, StateChange};
use shaletrail_protocol::internal::{CoordinatorMessage, OperatorResponse};
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_storage::StoredRecord;

use super::journal_disk::JournalDisk;
use super::{deployment_options, stored, Deployment, START, TICK};

/// Step width of the simulated clock.
const STEP: Millis = 5;
/// Maximum time between the first and the last start of a machine during the bootstrap.
const BOOTSTRAP_SPREAD: Millis = 300;
/// Longest time that a sync takes on a normal disk, in milliseconds.
const SYNC_MS: Millis = 3;

/// Records that are being synced to a disk.
struct PendingSync {
    ticket: u64,
    records: Vec<(u32, Vec<u8>)>,
    due: Millis,
}

/// A write to the real journal of a machine that has one.
enum JournalWrite {
    Append { ticket: u64, records: Vec<(u32, Vec<u8>)> },
    Checkpoint { live: Vec<(u32, Vec<u8>)> },
}

/// A machine with its disk and, if it is running, its process.
pub struct Machine {
    core: Option<Coordinator>,
    seeds: Vec<NodeId>,
    synced: Vec<StoredRecord>,
    /// Whether the journal was corrupt and has been erased.
    was_erased: bool,
    pending_syncs: VecDeque<PendingSync>,
    /// The real journal, which then replaces `synced` and `pending_syncs`; `None` for a disk without limits.
    journal: Option<JournalDisk>,
    /// Writes to the real journal, oldest first.
    journal_writes: VecDeque<JournalWrite>,
    /// Whether no write to the real journal is executed.
    is_stalled: bool,
    clock_offset: Millis,
    /// [`Millis::MAX`] after the process was requested to shut down.
    next_tick: Millis,
    /// Longest time that a sync takes, in milliseconds.
    sync_ms: Millis,
}

/// A message in flight.
struct Envelope {
    from: NodeId,
    to: NodeId,
    message: CoordinatorMessage,
}

/// Returns whether a message is delivered.
pub type DeliveryFilter = Box<dyn FnMut(NodeId, NodeId, &CoordinatorMessage) -> bool>;

/// Coordinators and the links between them, under a simulated clock.
pub struct SimulatedCluster {
    pub now: Millis,
    machines: BTreeMap<NodeId, Machine>,
    /// Pairs of sender and receiver whose messages are dropped.
    partitions: BTreeSet<(NodeId, NodeId)>,
    /// Messages for which it returns `false` are dropped.
    pub delivery_filter: Option<DeliveryFilter>,
    /// The newest configuration version that was acknowledged to the operator.
    acknowledged_version: u64,
    pub deployment: Deployment,
    /// Whether the machines have real journals.
    has_journals: bool,
    /// Sorted by the time of delivery, then by the order of sending.
    in_flight: BTreeMap<(Millis, u64), Envelope>,
    responses: BTreeMap<CallId, OperatorResponse>,
    /// Whether each answered call of a server was acknowledged.
    server_responses: BTreeMap<CallId, bool>,
    /// The logged changes of state, with the node that logged each.
    state_changes: Vec<(NodeId, StateChange)>,
    random: u64,
    last_sequence: u64,
    last_call: u64,
}

impl SimulatedCluster {
    /// Bootstraps machines 1 to `2 * hosts_lost + 1`, which start in a random order with the first three as seeds,
    /// until all are voters and a first configuration is acknowledged.
    pub fn bootstrapped(hosts_lost: usize, seed: u64) -> SimulatedCluster {
        SimulatedCluster::empty(Deployment::single_zone(hosts_lost), seed).bootstrap_all_as_voters()
    }

    /// Bootstraps the machines of a deployment, which start in a random order, until a first configuration is
    /// acknowledged.
    pub fn bootstrapped_in(deployment: Deployment, seed: u64) -> SimulatedCluster {
        let mut cluster = SimulatedCluster::empty(deployment, seed);
        cluster.bootstrap();
        cluster
    }

    /// Like [`SimulatedCluster::bootstrapped`], with a real journal on the disk of each machine.
    pub fn bootstrapped_with_journals(hosts_lost: usize, seed: u64) -> SimulatedCluster {
        let cluster = SimulatedCluster::empty(Deployment::single_zone(hosts_lost), seed);
        SimulatedCluster { has_journals: true, ..cluster }.bootstrap_all_as_voters()
    }

    fn bootstrap_all_as_voters(self) -> SimulatedCluster {
        let mut cluster = self;
        cluster.bootstrap();
        cluster.await_voters(&cluster.deployment.machines.clone());
        cluster
    }

    fn bootstrap(&mut self) {
        let mut starting = self.deployment.machines.clone();
        let longest_pause = BOOTSTRAP_SPREAD / starting.len() as u64;
        while !starting.is_empty() {
            let next = self.random_below(starting.len() as u64) as usize;
            let started = starting.swap_remove(next);
            let mut seeds = self.deployment.seeds.clone();
            let turns = next % seeds.len();
            seeds.rotate_left(turns);
            self.add(started, &seeds);
            self.start_as(started, true);
            let pause = self.random_below(longest_pause);
            self.run(pause);
        }
        self.commit_change();
    }

    fn empty(deployment: Deployment, seed: u64) -> SimulatedCluster {
        SimulatedCluster {
            now: START,
            machines: BTreeMap::new(),
            partitions: BTreeSet::new(),
            delivery_filter: None,
            acknowledged_version: 0,
            deployment,
            has_journals: false,
            in_flight: BTreeMap::new(),
            responses: BTreeMap::new(),
            server_responses: BTreeMap::new(),
            state_changes: Vec::new(),
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            last_sequence: 0,
            last_call: 0,
        }
    }

    /// Returns a pseudo-random number below `bound`.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % bound
    }

    /// Returns the nodes except some of them, rotated by a random number of places.
    pub fn rotate_without(&mut self, nodes: &[NodeId], without: &[NodeId]) -> Vec<NodeId> {
        let mut rest: Vec<NodeId> = nodes.iter().copied().filter(|node| !without.contains(node)).collect();
        let turns = self.random_below(rest.len() as u64) as usize;
        rest.rotate_left(turns);
        rest
    }

    /// Chooses `count` of the nodes at random. Returns these and the others.
    pub fn choose(&mut self, nodes: &[NodeId], count: usize) -> (Vec<NodeId>, Vec<NodeId>) {
        let chosen = self.rotate_without(nodes, &[])[..count].to_vec();
        let others = self.rotate_without(nodes, &chosen);
        (chosen, others)
    }

    /// Adds a machine with an empty disk that is not started yet.
    fn add(&mut self, node: NodeId, seeds: &[NodeId]) {
        let clock_offset = self.random_below(1_000_000);
        let journal = self.has_journals.then(|| JournalDisk::new(clock_offset));
        let machine = Machine {
            core: None,
            seeds: seeds.to_vec(),
            synced: Vec::new(),
            was_erased: false,
            pending_syncs: VecDeque::new(),
            journal,
            journal_writes: VecDeque::new(),
            is_stalled: false,
            clock_offset,
            next_tick: 0,
            sync_ms: SYNC_MS,
        };
        self.machines.insert(node, machine);
    }

    /// Adds and starts a machine with an empty disk.
    pub fn join(&mut self, node: NodeId, seeds: &[NodeId]) {
        self.join_with_disk(node, seeds, SYNC_MS);
    }

    /// Adds and starts a machine with an empty disk whose syncs take up to `sync_ms` milliseconds.
    pub fn join_with_disk(&mut self, node: NodeId, seeds: &[NodeId], sync_ms: Millis) {
        self.add(node, seeds);
        self.slow_disk(node, sync_ms);
        self.start(node);
    }

    /// Makes the syncs of a machine take up to `sync_ms` milliseconds.
    pub fn slow_disk(&mut self, node: NodeId, sync_ms: Millis) {
        self.machine(node).sync_ms = sync_ms;
    }

    /// Starts a process with the records on its disk.
    pub fn start(&mut self, node: NodeId) {
        self.start_as(node, false);
    }

    /// Starts a process with the records on its disk, while its settings still say `bootstrap`.
    pub fn start_with_bootstrap(&mut self, node: NodeId) {
        self.start_as(node, true);
    }

    fn start_as(&mut self, node: NodeId, bootstrap: bool) {
        let incarnation = Incarnation(self.random_below(u64::MAX));
        let seeds = &self.machines[&node].seeds;
        let options = CoordinatorOptions {
            journal_was_erased: self.machines[&node].was_erased,
            ..deployment_options(&self.deployment, node, seeds, bootstrap, incarnation)
        };
        let now = self.now;
        let first_tick = now + self.random_below(TICK);
        let machine = self.machine(node);
        machine.next_tick = first_tick;
        let stored = machine.journal.as_mut().map_or_else(|| machine.synced.clone(), JournalDisk::reopen);
        machine.core = Some(Coordinator::new(options, stored, now + machine.clock_offset));
        let wants_checkpoint = machine.journal.as_ref().is_some_and(JournalDisk::wants_checkpoint);
        if wants_checkpoint {
            self.handle(node, Event::Persisted { ticket: 0, wants_checkpoint });
        }
        self.handle(node, Event::Tick);
    }

    /// Appends entries of this size to a shard's log on a machine's disk until its journal is full. The process must not
    /// be running.
    pub fn fill_journal(&mut self, node: NodeId, shard: u32, entry_bytes: usize) {
        let journal = self.machine(node).journal.as_mut().expect("the machine has a journal");
        let stored = journal.reopen().into_iter().filter(|record| record.stream == shard);
        let records = stored.map(|record| Record::decode(&record.bytes).expect("the record is valid"));
        let replica = Replica::new(Options::new(node, 1), records.collect(), 0);
        let last = replica.last_position();
        for index in last.index + 1.. {
            let payload = Payload::Command(vec![0; entry_bytes].into());
            let record = Record::Entries(vec![Entry { index, term: last.term, payload }]);
            let event = journal.append(index, vec![(shard, record.encode())]);
            if matches!(event, Event::DiskDegraded { .. }) {
                return;
            }
        }
    }

    /// Stops executing the writes to a machine's real journal, or continues with them.
    pub fn set_stalled(&mut self, node: NodeId, is_stalled: bool) {
        self.machine(node).is_stalled = is_stalled;
    }

    /// Makes the checkpoints of a machine's real journal fail, or succeed again.
    pub fn set_checkpoints_fail(&mut self, node: NodeId, fail: bool) {
        self.machine(node).journal.as_mut().expect("the machine has a journal").fails_checkpoints = fail;
    }

    fn machine(&mut self, node: NodeId) -> &mut Machine {
        self.machines.get_mut(&node).expect("the machine exists")
    }

    /// Returns the nodes whose process is running.
    pub fn running(&self) -> Vec<NodeId> {
        let running = self.machines.iter().filter(|(_, machine)| machine.core.is_some());
        running.map(|(node, _)| *node).collect()
    }

    /// Returns the state machine of a running process.
    pub fn core(&self, node: NodeId) -> &Coordinator {
        self.machines[&node].core.as_ref().expect("the process is running")
    }

    /// Returns the replica of a shard at a running process.
    pub fn replica(&self, node: NodeId, shard: u32) -> &Replica {
        &self.core(node).shards().get(shard).expect("the shard exists").replica
    }

    pub fn shards(&self) -> std::ops::Range<u32> {
        let any = self.running()[0];
        self.core(any).shards().numbers()
    }

    /// Cuts the power of a machine: writes that are not synced are lost, except for a random number of the oldest ones.
    pub fn lose_power(&mut self, node: NodeId) {
        let kept = self.random_below(4) as usize;
        let machine = self.machine(node);
        machine.core = None;
        machine.journal_writes.clear();
        let unsynced = machine.pending_syncs.drain(..).take(kept);
        let kept: Vec<StoredRecord> = unsynced.flat_map(|pending| stored(pending.records)).collect();
        machine.synced.extend(kept);
    }

    /// Cuts the power of a machine and erases its disk.
    pub fn wipe(&mut self, node: NodeId) {
        self.lose_power(node);
        self.machine(node).synced.clear();
    }

    /// Cuts the power of a machine and erases its journal in the way that the driver erases a corrupt one.
    pub fn erase_corrupt_journal(&mut self, node: NodeId) {
        self.wipe(node);
        self.machine(node).was_erased = true;
    }

    /// Corrupts all records of a shard on the disk except its hard state.
    pub fn corrupt_log(&mut self, node: NodeId, shard: u32) {
        let is_hard =
            |record: &StoredRecord| matches!(Record::decode(&record.bytes), Ok(Record::HardState(_)));
        let records = self.machine(node).synced.iter_mut().filter(|record| record.stream == shard);
        records.filter(|record| !is_hard(record)).for_each(|record| record.bytes = vec![255; 3]);
    }

    /// Requests a process to shut down. From then on it handles messages and syncs, but no ticks.
    pub fn request_shutdown(&mut self, node: NodeId) {
        self.handle(node, Event::ShutdownRequested);
        self.machine(node).next_tick = Millis::MAX;
    }

    /// Shuts a machine down: its power is cut once the process may exit. The disk is kept.
    pub fn shut_down(&mut self, node: NodeId) {
        self.request_shutdown(node);
        self.await_exit(node);
        self.lose_power(node);
    }

    /// Advances the clock until a process that was requested to shut down may exit. Returns the time that this took.
    fn await_exit(&mut self, node: NodeId) -> Millis {
        let requested_at = self.now;
        while !self.core(node).may_exit(self.now - requested_at) {
            self.step();
        }
        self.now - requested_at
    }

    /// Shuts a machine down and erases its disk. Returns the time from the request to the exit.
    pub fn decommission(&mut self, node: NodeId) -> Millis {
        self.request_shutdown(node);
        let elapsed = self.await_exit(node);
        self.wipe(node);
        elapsed
    }

    /// Drops messages between a machine and all others from now on.
    pub fn isolate(&mut self, node: NodeId) {
        for other in self.machines.keys().copied().filter(|other| *other != node) {
            self.partitions.insert((node, other));
            self.partitions.insert((other, node));
        }
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Handles an event at a machine, if its process is running.
    pub fn handle(&mut self, node: NodeId, event: Event) {
        let now = self.now;
        let machine = self.machine(node);
        let clock = now + machine.clock_offset;
        let Some(core) = machine.core.as_mut() else { return };
        let mut actions = Vec::new();
        core.handle(clock, event, &mut actions);
        for action in actions {
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: NodeId, action: Action) {
        match action {
            Action::Send { to, message } => self.send(node, to, message),
            Action::Persist { ticket, records } if self.has_journals => {
                self.machine(node).journal_writes.push_back(JournalWrite::Append { ticket, records });
            }
            Action::Checkpoint { live } if self.has_journals => self.queue_checkpoint(node, live),
            Action::Persist { ticket, records } => {
                let sync_ms = self.machines[&node].sync_ms;
                let due = self.now + 1 + self.random_below(sync_ms);
                self.machine(node).pending_syncs.push_back(PendingSync { ticket, records, due });
            }
            Action::Checkpoint { live } => self.machine(node).synced = stored(live),
            Action::RespondToOperator { call, response } => _ = self.responses.insert(call, response),
            Action::LogStateChange(change) => self.state_changes.push((node, change)),
            Action::RespondToServer { call, accepted } => _ = self.server_responses.insert(call, accepted),
            _ => {}
        }
    }

    /// Queues a checkpoint of a real journal, unless one is queued already.
    fn queue_checkpoint(&mut self, node: NodeId, live: Vec<(u32, Vec<u8>)>) {
        let writes = &mut self.machine(node).journal_writes;
        if !writes.iter().any(|write| matches!(write, JournalWrite::Checkpoint { .. })) {
            writes.push_back(JournalWrite::Checkpoint { live });
        }
    }

    /// Executes the queued writes to a machine's real journal, and retries a sync that has failed.
    fn write_journal(&mut self, node: NodeId) {
        if self.machines[&node].is_stalled {
            return;
        }
        let queued = self.machines[&node].journal_writes.len();
        for _ in 0..queued {
            let machine = self.machine(node);
            let Some(journal) = machine.journal.as_mut() else { return };
            let event = match machine.journal_writes.pop_front() {
                Some(JournalWrite::Append { ticket, records }) => Some(journal.append(ticket, records)),
                Some(JournalWrite::Checkpoint { live }) => journal.checkpoint(&live),
                None => None,
            };
            event.into_iter().for_each(|event| self.handle(node, event));
        }
        let retried = self.machine(node).journal.as_mut().and_then(JournalDisk::retry);
        retried.into_iter().for_each(|event| self.handle(node, event));
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: CoordinatorMessage) {
        let passes =
            self.delivery_filter.as_mut().is_none_or(|is_delivered| is_delivered(from, to, &message));
        if passes && !self.partitions.contains(&(from, to)) && self.machines.contains_key(&to) {
            let at = self.now + 1 + self.random_below(3);
            self.last_sequence += 1;
            self.in_flight.insert((at, self.last_sequence), Envelope { from, to, message });
        }
    }

    /// Advances the clock.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the clock until a predicate holds. Returns `false` if it does not hold within `limit`.
    pub fn run_until(&mut self, limit: Millis, holds: impl Fn(&SimulatedCluster) -> bool) -> bool {
        let end = self.now + limit;
        while !holds(self) {
            if self.now >= end {
                return false;
            }
            self.step();
        }
        true
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(first) = self.in_flight.first_entry().filter(|first| first.key().0 <= self.now) {
            let Envelope { from, to, message } = first.remove();
            self.handle(to, Event::Message { from, message });
        }
        for node in self.running() {
            self.write_journal(node);
            while let Some(ticket) = self.sync_one(node) {
                self.handle(node, Event::Persisted { ticket, wants_checkpoint: false });
            }
            if self.machines[&node].next_tick <= self.now {
                self.machine(node).next_tick += TICK;
                self.handle(node, Event::Tick);
            }
        }
    }

    fn sync_one(&mut self, node: NodeId) -> Option<u64> {
        let now = self.now;
        let machine = self.machine(node);
        let pending = machine.pending_syncs.pop_front_if(|pending| pending.due <= now)?;
        machine.synced.extend(stored(pending.records));
        Some(pending.ticket)
    }

    /// Returns the leader of a shard in the highest term, if there is one.
    pub fn leader_of(&self, shard: u32) -> Option<NodeId> {
        let leaders = self.running().into_iter().filter(|node| self.replica(*node, shard).is_leader());
        leaders.max_by_key(|node| self.replica(*node, shard).term())
    }

    /// Returns whether a shard has exactly these voters, with no change in progress, and one of them is its leader.
    pub fn has_voters_in(&self, shard: u32, voters: &[NodeId]) -> bool {
        let mut voters = voters.to_vec();
        voters.sort_unstable();
        let Some(leader) = self.leader_of(shard) else { return false };
        let replica = self.replica(leader, shard);
        !replica.is_changing_voters() && replica.voters().incoming() == voters && voters.contains(&leader)
    }

    /// Returns whether [`SimulatedCluster::has_voters_in`] holds for all shards.
    pub fn has_voters(&self, voters: &[NodeId]) -> bool {
        self.shards().all(|shard| self.has_voters_in(shard, voters))
    }

    /// Waits until all shards have these voters.
    pub fn await_voters(&mut self, voters: &[NodeId]) {
        let has_voters = self.run_until(10_000, |cluster| cluster.has_voters(voters));
        assert!(has_voters, "{voters:?} are not the voters: {}", self.describe());
    }

    /// Returns whether a restart of the process now would make the machine a recovering voter of any shard.
    pub fn is_recovering_on_disk(&self, node: NodeId) -> bool {
        let is_recovering = |shard: u32| {
            let records = self.machines[&node].synced.iter().filter(|record| record.stream == shard).rev();
            let hard = records.filter_map(|record| match Record::decode(&record.bytes) {
                Ok(Record::HardState(hard)) => Some(hard.recovering),
                _ => None,
            });
            hard.take(1).all(|recovering| recovering)
        };
        self.shards().any(is_recovering)
    }

    /// Takes the changes of state that were logged since the last call.
    pub fn take_state_changes(&mut self) -> Vec<(NodeId, StateChange)> {
        std::mem::take(&mut self.state_changes)
    }

    /// Asserts that no tolerated loss takes more than a minority of the voters of any shard.
    pub fn assert_voters_tolerate_losses(&self) {
        for shard in self.shards() {
            let leader = self.leader_of(shard);
            let leader = leader.unwrap_or_else(|| panic!("shard {shard} has no leader: {}", self.describe()));
            let voters = self.replica(leader, shard).voters().incoming();
            let lost = self.deployment.largest_loss(voters);
            assert!(lost * 2 < voters.len(), "shard {shard}: {lost} of {voters:?} may be lost");
        }
    }

    /// Describes the state in one line for each shard of each machine, for messages of failed assertions.
    pub fn describe(&self) -> String {
        let mut lines = vec![format!("at {}", self.now)];
        for node in self.machines.keys() {
            let Some(core) = &self.machines[node].core else {
                lines.push(format!("{node}: down"));
                continue;
            };
            for shard in core.shards().numbers() {
                let replica = self.replica(*node, shard);
                lines.push(format!(
                    "{node}, shard {shard}: {} in term {}, last {:?}, commit {}, voters {:?}, recovering {}",
                    replica.role(),
                    replica.term(),
                    replica.last_position(),
                    replica.commit_index(),
                    replica.voters(),
                    replica.is_recovering(),
                ));
            }
        }
        lines.join("\n")
    }
}

/// A bootstrapped cluster, with a random choice of as many voters as it tolerates losing at once.
pub struct BootstrappedCluster {
    pub cluster: SimulatedCluster,
    /// All voters.
    pub members: Vec<NodeId>,
    /// The chosen voters, as many as may be lost at once.
    pub chosen: Vec<NodeId>,
    /// The other voters, in a random rotation.
    pub others: Vec<NodeId>,
}

impl BootstrappedCluster {
    /// Bootstraps a cluster that tolerates `hosts_lost` losses at once.
    pub fn new(hosts_lost: usize, seed: u64) -> Self {
        let mut cluster = SimulatedCluster::bootstrapped(hosts_lost, seed);
        let members = cluster.running();
        let (chosen, others) = cluster.choose(&members, hosts_lost);
        BootstrappedCluster { cluster, members, chosen, others }
    }
}
