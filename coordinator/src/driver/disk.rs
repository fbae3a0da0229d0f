//! The journal on disk: opened at the start, written by a thread of its own.

use std::collections::VecDeque;
use std::path::Path;
use std::time::Duration;

use shaletrail_protocol::settings::Settings;
use shaletrail_storage::{
    erase, Command, FolderDisk, Journal, Options, RejectedCommand, StorageError, StoredRecord, Writer,
    WriterEvent, WriterOptions,
};
use slog::{error, warn, Logger};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

use super::CoordinatorError;
use crate::interface::Event;

/// How long a sync may take before the disk counts as sick.
const SICK_AFTER: Duration = Duration::from_millis(400);
/// Attempts to open the journal: a disk may refuse for a while.
const OPENINGS: u32 = 100;
/// Pause between them.
const PAUSE: Duration = Duration::from_millis(100);
/// What the disk held.
pub struct Opened {
    /// The journal, ready to be written.
    pub journal: Journal<FolderDisk>,
    /// Its records.
    pub stored: Vec<StoredRecord>,
}

/// Opens the journal. One that is damaged counts as lost: what it held is erased.
pub fn open(folder: &Path, settings: &Settings, log: &Logger) -> Result<Opened, CoordinatorError> {
    let failed = |reason: String| CoordinatorError::Journal { folder: folder.to_owned(), reason };
    let options = Options::for_disk(settings.limits.disk_mb);
    let mut last = String::new();
    for _ in 0..OPENINGS {
        let disk = match FolderDisk::open(folder) {
            Ok(disk) => disk,
            Err(refused) => {
                last = refused.to_string();
                std::thread::sleep(PAUSE);
                continue;
            }
        };
        match Journal::open(disk, &options) {
            Ok(opened) => return Ok(Opened { journal: opened.journal, stored: opened.stored }),
            Err(damage @ StorageError::Corrupt { .. }) => {
                error!(log, "journal damaged, starting over as forgotten"; "error" => %damage);
                if let Ok(mut disk) = FolderDisk::open(folder) {
                    let _ = erase(&mut disk);
                }
                last = damage.to_string();
            }
            Err(other) => {
                warn!(log, "journal not opened yet"; "error" => %other);
                last = other.to_string();
            }
        }
        std::thread::sleep(PAUSE);
    }
    Err(failed(last))
}

/// Takes what is to be made safe: the journal's thread, or what stands for it in a test.
pub trait Appender {
    /// Takes records, which are safe once a report names their ticket or a later one.
    fn append(&self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand>;
    /// Takes a checkpoint.
    fn checkpoint(&self, live: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand>;
    /// How long the oldest append that is not safe has been waiting.
    fn oldest_in_flight(&self) -> Option<Duration>;
}

impl Appender for Writer {
    fn append(&self, ticket: u64, records: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand> {
        Writer::append(self, ticket, records)
    }

    fn checkpoint(&self, live: Vec<(u32, Vec<u8>)>) -> Result<(), RejectedCommand> {
        Writer::checkpoint(self, live)
    }

    fn oldest_in_flight(&self) -> Option<Duration> {
        Writer::oldest_in_flight(self)
    }
}

/// Records that are to be made safe together.
struct Append {
    ticket: u64,
    records: Vec<(u32, Vec<u8>)>,
}

/// The near end of the journal's thread.
pub struct Disk<A = Writer> {
    /// `None` if the system gave no thread: nothing is ever safe then.
    appender: Option<A>,
    /// Appends that were not taken yet, in order.
    waiting: VecDeque<Append>,
    checkpointing: bool,
}

impl Disk<Writer> {
    /// Starts the thread; what it reports is to be told to the core as [`event_of`] says.
    pub fn start(journal: Journal<FolderDisk>) -> (Self, UnboundedReceiver<WriterEvent>) {
        let (sender, reports): (UnboundedSender<WriterEvent>, _) = unbounded_channel();
        let report = Box::new(move |report| {
            let _ = sender.send(report);
        });
        (Disk::new(Writer::start(journal, WriterOptions::default(), report).ok()), reports)
    }
}

impl<A: Appender> Disk<A> {
    /// The near end of something that takes appends.
    pub fn new(appender: Option<A>) -> Self {
        Disk { appender, waiting: VecDeque::new(), checkpointing: false }
    }

    /// Whether something has been waiting to be safe for too long.
    pub fn is_late(&self) -> bool {
        let oldest = self.appender.as_ref().and_then(Appender::oldest_in_flight);
        !self.waiting.is_empty() || oldest.is_some_and(|oldest| oldest > SICK_AFTER)
    }

    /// Hands records over; what is not taken now waits. Consensus bounds what is under way.
    pub fn append(&mut self, ticket: u64, records: Vec<(u32, Vec<u8>)>) {
        self.waiting.push_back(Append { ticket, records });
        self.transfer_leadership();
    }

    /// Hands a checkpoint over; one that is not taken is asked for again by the next report.
    pub fn checkpoint(&mut self, live: Vec<(u32, Vec<u8>)>) {
        // What waits is part of the live records: its tickets are reported once the append comes through.
        let Some(appender) = &self.appender else { return };
        if !self.checkpointing && appender.checkpoint(live).is_ok() {
            self.checkpointing = true;
        }
    }

    /// A checkpoint has ended, in whichever way.
    pub fn checkpoint_ended(&mut self) {
        self.checkpointing = false;
    }

    /// Hands over what waits, in order. A report of a ticket speaks for all before it, so that nothing passes what was
    /// refused: a record over the journal's limit holds up all that follows, and the disk counts as sick.
    pub fn transfer_leadership(&mut self) {
        let Some(appender) = &self.appender else { return };
        while let Some(Append { ticket, records }) = self.waiting.pop_front() {
            let Err(RejectedCommand { command, .. }) = appender.append(ticket, records) else { continue };
            if let Command::Append { ticket, records } = command {
                self.waiting.push_front(Append { ticket, records });
            }
            return;
        }
    }
}

/// What the core is told of a report; `None` if nothing.
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
