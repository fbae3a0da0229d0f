//! A leadership of a node, and the order lease that belongs to it in a service shard.

use std::time::Duration;

use shaletrail_consensus::Term;
use shaletrail_coordinator::core::lease_state::LeaseEpoch;
use shaletrail_coordinator::core::orders::OrderLeases;
use shaletrail_coordinator::interface::{CoordinatorOptions, NodeAttributes};
use shaletrail_protocol::settings::FaultTolerance;
use shaletrail_protocol::{Incarnation, Millis, NodeId};

use crate::group_options::ORDER_LEASE_MS;

/// The coordinator's number for the service shard that the group replicates.
const SERVICE_SHARD: u32 = 1;
/// Size of a checkpoint that fits into a node's journal, in bytes.
const CHECKPOINT_BYTES: usize = 32 << 20;

/// A period in which this node leads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leadership {
    /// The term of the leadership.
    pub term: Term,
    /// When the node was elected.
    pub since: Millis,
    /// The earliest time at which the node may send an order; `None` until its epoch of the order lease has begun.
    pub orders_from: Option<Millis>,
    /// Whether an entry must still record that the node has waited for the previous holder's lease to expire.
    pub must_record_wait: bool,
}

impl Leadership {
    /// A leadership that begins with an election at `since`.
    pub fn new(term: Term, since: Millis) -> Leadership {
        Leadership { term, since, orders_from: None, must_record_wait: false }
    }

    /// Begins an epoch of the order lease. Returns when orders may be sent; `None` if the coordinator does not allow
    /// any.
    pub fn begin_epoch(
        &mut self,
        now: Millis,
        node: NodeId,
        epoch: LeaseEpoch,
        leads: bool,
    ) -> Option<Millis> {
        let mut order_leases = OrderLeases::new(&coordinator_options(node));
        order_leases.on_elected(self.since, SERVICE_SHARD, self.term);
        let holds_epoch = leads && self.term == epoch.holder.fencing_token;
        order_leases.on_epoch_started(now, SERVICE_SHARD, epoch, holds_epoch);
        let orders_from = order_leases.wait_until(SERVICE_SHARD)?;
        self.orders_from = Some(orders_from);
        self.must_record_wait = epoch.must_wait;
        Some(orders_from)
    }

    /// Whether the wait for the previous holder's lease is over but not yet recorded.
    pub fn wait_completed(&self, now: Millis) -> bool {
        self.must_record_wait && self.orders_from.is_some_and(|orders_from| orders_from <= now)
    }
}

fn coordinator_options(node: NodeId) -> CoordinatorOptions {
    CoordinatorOptions {
        node,
        node_name: format!("node-{}", node.0),
        incarnation: Incarnation(1),
        seeds: Vec::new(),
        bootstrap: false,
        journal_was_erased: false,
        checkpoint_bytes: CHECKPOINT_BYTES,
        attributes: NodeAttributes::default(),
        fault_tolerance: FaultTolerance { hosts: 1, zones: 0, regions: 0 },
        heartbeat_interval: Duration::from_secs(1),
        order_lease: Duration::from_millis(ORDER_LEASE_MS),
        retry_window: Duration::from_secs(10),
        placement: shaletrail_placement::Options::default(),
        seed: 1,
    }
}
