//! Several coordinators whose messages a test delivers, holds up or drops, with journals that outlive their processes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shaletrail_coordinator::core::Coordinator;
use shaletrail_coordinator::interface::{Action, CallId, CoordinatorOptions, Event, StateChange};
use shaletrail_protocol::external::{Heartbeat, ServerState};
use shaletrail_protocol::internal::{
    CoordinatorMessage, EdgeIdentity, OperatorCall, OperatorResponse, PollRequest, PollResponse,
};
use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Incarnation, Millis};
use shaletrail_storage::StoredRecord;

use super::{node, TICK};

/// Long enough for an election.
const ELECTION: Millis = 3_000;
/// Messages delivered in one step, at most: more would be an endless exchange.
const MOST_MESSAGES: usize = 100_000;

/// Which messages are held up: sender, receiver, message.
type Holds = Box<dyn Fn(u8, u8, &CoordinatorMessage) -> bool>;

/// One machine: its process, if it runs, and its journal.
struct Machine {
    core: Option<Coordinator>,
    stored: Vec<StoredRecord>,
    actions: Vec<Action>,
    frozen: bool,
    /// Its disk refuses every write.
    refuses: bool,
    /// Events that came while it was frozen, as in its sockets.
    in_sockets: Vec<Event>,
}

/// Several coordinators of one system, named by number from 1 on.
pub struct Group {
    /// The clock of all of them.
    pub now: Millis,
    machines: BTreeMap<u8, Machine>,
    cut: BTreeSet<(u8, u8)>,
    holds: Option<Holds>,
    held: Vec<(u8, u8, CoordinatorMessage)>,
    under_way: VecDeque<(u8, u8, CoordinatorMessage)>,
    starts: u64,
    next_call: u64,
}

impl Group {
    /// Coordinators that have started for the first time and have a leader.
    pub fn leading(coordinators: u8) -> Self {
        let mut group = Group {
            now: 1_000_000,
            machines: BTreeMap::new(),
            cut: BTreeSet::new(),
            holds: None,
            held: Vec::new(),
            under_way: VecDeque::new(),
            starts: 0,
            next_call: 0,
        };
        for number in 1..=coordinators {
            let (core, stored, actions) = (None, Vec::new(), Vec::new());
            let machine =
                Machine { core, stored, actions, frozen: false, refuses: false, in_sockets: Vec::new() };
            group.machines.insert(number, machine);
        }
        (1..=coordinators).for_each(|number| group.start_as(number, true));
        group.run(ELECTION);
        group
    }

    /// The process of a machine starts with what its journal holds.
    pub fn start(&mut self, number: u8) {
        self.start_as(number, false);
    }

    fn start_as(&mut self, number: u8, bootstrap: bool) {
        self.starts += 1;
        let coordinators = self.machines.len() as u8;
        let seeds: Vec<String> = (1..=coordinators).map(|number| format!("{}:8146", node(number))).collect();
        let text = format!(
            "nodeName=core-{number}\nip={}\nzone=a\nephemeralPorts=7660,7675\nseedNodes={}\n\
             bootstrap={bootstrap}\nfaultTolerance.hostsLost={}\nheartbeatMs=1200\n",
            node(number),
            seeds.join(","),
            coordinators / 2,
        );
        let settings: Settings = text.parse().expect("the settings are read");
        let options = CoordinatorOptions::from_settings(&settings, Incarnation(70 + self.starts));
        let now = self.now;
        let machine = self.machine(number);
        machine.core = Some(Coordinator::new(options, machine.stored.clone(), now));
    }

    /// The process of a machine ends; its journal stays.
    pub fn kill(&mut self, number: u8) {
        let machine = self.machine(number);
        (machine.core, machine.frozen) = (None, false);
        machine.in_sockets.clear();
    }

    /// The process of a machine stands still, or goes on with what lies in its sockets.
    pub fn freeze(&mut self, number: u8, frozen: bool) {
        self.machine(number).frozen = frozen;
        if !frozen {
            for event in std::mem::take(&mut self.machine(number).in_sockets) {
                self.tell(number, event);
            }
            self.deliver();
        }
    }

    /// The disk of a machine refuses every write, or takes them again.
    pub fn refuse_writes(&mut self, number: u8, refuses: bool) {
        self.machine(number).refuses = refuses;
    }

    /// Cuts the way from one machine to another, or joins it.
    pub fn cut_one_way(&mut self, from: u8, to: u8, cut: bool) {
        if cut {
            self.cut.insert((from, to));
        } else {
            self.cut.remove(&(from, to));
        }
    }

    /// Cuts two machines from each other, or joins them.
    pub fn cut(&mut self, one: u8, other: u8, cut: bool) {
        self.cut_one_way(one, other, cut);
        self.cut_one_way(other, one, cut);
    }

    /// Cuts one machine from all others, or joins it to them.
    pub fn cut_off(&mut self, number: u8, cut: bool) {
        for other in self.numbers().into_iter().filter(|other| *other != number) {
            self.cut(number, other, cut);
        }
    }

    /// Holds up the messages for which something holds.
    pub fn hold(&mut self, holds: impl Fn(u8, u8, &CoordinatorMessage) -> bool + 'static) {
        self.holds = Some(Box::new(holds));
    }

    /// Holds up nothing any more, without delivering what was held up.
    pub fn hold_nothing(&mut self) {
        self.holds = None;
    }

    /// Delivers what was held up, in order.
    pub fn release(&mut self) {
        self.holds = None;
        self.under_way.extend(std::mem::take(&mut self.held));
        self.deliver();
    }

    /// Delivers those of them for which something holds; the others are lost.
    pub fn release_if(&mut self, wanted: impl Fn(&CoordinatorMessage) -> bool) {
        self.held.retain(|(_, _, message)| wanted(message));
        self.release();
    }

    /// What is held up.
    pub fn held(&self) -> impl Iterator<Item = &CoordinatorMessage> {
        self.held.iter().map(|(_, _, message)| message)
    }

    /// A message from one machine reaches another one.
    pub fn send(&mut self, from: u8, to: u8, message: CoordinatorMessage) {
        self.under_way.push_back((from, to, message));
        self.deliver();
    }

    /// Time passes, with ticks.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            for number in self.numbers() {
                if self.machines[&number].frozen {
                    continue;
                }
                if self.machines[&number].refuses {
                    self.tell(number, Event::DiskDegraded { wants_checkpoint: false });
                }
                self.tell(number, Event::Tick);
            }
            self.deliver();
        }
    }

    /// Something happens at a machine, and all that follows at once.
    pub fn tell(&mut self, number: u8, event: Event) {
        let now = self.now;
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            let machine = self.machine(number);
            let Some(core) = machine.core.as_mut() else { return };
            core.handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send { to, message } => {
                        let to = to.address().octets()[3];
                        self.under_way.push_back((number, to, message));
                    }
                    Action::Persist { .. } if self.machines[&number].refuses => {}
                    Action::Persist { ticket, records } => {
                        let stored =
                            records.into_iter().map(|(stream, bytes)| StoredRecord { stream, bytes });
                        self.machine(number).stored.extend(stored);
                        events.push_back(Event::Persisted { ticket, wants_checkpoint: false });
                    }
                    other => self.machine(number).actions.push(other),
                }
            }
        }
    }

    fn deliver(&mut self) {
        for _ in 0..MOST_MESSAGES {
            let Some((from, to, message)) = self.under_way.pop_front() else { return };
            if self.cut.contains(&(from, to)) || !self.machines.contains_key(&to) {
                continue;
            }
            if self.holds.as_ref().is_some_and(|holds| holds(from, to, &message)) {
                self.held.push((from, to, message));
                continue;
            }
            self.arrive(to, Event::Message { from: node(from), message });
        }
        panic!("messages without end");
    }

    /// Something reaches a machine's sockets.
    fn arrive(&mut self, number: u8, event: Event) {
        if self.machine(number).frozen {
            self.machine(number).in_sockets.push(event);
        } else {
            self.tell(number, event);
        }
    }

    fn machine(&mut self, number: u8) -> &mut Machine {
        self.machines.get_mut(&number).expect("a machine of the group")
    }

    /// All machines.
    pub fn numbers(&self) -> Vec<u8> {
        self.machines.keys().copied().collect()
    }

    /// All machines but one.
    pub fn others(&self, number: u8) -> Vec<u8> {
        self.numbers().into_iter().filter(|other| *other != number).collect()
    }

    /// The decisions of a machine that runs.
    pub fn core(&self, number: u8) -> &Coordinator {
        self.machines[&number].core.as_ref().expect("it runs")
    }

    /// The machine that leads the configuration's shard, as far as it knows itself.
    pub fn leader(&self) -> u8 {
        self.leading_now().expect("there is a leader")
    }

    fn leading_now(&self) -> Option<u8> {
        let leads = |number: &u8| {
            let core = self.machines[number].core.as_ref()?;
            let replica = &core.shards().get(0)?.replica;
            replica.is_leader().then(|| replica.term())
        };
        let leaders = self.numbers().into_iter().filter_map(|number| Some((leads(&number)?, number)));
        leaders.max().map(|(_, number)| number)
    }

    /// Runs until something holds; false if it did not come about in time.
    pub fn run_until(&mut self, within: Millis, holds: impl Fn(&Group) -> bool) -> bool {
        let end = self.now + within;
        while !holds(self) {
            if self.now >= end {
                return false;
            }
            self.run(TICK);
        }
        true
    }

    fn call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    /// The operator calls a machine.
    pub fn operate(&mut self, number: u8, operator: OperatorCall) -> CallId {
        let call = self.call();
        self.arrive(number, Event::OperatorCall { call, request: operator });
        self.deliver();
        call
    }

    /// The operator brings a whole configuration.
    pub fn replace(&mut self, number: u8, base: u64, body: &str) -> CallId {
        let body = body.as_bytes().to_vec();
        self.operate(number, OperatorCall::Change { replace: true, base_version: base, body })
    }

    /// A machine's answer to the operator, if there is one.
    pub fn answer(&self, number: u8, call: CallId) -> Option<&OperatorResponse> {
        self.machines[&number].actions.iter().find_map(|action| match action {
            Action::RespondToOperator { call: answered, response: answer } if *answered == call => {
                Some(answer)
            }
            _ => None,
        })
    }

    /// An edge polls a machine.
    pub fn poll(&mut self, number: u8, edge: u8, request: PollRequest) -> CallId {
        let call = self.call();
        let edge = EdgeIdentity { node: node(edge), incarnation: Incarnation(1), zone: "a".to_owned() };
        self.arrive(number, Event::Poll { call, edge, request });
        self.deliver();
        call
    }

    /// A machine's answer to a poll, if there is one.
    pub fn reply(&self, number: u8, call: CallId) -> Option<&PollResponse> {
        self.machines[&number].actions.iter().find_map(|action| match action {
            Action::RespondToPoll { call: answered, response: reply } if *answered == call => Some(&**reply),
            _ => None,
        })
    }

    /// A server's heartbeat reaches a machine.
    pub fn heartbeat(&mut self, number: u8, id: &str, state: ServerState, sequence: u64) -> CallId {
        let call = self.call();
        let address = "10.0.2.1:8080".to_owned();
        let heartbeat =
            Heartbeat { service: "web".to_owned(), address, state, sequence, ..Heartbeat::default() };
        self.arrive(number, Event::Heartbeat { call, id: id.to_owned(), heartbeat });
        self.deliver();
        call
    }

    /// A server says to a machine that it is about to end.
    pub fn deregister(&mut self, number: u8, id: &str) -> CallId {
        let call = self.call();
        self.arrive(number, Event::Deregister { call, id: id.to_owned() });
        self.deliver();
        call
    }

    /// Whether a server's call was acknowledged, if it is answered.
    pub fn taken(&self, number: u8, call: CallId) -> Option<bool> {
        self.machines[&number].actions.iter().find_map(|action| match action {
            Action::RespondToServer { call: answered, accepted: taken } if *answered == call => Some(*taken),
            _ => None,
        })
    }

    /// How often a machine has noted something.
    pub fn notes(&self, number: u8, wanted: impl Fn(&StateChange) -> bool) -> usize {
        let noted = |action: &&Action| matches!(action, Action::LogStateChange(note) if wanted(note));
        self.machines[&number].actions.iter().filter(noted).count()
    }
}
