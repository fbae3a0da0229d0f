//! Several coordinators' decisions in memory: virtual time, links that delay and are cut, disks that sync late, and
//! machines that are killed, lose power, lose their disks, are removed and join.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shaletrail_consensus::{Index, Record, Replica};
use shaletrail_coordinator::core::Coordinator;
use shaletrail_coordinator::interface::{Action, CallId, CoordinatorOptions, Event};
use shaletrail_protocol::internal::{CoordinatorMessage, OperatorCall, OperatorResponse};
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_storage::StoredRecord;

use crate::common::{configuration, node, TICK};

/// When the first machine is started.
pub const BEGINNING: Millis = 1_000_000;
/// Between two looks at what is due.
const STEP: Millis = 5;
/// How long a process goes on after it was told to end, as in the driver.
pub const FAREWELL: Millis = 400;
/// How long the operator waits at one node before it goes on to the next.
const OPERATOR_PATIENCE: Millis = 1_000;

/// Machines that are named as seeds at the first start.
const SEEDS: usize = 3;
/// Within which all machines start at first.
const FOUNDING: Millis = 300;

/// Records on their way to a disk.
struct Pending {
    ticket: u64,
    records: Vec<(u32, Vec<u8>)>,
    due: Millis,
}

/// A machine: its process, if it runs, and its disk.
pub struct Machine {
    core: Option<Coordinator>,
    seeds: Vec<NodeId>,
    synced: Vec<StoredRecord>,
    pending: VecDeque<Pending>,
    clock_offset: Millis,
    /// [`Millis::MAX`] once the process was told to end.
    next_tick: Millis,
    /// Slower disks sync within as many milliseconds.
    pub sync_ms: Millis,
}

/// A message on its way.
struct Flight {
    from: NodeId,
    to: NodeId,
    message: CoordinatorMessage,
}

/// Which messages pass.
pub type Filter = Box<dyn FnMut(NodeId, NodeId, &CoordinatorMessage) -> bool>;

/// Coordinators and what is between them.
pub struct Fleet {
    pub now: Millis,
    pub machines: BTreeMap<NodeId, Machine>,
    /// One-way cuts.
    pub cuts: BTreeSet<(NodeId, NodeId)>,
    /// Messages are dropped where it says false.
    pub filter: Option<Filter>,
    /// The newest version that was acknowledged to the operator.
    pub acknowledged: u64,
    hosts_lost: usize,
    flights: BTreeMap<(Millis, u64), Flight>,
    answers: BTreeMap<CallId, OperatorResponse>,
    random: u64,
    sequence: u64,
    next_call: u64,
}

impl Fleet {
    /// Machines 1 to `2 * hosts_lost + 1`, started together for the first time with the first three as seeds, in any
    /// order. All vote, and a first configuration is acknowledged.
    pub fn founded(hosts_lost: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::empty(hosts_lost, seed);
        let voters: Vec<NodeId> = (1..=2 * hosts_lost as u8 + 1).map(node).collect();
        let mut starting = voters.clone();
        while !starting.is_empty() {
            let next = fleet.below(starting.len() as u64) as usize;
            let started = starting.swap_remove(next);
            let mut seeds = voters[..SEEDS].to_vec();
            seeds.rotate_left(next % SEEDS);
            fleet.add(started, &seeds);
            fleet.start_as(started, true);
            let pause = fleet.below(FOUNDING / voters.len() as u64);
            fleet.run(pause);
        }
        fleet.change();
        fleet.await_voters(&voters);
        fleet
    }

    /// No machines yet.
    pub fn empty(hosts_lost: usize, seed: u64) -> Fleet {
        Fleet {
            now: BEGINNING,
            machines: BTreeMap::new(),
            cuts: BTreeSet::new(),
            filter: None,
            acknowledged: 0,
            hosts_lost,
            flights: BTreeMap::new(),
            answers: BTreeMap::new(),
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            sequence: 0,
            next_call: 0,
        }
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % bound
    }

    /// A machine with an empty disk that is not started yet.
    pub fn add(&mut self, node: NodeId, seeds: &[NodeId]) {
        let clock_offset = self.below(1_000_000);
        let machine = Machine {
            core: None,
            seeds: seeds.to_vec(),
            synced: Vec::new(),
            pending: VecDeque::new(),
            clock_offset,
            next_tick: 0,
            sync_ms: 3,
        };
        self.machines.insert(node, machine);
    }

    /// A machine joins with an empty disk.
    pub fn join(&mut self, node: NodeId, seeds: &[NodeId]) {
        self.add(node, seeds);
        self.start(node);
    }

    /// Starts a process with what its disk holds.
    pub fn start(&mut self, node: NodeId) {
        self.start_as(node, false);
    }

    /// The same; `bootstrap` where the whole system starts for the first time.
    pub fn start_as(&mut self, node: NodeId, bootstrap: bool) {
        let seeds: Vec<String> =
            self.machines[&node].seeds.iter().map(|seed| format!("{seed}:8146")).collect();
        let text = format!(
            "nodeName=core\nip={node}\nzone=a\nephemeralPorts=7660,7675\nseedNodes={}\nbootstrap={bootstrap}\n\
             faultTolerance.hostsLost={}\nheartbeatMs=1200\n",
            seeds.join(","),
            self.hosts_lost,
        );
        let settings: Settings = text.parse().expect("the settings are read");
        let options = CoordinatorOptions::from_settings(&settings, Incarnation(self.below(u64::MAX)));
        let now = self.now;
        let first_tick = now + self.below(TICK);
        let machine = self.machine(node);
        machine.next_tick = first_tick;
        machine.core = Some(Coordinator::new(options, machine.synced.clone(), now + machine.clock_offset));
        self.tell(node, Event::Tick);
    }

    pub fn machine(&mut self, node: NodeId) -> &mut Machine {
        self.machines.get_mut(&node).expect("a machine of the test")
    }

    /// Nodes whose process runs.
    pub fn running(&self) -> Vec<NodeId> {
        let running = self.machines.iter().filter(|(_, machine)| machine.core.is_some());
        running.map(|(node, _)| *node).collect()
    }

    pub fn core(&self, node: NodeId) -> &Coordinator {
        self.machines[&node].core.as_ref().expect("a process that runs")
    }

    pub fn replica(&self, node: NodeId, shard: u32) -> &Replica {
        &self.core(node).shards().get(shard).expect("a shard").replica
    }

    /// Numbers of the shards.
    pub fn shards(&self) -> std::ops::Range<u32> {
        let any = self.running()[0];
        self.core(any).shards().numbers()
    }

    /// The machine loses power: what is not synced is lost, but for a part at its start.
    pub fn lose_power(&mut self, node: NodeId) {
        let kept = self.below(4) as usize;
        let machine = self.machine(node);
        machine.core = None;
        let unsynced = machine.pending.drain(..).take(kept);
        let kept: Vec<StoredRecord> = unsynced.flat_map(|pending| stored(pending.records)).collect();
        machine.synced.extend(kept);
    }

    /// The machine loses power and its disk.
    pub fn wipe(&mut self, node: NodeId) {
        self.lose_power(node);
        self.machine(node).synced.clear();
    }

    /// What the disk holds of a shard's log cannot be read. The hard state can.
    pub fn garble(&mut self, node: NodeId, shard: u32) {
        let is_hard = |record: &StoredRecord| matches!(Record::decode(&record.bytes), Ok(Record::Hard(_)));
        let records = self.machine(node).synced.iter_mut().filter(|record| record.stream == shard);
        records.filter(|record| !is_hard(record)).for_each(|record| record.bytes = vec![255; 3]);
    }

    /// The process is told to end. It answers until [`FAREWELL`] is over, and its time does not go on.
    pub fn tell_to_end(&mut self, node: NodeId) {
        self.tell(node, Event::ShutdownRequested);
        self.machine(node).next_tick = Millis::MAX;
    }

    /// Cuts a machine off from all others.
    pub fn isolate(&mut self, node: NodeId) {
        for other in self.machines.keys().copied().filter(|other| *other != node) {
            self.cuts.insert((node, other));
            self.cuts.insert((other, node));
        }
    }

    /// An event at a process, and what follows from it.
    pub fn tell(&mut self, node: NodeId, event: Event) {
        let now = self.now;
        let machine = self.machine(node);
        let clock = now + machine.clock_offset;
        let Some(core) = machine.core.as_mut() else { return };
        let mut actions = Vec::new();
        core.handle(clock, event, &mut actions);
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: NodeId, action: Action) {
        match action {
            Action::Send { to, message } => self.send(node, to, message),
            Action::Persist { ticket, records } => {
                let sync_ms = self.machines[&node].sync_ms;
                let due = self.now + 1 + self.below(sync_ms);
                self.machine(node).pending.push_back(Pending { ticket, records, due });
            }
            Action::Checkpoint { live } => self.machine(node).synced = stored(live),
            Action::RespondToOperator { call, response: answer } => _ = self.answers.insert(call, answer),
            _ => {}
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: CoordinatorMessage) {
        let passes = self.filter.as_mut().is_none_or(|filter| filter(from, to, &message));
        if passes && !self.cuts.contains(&(from, to)) && self.machines.contains_key(&to) {
            let at = self.now + 1 + self.below(3);
            self.sequence += 1;
            self.flights.insert((at, self.sequence), Flight { from, to, message });
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until something holds, or returns false after `limit`.
    pub fn run_until(&mut self, limit: Millis, holds: impl Fn(&Fleet) -> bool) -> bool {
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
        while let Some(first) = self.flights.first_entry().filter(|first| first.key().0 <= self.now) {
            let Flight { from, to, message } = first.remove();
            self.tell(to, Event::Message { from, message });
        }
        for node in self.running() {
            while let Some(ticket) = self.sync_one(node) {
                self.tell(node, Event::Persisted { ticket, wants_checkpoint: false });
            }
            if self.machines[&node].next_tick <= self.now {
                self.machine(node).next_tick += TICK;
                self.tell(node, Event::Tick);
            }
        }
    }

    fn sync_one(&mut self, node: NodeId) -> Option<u64> {
        let now = self.now;
        let machine = self.machine(node);
        let pending = machine.pending.pop_front_if(|pending| pending.due <= now)?;
        machine.synced.extend(stored(pending.records));
        Some(pending.ticket)
    }

    /// The node that leads a shard, in the newest term, where one does.
    pub fn leader_of(&self, shard: u32) -> Option<NodeId> {
        let leaders = self.running().into_iter().filter(|node| self.replica(*node, shard).is_leader());
        leaders.max_by_key(|node| self.replica(*node, shard).term())
    }

    /// Whether a shard has a leader, and exactly these voters, which all running ones among them know to be committed.
    pub fn has_voters_in(&self, shard: u32, voters: &[NodeId]) -> bool {
        let mut voters = voters.to_vec();
        voters.sort_unstable();
        let Some(leader) = self.leader_of(shard) else { return false };
        let replica = self.replica(leader, shard);
        !replica.is_changing_voters() && replica.voters().incoming() == voters && voters.contains(&leader)
    }

    /// The same in all shards.
    pub fn has_voters(&self, voters: &[NodeId]) -> bool {
        self.shards().all(|shard| self.has_voters_in(shard, voters))
    }

    /// Waits until all shards have these voters.
    pub fn await_voters(&mut self, voters: &[NodeId]) {
        let has_voters = self.run_until(10_000, |fleet| fleet.has_voters(voters));
        assert!(has_voters, "{voters:?} are not the voters: {}", self.describe());
    }

    /// Whether a machine's process would find a shard recovering if it started anew now.
    pub fn is_forgetful_on_disk(&self, node: NodeId) -> bool {
        let is_recovering = |shard: u32| {
            let records = self.machines[&node].synced.iter().filter(|record| record.stream == shard).rev();
            let hard = records.filter_map(|record| match Record::decode(&record.bytes) {
                Ok(Record::Hard(hard)) => Some(hard.recovering),
                _ => None,
            });
            hard.take(1).all(|recovering| recovering)
        };
        self.shards().any(is_recovering)
    }

    /// How far a shard is known to be committed anywhere.
    pub fn committed(&self, shard: u32) -> Index {
        let of = |node: NodeId| self.replica(node, shard).commit_index();
        self.running().into_iter().map(of).max().unwrap_or_default()
    }

    /// The operator calls a node, and waits for as long as it waits at one.
    fn operate(&mut self, at: NodeId, operator: &OperatorCall) -> Option<OperatorResponse> {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.tell(at, Event::OperatorCall { call, request: operator.clone() });
        self.run_until(OPERATOR_PATIENCE, |fleet| fleet.answers.contains_key(&call));
        self.answers.remove(&call)
    }

    /// The operator calls one node after the other until one does it, or time is up.
    fn operate_anywhere(&mut self, limit: Millis, operator: &OperatorCall) -> Option<Vec<u8>> {
        let end = self.now + limit;
        while self.now < end {
            for at in self.running() {
                if let Some(OperatorResponse::Done { body }) = self.operate(at, operator) {
                    return Some(body);
                }
            }
        }
        None
    }

    /// The operator brings the next configuration; it is acknowledged within some seconds.
    pub fn change(&mut self) {
        let body = configuration(self.acknowledged + 1, "example").into_bytes();
        let change = OperatorCall::Change { replace: true, base_version: self.acknowledged, body };
        assert!(self.operate_anywhere(8_000, &change).is_some(), "no change is taken: {}", self.describe());
        self.acknowledged += 1;
    }

    /// Whether anybody acknowledges a change within `limit`.
    pub fn takes_a_change(&mut self, limit: Millis) -> bool {
        let body = configuration(self.acknowledged + 1, "example").into_bytes();
        let change = OperatorCall::Change { replace: true, base_version: self.acknowledged, body };
        let is_taken = self.operate_anywhere(limit, &change).is_some();
        self.acknowledged += u64::from(is_taken);
        is_taken
    }

    /// What was acknowledged is read back, each shard has a leader, and the next change is acknowledged.
    pub fn assert_in_service(&mut self) {
        let body = self.operate_anywhere(8_000, &OperatorCall::Read);
        let Some(body) = body else { panic!("nothing can be read: {}", self.describe()) };
        let text = String::from_utf8(body).expect("JSON");
        let version = format!("\"version\":{}", self.acknowledged);
        assert!(text.contains(&version), "{version} was lost: {text}");
        let is_led =
            self.run_until(5_000, |fleet| fleet.shards().all(|shard| fleet.leader_of(shard).is_some()));
        assert!(is_led, "a shard has no leader: {}", self.describe());
        self.change();
    }

    /// One line for each shard of each machine, for messages of failed tests.
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
                    replica.last(),
                    replica.commit_index(),
                    replica.voters(),
                    replica.is_recovering(),
                ));
            }
        }
        lines.join("\n")
    }
}

fn stored(records: Vec<(u32, Vec<u8>)>) -> Vec<StoredRecord> {
    records.into_iter().map(|(stream, bytes)| StoredRecord { stream, bytes }).collect()
}
