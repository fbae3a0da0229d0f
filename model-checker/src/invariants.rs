//! Invariants that must hold in every state, checked against the observations made on the path to it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use shaletrail_consensus::{Index, LogPosition, Term};
use shaletrail_coordinator::core::orders::ORDER_SEND_TIMEOUT;
use shaletrail_protocol::{Millis, NodeId};

use crate::config_changes::{self, ChangeId};
use crate::fingerprint::Fingerprint;
use crate::group_options::ORDER_LEASE_MS;
use crate::observation::{EvaluatedOutcome, Observation};

/// The invariants that are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A term has at most one leader.
    ElectionSafety,
    /// A leader's log contains every entry that any replica has applied.
    LeaderCompleteness,
    /// All replicas apply the same entry at an index and are in the same state afterwards.
    StateMachineSafety,
    /// An installed snapshot contains the state that the other replicas had at its index.
    SnapshotConsistency,
    /// At most one node holds a leader lease at any time.
    LeaseExclusivity,
    /// A read returns a state at least as new as what any operator knew when the read began.
    LinearizableRead,
    /// Of several changes with the same version or the same base version, at most one is accepted.
    UniqueVersion,
    /// A change that is already in force is never rejected when it is retried.
    IdempotentChange,
    /// An acknowledged change was accepted.
    AcknowledgedIsAccepted,
    /// A rejected change is not in force.
    RejectedIsNotInForce,
    /// Orders of two different lease holders are at least one order-lease duration apart.
    OrderLeaseSeparation,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// Which invariant was violated.
    pub invariant: Invariant,
    /// A description of the observation that contradicts the invariant.
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
    /// Hash of the state after the entry.
    state: Fingerprint,
}

/// An order lease that a node acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OrderLease {
    node: NodeId,
    /// The earliest time at which the holder may send an order.
    orders_from: Millis,
    /// The latest time at which the holder may have written an order; 0 if it could not write any yet.
    orders_until: Millis,
}

/// Records the observations made on a path and reports contradictions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InvariantChecker {
    applied: BTreeMap<Index, AppliedEntry>,
    leaders: BTreeMap<Term, NodeId>,
    /// The newest index known to any operator through an acknowledgement or a read.
    max_known_index: Index,
    /// Reads in progress, by token, with the value of `max_known_index` when each began.
    reads: BTreeMap<u64, Index>,
    /// Accepted changes, with the index of the accepting entry.
    accepted: BTreeMap<ChangeId, Index>,
    acknowledged: BTreeSet<ChangeId>,
    /// Changes that an operator was told were rejected, with the index of the evaluated entry.
    rejected: BTreeMap<ChangeId, Index>,
    order_leases: BTreeMap<Term, OrderLease>,
}

impl InvariantChecker {
    /// Records the start of a read.
    pub(crate) fn begin_read(&mut self, token: u64) {
        self.reads.insert(token, self.max_known_index);
    }

    /// Checks an observation of a node against those made before.
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
                    format!("{node} installs a snapshot at index {index} whose state differs from the applied one")
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

    /// Checks that at most one node holds a leader lease at this time.
    pub(crate) fn check_leader_leases(now: Millis, holders: &[NodeId]) -> Result<(), InvariantViolation> {
        check(Invariant::LeaseExclusivity, holders.len() < 2, || {
            format!("two leader leases at {now} ms: {holders:?}")
        })
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
            format!("{node} applies {entry:?} at index {index}, another replica applied {known:?}")
        })
    }

    fn on_read(&mut self, node: NodeId, token: u64, index: Index) -> Result<(), InvariantViolation> {
        let min_index = self.reads.remove(&token).unwrap_or_default();
        self.max_known_index = self.max_known_index.max(index);
        check(Invariant::LinearizableRead, index >= min_index, || {
            format!(
                "{node} serves a read at index {index}, but index {min_index} was known when the read began"
            )
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
            format!("change {id} is in force but rejected at index {index}")
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
                format!("changes {other_id} and {id} are both accepted although they share a version or base version")
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
                format!("change {id} is acknowledged but was not accepted")
            });
        }
        self.rejected.insert(id, index);
        self.check_rejected(id)
    }

    /// A rejected change may come into force only through a later entry, and never if its base version is 0.
    fn check_rejected(&self, id: ChangeId) -> Result<(), InvariantViolation> {
        let (Some(rejected), Some(accepted)) = (self.rejected.get(&id), self.accepted.get(&id)) else {
            return Ok(());
        };
        let may_be_in_force = accepted > rejected && config_changes::get(id).base_version() > 0;
        check(Invariant::RejectedIsNotInForce, may_be_in_force, || {
            format!("change {id} was rejected but is in force")
        })
    }

    /// Checks that orders of different holders are at least one order lease apart, even if the earlier holder writes
    /// its last order as late as possible.
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
