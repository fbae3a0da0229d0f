//! The journal on disk: opened at the start, written by a thread of its own.

use std::collections::VecDeque;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_protocol::settings::Settings;
use shaletrail_storage::{
    erase, FolderDisk, Journal, Options, Refused, RefusedReason, Report, StorageError, Stored, Writer,
    WriterOptions,
};
use slog::{error, warn, Logger};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

use super::host::Host;
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
    pub stored: Vec<Stored>,
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

/// Records that are to be made safe together.
struct Append {
    ticket: u64,
    records: Vec<(u32, Vec<u8>)>,
}

/// The near end of the journal's thread.
pub struct Disk {
    writer: Option<Writer>,
    /// Commands that the thread did not take yet, in order.
    waiting: VecDeque<Append>,
    checkpointing: bool,
}

impl Disk {
    /// Starts the thread.
    pub fn start(journal: Journal<FolderDisk>) -> (Disk, UnboundedReceiver<Report>) {
        let (sender, reports): (UnboundedSender<Report>, _) = unbounded_channel();
        let report = Box::new(move |report| {
            let _ = sender.send(report);
        });
        let writer = Writer::start(journal, WriterOptions::default(), report).ok();
        (Disk { writer, waiting: VecDeque::new(), checkpointing: false }, reports)
    }

    /// Whether something has been waiting to be safe for too long.
    pub fn is_late(&self) -> bool {
        let oldest = self.writer.as_ref().and_then(Writer::oldest_unfinished);
        !self.waiting.is_empty() || oldest.is_some_and(|oldest| oldest > SICK_AFTER)
    }

    /// Hands records over; what the thread does not take now waits. Consensus bounds what is under way.
    pub fn append(&mut self, ticket: u64, records: Vec<(u32, Vec<u8>)>) {
        self.waiting.push_back(Append { ticket, records });
        self.hand_over();
    }

    /// Hands a checkpoint over; one that is not taken is asked for again by the next report.
    pub fn checkpoint(&mut self, live: Vec<(u32, Vec<u8>)>) {
        // What waits is part of the live records: its tickets are reported once the append comes through.
        let Some(writer) = &self.writer else { return };
        if !self.checkpointing && writer.checkpoint(live).is_ok() {
            self.checkpointing = true;
        }
    }

    /// A checkpoint has ended, in whichever way.
    pub fn checkpoint_ended(&mut self) {
        self.checkpointing = false;
    }

    /// Hands over what waits.
    pub fn hand_over(&mut self) {
        let Some(writer) = &self.writer else { return };
        while let Some(Append { ticket, records }) = self.waiting.pop_front() {
            if let Err(Refused { reason, command }) = writer.append(ticket, records) {
                // A record over the journal's limit cannot be made safe: nothing that rests on it may be answered.
                if let (RefusedReason::Busy, shaletrail_storage::Command::Append { ticket, records }) =
                    (reason, command)
                {
                    self.waiting.push_front(Append { ticket, records });
                }
                return;
            }
        }
    }
}

/// Brings the thread's reports to the core.
pub async fn hear(host: Rc<Host>, mut reports: UnboundedReceiver<Report>) {
    while let Some(report) = reports.recv().await {
        match report {
            Report::Done { ticket, wants_checkpoint, .. } => {
                host.handle(Event::Stored { ticket, wants_checkpoint })
            }
            Report::Failed { wants_checkpoint, error, .. } => {
                host.disk_failed(&error.to_string(), wants_checkpoint)
            }
            Report::Checkpointed { .. } => host.checkpoint_ended(),
            Report::CheckpointFailed { error } => {
                host.checkpoint_ended();
                host.disk_failed(&error.to_string(), false);
            }
            Report::Stopped => return,
        }
    }
}
