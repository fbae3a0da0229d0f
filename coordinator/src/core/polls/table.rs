//! Polls of data-plane nodes that wait for news.

use std::collections::BTreeMap;

use shaletrail_protocol::internal::DirectoryCursor;
use shaletrail_protocol::{Millis, NodeId};

use crate::interface::CallId;

/// Polls that may wait at once.
const MOST_POLLS: usize = 2_048;
/// The longest time for which a poll is held, whatever it asks for.
const LONGEST_HOLD: Millis = 10_000;

/// A poll that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingPoll {
    /// Whose.
    pub edge: NodeId,
    /// The configuration in force there.
    pub config_version: u64,
    /// What it knows of the directory.
    pub cursor: DirectoryCursor,
    /// The list of edges that it knows.
    pub edge_list: u64,
    /// When it is answered even without news.
    pub due: Millis,
}

/// All polls that wait.
#[derive(Debug, Default)]
pub struct PendingPolls {
    waiting: BTreeMap<CallId, PendingPoll>,
}

impl PendingPolls {
    /// Takes a poll in; false if too many wait.
    pub fn add(&mut self, now: Millis, call: CallId, mut poll: PendingPoll) -> bool {
        if self.waiting.len() >= MOST_POLLS {
            return false;
        }
        poll.due = poll.due.min(now + LONGEST_HOLD);
        self.waiting.insert(call, poll);
        true
    }

    /// Takes a poll out, to be answered or as its caller has left.
    pub fn remove(&mut self, call: CallId) -> Option<PendingPoll> {
        self.waiting.remove(&call)
    }

    /// The polls for which something holds.
    pub fn find(&self, holds: impl Fn(&PendingPoll) -> bool) -> Vec<CallId> {
        self.waiting.iter().filter(|(_, poll)| holds(poll)).map(|(call, _)| *call).collect()
    }
}
