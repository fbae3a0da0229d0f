//! The order leases of the shards that this node leads: acquisition, the wait for the previous holder, and validity.

use std::collections::BTreeMap;

use shaletrail_protocol::{Millis, NodeId};

use crate::core::lease_state::{LeaseEpoch, LeaseHolder, LeaseState};
use crate::core::shards::{Shards, CONFIGURATION};

/// Within this time after it was written an order has left the sender's socket, or never does, in milliseconds.
pub const ORDER_SEND_TIMEOUT: Millis = 400;
/// The longest time that an order is assumed to take over the network, in milliseconds.
const MAX_ORDER_NETWORK_DELAY: Millis = 200;
/// Added to the lease when a holder follows another: servers receive orders a little after they were written.
const HANDOVER_MARGIN: Millis = ORDER_SEND_TIMEOUT + MAX_ORDER_NETWORK_DELAY;

/// A lease epoch of this node.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnEpoch {
    /// Until when no order may be sent, so that a lease lies between the previous holder's orders and this node's.
    pub wait_until: Millis,
    /// Until when orders of an earlier epoch may arrive at servers, by this node or another; `None` if there was none.
    pub previous_lease_until: Option<Millis>,
}

/// This node's leadership of a shard, and the order lease that comes with it.
#[derive(Clone, Copy, Debug)]
struct Leadership {
    /// The term, which is also the lease's fencing token.
    term: u64,
    elected_at: Millis,
    /// Whether the entry that acquires the lease was proposed.
    is_acquisition_proposed: bool,
    /// The epoch, once that entry has been applied.
    epoch: Option<OwnEpoch>,
    /// Whether the end of the wait was proposed to the log, or need not be.
    is_wait_recorded: bool,
}

/// The order leases of this node.
#[derive(Debug)]
pub(super) struct ShardLeases {
    node: NodeId,
    /// Minimum time between the last order of a holder and the first one of the next.
    order_lease: Millis,
    leaderships: BTreeMap<u32, Leadership>,
}

impl ShardLeases {
    /// A node that leads no shard.
    pub fn new(node: NodeId, order_lease: Millis) -> Self {
        ShardLeases { node, order_lease, leaderships: BTreeMap::new() }
    }

    /// Whether this node leads no shard.
    pub fn is_empty(&self) -> bool {
        self.leaderships.is_empty()
    }

    /// This node has become the leader of a shard.
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

    /// This node no longer leads a shard.
    pub fn on_deposed(&mut self, shard: u32) {
        self.leaderships.remove(&shard);
    }

    /// A lease epoch has started; returned if it is this node's, which still leads.
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
            // The lease of the previous holder was over when this node was elected; its last orders may arrive, and their
            // loads begin, for as long as the margin after that.
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

    /// This node's epoch of a shard, if it has acquired the lease.
    pub fn epoch(&self, shard: u32) -> Option<OwnEpoch> {
        self.leaderships.get(&shard)?.epoch
    }

    /// The fencing token of this node's orders to the servers of a shard's services, if it leads the shard.
    pub fn fencing_token(&self, shard: u32) -> Option<u64> {
        self.leaderships.get(&shard).map(|leadership| leadership.term)
    }

    /// Whether orders to the servers of a shard's services may be sent now: the wait is over, and the leader lease is not.
    pub fn may_order(&self, now: Millis, shard: u32, shards: &Shards) -> bool {
        let epoch = self.epoch(shard);
        let leader_lease = shards.get(shard).and_then(|shard| shard.replica.lease_until());
        epoch.is_some_and(|epoch| epoch.wait_until <= now) && leader_lease.is_some_and(|until| now < until)
    }

    /// Proposes the entries by which this node acquires the leases of the shards that it leads.
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

    /// Proposes the entries that record that the wait for another node's orders is over.
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
