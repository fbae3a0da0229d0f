//! Runs a journal on a thread of its own, so that a slow or stalled disk does not block the caller.

mod backoff;
mod command;
mod event;
mod in_flight;
mod options;
mod worker;

use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;
use std::{io, thread};

pub use command::{Command, RejectReason, RejectedCommand};
pub use event::WriterEvent;
pub use options::{Clock, WriterOptions};

use crate::{Disk, Journal};
use in_flight::InFlight;
use worker::{Worker, WorkerChannels};

const THREAD_NAME: &str = "journal";

/// Handle of a thread that owns a journal. Dropping the handle does not block: the thread still executes the queued
/// commands, with a single attempt for each batch, and then ends.
pub struct Writer {
    commands: SyncSender<Command>,
    /// Dropping this sender interrupts the back-off of the thread.
    keep_alive: SyncSender<()>,
    /// Disconnects when the thread has ended.
    thread_ended: Receiver<()>,
    in_flight: Arc<InFlight>,
    max_record_bytes: usize,
}

impl Writer {
    /// Starts the thread. `on_event` is called on that thread and must not block.
    ///
    /// # Errors
    /// The operating system cannot start a thread.
    pub fn start<D: Disk + 'static>(
        journal: Journal<D>,
        options: WriterOptions,
        on_event: Box<dyn Fn(WriterEvent) + Send>,
    ) -> io::Result<Writer> {
        let (commands, command_receiver) = sync_channel(options.queue_capacity);
        let (keep_alive, keep_alive_receiver) = sync_channel(0);
        let (thread_ended_sender, thread_ended) = sync_channel(0);
        let in_flight = Arc::new(InFlight::new(options.clock.clone(), options.max_in_flight_bytes));
        let max_record_bytes = journal.max_record_bytes();
        let channels = WorkerChannels {
            commands: command_receiver,
            handle_alive: keep_alive_receiver,
            _thread_ended: thread_ended_sender,
        };
        let worker = Worker::new(journal, channels, in_flight.clone(), on_event, options);
        thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(move || worker.run())?;
        Ok(Writer { commands, keep_alive, thread_ended, in_flight, max_record_bytes })
    }

    /// Submits records, as pairs of stream and payload, to be made durable. Each ticket must be higher than the
    /// previous one.
    ///
    /// # Errors
    /// Returns the command if the queue or the bytes in flight are at their limit, a record is too large, or the thread
    /// has ended.
    pub fn append(&self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand> {
        let bytes = records.iter().map(|(_, bytes)| bytes.len()).sum();
        let too_large = records.iter().any(|(_, bytes)| bytes.len() > self.max_record_bytes);
        let command = Command::Append { ticket, records };
        if too_large {
            return Err(RejectedCommand { reason: RejectReason::RecordTooLarge, command });
        }
        if !self.in_flight.try_add_append(ticket, bytes) {
            return Err(RejectedCommand { reason: RejectReason::Busy, command });
        }
        self.send(command).inspect_err(|_| self.in_flight.remove_newest_append())
    }

    /// Submits a checkpoint of `live`, as pairs of stream and payload. It replaces all appends that were submitted
    /// before.
    ///
    /// # Errors
    /// Returns the command if another checkpoint is in flight, the queue is full, or the thread has ended.
    pub fn checkpoint(&self, live: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand> {
        let command = Command::Checkpoint { live };
        if !self.in_flight.try_begin_checkpoint() {
            return Err(RejectedCommand { reason: RejectReason::Busy, command });
        }
        self.send(command).inspect_err(|_| self.in_flight.end_checkpoint())
    }

    /// Returns how long the oldest append has been in flight, or `None` if all are durable. The value grows while the
    /// disk stalls.
    pub fn oldest_in_flight_age(&self) -> Option<Duration> {
        self.in_flight.oldest_age()
    }

    /// Shuts the thread down: it executes the queued commands, with a single attempt for each batch, and ends. Waits up
    /// to `timeout` and returns whether the thread has ended.
    pub fn stop(self, timeout: Duration) -> bool {
        let Writer { commands, keep_alive, thread_ended, .. } = self;
        drop((commands, keep_alive));
        thread_ended.recv_timeout(timeout) == Err(RecvTimeoutError::Disconnected)
    }

    fn send(&self, command: Command) -> Result<(), RejectedCommand> {
        self.commands.try_send(command).map_err(|error| match error {
            TrySendError::Full(command) => RejectedCommand { reason: RejectReason::Busy, command },
            TrySendError::Disconnected(command) => RejectedCommand { reason: RejectReason::Stopped, command },
        })
    }
}
