//! The most recently applied changes, so that a retry of an applied change is acknowledged again instead of rejected.

use std::collections::{HashSet, VecDeque};

use bitcode::{Decode, Encode};

use crate::content_hash::ContentHash;

/// Capacity of the window.
const MAX_CHANGES: usize = 4096;

/// An entry of the window: a change that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct AppliedChange {
    /// The version that the change was based on; strictly increasing from one applied change to the next.
    pub(crate) base_version: u64,
    /// The hash that identifies the change.
    pub(crate) content_hash: ContentHash,
}

/// The most recently applied changes, up to [`MAX_CHANGES`].
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct DedupWindow {
    /// Oldest first.
    changes: VecDeque<AppliedChange>,
    content_hashes: HashSet<ContentHash>,
    /// Base version of the change that was evicted last; `None` if none was evicted.
    newest_evicted_base: Option<u64>,
}

impl DedupWindow {
    /// Restores a window from the values of [`iter`](DedupWindow::iter) and
    /// [`newest_evicted_base`](DedupWindow::newest_evicted_base).
    pub(crate) fn restore(changes: Vec<AppliedChange>, newest_evicted_base: Option<u64>) -> Self {
        let mut window = DedupWindow { newest_evicted_base, ..DedupWindow::default() };
        changes.into_iter().for_each(|change| window.push(change));
        window
    }

    /// Returns whether the change with this hash is in the window, that is, was applied recently.
    pub(crate) fn contains(&self, content_hash: ContentHash) -> bool {
        self.content_hashes.contains(&content_hash)
    }

    /// Returns whether a change based on `base_version` may have been applied and evicted since. Base versions increase
    /// with each applied change, so this holds for all versions up to the newest evicted base.
    pub(crate) fn may_have_evicted(&self, base_version: u64) -> bool {
        self.newest_evicted_base.is_some_and(|newest| base_version <= newest)
    }

    /// Adds a change and evicts the oldest one if the window is full.
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

    /// Returns all changes in the window, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = AppliedChange> + '_ {
        self.changes.iter().copied()
    }

    /// Returns the base version of the change that was evicted last, or `None` if none was evicted.
    pub(crate) fn newest_evicted_base(&self) -> Option<u64> {
        self.newest_evicted_base
    }
}
