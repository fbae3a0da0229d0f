//! The decisions of a coordinator, as a sans-IO state machine.
//!
//! The components (shards, directory, planners) record what heartbeats, operators and edges request. After each event,
//! [`Coordinator::reconcile`] derives the actions that are still outstanding and answers the calls whose results are
//! known.

pub mod demand;
pub mod directory_snapshot;
mod disk;
pub mod lease_state;
pub mod node_attributes;
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

use std::collections::{BTreeMap, HashMap, VecDeque};

use shaletrail_cluster::directory::{self, CallToken, Directory};
use shaletrail_cluster::{membership, Membership, NodeAttributesTable};
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
use voters::ReviewMemory;

/// The sans-IO state machine of a coordinator.
pub struct Coordinator {
    options: CoordinatorOptions,
    membership: Membership,
    node_attributes: NodeAttributesTable,
    directory: Directory,
    directory_snapshots: DirectorySnapshotWriter,
    shards: Shards,
    operator_calls: PendingCalls,
    /// Calls of servers that are answered once a majority of coordinators has stored what they report.
    server_calls: HashMap<CallToken, CallId>,
    /// Writes of leaving servers to the journal that are not synced yet, in ticket order.
    leaving_syncs: VecDeque<LeavingSync>,
    polls: PendingPolls,
    edges: Edges,
    demand: AggregatedDemand,
    demand_broadcasts: DemandBroadcastSchedule,
    order_leases: OrderLeases,
    /// Whether a quorum of the configuration shard's voters had answered recent pings of this node when the last event
    /// was handled.
    has_quorum_contact: bool,
    /// Whether this node has had quorum contact at any time since its start.
    had_quorum_contact: bool,
    peer_versions: PeerVersions,
    /// The disk counts as degraded before this time.
    disk_degraded_until: Millis,
    /// When a failed checkpoint is written again; `None` if none has failed since the last attempt.
    checkpoint_retry_at: Option<Millis>,
    next_voter_review: Millis,
    /// What this node remembers of the last review of voters, for each shard that it leads.
    voter_reviews: BTreeMap<u32, ReviewMemory>,
    /// The configuration version that was last passed to the order leases and logged.
    last_applied_version: u64,
    /// Actions from the recovery at start, returned with the first event.
    startup_actions: Vec<Action>,
}

impl Coordinator {
    /// Restores a coordinator from the records in its journal. `now` is in milliseconds, on the same clock as in
    /// [`Coordinator::handle`].
    pub fn new(options: CoordinatorOptions, mut stored: Vec<StoredRecord>, now: Millis) -> Self {
        let mut startup_actions = Vec::new();
        let known_servers = DirectorySnapshotWriter::restore_from(&mut stored);
        let known_attributes = node_attributes::restore_from(&mut stored);
        let node_attributes = NodeAttributesTable::new(
            options.node,
            options.incarnation,
            options.attributes.clone(),
            known_attributes,
        );
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
            node_attributes,
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
            checkpoint_retry_at: None,
            next_voter_review: now,
            voter_reviews: BTreeMap::new(),
            last_applied_version: 0,
            startup_actions,
            options,
        }
    }

    /// Handles an event and appends the resulting actions, in the order in which they are to be carried out. `now` must
    /// not decrease from one event to the next.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        actions.append(&mut self.startup_actions);
        match event {
            Event::Tick => {
                self.tick(now);
                self.retry_checkpoint_if_due(now, actions);
            }
            Event::Message { from, message } => self.receive(now, from, message, actions),
            Event::Persisted { ticket, wants_checkpoint } => {
                self.shards.on_persisted(now, ticket);
                self.on_leaving_servers_synced(now, ticket);
                self.directory_snapshots.on_synced(ticket);
                self.checkpoint_if(wants_checkpoint, actions);
            }
            Event::DiskDegraded { wants_checkpoint } => {
                self.on_disk_degraded(now);
                self.checkpoint_if(wants_checkpoint, actions);
            }
            Event::CheckpointFailed => self.on_checkpoint_failed(now),
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

    /// Returns the coordinators that this node considers alive, including itself.
    pub fn coordinators(&self) -> Vec<NodeId> {
        let mut nodes = self.membership.alive();
        if !nodes.contains(&self.options.node) {
            nodes.push(self.options.node);
        }
        nodes
    }

    /// Returns the configuration version that is applied at this node; 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.shards.configuration().version()
    }

    /// Returns this node's replicas of all shards.
    pub fn shards(&self) -> &Shards {
        &self.shards
    }

    /// Returns this node's copy of the directory of servers.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns what this node knows about the places of all coordinators.
    pub fn node_attributes(&self) -> &NodeAttributesTable {
        &self.node_attributes
    }

    /// Returns whether an order may be written to its server at `now`. The driver calls this immediately before it
    /// writes the bytes to the socket.
    pub fn may_write(&self, now: Millis, order: OrderId) -> bool {
        self.order_leases.may_write(now, order, &self.shards)
    }

    /// Returns whether a quorum of the configuration shard's voters had answered recent pings of this node when the
    /// last event was handled.
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
            CoordinatorMessage::Shard { shard: node_attributes::STREAM, body } => {
                self.receive_node_attributes(now, from, &body)
            }
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

    /// Propagates the effects of an event between the components and emits the resulting actions.
    fn reconcile(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.update_quorum_contact(now, actions);
        self.update_peers(now, actions);
        self.exchange_node_attributes(now, actions);
        self.update_voters(now, actions);
        self.advance_operator_calls(now, actions);
        self.process_shards(now, actions);
        self.send_queued_messages(actions);
        self.persist_leaving_servers(actions);
        self.send_directory_acknowledgements(actions);
        self.answer_server_calls(actions);
        self.broadcast_demand(now, actions);
        self.plan_orders(now, actions);
        // Planning may have proposed log entries.
        self.process_shards(now, actions);
        self.snapshot_directory(now, actions);
        self.update_peer_versions(now, actions);
        // Last, so that poll responses contain everything that the event has changed.
        self.answer_polls(now, actions);
    }

    /// Sends a message to all other coordinators that this node considers alive.
    fn broadcast(&self, message: &CoordinatorMessage, actions: &mut Vec<Action>) {
        let others = self.coordinators().into_iter().filter(|node| *node != self.options.node);
        actions.extend(others.map(|to| Action::Send { to, message: message.clone() }));
    }

    /// Sends the messages that membership and directory have queued.
    fn send_queued_messages(&mut self, actions: &mut Vec<Action>) {
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
        self.send_queued_messages(actions);
    }

    fn snapshot_directory(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if let Some(record) = self.directory_snapshots.take_due(now, &self.directory) {
            let ticket = self.shards.persist_record(directory_snapshot::STREAM, record, actions);
            self.directory_snapshots.on_written(ticket);
        }
    }
}
