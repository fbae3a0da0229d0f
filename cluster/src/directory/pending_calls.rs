//! Calls by servers (drains and deregistrations) that wait until a majority of the voters has acknowledged them.

use std::collections::VecDeque;

use shaletrail_protocol::Millis;

use super::options::MAX_PENDING_CALLS;
use super::server_entry::{LifecycleStage, ServerKey};

/// Identifies a pending call; unique within one directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub u64);

/// The outcome of a pending call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A majority has acknowledged the call, so that the server may be answered with success.
    Acknowledged(CallToken),
    /// No majority has acknowledged the call in time, or too many calls were pending. The server should retry with
    /// another coordinator.
    Failed(CallToken),
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    token: CallToken,
    server: ServerKey,
    stage: LifecycleStage,
    deadline: Millis,
}

/// The pending calls in order of their deadlines, and the completed ones that have not been taken yet.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    last_token: u64,
    pending: VecDeque<PendingCall>,
    completed: Vec<CallOutcome>,
}

impl PendingCalls {
    /// Adds a call that waits until a majority knows that the server has reached `stage`, or until the deadline. It
    /// fails at once if [`MAX_PENDING_CALLS`] calls are pending. Deadlines must not decrease from call to call.
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

    /// Completes the calls of one server that wait for `stage` or an earlier stage, once a majority knows of `stage`.
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

    /// Whether a call of this server is pending.
    pub(super) fn contains(&self, server: ServerKey) -> bool {
        self.pending.iter().any(|call| call.server == server)
    }

    /// The server of each pending call; a server with several calls is repeated.
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
