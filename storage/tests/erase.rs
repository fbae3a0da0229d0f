//! Erasing a corrupt journal.

mod support;

use shaletrail_storage::fault_injection::MemoryDisk;
use shaletrail_storage::{erase, Journal};
use support::{append_synced, names, open, small_options};

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
        // then: all records are gone, or none is
        let opened = open(&disk);
        let is_intact = !opened.fresh && names(&opened.stored) == ["live", "two"];
        assert!((opened.fresh && opened.stored.is_empty()) || (is_intact && !erased));
    }
}

#[test]
fn resumed_erasure_survives_power_loss_at_each_step() {
    for seed in 0..200 {
        // given: the marker exists, its name is not synced
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
        let is_intact = !opened.fresh && names(&opened.stored) == ["live", "two"];
        assert!((opened.fresh && opened.stored.is_empty()) || (is_intact && interrupted));
    }
}

#[test]
fn erasure_is_remembered_whatever_interrupts_it() {
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
        // then: whoever finds no records knows that there were some
        let opened = open(&disk);
        assert!(!opened.fresh || opened.erased, "seed {seed}");
    }
}

#[test]
fn directory_without_erasure_is_not_erased() {
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
fn erased_records_do_not_come_back() {
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
        assert_eq!(names(&opened.stored), ["new"]);
        assert!(!opened.fresh);
    }
}
