//! A coordinator's journal on a disk in memory, which may be slow, stall, fill up or lose power.
//!
//! Stands in for the journal's thread: appends are made safe in batches, a failed one is tried again, and a full
//! ring waits for a checkpoint.

use std::collections::VecDeque;
use std::ops::RangeInclusive;

use rand::Rng;
use rand_pcg::Pcg64;
use shaletrail_protocol::Millis;
use shaletrail_storage::fault_injection::{Faults, MemoryDisk};
use shaletrail_storage::{erase, Journal, OpenedJournal, Options, StorageError, StoredRecord};

/// How long something may be unsafe before the disk counts as sick; as in the driver.
const SICK_AFTER: Millis = 400;
/// The pause after a failed attempt; doubled with each further one.
const FIRST_PAUSE: Millis = 20;
/// The longest such pause.
const LONGEST_PAUSE: Millis = 500;
/// Between two looks at a disk that has stalled.
const STALLED_AGAIN: Millis = 20;
/// Calls that may still succeed before the power is gone, at most.
const CALLS_BEFORE_DARK: u64 = 6;

/// A machine's disk. Stays over restarts.
pub struct MachineDisk {
    memory: MemoryDisk,
    /// The time that a write with its sync takes.
    pub takes: RangeInclusive<Millis>,
    /// Whether calls hang.
    pub stalled: bool,
}

impl MachineDisk {
    /// An empty disk.
    pub fn new(seed: u64, takes: RangeInclusive<Millis>) -> Self {
        MachineDisk { memory: MemoryDisk::new(seed), takes, stalled: false }
    }

    /// Sets what the disk refuses.
    pub fn set_faults(&self, faults: Faults) {
        self.memory.set_faults(faults);
    }

    /// Loses all that it holds.
    pub fn wipe(&self) {
        self.memory.wipe();
    }

    /// Opens the journal; one that is damaged is erased, as the driver does.
    pub fn open(&self) -> Result<(Writer, Vec<StoredRecord>), StorageError> {
        let options = options();
        let opened = match Journal::open(self.memory.clone(), &options) {
            Err(StorageError::Corrupt { .. }) => {
                erase(&mut self.memory.clone())?;
                Journal::open(self.memory.clone(), &options)
            }
            other => other,
        };
        let OpenedJournal { journal, stored, .. } = opened?;
        Ok((Writer::new(journal), stored))
    }
}

/// Small files, so that checkpoints come often.
fn options() -> Options {
    Options { file_bytes: 64 << 10, initial_files: 6, max_files: 24, max_record_bytes: 512 << 10 }
}

enum Command {
    Append { ticket: u64, since: Millis, records: Vec<(u32, Vec<u8>)> },
    Checkpoint(Vec<(u32, Vec<u8>)>),
}

/// What the journal tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskReport {
    /// All records up to a ticket are safe.
    Done {
        /// The ticket.
        ticket: u64,
        /// Whether a checkpoint is wanted.
        wants_checkpoint: bool,
    },
    /// An attempt failed.
    Failed {
        /// Whether a checkpoint is wanted.
        wants_checkpoint: bool,
    },
}

/// The journal of a running process.
pub struct Writer {
    journal: Journal<MemoryDisk>,
    queue: VecDeque<Command>,
    /// The newest ticket given to the journal that is not safe, and since when the oldest waits.
    waiting: Option<(u64, Millis)>,
    /// Appends wait for a checkpoint.
    ring_full: bool,
    checkpointing: bool,
    pause: Millis,
    busy: bool,
}

impl Writer {
    fn new(journal: Journal<MemoryDisk>) -> Self {
        Writer {
            journal,
            queue: VecDeque::new(),
            waiting: None,
            ring_full: false,
            checkpointing: false,
            pause: FIRST_PAUSE,
            busy: false,
        }
    }

    /// Whether the ring is filling up.
    pub fn wants_checkpoint(&self) -> bool {
        self.journal.wants_checkpoint()
    }

    /// Whether something has been waiting to be safe for too long.
    pub fn is_late(&self, now: Millis) -> bool {
        let queued = self.queue.iter().find_map(|command| match command {
            Command::Append { since, .. } => Some(*since),
            Command::Checkpoint(_) => None,
        });
        let oldest = self.waiting.map(|(_, since)| since).or(queued);
        oldest.is_some_and(|since| now.saturating_sub(since) > SICK_AFTER)
    }

    /// Hands records over; when the disk will have done something, if it was idle.
    pub fn append(
        &mut self,
        now: Millis,
        disk: &MachineDisk,
        ticket: u64,
        records: Vec<(u32, Vec<u8>)>,
        random: &mut Pcg64,
    ) -> Option<Millis> {
        self.queue.push_back(Command::Append { ticket, since: now, records });
        self.begin(now, disk, random)
    }

    /// Hands a checkpoint over, unless one is under way.
    pub fn checkpoint(
        &mut self,
        now: Millis,
        disk: &MachineDisk,
        live: Vec<(u32, Vec<u8>)>,
        random: &mut Pcg64,
    ) -> Option<Millis> {
        if self.checkpointing {
            return None;
        }
        self.checkpointing = true;
        self.queue.push_back(Command::Checkpoint(live));
        self.begin(now, disk, random)
    }

    fn begin(&mut self, now: Millis, disk: &MachineDisk, random: &mut Pcg64) -> Option<Millis> {
        if self.busy {
            return None;
        }
        self.busy = true;
        Some(now + random.random_range(disk.takes.clone()))
    }

    /// The disk has had its time: what came of it, and when it will have done something again.
    pub fn work(
        &mut self,
        now: Millis,
        disk: &MachineDisk,
        random: &mut Pcg64,
    ) -> (Vec<DiskReport>, Option<Millis>) {
        if disk.stalled {
            return (Vec::new(), Some(now + STALLED_AGAIN));
        }
        let mut reports = Vec::new();
        let failed = match self.queue.front() {
            Some(Command::Checkpoint(_)) => !self.write_checkpoint(&mut reports),
            _ => !self.write_appends(&mut reports),
        };
        let next = if failed {
            let pause = self.pause;
            self.pause = (pause * 2).min(LONGEST_PAUSE);
            Some(now + pause)
        } else {
            self.pause = FIRST_PAUSE;
            Some(now + random.random_range(disk.takes.clone()))
        };
        let idle = self.queue.is_empty() && (self.waiting.is_none() || self.ring_full);
        self.busy = !idle;
        (reports, next.filter(|_| !idle))
    }

    fn write_checkpoint(&mut self, reports: &mut Vec<DiskReport>) -> bool {
        let Some(Command::Checkpoint(live)) = self.queue.pop_front() else { return true };
        self.checkpointing = false;
        match self.journal.checkpoint(&live) {
            Ok(()) => {
                self.ring_full = false;
                self.report_done(reports);
                true
            }
            Err(_) => {
                reports.push(DiskReport::Failed { wants_checkpoint: false });
                false
            }
        }
    }

    fn write_appends(&mut self, reports: &mut Vec<DiskReport>) -> bool {
        self.take_in();
        match self.journal.sync() {
            Ok(()) => {
                self.ring_full = false;
                self.report_done(reports);
                true
            }
            Err(error) => {
                self.ring_full = matches!(error, StorageError::RingFull { .. });
                reports.push(DiskReport::Failed { wants_checkpoint: self.journal.wants_checkpoint() });
                false
            }
        }
    }

    /// Gives the journal all appends up to the next checkpoint.
    fn take_in(&mut self) {
        while let Some(Command::Append { .. }) = self.queue.front() {
            let Some(Command::Append { ticket, since, records }) = self.queue.pop_front() else { return };
            for (stream, bytes) in records {
                self.journal.append(stream, bytes).expect("records of the tests are short");
            }
            let since = self.waiting.map_or(since, |(_, oldest)| oldest);
            self.waiting = Some((ticket, since));
        }
    }

    fn report_done(&mut self, reports: &mut Vec<DiskReport>) {
        if let Some((ticket, _)) = self.waiting.take() {
            reports.push(DiskReport::Done { ticket, wants_checkpoint: self.journal.wants_checkpoint() });
        }
    }

    /// The process ends: what was handed over may have reached the disk or not.
    pub fn abandon(mut self, disk: &MachineDisk, random: &mut Pcg64) {
        if !disk.stalled && random.random() {
            self.take_in();
            // Whether that succeeds is nobody's concern any more.
            let _ = self.journal.sync();
        }
    }

    /// The machine loses power, perhaps in the middle of a write.
    pub fn lose_power(mut self, disk: &MachineDisk, random: &mut Pcg64) {
        disk.memory.lose_power_after(random.random_range(0..=CALLS_BEFORE_DARK));
        self.abandon_within(disk);
        disk.memory.power_cycle();
    }

    fn abandon_within(&mut self, disk: &MachineDisk) {
        if !disk.stalled {
            self.take_in();
            let _ = self.journal.sync();
        }
    }
}

impl MachineDisk {
    /// The machine loses power while no process uses the disk.
    pub fn lose_power(&self) {
        self.memory.power_cycle();
    }
}
