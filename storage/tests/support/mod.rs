//! Helpers for the tests of the journal: small options, temporary directories, and a model of the expected content.

#![allow(dead_code, unused_imports, reason = "each test file uses only some of the helpers")]

mod journal_model;
mod temp_directory;

pub use journal_model::JournalModel;
pub use temp_directory::TempDirectory;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use shaletrail_storage::fault_injection::MemoryDisk;
use shaletrail_storage::{Journal, OpenedJournal, Options, StoredRecord};

/// Returns options with small files, so that short tests fill several of them.
pub fn small_options() -> Options {
    Options { file_bytes: 16 << 10, initial_files: 3, max_files: 24, max_record_bytes: 64 << 10 }
}

pub fn seeded_rng(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}

pub fn open(disk: &MemoryDisk) -> OpenedJournal<MemoryDisk> {
    Journal::open(disk.clone(), &small_options()).expect("the journal opens")
}

pub fn stored(stream: u32, bytes: &[u8]) -> StoredRecord {
    StoredRecord { stream, bytes: bytes.to_vec() }
}

/// Appends one record for each of `payloads`, and syncs.
pub fn append_synced(journal: &mut Journal<MemoryDisk>, payloads: &[&str]) {
    for payload in payloads {
        journal.append(1, payload.as_bytes().to_vec()).expect("the record is short");
    }
    journal.sync().expect("the disk has no faults");
}

/// Returns the payloads as text.
pub fn payload_texts(stored: &[StoredRecord]) -> Vec<String> {
    stored.iter().map(|record| String::from_utf8_lossy(&record.bytes).into_owned()).collect()
}
