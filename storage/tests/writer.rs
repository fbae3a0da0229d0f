//! The writer thread: group commit, events, retries, stalls and shutdown.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

use shaletrail_storage::fault_injection::{Faults, MemoryDisk};
use shaletrail_storage::{
    Command, RejectReason, RejectedCommand, StorageError, Writer, WriterEvent, WriterOptions,
};
use support::{open, payload_texts};

/// Upper bound of every wait in these tests. Reaching it is a failure.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A writer on an in-memory disk, and the events that it reports.
struct WriterFixture {
    disk: MemoryDisk,
    writer: Writer,
    events: Receiver<WriterEvent>,
    /// Current time of the writer's clock, in milliseconds.
    now_ms: Arc<AtomicU64>,
}

impl WriterFixture {
    fn start() -> Self {
        Self::with_options(|_| {})
    }

    fn with_options(change: impl FnOnce(&mut WriterOptions)) -> Self {
        Self::with_event_hook(change, |_, _| {})
    }

    /// Starts a writer that calls `on_event` on its thread before it continues after an event.
    fn with_event_hook(
        change: impl FnOnce(&mut WriterOptions),
        on_event: impl Fn(&MemoryDisk, &WriterEvent) + Send + 'static,
    ) -> Self {
        let disk = MemoryDisk::new(1);
        let now_ms = Arc::new(AtomicU64::new(0));
        let clock_ms = now_ms.clone();
        let mut options = WriterOptions {
            initial_backoff: Duration::from_millis(1),
            max_backoff: Duration::from_millis(2),
            clock: Arc::new(move || Duration::from_millis(clock_ms.load(Ordering::SeqCst))),
            ..WriterOptions::default()
        };
        change(&mut options);
        let (sender, events) = channel();
        let shared_disk = disk.clone();
        let on_event = Box::new(move |event| {
            on_event(&shared_disk, &event);
            sender.send(event).expect("the receiver exists");
        });
        let writer = Writer::start(open(&disk).journal, options, on_event).expect("a thread starts");
        WriterFixture { disk, writer, events, now_ms }
    }

    fn append(&self, ticket: u64, payload: &str) {
        self.writer.append(ticket, record(payload)).expect("the writer accepts the append");
    }

    fn next_event(&self) -> WriterEvent {
        self.events.recv_timeout(TIMEOUT).expect("the writer reports an event")
    }

    /// Waits until the append `awaited` is durable. Returns the events reported before that.
    fn wait_until_synced(&self, awaited: u64) -> Vec<WriterEvent> {
        let mut before = Vec::new();
        loop {
            match self.next_event() {
                WriterEvent::Synced { ticket, .. } if ticket >= awaited => return before,
                other => before.push(other),
            }
        }
    }

    /// Appends large records until one is refused because the ring is full. Returns the ticket of that append.
    fn fill_ring(&self) -> u64 {
        let large = "x".repeat(10_000);
        let refused = (1..100).find(|ticket| {
            self.append(*ticket, &large);
            match self.next_event() {
                WriterEvent::Synced { .. } => false,
                WriterEvent::SyncFailed {
                    error: StorageError::RingFull { .. },
                    wants_checkpoint: true,
                    ..
                } => true,
                other => panic!("{other:?}"),
            }
        });
        refused.expect("the ring is limited")
    }

    fn stored_payloads(&self) -> Vec<String> {
        payload_texts(&open(&self.disk).stored)
    }
}

fn record(payload: &str) -> Vec<(u32, Vec<u8>)> {
    vec![(1, payload.as_bytes().to_vec())]
}

#[test]
fn synced_append_survives_power_loss() {
    // given
    let fixture = WriterFixture::start();
    // when
    fixture.append(1, "a");
    let event = fixture.next_event();
    // then
    assert!(matches!(event, WriterEvent::Synced { ticket: 1, wants_checkpoint: false, .. }));
    fixture.disk.power_cycle();
    assert_eq!(fixture.stored_payloads(), ["a"]);
    assert_eq!(fixture.writer.oldest_in_flight_age(), None);
}

#[test]
fn appends_behind_a_stall_share_one_sync() {
    // given
    let fixture = WriterFixture::start();
    fixture.append(1, "first");
    fixture.wait_until_synced(1);
    fixture.disk.stall();
    fixture.append(2, "a");
    fixture.disk.wait_until_stalled();
    // when
    for ticket in 3..20 {
        fixture.append(ticket, "b");
    }
    fixture.now_ms.store(700, Ordering::SeqCst);
    let age = fixture.writer.oldest_in_flight_age();
    let syncs = fixture.disk.sync_count();
    fixture.disk.resume();
    fixture.wait_until_synced(19);
    // then
    assert_eq!(age, Some(Duration::from_millis(700)));
    assert_eq!(fixture.disk.sync_count(), syncs + 2, "one sync for the stalled append, one for all others");
    assert_eq!(fixture.writer.oldest_in_flight_age(), None);
    assert_eq!(fixture.stored_payloads().len(), 19);
}

#[test]
fn failed_append_is_retried() {
    for fault in [
        Faults { syncs_fail: true, ..Faults::default() },
        Faults { writes_fail: true, ..Faults::default() },
        Faults { full: true, ..Faults::default() },
    ] {
        // given
        let fixture = WriterFixture::start();
        fixture.append(1, "a");
        fixture.wait_until_synced(1);
        fixture.disk.set_faults(fault);
        fixture.append(2, "b");
        for _ in 0..3 {
            assert!(matches!(
                fixture.next_event(),
                WriterEvent::SyncFailed { ticket: 2, error: StorageError::Io { .. }, .. }
            ));
            assert!(fixture.writer.oldest_in_flight_age().is_some());
        }
        // when
        fixture.disk.set_faults(Faults::default());
        fixture.wait_until_synced(2);
        // then
        fixture.disk.power_cycle();
        assert_eq!(fixture.stored_payloads(), ["a", "b"]);
    }
}

#[test]
fn checkpoints_and_appends_run_in_submission_order() {
    // given
    let fixture = WriterFixture::start();
    fixture.append(1, "covered");
    fixture.writer.checkpoint(vec![(9, b"live".to_vec())]).expect("the writer accepts the checkpoint");
    // when
    fixture.append(2, "after");
    let before = fixture.wait_until_synced(2);
    // then
    assert!(before.iter().any(|event| matches!(event, WriterEvent::Checkpointed { .. })));
    assert_eq!(fixture.stored_payloads(), ["live", "after"]);
}

#[test]
fn second_checkpoint_in_flight_is_rejected() {
    // given
    let fixture = WriterFixture::start();
    fixture.disk.stall();
    fixture.writer.checkpoint(vec![]).expect("the writer accepts the checkpoint");
    // when
    let rejected = fixture.writer.checkpoint(vec![]);
    fixture.disk.resume();
    // then
    let command = Command::Checkpoint { live: vec![] };
    assert_eq!(rejected, Err(RejectedCommand { reason: RejectReason::Busy, command }));
    assert!(matches!(fixture.next_event(), WriterEvent::Checkpointed { .. }));
    fixture.writer.checkpoint(vec![]).expect("the writer accepts the checkpoint");
}

#[test]
fn failed_checkpoint_may_be_repeated() {
    // given
    let fixture = WriterFixture::start();
    fixture.disk.set_faults(Faults { full: true, ..Faults::default() });
    fixture.writer.checkpoint(vec![(1, b"live".to_vec())]).expect("the writer accepts the checkpoint");
    assert!(matches!(fixture.next_event(), WriterEvent::CheckpointFailed { error: StorageError::Io { .. } }));
    // when
    fixture.disk.set_faults(Faults::default());
    fixture.writer.checkpoint(vec![(1, b"live".to_vec())]).expect("the writer accepts the checkpoint");
    // then
    assert!(matches!(fixture.next_event(), WriterEvent::Checkpointed { .. }));
    assert_eq!(fixture.stored_payloads(), ["live"]);
}

#[test]
fn checkpoint_completes_appends_of_a_full_ring() {
    // given
    let fixture = WriterFixture::start();
    let refused = fixture.fill_ring();
    // when
    fixture.writer.checkpoint(vec![(1, b"all".to_vec())]).expect("the writer accepts the checkpoint");
    fixture.wait_until_synced(refused);
    // then
    assert_eq!(fixture.stored_payloads(), ["all"]);
    assert_eq!(fixture.writer.oldest_in_flight_age(), None);
}

#[test]
fn append_over_the_in_flight_limit_is_rejected() {
    // given
    let fixture = WriterFixture::with_options(|options| options.max_in_flight_bytes = 10);
    fixture.disk.stall();
    fixture.append(1, "eight...");
    // when
    let rejected = fixture.writer.append(2, record("three"));
    fixture.disk.resume();
    fixture.wait_until_synced(1);
    // then
    let command = Command::Append { ticket: 2, records: record("three") };
    assert_eq!(rejected, Err(RejectedCommand { reason: RejectReason::Busy, command }));
    fixture.append(2, "three");
    fixture.wait_until_synced(2);
}

#[test]
fn append_to_a_full_queue_is_rejected() {
    // given
    let fixture = WriterFixture::with_options(|options| options.queue_capacity = 1);
    fixture.disk.stall();
    fixture.append(1, "at the disk");
    fixture.disk.wait_until_stalled();
    fixture.append(2, "in the queue");
    // when
    let rejected = fixture.writer.append(3, record("over"));
    fixture.disk.resume();
    fixture.wait_until_synced(2);
    // then
    assert_eq!(rejected.map_err(|rejected| rejected.reason), Err(RejectReason::Busy));
    assert_eq!(fixture.writer.oldest_in_flight_age(), None);
}

#[test]
fn append_of_a_too_large_record_is_rejected() {
    let fixture = WriterFixture::start();
    let rejected = fixture.writer.append(1, vec![(1, vec![0; 70_000])]);
    assert_eq!(rejected.map_err(|rejected| rejected.reason), Err(RejectReason::RecordTooLarge));
    assert_eq!(fixture.writer.oldest_in_flight_age(), None);
}

#[test]
fn stop_writes_queued_appends() {
    // given
    let fixture = WriterFixture::start();
    for ticket in 1..50 {
        fixture.append(ticket, "a");
    }
    // when
    let WriterFixture { disk, writer, events, .. } = fixture;
    assert!(writer.stop(TIMEOUT));
    // then
    assert!(matches!(events.iter().last(), Some(WriterEvent::Stopped)));
    assert_eq!(open(&disk).stored.len(), 49);
}

#[test]
fn stop_interrupts_backoff() {
    // given
    let fixture = WriterFixture::with_options(|options| options.initial_backoff = TIMEOUT * 100);
    fixture.disk.set_faults(Faults { full: true, ..Faults::default() });
    fixture.append(1, "a");
    assert!(matches!(fixture.next_event(), WriterEvent::SyncFailed { ticket: 1, .. }));
    // when
    let WriterFixture { writer, events, .. } = fixture;
    assert!(writer.stop(TIMEOUT));
    // then
    assert!(matches!(events.iter().last(), Some(WriterEvent::Stopped)));
}

#[test]
fn stop_does_not_wait_for_a_stalled_disk() {
    // given
    let fixture = WriterFixture::start();
    fixture.disk.stall();
    fixture.append(1, "a");
    fixture.disk.wait_until_stalled();
    // when
    let WriterFixture { disk, writer, events, .. } = fixture;
    assert!(!writer.stop(Duration::ZERO));
    // then
    disk.resume();
    assert!(matches!(events.iter().last(), Some(WriterEvent::Stopped)));
}

#[test]
fn dropped_writer_writes_queued_appends() {
    // given
    let fixture = WriterFixture::start();
    fixture.disk.stall();
    for ticket in 1..5 {
        fixture.append(ticket, "a");
    }
    // when
    let WriterFixture { disk, writer, events, .. } = fixture;
    drop(writer);
    disk.resume();
    // then
    assert!(matches!(events.iter().last(), Some(WriterEvent::Stopped)));
    assert_eq!(open(&disk).stored.len(), 4);
}

#[test]
fn stalled_checkpoint_reports_nothing_before_its_sync() {
    // given
    let fixture = WriterFixture::start();
    fixture.append(1, "a");
    fixture.wait_until_synced(1);
    fixture.disk.stall();
    fixture.writer.checkpoint(vec![(1, b"live".to_vec())]).expect("the writer accepts the checkpoint");
    fixture.disk.wait_until_stalled();
    // when
    fixture.append(2, "b");
    fixture.now_ms.store(900, Ordering::SeqCst);
    // then: no event is reported during the stall, the age of the append grows, and all records survive a power loss.
    assert!(fixture.events.try_recv().is_err());
    assert_eq!(fixture.writer.oldest_in_flight_age(), Some(Duration::from_millis(900)));
    fixture.disk.resume();
    let before = fixture.wait_until_synced(2);
    assert!(matches!(before.as_slice(), [WriterEvent::Checkpointed { .. }]));
    fixture.disk.power_cycle();
    assert_eq!(fixture.stored_payloads(), ["live", "b"]);
}

#[test]
fn failed_checkpoint_completes_no_append() {
    // given
    let fixture = WriterFixture::start();
    let refused = fixture.fill_ring();
    // when
    fixture.disk.set_faults(Faults { syncs_fail: true, ..Faults::default() });
    fixture.writer.checkpoint(vec![(1, b"all".to_vec())]).expect("the writer accepts the checkpoint");
    // then
    assert!(matches!(fixture.next_event(), WriterEvent::CheckpointFailed { error: StorageError::Io { .. } }));
    assert!(fixture.writer.oldest_in_flight_age().is_some());
    fixture.disk.set_faults(Faults::default());
    fixture.writer.checkpoint(vec![(1, b"all".to_vec())]).expect("the writer accepts the checkpoint");
    fixture.wait_until_synced(refused);
    assert_eq!(fixture.stored_payloads(), ["all"]);
}

#[test]
fn durable_append_does_not_complete_a_later_one() {
    // given
    let fixture = WriterFixture::with_event_hook(
        |_| {},
        |disk, event| {
            if matches!(event, WriterEvent::Synced { ticket: 1, .. }) {
                disk.stall();
            }
        },
    );
    fixture.disk.stall();
    fixture.append(1, "a");
    fixture.disk.wait_until_stalled();
    fixture.append(2, "b");
    // when
    fixture.disk.resume();
    fixture.wait_until_synced(1);
    fixture.now_ms.store(700, Ordering::SeqCst);
    // then
    assert_eq!(fixture.writer.oldest_in_flight_age(), Some(Duration::from_millis(700)));
    fixture.disk.resume();
    fixture.wait_until_synced(2);
    assert_eq!(fixture.writer.oldest_in_flight_age(), None);
}
