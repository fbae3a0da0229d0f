//! Random sequences of calls with power losses, process crashes and disk faults, checked against a model.

mod support;

use rand::Rng;
use shaletrail_storage::fault_injection::{Faults, MemoryDisk};
use shaletrail_storage::{Journal, OpenedJournal, StorageError};
use support::{seeded_rng, small_options, JournalModel};

/// Opens the journal and checks the recovered records. If power is lost during recovery, restores it and tries again.
fn reopen(disk: &MemoryDisk, model: &mut JournalModel) -> Journal<MemoryDisk> {
    loop {
        match Journal::open(disk.clone(), &small_options()) {
            Ok(OpenedJournal { journal, stored, fresh, .. }) => {
                model.check_recovered(&stored, fresh);
                return journal;
            }
            Err(StorageError::Io { .. }) if !disk.is_powered() => disk.power_cycle(),
            Err(error) => panic!("the journal does not open: {error}"),
        }
    }
}

#[test]
fn synced_records_survive_power_loss_at_each_call() {
    for seed in 0..6 {
        let uninterrupted = MemoryDisk::new(seed);
        let mut model = JournalModel::new(seed);
        let mut journal = reopen(&uninterrupted, &mut model);
        model.run_random_calls(&mut journal, &uninterrupted, 120);
        let calls = uninterrupted.mutation_count();
        assert!(calls > 60, "only {calls} calls were made");
        for step in 0..calls {
            // given
            let disk = MemoryDisk::new(step);
            disk.lose_power_after(step);
            let mut model = JournalModel::new(seed);
            // when
            let mut journal = reopen(&disk, &mut model);
            model.run_random_calls(&mut journal, &disk, 120);
            disk.power_cycle();
            // then
            let mut journal = reopen(&disk, &mut model);
            model.run_random_calls(&mut journal, &disk, 10);
            disk.power_cycle();
            reopen(&disk, &mut model);
        }
    }
}

#[test]
fn synced_records_survive_repeated_power_loss() {
    for seed in 0..400 {
        // given
        let disk = MemoryDisk::new(seed);
        let mut model = JournalModel::new(seed);
        let mut rng = seeded_rng(seed + 1_000_000);
        for _restart in 0..12 {
            // when
            if rng.random_ratio(4, 5) {
                disk.lose_power_after(rng.random_range(0..80));
            }
            let mut journal = reopen(&disk, &mut model);
            model.run_random_calls(&mut journal, &disk, rng.random_range(0..60));
            drop(journal);
            // then: after a crash without power loss, the next process recovers unsynced writes and makes them durable.
            if rng.random_ratio(1, 3) && disk.is_powered() {
                reopen(&disk, &mut model);
            }
            disk.power_cycle();
        }
        reopen(&disk, &mut model);
    }
}

#[test]
fn synced_records_survive_disk_faults() {
    for seed in 0..400 {
        // given
        let disk = MemoryDisk::new(seed);
        let mut model = JournalModel::new(seed);
        let mut rng = seeded_rng(seed + 2_000_000);
        for _restart in 0..6 {
            let mut journal = reopen(&disk, &mut model);
            // when
            for _ in 0..12 {
                disk.set_faults(Faults {
                    full: rng.random_ratio(1, 6),
                    writes_fail: rng.random_ratio(1, 6),
                    syncs_fail: rng.random_ratio(1, 4),
                    reads_fail: false,
                });
                model.run_random_calls(&mut journal, &disk, rng.random_range(0..8));
            }
            // then
            disk.set_faults(Faults::default());
            if rng.random() {
                model.sync(&mut journal);
                assert_eq!(journal.pending_count(), 0, "a disk without faults accepts everything");
            }
            if rng.random() {
                disk.power_cycle();
            }
        }
        reopen(&disk, &mut model);
    }
}

#[test]
fn recovered_records_are_durable() {
    for seed in 0..200 {
        // given: a process crashed with unsynced writes.
        let disk = MemoryDisk::new(seed);
        let mut model = JournalModel::new(seed);
        let mut journal = reopen(&disk, &mut model);
        model.run_random_calls(&mut journal, &disk, 30);
        disk.set_faults(Faults { syncs_fail: true, ..Faults::default() });
        model.append(&mut journal);
        model.sync(&mut journal);
        disk.set_faults(Faults::default());
        drop(journal);
        // when
        drop(reopen(&disk, &mut model));
        disk.power_cycle();
        // then
        reopen(&disk, &mut model);
    }
}

#[test]
fn record_of_many_fragments_is_atomic() {
    for step in 0..40 {
        // given
        let disk = MemoryDisk::new(step);
        let mut journal = support::open(&disk).journal;
        support::append_synced(&mut journal, &["before"]);
        // when
        let long: Vec<u8> = (0..60_000_u32).map(|byte| byte as u8).collect();
        journal.append(2, long.clone()).expect("the record is short enough");
        disk.lose_power_after(step);
        let synced = journal.sync().is_ok();
        disk.power_cycle();
        // then
        let found = support::open(&disk).stored;
        let (before, after) = (support::stored(1, b"before"), support::stored(2, &long));
        assert!(found == [before.clone(), after.clone()] || (!synced && found == [before]));
    }
}
