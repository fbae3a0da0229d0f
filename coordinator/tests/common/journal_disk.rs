//! A machine's disk with a real journal, operated as the journal's thread operates it.

use shaletrail_coordinator::interface::Event;
use shaletrail_storage::fault_injection::MemoryDisk;
use shaletrail_storage::{Journal, OpenedJournal, Options, StorageError, StoredRecord};

/// Size of the disk of a core machine, in mebibytes.
pub const DISK_MB: u64 = 128;

/// A journal on an in-memory disk. Its calls return the event that the driver would pass to the coordinator.
pub struct JournalDisk {
    disk: MemoryDisk,
    journal: Journal<MemoryDisk>,
    /// The highest ticket that was appended and is not durable yet.
    unsynced_ticket: Option<u64>,
    /// Whether the last sync failed for another reason than a full ring, so that the thread retries it.
    must_retry: bool,
    /// Whether checkpoints fail, as on a disk that returns errors for a while.
    pub fails_checkpoints: bool,
}

impl JournalDisk {
    /// Creates an empty journal.
    pub fn new(seed: u64) -> JournalDisk {
        let disk = MemoryDisk::new(seed);
        let journal = open(&disk).journal;
        JournalDisk { disk, journal, unsynced_ticket: None, must_retry: false, fails_checkpoints: false }
    }

    /// Cuts the power, and opens the journal again. Returns the records that are on the disk.
    pub fn reopen(&mut self) -> Vec<StoredRecord> {
        self.disk.power_cycle();
        let opened = open(&self.disk);
        self.journal = opened.journal;
        self.unsynced_ticket = None;
        self.must_retry = false;
        opened.stored
    }

    /// Whether the ring is filling up.
    pub fn wants_checkpoint(&self) -> bool {
        self.journal.wants_checkpoint()
    }

    /// Appends records and syncs them.
    pub fn append(&mut self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> Event {
        for (stream, bytes) in records {
            self.journal.append(stream, bytes).expect("no record exceeds the limit of the journal");
        }
        self.unsynced_ticket = Some(ticket);
        self.sync()
    }

    /// Retries a sync that has failed for another reason than a full ring.
    pub fn retry(&mut self) -> Option<Event> {
        self.must_retry.then(|| self.sync())
    }

    /// Writes a checkpoint. `None` if the driver passes no event to the coordinator.
    pub fn checkpoint(&mut self, live: &[(u32, Vec<u8>)]) -> Option<Event> {
        let is_written = !self.fails_checkpoints && self.journal.checkpoint(live).is_ok();
        if is_written {
            self.persisted()
        } else {
            Some(Event::CheckpointFailed)
        }
    }

    fn sync(&mut self) -> Event {
        let result = self.journal.sync();
        let wants_checkpoint = self.wants_checkpoint();
        self.must_retry = result.as_ref().is_err_and(|error| !matches!(error, StorageError::RingFull { .. }));
        let synced = if result.is_ok() { self.persisted() } else { None };
        synced.unwrap_or(Event::DiskDegraded { wants_checkpoint })
    }

    fn persisted(&mut self) -> Option<Event> {
        let ticket = self.unsynced_ticket.take()?;
        Some(Event::Persisted { ticket, wants_checkpoint: self.wants_checkpoint() })
    }
}

fn open(disk: &MemoryDisk) -> OpenedJournal<MemoryDisk> {
    Journal::open(disk.clone(), &Options::for_disk(DISK_MB)).expect("the disk has no faults")
}
