//! Opens the journal at the start of the process.

use std::path::Path;
use std::time::Duration;

use shaletrail_protocol::settings::Settings;
use shaletrail_storage::{erase, FolderDisk, Journal, Options, StorageError, StoredRecord};
use slog::{error, warn, Logger};
use snafu::{ResultExt, Snafu};

/// Maximum number of attempts to open the journal. A disk may fail for some time after the machine has restarted.
const MAX_OPEN_ATTEMPTS: u32 = 100;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why an attempt to open the journal failed.
#[derive(Debug, Snafu)]
pub enum OpenJournalError {
    /// The directory cannot be used.
    #[snafu(display("{source}"))]
    Directory {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The files of the journal cannot be read or are corrupt.
    #[snafu(display("{source}"))]
    Files {
        /// The error of the storage layer.
        source: StorageError,
    },
}

/// A journal, with the records that it contained when it was opened.
pub struct OpenedJournal {
    /// The journal, ready for appends.
    pub journal: Journal<FolderDisk>,
    /// The records of the journal, oldest first.
    pub stored: Vec<StoredRecord>,
    /// Whether a corrupt journal in this directory has ever been erased.
    pub was_erased: bool,
}

/// Opens the journal in a directory, and retries if that fails. Blocks the calling thread.
///
/// A corrupt journal is treated like a lost disk: it is erased, and the node rejoins its replica groups as a
/// recovering voter.
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
        std::thread::sleep(RETRY_DELAY);
    }
}

/// Erases a corrupt journal. If that fails, the next attempt to open the journal continues the erasure.
fn erase_journal(folder: &Path, log: &Logger) {
    let erased = FolderDisk::open(folder)
        .context(DirectorySnafu)
        .and_then(|mut disk| erase(&mut disk).context(FilesSnafu));
    if let Err(error) = erased {
        warn!(log, "failed to erase corrupt journal"; "error" => %error);
    }
}

fn try_open(folder: &Path, options: &Options, log: &Logger) -> Result<OpenedJournal, OpenJournalError> {
    let disk = FolderDisk::open(folder).context(DirectorySnafu)?;
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
