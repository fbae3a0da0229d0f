//! A thread that owns a journal, so that a slow or hanging disk holds up nobody else.

use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TryRecvError, TrySendError};
use std::sync::Arc;
use std::time::Duration;
use std::{io, thread};

use crate::progress::{system_clock, Clock, Progress};
use crate::{Disk, Journal, StorageError};

/// A call for the writer's thread.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Make records safe.
    Append {
        /// Rises with each append; named by the reports.
        ticket: u64,
        /// Streams and bytes, in order.
        records: Vec<(u32, Vec<u8>)>,
    },
    /// Replace all that was appended before by this.
    Checkpoint {
        /// Streams and bytes, in order. Covers every append given before.
        live: Vec<(u32, Vec<u8>)>,
    },
}

/// What the writer's thread tells.
#[derive(Debug)]
pub enum Report {
    /// All records up to this ticket are safe.
    Done {
        /// The newest ticket.
        ticket: u64,
        /// Whether a checkpoint should be given soon.
        wants_checkpoint: bool,
        /// Milliseconds of the write and its sync, failed attempts and pauses left out.
        took_ms: u64,
    },
    /// A checkpoint is safe. A `Done` follows if appends had been waiting that it covers.
    Checkpointed {
        /// Whether the ring is nearly full even so.
        wants_checkpoint: bool,
        /// Milliseconds that it took.
        took_ms: u64,
    },
    /// An attempt failed. The records of the ticket are not known to be safe. After [`StorageError::RingFull`] they
    /// wait for a checkpoint or for another append; otherwise the writer tries again by itself.
    Failed {
        /// What went wrong.
        error: StorageError,
        /// The newest ticket of the attempt.
        ticket: u64,
        /// Whether a checkpoint should be given.
        wants_checkpoint: bool,
    },
    /// A checkpoint failed and was given up; nothing has changed. Another may be given.
    CheckpointFailed {
        /// What went wrong.
        error: StorageError,
    },
    /// The thread ends; nothing follows.
    Stopped,
}

/// Limits and times of a writer.
#[derive(Clone)]
pub struct WriterOptions {
    /// Commands that may wait.
    pub queue: usize,
    /// Bytes of appends that may be unfinished. A single append may be longer.
    pub unfinished_bytes: usize,
    /// Bytes after which a batch takes no more appends in.
    pub batch_bytes: usize,
    /// The pause after the first failed attempt; doubled with each further one.
    pub first_pause: Duration,
    /// The longest pause between attempts.
    pub longest_pause: Duration,
    /// Measures stalls.
    pub clock: Clock,
}

impl Default for WriterOptions {
    fn default() -> Self {
        WriterOptions {
            queue: 1024,
            unfinished_bytes: 32 << 20,
            batch_bytes: 1 << 20,
            first_pause: Duration::from_millis(20),
            longest_pause: Duration::from_millis(500),
            clock: system_clock(),
        }
    }
}

/// Why a command was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Too much is unfinished, or a checkpoint is under way: later, perhaps.
    Busy,
    /// A record is over the journal's limit: never.
    TooLong,
    /// The thread has ended.
    Stopped,
}

/// A command that was not taken, given back.
#[derive(Debug, PartialEq, Eq)]
pub struct RejectedCommand {
    /// Why.
    pub reason: RejectReason,
    /// The command.
    pub command: Command,
}

/// The near end of a thread that owns a journal. Dropping it lets the thread finish what it was given, each batch
/// with one last attempt, and end; it waits for nothing.
pub struct Writer {
    commands: SyncSender<Command>,
    /// Closed to cut pauses short.
    running: SyncSender<()>,
    ended: Receiver<()>,
    progress: Arc<Progress>,
    longest_record: usize,
}

impl Writer {
    /// Starts the thread. `report` is called on it and must not block.
    ///
    /// # Errors
    /// The system gives no thread.
    pub fn start<D: Disk + 'static>(
        journal: Journal<D>,
        options: WriterOptions,
        report: Box<dyn Fn(Report) + Send>,
    ) -> io::Result<Writer> {
        let (commands, receiver) = sync_channel(options.queue);
        let (running, stopping) = sync_channel(0);
        let (_ends, ended) = sync_channel(0);
        let progress = Arc::new(Progress::new(options.clock.clone(), options.unfinished_bytes));
        let longest_record = journal.longest_record();
        let worker = Worker {
            journal,
            commands: receiver,
            stopping,
            progress: progress.clone(),
            report,
            options,
            waiting: None,
            _ends,
        };
        thread::Builder::new().name("journal".to_owned()).spawn(move || worker.run())?;
        Ok(Writer { commands, running, ended, progress, longest_record })
    }

    /// Hands records over. Tickets must rise.
    pub fn append(&self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand> {
        let bytes = records.iter().map(|(_, bytes)| bytes.len()).sum();
        let too_long = records.iter().any(|(_, bytes)| bytes.len() > self.longest_record);
        let command = Command::Append { ticket, records };
        if too_long {
            return Err(RejectedCommand { reason: RejectReason::TooLong, command });
        }
        if !self.progress.begin(ticket, bytes) {
            return Err(RejectedCommand { reason: RejectReason::Busy, command });
        }
        self.send(command).inspect_err(|_| self.progress.take_back())
    }

    /// Hands a checkpoint over, which covers all appends handed over before. One at a time.
    pub fn checkpoint(&self, live: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand> {
        let command = Command::Checkpoint { live };
        if !self.progress.begin_checkpoint() {
            return Err(RejectedCommand { reason: RejectReason::Busy, command });
        }
        self.send(command).inspect_err(|_| self.progress.finish_checkpoint())
    }

    /// How long the oldest append that is not safe yet has been waiting; `None` if there is none. Grows while the
    /// disk hangs.
    pub fn oldest_unfinished(&self) -> Option<Duration> {
        self.progress.oldest()
    }

    /// Lets the thread finish what it was given, each batch with one last attempt, and end. Waits for that no longer
    /// than `patience`; whether it has ended.
    pub fn stop(self, patience: Duration) -> bool {
        let Writer { commands, running, ended, .. } = self;
        drop((commands, running));
        ended.recv_timeout(patience) == Err(RecvTimeoutError::Disconnected)
    }

    fn send(&self, command: Command) -> Result<(), RejectedCommand> {
        self.commands.try_send(command).map_err(|error| match error {
            TrySendError::Full(command) => RejectedCommand { reason: RejectReason::Busy, command },
            TrySendError::Disconnected(command) => RejectedCommand { reason: RejectReason::Stopped, command },
        })
    }
}

/// The thread's state.
struct Worker<D> {
    journal: Journal<D>,
    commands: Receiver<Command>,
    /// Disconnected once the near end is gone.
    stopping: Receiver<()>,
    progress: Arc<Progress>,
    report: Box<dyn Fn(Report) + Send>,
    options: WriterOptions,
    /// The newest ticket that is not safe.
    waiting: Option<u64>,
    /// Closed by the thread's end, in whichever way it ends.
    _ends: SyncSender<()>,
}

impl<D: Disk> Worker<D> {
    fn run(mut self) {
        while let Ok(command) = self.commands.recv() {
            let mut next = Some(command);
            while let Some(command) = next.take() {
                match command {
                    Command::Append { ticket, records } => {
                        next = self.gather(ticket, records);
                        self.sync();
                    }
                    Command::Checkpoint { live } => self.checkpoint(&live),
                }
            }
        }
        (self.report)(Report::Stopped);
    }

    /// Takes in all appends that wait, up to a batch; the command after them that is none.
    fn gather(&mut self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> Option<Command> {
        let mut bytes = self.take_in(ticket, records);
        while bytes < self.options.batch_bytes {
            match self.commands.try_recv() {
                Ok(Command::Append { ticket, records }) => bytes += self.take_in(ticket, records),
                Ok(command) => return Some(command),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => return None,
            }
        }
        None
    }

    /// Appends records; their bytes.
    fn take_in(&mut self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> usize {
        self.waiting = Some(ticket);
        let mut taken = 0;
        for (stream, bytes) in records {
            taken += bytes.len();
            if let Err(error) = self.journal.append(stream, bytes) {
                self.report_failure(error);
            }
        }
        taken
    }

    /// Makes the batch safe: tries until it is, until only a checkpoint helps, or until the near end is gone.
    fn sync(&mut self) {
        let mut pause = self.options.first_pause;
        loop {
            let start = self.progress.now();
            let Err(error) = self.journal.sync() else { return self.report_done(start) };
            let full = matches!(error, StorageError::RingFull { .. });
            self.report_failure(error);
            if full || self.stopped_within(pause) {
                return;
            }
            pause = (pause * 2).min(self.options.longest_pause);
        }
    }

    fn checkpoint(&mut self, live: &[(u32, Vec<u8>)]) {
        let start = self.progress.now();
        let result = self.journal.checkpoint(live);
        self.progress.finish_checkpoint();
        match result {
            Ok(()) => {
                let wants_checkpoint = self.journal.wants_checkpoint();
                (self.report)(Report::Checkpointed { wants_checkpoint, took_ms: self.since(start) });
                self.report_done(start);
            }
            Err(error) => (self.report)(Report::CheckpointFailed { error }),
        }
    }

    fn report_done(&mut self, start: Duration) {
        let Some(ticket) = self.waiting.take() else { return };
        self.progress.finish(ticket);
        let wants_checkpoint = self.journal.wants_checkpoint();
        (self.report)(Report::Done { ticket, wants_checkpoint, took_ms: self.since(start) });
    }

    fn report_failure(&self, error: StorageError) {
        let ticket = self.waiting.unwrap_or_default();
        (self.report)(Report::Failed { error, ticket, wants_checkpoint: self.journal.wants_checkpoint() });
    }

    fn since(&self, start: Duration) -> u64 {
        self.progress.now().saturating_sub(start).as_millis() as u64
    }

    /// Waits; whether the near end is gone.
    fn stopped_within(&self, pause: Duration) -> bool {
        self.stopping.recv_timeout(pause) == Err(RecvTimeoutError::Disconnected)
    }
}
