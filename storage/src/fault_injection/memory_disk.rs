//! The in-memory disk: implements [`Disk`] for the journal and fault controls for tests.

use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::faults::{count_down, Faults, ScheduledFaults};
use super::volume::{Mutation, Volume};
use crate::Disk;

/// An in-memory disk with fault injection. Clones share the same disk, so a test can keep a clone to control the disk
/// that it has handed to a journal.
#[derive(Clone)]
pub struct MemoryDisk {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    /// Notified when a call blocks on a stall and when the stall ends.
    stall_changed: Condvar,
}

struct State {
    volume: Volume,
    rng: Pcg64Mcg,
    faults: Faults,
    scheduled: ScheduledFaults,
    is_powered: bool,
    /// While this is set, calls block.
    is_stalled: bool,
    blocked_calls: usize,
    mutations: u64,
    syncs: u64,
}

impl MemoryDisk {
    /// Creates an empty disk without faults. `seed` determines all random choices.
    pub fn new(seed: u64) -> Self {
        let state = State {
            volume: Volume::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            faults: Faults::default(),
            scheduled: ScheduledFaults::default(),
            is_powered: true,
            is_stalled: false,
            blocked_calls: 0,
            mutations: 0,
            syncs: 0,
        };
        MemoryDisk { shared: Arc::new(Shared { state: Mutex::new(state), stall_changed: Condvar::new() }) }
    }

    /// Replaces the current faults, and cancels [`fill_up_after`](MemoryDisk::fill_up_after).
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        state.faults = faults;
        state.scheduled.calls_until_full = None;
    }

    /// Lets `calls` more mutating calls succeed, then loses power during the next one.
    pub fn lose_power_after(&self, calls: u64) {
        self.lock().scheduled.calls_until_power_loss = Some(calls);
    }

    /// Lets `calls` more mutating calls succeed, then fails the next one without any effect.
    pub fn fail_after(&self, calls: u64) {
        self.lock().scheduled.calls_until_failure = Some(calls);
    }

    /// Lets `calls` more mutating calls succeed. After that the disk is full until
    /// [`set_faults`](MemoryDisk::set_faults) is called.
    pub fn fill_up_after(&self, calls: u64) {
        self.lock().scheduled.calls_until_full = Some(calls);
    }

    /// Returns whether the disk has power. Without power every call fails.
    pub fn is_powered(&self) -> bool {
        self.lock().is_powered
    }

    /// Loses power, unless it is already lost, and restores it. Each unsynced write is kept, lost or torn at random,
    /// and each unsynced file name is kept or lost at random. With a probability of 1 in 4, all unsynced changes are
    /// lost.
    pub fn power_cycle(&self) {
        let mut state = self.lock();
        state.lose_power();
        state.is_powered = true;
        state.scheduled.calls_until_power_loss = None;
    }

    /// Makes all further calls block until [`resume`](MemoryDisk::resume) is called.
    pub fn stall(&self) {
        self.lock().is_stalled = true;
    }

    /// Ends the stall and unblocks the waiting calls.
    pub fn resume(&self) {
        self.lock().is_stalled = false;
        self.shared.stall_changed.notify_all();
    }

    /// Blocks until the stall has blocked at least one call.
    pub fn wait_until_stalled(&self) {
        let mut state = self.lock();
        while state.blocked_calls == 0 {
            state = self.shared.stall_changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Returns the number of mutating calls so far, including syncs and failed calls.
    pub fn mutation_count(&self) -> u64 {
        self.lock().mutations
    }

    /// Returns the number of file syncs so far, not counting calls that an injected fault refused.
    pub fn sync_count(&self) -> u64 {
        self.lock().syncs
    }

    /// Flips bits of one byte, both in the readable and in the durable content. Returns whether the byte exists.
    pub fn corrupt_byte(&self, name: &str, offset: usize, flipped_bits: u8) -> bool {
        let mut state = self.lock();
        let Ok(file) = state.volume.file(name) else { return false };
        let bytes = [file.content.get_mut(offset), file.durable.get_mut(offset)];
        bytes.into_iter().flatten().map(|byte| *byte ^= flipped_bits).count() > 0
    }

    /// Removes all files, as if the disk had been replaced.
    pub fn wipe(&self) {
        self.lock().volume = Volume::default();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a call: blocks while the disk is stalled, and fails without power.
    fn begin_call(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.lock();
        while state.is_stalled {
            state.blocked_calls += 1;
            self.shared.stall_changed.notify_all();
            state = self.shared.stall_changed.wait(state).unwrap_or_else(PoisonError::into_inner);
            state.blocked_calls -= 1;
        }
        if !state.is_powered {
            return Err(io::Error::other("simulated disk has no power"));
        }
        Ok(state)
    }

    fn mutate(&self, mutation: Mutation<'_>) -> io::Result<()> {
        self.begin_call()?.mutate(mutation)
    }
}

impl State {
    /// Executes a mutating call, unless a scheduled fault occurs in it.
    fn mutate(&mut self, mutation: Mutation<'_>) -> io::Result<()> {
        self.mutations += 1;
        if count_down(&mut self.scheduled.calls_until_power_loss) {
            // The interrupted call reaches the disk with a probability of 1 in 2.
            if self.rng.random() {
                let _interrupted = self.execute(mutation);
            }
            self.lose_power();
            return Err(io::Error::other("simulated power loss"));
        }
        if count_down(&mut self.scheduled.calls_until_failure) {
            return Err(io::Error::other("simulated disk failure"));
        }
        self.faults.full |= count_down(&mut self.scheduled.calls_until_full);
        self.execute(mutation)
    }

    /// Executes a mutating call, unless one of the current faults makes it fail.
    fn execute(&mut self, mutation: Mutation<'_>) -> io::Result<()> {
        if let Some(kind) = self.faults.error_for(&mutation) {
            return Err(kind.into());
        }
        self.syncs += u64::from(matches!(mutation, Mutation::Sync { .. }));
        self.volume.apply(mutation)
    }

    fn lose_power(&mut self) {
        if self.is_powered {
            self.is_powered = false;
            self.volume.lose_power(&mut self.rng);
        }
    }
}

impl Disk for MemoryDisk {
    fn create(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.mutate(Mutation::Create { name, length: length as usize })
    }

    fn read_at(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut state = self.begin_call()?;
        if state.faults.reads_fail {
            return Err(io::ErrorKind::Other.into());
        }
        let file = state.volume.file(name)?;
        let rest = file.content.get(offset as usize..).unwrap_or_default();
        Ok(rest.get(..length).unwrap_or(rest).to_vec())
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.mutate(Mutation::Write { name, offset: offset as usize, bytes })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.mutate(Mutation::Sync { name })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.mutate(Mutation::Remove { name })
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.begin_call()?.volume.file_names())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.mutate(Mutation::SyncDirectory)
    }
}
