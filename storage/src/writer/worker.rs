//! The writer thread: groups appends into commits, retries failed syncs with back-off, and writes checkpoints.

use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TryRecvError};
use std::sync::Arc;
use std::time::Duration;

use super::backoff::Backoff;
use super::command::Command;
use super::event::WriterEvent;
use super::in_flight::InFlight;
use super::options::WriterOptions;
use crate::{Disk, Journal, StorageError};

/// The thread's ends of the channels that connect it to its handle.
pub(super) struct WorkerChannels {
    pub commands: Receiver<Command>,
    /// Disconnects when the handle is dropped.
    pub handle_alive: Receiver<()>,
    /// Dropped when the thread ends, also after a panic.
    pub _thread_ended: SyncSender<()>,
}

/// State of the writer thread.
pub(super) struct Worker<D> {
    journal: Journal<D>,
    channels: WorkerChannels,
    in_flight: Arc<InFlight>,
    on_event: Box<dyn Fn(WriterEvent) + Send>,
    options: WriterOptions,
    /// The highest ticket appended to the journal; `None` if all appends are durable.
    unsynced_ticket: Option<u64>,
}

impl<D: Disk> Worker<D> {
    /// Creates the state of a thread. It passes its events to `on_event`, and starts with [`Worker::run`].
    pub fn new(
        journal: Journal<D>,
        channels: WorkerChannels,
        in_flight: Arc<InFlight>,
        on_event: Box<dyn Fn(WriterEvent) + Send>,
        options: WriterOptions,
    ) -> Self {
        Worker { journal, channels, in_flight, on_event, options, unsynced_ticket: None }
    }

    /// Executes commands until the handle is dropped and the queue is empty.
    pub fn run(mut self) {
        while let Ok(command) = self.channels.commands.recv() {
            let mut next = Some(command);
            while let Some(command) = next.take() {
                match command {
                    Command::Append { ticket, records } => {
                        next = self.append_batch(ticket, records);
                        self.sync();
                    }
                    Command::Checkpoint { live } => self.checkpoint(&live),
                }
            }
        }
        (self.on_event)(WriterEvent::Stopped);
    }

    /// Appends the given records and further queued ones, up to the batch limit, so that one sync covers all of them.
    /// If a queued command that is not an append ends the batch, returns that command.
    fn append_batch(&mut self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> Option<Command> {
        let mut bytes = self.append(ticket, records);
        while bytes < self.options.max_batch_bytes {
            match self.channels.commands.try_recv() {
                Ok(Command::Append { ticket, records }) => bytes += self.append(ticket, records),
                Ok(command) => return Some(command),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => return None,
            }
        }
        None
    }

    /// Appends records to the journal. Returns their total payload size in bytes.
    fn append(&mut self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> usize {
        self.unsynced_ticket = Some(ticket);
        let mut appended = 0;
        for (stream, bytes) in records {
            appended += bytes.len();
            if let Err(error) = self.journal.append(stream, bytes) {
                self.report_failure(error);
            }
        }
        appended
    }

    /// Makes the batch durable. Retries until it succeeds, the ring is full, or the handle is dropped.
    fn sync(&mut self) {
        let mut backoff = Backoff::new(self.options.initial_backoff, self.options.max_backoff);
        loop {
            let start = self.now();
            let Err(error) = self.journal.sync() else { return self.report_synced(start) };
            let ring_full = matches!(error, StorageError::RingFull { .. });
            self.report_failure(error);
            if ring_full || self.handle_dropped_within(backoff.next_delay()) {
                return;
            }
        }
    }

    fn checkpoint(&mut self, live: &[(u32, Vec<u8>)]) {
        let start = self.now();
        let result = self.journal.checkpoint(live);
        self.in_flight.end_checkpoint();
        match result {
            Ok(()) => {
                let wants_checkpoint = self.journal.wants_checkpoint();
                let elapsed_ms = self.elapsed_ms(start);
                (self.on_event)(WriterEvent::Checkpointed { wants_checkpoint, elapsed_ms });
                self.report_synced(start);
            }
            Err(error) => (self.on_event)(WriterEvent::CheckpointFailed { error }),
        }
    }

    fn report_synced(&mut self, start: Duration) {
        let Some(ticket) = self.unsynced_ticket.take() else { return };
        self.in_flight.finish_appends(ticket);
        let wants_checkpoint = self.journal.wants_checkpoint();
        let elapsed_ms = self.elapsed_ms(start);
        (self.on_event)(WriterEvent::Synced { ticket, wants_checkpoint, elapsed_ms });
    }

    fn report_failure(&self, error: StorageError) {
        let ticket = self.unsynced_ticket.unwrap_or_default();
        let wants_checkpoint = self.journal.wants_checkpoint();
        (self.on_event)(WriterEvent::SyncFailed { error, ticket, wants_checkpoint });
    }

    fn now(&self) -> Duration {
        (self.options.clock)()
    }

    fn elapsed_ms(&self, start: Duration) -> u64 {
        self.now().saturating_sub(start).as_millis() as u64
    }

    /// Waits for `delay`, or until the handle is dropped. Returns whether it was dropped.
    fn handle_dropped_within(&self, delay: Duration) -> bool {
        self.channels.handle_alive.recv_timeout(delay) == Err(RecvTimeoutError::Disconnected)
    }
}
