//! Several coordinators whose messages a test delivers immediately, delays or drops. Their journals survive restarts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shaletrail_coordinator::core::Coordinator;
use shaletrail_coordinator::interface::{Action, CallId, Event};
use shaletrail_protocol::external::ServerState;
use shaletrail_protocol::internal::{
    CoordinatorMessage, OperatorCall, OperatorResponse, PollRequest, PollResponse,
};
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_storage::StoredRecord;

use super::{
    configuration, coordinator_options, edge_identity, heartbeat, is_done, node, replace_call, responses,
    stored, START, TICK,
};

/// Longer than an election takes.
const ELECTION: Millis = 3_000;
/// Maximum number of messages delivered in one step, to detect an endless exchange of messages.
const MAX_MESSAGES: usize = 100_000;

/// A message with the numbers of its sender and its receiver.
#[derive(Clone, Debug)]
struct Envelope {
    from: u8,
    to: u8,
    message: CoordinatorMessage,
}

/// Selects messages by sender, receiver and content.
type MessageFilter = Box<dyn Fn(u8, u8, &CoordinatorMessage) -> bool>;

/// A machine with its journal and, if it is running, its process.
#[derive(Default)]
struct Machine {
    core: Option<Coordinator>,
    stored: Vec<StoredRecord>,
    actions: Vec<Action>,
    frozen: bool,
    /// Whether its disk rejects every write.
    rejects_writes: bool,
    /// Events that arrived while the process was frozen, as if buffered in its sockets.
    socket_backlog: Vec<Event>,
}

/// Several coordinators of one system, numbered from 1.
pub struct Cluster {
    /// The common clock of all coordinators.
    pub now: Millis,
    machines: BTreeMap<u8, Machine>,
    /// Pairs of sender and receiver whose messages are dropped.
    partitions: BTreeSet<(u8, u8)>,
    delay_filter: Option<MessageFilter>,
    delayed: Vec<Envelope>,
    in_flight: VecDeque<Envelope>,
    starts: u64,
    next_call: u64,
}

impl Cluster {
    /// Bootstraps coordinators and waits until they have a leader.
    pub fn with_leader(coordinators: u8) -> Self {
        let mut cluster = Cluster {
            now: START,
            machines: (1..=coordinators).map(|number| (number, Machine::default())).collect(),
            partitions: BTreeSet::new(),
            delay_filter: None,
            delayed: Vec::new(),
            in_flight: VecDeque::new(),
            starts: 0,
            next_call: 0,
        };
        (1..=coordinators).for_each(|number| cluster.start_as(number, true));
        cluster.run(ELECTION);
        cluster
    }

    /// Bootstraps coordinators and waits until all have applied version 1 of the configuration.
    pub fn configured(coordinators: u8) -> Self {
        let mut cluster = Cluster::with_leader(coordinators);
        let leader = cluster.leader();
        let call = cluster.replace_config(leader, 0, &configuration(1, "a.example"));
        cluster.run(500);
        assert!(is_done(cluster.operator_response(leader, call)));
        for number in cluster.numbers() {
            assert_eq!(cluster.core(number).configuration_version(), 1);
        }
        cluster
    }

    /// Starts the process of a machine with the records in its journal.
    pub fn start(&mut self, number: u8) {
        self.start_as(number, false);
    }

    fn start_as(&mut self, number: u8, bootstrap: bool) {
        self.starts += 1;
        let coordinators = self.machines.len() as u8;
        let seeds: Vec<NodeId> = (1..=coordinators).map(node).collect();
        let hosts_lost = usize::from(coordinators / 2);
        let incarnation = Incarnation(70 + self.starts);
        let options = coordinator_options(node(number), &seeds, bootstrap, hosts_lost, incarnation);
        let now = self.now;
        let machine = self.machine(number);
        machine.core = Some(Coordinator::new(options, machine.stored.clone(), now));
    }

    /// Kills the process of a machine. Its journal is kept.
    pub fn kill(&mut self, number: u8) {
        let machine = self.machine(number);
        (machine.core, machine.frozen) = (None, false);
        machine.socket_backlog.clear();
    }

    /// Pauses the process of a machine. Arriving events are buffered.
    pub fn freeze(&mut self, number: u8) {
        self.machine(number).frozen = true;
    }

    /// Resumes the process of a machine, which then handles the buffered events.
    pub fn thaw(&mut self, number: u8) {
        self.machine(number).frozen = false;
        for event in std::mem::take(&mut self.machine(number).socket_backlog) {
            self.handle(number, event);
        }
        self.deliver();
    }

    /// Makes the disk of a machine reject every write.
    pub fn reject_writes(&mut self, number: u8) {
        self.machine(number).rejects_writes = true;
    }

    /// Drops messages from one machine to another from now on.
    pub fn partition_one_way(&mut self, from: u8, to: u8) {
        self.partitions.insert((from, to));
    }

    /// Drops messages between two machines, in both directions, from now on.
    pub fn partition(&mut self, one: u8, other: u8) {
        self.partition_one_way(one, other);
        self.partition_one_way(other, one);
    }

    /// Ends the partition between two machines.
    pub fn heal(&mut self, one: u8, other: u8) {
        self.partitions.remove(&(one, other));
        self.partitions.remove(&(other, one));
    }

    /// Drops messages between a machine and all others from now on.
    pub fn isolate(&mut self, number: u8) {
        self.others(number).into_iter().for_each(|other| self.partition(number, other));
    }

    /// Ends the isolation of a machine.
    pub fn reconnect(&mut self, number: u8) {
        self.others(number).into_iter().for_each(|other| self.heal(number, other));
    }

    /// Delays messages that satisfy a filter, until they are delivered explicitly.
    pub fn delay_messages(&mut self, filter: impl Fn(u8, u8, &CoordinatorMessage) -> bool + 'static) {
        self.delay_filter = Some(Box::new(filter));
    }

    /// Stops delaying messages, without delivering those that are delayed.
    pub fn stop_delaying(&mut self) {
        self.delay_filter = None;
    }

    /// Delivers the delayed messages in order, and stops delaying messages.
    pub fn deliver_delayed(&mut self) {
        self.delay_filter = None;
        self.in_flight.extend(std::mem::take(&mut self.delayed));
        self.deliver();
    }

    /// Delivers the delayed messages that satisfy a predicate, drops the others, and stops delaying messages.
    pub fn deliver_delayed_if(&mut self, predicate: impl Fn(&CoordinatorMessage) -> bool) {
        self.delayed.retain(|envelope| predicate(&envelope.message));
        self.deliver_delayed();
    }

    pub fn delayed(&self) -> impl Iterator<Item = &CoordinatorMessage> {
        self.delayed.iter().map(|envelope| &envelope.message)
    }

    /// Delivers a message constructed by a test.
    pub fn send(&mut self, from: u8, to: u8, message: CoordinatorMessage) {
        self.in_flight.push_back(Envelope { from, to, message });
        self.deliver();
    }

    /// Advances the clock, with ticks of all machines.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            for number in self.numbers() {
                if self.machines[&number].frozen {
                    continue;
                }
                if self.machines[&number].rejects_writes {
                    self.handle(number, Event::DiskDegraded { wants_checkpoint: false });
                }
                self.handle(number, Event::Tick);
            }
            self.deliver();
        }
    }

    /// Handles an event at a machine, and the completed syncs that result from it.
    fn handle(&mut self, number: u8, event: Event) {
        let now = self.now;
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            let Some(core) = self.machine(number).core.as_mut() else { return };
            core.handle(now, event, &mut actions);
            for action in actions {
                events.extend(self.execute(number, action));
            }
        }
    }

    /// Executes an action and returns the resulting event, if any.
    fn execute(&mut self, number: u8, action: Action) -> Option<Event> {
        match action {
            Action::Send { to, message } => {
                let to = to.address().octets()[3];
                self.in_flight.push_back(Envelope { from: number, to, message });
                None
            }
            Action::Persist { .. } if self.machines[&number].rejects_writes => None,
            Action::Persist { ticket, records } => {
                self.machine(number).stored.extend(stored(records));
                Some(Event::Persisted { ticket, wants_checkpoint: false })
            }
            other => {
                self.machine(number).actions.push(other);
                None
            }
        }
    }

    fn deliver(&mut self) {
        for _ in 0..MAX_MESSAGES {
            let Some(envelope) = self.in_flight.pop_front() else { return };
            let Envelope { from, to, message } = &envelope;
            if self.partitions.contains(&(*from, *to)) || !self.machines.contains_key(to) {
                continue;
            }
            if self.delay_filter.as_ref().is_some_and(|is_delayed| is_delayed(*from, *to, message)) {
                self.delayed.push(envelope);
                continue;
            }
            self.deliver_event(
                envelope.to,
                Event::Message { from: node(envelope.from), message: envelope.message },
            );
        }
        panic!("the exchange of messages does not end");
    }

    /// Passes an event to a machine, or buffers it while the machine is frozen.
    fn deliver_event(&mut self, number: u8, event: Event) {
        if self.machine(number).frozen {
            self.machine(number).socket_backlog.push(event);
        } else {
            self.handle(number, event);
        }
    }

    fn machine(&mut self, number: u8) -> &mut Machine {
        self.machines.get_mut(&number).expect("the machine exists")
    }

    pub fn numbers(&self) -> Vec<u8> {
        self.machines.keys().copied().collect()
    }

    /// Returns all machines except one.
    pub fn others(&self, number: u8) -> Vec<u8> {
        self.numbers().into_iter().filter(|other| *other != number).collect()
    }

    /// Returns a machine that does not lead the configuration's shard.
    pub fn follower(&self) -> u8 {
        self.others(self.leader())[0]
    }

    /// Returns the state machine of a running process.
    pub fn core(&self, number: u8) -> &Coordinator {
        self.machines[&number].core.as_ref().expect("the process is running")
    }

    /// Returns the machine that leads the configuration's shard in the highest term.
    pub fn leader(&self) -> u8 {
        let term = |number: &u8| {
            let core = self.machines[number].core.as_ref()?;
            let replica = &core.shards().get(0)?.replica;
            replica.is_leader().then(|| replica.term())
        };
        let leaders = self.numbers().into_iter().filter_map(|number| Some((term(&number)?, number)));
        leaders.max().map(|(_, number)| number).expect("there is a leader")
    }

    /// Advances the clock until a predicate holds. Returns `false` if it does not hold in time.
    pub fn run_until(&mut self, within: Millis, predicate: impl Fn(&Cluster) -> bool) -> bool {
        let end = self.now + within;
        while !predicate(self) {
            if self.now >= end {
                return false;
            }
            self.run(TICK);
        }
        true
    }

    fn new_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    /// Sends a call of the operator to a machine.
    pub fn operator_call(&mut self, number: u8, request: OperatorCall) -> CallId {
        let call = self.new_call();
        self.deliver_event(number, Event::OperatorCall { call, request });
        self.deliver();
        call
    }

    /// Sends a call of the operator that replaces the configuration.
    pub fn replace_config(&mut self, number: u8, base_version: u64, body: &str) -> CallId {
        self.operator_call(number, replace_call(base_version, body))
    }

    /// Returns a machine's response to the operator, if there is one.
    pub fn operator_response(&self, number: u8, call: CallId) -> Option<&OperatorResponse> {
        responses::operator_response(&self.machines[&number].actions, call)
    }

    /// Sends a poll of an edge to a machine.
    pub fn poll(&mut self, number: u8, edge: u8, request: PollRequest) -> CallId {
        let call = self.new_call();
        self.deliver_event(number, Event::Poll { call, edge: edge_identity(edge), request });
        self.deliver();
        call
    }

    /// Returns a machine's response to a poll, if there is one.
    pub fn poll_response(&self, number: u8, call: CallId) -> Option<&PollResponse> {
        responses::poll_response(&self.machines[&number].actions, call)
    }

    /// Sends a heartbeat of a server to a machine.
    pub fn heartbeat(&mut self, number: u8, id: &str, state: ServerState, sequence: u64) -> CallId {
        let call = self.new_call();
        let heartbeat = heartbeat(state, sequence);
        self.deliver_event(number, Event::Heartbeat { call, id: id.to_owned(), heartbeat });
        self.deliver();
        call
    }

    /// Deregisters a server at a machine.
    pub fn deregister(&mut self, number: u8, id: &str) -> CallId {
        let call = self.new_call();
        self.deliver_event(number, Event::Deregister { call, id: id.to_owned() });
        self.deliver();
        call
    }

    /// Returns whether a call of a server was acknowledged; `None` if it is not answered yet.
    pub fn server_response(&self, number: u8, call: CallId) -> Option<bool> {
        responses::server_response(&self.machines[&number].actions, call)
    }
}
