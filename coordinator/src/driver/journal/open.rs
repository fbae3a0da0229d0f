//! Opening the journal at the start of the process.

use std::path::Path;
use std::time::Duration;

use shaletrail_protocol::settings::Settings;
use shaletrail_storage::{erase, DirectoryDisk, Journal, Options, StorageError, StoredRecord};
use slog::{error, warn, Logger};
use snafu::{ResultExt, Snafu};

/// Attempts to open the journal: a disk may fail for a while after a restart of the machine.
const MAX_OPEN_ATTEMPTS: u32 = 100;
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why one attempt to open the journal has failed.
#[derive(Debug, Snafu)]
pub enum OpenJournalError {
    /// The directory cannot be used.
    #[snafu(display("{source}"))]
    Directory {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The files of the journal cannot be read, or not be relied on.
    #[snafu(display("{source}"))]
    Files {
        /// The error of the storage.
        source: StorageError,
    },
}

/// A journal with the records that it held when it was opened.
pub struct OpenedJournal {
    /// The journal, ready for appends.
    pub journal: Journal<DirectoryDisk>,
    /// Its records, oldest first.
    pub stored: Vec<StoredRecord>,
    /// Whether a journal of this directory was ever corrupt and erased.
    pub was_erased: bool,
}

/// Opens the journal in a directory, and tries again while that fails. Blocks the thread.
///
/// A corrupt journal counts as a lost disk: it is erased, and the node rejoins its replica groups as a recovering voter.
///
/// # Errors
/// The error of the last attempt.
pub fn open_journal(
    folder: &Path,
    settings: &Settings,
    log: &Logger,
) -> Result<OpenedJournal, OpenJournalError> {
    let options = Options::for_disk(settings.limits.disk_mb);
    let mut attempts = 0;
    loop {
        let error = match try_open(folder, &options, log) {
            Ok(opened) => return Ok(opened),
            Err(error) => error,
        };
        attempts += 1;
        if attempts == MAX_OPEN_ATTEMPTS {
            return Err(error);
        }
        std::thread::sleep(RETRY_PAUSE);
    }
}

/// Erases a corrupt journal. One that fails is resumed by the next attempt.
fn erase_journal(folder: &Path, log: &Logger) {
    let erased = DirectoryDisk::open(folder)
        .context(DirectorySnafu)
        .and_then(|mut disk| erase(&mut disk).context(FilesSnafu));
    if let Err(error) = erased {
        warn!(log, "failed to erase corrupt journal"; "error" => %error);
    }
}

fn try_open(folder: &Path, options: &Options, log: &Logger) -> Result<OpenedJournal, OpenJournalError> {
    let disk = DirectoryDisk::open(folder).context(DirectorySnafu)?;
    match Journal::open(disk, options) {
        Ok(opened) => {
            let was_erased = opened.erased;
            Ok(OpenedJournal { journal: opened.journal, stored: opened.stored, was_erased })
        }
        Err(error) => {
            if matches!(error, StorageError::Corrupt { .. }) {
                error!(log, "journal is corrupt, erasing it to rejoin as a recovering voter"; "error" => %error);
                erase_journal(folder, log);
            } else {
                warn!(log, "journal not opened yet, retrying"; "error" => %error);
            }
            Err(error).context(FilesSnafu)
        }
    }
}
