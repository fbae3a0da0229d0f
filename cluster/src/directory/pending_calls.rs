//! Calls of servers that wait until a majority of the coordinators has acknowledged what they announced.

use std::collections::VecDeque;

use shaletrail_protocol::Millis;

use super::options::MAX_PENDING_CALLS;
use super::server_entry::{LifecycleStage, ServerKey};

/// Identifies a pending call; unique within one directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub u64);

/// How a pending call has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A majority has acknowledged: the server may be answered with success.
    Acknowledged(CallToken),
    /// No majority has acknowledged in time, or too many calls were pending: the server should retry at another
    /// coordinator.
    Failed(CallToken),
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    token: CallToken,
    server: ServerKey,
    stage: LifecycleStage,
    deadline: Millis,
}

/// Pending calls in order of their deadlines, and completed ones until they are taken.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    last_token: u64,
    pending: VecDeque<PendingCall>,
    completed: Vec<CallOutcome>,
}

impl PendingCalls {
    /// Adds a call that waits until a majority knows the server to be at `stage`, or until the deadline. It fails at
    /// once beyond [`MAX_PENDING_CALLS`].
    pub(super) fn add(&mut self, server: ServerKey, stage: LifecycleStage, deadline: Millis) -> CallToken {
        self.last_token += 1;
        let token = CallToken(self.last_token);
        if self.pending.len() >= MAX_PENDING_CALLS {
            self.completed.push(CallOutcome::Failed(token));
        } else {
            self.pending.push_back(PendingCall { token, server, stage, deadline });
        }
        token
    }

    /// Completes the calls on one server that wait for `stage`, which a majority knows, or for an earlier one.
    pub(super) fn acknowledge(&mut self, server: ServerKey, stage: LifecycleStage) {
        let completed = &mut self.completed;
        self.pending.retain(|call| {
            let acknowledged = call.server == server && call.stage <= stage;
            if acknowledged {
                completed.push(CallOutcome::Acknowledged(call.token));
            }
            !acknowledged
        });
    }

    /// Fails the calls whose deadline has passed.
    pub(super) fn expire(&mut self, now: Millis) {
        let completed = &mut self.completed;
        self.pending.retain(|call| {
            let expired = call.deadline <= now;
            if expired {
                completed.push(CallOutcome::Failed(call.token));
            }
            !expired
        });
    }

    /// Whether a call on this server is pending.
    pub(super) fn contains(&self, server: ServerKey) -> bool {
        self.pending.iter().any(|call| call.server == server)
    }

    /// The server of each pending call.
    pub(super) fn servers(&self) -> Vec<ServerKey> {
        self.pending.iter().map(|call| call.server).collect()
    }

    pub(super) fn next_deadline(&self) -> Option<Millis> {
        self.pending.front().map(|call| call.deadline)
    }

    pub(super) fn take_completed(&mut self) -> Vec<CallOutcome> {
        std::mem::take(&mut self.completed)
    }
}
