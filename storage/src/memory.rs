//! A disk in memory for tests: loses power, fills up, stalls and fails on demand. All luck is seeded.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Disk;

/// Bytes that a torn write keeps or loses together.
const SECTOR: usize = 512;

/// A disk in memory. Clones share one disk, so that a test keeps a hold on what it has given away.
#[derive(Clone)]
pub struct MemoryDisk {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// What the disk refuses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every write and every new file is refused for lack of space.
    pub full: bool,
    /// Every write is refused.
    pub writes_fail: bool,
    /// Every sync is refused; what it should have covered stays as it was.
    pub syncs_fail: bool,
    /// Every read is refused.
    pub reads_fail: bool,
}

struct State {
    luck: Pcg64Mcg,
    faults: Faults,
    /// Calls that still succeed before the power goes.
    calls_left: Option<u64>,
    /// Calls that still succeed before one is refused.
    calls_to_refusal: Option<u64>,
    /// Calls that still succeed before the disk is full.
    calls_to_full: Option<u64>,
    powered: bool,
    /// While closed, calls wait.
    closed: bool,
    waiting: usize,
    /// Calls that change something, so far.
    changes: u64,
    syncs: u64,
    bytes_written: u64,
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    lasting_names: BTreeMap<String, usize>,
}

#[derive(Clone, Default)]
struct File {
    content: Vec<u8>,
    /// What a loss of power cannot take.
    lasting: Vec<u8>,
    unsynced: Vec<Change>,
}

#[derive(Clone)]
enum Change {
    Length(usize),
    Write { offset: usize, bytes: Vec<u8> },
}

impl MemoryDisk {
    /// An empty disk without trouble.
    pub fn new(seed: u64) -> Self {
        let state = State {
            luck: Pcg64Mcg::seed_from_u64(seed),
            faults: Faults::default(),
            calls_left: None,
            calls_to_refusal: None,
            calls_to_full: None,
            powered: true,
            closed: false,
            waiting: 0,
            changes: 0,
            syncs: 0,
            bytes_written: 0,
            files: Vec::new(),
            names: BTreeMap::new(),
            lasting_names: BTreeMap::new(),
        };
        MemoryDisk { shared: Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() }) }
    }

    /// Sets what is refused from now on.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        state.faults = faults;
        state.calls_to_full = None;
    }

    /// Lets `calls` more calls that change something succeed; then the power is gone, with the next call half done.
    pub fn cut_power_after(&self, calls: u64) {
        self.lock().calls_left = Some(calls);
    }

    /// Lets `calls` more calls that change something succeed, and refuses the next one, which changes nothing.
    pub fn refuse_after(&self, calls: u64) {
        self.lock().calls_to_refusal = Some(calls);
    }

    /// Lets `calls` more calls that change something succeed; then the disk is full until other
    /// [faults](MemoryDisk::set_faults) are set.
    pub fn fill_up_after(&self, calls: u64) {
        self.lock().calls_to_full = Some(calls);
    }

    /// Whether there is power.
    pub fn powered(&self) -> bool {
        self.lock().powered
    }

    /// A loss of power, if it has not happened yet, and its return. Each write that no sync covers is kept, missing
    /// or torn, each name that no sync of the folder covers is kept or lost; now and then all of them are lost.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.lose_power();
        state.powered = true;
        state.calls_left = None;
    }

    /// Makes calls wait from now on.
    pub fn close_gate(&self) {
        self.lock().closed = true;
    }

    /// Lets waiting calls go on.
    pub fn open_gate(&self) {
        self.lock().closed = false;
        self.shared.changed.notify_all();
    }

    /// Waits until a call waits at the closed gate.
    pub fn wait_until_stalled(&self) {
        let mut state = self.lock();
        while state.waiting == 0 {
            state = self.shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Calls so far that changed something, syncs among them.
    pub fn changes(&self) -> u64 {
        self.lock().changes
    }

    /// Syncs of files so far.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    /// Bytes written so far.
    pub fn bytes_written(&self) -> u64 {
        self.lock().bytes_written
    }

    /// Flips bits of a byte, behind the back of whoever uses the disk. Whether the byte is there.
    pub fn damage(&self, name: &str, offset: usize, bits: u8) -> bool {
        let mut state = self.lock();
        let Some(file) = state.file(name) else { return false };
        let places = [file.content.get_mut(offset), file.lasting.get_mut(offset)];
        places.into_iter().flatten().map(|byte| *byte ^= bits).count() > 0
    }

    /// Removes all files, as on a disk that was exchanged.
    pub fn wipe(&self) {
        let mut state = self.lock();
        state.files.clear();
        state.names.clear();
        state.lasting_names.clear();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the gate, then for the power.
    fn enter(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.lock();
        while state.closed {
            state.waiting += 1;
            self.shared.changed.notify_all();
            state = self.shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
            state.waiting -= 1;
        }
        if !state.powered {
            return Err(io::Error::other("no power"));
        }
        Ok(state)
    }
}

/// A call that changes something.
enum Call<'a> {
    Create { name: &'a str, length: usize },
    Write { name: &'a str, offset: usize, bytes: &'a [u8] },
    Sync { name: &'a str },
    Remove { name: &'a str },
    SyncFolder,
}

impl State {
    fn file(&mut self, name: &str) -> Option<&mut File> {
        let index = *self.names.get(name)?;
        self.files.get_mut(index)
    }

    /// Carries out a call, or half of it if the power goes now.
    fn change(&mut self, call: Call<'_>) -> io::Result<()> {
        self.changes += 1;
        if self.calls_left == Some(0) {
            // Whether the call reached the disk is a matter of luck, too.
            if self.luck.random() {
                let _interrupted = self.carry_out(call);
            }
            self.lose_power();
            return Err(io::Error::other("the power is gone"));
        }
        self.calls_left = self.calls_left.map(|left| left - 1);
        let refused = self.calls_to_refusal == Some(0);
        self.calls_to_refusal = self.calls_to_refusal.and_then(|left| left.checked_sub(1));
        if refused {
            return Err(io::Error::other("refused"));
        }
        self.faults.full |= self.calls_to_full == Some(0);
        self.calls_to_full = self.calls_to_full.and_then(|left| left.checked_sub(1));
        self.carry_out(call)
    }

    fn carry_out(&mut self, call: Call<'_>) -> io::Result<()> {
        let refused = match &call {
            Call::Create { .. } | Call::Write { .. } if self.faults.full => Some(io::ErrorKind::StorageFull),
            Call::Create { .. } | Call::Write { .. } if self.faults.writes_fail => Some(io::ErrorKind::Other),
            Call::Sync { .. } | Call::SyncFolder if self.faults.syncs_fail => Some(io::ErrorKind::Other),
            _ => None,
        };
        if let Some(kind) = refused {
            return Err(kind.into());
        }
        match call {
            Call::Create { name, length } => self.create(name, length),
            Call::Write { name, offset, bytes } => {
                self.bytes_written += bytes.len() as u64;
                let change = Change::Write { offset, bytes: bytes.to_vec() };
                let file = self.file(name).ok_or(io::ErrorKind::NotFound)?;
                change.apply(&mut file.content);
                file.unsynced.push(change);
            }
            Call::Sync { name } => {
                self.syncs += 1;
                let file = self.file(name).ok_or(io::ErrorKind::NotFound)?;
                file.settle(Change::apply);
            }
            Call::Remove { name } => {
                self.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
            }
            Call::SyncFolder => self.lasting_names = self.names.clone(),
        }
        Ok(())
    }

    fn create(&mut self, name: &str, length: usize) {
        let change = Change::Length(length);
        let mut file = File::default();
        change.apply(&mut file.content);
        file.unsynced.push(change);
        self.names.insert(name.to_owned(), self.files.len());
        self.files.push(file);
    }

    fn lose_power(&mut self) {
        if !self.powered {
            return;
        }
        self.powered = false;
        let all_lost = self.luck.random_ratio(1, 4);
        for file in &mut self.files {
            let luck = &mut self.luck;
            file.settle(|change, lasting| {
                if !all_lost {
                    change.apply_by_luck(lasting, luck)
                }
            });
        }
        let mut names: Vec<String> = self.names.keys().chain(self.lasting_names.keys()).cloned().collect();
        names.sort_unstable();
        names.dedup();
        for name in names {
            if !all_lost && self.luck.random() {
                match self.names.get(&name) {
                    Some(index) => self.lasting_names.insert(name, *index),
                    None => self.lasting_names.remove(&name),
                };
            }
        }
        self.names = self.lasting_names.clone();
    }
}

impl File {
    /// Makes changes last in the way that `apply` does, and shows the result.
    fn settle(&mut self, mut apply: impl FnMut(&Change, &mut Vec<u8>)) {
        for change in self.unsynced.drain(..) {
            apply(&change, &mut self.lasting);
        }
        self.content.clone_from(&self.lasting);
    }
}

impl Change {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Change::Length(length) => content.resize(*length, 0),
            Change::Write { offset, bytes } => write(content, *offset, bytes),
        }
    }

    /// Kept, missing or torn.
    fn apply_by_luck(&self, content: &mut Vec<u8>, luck: &mut Pcg64Mcg) {
        match (luck.random_range(0..4), self) {
            (0, _) => {}
            (1, Change::Write { offset, bytes }) => {
                let kept = luck.random_range(0..=bytes.len());
                write(content, *offset, bytes.get(..kept).unwrap_or_default());
            }
            (2, Change::Write { offset, bytes }) => {
                for (number, sector) in bytes.chunks(SECTOR).enumerate().filter(|_| luck.random()) {
                    write(content, offset + number * SECTOR, sector);
                }
            }
            _ => self.apply(content),
        }
    }
}

fn write(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    if let Some(place) = content.get_mut(offset..end) {
        place.copy_from_slice(bytes);
    }
}

impl Disk for MemoryDisk {
    fn create(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.enter()?.change(Call::Create { name, length: length as usize })
    }

    fn read_at(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut state = self.enter()?;
        if state.faults.reads_fail {
            return Err(io::ErrorKind::Other.into());
        }
        let file = state.file(name).ok_or(io::ErrorKind::NotFound)?;
        let rest = file.content.get(offset as usize..).unwrap_or_default();
        Ok(rest.get(..length).unwrap_or(rest).to_vec())
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.enter()?.change(Call::Write { name, offset: offset as usize, bytes })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.enter()?.change(Call::Sync { name })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.enter()?.change(Call::Remove { name })
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.enter()?.names.keys().cloned().collect())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.enter()?.change(Call::SyncFolder)
    }
}
