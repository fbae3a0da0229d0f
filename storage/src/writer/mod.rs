//! A thread that owns a journal, so that a slow or stalled disk blocks nobody else.

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

/// Handle of a thread that owns a journal. Dropping it does not wait: the thread finishes the commands that it was given,
/// each batch with one last attempt, and ends.
pub struct Writer {
    commands: SyncSender<Command>,
    /// Dropped to interrupt the thread's backoff.
    running: SyncSender<()>,
    /// Disconnected once the thread has ended.
    ended: Receiver<()>,
    in_flight: Arc<InFlight>,
    max_record_bytes: usize,
}

impl Writer {
    /// Starts the thread. `on_event` is called on it and must not block.
    ///
    /// # Errors
    /// The operating system cannot start a thread.
    pub fn start<D: Disk + 'static>(
        journal: Journal<D>,
        options: WriterOptions,
        on_event: Box<dyn Fn(WriterEvent) + Send>,
    ) -> io::Result<Writer> {
        let (commands, command_receiver) = sync_channel(options.queue_capacity);
        let (running, running_receiver) = sync_channel(0);
        let (ended_sender, ended) = sync_channel(0);
        let in_flight = Arc::new(InFlight::new(options.clock.clone(), options.max_in_flight_bytes));
        let max_record_bytes = journal.max_record_bytes();
        let channels =
            WorkerChannels { commands: command_receiver, running: running_receiver, _ended: ended_sender };
        let worker = Worker::new(journal, channels, in_flight.clone(), on_event, options);
        thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(move || worker.run())?;
        Ok(Writer { commands, running, ended, in_flight, max_record_bytes })
    }

    /// Submits records, pairs of stream and payload, to be made durable. Tickets must rise.
    ///
    /// # Errors
    /// The command is returned: the queue or the bytes in flight are at their limit, a record is too large, or the
    /// thread has ended.
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

    /// Submits a checkpoint of `live`, pairs of stream and payload, which replaces all appends submitted before.
    ///
    /// # Errors
    /// The command is returned: another checkpoint is in flight, the queue is full, or the thread has ended.
    pub fn checkpoint(&self, live: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand> {
        let command = Command::Checkpoint { live };
        if !self.in_flight.try_begin_checkpoint() {
            return Err(RejectedCommand { reason: RejectReason::Busy, command });
        }
        self.send(command).inspect_err(|_| self.in_flight.end_checkpoint())
    }

    /// How long the oldest append has been in flight; `None` if all are durable. Grows while the disk stalls.
    pub fn oldest_in_flight(&self) -> Option<Duration> {
        self.in_flight.oldest_age()
    }

    /// Lets the thread finish the commands that it was given, each batch with one last attempt, and end. Waits at most
    /// `timeout`; whether the thread has ended.
    pub fn stop(self, timeout: Duration) -> bool {
        let Writer { commands, running, ended, .. } = self;
        drop((commands, running));
        ended.recv_timeout(timeout) == Err(RecvTimeoutError::Disconnected)
    }

    fn send(&self, command: Command) -> Result<(), RejectedCommand> {
        self.commands.try_send(command).map_err(|error| match error {
            TrySendError::Full(command) => RejectedCommand { reason: RejectReason::Busy, command },
            TrySendError::Disconnected(command) => RejectedCommand { reason: RejectReason::Stopped, command },
        })
    }
}
