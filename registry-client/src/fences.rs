//! Fencing check for a resource that holders of duties change: a change is refused if its fencing number is
//! older than the newest one seen for that duty. Does no I/O; an owner that persists the table stores
//! [`FenceTable::seen`].

use std::collections::BTreeMap;

use shaletrail_registry_protocol::duty::Fence;

/// Highest number of duties in one table.
pub const MAX_DUTIES: usize = 64;

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceRefusal {
    #[error("duty {duty}: fencing number {fence} is old, {newest} has been here")]
    Outdated { duty: String, fence: u64, newest: u64 },
    #[error("{MAX_DUTIES} duties are told apart here, the most that can be")]
    Full,
}

/// The newest fencing number seen for each duty. Numbers never decrease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FenceTable {
    seen: BTreeMap<String, u64>,
}

impl FenceTable {
    /// Restores a table from the numbers that [`FenceTable::seen`] gave, by the duty's name.
    pub fn from_numbers(seen: BTreeMap<String, u64>) -> Self {
        FenceTable { seen }
    }

    /// The newest number seen for each duty, by the duty's name, for an owner that persists the table.
    pub fn seen(&self) -> &BTreeMap<String, u64> {
        &self.seen
    }

    /// Admits a change. Returns `true` if its number is newer than the one in the table; a persistent owner
    /// must store the table before it makes the change.
    ///
    /// # Errors
    /// The number is older than the newest one seen, or the table is full.
    pub fn admit(&mut self, fence: &Fence) -> Result<bool, FenceRefusal> {
        let newest = self.seen.get(&fence.duty).copied();
        match newest {
            Some(newest) if fence.fence < newest => {
                Err(FenceRefusal::Outdated { duty: fence.duty.clone(), fence: fence.fence, newest })
            }
            None if self.seen.len() >= MAX_DUTIES => Err(FenceRefusal::Full),
            _ => {
                self.seen.insert(fence.duty.clone(), fence.fence);
                Ok(newest != Some(fence.fence))
            }
        }
    }
}
