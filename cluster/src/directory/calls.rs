//! Calls of servers that are answered once a majority of the coordinators knows what they said.

use std::collections::VecDeque;

use shaletrail_protocol::Millis;

use super::entry::{ServerKey, Stage};
use super::options::MAX_PENDING_CALLS;

/// Names a call that waits; never used twice by one directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub u64);

/// How a call has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A majority knows: the call may be acknowledged.
    Settled(CallToken),
    /// No majority has confirmed in time: the server should ask another coordinator.
    Failed(CallToken),
}

#[derive(Clone, Copy, Debug)]
struct Call {
    token: CallToken,
    server: ServerKey,
    stage: Stage,
    deadline: Millis,
}

/// Calls that wait, and those that have ended.
#[derive(Debug, Default)]
pub(super) struct Calls {
    last: u64,
    waiting: VecDeque<Call>,
    ended: Vec<CallOutcome>,
}

impl Calls {
    /// Registers a call that waits until the majority knows the server to be at `stage`, or until the deadline.
    pub(super) fn register(&mut self, server: ServerKey, stage: Stage, deadline: Millis) -> CallToken {
        self.last += 1;
        let token = CallToken(self.last);
        if self.waiting.len() >= MAX_PENDING_CALLS {
            self.ended.push(CallOutcome::Failed(token));
        } else {
            self.waiting.push_back(Call { token, server, stage, deadline });
        }
        token
    }

    /// Ends the calls on one server that its stage, known to the majority, satisfies.
    pub(super) fn settle(&mut self, server: ServerKey, stage: Stage) {
        let ended = &mut self.ended;
        self.waiting.retain(|call| {
            let settled = call.server == server && call.stage <= stage;
            if settled {
                ended.push(CallOutcome::Settled(call.token));
            }
            !settled
        });
    }

    /// Gives up the calls whose time is over.
    pub(super) fn expire(&mut self, now: Millis) {
        let ended = &mut self.ended;
        self.waiting.retain(|call| {
            let over = call.deadline <= now;
            if over {
                ended.push(CallOutcome::Failed(call.token));
            }
            !over
        });
    }

    pub(super) fn waits_for(&self, server: ServerKey) -> bool {
        self.waiting.iter().any(|call| call.server == server)
    }

    pub(super) fn servers(&self) -> Vec<ServerKey> {
        self.waiting.iter().map(|call| call.server).collect()
    }

    pub(super) fn next_deadline(&self) -> Option<Millis> {
        self.waiting.front().map(|call| call.deadline)
    }

    pub(super) fn take_ended(&mut self) -> Vec<CallOutcome> {
        std::mem::take(&mut self.ended)
    }
}
