//! The invariants that hold in every state, checked against what was observed on the way there.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use shaletrail_consensus::{Index, LogPosition, Term};
use shaletrail_coordinator::core::orders::ORDER_SEND_TIMEOUT;
use shaletrail_protocol::{Millis, NodeId};

use crate::config_changes::{self, ChangeId};
use crate::fingerprint::Fingerprint;
use crate::group_options::ORDER_LEASE_MS;
use crate::observation::{EvaluatedOutcome, Observation};

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A term has one leader at most.
    ElectionSafety,
    /// A leader's log has every entry that any replica has applied.
    LeaderCompleteness,
    /// Replicas apply the same entry at an index, and are in the same state after it.
    StateMachineSafety,
    /// The state of an installed snapshot is the one at its index.
    SnapshotConsistency,
    /// One node at most has a leader lease.
    LeaseExclusivity,
    /// A read is no older than what any operator had learned when the read began.
    LinearizableRead,
    /// Of changes with one version or one base version, one is accepted at most.
    UniqueVersion,
    /// A change that is in force is never rejected.
    IdempotentChange,
    /// A change that was acknowledged was accepted.
    AcknowledgedIsAccepted,
    /// A change that was rejected is not in force.
    RejectedIsNotInForce,
    /// Between the orders of two lease holders lies the lease of orders at least.
    OrderLeaseSeparation,
}

/// An invariant that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// The observation that contradicts it, in words.
    pub details: String,
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.invariant, self.details)
    }
}

impl std::error::Error for InvariantViolation {}

/// An entry that some replica has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AppliedEntry {
    term: Term,
    payload: Fingerprint,
    /// Of the state after it.
    state: Fingerprint,
}

/// A lease of orders that was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OrderLease {
    node: NodeId,
    /// When the lease holder may send its first order.
    orders_from: Millis,
    /// Until when orders may have been written; 0 before any.
    orders_until: Millis,
}

/// Records what was observed on a path, and finds what contradicts it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InvariantChecker {
    applied: BTreeMap<Index, AppliedEntry>,
    leaders: BTreeMap<Term, NodeId>,
    /// The newest index of which an operator knows, by an acknowledgement or a read.
    max_known_index: Index,
    /// Reads in flight, with `max_known_index` at the moment when they began.
    reads: BTreeMap<u64, Index>,
    /// Changes that were accepted, with their entry.
    accepted: BTreeMap<ChangeId, Index>,
    acknowledged: BTreeSet<ChangeId>,
    /// Changes that a response rejected, with the entry that was evaluated.
    rejected: BTreeMap<ChangeId, Index>,
    order_leases: BTreeMap<Term, OrderLease>,
}

impl InvariantChecker {
    /// A read begins.
    pub(crate) fn begin_read(&mut self, token: u64) {
        self.reads.insert(token, self.max_known_index);
    }

    /// Checks what a node shows.
    pub(crate) fn observe(
        &mut self,
        node: NodeId,
        observation: &Observation,
    ) -> Result<(), InvariantViolation> {
        match observation {
            Observation::BecameLeader { term, snapshot_index, log } => {
                self.on_became_leader(node, *term, *snapshot_index, log)
            }
            Observation::Applied { position, payload, state } => {
                let entry = AppliedEntry { term: position.term, payload: *payload, state: *state };
                self.on_applied(node, position.index, entry)
            }
            Observation::InstalledSnapshot { index, state } => {
                let known = self.applied.get(index).map(|entry| entry.state);
                check(Invariant::SnapshotConsistency, known == Some(*state), || {
                    format!("{node} installs another state at index {index}")
                })
            }
            Observation::EvaluatedChange { index, change, outcome } => {
                self.on_change_evaluated(*index, *change, *outcome)
            }
            Observation::RespondedToChange { index, change, acknowledged } => {
                self.on_change_response(*index, *change, *acknowledged)
            }
            Observation::ServedRead { token, index } => self.on_read(node, *token, *index),
            Observation::AcquiredOrderLease { fencing_token, orders_from } => {
                let lease = OrderLease { node, orders_from: *orders_from, orders_until: 0 };
                self.order_leases.insert(*fencing_token, lease);
                self.check_order_leases()
            }
            Observation::MayWriteOrders { fencing_token, until } => {
                if let Some(lease) = self.order_leases.get_mut(fencing_token) {
                    lease.orders_until = lease.orders_until.max(*until);
                }
                self.check_order_leases()
            }
            Observation::LostOrderLease { fencing_token, at } => {
                if let Some(lease) = self.order_leases.get_mut(fencing_token) {
                    lease.orders_until = lease.orders_until.min(*at);
                }
                Ok(())
            }
        }
    }

    /// Checks the nodes that have a leader lease at one moment.
    pub(crate) fn check_leader_leases(now: Millis, holders: &[NodeId]) -> Result<(), InvariantViolation> {
        check(Invariant::LeaseExclusivity, holders.len() < 2, || format!("two leases at {now}: {holders:?}"))
    }

    fn on_became_leader(
        &mut self,
        node: NodeId,
        term: Term,
        snapshot_index: Index,
        log: &[LogPosition],
    ) -> Result<(), InvariantViolation> {
        let leader = *self.leaders.entry(term).or_insert(node);
        check(Invariant::ElectionSafety, leader == node, || {
            format!("two leaders in term {term}: {leader} and {node}")
        })?;
        let has = |index: Index, term: Term| {
            index <= snapshot_index || log.iter().any(|entry| (entry.index, entry.term) == (index, term))
        };
        let missing = self.applied.iter().find(|(index, entry)| !has(**index, entry.term));
        check(Invariant::LeaderCompleteness, missing.is_none(), || {
            format!("{node} leads term {term} without the committed entry {missing:?}")
        })
    }

    fn on_applied(
        &mut self,
        node: NodeId,
        index: Index,
        entry: AppliedEntry,
    ) -> Result<(), InvariantViolation> {
        let known = *self.applied.entry(index).or_insert(entry);
        check(Invariant::StateMachineSafety, known == entry, || {
            format!("{node} applies {entry:?} at index {index}, others {known:?}")
        })
    }

    fn on_read(&mut self, node: NodeId, token: u64, index: Index) -> Result<(), InvariantViolation> {
        let min_index = self.reads.remove(&token).unwrap_or_default();
        self.max_known_index = self.max_known_index.max(index);
        check(Invariant::LinearizableRead, index >= min_index, || {
            format!("{node} serves a read at index {index}, {min_index} was known before")
        })
    }

    fn on_change_evaluated(
        &mut self,
        index: Index,
        id: ChangeId,
        outcome: EvaluatedOutcome,
    ) -> Result<(), InvariantViolation> {
        let in_force = self.accepted.get(&id).is_some_and(|accepted| *accepted < index);
        let rejected = outcome == EvaluatedOutcome::Rejected;
        check(Invariant::IdempotentChange, !(rejected && in_force), || {
            format!("change {id}, in force, is rejected at index {index}")
        })?;
        if outcome != EvaluatedOutcome::Accepted {
            return Ok(());
        }
        let change = config_changes::get(id);
        for other_id in self.accepted.keys().filter(|other_id| **other_id != id) {
            let other = config_changes::get(*other_id);
            let is_distinct =
                other.version() != change.version() && other.base_version() != change.base_version();
            check(Invariant::UniqueVersion, is_distinct, || {
                format!("changes {other_id} and {id} are both accepted for one version or base version")
            })?;
        }
        self.accepted.insert(id, index);
        self.check_rejected(id)
    }

    fn on_change_response(
        &mut self,
        index: Index,
        id: ChangeId,
        acknowledged: bool,
    ) -> Result<(), InvariantViolation> {
        if acknowledged {
            self.max_known_index = self.max_known_index.max(index);
            self.acknowledged.insert(id);
            return check(Invariant::AcknowledgedIsAccepted, self.accepted.contains_key(&id), || {
                format!("change {id} is acknowledged and not accepted")
            });
        }
        self.rejected.insert(id, index);
        self.check_rejected(id)
    }

    /// A rejected change may come into force only by a later entry, and never if its base is version 0.
    fn check_rejected(&self, id: ChangeId) -> Result<(), InvariantViolation> {
        let (Some(rejected), Some(accepted)) = (self.rejected.get(&id), self.accepted.get(&id)) else {
            return Ok(());
        };
        let may_be_in_force = accepted > rejected && config_changes::get(id).base_version() > 0;
        check(Invariant::RejectedIsNotInForce, may_be_in_force, || {
            format!("change {id} was rejected and is in force")
        })
    }

    /// Between orders of different lease holders lies the lease of orders, even if one is written as late as it may be.
    fn check_order_leases(&self) -> Result<(), InvariantViolation> {
        for (token, lease) in &self.order_leases {
            for (later_token, later) in self.order_leases.range(token + 1..) {
                let is_separate = lease.orders_until == 0
                    || lease.node == later.node
                    || lease.orders_until + ORDER_SEND_TIMEOUT + ORDER_LEASE_MS <= later.orders_from;
                check(Invariant::OrderLeaseSeparation, is_separate, || {
                    format!(
                        "{} may write orders until {} with fencing token {token}, {} from {} with {later_token}",
                        lease.node, lease.orders_until, later.node, later.orders_from
                    )
                })?;
            }
        }
        Ok(())
    }
}

fn check(
    invariant: Invariant,
    holds: bool,
    details: impl FnOnce() -> String,
) -> Result<(), InvariantViolation> {
    if holds {
        Ok(())
    } else {
        Err(InvariantViolation { invariant, details: details() })
    }
}
