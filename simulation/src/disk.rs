//! A coordinator's journal on a disk in memory, which may be slow, stall, fill up or lose power.
//!
//! [`JournalWriter`] stands in for the driver's journal thread: appends are synced in batches, failed ones are retried with
//! backoff, and a full ring waits for a checkpoint.

use std::collections::VecDeque;
use std::ops::RangeInclusive;

use rand::Rng;
use rand_pcg::Pcg64;
use shaletrail_protocol::Millis;
use shaletrail_storage::fault_injection::{Faults, MemoryDisk};
use shaletrail_storage::{erase, Journal, OpenedJournal, Options, StorageError, StoredRecord};

/// How long a record may be unsynced before the disk counts as degraded, as in the driver, in milliseconds.
const DEGRADED_AFTER: Millis = 400;
/// Backoff after the first failed I/O, in milliseconds; doubled with each further failure.
const INITIAL_BACKOFF: Millis = 20;
/// Upper bound of the backoff, in milliseconds.
const MAX_BACKOFF: Millis = 500;
/// Interval at which a stalled disk is tried again, in milliseconds.
const STALL_RETRY_INTERVAL: Millis = 20;
/// Most disk calls that still succeed before the power is lost.
const MAX_CALLS_BEFORE_POWER_LOSS: u64 = 6;

/// A coordinator machine's disk, which outlives its processes.
pub struct MachineDisk {
    memory: MemoryDisk,
    /// Latency of a write with its sync, in milliseconds.
    pub latency: RangeInclusive<Millis>,
    /// Whether disk calls hang.
    pub stalled: bool,
}

impl MachineDisk {
    /// Creates an empty disk with this latency, in milliseconds.
    pub fn new(seed: u64, latency: RangeInclusive<Millis>) -> Self {
        MachineDisk { memory: MemoryDisk::new(seed), latency, stalled: false }
    }

    /// Sets which operations of the disk fail.
    pub fn set_faults(&self, faults: Faults) {
        self.memory.set_faults(faults);
    }

    /// Loses all its contents.
    pub fn erase(&self) {
        self.memory.wipe();
    }

    /// Opens the journal; a corrupt one is erased, as the driver does.
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

/// A machine's journal as a process finds it at its start.
pub struct OpenedDisk {
    /// Writes the journal from now on.
    pub writer: JournalWriter,
    /// The journal's records, oldest first.
    pub stored: Vec<StoredRecord>,
    /// Whether a journal was ever erased there.
    pub was_erased: bool,
}

/// Small files, so that checkpoints come often.
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
    /// All records up to a ticket are synced.
    Done {
        /// The ticket.
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
    /// The newest ticket that is not synced, and since when the oldest one waits.
    unsynced: Option<(u64, Millis)>,
    /// Appends fail until a checkpoint frees space.
    ring_full: bool,
    checkpointing: bool,
    backoff: Millis,
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

    /// Queues records; returns when the disk has completed I/O, if it was idle.
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

    /// Queues a checkpoint unless one is in flight; returns when the disk has completed I/O, if it was idle.
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

    /// Completes the I/O in flight; returns its results and when the next I/O completes.
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

    /// Passes all queued appends up to the next checkpoint to the journal.
    fn append_queued(&mut self) {
        while let Some(Command::Append { .. }) = self.queue.front() {
            let Some(Command::Append { ticket, since, records }) = self.queue.pop_front() else { return };
            for (stream, bytes) in records {
                self.journal.append(stream, bytes).expect("records of the tests are short");
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

    /// Ends the process: queued records may have reached the disk or not.
    pub fn abandon(mut self, disk: &MachineDisk, rng: &mut Pcg64) {
        if !disk.stalled && rng.random() {
            self.append_queued();
            // The process has ended: nobody waits for the result.
            let _ = self.journal.sync();
        }
    }

    /// Cuts the power, perhaps in the middle of a write.
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
    /// Cuts the power while no process uses the disk.
    pub fn lose_power(&self) {
        self.memory.power_cycle();
    }
}
