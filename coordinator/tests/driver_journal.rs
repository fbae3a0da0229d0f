//! The order in which appends reach the journal's thread, and the events that its reports stand for.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_coordinator::driver::journal::{event_of, JournalQueue, JournalThread};
use shaletrail_coordinator::interface::Event;
use shaletrail_storage::{Command, RejectReason, RejectedCommand, StorageError, WriterEvent};

/// A journal's thread that rejects appends as a test wants it.
#[derive(Clone, Default)]
struct TestThread(Rc<ThreadState>);

#[derive(Default)]
struct ThreadState {
    accepted_tickets: RefCell<Vec<u64>>,
    /// Why appends are rejected, if they are.
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
        assert!(queue.is_late(), "{reason:?}: leaderships should be transferred meanwhile");
        *thread.0.rejects.borrow_mut() = None;
        queue.append(4, records());
        assert_eq!(*thread.0.accepted_tickets.borrow(), [1, 2, 3, 4], "{reason:?}");
        assert!(!queue.is_late());
    }
}

#[test]
fn journal_without_thread_is_late() {
    let mut queue: JournalQueue<TestThread> = JournalQueue::new(None);
    assert!(!queue.is_late());
    queue.append(1, records());
    assert!(queue.is_late());
}

#[test]
fn only_finished_syncs_make_records_durable() {
    let failure = || StorageError::RingFull { needed: 1, limit: 0 };
    let done = WriterEvent::Synced { ticket: 7, wants_checkpoint: true, elapsed_ms: 3 };
    assert!(matches!(event_of(&done), Some(Event::Persisted { ticket: 7, wants_checkpoint: true })));

    let failed = WriterEvent::SyncFailed { error: failure(), ticket: 7, wants_checkpoint: true };
    assert!(matches!(event_of(&failed), Some(Event::DiskDegraded { wants_checkpoint: true })));
    let failed = WriterEvent::CheckpointFailed { error: failure() };
    assert!(matches!(event_of(&failed), Some(Event::DiskDegraded { wants_checkpoint: false })));
    // The records that a checkpoint contains have reports of their own.
    let checkpointed = WriterEvent::Checkpointed { wants_checkpoint: false, elapsed_ms: 3 };
    assert!(event_of(&checkpointed).is_none());
    assert!(event_of(&WriterEvent::Stopped).is_none());
}
