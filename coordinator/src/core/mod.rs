//! Every decision of a coordinator, as a sans-IO state machine.
//!
//! Wanted state and reconcile loops: what heartbeats, operators and edges want is kept by the parts (shards,
//! directory, planners), and each event ends with [`Coordinator::settle`], which works out what is still to be done and
//! answers whoever waits for what has come about.

pub mod demand;
mod disk;
pub mod memory;
pub mod operator;
pub mod orders;
pub mod polls;
mod progress;
mod servers;
pub mod service_state;
pub mod shards;
mod touch;
pub mod voters;

use std::collections::HashMap;

use shaletrail_cluster::directory::{self, CallToken, Directory};
use shaletrail_cluster::{membership, Membership};
use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_storage::StoredRecord;

use crate::interface::{Action, CallId, CoordinatorOptions, Event, OrderId};
use demand::{AggregatedDemand, DemandBroadcastSchedule, Edges};
use memory::DirectoryMemory;
use operator::{Caller, OperatorCalls, Ticket};
use orders::OrderLeases;
use polls::PendingPolls;
use shards::Shards;
use touch::PeerVersions;

/// A coordinator's decisions.
pub struct Coordinator {
    options: CoordinatorOptions,
    membership: Membership,
    directory: Directory,
    directory_memory: DirectoryMemory,
    shards: Shards,
    operator_calls: OperatorCalls,
    /// Calls of servers that wait until a majority knows what they say.
    server_calls: HashMap<CallToken, CallId>,
    polls: PendingPolls,
    edges: Edges,
    gathered: AggregatedDemand,
    sharing_times: DemandBroadcastSchedule,
    holders: OrderLeases,
    /// Whether a majority of the configuration's voters has answered this node of late.
    in_touch: bool,
    /// Whether that has ever been so since the start.
    was_in_touch: bool,
    versions_elsewhere: PeerVersions,
    /// The disk counts as sick until then.
    sick_until: Millis,
    /// When the voters are looked at next.
    next_voter_review: Millis,
    /// The version in force that the holders of orders and the log were last told of.
    announced_version: u64,
    /// Notes of the start, handed out with the first event.
    startup_actions: Vec<Action>,
}

impl Coordinator {
    /// A coordinator with what its disk held.
    pub fn new(options: CoordinatorOptions, mut stored: Vec<StoredRecord>, now: Millis) -> Self {
        let mut startup_actions = Vec::new();
        let remembered = DirectoryMemory::take_from(&mut stored);
        let shards = Shards::new(&options, stored, now, &mut startup_actions);
        let membership_options = membership::Options::default();
        let membership =
            Membership::new(membership_options, options.node, options.incarnation, &options.seeds, now);
        let heartbeat = options.heartbeat.as_millis() as Millis;
        let directory_options = directory::Options::for_heartbeat(heartbeat);
        let mut directory = Directory::new(directory_options, options.node, options.incarnation, now);
        directory.restore(now, remembered);
        let holders = OrderLeases::new(&options);
        Coordinator {
            membership,
            directory,
            directory_memory: DirectoryMemory::default(),
            shards,
            operator_calls: OperatorCalls::of_start(options.incarnation),
            server_calls: HashMap::new(),
            polls: PendingPolls::default(),
            edges: Edges::new(options.retry_window.as_millis() as Millis, now),
            gathered: AggregatedDemand::default(),
            sharing_times: DemandBroadcastSchedule::new(now),
            holders,
            in_touch: false,
            was_in_touch: false,
            versions_elsewhere: PeerVersions::default(),
            sick_until: 0,
            next_voter_review: now,
            announced_version: 0,
            startup_actions,
            options,
        }
    }

    /// Takes an event and says what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        actions.append(&mut self.startup_actions);
        match event {
            Event::Tick => self.tick(now),
            Event::Message { from, message } => self.receive(now, from, message, actions),
            Event::Persisted { ticket, wants_checkpoint } => {
                self.shards.stored(now, ticket);
                self.checkpoint_if(wants_checkpoint, actions);
            }
            Event::DiskDegraded { wants_checkpoint } => {
                self.on_disk_sick(now);
                self.checkpoint_if(wants_checkpoint, actions);
            }
            Event::Heartbeat { call, id, heartbeat } => self.heartbeat(now, call, id, heartbeat, actions),
            Event::Deregister { call, id } => self.deregister(now, call, id),
            Event::Operator { call, operator } => self.operate(now, Caller::Here(call), operator, actions),
            Event::Poll { call, edge, request } => self.poll(now, call, edge, request),
            Event::PollCancelled(call) => drop(self.polls.remove(call)),
            Event::EdgeReport { edge, demand } => self.gather(edge, demand, Vec::new()),
            Event::EdgeDisconnected(node) => self.edges.left(node),
            Event::OrderCompleted { order, outcome } => self.holders.ordered(now, order, outcome),
            Event::ReportReceived { server, report } => self.holders.reported(now, &server, report),
            Event::ShutdownRequested => {
                self.transfer_leadership(now);
                self.membership.leave(now);
            }
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
    pub fn has_quorum_contact(&self) -> bool {
        self.in_touch
    }

    fn tick(&mut self, now: Millis) {
        self.membership.tick(now);
        self.directory.tick(now);
        self.shards.tick(now);
        self.edges.tick(now);
    }

    fn receive(&mut self, now: Millis, from: NodeId, message: CoordinatorMessage, actions: &mut Vec<Action>) {
        match message {
            CoordinatorMessage::Membership(message) => self.membership.receive(now, from, message),
            CoordinatorMessage::Shard { shard, body } => self.shards.receive(now, from, shard, &body),
            CoordinatorMessage::Directory { body } => self.receive_directory(now, from, &body, actions),
            CoordinatorMessage::DirectoryAck { batch } => self.directory.acknowledge(now, from, batch),
            CoordinatorMessage::ForwardRequest { call_id, call } => {
                self.operate(now, Caller::Node { node: from, call: call_id }, call, actions)
            }
            CoordinatorMessage::ForwardResponse { call_id, response: answer } => {
                self.forwarded(from, Ticket(call_id), answer, actions)
            }
            CoordinatorMessage::Demand { edges, reports, .. } => {
                self.edges.told(edges, now);
                self.holders.demand(now, &reports);
            }
            CoordinatorMessage::AppliedConfigVersion { version } => {
                self.versions_elsewhere.told(now, from, version)
            }
        }
    }

    /// What each event ends with.
    fn settle(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.update_touch(now, actions);
        self.update_members(now, actions);
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
        self.compare_versions(now, actions);
        self.answer_polls(now, actions);
    }

    /// Sends a message to all other coordinators that take part as far as this one knows.
    fn send_to_others(&self, message: &CoordinatorMessage, actions: &mut Vec<Action>) {
        let others = self.coordinators().into_iter().filter(|node| *node != self.options.node);
        actions.extend(others.map(|to| Action::Send { to, message: message.clone() }));
    }

    fn send_from_parts(&mut self, actions: &mut Vec<Action>) {
        for (to, message) in self.membership.take_sends() {
            actions.push(Action::Send { to, message: CoordinatorMessage::Membership(message) });
        }
        for (to, message) in self.directory.take_sends() {
            let body = bitcode::encode(&message);
            actions.push(Action::Send { to, message: CoordinatorMessage::Directory { body } });
        }
    }

    fn place(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.holders.plan(now, &mut self.shards, &mut self.directory, actions);
        self.send_from_parts(actions);
    }
}
