//! The table of polls that wait for updates.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::DirectoryCursor;
use shaletrail_protocol::{Millis, NodeId};

use crate::interface::CallId;

/// Maximum number of pending polls. Further polls get no response, so that their edges time out and poll elsewhere.
const MAX_PENDING_POLLS: usize = 2_048;
/// Upper limit of the time that a poll may be pending, in milliseconds, even if its request allows more.
const MAX_WAIT: Millis = 10_000;

/// A poll that waits for updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingPoll {
    /// The data-plane node that polls.
    pub edge: NodeId,
    /// The configuration version that the node has; 0 if none.
    pub config_version: u64,
    /// The state of the directory that the node has.
    pub cursor: DirectoryCursor,
    /// Hash of the list of edges that the node has.
    pub edge_list_hash: u64,
    /// When the poll is answered even if there are no updates.
    pub deadline: Millis,
}

/// All polls that wait for updates.
#[derive(Debug, Default)]
pub struct PendingPolls {
    pending: BTreeMap<CallId, PendingPoll>,
}

impl PendingPolls {
    /// Adds a poll; returns `false` if too many are pending.
    pub fn add(&mut self, now: Millis, call: CallId, mut poll: PendingPoll) -> bool {
        if self.pending.len() >= MAX_PENDING_POLLS {
            return false;
        }
        poll.deadline = poll.deadline.min(now + MAX_WAIT);
        self.pending.insert(call, poll);
        true
    }

    /// Removes a poll that is being answered or was cancelled; `None` if it is not pending.
    pub fn remove(&mut self, call: CallId) -> Option<PendingPoll> {
        self.pending.remove(&call)
    }

    /// Returns the calls of the polls that satisfy a predicate.
    pub fn find(&self, predicate: impl Fn(&PendingPoll) -> bool) -> Vec<CallId> {
        self.pending.iter().filter(|(_, poll)| predicate(poll)).map(|(call, _)| *call).collect()
    }
}
