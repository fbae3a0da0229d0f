//! Which of the latest changes were applied, so that a repeated call is acknowledged again and not refused.

use std::collections::{HashSet, VecDeque};

use bitcode::{Decode, Encode};

use crate::content_hash::ContentHash;

/// Number of changes in the window.
const MAX_CHANGES: usize = 4096;

/// A change that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct AppliedChange {
    /// The version that it built on; rises from one applied change to the next.
    pub(crate) base_version: u64,
    /// Its identity.
    pub(crate) content_hash: ContentHash,
}

/// The latest changes that were applied.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct DedupWindow {
    /// Oldest first.
    changes: VecDeque<AppliedChange>,
    content_hashes: HashSet<ContentHash>,
    newest_evicted_base: Option<u64>,
}

impl DedupWindow {
    /// The window from its [`iter`](DedupWindow::iter) and [`newest_evicted_base`](DedupWindow::newest_evicted_base).
    pub(crate) fn restore(changes: Vec<AppliedChange>, newest_evicted_base: Option<u64>) -> Self {
        let mut window = DedupWindow { newest_evicted_base, ..DedupWindow::default() };
        changes.into_iter().for_each(|change| window.push(change));
        window
    }

    /// Whether a change was applied and is in the window.
    pub(crate) fn contains(&self, content_hash: ContentHash) -> bool {
        self.content_hashes.contains(&content_hash)
    }

    /// Whether a change that built on `base_version` may have been applied and evicted since.
    pub(crate) fn may_have_evicted(&self, base_version: u64) -> bool {
        self.newest_evicted_base.is_some_and(|newest| base_version <= newest)
    }

    /// Adds a change, and evicts the oldest one if the window is full.
    pub(crate) fn push(&mut self, change: AppliedChange) {
        if !self.content_hashes.insert(change.content_hash) {
            return;
        }
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            if let Some(oldest) = self.changes.pop_front() {
                self.content_hashes.remove(&oldest.content_hash);
                self.newest_evicted_base = Some(oldest.base_version);
            }
        }
    }

    /// All changes in the window, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = AppliedChange> + '_ {
        self.changes.iter().copied()
    }

    /// The version that the newest evicted change built on; `None` if none was evicted.
    pub(crate) fn newest_evicted_base(&self) -> Option<u64> {
        self.newest_evicted_base
    }
}
