//! A model of the records that a journal must hold.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use shaletrail_storage::fault_injection::MemoryDisk;
use shaletrail_storage::{Journal, StorageError, StoredRecord};

use super::seeded_rng;

/// Total payload size of records that always fit into a checkpoint, which is limited to eleven files.
const MAX_CHECKPOINT_BYTES: usize = 120_000;

/// The expected content of a journal, updated with each call and kept across restarts and power losses.
pub struct JournalModel {
    rng: Pcg64Mcg,
    /// Number of records appended so far.
    record_count: u64,
    durable: Vec<StoredRecord>,
    /// Records that were appended and are not durable yet.
    pending: Vec<StoredRecord>,
    /// Checkpoints that failed since the last successful call. Each of them may be durable despite the error.
    failed_checkpoints: Vec<Vec<StoredRecord>>,
    /// Whether any record has ever been durable.
    was_durable: bool,
}

impl JournalModel {
    pub fn new(seed: u64) -> Self {
        JournalModel {
            rng: seeded_rng(seed),
            record_count: 0,
            durable: vec![],
            pending: vec![],
            failed_checkpoints: vec![],
            was_durable: false,
        }
    }

    /// Makes random calls. Stops early when the power is lost.
    pub fn run_random_calls(&mut self, journal: &mut Journal<MemoryDisk>, disk: &MemoryDisk, calls: usize) {
        for _ in 0..calls {
            if !disk.is_powered() {
                return;
            }
            match self.rng.random_range(0..10) {
                0..5 => self.append(journal),
                5..9 => self.sync(journal),
                _ => self.checkpoint(journal),
            }
        }
    }

    pub fn append(&mut self, journal: &mut Journal<MemoryDisk>) {
        self.record_count += 1;
        let max_length = if self.rng.random_ratio(1, 12) { 40_000 } else { 1_500 };
        let length = self.rng.random_range(0..max_length);
        let mut bytes = format!("record {} ", self.record_count).into_bytes();
        bytes.extend((0..length).map(|_| self.rng.random::<u8>()));
        let record = StoredRecord { stream: self.rng.random_range(0..4), bytes };
        journal.append(record.stream, record.bytes.clone()).expect("the record is short enough");
        self.pending.push(record);
    }

    pub fn sync(&mut self, journal: &mut Journal<MemoryDisk>) {
        let before = journal.pending_count();
        let result = journal.sync();
        let became_durable = before - journal.pending_count();
        self.was_durable |= became_durable > 0;
        self.durable.extend(self.pending.drain(..became_durable));
        if became_durable > 0 {
            self.failed_checkpoints.clear();
        }
        match result {
            Ok(()) => assert!(self.pending.is_empty(), "a successful sync left records pending"),
            Err(StorageError::RingFull { .. }) => self.checkpoint(journal),
            Err(_) => {}
        }
    }

    /// Makes a checkpoint of the newest few records, as far as they fit.
    pub fn checkpoint(&mut self, journal: &mut Journal<MemoryDisk>) {
        let all: Vec<StoredRecord> = self.durable.iter().chain(&self.pending).cloned().collect();
        let kept = self.rng.random_range(0..=all.len().min(8));
        let mut live = all[all.len() - kept..].to_vec();
        while live.iter().map(|record| record.bytes.len()).sum::<usize>() > MAX_CHECKPOINT_BYTES {
            live.remove(0);
        }
        let pairs: Vec<_> = live.iter().map(|record| (record.stream, record.bytes.clone())).collect();
        match journal.checkpoint(&pairs) {
            Ok(()) => {
                assert_eq!(journal.pending_count(), 0, "a checkpoint must replace all pending records");
                self.durable = live;
                self.pending.clear();
                self.failed_checkpoints.clear();
                self.was_durable = true;
            }
            Err(StorageError::RingFull { .. }) => {
                panic!("a checkpoint of this size must fit, however full the ring is")
            }
            Err(_) => self.failed_checkpoints.push(live),
        }
    }

    /// Checks the recovered records, and continues the model from them.
    pub fn check_recovered(&mut self, found: &[StoredRecord], fresh: bool) {
        let history: Vec<&StoredRecord> = self.durable.iter().chain(&self.pending).collect();
        let is_prefix =
            found.len() <= history.len() && found.iter().eq(history[..found.len()].iter().copied());
        let is_history = is_prefix && found.len() >= self.durable.len();
        let is_checkpoint = self.failed_checkpoints.iter().any(|live| live == found);
        assert!(
            is_history || is_checkpoint,
            "recovered {} records, expected {} durable and up to {} pending ones, or a failed checkpoint",
            found.len(),
            self.durable.len(),
            self.pending.len()
        );
        assert!(!(fresh && self.was_durable), "a journal with durable records must not be fresh");
        assert!(!fresh || found.is_empty());
        self.was_durable |= !fresh;
        self.durable = found.to_vec();
        self.pending.clear();
        self.failed_checkpoints.clear();
    }
}
