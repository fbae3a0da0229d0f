//! Erasing a corrupt journal, with power losses at each step.

mod support;

use shaletrail_storage::fault_injection::MemoryDisk;
use shaletrail_storage::{erase, Journal};
use support::{append_synced, open, payload_texts, small_options};

#[test]
fn erasure_survives_power_loss_at_each_step() {
    for seed in 0..320 {
        // given
        let step = seed % 16;
        let mut disk = MemoryDisk::new(seed);
        let mut journal = open(&disk).journal;
        append_synced(&mut journal, &["one"]);
        journal.checkpoint(&[(1, b"live".to_vec())]).expect("the disk has no faults");
        append_synced(&mut journal, &["two"]);
        drop(journal);
        // when
        disk.lose_power_after(step);
        let erased = erase(&mut disk).is_ok();
        disk.power_cycle();
        // then: either all records are removed or none.
        let opened = open(&disk);
        let is_intact = !opened.fresh && payload_texts(&opened.stored) == ["live", "two"];
        assert!((opened.fresh && opened.stored.is_empty()) || (is_intact && !erased));
    }
}

#[test]
fn resumed_erasure_survives_power_loss_at_each_step() {
    for seed in 0..200 {
        // given: the in-progress marker exists, but its file name is not synced.
        let mut disk = MemoryDisk::new(seed);
        let mut journal = open(&disk).journal;
        append_synced(&mut journal, &["one"]);
        journal.checkpoint(&[(1, b"live".to_vec())]).expect("the disk has no faults");
        append_synced(&mut journal, &["two"]);
        drop(journal);
        disk.fail_after(2);
        assert!(erase(&mut disk).is_err());
        // when
        disk.lose_power_after(seed % 8);
        let interrupted = Journal::open(disk.clone(), &small_options()).is_err();
        disk.power_cycle();
        // then
        let opened = open(&disk);
        let is_intact = !opened.fresh && payload_texts(&opened.stored) == ["live", "two"];
        assert!((opened.fresh && opened.stored.is_empty()) || (is_intact && interrupted));
    }
}

#[test]
fn erasure_is_recorded_across_power_loss_at_each_step() {
    for seed in 0..320 {
        // given
        let step = seed % 20;
        let mut disk = MemoryDisk::new(seed);
        let mut journal = open(&disk).journal;
        append_synced(&mut journal, &["one"]);
        drop(journal);
        // when
        disk.lose_power_after(step);
        let _ = erase(&mut disk);
        disk.power_cycle();
        disk.lose_power_after(seed % 9);
        let _ = Journal::open(disk.clone(), &small_options());
        disk.power_cycle();
        // then: if the records are gone, the journal reports that it was erased.
        let opened = open(&disk);
        assert!(!opened.fresh || opened.erased, "seed {seed}");
    }
}

#[test]
fn directory_without_erasure_is_not_reported_as_erased() {
    // given
    let disk = MemoryDisk::new(1);
    let opened = open(&disk);
    // when
    let mut journal = opened.journal;
    append_synced(&mut journal, &["one"]);
    drop(journal);
    // then
    assert!(opened.fresh && !opened.erased);
    assert!(!open(&disk).erased);
}

#[test]
fn erased_records_are_not_recovered() {
    for seed in 0..60 {
        // given
        let mut disk = MemoryDisk::new(seed);
        let mut journal = open(&disk).journal;
        append_synced(&mut journal, &["erased"]);
        journal.checkpoint(&[(1, b"erased too".to_vec())]).expect("the disk has no faults");
        drop(journal);
        erase(&mut disk).expect("the disk has no faults");
        // when
        let mut journal = open(&disk).journal;
        append_synced(&mut journal, &["new"]);
        disk.power_cycle();
        // then
        let opened = open(&disk);
        assert_eq!(payload_texts(&opened.stored), ["new"]);
        assert!(!opened.fresh);
    }
}
