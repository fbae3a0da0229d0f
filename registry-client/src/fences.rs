//! The guard of a thing that duties change: it takes no change under a fencing number that is older than one it has
//! seen. Pure; whoever keeps it on disk writes [`Book::seen`].

use std::collections::BTreeMap;

use shaletrail_registry_protocol::duty::Fence;

/// Duties that one guard tells apart.
pub const MOST_GUARDED: usize = 64;

/// Why a change is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Barred {
    #[error("duty {duty}: fencing number {fence} is old, {newest} has been here")]
    Old { duty: String, fence: u64, newest: u64 },
    #[error("{MOST_GUARDED} duties are told apart here, the most that can be")]
    Full,
}

/// The highest fencing number of each duty. It only grows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Book {
    seen: BTreeMap<String, u64>,
}

impl Book {
    pub fn of(seen: BTreeMap<String, u64>) -> Self {
        Book { seen }
    }

    pub fn seen(&self) -> &BTreeMap<String, u64> {
        &self.seen
    }

    /// Lets a change in. True where its number is news, which is to be kept before the change is made.
    ///
    /// # Errors
    /// An older number than the newest seen.
    pub fn admit(&mut self, fence: &Fence) -> Result<bool, Barred> {
        let newest = self.seen.get(&fence.duty).copied();
        match newest {
            Some(newest) if fence.fence < newest => {
                Err(Barred::Old { duty: fence.duty.clone(), fence: fence.fence, newest })
            }
            None if self.seen.len() >= MOST_GUARDED => Err(Barred::Full),
            _ => {
                self.seen.insert(fence.duty.clone(), fence.fence);
                Ok(newest != Some(fence.fence))
            }
        }
    }
}
