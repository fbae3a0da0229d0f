//! The writer's thread: batches, reports, retries, stalls, stopping.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

use shaletrail_storage::memory::{Faults, MemoryDisk};
use shaletrail_storage::{
    Command, RejectReason, RejectedCommand, Report, StorageError, Writer, WriterOptions,
};
use support::{names, open};

/// Far beyond what any test needs; reaching it is a failure.
const PATIENCE: Duration = Duration::from_secs(60);

struct Stage {
    disk: MemoryDisk,
    writer: Writer,
    reports: Receiver<Report>,
    /// What the writer's clock shows, in milliseconds.
    now: Arc<AtomicU64>,
}

fn stage(change: impl FnOnce(&mut WriterOptions)) -> Stage {
    stage_with(change, |_, _| {})
}

/// A stage on which the disk is changed by what the writer tells, before the writer goes on.
fn stage_with(
    change: impl FnOnce(&mut WriterOptions),
    on_report: impl Fn(&MemoryDisk, &Report) + Send + 'static,
) -> Stage {
    let disk = MemoryDisk::new(1);
    let now = Arc::new(AtomicU64::new(0));
    let shown = now.clone();
    let mut options = WriterOptions {
        first_pause: Duration::from_millis(1),
        longest_pause: Duration::from_millis(2),
        clock: Arc::new(move || Duration::from_millis(shown.load(Ordering::SeqCst))),
        ..WriterOptions::default()
    };
    change(&mut options);
    let (sender, reports) = channel();
    let told = disk.clone();
    let report = Box::new(move |report| {
        on_report(&told, &report);
        sender.send(report).expect("the test listens");
    });
    let writer = Writer::start(open(&disk).journal, options, report).expect("a thread starts");
    Stage { disk, writer, reports, now }
}

fn record(name: &str) -> Vec<(u32, Vec<u8>)> {
    vec![(1, name.as_bytes().to_vec())]
}

impl Stage {
    fn append(&self, ticket: u64, name: &str) {
        self.writer.append(ticket, record(name)).expect("the writer takes it");
    }

    fn next(&self) -> Report {
        self.reports.recv_timeout(PATIENCE).expect("a report comes")
    }

    /// Reports up to the one that this ticket is safe.
    fn until_done(&self, wanted: u64) -> Vec<Report> {
        let mut before = Vec::new();
        loop {
            match self.next() {
                Report::Done { ticket, .. } if ticket >= wanted => return before,
                other => before.push(other),
            }
        }
    }

    fn stored_names(&self) -> Vec<String> {
        names(&open(&self.disk).stored)
    }
}

#[test]
fn given_an_append_when_it_is_done_then_it_outlasts_a_loss_of_power() {
    // Given
    let stage = stage(|_| {});
    // When
    stage.append(1, "a");
    let report = stage.next();
    // Then
    assert!(matches!(report, Report::Done { ticket: 1, wants_checkpoint: false, .. }));
    stage.disk.restart();
    assert_eq!(stage.stored_names(), ["a"]);
    assert_eq!(stage.writer.oldest_unfinished(), None);
}

#[test]
fn given_a_stalled_disk_when_appends_wait_then_their_age_shows_and_one_sync_covers_them() {
    // Given
    let stage = stage(|_| {});
    stage.append(1, "first");
    stage.until_done(1);
    stage.disk.close_gate();
    stage.append(2, "a");
    stage.disk.wait_until_stalled();
    // When
    for ticket in 3..20 {
        stage.append(ticket, "b");
    }
    stage.now.store(700, Ordering::SeqCst);
    let age = stage.writer.oldest_unfinished();
    let syncs = stage.disk.syncs();
    stage.disk.open_gate();
    stage.until_done(19);
    // Then
    assert_eq!(age, Some(Duration::from_millis(700)));
    assert_eq!(stage.disk.syncs(), syncs + 2, "one for the append that stalled, one for all others");
    assert_eq!(stage.writer.oldest_unfinished(), None);
    assert_eq!(stage.stored_names().len(), 19);
}

#[test]
fn given_a_disk_that_refuses_when_it_is_well_again_then_the_append_is_done_without_being_given_again() {
    for fault in [
        Faults { syncs_fail: true, ..Faults::default() },
        Faults { writes_fail: true, ..Faults::default() },
        Faults { full: true, ..Faults::default() },
    ] {
        // Given
        let stage = stage(|_| {});
        stage.append(1, "a");
        stage.until_done(1);
        stage.disk.set_faults(fault);
        stage.append(2, "b");
        for _ in 0..3 {
            assert!(matches!(stage.next(), Report::Failed { ticket: 2, error: StorageError::Io { .. }, .. }));
            assert!(stage.writer.oldest_unfinished().is_some());
        }
        // When
        stage.disk.set_faults(Faults::default());
        stage.until_done(2);
        // Then
        stage.disk.restart();
        assert_eq!(stage.stored_names(), ["a", "b"]);
    }
}

#[test]
fn given_a_checkpoint_between_appends_when_done_then_order_is_kept() {
    // Given
    let stage = stage(|_| {});
    stage.append(1, "covered");
    stage.writer.checkpoint(vec![(9, b"live".to_vec())]).expect("the writer takes it");
    // When
    stage.append(2, "after");
    let before = stage.until_done(2);
    // Then
    assert!(before.iter().any(|report| matches!(report, Report::Checkpointed { .. })));
    assert_eq!(stage.stored_names(), ["live", "after"]);
}

#[test]
fn given_a_checkpoint_under_way_when_another_is_given_then_it_is_refused_until_the_first_has_ended() {
    // Given
    let stage = stage(|_| {});
    stage.disk.close_gate();
    stage.writer.checkpoint(vec![]).expect("the writer takes it");
    // When
    let refused = stage.writer.checkpoint(vec![]);
    stage.disk.open_gate();
    // Then
    let command = Command::Checkpoint { live: vec![] };
    assert_eq!(refused, Err(RejectedCommand { reason: RejectReason::Busy, command }));
    assert!(matches!(stage.next(), Report::Checkpointed { .. }));
    stage.writer.checkpoint(vec![]).expect("the writer takes it");
}

#[test]
fn given_a_checkpoint_that_fails_when_reported_then_another_may_be_given() {
    // Given
    let stage = stage(|_| {});
    stage.disk.set_faults(Faults { full: true, ..Faults::default() });
    stage.writer.checkpoint(vec![(1, b"live".to_vec())]).expect("the writer takes it");
    assert!(matches!(stage.next(), Report::CheckpointFailed { error: StorageError::Io { .. } }));
    // When
    stage.disk.set_faults(Faults::default());
    stage.writer.checkpoint(vec![(1, b"live".to_vec())]).expect("the writer takes it");
    // Then
    assert!(matches!(stage.next(), Report::Checkpointed { .. }));
    assert_eq!(stage.stored_names(), ["live"]);
}

#[test]
fn given_a_full_ring_when_a_checkpoint_comes_then_the_appends_that_waited_are_done() {
    // Given
    let stage = stage(|_| {});
    let long = "x".repeat(10_000);
    let refused = (1..100).find(|ticket| {
        stage.append(*ticket, &long);
        match stage.next() {
            Report::Done { .. } => false,
            Report::Failed { error: StorageError::RingFull { .. }, wants_checkpoint: true, .. } => true,
            other => panic!("{other:?}"),
        }
    });
    let refused = refused.expect("the ring is limited");
    // When
    stage.writer.checkpoint(vec![(1, b"all".to_vec())]).expect("the writer takes it");
    stage.until_done(refused);
    // Then
    assert_eq!(stage.stored_names(), ["all"]);
    assert_eq!(stage.writer.oldest_unfinished(), None);
}

#[test]
fn given_too_much_unfinished_when_more_is_appended_then_it_is_given_back() {
    // Given
    let stage = stage(|options| options.unfinished_bytes = 10);
    stage.disk.close_gate();
    stage.append(1, "eight...");
    // When
    let refused = stage.writer.append(2, record("three"));
    stage.disk.open_gate();
    stage.until_done(1);
    // Then
    let command = Command::Append { ticket: 2, records: record("three") };
    assert_eq!(refused, Err(RejectedCommand { reason: RejectReason::Busy, command }));
    stage.append(2, "three");
    stage.until_done(2);
}

#[test]
fn given_a_full_queue_when_more_is_appended_then_it_is_given_back_and_not_counted() {
    // Given
    let stage = stage(|options| options.queue = 1);
    stage.disk.close_gate();
    stage.append(1, "at the disk");
    stage.disk.wait_until_stalled();
    stage.append(2, "in the queue");
    // When
    let refused = stage.writer.append(3, record("over"));
    stage.disk.open_gate();
    stage.until_done(2);
    // Then
    assert_eq!(refused.map_err(|refused| refused.reason), Err(RejectReason::Busy));
    assert_eq!(stage.writer.oldest_unfinished(), None);
}

#[test]
fn given_a_record_over_the_limit_when_appended_then_it_is_given_back() {
    let stage = stage(|_| {});
    let refused = stage.writer.append(1, vec![(1, vec![0; 70_000])]);
    assert_eq!(refused.map_err(|refused| refused.reason), Err(RejectReason::TooLong));
    assert_eq!(stage.writer.oldest_unfinished(), None);
}

#[test]
fn given_appends_that_wait_when_stopped_then_they_are_written_first() {
    // Given
    let stage = stage(|_| {});
    for ticket in 1..50 {
        stage.append(ticket, "a");
    }
    // When
    let Stage { disk, writer, reports, .. } = stage;
    assert!(writer.stop(PATIENCE));
    // Then
    assert!(matches!(reports.iter().last(), Some(Report::Stopped)));
    assert_eq!(open(&disk).stored.len(), 49);
}

#[test]
fn given_a_sick_disk_when_stopped_then_the_thread_ends_in_the_midst_of_its_pause() {
    // Given
    let stage = stage(|options| options.first_pause = PATIENCE * 100);
    stage.disk.set_faults(Faults { full: true, ..Faults::default() });
    stage.append(1, "a");
    assert!(matches!(stage.next(), Report::Failed { ticket: 1, .. }));
    // When
    let Stage { writer, reports, .. } = stage;
    assert!(writer.stop(PATIENCE));
    // Then
    assert!(matches!(reports.iter().last(), Some(Report::Stopped)));
}

#[test]
fn given_a_hanging_disk_when_stopped_then_nobody_waits_for_it() {
    // Given
    let stage = stage(|_| {});
    stage.disk.close_gate();
    stage.append(1, "a");
    stage.disk.wait_until_stalled();
    // When
    let Stage { disk, writer, reports, .. } = stage;
    assert!(!writer.stop(Duration::ZERO));
    // Then
    disk.open_gate();
    assert!(matches!(reports.iter().last(), Some(Report::Stopped)));
}

#[test]
fn given_appends_that_wait_when_the_writer_is_dropped_then_they_are_written_all_the_same() {
    // Given
    let stage = stage(|_| {});
    stage.disk.close_gate();
    for ticket in 1..5 {
        stage.append(ticket, "a");
    }
    // When
    let Stage { disk, writer, reports, .. } = stage;
    drop(writer);
    disk.open_gate();
    // Then
    assert!(matches!(reports.iter().last(), Some(Report::Stopped)));
    assert_eq!(open(&disk).stored.len(), 4);
}

#[test]
fn given_a_checkpoint_on_a_stalled_disk_when_appends_wait_behind_it_then_nothing_is_told_before_it_is_safe() {
    // Given
    let stage = stage(|_| {});
    stage.append(1, "a");
    stage.until_done(1);
    stage.disk.close_gate();
    stage.writer.checkpoint(vec![(1, b"live".to_vec())]).expect("the writer takes it");
    stage.disk.wait_until_stalled();
    // When
    stage.append(2, "b");
    stage.now.store(900, Ordering::SeqCst);
    // Then: nothing is told, the wait shows, and power lost now takes nothing that was told.
    assert!(stage.reports.try_recv().is_err());
    assert_eq!(stage.writer.oldest_unfinished(), Some(Duration::from_millis(900)));
    stage.disk.open_gate();
    let before = stage.until_done(2);
    assert!(matches!(before.as_slice(), [Report::Checkpointed { .. }]));
    stage.disk.restart();
    assert_eq!(stage.stored_names(), ["live", "b"]);
}

#[test]
fn given_appends_that_wait_for_a_full_ring_when_a_checkpoint_fails_then_none_is_told_to_be_safe() {
    // Given
    let stage = stage(|_| {});
    let long = "x".repeat(10_000);
    let refused = (1..100).find(|ticket| {
        stage.append(*ticket, &long);
        matches!(stage.next(), Report::Failed { error: StorageError::RingFull { .. }, .. })
    });
    let refused = refused.expect("the ring is limited");
    // When
    stage.disk.set_faults(Faults { syncs_fail: true, ..Faults::default() });
    stage.writer.checkpoint(vec![(1, b"all".to_vec())]).expect("the writer takes it");
    // Then
    assert!(matches!(stage.next(), Report::CheckpointFailed { error: StorageError::Io { .. } }));
    assert!(stage.writer.oldest_unfinished().is_some());
    stage.disk.set_faults(Faults::default());
    stage.writer.checkpoint(vec![(1, b"all".to_vec())]).expect("the writer takes it");
    stage.until_done(refused);
    assert_eq!(stage.stored_names(), ["all"]);
}

#[test]
fn given_two_appends_when_the_disk_stalls_after_the_first_then_the_second_still_waits() {
    // Given
    let stage = stage_with(
        |_| {},
        |disk, report| {
            if matches!(report, Report::Done { ticket: 1, .. }) {
                disk.close_gate();
            }
        },
    );
    stage.disk.close_gate();
    stage.append(1, "a");
    stage.disk.wait_until_stalled();
    stage.append(2, "b");
    // When
    stage.disk.open_gate();
    stage.until_done(1);
    stage.now.store(700, Ordering::SeqCst);
    // Then
    assert_eq!(stage.writer.oldest_unfinished(), Some(Duration::from_millis(700)));
    stage.disk.open_gate();
    stage.until_done(2);
    assert_eq!(stage.writer.oldest_unfinished(), None);
}
