//! The disk in memory, as the journal and a test use it.

use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::faults::{is_due, Faults, ScheduledFaults};
use super::volume::{Mutation, Volume};
use crate::Disk;

/// A disk in memory with fault injection. Clones share one disk, so that a test controls the one that it has given away.
#[derive(Clone)]
pub struct MemoryDisk {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    /// Signalled whenever a call stalls or goes on.
    stall_changed: Condvar,
}

struct State {
    volume: Volume,
    rng: Pcg64Mcg,
    faults: Faults,
    scheduled: ScheduledFaults,
    is_powered: bool,
    /// While set, calls block.
    is_stalled: bool,
    blocked_calls: usize,
    mutations: u64,
    syncs: u64,
}

impl MemoryDisk {
    /// An empty disk without faults.
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

    /// Sets the faults from now on, and cancels [`fill_up_after`](MemoryDisk::fill_up_after).
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        state.faults = faults;
        state.scheduled.calls_until_full = None;
    }

    /// Lets `calls` more calls that change something succeed; then the power is lost during the next one.
    pub fn lose_power_after(&self, calls: u64) {
        self.lock().scheduled.calls_until_power_loss = Some(calls);
    }

    /// Lets `calls` more calls that change something succeed, and fails the next one, which changes nothing.
    pub fn fail_after(&self, calls: u64) {
        self.lock().scheduled.calls_until_failure = Some(calls);
    }

    /// Lets `calls` more calls that change something succeed; then the disk is full until other
    /// [faults](MemoryDisk::set_faults) are set.
    pub fn fill_up_after(&self, calls: u64) {
        self.lock().scheduled.calls_until_full = Some(calls);
    }

    /// Whether there is power.
    pub fn is_powered(&self) -> bool {
        self.lock().is_powered
    }

    /// Loses power, unless that has happened already, and restores it. Each write that no sync covers is kept, missing
    /// or torn, each name that no sync of the directory covers is kept or lost; now and then all of them are lost.
    pub fn power_cycle(&self) {
        let mut state = self.lock();
        state.lose_power();
        state.is_powered = true;
        state.scheduled.calls_until_power_loss = None;
    }

    /// Makes calls block from now on.
    pub fn stall(&self) {
        self.lock().is_stalled = true;
    }

    /// Lets blocked calls go on.
    pub fn resume(&self) {
        self.lock().is_stalled = false;
        self.shared.stall_changed.notify_all();
    }

    /// Waits until a call is blocked by the stall.
    pub fn wait_until_stalled(&self) {
        let mut state = self.lock();
        while state.blocked_calls == 0 {
            state = self.shared.stall_changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Number of calls so far that change something, syncs and failed calls among them.
    pub fn mutations(&self) -> u64 {
        self.lock().mutations
    }

    /// Number of syncs of files so far.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    /// Flips bits of a byte without a call of the journal's. Whether the byte exists.
    pub fn corrupt_byte(&self, name: &str, offset: usize, flipped_bits: u8) -> bool {
        let mut state = self.lock();
        let Ok(file) = state.volume.file(name) else { return false };
        let bytes = [file.content.get_mut(offset), file.durable.get_mut(offset)];
        bytes.into_iter().flatten().map(|byte| *byte ^= flipped_bits).count() > 0
    }

    /// Removes all files, as on a disk that was replaced.
    pub fn wipe(&self) {
        self.lock().volume = Volume::default();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a call: blocks while the disk is stalled, and fails without power.
    fn begin_call(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.lock();
        while state.is_stalled {
            state.blocked_calls += 1;
            self.shared.stall_changed.notify_all();
            state = self.shared.stall_changed.wait(state).unwrap_or_else(PoisonError::into_inner);
            state.blocked_calls -= 1;
        }
        if !state.is_powered {
            return Err(io::Error::other("no power"));
        }
        Ok(state)
    }

    fn mutate(&self, mutation: Mutation<'_>) -> io::Result<()> {
        self.begin_call()?.mutate(mutation)
    }
}

impl State {
    /// Executes a call, unless a scheduled fault happens in it.
    fn mutate(&mut self, mutation: Mutation<'_>) -> io::Result<()> {
        self.mutations += 1;
        if is_due(&mut self.scheduled.calls_until_power_loss) {
            // Whether the call still reached the disk is a matter of chance, too.
            if self.rng.random() {
                let _interrupted = self.execute(mutation);
            }
            self.lose_power();
            return Err(io::Error::other("the power is gone"));
        }
        if is_due(&mut self.scheduled.calls_until_failure) {
            return Err(io::Error::other("refused"));
        }
        self.faults.full |= is_due(&mut self.scheduled.calls_until_full);
        self.execute(mutation)
    }

    /// Executes a call, unless a lasting fault makes it fail.
    fn execute(&mut self, mutation: Mutation<'_>) -> io::Result<()> {
        if let Some(kind) = self.faults.error_of(&mutation) {
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

    fn sync_folder(&mut self) -> io::Result<()> {
        self.mutate(Mutation::SyncFolder)
    }
}
