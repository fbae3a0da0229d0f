//! Calls of the operator that wait for their answer.
//!
//! A call is answered only by the configuration's shard: by the entry that its proposal became, or by a read
//! that a majority has confirmed. A node that does not lead the shard hands the call to the leader. Nobody is
//! ever given an answer by guess: a call whose end is not known in time is answered `Unavailable`, and as
//! changes are remembered by content it may come again, anywhere.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::OperatorCall;
use shaletrail_protocol::{Incarnation, Millis, NodeId};
use shaletrail_ring::mix;

use crate::interface::CallId;

/// Calls that may wait at once.
const MOST_CALLS: usize = 64;
/// How long a call may wait. Operators go on to another node after a second; large bodies take longer.
const PATIENCE: Millis = 900;
/// What is added for each MB of a call's body.
const PATIENCE_PER_MB: Millis = 500;

/// Who waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The operator, at this node.
    Here(CallId),
    /// Another node, which handed it on.
    Node {
        /// The node.
        node: NodeId,
        /// Its name for the call.
        call: u64,
    },
}

/// Names a call in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Where a call stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a leader to be known.
    Waiting,
    /// It was handed to the leader.
    Forwarded(NodeId),
    /// It was proposed as an entry.
    Proposed {
        /// The entry's index.
        index: u64,
        /// The entry's term.
        term: u64,
    },
    /// A read that waits to be confirmed.
    Reading,
}

/// A call that waits.
#[derive(Clone, Debug)]
pub struct Pending {
    /// For whom.
    pub caller: Caller,
    /// What is asked.
    pub call: OperatorCall,
    /// Where it stands.
    pub stage: Stage,
    /// When it is given up.
    pub until: Millis,
}

/// All calls that wait.
#[derive(Debug, Default)]
pub struct OperatorCalls {
    pending: BTreeMap<Ticket, Pending>,
    last: u64,
}

impl OperatorCalls {
    /// For one start of a coordinator. Other starts give other names, so that an answer that is still on its way to
    /// an earlier start, which had handed a call on, is no answer to a call of this one.
    pub fn of_start(incarnation: Incarnation) -> Self {
        OperatorCalls { last: mix(incarnation.0) << 32, ..OperatorCalls::default() }
    }

    /// Takes a call in; `None` if too many wait.
    pub fn add(&mut self, now: Millis, caller: Caller, call: OperatorCall) -> Option<Ticket> {
        if self.pending.len() >= MOST_CALLS {
            return None;
        }
        let megabytes = match &call {
            OperatorCall::Change { body, .. } => body.len() as u64 >> 20,
            OperatorCall::Read => 0,
        };
        let until = now + PATIENCE + PATIENCE_PER_MB * megabytes;
        self.last += 1;
        let ticket = Ticket(self.last);
        self.pending.insert(ticket, Pending { caller, call, stage: Stage::Waiting, until });
        Some(ticket)
    }

    /// A call by its name.
    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Pending> {
        self.pending.get_mut(&ticket)
    }

    /// Ends a call.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Pending> {
        self.pending.remove(&ticket)
    }

    /// The calls for which something holds.
    pub fn find(&self, holds: impl Fn(&Pending) -> bool) -> Vec<Ticket> {
        self.pending.iter().filter(|(_, pending)| holds(pending)).map(|(ticket, _)| *ticket).collect()
    }

    /// The calls that became the entry of this index and term. Calls whose index was taken by an entry of another
    /// term are lost proposals: they are set back to waiting.
    pub fn decided(&mut self, index: u64, term: u64) -> Vec<Ticket> {
        let at_index = |stage| matches!(stage, Stage::Proposed { index: own, .. } if own == index);
        let decided = Stage::Proposed { index, term };
        self.start_over(|stage| at_index(stage) && stage != decided);
        self.find(|pending| pending.stage == decided)
    }

    /// Sets back to waiting what rests on a leadership that has changed.
    pub fn start_over(&mut self, concerns: impl Fn(Stage) -> bool) {
        for pending in self.pending.values_mut().filter(|pending| concerns(pending.stage)) {
            pending.stage = Stage::Waiting;
        }
    }
}
