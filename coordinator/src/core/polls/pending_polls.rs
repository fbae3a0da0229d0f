//! The table of polls that wait for updates.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::DirectoryCursor;
use shaletrail_protocol::{Millis, NodeId};

use crate::interface::CallId;

/// Polls that may be pending at once; further ones are not answered, so that their edges time out and poll elsewhere.
const MAX_PENDING_POLLS: usize = 2_048;
/// How long a poll may be pending, whatever its request asks for.
const MAX_WAIT: Millis = 10_000;

/// A poll that waits for updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingPoll {
    /// The data-plane node that polls.
    pub edge: NodeId,
    /// The version of the configuration that it has; 0 if none.
    pub config_version: u64,
    /// The state of the directory that it has.
    pub cursor: DirectoryCursor,
    /// Hash of the list of edges that it has.
    pub edge_list_hash: u64,
    /// When the poll is answered even without updates.
    pub deadline: Millis,
}

/// All polls that wait for updates.
#[derive(Debug, Default)]
pub struct PendingPolls {
    pending: BTreeMap<CallId, PendingPoll>,
}

impl PendingPolls {
    /// Adds a poll; `false` if too many are pending.
    pub fn add(&mut self, now: Millis, call: CallId, mut poll: PendingPoll) -> bool {
        if self.pending.len() >= MAX_PENDING_POLLS {
            return false;
        }
        poll.deadline = poll.deadline.min(now + MAX_WAIT);
        self.pending.insert(call, poll);
        true
    }

    /// Removes a poll that is answered now or was cancelled.
    pub fn remove(&mut self, call: CallId) -> Option<PendingPoll> {
        self.pending.remove(&call)
    }

    /// The polls that satisfy a predicate.
    pub fn find(&self, predicate: impl Fn(&PendingPoll) -> bool) -> Vec<CallId> {
        self.pending.iter().filter(|(_, poll)| predicate(poll)).map(|(call, _)| *call).collect()
    }
}
