//! Faults that a [`MemoryDisk`](super::MemoryDisk) injects into its calls.

use std::io;

use super::volume::Mutation;

/// Faults that stay in effect until other faults are set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every write and every creation of a file fails with [`io::ErrorKind::StorageFull`].
    pub full: bool,
    /// Every write and every creation of a file fails.
    pub writes_fail: bool,
    /// Every sync fails. The writes that it should have covered stay unsynced.
    pub syncs_fail: bool,
    /// Every read fails.
    pub reads_fail: bool,
}

impl Faults {
    /// Returns the error that these faults cause in a mutating call, or `None` if the call succeeds.
    pub(super) fn error_for(&self, mutation: &Mutation<'_>) -> Option<io::ErrorKind> {
        match mutation {
            Mutation::Create { .. } | Mutation::Write { .. } if self.full => Some(io::ErrorKind::StorageFull),
            Mutation::Create { .. } | Mutation::Write { .. } if self.writes_fail => {
                Some(io::ErrorKind::Other)
            }
            Mutation::Sync { .. } | Mutation::SyncDirectory if self.syncs_fail => Some(io::ErrorKind::Other),
            _ => None,
        }
    }
}

/// Faults that occur once, after the given number of further mutating calls; `None` if not scheduled.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ScheduledFaults {
    pub calls_until_power_loss: Option<u64>,
    pub calls_until_failure: Option<u64>,
    pub calls_until_full: Option<u64>,
}

/// Counts one call down and returns whether the scheduled fault occurs in this call.
pub(super) fn count_down(calls_left: &mut Option<u64>) -> bool {
    let is_due = *calls_left == Some(0);
    *calls_left = calls_left.and_then(|left| left.checked_sub(1));
    is_due
}
