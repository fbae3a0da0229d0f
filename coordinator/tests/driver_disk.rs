//! What is handed to the journal, in which order, and what its reports tell the core.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_coordinator::driver::disk::{event_of, Appender, Disk};
use shaletrail_coordinator::interface::Event;
use shaletrail_storage::{Command, RejectReason, RejectedCommand, StorageError, WriterEvent};

/// A journal's thread, as far as a test decides for it.
#[derive(Default)]
struct Journal {
    taken: RefCell<Vec<u64>>,
    /// Why appends are refused, if they are.
    refuses: RefCell<Option<RejectReason>>,
}

#[derive(Clone, Default)]
struct Near(Rc<Journal>);

impl Appender for Near {
    fn append(&self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand> {
        if let Some(reason) = *self.0.refuses.borrow() {
            return Err(RejectedCommand { reason, command: Command::Append { ticket, records } });
        }
        self.0.taken.borrow_mut().push(ticket);
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
fn given_an_append_that_was_refused_when_others_follow_then_none_passes_it_whatever_the_reason() {
    for reason in [RejectReason::Busy, RejectReason::RecordTooLarge, RejectReason::Stopped] {
        // given
        let journal = Near::default();
        let mut disk = Disk::new(Some(journal.clone()));
        disk.append(1, records());
        *journal.0.refuses.borrow_mut() = Some(reason);
        disk.append(2, records());

        // when
        disk.append(3, records());
        disk.transfer_leadership();

        // then
        assert_eq!(*journal.0.taken.borrow(), [1], "{reason:?}");
        assert!(disk.is_late(), "{reason:?}: others should lead meanwhile");
        *journal.0.refuses.borrow_mut() = None;
        disk.append(4, records());
        assert_eq!(*journal.0.taken.borrow(), [1, 2, 3, 4], "{reason:?}");
        assert!(!disk.is_late());
    }
}

#[test]
fn given_no_thread_for_the_journal_when_records_come_then_the_disk_counts_as_sick() {
    let mut disk: Disk<Near> = Disk::new(None);
    assert!(!disk.is_late());
    disk.append(1, records());
    assert!(disk.is_late());
}

#[test]
fn given_reports_of_the_journal_when_they_are_told_then_only_a_sync_that_is_done_makes_records_safe() {
    let failure = || StorageError::RingFull { needed: 1, limit: 0 };
    let done = WriterEvent::Synced { ticket: 7, wants_checkpoint: true, elapsed_ms: 3 };
    assert!(matches!(event_of(&done), Some(Event::Persisted { ticket: 7, wants_checkpoint: true })));

    let failed = WriterEvent::SyncFailed { error: failure(), ticket: 7, wants_checkpoint: true };
    assert!(matches!(event_of(&failed), Some(Event::DiskDegraded { wants_checkpoint: true })));
    let failed = WriterEvent::CheckpointFailed { error: failure() };
    assert!(matches!(event_of(&failed), Some(Event::DiskDegraded { wants_checkpoint: false })));
    // What it covers is told by a report of its own.
    let checkpointed = WriterEvent::Checkpointed { wants_checkpoint: false, elapsed_ms: 3 };
    assert!(event_of(&checkpointed).is_none());
    assert!(event_of(&WriterEvent::Stopped).is_none());
}
