//! Appends and checkpoints on their way to the journal's thread, in order.

use std::collections::VecDeque;
use std::time::Duration;

use shaletrail_storage::{
    Command, DirectoryDisk, Journal, RejectedCommand, Writer, WriterEvent, WriterOptions,
};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

use crate::interface::Event;

/// How long a sync may take before the disk counts as degraded.
const DEGRADED_AFTER: Duration = Duration::from_millis(400);

/// The thread that writes the journal, or a stand-in for it in tests.
pub trait JournalThread {
    /// Submits records, which are durable once a report names their ticket or a later one.
    ///
    /// # Errors
    /// The command is given back if it is not accepted now.
    fn append(&self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand>;

    /// Submits a checkpoint: all records that are still needed.
    ///
    /// # Errors
    /// The command is given back if it is not accepted now.
    fn checkpoint(&self, live: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand>;

    /// How long the oldest append that is not durable has been waiting.
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

/// Records that become durable together.
struct PendingAppend {
    ticket: u64,
    records: Vec<(u32, Vec<u8>)>,
}

/// Submits appends and checkpoints to the journal's thread, and keeps the appends that it does not accept yet.
pub struct JournalQueue<T = Writer> {
    /// `None` if no thread could be started: nothing ever becomes durable then.
    thread: Option<T>,
    /// Appends that were not accepted yet, oldest first.
    pending: VecDeque<PendingAppend>,
    /// Whether the thread works on a checkpoint.
    checkpoint_in_progress: bool,
}

impl JournalQueue<Writer> {
    /// Starts the thread. Each of its reports is to be handled as the event that [`event_of`] gives.
    pub fn start(journal: Journal<DirectoryDisk>) -> (Self, UnboundedReceiver<WriterEvent>) {
        let (sender, reports) = unbounded_channel();
        let report = Box::new(move |report| {
            let _ = sender.send(report);
        });
        (JournalQueue::new(Writer::start(journal, WriterOptions::default(), report).ok()), reports)
    }
}

impl<T: JournalThread> JournalQueue<T> {
    /// A queue in front of a thread, if there is one.
    pub fn new(thread: Option<T>) -> Self {
        JournalQueue { thread, pending: VecDeque::new(), checkpoint_in_progress: false }
    }

    /// Whether records have been waiting for too long to become durable.
    pub fn is_late(&self) -> bool {
        let oldest = self.thread.as_ref().and_then(JournalThread::oldest_in_flight);
        !self.pending.is_empty() || oldest.is_some_and(|oldest| oldest > DEGRADED_AFTER)
    }

    /// Submits records; they are kept if they are not accepted now. Consensus bounds the entries in flight, and so what
    /// is kept here.
    pub fn append(&mut self, ticket: u64, records: Vec<(u32, Vec<u8>)>) {
        self.pending.push_back(PendingAppend { ticket, records });
        self.submit_pending();
    }

    /// Submits a checkpoint. One that is not accepted is dropped: the next report asks for it again.
    pub fn checkpoint(&mut self, live: Vec<(u32, Vec<u8>)>) {
        // Pending appends are part of the live records already; their tickets are reported once they are appended too.
        let Some(thread) = &self.thread else { return };
        if !self.checkpoint_in_progress && thread.checkpoint(live).is_ok() {
            self.checkpoint_in_progress = true;
        }
    }

    /// Notes that a checkpoint has ended, whether it succeeded or failed.
    pub fn checkpoint_ended(&mut self) {
        self.checkpoint_in_progress = false;
    }

    /// Submits pending appends in order, until one is not accepted. The report of a ticket covers all earlier ones, so
    /// nothing may overtake an append that was rejected: a record over the journal's limit blocks all later ones, and the
    /// disk counts as degraded.
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

/// The event that a report of the journal's thread stands for, if any.
pub fn event_of(report: &WriterEvent) -> Option<Event> {
    match report {
        WriterEvent::Synced { ticket, wants_checkpoint, .. } => {
            Some(Event::Persisted { ticket: *ticket, wants_checkpoint: *wants_checkpoint })
        }
        WriterEvent::SyncFailed { wants_checkpoint, .. } => {
            Some(Event::DiskDegraded { wants_checkpoint: *wants_checkpoint })
        }
        WriterEvent::CheckpointFailed { .. } => Some(Event::DiskDegraded { wants_checkpoint: false }),
        WriterEvent::Checkpointed { .. } | WriterEvent::Stopped => None,
    }
}
