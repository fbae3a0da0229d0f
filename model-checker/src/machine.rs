//! One machine: a replica, its disk and its state machine, as a coordinator drives them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use shaletrail_configuration::{Change, ChangeOutcome, ConfigState};
use shaletrail_consensus::{
    Effect, Entry, Index, LogPosition, Message, Options, Payload, Record, Replica, Term,
};
use shaletrail_coordinator::core::lease_state::{LeaseEpoch, LeaseHolder, LeaseState};
use shaletrail_coordinator::core::orders::OrderLeases;
use shaletrail_coordinator::interface::CoordinatorOptions;
use shaletrail_protocol::{Incarnation, Millis, NodeId};

use crate::fingerprint;

/// How far apart orders of different holders must lie.
pub(crate) const ORDER_LEASE: Millis = 1_000;
/// The election time-out, longest and shortest; a tick may come at any later moment.
pub(crate) const ELECTION: Millis = 600;
/// The time-out of the first election.
pub(crate) const FOUNDING: Millis = 50;
/// The shard of the services, as the holders number it.
const SERVICE_SHARD: u32 = 1;

/// Which state machine the group runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    /// The configuration, changed by operators.
    Configuration,
    /// Turns of holders of orders.
    Service,
}

/// What differs between groups.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Settings {
    /// The state machine.
    pub kind: Kind,
    /// One entry a message, and none with a probe.
    pub small_messages: bool,
    /// Nodes whose syncs are steps of their own, one bit a node; other disks sync at once.
    pub slow_disks: u8,
}

/// A message under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Flight {
    pub from: NodeId,
    pub to: NodeId,
    pub message: Message,
    pub hash: u64,
}

/// What happens to a machine.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    Receive(Arc<Flight>),
    Sync,
    Tick,
    /// Loses what isn't synced, but for the first record of the next sync where `torn` is set, and starts again.
    Crash {
        torn: bool,
    },
    /// Loses its disk and starts again.
    Wipe,
    HandOver,
    AddLearner(NodeId),
    ChangeVoters(Vec<NodeId>),
    /// An operator's change, with its number.
    Propose(usize),
    Read(u64),
}

impl Input {
    fn hash(&self, now: Millis) -> u64 {
        match self {
            Input::Receive(flight) => fingerprint::of(&(flight.hash, now)),
            other => fingerprint::of_debug(&(other, now)),
        }
    }
}

/// What others may see of a step.
#[derive(Clone, Debug)]
pub(crate) enum Fact {
    /// It leads; what its log holds.
    Elected { term: Term, covered: Index, log: Vec<LogPosition> },
    /// It has applied an entry, and this is the state then.
    Applied { position: LogPosition, payload: u64, state: u64 },
    /// It has taken over a state.
    Installed { index: Index, state: u64 },
    /// It has judged a change, in the order of the log.
    Judged { index: Index, change: usize, taken: bool, refused: bool },
    /// It has answered the operator.
    Answered { index: Index, change: usize, acknowledged: bool },
    /// It has answered a read from its state.
    Read { token: u64, index: Index },
    /// Its turn has begun and it may send orders from then on.
    Turn { fence: u64, allowed_from: Millis },
    /// It may write orders until then, unless it stops leading before.
    Orders { fence: u64, until: Millis },
    /// It leads no more, and so writes no order.
    Stopped { fence: u64, at: Millis },
}

/// A machine after a step, with what it sent and showed.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub machine: Arc<Machine>,
    pub sent: Vec<Arc<Flight>>,
    pub facts: Vec<Fact>,
}

/// Outcomes that are known, and machines in the states they had.
#[derive(Default)]
pub(crate) struct Memo {
    outcomes: Outcomes,
    machines: std::collections::HashMap<u64, Arc<Machine>>,
}

type Outcomes = std::collections::HashMap<(u64, u64), Arc<Outcome>>;

impl Memo {
    /// What an input makes of a machine.
    pub fn step(&mut self, machine: &Arc<Machine>, now: Millis, input: &Input) -> Arc<Outcome> {
        let key = (machine.hash, input.hash(now));
        if let Some(known) = self.outcomes.get(&key) {
            return known.clone();
        }
        let mut outcome = machine.step(now, input);
        let machine = self.machines.entry(outcome.machine.hash).or_insert_with(|| outcome.machine.clone());
        outcome.machine = machine.clone();
        let outcome = Arc::new(outcome);
        self.outcomes.insert(key, outcome.clone());
        outcome
    }
}

/// What is synced and what is on its way.
#[derive(Clone, Debug, Default)]
struct Disk {
    synced: Vec<Record>,
    pending: VecDeque<(u64, Vec<Record>)>,
}

#[derive(Clone, Debug)]
enum State {
    Configuration(Box<ConfigState>),
    Service(LeaseState),
}

impl State {
    fn new(kind: Kind) -> Self {
        match kind {
            Kind::Configuration => State::Configuration(Box::default()),
            Kind::Service => State::Service(LeaseState::default()),
        }
    }

    fn bytes(&self) -> Vec<u8> {
        match self {
            State::Configuration(state) => state.snapshot(),
            State::Service(state) => state.snapshot(),
        }
    }

    fn restore(&mut self, bytes: &[u8]) {
        match self {
            State::Configuration(state) => **state = ConfigState::restore(bytes).expect("own states decode"),
            State::Service(state) => *state = LeaseState::restore(bytes).expect("own states decode"),
        }
    }
}

/// A leadership of this machine.
#[derive(Clone, Copy, Debug)]
struct Leadership {
    term: Term,
    since: Millis,
    allowed_from: Option<Millis>,
    /// Whether the end of the wait for another node's orders is still to be told.
    must_tell_waited: bool,
}

/// One machine.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub node: NodeId,
    pub replica: Replica,
    /// Of all of it.
    pub hash: u64,
    settings: Settings,
    lives: u64,
    disk: Disk,
    state: State,
    leadership: Option<Leadership>,
    /// Changes proposed in the present leadership: index to term and number.
    proposals: BTreeMap<Index, (Term, usize)>,
    /// Whether it has ever lost a disk.
    has_lost_disk: bool,
}

fn options(node: NodeId, lives: u64, settings: &Settings, recovering: bool) -> Options {
    let usual = Options::new(node, u64::from(node.0) + 100 * lives);
    let message_bytes = if settings.small_messages { 1 } else { usual.max_append_bytes };
    Options {
        recovering,
        election_min_ms: ELECTION,
        election_max_ms: ELECTION,
        bootstrap_election_min_ms: FOUNDING,
        bootstrap_election_max_ms: FOUNDING,
        max_append_bytes: message_bytes,
        max_probe_bytes: message_bytes.min(usual.max_probe_bytes),
        ..usual
    }
}

impl Machine {
    /// A machine that starts for the first time; a founder unless it is the spare.
    pub fn new(node: NodeId, settings: Settings, founders: &[NodeId], now: Millis) -> Machine {
        let founds = founders.contains(&node);
        let mut replica = Replica::new(options(node, 0, &settings, !founds), Vec::new(), now);
        if founds {
            replica.bootstrap(now, founders);
        }
        let mut machine = Machine {
            node,
            replica,
            hash: 0,
            settings,
            lives: 0,
            disk: Disk::default(),
            state: State::new(settings.kind),
            leadership: None,
            proposals: BTreeMap::new(),
            has_lost_disk: false,
        };
        machine.pump(now, &mut Vec::new(), &mut Vec::new());
        machine.sync_all(now);
        machine.name();
        machine
    }

    fn sync_all(&mut self, now: Millis) {
        while self.sync(now) {
            self.pump(now, &mut Vec::new(), &mut Vec::new());
        }
    }

    /// Whether a sync is under way.
    pub fn is_syncing(&self) -> bool {
        !self.disk.pending.is_empty()
    }

    /// Whether the next sync has several records, of which a crash may keep the first.
    pub fn can_tear(&self) -> bool {
        self.disk.pending.front().is_some_and(|(_, records)| records.len() > 1)
    }

    /// Whether its disk was lost and its replacement is not readmitted as far as that is synced.
    pub fn is_lost(&self) -> bool {
        let hard = self.disk.synced.iter().rev().find_map(|record| match record {
            Record::HardState(hard) => Some(hard.recovering),
            _ => None,
        });
        self.has_lost_disk && hard.unwrap_or(true)
    }

    fn step(&self, now: Millis, input: &Input) -> Outcome {
        let mut machine = self.clone();
        let (mut sent, mut facts) = (Vec::new(), Vec::new());
        machine.take(now, input);
        machine.pump(now, &mut sent, &mut facts);
        if machine.tell_waited(now) {
            machine.pump(now, &mut sent, &mut facts);
        }
        self.show_stop(now, &machine, &mut facts);
        machine.show_orders(&mut facts);
        machine.name();
        Outcome { machine: Arc::new(machine), sent, facts }
    }

    fn name(&mut self) {
        let leadership = (&self.leadership, &self.proposals, self.lives, self.has_lost_disk);
        self.hash = fingerprint::of(&(
            fingerprint::of_debug(&self.replica),
            fingerprint::of_debug(&self.disk),
            fingerprint::of_debug(&leadership),
            self.state.bytes(),
            self.node,
        ));
    }

    fn take(&mut self, now: Millis, input: &Input) {
        // Refusals are as good as calls that were never made.
        match input {
            Input::Receive(flight) => self.replica.receive(now, flight.from, flight.message.clone()),
            Input::Sync => {
                self.sync(now);
            }
            Input::Tick => self.replica.tick(now),
            Input::Crash { torn } => self.crash(now, *torn),
            Input::Wipe => self.wipe(now),
            Input::HandOver => self.replica.transfer_leadership(now),
            Input::AddLearner(node) => drop(self.replica.add_learner(*node)),
            Input::ChangeVoters(voters) => drop(self.replica.change_voters(now, voters.clone())),
            Input::Propose(change) => self.propose(now, *change),
            Input::Read(token) => drop(self.replica.read(now, *token)),
        }
    }

    fn propose(&mut self, now: Millis, change: usize) {
        let term = self.replica.term();
        if let Ok(index) = self.replica.propose(now, crate::scenes::change(change).encode()) {
            self.proposals.insert(index, (term, change));
        }
    }

    fn crash(&mut self, now: Millis, torn: bool) {
        if let Some((_, records)) = self.disk.pending.pop_front().filter(|_| torn) {
            self.disk.synced.extend(records.into_iter().take(1));
        }
        self.disk.pending.clear();
        self.restart(now, false);
    }

    fn wipe(&mut self, now: Millis) {
        self.disk = Disk::default();
        self.has_lost_disk = true;
        self.restart(now, true);
    }

    fn restart(&mut self, now: Millis, recovering: bool) {
        self.lives += 1;
        self.state = State::new(self.settings.kind);
        self.leadership = None;
        self.proposals.clear();
        let options = options(self.node, self.lives, &self.settings, recovering);
        self.replica = Replica::new(options, self.disk.synced.clone(), now);
    }

    fn sync(&mut self, now: Millis) -> bool {
        let Some((ticket, records)) = self.disk.pending.pop_front() else { return false };
        self.disk.synced.extend(records);
        self.replica.persisted(now, ticket);
        true
    }

    fn has_slow_disk(&self) -> bool {
        self.settings.slow_disks & (1 << self.node.0) != 0
    }

    /// Carries out effects until there are none.
    fn pump(&mut self, now: Millis, sent: &mut Vec<Arc<Flight>>, facts: &mut Vec<Fact>) {
        loop {
            let effects = self.replica.take_effects();
            if effects.is_empty() && (self.has_slow_disk() || !self.sync(now)) {
                return;
            }
            for effect in effects {
                self.carry_out(now, effect, sent, facts);
            }
        }
    }

    fn carry_out(&mut self, now: Millis, effect: Effect, sent: &mut Vec<Arc<Flight>>, facts: &mut Vec<Fact>) {
        match effect {
            Effect::Send(to, message) => {
                let hash = fingerprint::of_debug(&(self.node, to, &message));
                sent.push(Arc::new(Flight { from: self.node, to, message, hash }));
            }
            Effect::Persist { ticket, records } => self.disk.pending.push_back((ticket, records)),
            Effect::Apply(entry) => self.apply(now, entry, facts),
            Effect::InstallSnapshot(snapshot) => {
                self.state.restore(&snapshot.state);
                let state = fingerprint::of(&self.state.bytes());
                facts.push(Fact::Installed { index: snapshot.index(), state });
            }
            Effect::ReadReady { token, index } => facts.push(Fact::Read { token, index }),
            Effect::ReadFailed { .. } => {}
            Effect::BecameLeader { term } => {
                self.leadership =
                    Some(Leadership { term, since: now, allowed_from: None, must_tell_waited: false });
                facts.push(self.elected(term));
                if self.settings.kind == Kind::Service {
                    let holder = LeaseHolder { node: self.node, fencing_token: term };
                    let _ = self.replica.propose(now, LeaseState::acquire_command(holder));
                }
            }
            Effect::LostLeadership { .. } => {
                self.leadership = None;
                self.proposals.clear();
            }
        }
    }

    fn elected(&self, term: Term) -> Fact {
        let mut log = Vec::new();
        for record in self.replica.records() {
            if let Record::Entries(entries) = record {
                log.extend(entries.iter().map(Entry::position));
            }
        }
        Fact::Elected { term, covered: self.replica.snapshot_index(), log }
    }

    fn apply(&mut self, now: Millis, entry: Entry, facts: &mut Vec<Fact>) {
        let position = entry.position();
        let payload = fingerprint::of_debug(&entry.payload);
        if let Payload::Command(command) = &entry.payload {
            match &mut self.state {
                State::Configuration(state) => {
                    let judgement = state.apply(command);
                    self.judged(position, command, &judgement, facts);
                }
                State::Service(state) => {
                    if let Some(epoch) = state.apply(command) {
                        self.begin_turn(now, epoch, facts);
                    }
                }
            }
        }
        let state = self.state.bytes();
        facts.push(Fact::Applied { position, payload, state: fingerprint::of(&state) });
        if matches!(entry.payload, Payload::Command(_)) {
            self.replica.compact(entry.index, state);
        }
    }

    fn judged(
        &mut self,
        position: LogPosition,
        command: &[u8],
        judgement: &ChangeOutcome,
        facts: &mut Vec<Fact>,
    ) {
        let acknowledged = matches!(judgement, ChangeOutcome::Accepted | ChangeOutcome::Duplicate);
        let change = Change::decode(command).ok().and_then(|change| crate::scenes::number_of(&change));
        let Some(change) = change else { return };
        let index = position.index;
        let taken = *judgement == ChangeOutcome::Accepted;
        facts.push(Fact::Judged { index, change, taken, refused: !acknowledged });
        if self.proposals.remove(&index) == Some((position.term, change)) {
            facts.push(Fact::Answered { index, change, acknowledged });
        }
    }

    /// Asks the holders of the coordinator from when on orders may be sent.
    fn begin_turn(&mut self, now: Millis, epoch: LeaseEpoch, facts: &mut Vec<Fact>) {
        let Some(leadership) = &mut self.leadership else { return };
        let mut holders = OrderLeases::new(&core_options(self.node));
        holders.on_elected(leadership.since, SERVICE_SHARD, leadership.term);
        let leads = self.replica.is_leader() && self.replica.term() == epoch.holder.fencing_token;
        holders.on_epoch_started(now, SERVICE_SHARD, epoch, leads);
        let Some(allowed_from) = holders.wait_until(SERVICE_SHARD) else { return };
        leadership.allowed_from = Some(allowed_from);
        leadership.must_tell_waited = epoch.must_wait;
        facts.push(Fact::Turn { fence: leadership.term, allowed_from });
    }

    /// Writes down that the wait for another node's orders is over, as the coordinator does after each event.
    fn tell_waited(&mut self, now: Millis) -> bool {
        let Some(leadership) = &mut self.leadership else { return false };
        let over = leadership.allowed_from.is_some_and(|allowed_from| allowed_from <= now);
        if !over || !leadership.must_tell_waited {
            return false;
        }
        let holder = LeaseHolder { node: self.node, fencing_token: leadership.term };
        let told = self.replica.propose(now, LeaseState::wait_completed_command(holder)).is_ok();
        leadership.must_tell_waited = !told;
        told
    }

    /// Tells of the end of a turn between this state and the next.
    fn show_stop(&self, now: Millis, next: &Machine, facts: &mut Vec<Fact>) {
        let Some(former) = self.leadership.filter(|former| former.allowed_from.is_some()) else { return };
        if next.leadership.is_none_or(|leadership| leadership.term != former.term) {
            facts.push(Fact::Stopped { fence: former.term, at: now });
        }
    }

    fn show_orders(&self, facts: &mut Vec<Fact>) {
        let Some(Leadership { term, allowed_from: Some(allowed_from), .. }) = self.leadership else { return };
        if let Some(until) = self.replica.lease_until().filter(|until| allowed_from < *until) {
            facts.push(Fact::Orders { fence: term, until });
        }
    }
}

fn core_options(node: NodeId) -> CoordinatorOptions {
    CoordinatorOptions {
        node,
        node_name: format!("node-{}", node.0),
        incarnation: Incarnation(1),
        seeds: Vec::new(),
        bootstrap: false,
        hosts_lost: 1,
        heartbeat_interval: Duration::from_secs(1),
        order_lease: Duration::from_millis(ORDER_LEASE),
        retry_window: Duration::from_secs(10),
        placement: shaletrail_placement::Options::default(),
        seed: 1,
    }
}
