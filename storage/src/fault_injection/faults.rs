//! Which calls of the disk fail.

use std::io;

use super::volume::Mutation;

/// Faults that last until others are set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every write and every creation of a file fails for lack of space.
    pub full: bool,
    /// Every write and every creation of a file fails.
    pub writes_fail: bool,
    /// Every sync fails; the writes that it should have covered stay unsynced.
    pub syncs_fail: bool,
    /// Every read fails.
    pub reads_fail: bool,
}

impl Faults {
    /// The error of a call that changes something, if it fails.
    pub(super) fn error_of(&self, mutation: &Mutation<'_>) -> Option<io::ErrorKind> {
        match mutation {
            Mutation::Create { .. } | Mutation::Write { .. } if self.full => Some(io::ErrorKind::StorageFull),
            Mutation::Create { .. } | Mutation::Write { .. } if self.writes_fail => {
                Some(io::ErrorKind::Other)
            }
            Mutation::Sync { .. } | Mutation::SyncFolder if self.syncs_fail => Some(io::ErrorKind::Other),
            _ => None,
        }
    }
}

/// Faults that happen once, after a number of further calls that change something; `None` for never.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ScheduledFaults {
    pub calls_until_power_loss: Option<u64>,
    pub calls_until_failure: Option<u64>,
    pub calls_until_full: Option<u64>,
}

/// Counts a call; whether the fault happens in it.
pub(super) fn is_due(calls_left: &mut Option<u64>) -> bool {
    let is_due = *calls_left == Some(0);
    *calls_left = calls_left.and_then(|left| left.checked_sub(1));
    is_due
}
