//! Passes appends and checkpoints to the journal's thread, in order.

use std::collections::VecDeque;
use std::time::Duration;

use shaletrail_storage::{
    Command, DirectoryDisk, Journal, RejectedCommand, Writer, WriterEvent, WriterOptions,
};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

use crate::interface::Event;

/// Time that a sync may take before the disk counts as degraded.
const DEGRADED_AFTER: Duration = Duration::from_millis(400);

/// The thread that writes the journal. Tests replace it with a fake.
pub trait JournalThread {
    /// Submits records. They are durable once a report contains their ticket or a later one.
    ///
    /// # Errors
    /// The command is given back if it is not accepted now.
    fn append(&self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand>;

    /// Submits a checkpoint, which consists of all records that are still needed.
    ///
    /// # Errors
    /// The command is given back if it is not accepted now.
    fn checkpoint(&self, live: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand>;

    /// How long the oldest append that is not yet durable has been waiting; `None` if all appends are durable.
    fn oldest_in_flight(&self) -> Option<Duration>;
}

impl JournalThread for Writer {
    fn append(&self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand> {
        Writer::append(self, ticket, records)
    }

    fn checkpoint(&self, live: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand> {
        Writer::checkpoint(self, live)
    }

    fn oldest_in_flight(&self) -> Option<Duration> {
        Writer::oldest_in_flight_age(self)
    }
}

/// Records that are written in one append.
struct PendingAppend {
    ticket: u64,
    records: Vec<(u32, Vec<u8>)>,
}

/// Submits appends and checkpoints to the journal's thread, and queues the appends that the thread does not accept
/// yet.
pub struct JournalQueue<T = Writer> {
    /// `None` if the thread could not be started. Nothing becomes durable in that case.
    thread: Option<T>,
    /// Appends that have not been accepted yet, oldest first.
    pending: VecDeque<PendingAppend>,
    /// Whether the thread is writing a checkpoint.
    checkpoint_in_progress: bool,
}

impl JournalQueue<Writer> {
    /// Starts the thread. The caller has to convert each report with [`event_for_report`] and handle the resulting event.
    pub fn start(journal: Journal<DirectoryDisk>) -> (Self, UnboundedReceiver<WriterEvent>) {
        let (sender, reports) = unbounded_channel();
        let report = Box::new(move |report| {
            let _ = sender.send(report);
        });
        (JournalQueue::new(Writer::start(journal, WriterOptions::default(), report).ok()), reports)
    }
}

impl<T: JournalThread> JournalQueue<T> {
    /// Creates an empty queue for a thread; `None` if the thread could not be started.
    pub fn new(thread: Option<T>) -> Self {
        JournalQueue { thread, pending: VecDeque::new(), checkpoint_in_progress: false }
    }

    /// Whether the disk counts as degraded: an append was not accepted, or has been waiting for too long to become
    /// durable.
    pub fn is_disk_degraded(&self) -> bool {
        let oldest = self.thread.as_ref().and_then(JournalThread::oldest_in_flight);
        !self.pending.is_empty() || oldest.is_some_and(|oldest| oldest > DEGRADED_AFTER)
    }

    /// Submits records, or queues them if they are not accepted now. The queue needs no limit, because consensus
    /// limits the number of entries in flight.
    pub fn append(&mut self, ticket: u64, records: Vec<(u32, Vec<u8>)>) {
        self.pending.push_back(PendingAppend { ticket, records });
        self.submit_pending();
    }

    /// Submits a checkpoint. It is dropped if it is not accepted, because the next report requests it again.
    pub fn checkpoint(&mut self, live: Vec<(u32, Vec<u8>)>) {
        // The live records already include those of pending appends. The tickets of these are reported once they have
        // been appended as well.
        let Some(thread) = &self.thread else { return };
        if !self.checkpoint_in_progress && thread.checkpoint(live).is_ok() {
            self.checkpoint_in_progress = true;
        }
    }

    /// Must be called when a checkpoint has succeeded or failed.
    pub fn checkpoint_ended(&mut self) {
        self.checkpoint_in_progress = false;
    }

    /// Submits pending appends in order until one is not accepted. A reported ticket implies that all earlier tickets
    /// are durable, so no append may overtake a rejected one. As a consequence, a record that exceeds the journal's
    /// size limit blocks all later appends, and the disk counts as degraded.
    pub fn submit_pending(&mut self) {
        let Some(thread) = &self.thread else { return };
        while let Some(PendingAppend { ticket, records }) = self.pending.pop_front() {
            let Err(RejectedCommand { command, .. }) = thread.append(ticket, records) else { continue };
            if let Command::Append { ticket, records } = command {
                self.pending.push_front(PendingAppend { ticket, records });
            }
            return;
        }
    }
}

/// Converts a report of the journal's thread into an event; `None` if the state machine does not need the report.
pub fn event_for_report(report: &WriterEvent) -> Option<Event> {
    match report {
        WriterEvent::Synced { ticket, wants_checkpoint, .. } => {
            Some(Event::Persisted { ticket: *ticket, wants_checkpoint: *wants_checkpoint })
        }
        WriterEvent::SyncFailed { wants_checkpoint, .. } => {
            Some(Event::DiskDegraded { wants_checkpoint: *wants_checkpoint })
        }
        WriterEvent::CheckpointFailed { .. } => Some(Event::CheckpointFailed),
        WriterEvent::Checkpointed { .. } | WriterEvent::Stopped => None,
    }
}
