//! The order leases of the shards that this node leads: acquisition, the wait after a previous holder, and validity.

use std::collections::BTreeMap;

use shaletrail_protocol::{Millis, NodeId};

use crate::core::lease_state::{LeaseEpoch, LeaseHolder, LeaseState};
use crate::core::shards::{Shards, CONFIGURATION};

/// Timeout for sending an order, in milliseconds. An order that has not left the sender's socket within this time after
/// it was written is never sent.
pub const ORDER_SEND_TIMEOUT: Millis = 400;
/// Longest time that an order is assumed to take over the network, in milliseconds.
const MAX_ORDER_NETWORK_DELAY: Millis = 200;
/// Added to the wait when a holder follows another: the longest time between writing an order and its arrival.
const HANDOVER_MARGIN: Millis = ORDER_SEND_TIMEOUT + MAX_ORDER_NETWORK_DELAY;

/// A lease epoch whose holder is this node.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnEpoch {
    /// No order may be sent before this time, so that the orders of the previous holder and of this node are at least
    /// one lease duration apart.
    pub wait_until: Millis,
    /// Orders of an earlier epoch, of this node or another, may arrive at servers until this time; `None` if there was
    /// no earlier epoch.
    pub previous_lease_until: Option<Millis>,
}

/// This node's leadership of a shard, and the order lease that comes with it.
#[derive(Clone, Copy, Debug)]
struct Leadership {
    /// The term of the leadership, also used as the fencing token of the lease.
    term: u64,
    elected_at: Millis,
    /// Whether the log entry that acquires the lease was proposed.
    is_acquisition_proposed: bool,
    /// The lease epoch; `None` until the entry that acquires the lease is applied.
    epoch: Option<OwnEpoch>,
    /// Whether the log entry that records the end of the wait was proposed or is not needed.
    is_wait_recorded: bool,
}

/// The order leases of all shards that this node leads.
#[derive(Debug)]
pub(super) struct ShardLeases {
    node: NodeId,
    /// Minimum time between the last order of a holder and the first order of the next holder.
    order_lease: Millis,
    leaderships: BTreeMap<u32, Leadership>,
}

impl ShardLeases {
    /// Creates the leases of `node`, which leads no shard yet. `order_lease` is in milliseconds.
    pub fn new(node: NodeId, order_lease: Millis) -> Self {
        ShardLeases { node, order_lease, leaderships: BTreeMap::new() }
    }

    /// Whether this node leads no shard.
    pub fn is_empty(&self) -> bool {
        self.leaderships.is_empty()
    }

    /// Records that this node was elected leader of a shard. The order lease is not acquired yet.
    pub fn on_elected(&mut self, now: Millis, shard: u32, term: u64) {
        let leadership = Leadership {
            term,
            elected_at: now,
            is_acquisition_proposed: false,
            epoch: None,
            is_wait_recorded: false,
        };
        self.leaderships.insert(shard, leadership);
    }

    /// Drops the leadership of a shard, and with it the order lease.
    pub fn on_deposed(&mut self, shard: u32) {
        self.leaderships.remove(&shard);
    }

    /// Handles the start of a lease epoch. Returns it if this node is its holder and still leads the shard.
    pub fn on_epoch_started(
        &mut self,
        now: Millis,
        shard: u32,
        epoch: LeaseEpoch,
        still_leads: bool,
    ) -> Option<OwnEpoch> {
        let leadership = self.leaderships.get_mut(&shard)?;
        let is_own = epoch.holder.node == self.node && epoch.holder.fencing_token == leadership.term;
        if !still_leads || !is_own {
            return None;
        }
        let elected_at = leadership.elected_at;
        let (wait_until, previous_lease_until) = match epoch.previous_holder {
            None => (now, None),
            Some(_) if !epoch.must_wait => (now, Some(now)),
            // The previous holder's lease had expired when this node was elected. Its last orders may still arrive, and
            // servers may begin their loads, until the margin after the election has passed.
            Some(_) => {
                let last_arrival = elected_at + HANDOVER_MARGIN;
                (last_arrival + self.order_lease, Some(last_arrival))
            }
        };
        let own = OwnEpoch { wait_until, previous_lease_until };
        leadership.is_wait_recorded = !epoch.must_wait;
        leadership.epoch = Some(own);
        Some(own)
    }

    /// Returns the lease epoch of this node in a shard, if it has acquired the lease.
    pub fn epoch(&self, shard: u32) -> Option<OwnEpoch> {
        self.leaderships.get(&shard)?.epoch
    }

    /// Returns the fencing token of this node's orders to the servers of a shard's services, if it leads the shard.
    pub fn fencing_token(&self, shard: u32) -> Option<u64> {
        self.leaderships.get(&shard).map(|leadership| leadership.term)
    }

    /// Returns whether orders may be sent to the servers of a shard's services: the wait is over and the leader lease
    /// is still valid.
    pub fn may_send(&self, now: Millis, shard: u32, shards: &Shards) -> bool {
        let epoch = self.epoch(shard);
        let leader_lease = shards.get(shard).and_then(|shard| shard.replica.lease_until());
        epoch.is_some_and(|epoch| epoch.wait_until <= now) && leader_lease.is_some_and(|until| now < until)
    }

    /// Proposes the log entries that acquire the leases of the shards that this node has begun to lead.
    pub fn propose_acquisitions(&mut self, now: Millis, shards: &mut Shards) {
        let node = self.node;
        let new = self.leaderships.iter_mut().filter(|(_, leadership)| !leadership.is_acquisition_proposed);
        for (shard, leadership) in new {
            let holder = LeaseHolder { node, fencing_token: leadership.term };
            if *shard == CONFIGURATION {
                leadership.is_acquisition_proposed = true;
            } else if let Some(replica) = shards.replica_mut(*shard) {
                leadership.is_acquisition_proposed =
                    replica.propose(now, LeaseState::acquire_command(holder)).is_ok();
            }
        }
    }

    /// Proposes the log entries that record the end of the wait after a previous holder.
    pub fn propose_completed_waits(&mut self, now: Millis, shards: &mut Shards) {
        for (shard, leadership) in &mut self.leaderships {
            let is_over = leadership.epoch.is_some_and(|epoch| epoch.wait_until <= now);
            if !is_over || leadership.is_wait_recorded {
                continue;
            }
            let holder = LeaseHolder { node: self.node, fencing_token: leadership.term };
            if let Some(replica) = shards.replica_mut(*shard) {
                leadership.is_wait_recorded =
                    replica.propose(now, LeaseState::wait_completed_command(holder)).is_ok();
            }
        }
    }
}
