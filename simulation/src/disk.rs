//! A coordinator's journal on an in-memory disk, which may be slow, stall, fail, fill up or lose power.
//!
//! [`JournalWriter`] stands in for the driver's journal thread: appends are synced in batches, failed syncs are retried with
//! backoff, and appends to a full ring wait for a checkpoint.

use std::collections::VecDeque;
use std::ops::RangeInclusive;

use rand::Rng;
use rand_pcg::Pcg64;
use shaletrail_protocol::Millis;
use shaletrail_storage::fault_injection::{Faults, MemoryDisk};
use shaletrail_storage::{erase, Journal, OpenedJournal, Options, StorageError, StoredRecord};

/// How long a record may be unsynced before the disk counts as degraded, in milliseconds; as in the driver.
const DEGRADED_AFTER: Millis = 400;
/// Backoff after the first failed I/O, in milliseconds; doubled with each further consecutive failure.
const INITIAL_BACKOFF: Millis = 20;
/// Upper bound of the backoff, in milliseconds.
const MAX_BACKOFF: Millis = 500;
/// Interval of retries on a stalled disk, in milliseconds.
const STALL_RETRY_INTERVAL: Millis = 20;
/// Upper bound of the disk calls that still succeed before a power loss takes effect.
const MAX_CALLS_BEFORE_POWER_LOSS: u64 = 6;

/// The disk of a coordinator's machine, which outlives its processes.
pub struct MachineDisk {
    memory: MemoryDisk,
    /// Latency of a write and its sync, in milliseconds.
    pub latency: RangeInclusive<Millis>,
    /// Whether disk calls hang.
    pub stalled: bool,
}

impl MachineDisk {
    /// Creates an empty disk; `latency` is that of a write and its sync, in milliseconds.
    pub fn new(seed: u64, latency: RangeInclusive<Millis>) -> Self {
        MachineDisk { memory: MemoryDisk::new(seed), latency, stalled: false }
    }

    /// Sets which operations of the disk fail.
    pub fn set_faults(&self, faults: Faults) {
        self.memory.set_faults(faults);
    }

    /// Erases the contents, as if the disk were replaced.
    pub fn erase(&self) {
        self.memory.wipe();
    }

    /// Opens the journal. A corrupt one is erased and created anew, as in the driver.
    pub fn open(&self) -> Result<OpenedDisk, StorageError> {
        let options = options();
        let opened = match Journal::open(self.memory.clone(), &options) {
            Err(StorageError::Corrupt { .. }) => {
                erase(&mut self.memory.clone())?;
                Journal::open(self.memory.clone(), &options)
            }
            other => other,
        };
        let OpenedJournal { journal, stored, erased, .. } = opened?;
        Ok(OpenedDisk { writer: JournalWriter::new(journal), stored, was_erased: erased })
    }
}

/// A machine's journal as its process opens it at its start.
pub struct OpenedDisk {
    /// The writer of the opened journal.
    pub writer: JournalWriter,
    /// The journal's records, oldest first.
    pub stored: Vec<StoredRecord>,
    /// Whether a journal on this disk was ever erased.
    pub was_erased: bool,
}

/// Options with small files, so that checkpoints are frequent.
fn options() -> Options {
    Options { file_bytes: 64 << 10, initial_files: 6, max_files: 24, max_record_bytes: 512 << 10 }
}

enum Command {
    Append { ticket: u64, since: Millis, records: Vec<(u32, Vec<u8>)> },
    Checkpoint(Vec<(u32, Vec<u8>)>),
}

/// The result of an I/O operation of the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskReport {
    /// All records up to the one with this ticket are synced.
    Done {
        /// The ticket of the newest synced record.
        ticket: u64,
        /// Whether a checkpoint is wanted.
        wants_checkpoint: bool,
    },
    /// An append, a sync or a checkpoint failed.
    Failed {
        /// Whether a checkpoint is wanted.
        wants_checkpoint: bool,
    },
}

/// Writes the journal of a running process; stands in for the driver's journal thread.
pub struct JournalWriter {
    journal: Journal<MemoryDisk>,
    queue: VecDeque<Command>,
    /// The newest unsynced ticket, and since when the oldest unsynced record has waited.
    unsynced: Option<(u64, Millis)>,
    /// Appends fail until a checkpoint frees space.
    ring_full: bool,
    checkpointing: bool,
    backoff: Millis,
    /// Whether an I/O operation is in flight.
    busy: bool,
}

impl JournalWriter {
    fn new(journal: Journal<MemoryDisk>) -> Self {
        JournalWriter {
            journal,
            queue: VecDeque::new(),
            unsynced: None,
            ring_full: false,
            checkpointing: false,
            backoff: INITIAL_BACKOFF,
            busy: false,
        }
    }

    /// Whether the journal's ring is filling up.
    pub fn wants_checkpoint(&self) -> bool {
        self.journal.wants_checkpoint()
    }

    /// Whether a record has been unsynced for too long.
    pub fn is_degraded(&self, now: Millis) -> bool {
        let queued = self.queue.iter().find_map(|command| match command {
            Command::Append { since, .. } => Some(*since),
            Command::Checkpoint(_) => None,
        });
        let oldest = self.unsynced.map(|(_, since)| since).or(queued);
        oldest.is_some_and(|since| now.saturating_sub(since) > DEGRADED_AFTER)
    }

    /// Queues records. If the disk was idle, starts I/O and returns when it completes.
    pub fn append(
        &mut self,
        now: Millis,
        disk: &MachineDisk,
        ticket: u64,
        records: Vec<(u32, Vec<u8>)>,
        rng: &mut Pcg64,
    ) -> Option<Millis> {
        self.queue.push_back(Command::Append { ticket, since: now, records });
        self.start_io(now, disk, rng)
    }

    /// Queues a checkpoint unless one is queued already. If the disk was idle, starts I/O and returns when it completes.
    pub fn checkpoint(
        &mut self,
        now: Millis,
        disk: &MachineDisk,
        live: Vec<(u32, Vec<u8>)>,
        rng: &mut Pcg64,
    ) -> Option<Millis> {
        if self.checkpointing {
            return None;
        }
        self.checkpointing = true;
        self.queue.push_back(Command::Checkpoint(live));
        self.start_io(now, disk, rng)
    }

    fn start_io(&mut self, now: Millis, disk: &MachineDisk, rng: &mut Pcg64) -> Option<Millis> {
        if self.busy {
            return None;
        }
        self.busy = true;
        Some(now + rng.random_range(disk.latency.clone()))
    }

    /// Completes the I/O in flight. Returns its results, and when the next I/O completes if there is more to do.
    pub fn complete_io(
        &mut self,
        now: Millis,
        disk: &MachineDisk,
        rng: &mut Pcg64,
    ) -> (Vec<DiskReport>, Option<Millis>) {
        if disk.stalled {
            return (Vec::new(), Some(now + STALL_RETRY_INTERVAL));
        }
        let mut reports = Vec::new();
        let failed = match self.queue.front() {
            Some(Command::Checkpoint(_)) => !self.write_checkpoint(&mut reports),
            _ => !self.write_appends(&mut reports),
        };
        let next = if failed {
            let backoff = self.backoff;
            self.backoff = (backoff * 2).min(MAX_BACKOFF);
            Some(now + backoff)
        } else {
            self.backoff = INITIAL_BACKOFF;
            Some(now + rng.random_range(disk.latency.clone()))
        };
        let idle = self.queue.is_empty() && (self.unsynced.is_none() || self.ring_full);
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
        self.append_queued();
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

    /// Passes all queued appends before the next checkpoint to the journal.
    fn append_queued(&mut self) {
        while let Some(Command::Append { .. }) = self.queue.front() {
            let Some(Command::Append { ticket, since, records }) = self.queue.pop_front() else { return };
            for (stream, bytes) in records {
                self.journal.append(stream, bytes).expect("record is within max_record_bytes");
            }
            let since = self.unsynced.map_or(since, |(_, oldest)| oldest);
            self.unsynced = Some((ticket, since));
        }
    }

    fn report_done(&mut self, reports: &mut Vec<DiskReport>) {
        if let Some((ticket, _)) = self.unsynced.take() {
            reports.push(DiskReport::Done { ticket, wants_checkpoint: self.journal.wants_checkpoint() });
        }
    }

    /// Ends the process. Queued records reach the disk or are lost, at random.
    pub fn abandon(mut self, disk: &MachineDisk, rng: &mut Pcg64) {
        if !disk.stalled && rng.random() {
            self.append_queued();
            // The process has ended, so the result is not needed.
            let _ = self.journal.sync();
        }
    }

    /// Cuts the power, possibly in the middle of a write.
    pub fn lose_power(mut self, disk: &MachineDisk, rng: &mut Pcg64) {
        disk.memory.lose_power_after(rng.random_range(0..=MAX_CALLS_BEFORE_POWER_LOSS));
        self.flush_if_not_stalled(disk);
        disk.memory.power_cycle();
    }

    fn flush_if_not_stalled(&mut self, disk: &MachineDisk) {
        if !disk.stalled {
            self.append_queued();
            let _ = self.journal.sync();
        }
    }
}

impl MachineDisk {
    /// Cuts the power of a disk that no process uses.
    pub fn lose_power(&self) {
        self.memory.power_cycle();
    }
}
