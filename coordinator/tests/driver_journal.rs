//! The order in which appends reach the journal thread, and the conversion of its reports into events.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_coordinator::driver::journal::{
    event_for_report, open_journal, JournalQueue, JournalThread, OpenedJournal,
};
use shaletrail_coordinator::interface::Event;
use shaletrail_protocol::settings::Settings;
use shaletrail_storage::{Command, RejectReason, RejectedCommand, StorageError, WriterEvent};
use slog::{o, Discard, Logger};

/// A fake journal thread that rejects appends when a test asks for it.
#[derive(Clone, Default)]
struct TestThread(Rc<ThreadState>);

#[derive(Default)]
struct ThreadState {
    accepted_tickets: RefCell<Vec<u64>>,
    /// The reason for which appends are rejected; `None` if they are accepted.
    rejects: RefCell<Option<RejectReason>>,
}

impl JournalThread for TestThread {
    fn append(&self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand> {
        if let Some(reason) = *self.0.rejects.borrow() {
            return Err(RejectedCommand { reason, command: Command::Append { ticket, records } });
        }
        self.0.accepted_tickets.borrow_mut().push(ticket);
        Ok(())
    }

    fn checkpoint(&self, _live: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand> {
        Ok(())
    }

    fn oldest_in_flight(&self) -> Option<Duration> {
        None
    }
}

fn records() -> Vec<(u32, Vec<u8>)> {
    vec![(1, b"record".to_vec())]
}

#[test]
fn no_append_overtakes_a_rejected_one() {
    for reason in [RejectReason::Busy, RejectReason::RecordTooLarge, RejectReason::Stopped] {
        // given
        let thread = TestThread::default();
        let mut queue = JournalQueue::new(Some(thread.clone()));
        queue.append(1, records());
        *thread.0.rejects.borrow_mut() = Some(reason);
        queue.append(2, records());

        // when
        queue.append(3, records());
        queue.submit_pending();

        // then
        assert_eq!(*thread.0.accepted_tickets.borrow(), [1], "{reason:?}");
        assert!(
            queue.is_disk_degraded(),
            "{reason:?}: the disk counts as degraded, so that leadership is transferred"
        );
        *thread.0.rejects.borrow_mut() = None;
        queue.append(4, records());
        assert_eq!(*thread.0.accepted_tickets.borrow(), [1, 2, 3, 4], "{reason:?}");
        assert!(!queue.is_disk_degraded());
    }
}

#[test]
fn journal_without_thread_counts_as_degraded() {
    let mut queue: JournalQueue<TestThread> = JournalQueue::new(None);
    assert!(!queue.is_disk_degraded());
    queue.append(1, records());
    assert!(queue.is_disk_degraded());
}

#[test]
fn only_finished_syncs_make_records_durable() {
    let failure = || StorageError::RingFull { needed: 1, limit: 0 };
    let done = WriterEvent::Synced { ticket: 7, wants_checkpoint: true, elapsed_ms: 3 };
    assert!(matches!(event_for_report(&done), Some(Event::Persisted { ticket: 7, wants_checkpoint: true })));

    let failed = WriterEvent::SyncFailed { error: failure(), ticket: 7, wants_checkpoint: true };
    assert!(matches!(event_for_report(&failed), Some(Event::DiskDegraded { wants_checkpoint: true })));
    let failed = WriterEvent::CheckpointFailed { error: failure() };
    assert!(matches!(event_for_report(&failed), Some(Event::CheckpointFailed)));
    // Checkpointed records were already reported as synced by their appends.
    let checkpointed = WriterEvent::Checkpointed { wants_checkpoint: false, elapsed_ms: 3 };
    assert!(event_for_report(&checkpointed).is_none());
    assert!(event_for_report(&WriterEvent::Stopped).is_none());
}

/// A directory for one test, removed when dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("shaletrail-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        TestFolder(folder)
    }

    fn open(&self) -> OpenedJournal {
        let log = Logger::root(Discard, o!());
        open_journal(&self.0, &settings(), &log).expect("the folder can be used")
    }

    /// Damages a record in each of the journal's files.
    fn corrupt(&self) {
        for entry in std::fs::read_dir(&self.0).expect("the directory is accessible") {
            let path = entry.expect("the entry is readable").path();
            let mut bytes = std::fs::read(&path).expect("the file is accessible");
            if let Some(end) = bytes.iter().rposition(|byte| *byte != 0) {
                bytes[end / 2..end / 2 + 8].fill(0x5a);
                std::fs::write(&path, bytes).expect("the file is accessible");
            }
        }
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn settings() -> Settings {
    "nodeName=core\nip=10.0.0.1\nzone=a\nephemeralPorts=7660,7675\nseedNodes=10.0.0.1:8146\nbootstrap=true\n\
     heartbeatMs=1200\nlimits.diskMb=24\n"
        .parse()
        .expect("the settings are valid")
}

#[test]
fn erasure_of_corrupt_journal_is_remembered() {
    // given
    let folder = TestFolder::new("erased-journal");
    let mut opened = folder.open();
    assert!(!opened.was_erased);
    for record in 0..40 {
        opened.journal.append(0, vec![record; 100]).expect("the record fits");
        opened.journal.sync().expect("the disk works");
    }
    drop(opened);

    // when
    folder.corrupt();
    let opened = folder.open();

    // then
    assert!(opened.stored.is_empty() && opened.was_erased);
    drop(opened);
    assert!(folder.open().was_erased, "also at the next start, with nothing stored yet");
}
