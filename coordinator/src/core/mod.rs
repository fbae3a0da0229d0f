//! Every decision of a coordinator, as a sans-IO state machine.
//!
//! Wanted state and reconcile loops: what heartbeats, operators and edges want is kept by the parts (shards,
//! directory, planners), and each event ends with [`Core::settle`], which works out what is still to be done and
//! answers whoever waits for what has come about.

pub mod demand;
pub mod memory;
pub mod operator;
pub mod orders;
pub mod polls;
pub mod service_state;
pub mod shards;
pub mod voters;

use std::collections::HashMap;

use shaletrail_cluster::directory::{self, CallToken, Directory, DirectoryMessage, Settlement};
use shaletrail_cluster::{membership, Membership};
use shaletrail_configuration::{Change, Judgement};
use shaletrail_protocol::inside::{
    CoreMessage, Demand, EdgeIdentity, MemberState, Observation, OperatorAnswer, OperatorCall, PollReply,
    PollRequest,
};
use shaletrail_protocol::outside::Heartbeat;
use shaletrail_protocol::{Millis, NodeId, ServerId};
use shaletrail_storage::Stored;

use crate::interface::{Action, CallId, CoreOptions, Event, Note, OrderId};
use demand::{Edges, Gathered};
use memory::DirectoryMemory;
use operator::{Caller, OperatorCalls, Stage, Ticket};
use orders::Holders;
use polls::{Polls, Waiting};
use shards::{Done, Shards, CONFIGURATION};
use voters::Candidate;

/// A node that has not heard from a majority of the voters for so long is out of touch: its edges poll another.
const OUT_OF_TOUCH: Millis = 600;
/// Between two looks at who should vote.
const VOTERS_EVERY: Millis = 200;
/// Between two messages that carry demand to the holders of orders.
const DEMAND_EVERY: Millis = 250;
/// The same where requests wait for a model or an adapter.
const URGENT_DEMAND_EVERY: Millis = 30;
/// A disk that was found sick counts as such for so long after it last showed it.
const SICK_FOR: Millis = 1_500;
/// Calls of servers that wait for a majority at once, at most.
const MOST_SERVER_CALLS: usize = 1_024;

/// A coordinator's decisions.
pub struct Core {
    options: CoreOptions,
    membership: Membership,
    directory: Directory,
    directory_memory: DirectoryMemory,
    shards: Shards,
    operator_calls: OperatorCalls,
    server_calls: HashMap<CallToken, CallId>,
    polls: Polls,
    edges: Edges,
    gathered: Gathered,
    holders: Holders,
    in_touch: bool,
    sick_until: Millis,
    next_voters: Millis,
    next_demand: Millis,
    last_demand: Millis,
    told_version: u64,
    /// Notes of the start, handed out with the first event.
    first_actions: Vec<Action>,
}

impl Core {
    /// A coordinator with what its disk held.
    pub fn new(options: CoreOptions, mut stored: Vec<Stored>, now: Millis) -> Self {
        let mut first_actions = Vec::new();
        let remembered = DirectoryMemory::take_from(&mut stored);
        let shards = Shards::new(&options, stored, now, &mut first_actions);
        let membership_options = membership::Options::default();
        let membership =
            Membership::new(membership_options, options.node, options.incarnation, &options.seeds, now);
        let heartbeat = options.heartbeat.as_millis() as Millis;
        let directory_options = directory::Options::for_heartbeat(heartbeat);
        let mut directory = Directory::new(directory_options, options.node, options.incarnation, now);
        directory.restore(now, remembered);
        let holders = Holders::new(&options);
        Core {
            membership,
            directory,
            directory_memory: DirectoryMemory::default(),
            shards,
            operator_calls: OperatorCalls::new(options.incarnation),
            server_calls: HashMap::new(),
            polls: Polls::default(),
            edges: Edges::new(options.retry_window.as_millis() as Millis, now),
            gathered: Gathered::default(),
            holders,
            in_touch: false,
            sick_until: 0,
            next_voters: now,
            next_demand: now,
            last_demand: now,
            told_version: 0,
            first_actions,
            options,
        }
    }

    /// Takes an event and says what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        actions.append(&mut self.first_actions);
        match event {
            Event::Tick => self.tick(now),
            Event::Message { from, message } => self.receive(now, from, message, actions),
            Event::Stored { ticket, wants_checkpoint } => {
                self.shards.stored(now, ticket);
                self.checkpoint_if(wants_checkpoint, actions);
            }
            Event::DiskSick { wants_checkpoint } => {
                self.on_disk_sick(now);
                self.checkpoint_if(wants_checkpoint, actions);
            }
            Event::Heartbeat { call, id, heartbeat } => self.heartbeat(now, call, id, heartbeat, actions),
            Event::Deregister { call, id } => {
                let token = self.directory.deregister(now, &id);
                self.wait_for_majority(call, token, actions);
            }
            Event::Operator { call, operator } => self.operate(now, Caller::Here(call), operator, actions),
            Event::Poll { call, edge, request } => self.poll(now, call, edge, request),
            Event::PollLeft(call) => self.polls.remove(call),
            Event::EdgeReport { edge, demand } => self.gather(edge, demand, Vec::new()),
            Event::EdgeLeft(node) => self.edges.left(node),
            Event::Ordered { order, outcome } => self.holders.ordered(now, order, outcome),
            Event::Reported { server, report } => self.holders.reported(now, &server, report),
            Event::Stopping => self.hand_over(now),
            Event::Seeds(seeds) => self.membership.add_seeds(&seeds),
        }
        self.settle(now, actions);
    }

    /// Nodes that take part as far as this one knows, itself included.
    pub fn coordinators(&self) -> Vec<NodeId> {
        let mut nodes = self.membership.alive();
        if !nodes.contains(&self.options.node) {
            nodes.push(self.options.node);
        }
        nodes
    }

    /// The configuration in force here.
    pub fn configuration_version(&self) -> u64 {
        self.shards.configuration().version()
    }

    /// The shards at this node.
    pub fn shards(&self) -> &Shards {
        &self.shards
    }

    /// The directory of servers at this node.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Whether an order may be written to its server now; to be asked as the last thing before its bytes go out.
    pub fn may_write(&self, now: Millis, order: OrderId) -> bool {
        self.holders.may_write(now, order, &self.shards)
    }

    /// Whether this node reaches a majority of the voters.
    pub fn is_in_touch(&self) -> bool {
        self.in_touch
    }

    fn tick(&mut self, now: Millis) {
        self.membership.tick(now);
        self.directory.tick(now);
        self.shards.tick(now);
        self.edges.tick(now);
    }

    fn receive(&mut self, now: Millis, from: NodeId, message: CoreMessage, actions: &mut Vec<Action>) {
        match message {
            CoreMessage::Membership(message) => self.membership.receive(now, from, message),
            CoreMessage::Shard { shard, body } => self.shards.receive(now, from, shard, &body),
            CoreMessage::Directory { body } => self.receive_directory(now, from, &body, actions),
            CoreMessage::DirectoryAck { batch } => self.directory.acknowledge(now, from, batch),
            CoreMessage::Forward { call, change } => {
                self.operate(now, Caller::Node { node: from, call }, change, actions)
            }
            CoreMessage::Forwarded { call, answer } => self.forwarded(from, Ticket(call), answer, actions),
            CoreMessage::Demand { edges, reports, .. } => {
                self.edges.told(edges, now);
                self.holders.demand(now, &reports);
            }
        }
    }

    fn receive_directory(&mut self, now: Millis, from: NodeId, body: &[u8], actions: &mut Vec<Action>) {
        match bitcode::decode(body) {
            Ok(DirectoryMessage::Batch { batch, records }) => {
                let batch = self.directory.merge(now, from, batch, records);
                actions.push(Action::Send { to: from, message: CoreMessage::DirectoryAck { batch } });
            }
            Ok(DirectoryMessage::Digest { servers }) => self.directory.receive_digest(now, from, servers),
            Ok(DirectoryMessage::Ask { servers }) => self.directory.receive_ask(now, from, servers),
            Err(_) => {}
        }
    }

    fn heartbeat(
        &mut self,
        now: Millis,
        call: CallId,
        id: ServerId,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        match self.directory.heartbeat(now, &id, heartbeat).call {
            Some(token) => self.wait_for_majority(call, token, actions),
            None => actions.push(Action::AnswerServer { call, taken: true }),
        }
    }

    fn wait_for_majority(&mut self, call: CallId, token: CallToken, actions: &mut Vec<Action>) {
        self.directory_memory.hurry();
        if self.server_calls.len() >= MOST_SERVER_CALLS {
            actions.push(Action::AnswerServer { call, taken: false });
        } else {
            self.server_calls.insert(token, call);
        }
    }

    fn poll(&mut self, now: Millis, call: CallId, edge: EdgeIdentity, request: PollRequest) {
        self.edges.polled(edge.node, now);
        self.gather(edge.node, request.demand, request.observed);
        let due = now + Millis::from(request.hold_ms);
        let poll = Waiting {
            edge: edge.node,
            config_version: request.config_version,
            cursor: request.cursor,
            edge_list: request.edge_list,
            due,
        };
        self.polls.add(now, call, poll);
    }

    /// Takes over what an edge reports. Requests that wait for a model are told to the holders of orders soon.
    fn gather(&mut self, edge: NodeId, demand: Vec<Demand>, observed: Vec<Observation>) {
        if demand.iter().any(|demand| demand.waiting > 0) {
            self.next_demand = self.next_demand.min(self.last_demand + URGENT_DEMAND_EVERY);
        }
        self.gathered.add(edge, demand, observed);
    }

    /// The disk does not make records safe: whoever can, should lead.
    fn on_disk_sick(&mut self, now: Millis) {
        self.sick_until = now + SICK_FOR;
        // The configuration cannot change without a disk. Orders can go on: their right rests on heartbeats, and another
        // holder would have to wait for the lease.
        let replica = self.shards.configuration_replica();
        if replica.is_leader() {
            replica.hand_over(now);
        }
    }

    /// Lets other voters lead.
    fn hand_over(&mut self, now: Millis) {
        for shard in self.shards.numbers() {
            if let Some(replica) = self.shards.replica_mut(shard).filter(|replica| replica.is_leader()) {
                replica.hand_over(now);
            }
        }
    }

    fn checkpoint_if(&mut self, wanted: bool, actions: &mut Vec<Action>) {
        if wanted {
            let live =
                self.shards.live_records().into_iter().chain(self.directory_memory.live_record()).collect();
            actions.push(Action::Checkpoint { live });
        }
    }

    // ---- The operator ----------------------------------------------------------------------------------

    fn operate(&mut self, now: Millis, caller: Caller, call: OperatorCall, actions: &mut Vec<Action>) {
        if let OperatorCall::Change { whole, base, body } = &call {
            if let Err(invalid) = Change::parse(*whole, *base, body) {
                let answer = OperatorAnswer::Invalid { reason: invalid.to_string() };
                return answer_caller(caller, answer, actions);
            }
        }
        if self.operator_calls.add(now, caller, call).is_none() {
            answer_caller(caller, OperatorAnswer::Unavailable, actions);
        }
    }

    /// Brings calls that wait to the leader of the configuration's shard.
    fn advance_calls(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let leader = self.shards.configuration_replica().leader();
        self.operator_calls.start_over(|stage| match stage {
            Stage::Forwarded(node) => leader.is_some_and(|leader| leader != node),
            _ => false,
        });
        for ticket in self.operator_calls.find(|pending| pending.stage == Stage::Waiting) {
            let Some(pending) = self.operator_calls.get_mut(ticket) else { continue };
            let replica = self.shards.configuration_replica();
            if replica.is_leader() {
                if let Some(stage) = begin(replica, now, ticket, &pending.call) {
                    pending.stage = stage;
                }
            } else if let (Some(leader), Caller::Here(_)) = (leader, pending.caller) {
                let forward = CoreMessage::Forward { call: ticket.0, change: pending.call.clone() };
                actions.push(Action::Send { to: leader, message: forward });
                pending.stage = Stage::Forwarded(leader);
            }
        }
        for ticket in self.operator_calls.find(|pending| pending.until <= now) {
            self.end_call(ticket, OperatorAnswer::Unavailable, actions);
        }
    }

    fn forwarded(&mut self, from: NodeId, ticket: Ticket, answer: OperatorAnswer, actions: &mut Vec<Action>) {
        let Some(pending) = self.operator_calls.get_mut(ticket) else { return };
        if pending.stage != Stage::Forwarded(from) {
            return;
        }
        self.end_call(ticket, answer, actions);
    }

    fn end_call(&mut self, ticket: Ticket, answer: OperatorAnswer, actions: &mut Vec<Action>) {
        if let Some(pending) = self.operator_calls.remove(ticket) {
            answer_caller(pending.caller, answer, actions);
        }
    }

    fn judged(&mut self, index: u64, term: u64, judgement: Judgement, actions: &mut Vec<Action>) {
        let concerned = self.operator_calls.find(|pending| match pending.stage {
            Stage::Proposed { index: own, .. } => own == index,
            _ => false,
        });
        for ticket in concerned {
            let Some(pending) = self.operator_calls.get_mut(ticket) else { continue };
            if pending.stage == (Stage::Proposed { index, term }) {
                self.end_call(ticket, answer_of(&judgement), actions);
            } else {
                // Another leader's entry took the place: the proposal is lost.
                pending.stage = Stage::Waiting;
            }
        }
    }

    fn read_done(&mut self, token: u64, confirmed: bool, actions: &mut Vec<Action>) {
        let ticket = Ticket(token);
        if confirmed {
            let body = self.shards.configuration().read();
            self.end_call(ticket, OperatorAnswer::Done { body }, actions);
        } else if let Some(pending) = self.operator_calls.get_mut(ticket) {
            pending.stage = Stage::Waiting;
        }
    }

    // ---- What each event ends with ---------------------------------------------------------------------

    fn settle(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.update_touch(now, actions);
        self.update_members(now);
        self.update_voters(now, actions);
        self.advance_calls(now, actions);
        self.run_shards(now, actions);
        self.send_from_parts(actions);
        self.answer_servers(actions);
        self.share_demand(now, actions);
        self.place(now, actions);
        self.run_shards(now, actions);
        if let Some(record) = self.directory_memory.due(now, &self.directory) {
            self.shards.store_beside(memory::STREAM, record, actions);
        }
        self.answer_polls(now, actions);
    }

    fn run_shards(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for done in self.shards.pump(actions) {
            match done {
                Done::Judged { index, term, judgement } => self.judged(index, term, judgement, actions),
                Done::Installed => {}
                Done::Turn { shard, turn } => {
                    let leads = self.shards.get(shard).map(|shard| &shard.replica);
                    let leads = leads
                        .is_some_and(|replica| replica.is_leader() && replica.term() == turn.holder.fence);
                    if self.holders.turn(now, shard, turn, leads) {
                        actions.push(Action::Note(Note::Holding { shard, fence: turn.holder.fence }));
                    }
                }
                Done::ReadReady { token } => self.read_done(token, true, actions),
                Done::ReadFailed { token } => self.read_done(token, false, actions),
                Done::Elected { shard, term } => {
                    actions.push(Action::Note(Note::Leading { shard, term }));
                    if now < self.sick_until && shard == CONFIGURATION {
                        if let Some(replica) = self.shards.replica_mut(shard) {
                            replica.hand_over(now);
                        }
                    }
                    self.holders.elected(now, shard, term);
                }
                Done::Deposed { shard, term } => {
                    actions.push(Action::Note(Note::Deposed { shard, term }));
                    self.holders.deposed(shard);
                    if shard == CONFIGURATION {
                        let rests = |stage| matches!(stage, Stage::Proposed { .. } | Stage::Reading);
                        self.operator_calls.start_over(rests);
                    }
                }
            }
        }
        let version = self.configuration_version();
        if version != self.told_version {
            self.told_version = version;
            self.holders.configured(self.shards.configuration().view());
            actions.push(Action::Note(Note::Configuration { version }));
        }
    }

    fn update_touch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let voters: Vec<NodeId> = self.shards.configuration_replica().voters().members().collect();
        let in_touch = !voters.is_empty() && self.membership.answers_majority(now, &voters, OUT_OF_TOUCH);
        if in_touch != self.in_touch {
            self.in_touch = in_touch;
            actions.push(Action::Note(Note::InTouch(in_touch)));
        }
        self.directory.set_in_touch(now, in_touch);
        self.membership.watch(&voters);
        self.directory.set_voters(&voters);
    }

    fn update_members(&mut self, now: Millis) {
        let changed = self.membership.take_changed();
        if changed.is_empty() {
            return;
        }
        let members = self.membership.members();
        let peers: Vec<NodeId> = members.iter().map(|member| member.node).collect();
        self.directory.set_peers(now, &peers);
        for member in members.iter().filter(|member| changed.contains(&member.node)) {
            self.directory.peer_started(now, member.node, member.incarnation);
        }
    }

    /// Compares who votes with who should, shard by shard, where this node leads.
    fn update_voters(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.next_voters {
            return;
        }
        self.next_voters = now + VOTERS_EVERY;
        let size = voters::group_size(self.options.hosts_lost);
        let members: Vec<(NodeId, MemberState)> =
            self.membership.members().iter().map(|member| (member.node, member.state)).collect();
        for shard in self.shards.numbers() {
            let Some(replica) = self.shards.replica_mut(shard).filter(|replica| replica.is_leader()) else {
                continue;
            };
            let present: Vec<NodeId> = replica.voters().members().collect();
            // Newcomers are brought up to date first.
            for (node, state) in &members {
                if *state == MemberState::Alive && !present.contains(node) {
                    let _ = replica.add_learner(*node);
                }
            }
            for learner in replica.learners() {
                let there =
                    members.iter().any(|(node, state)| *node == learner && *state != MemberState::Absent);
                if !there {
                    replica.remove_learner(learner);
                }
            }
            if replica.is_changing_voters() {
                continue;
            }
            let candidate = |node: NodeId, state: MemberState| Candidate {
                node,
                absent: state == MemberState::Absent,
                caught_up: replica
                    .peer(node)
                    .is_some_and(|peer| peer.counts && peer.matched >= replica.commit_index()),
            };
            let candidates: Vec<Candidate> =
                members.iter().map(|(node, state)| candidate(*node, *state)).collect();
            if let Some(wanted) = voters::wanted(&present, &candidates, size) {
                if replica.change_voters(now, wanted.clone()).is_ok() {
                    actions.push(Action::Note(Note::Voters { shard, wanted }));
                }
            }
        }
    }

    fn send_from_parts(&mut self, actions: &mut Vec<Action>) {
        for (to, message) in self.membership.take_sends() {
            actions.push(Action::Send { to, message: CoreMessage::Membership(message) });
        }
        for (to, message) in self.directory.take_sends() {
            let body = bitcode::encode(&message);
            actions.push(Action::Send { to, message: CoreMessage::Directory { body } });
        }
    }

    fn answer_servers(&mut self, actions: &mut Vec<Action>) {
        for settlement in self.directory.take_settled() {
            let (token, taken) = match settlement {
                Settlement::Settled(token) => (token, true),
                Settlement::Failed(token) => (token, false),
            };
            if let Some(call) = self.server_calls.remove(&token) {
                actions.push(Action::AnswerServer { call, taken });
            }
        }
    }

    fn place(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.holders.plan(now, &mut self.shards, &mut self.directory, actions);
        self.send_from_parts(actions);
    }

    /// Sends what edges reported here to the nodes that lead the service shards.
    fn share_demand(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.next_demand {
            return;
        }
        self.next_demand = now + DEMAND_EVERY;
        let span = now.saturating_sub(self.last_demand).max(1);
        self.last_demand = now;
        let reports = self.gathered.take();
        self.holders.demand(now, &reports);
        let edges = self.edges.own();
        if edges.is_empty() && reports.is_empty() {
            return;
        }
        let span_ms = span as u32;
        for to in self.coordinators().into_iter().filter(|node| *node != self.options.node) {
            let message = CoreMessage::Demand { span_ms, edges: edges.clone(), reports: reports.clone() };
            actions.push(Action::Send { to, message });
        }
    }

    fn answer_polls(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let version = self.configuration_version();
        let cursor = self.directory.cursor();
        let in_touch = self.in_touch;
        let due = |poll: &Waiting| {
            poll.due <= now || !in_touch || poll.config_version < version || poll.cursor != cursor
        };
        for (call, poll) in self.polls.take(due) {
            let reply = Box::new(self.reply_to(now, &poll));
            actions.push(Action::AnswerPoll { call, reply });
        }
    }

    fn reply_to(&self, now: Millis, poll: &Waiting) -> PollReply {
        // Out of touch, what this node knows may be out of date: the edge asks another, and keeps what it has. One
        // that has just started and knows nothing serves by this until it has found another.
        if !self.in_touch && poll.config_version > 0 {
            return PollReply {
                cursor: poll.cursor,
                coordinators: self.coordinators(),
                isolated: true,
                ..PollReply::default()
            };
        }
        let news = self.directory.since(poll.cursor);
        let edges = self.edges.list();
        let edge_list = demand::list_name(&edges);
        PollReply {
            config: self.shards.configuration().news_since(poll.config_version),
            servers: news.records,
            // A young node has not heard of all servers: what it doesn't know may be there all the same.
            whole: news.whole && self.in_touch && !self.directory.is_young(now),
            cursor: news.cursor,
            coordinators: self.coordinators(),
            edges: self.edges.sharing(now),
            edge_nodes: (edge_list != poll.edge_list).then_some(edges),
            edge_list,
            isolated: !self.in_touch,
        }
    }
}

/// Starts a call at the leader; `None` if it must wait.
fn begin(
    replica: &mut shaletrail_consensus::Replica,
    now: Millis,
    ticket: Ticket,
    call: &OperatorCall,
) -> Option<Stage> {
    match call {
        OperatorCall::Read => replica.read(now, ticket.0).ok().map(|()| Stage::Reading),
        OperatorCall::Change { whole, base, body } => {
            let change = Change::parse(*whole, *base, body).ok()?;
            let term = replica.term();
            let index = replica.propose(now, change.encode()).ok()?;
            Some(Stage::Proposed { index, term })
        }
    }
}

fn answer_of(judgement: &Judgement) -> OperatorAnswer {
    match judgement {
        Judgement::Apply | Judgement::Repeated => OperatorAnswer::Done { body: b"{}".to_vec() },
        Judgement::Forgotten => OperatorAnswer::Unavailable,
        Judgement::Conflict { current } => OperatorAnswer::Conflict { current: *current },
        Judgement::Invalid(invalid) => OperatorAnswer::Invalid { reason: invalid.to_string() },
    }
}

fn answer_caller(caller: Caller, answer: OperatorAnswer, actions: &mut Vec<Action>) {
    match caller {
        Caller::Here(call) => actions.push(Action::AnswerOperator { call, answer }),
        Caller::Node { node, call } => {
            actions.push(Action::Send { to: node, message: CoreMessage::Forwarded { call, answer } })
        }
    }
}
