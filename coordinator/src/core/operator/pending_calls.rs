//! The table of operator calls that wait for their answer.
//!
//! A call is answered only by the configuration's shard: by the entry that its proposal became, or by a read that a quorum
//! has confirmed. A node that does not lead the shard forwards the call to the leader. No answer is ever guessed: a call
//! whose outcome is not known in time is answered `Unavailable`, and as changes are remembered by content it may be
//! retried at any node.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::OperatorCall;
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_ring::mix;

use crate::interface::CallId;

/// Calls that may be pending at once.
const MAX_PENDING_CALLS: usize = 64;
/// How long a call may be pending. Operators retry at another node after a second; large bodies take longer.
const CALL_TIMEOUT: Millis = 900;
/// What is added to the time-out for each MiB of a call's body.
const CALL_TIMEOUT_PER_MIB: Millis = 500;

/// Where a call came from, and so where its answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// The operator called this node.
    Local(CallId),
    /// A peer has forwarded the call.
    Peer {
        /// The peer.
        node: NodeId,
        /// The peer's [`PendingCallId`] of the call.
        call: u64,
    },
}

/// Identifies a call in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingCallId(pub u64);

/// How far a call has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStage {
    /// No leader is known, or none has accepted the call yet.
    WaitingForLeader,
    /// It was forwarded to this leader.
    Forwarded(NodeId),
    /// It was proposed as an entry of the log.
    Proposed {
        /// The entry's index.
        index: u64,
        /// The entry's term.
        term: u64,
    },
    /// A read that a quorum has not confirmed yet.
    Reading,
}

/// A call that waits for its answer.
#[derive(Clone, Debug)]
pub struct PendingCall {
    /// Where the answer goes.
    pub origin: CallOrigin,
    /// The read or the change.
    pub call: OperatorCall,
    /// How far it has got.
    pub stage: CallStage,
    /// When it is answered `Unavailable`.
    pub deadline: Millis,
}

/// All operator calls that wait for their answer.
#[derive(Debug, Default)]
pub struct PendingCalls {
    pending: BTreeMap<PendingCallId, PendingCall>,
    last_id: u64,
}

impl PendingCalls {
    /// An empty table for one start of a coordinator. Other incarnations assign other ids, so that an answer that is still
    /// in flight to an earlier one, which had forwarded a call, is no answer to a call of this one.
    pub fn for_incarnation(incarnation: Incarnation) -> Self {
        PendingCalls { last_id: mix(incarnation.0) << 32, ..PendingCalls::default() }
    }

    /// Adds a call; `None` if too many are pending.
    pub fn add(&mut self, now: Millis, origin: CallOrigin, call: OperatorCall) -> Option<PendingCallId> {
        if self.pending.len() >= MAX_PENDING_CALLS {
            return None;
        }
        let body_mib = match &call {
            OperatorCall::Change { body, .. } => body.len() as u64 >> 20,
            OperatorCall::Read => 0,
        };
        let deadline = now + CALL_TIMEOUT + CALL_TIMEOUT_PER_MIB * body_mib;
        self.last_id += 1;
        let id = PendingCallId(self.last_id);
        let pending = PendingCall { origin, call, stage: CallStage::WaitingForLeader, deadline };
        self.pending.insert(id, pending);
        Some(id)
    }

    /// A call by its id.
    pub fn get_mut(&mut self, id: PendingCallId) -> Option<&mut PendingCall> {
        self.pending.get_mut(&id)
    }

    /// Removes a call that is answered now.
    pub fn remove(&mut self, id: PendingCallId) -> Option<PendingCall> {
        self.pending.remove(&id)
    }

    /// The calls that satisfy a predicate.
    pub fn find(&self, predicate: impl Fn(&PendingCall) -> bool) -> Vec<PendingCallId> {
        self.pending.iter().filter(|(_, pending)| predicate(pending)).map(|(id, _)| *id).collect()
    }

    /// The calls that became the entry of this index and term. Calls that were proposed at the index in another term have
    /// lost it to this entry: they wait for a leader again.
    pub fn decided_by_entry(&mut self, index: u64, term: u64) -> Vec<PendingCallId> {
        let at_index = |stage| matches!(stage, CallStage::Proposed { index: own, .. } if own == index);
        let decided = CallStage::Proposed { index, term };
        self.restart(|stage| at_index(stage) && stage != decided);
        self.find(|pending| pending.stage == decided)
    }

    /// Sets the calls at these stages back to wait for a leader.
    pub fn restart(&mut self, predicate: impl Fn(CallStage) -> bool) {
        for pending in self.pending.values_mut().filter(|pending| predicate(pending.stage)) {
            pending.stage = CallStage::WaitingForLeader;
        }
    }
}
