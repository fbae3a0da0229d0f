//! The table of operator calls that wait for a response.
//!
//! A call is only answered from the configuration's shard: by the log entry that its proposal became, or by a read that
//! a quorum has confirmed, which also answers a change whose outcome is final. A node that does not lead the shard
//! forwards the call to the leader. A call whose outcome is not known by its deadline is answered `Unavailable`. The
//! operator may retry it at any node, as accepted changes are recognised by their content.

use std::collections::BTreeMap;

use shaletrail_configuration::ChangeId;
use shaletrail_protocol::internal::OperatorCall;
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_ring::mix;

use crate::interface::CallId;

/// Maximum number of pending calls.
const MAX_PENDING_CALLS: usize = 64;
/// Maximum total length of the bodies of pending calls, in bytes. A single longer body is accepted if no other call with a
/// body is pending.
const MAX_PENDING_BODY_BYTES: usize = 48 << 20;
/// Timeout of a call with a small body. It ends before operators retry at another node, after one second.
const CALL_TIMEOUT: Millis = 900;
/// Added to the timeout for each MiB of a call's body, as replicating a large body takes longer.
const CALL_TIMEOUT_PER_MIB: Millis = 500;

/// Where a call came from and its response goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// The operator has called this node.
    Local(CallId),
    /// A peer has forwarded the call.
    Peer {
        /// The peer.
        node: NodeId,
        /// The peer's [`PendingCallId`] of the call.
        call: u64,
    },
}

/// Identifies a pending call of this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingCallId(pub u64);

/// The processing stage of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStage {
    /// No leader is known, or none has accepted the call yet.
    WaitingForLeader,
    /// The call was forwarded to this leader.
    Forwarded(NodeId),
    /// The change was proposed as an entry of the log.
    Proposed {
        /// The entry's index.
        index: u64,
        /// The entry's term.
        term: u64,
    },
    /// A quorum has not confirmed the read yet, or the leadership of the node that knows the outcome of the change.
    Reading,
}

/// A call that waits for a response.
#[derive(Clone, Debug)]
pub struct PendingCall {
    /// Where the response goes to.
    pub origin: CallOrigin,
    /// The read or the change.
    pub call: OperatorCall,
    /// The identity of the change; `None` for a read.
    pub change: Option<ChangeId>,
    /// The present processing stage.
    pub stage: CallStage,
    /// When the call is answered `Unavailable`.
    pub deadline: Millis,
}

/// All operator calls that wait for a response.
#[derive(Debug, Default)]
pub struct PendingCalls {
    pending: BTreeMap<PendingCallId, PendingCall>,
    last_id: u64,
}

impl PendingCalls {
    /// Creates an empty table for one incarnation of a coordinator. Each incarnation assigns different ids, so that a
    /// late response to a call that an earlier incarnation had forwarded does not match a call of this one.
    pub fn for_incarnation(incarnation: Incarnation) -> Self {
        PendingCalls { last_id: mix(incarnation.0) << 32, ..PendingCalls::default() }
    }

    /// Adds a call and assigns its id; `None` if too many calls are pending, or their bodies are too long.
    pub fn add(
        &mut self,
        now: Millis,
        origin: CallOrigin,
        call: OperatorCall,
        change: Option<ChangeId>,
    ) -> Option<PendingCallId> {
        let body_bytes = body_len(&call);
        if self.pending.len() >= MAX_PENDING_CALLS || !self.has_memory_for(body_bytes) {
            return None;
        }
        let body_mib = body_bytes as u64 >> 20;
        let deadline = now + CALL_TIMEOUT + CALL_TIMEOUT_PER_MIB * body_mib;
        self.last_id += 1;
        let id = PendingCallId(self.last_id);
        let pending = PendingCall { origin, call, change, stage: CallStage::WaitingForLeader, deadline };
        self.pending.insert(id, pending);
        Some(id)
    }

    fn has_memory_for(&self, body_bytes: usize) -> bool {
        let pending_bytes: usize = self.pending.values().map(|pending| body_len(&pending.call)).sum();
        pending_bytes == 0 || pending_bytes + body_bytes <= MAX_PENDING_BODY_BYTES
    }

    /// Returns the call with this id, if it is pending.
    pub fn get_mut(&mut self, id: PendingCallId) -> Option<&mut PendingCall> {
        self.pending.get_mut(&id)
    }

    /// Removes and returns the call with this id, if it is pending.
    pub fn remove(&mut self, id: PendingCallId) -> Option<PendingCall> {
        self.pending.remove(&id)
    }

    /// Returns the calls that satisfy a predicate, in the order of their arrival.
    pub fn find(&self, predicate: impl Fn(&PendingCall) -> bool) -> Vec<PendingCallId> {
        self.pending.iter().filter(|(_, pending)| predicate(pending)).map(|(id, _)| *id).collect()
    }

    /// Returns the calls whose proposal became the applied entry with this index and term. Proposals at the same index
    /// in another term were overwritten by this entry: their calls wait for a leader again.
    pub fn resolve_proposals(&mut self, index: u64, term: u64) -> Vec<PendingCallId> {
        let at_index = |stage| matches!(stage, CallStage::Proposed { index: own, .. } if own == index);
        let decided = CallStage::Proposed { index, term };
        self.restart(|stage| at_index(stage) && stage != decided);
        self.find(|pending| pending.stage == decided)
    }

    /// Resets the calls at the matching stages, so that they wait for a leader again.
    pub fn restart(&mut self, predicate: impl Fn(CallStage) -> bool) {
        for pending in self.pending.values_mut().filter(|pending| predicate(pending.stage)) {
            pending.stage = CallStage::WaitingForLeader;
        }
    }
}

/// The length of a call's body, in bytes.
fn body_len(call: &OperatorCall) -> usize {
    match call {
        OperatorCall::Change { body, .. } => body.len(),
        OperatorCall::Read => 0,
    }
}
