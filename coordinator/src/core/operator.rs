//! Calls of the operator that wait for their answer.
//!
//! A call is answered only by the configuration's shard: by the entry that its proposal became, or by a read
//! that a majority has confirmed. A node that does not lead the shard hands the call to the leader. Nobody is
//! ever given an answer by guess: a call whose end is not known in time is answered `Unavailable`, and as
//! changes are remembered by content it may come again, anywhere.

use std::collections::BTreeMap;

use shaletrail_protocol::inside::OperatorCall;
use shaletrail_protocol::{Incarnation, Millis, NodeId};

use crate::interface::CallId;

/// Calls that may wait at once.
const MOST_CALLS: usize = 64;
/// How long a call may wait. Operators go on to another node after a second; large bodies take longer.
const PATIENCE: Millis = 900;
/// What is added for each MB of a call's body.
const PATIENCE_PER_MB: Millis = 500;
/// Bits of a ticket that count the calls of one start of the process; the others name the start.
const COUNTER_BITS: u32 = 32;

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

/// Names a call in the table. Never used twice, by this start of the process or another one: a leader's answer to a
/// call of an earlier start finds nobody.
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
#[derive(Debug)]
pub struct OperatorCalls {
    pending: BTreeMap<Ticket, Pending>,
    next: u64,
}

impl OperatorCalls {
    /// No calls, at a process that starts.
    pub fn new(incarnation: Incarnation) -> Self {
        OperatorCalls { pending: BTreeMap::new(), next: incarnation.0 << COUNTER_BITS }
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
        self.next += 1;
        let ticket = Ticket(self.next);
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

    /// Sets back to waiting what rests on a leadership that has changed.
    pub fn start_over(&mut self, concerns: impl Fn(Stage) -> bool) {
        for pending in self.pending.values_mut().filter(|pending| concerns(pending.stage)) {
            pending.stage = Stage::Waiting;
        }
    }
}
