//! Every decision of a coordinator, as a sans-IO state machine.
//!
//! The parts (shards, directory, planners) keep the desired state: what heartbeats, operators and edges ask for. Each event
//! ends with [`Coordinator::reconcile`], which works out what is still to be done and answers whoever waits for what has
//! come about.

pub mod demand;
pub mod directory_snapshot;
mod disk;
pub mod lease_state;
pub mod operator;
pub mod orders;
mod peer_versions;
pub mod polls;
mod quorum_contact;
mod server_calls;
mod shard_events;
pub mod shards;
pub mod shutdown;
pub mod voters;

use std::collections::{HashMap, VecDeque};

use shaletrail_cluster::directory::{self, CallToken, Directory};
use shaletrail_cluster::{membership, Membership};
use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_storage::StoredRecord;

use crate::interface::{Action, CallId, CoordinatorOptions, Event, OrderId};
use demand::{AggregatedDemand, DemandBroadcastSchedule, Edges};
use directory_snapshot::DirectorySnapshotWriter;
use operator::{CallOrigin, PendingCallId, PendingCalls};
use orders::OrderLeases;
use peer_versions::PeerVersions;
use polls::PendingPolls;
use server_calls::LeavingSync;
use shards::Shards;

/// A coordinator's decisions.
pub struct Coordinator {
    options: CoordinatorOptions,
    membership: Membership,
    directory: Directory,
    directory_snapshots: DirectorySnapshotWriter,
    shards: Shards,
    operator_calls: PendingCalls,
    /// Calls of servers that wait until a majority has what they report.
    server_calls: HashMap<CallToken, CallId>,
    /// In the order of their tickets.
    leaving_syncs: VecDeque<LeavingSync>,
    polls: PendingPolls,
    edges: Edges,
    demand: AggregatedDemand,
    demand_broadcasts: DemandBroadcastSchedule,
    order_leases: OrderLeases,
    /// Whether a quorum of the configuration's voters had answered this node recently when the last event was handled.
    has_quorum_contact: bool,
    /// Whether that has ever been so since the start.
    had_quorum_contact: bool,
    peer_versions: PeerVersions,
    /// Until when the disk counts as degraded.
    disk_degraded_until: Millis,
    next_voter_review: Millis,
    /// The configuration's version that the order leases and the log know.
    last_applied_version: u64,
    /// Actions of the start, handed out with the first event.
    startup_actions: Vec<Action>,
}

impl Coordinator {
    /// A coordinator with the records that its journal held. `now` is in milliseconds of the clock that all events carry.
    pub fn new(options: CoordinatorOptions, mut stored: Vec<StoredRecord>, now: Millis) -> Self {
        let mut startup_actions = Vec::new();
        let known_servers = DirectorySnapshotWriter::restore_from(&mut stored);
        let shards = Shards::new(&options, stored, now, &mut startup_actions);
        let membership_options = membership::Options::default();
        let membership =
            Membership::new(membership_options, options.node, options.incarnation, &options.seeds, now);
        let heartbeat_interval = options.heartbeat_interval.as_millis() as Millis;
        let directory_options = directory::Options {
            sync_before_acknowledging: true,
            ..directory::Options::for_heartbeat(heartbeat_interval)
        };
        let mut directory = Directory::new(directory_options, options.node, options.incarnation, now);
        directory.restore(now, known_servers);
        let order_leases = OrderLeases::new(&options);
        Coordinator {
            membership,
            directory,
            directory_snapshots: DirectorySnapshotWriter::default(),
            shards,
            operator_calls: PendingCalls::for_incarnation(options.incarnation),
            server_calls: HashMap::new(),
            leaving_syncs: VecDeque::new(),
            polls: PendingPolls::default(),
            edges: Edges::new(options.retry_window.as_millis() as Millis, now),
            demand: AggregatedDemand::default(),
            demand_broadcasts: DemandBroadcastSchedule::new(now),
            order_leases,
            has_quorum_contact: false,
            had_quorum_contact: false,
            peer_versions: PeerVersions::default(),
            disk_degraded_until: 0,
            next_voter_review: now,
            last_applied_version: 0,
            startup_actions,
            options,
        }
    }

    /// Handles an event and appends the actions that follow from it, in the order in which they are to be carried out.
    /// `now` must never go back.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        actions.append(&mut self.startup_actions);
        match event {
            Event::Tick => self.tick(now),
            Event::Message { from, message } => self.receive(now, from, message, actions),
            Event::Persisted { ticket, wants_checkpoint } => {
                self.shards.on_persisted(now, ticket);
                self.on_leaving_servers_synced(now, ticket);
                self.checkpoint_if(wants_checkpoint, actions);
            }
            Event::DiskDegraded { wants_checkpoint } => {
                self.on_disk_degraded(now);
                self.checkpoint_if(wants_checkpoint, actions);
            }
            Event::Heartbeat { call, id, heartbeat } => self.on_heartbeat(now, call, id, heartbeat, actions),
            Event::Deregister { call, id } => self.on_deregister(now, call, id),
            Event::OperatorCall { call, request } => {
                self.on_operator_call(now, CallOrigin::Local(call), request, actions)
            }
            Event::Poll { call, edge, request } => self.on_poll(now, call, edge, request),
            Event::PollCancelled(call) => drop(self.polls.remove(call)),
            Event::EdgeReport { edge, demand } => self.record_demand(edge, demand, Vec::new()),
            Event::EdgeDisconnected(node) => self.edges.on_disconnect(node),
            Event::OrderCompleted { order, outcome } => {
                self.order_leases.on_order_completed(now, order, outcome)
            }
            Event::ReportReceived { server, report } => self.order_leases.on_report(now, &server, report),
            Event::ShutdownRequested => {
                self.transfer_all_leaderships(now);
                self.membership.leave(now);
            }
            Event::SeedsChanged(seeds) => self.membership.add_seeds(&seeds),
        }
        self.reconcile(now, actions);
    }

    /// The coordinators that are alive as far as this one knows, itself included.
    pub fn coordinators(&self) -> Vec<NodeId> {
        let mut nodes = self.membership.alive();
        if !nodes.contains(&self.options.node) {
            nodes.push(self.options.node);
        }
        nodes
    }

    /// The version of the configuration that is applied at this node; 0 if there is none.
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
        self.order_leases.may_write(now, order, &self.shards)
    }

    /// Whether a quorum of the configuration's voters had answered this node recently when the last event was handled.
    pub fn has_quorum_contact(&self) -> bool {
        self.has_quorum_contact
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
            CoordinatorMessage::DirectoryAck { batch } => {
                self.directory.receive_acknowledgement(now, from, batch)
            }
            CoordinatorMessage::ForwardRequest { call_id, call } => {
                self.on_operator_call(now, CallOrigin::Peer { node: from, call: call_id }, call, actions)
            }
            CoordinatorMessage::ForwardResponse { call_id: call, response } => {
                self.on_forward_response(from, PendingCallId(call), response, actions)
            }
            CoordinatorMessage::Demand { edges, reports, .. } => {
                self.edges.on_peer_edges(edges, now);
                self.order_leases.record_demand(now, &reports);
            }
            CoordinatorMessage::AppliedConfigVersion { version } => self.on_peer_version(now, from, version),
        }
    }

    /// Brings all parts up to date with each other after an event.
    fn reconcile(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.update_quorum_contact(now, actions);
        self.update_peers(now, actions);
        self.update_voters(now, actions);
        self.advance_operator_calls(now, actions);
        self.process_shards(now, actions);
        self.send_from_parts(actions);
        self.persist_leaving_servers(actions);
        self.send_directory_acknowledgements(actions);
        self.answer_server_calls(actions);
        self.broadcast_demand(now, actions);
        self.plan_orders(now, actions);
        // The planners may have proposed entries.
        self.process_shards(now, actions);
        self.snapshot_directory(now, actions);
        self.update_peer_versions(now, actions);
        // Last, so that polls get all that the event has changed.
        self.answer_polls(now, actions);
    }

    /// Sends a message to all other coordinators that are alive as far as this one knows.
    fn broadcast(&self, message: &CoordinatorMessage, actions: &mut Vec<Action>) {
        let others = self.coordinators().into_iter().filter(|node| *node != self.options.node);
        actions.extend(others.map(|to| Action::Send { to, message: message.clone() }));
    }

    /// Sends what membership and directory have queued.
    fn send_from_parts(&mut self, actions: &mut Vec<Action>) {
        for (to, message) in self.membership.take_messages() {
            actions.push(Action::Send { to, message: CoordinatorMessage::Membership(message) });
        }
        for (to, message) in self.directory.take_messages() {
            let body = bitcode::encode(&message);
            actions.push(Action::Send { to, message: CoordinatorMessage::Directory { body } });
        }
    }

    fn plan_orders(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.order_leases.plan(now, &mut self.shards, &mut self.directory, actions);
        self.send_from_parts(actions);
    }

    fn snapshot_directory(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if let Some(record) = self.directory_snapshots.take_due(now, &self.directory) {
            self.shards.persist_beside_shards(directory_snapshot::STREAM, record, actions);
        }
    }
}
