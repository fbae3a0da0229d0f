//! The group, what is under way in it, and the steps that it can take.

use std::fmt;
use std::sync::Arc;

use shaletrail_protocol::{Millis, NodeId};

use crate::fingerprint;
use crate::judge::{holds, Broken, Judge};
use crate::machine::{Fact, Flight, Input, Kind, Machine, Memo, Settings};

/// Nodes that found the group.
pub(crate) const FOUNDERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];
/// A node that does not vote at the start.
pub(crate) const SPARE: NodeId = NodeId(4);
/// The voters after a change: the spare takes the place of node 3.
const NEXT_VOTERS: [NodeId; 3] = [NodeId(1), NodeId(2), SPARE];

/// How often each kind of step may be taken on one path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Messages that come twice.
    pub doubles: u8,
    /// Crashes.
    pub crashes: u8,
    /// Losses of a disk, one at a time.
    pub wipes: u8,
    /// Time-outs of nodes that don't lead.
    pub stands: u8,
    /// Heartbeats of leaders, or their standing down.
    pub beats: u8,
    /// Times that the clock goes on by [`Budget::pass_ms`].
    pub passes: u8,
    /// How far the clock goes on, in milliseconds.
    pub pass_ms: u16,
    /// Leaders that hand over.
    pub hand_overs: u8,
    /// Changes of voters.
    pub voter_changes: u8,
    /// Reads of operators.
    pub reads: u8,
    /// Calls of operators that are still to come, one bit each: see [`Step::Call`].
    pub calls: u8,
}

/// One step.
#[derive(Clone, Debug)]
pub enum Step {
    /// A message arrives, by its place among those under way.
    Deliver(usize),
    /// A message arrives and will come once more.
    Double(usize),
    /// The next sync of a disk is done.
    Sync(NodeId),
    /// A node does what is due.
    Tick(NodeId),
    /// The clock goes on.
    Pass,
    /// A process ends, with what wasn't synced, and starts again.
    Crash {
        /// Where.
        node: NodeId,
        /// Whether the first record of the sync under way is kept.
        torn: bool,
    },
    /// A node loses its disk and starts again.
    Wipe(NodeId),
    /// A leader hands over.
    HandOver(NodeId),
    /// A leader replaces node 3 by the spare.
    ChangeVoters(NodeId),
    /// An operator's call reaches a leader.
    Call {
        /// The leader.
        node: NodeId,
        /// The call, by its bit in [`Budget::calls`].
        call: usize,
    },
    /// An operator reads from a leader.
    Read(NodeId),
}

/// A state of the group and of all that is under way.
#[derive(Clone, Debug)]
pub struct World {
    pub(crate) now: Millis,
    pub(crate) machines: Vec<Arc<Machine>>,
    /// Sorted by hash.
    pub(crate) flights: Vec<Arc<Flight>>,
    pub(crate) judge: Arc<Judge>,
    pub(crate) budget: Budget,
    next_token: u64,
}

impl World {
    /// A group that is founded, and a spare.
    pub(crate) fn founded(settings: Settings) -> World {
        let nodes = FOUNDERS.into_iter().chain([SPARE]);
        let machines = nodes.map(|node| Arc::new(Machine::new(node, settings, &FOUNDERS, 0)));
        World {
            now: 0,
            machines: machines.collect(),
            flights: Vec::new(),
            judge: Arc::default(),
            budget: Budget::default(),
            next_token: 1,
        }
    }

    /// Names the state.
    pub(crate) fn hash(&self) -> u64 {
        let machines: Vec<u64> = self.machines.iter().map(|machine| machine.hash).collect();
        let flights: Vec<u64> = self.flights.iter().map(|flight| flight.hash).collect();
        fingerprint::of(&(self.now, machines, flights, &*self.judge, self.budget, self.next_token))
    }

    /// All steps that the budget allows.
    pub(crate) fn steps(&self) -> Vec<Step> {
        let mut steps = self.deliveries();
        for machine in &self.machines {
            self.steps_of(machine, &mut steps);
        }
        if self.budget.passes > 0 {
            steps.push(Step::Pass);
        }
        steps
    }

    fn deliveries(&self) -> Vec<Step> {
        let is_first =
            |place: &usize| *place == 0 || self.flights[place - 1].hash != self.flights[*place].hash;
        let places: Vec<usize> = (0..self.flights.len()).filter(is_first).collect();
        let mut steps: Vec<Step> = places.iter().copied().map(Step::Deliver).collect();
        if self.budget.doubles > 0 {
            steps.extend(places.into_iter().map(Step::Double));
        }
        steps
    }

    fn steps_of(&self, machine: &Machine, steps: &mut Vec<Step>) {
        let (node, budget, leads) = (machine.node, &self.budget, machine.replica.is_leader());
        let left = if leads { budget.beats } else { budget.stands };
        if left > 0 && machine.replica.next_wake() <= self.now {
            steps.push(Step::Tick(node));
        }
        if machine.is_syncing() {
            steps.push(Step::Sync(node));
        }
        if budget.crashes > 0 {
            steps.push(Step::Crash { node, torn: false });
            if machine.can_tear() {
                steps.push(Step::Crash { node, torn: true });
            }
        }
        let others_are_whole = self.machines.iter().all(|other| other.node == node || !other.is_lost());
        if budget.wipes > 0 && others_are_whole {
            steps.push(Step::Wipe(node));
        }
        if leads {
            self.steps_of_leader(node, steps);
        }
    }

    fn steps_of_leader(&self, node: NodeId, steps: &mut Vec<Step>) {
        if self.budget.hand_overs > 0 {
            steps.push(Step::HandOver(node));
        }
        if self.budget.voter_changes > 0 {
            steps.push(Step::ChangeVoters(node));
        }
        if self.budget.reads > 0 {
            steps.push(Step::Read(node));
        }
        let calls = (0..8).filter(|call| self.budget.calls & (1 << call) != 0);
        steps.extend(calls.map(|call| Step::Call { node, call }));
    }

    /// The state after a step; `None` where the step changes nothing but that a message is gone.
    pub(crate) fn take(&self, step: &Step, memo: &mut Memo) -> Option<Result<World, Broken>> {
        let mut world = self.clone();
        let (node, input) = match step {
            Step::Pass => {
                world.budget.passes -= 1;
                world.now += Millis::from(world.budget.pass_ms);
                return Some(Ok(world));
            }
            Step::Deliver(place) => {
                let flight = world.flights.remove(*place);
                (flight.to, Input::Receive(flight))
            }
            Step::Double(place) => {
                world.budget.doubles -= 1;
                let flight = world.flights[*place].clone();
                (flight.to, Input::Receive(flight))
            }
            Step::Sync(node) => (*node, Input::Sync),
            Step::Tick(node) => {
                let leads = world.machine(*node).replica.is_leader();
                let left = if leads { &mut world.budget.beats } else { &mut world.budget.stands };
                *left -= 1;
                (*node, Input::Tick)
            }
            Step::Crash { node, torn } => {
                world.budget.crashes -= 1;
                (*node, Input::Crash { torn: *torn })
            }
            Step::Wipe(node) => {
                world.budget.wipes -= 1;
                (*node, Input::Wipe)
            }
            Step::HandOver(node) => {
                world.budget.hand_overs -= 1;
                (*node, Input::HandOver)
            }
            Step::ChangeVoters(node) => {
                world.budget.voter_changes -= 1;
                (*node, Input::ChangeVoters(NEXT_VOTERS.to_vec()))
            }
            Step::Call { node, call } => {
                world.budget.calls &= !(1 << call);
                (*node, Input::Propose(crate::scenes::CALLS[*call]))
            }
            Step::Read(node) => {
                world.budget.reads -= 1;
                let token = world.next_token;
                world.next_token += 1;
                Arc::make_mut(&mut world.judge).asks(token);
                (*node, Input::Read(token))
            }
        };
        let changes = world.feed(node, &input, memo);
        match changes {
            Ok(false) if matches!(step, Step::Deliver(_) | Step::Double(_)) => None,
            Ok(_) => Some(Ok(world)),
            Err(broken) => Some(Err(broken)),
        }
    }

    /// Gives a machine an input; whether anything came of it.
    pub(crate) fn feed(&mut self, node: NodeId, input: &Input, memo: &mut Memo) -> Result<bool, Broken> {
        let place = self.place(node);
        let outcome = memo.step(&self.machines[place], self.now, input);
        let changes = outcome.machine.hash != self.machines[place].hash || !outcome.sent.is_empty();
        self.machines[place] = outcome.machine.clone();
        for flight in &outcome.sent {
            let at = self.flights.partition_point(|other| other.hash < flight.hash);
            self.flights.insert(at, flight.clone());
        }
        self.see(node, &outcome.facts)?;
        self.check_leases()?;
        Ok(changes)
    }

    fn see(&mut self, node: NodeId, facts: &[Fact]) -> Result<(), Broken> {
        if facts.is_empty() {
            return Ok(());
        }
        let judge = Arc::make_mut(&mut self.judge);
        facts.iter().try_for_each(|fact| judge.sees(node, fact))
    }

    fn check_leases(&self) -> Result<(), Broken> {
        let holders = self.machines.iter().filter(|machine| machine.replica.is_leader_with_lease(self.now));
        let holders: Vec<NodeId> = holders.map(|machine| machine.node).collect();
        holds(holders.len() < 2, || format!("two leases at {}: {holders:?}", self.now))
    }

    fn place(&self, node: NodeId) -> usize {
        self.machines
            .iter()
            .position(|machine| machine.node == node)
            .expect("messages go to nodes of the group")
    }

    /// A node's machine.
    pub(crate) fn machine(&self, node: NodeId) -> &Machine {
        &self.machines[self.place(node)]
    }

    /// A step in words.
    pub(crate) fn describe(&self, step: &Step) -> String {
        match step {
            Step::Deliver(place) => self.describe_flight("deliver", *place),
            Step::Double(place) => self.describe_flight("deliver, to come again,", *place),
            Step::Call { node, call } => {
                format!("operator calls {} with change {}", node.0, crate::scenes::CALLS[*call])
            }
            Step::Pass => format!("the clock goes on by {} ms", self.budget.pass_ms),
            other => format!("{other:?}"),
        }
    }

    fn describe_flight(&self, verb: &str, place: usize) -> String {
        let flight = &self.flights[place];
        format!("{verb} {} -> {}: {:?}", flight.from.0, flight.to.0, flight.message)
    }
}

impl fmt::Display for World {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "at {} ms, {} messages under way", self.now, self.flights.len())?;
        for machine in &self.machines {
            let replica = &machine.replica;
            writeln!(
                formatter,
                "  {}: {} in term {}, last {:?}, commit {}, voters {:?}, recovering {}",
                machine.node.0,
                replica.role(),
                replica.term(),
                replica.last(),
                replica.commit_index(),
                replica.voters(),
                replica.is_recovering(),
            )?;
        }
        Ok(())
    }
}

/// A hand on the group, for the start of a scene. What is broken on the way stops it.
pub(crate) struct Script {
    pub world: World,
    memo: Memo,
}

impl Script {
    /// From a group just founded, with node 1 leading it in quiet.
    pub fn led_by_1(kind: Kind, settings: Settings) -> Script {
        let settings = Settings { kind, ..settings };
        let mut script = Script { world: World::founded(settings), memo: Memo::default() };
        script.pass(crate::machine::FOUNDING);
        script.feed(1, Input::Tick);
        script.calm();
        // All have heard of the last commit, and the leader of that.
        script.pass(150);
        script.feed(1, Input::Tick);
        script.calm();
        script
    }

    /// Time goes on.
    pub fn pass(&mut self, ms: Millis) -> &mut Self {
        self.world.now += ms;
        self
    }

    /// Gives a node an input.
    pub fn feed(&mut self, node: u32, input: Input) -> &mut Self {
        let fed = self.world.feed(NodeId(node), &input, &mut self.memo);
        fed.unwrap_or_else(|broken| panic!("at the start: {broken}"));
        self
    }

    /// Delivers all messages of a name between two nodes that are under way now.
    pub fn deliver(&mut self, from: u32, to: u32, name: &str) -> &mut Self {
        let wanted =
            |flight: &Arc<Flight>| (flight.from.0, flight.to.0, flight.message.name()) == (from, to, name);
        let (wanted, others) = std::mem::take(&mut self.world.flights).into_iter().partition(wanted);
        self.world.flights = others;
        let mut wanted: Vec<Arc<Flight>> = wanted;
        assert!(!wanted.is_empty(), "no {name} from {from} to {to} is under way");
        // Entries in their order.
        wanted.sort_by_key(|flight| format!("{:?}", flight.message));
        for flight in wanted {
            self.feed(to, Input::Receive(flight));
        }
        self
    }

    /// Delivers entries, states and answers to them between two nodes until none is under way.
    pub fn exchange_entries(&mut self, leader: u32, follower: u32) -> &mut Self {
        let is_of_these = |flight: &Arc<Flight>| {
            let (from, to, name) = (flight.from.0, flight.to.0, flight.message.name());
            (from, to) == (leader, follower) && matches!(name, "Append" | "InstallSnapshot")
                || (from, to) == (follower, leader) && name == "AppendResponse"
        };
        while let Some(place) = self.world.flights.iter().position(is_of_these) {
            let flight = self.world.flights.remove(place);
            self.feed(flight.to.0, Input::Receive(flight));
        }
        self
    }

    /// Loses all that is under way.
    pub fn lose_all(&mut self) -> &mut Self {
        self.world.flights.clear();
        self
    }

    /// Loses all messages of a name.
    pub fn lose(&mut self, name: &str) -> &mut Self {
        self.world.flights.retain(|flight| flight.message.name() != name);
        self
    }

    /// Loses all that is under way to a node.
    pub fn lose_all_to(&mut self, node: u32) -> &mut Self {
        self.world.flights.retain(|flight| flight.to.0 != node);
        self
    }

    /// Delivers and syncs until nothing is under way.
    pub fn calm(&mut self) -> &mut Self {
        loop {
            let syncing = self.world.machines.iter().find(|machine| machine.is_syncing());
            if let Some(node) = syncing.map(|machine| machine.node) {
                self.feed(node.0, Input::Sync);
            } else if let Some(flight) = self.world.flights.pop() {
                self.feed(flight.to.0, Input::Receive(flight));
            } else {
                return self;
            }
        }
    }

    /// The start of a scene.
    pub fn with(&self, budget: Budget) -> World {
        World { budget, ..self.world.clone() }
    }
}
