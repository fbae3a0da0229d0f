//! Why a coordinator cannot run.

use std::path::PathBuf;

use snafu::Snafu;

use super::journal::OpenJournalError;

/// Why a coordinator cannot run. Each one ends the process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CoordinatorError {
    /// A listener cannot be opened.
    #[snafu(display("listener on {address}: {source}"))]
    Listen {
        /// The address, `IP:PORT`.
        address: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The settings lack a key that the role needs.
    #[snafu(display("{key}: missing, a coordinator needs it"))]
    MissingSetting {
        /// The key as it is spelled in the settings file.
        key: &'static str,
    },
    /// The journal cannot be opened.
    #[snafu(display("journal in {}: {source}", folder.display()))]
    Journal {
        /// The directory of the journal.
        folder: PathBuf,
        /// The error of the last attempt.
        source: OpenJournalError,
    },
    /// The handlers of signals cannot be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The error of the operating system.
        source: std::io::Error,
    },
}
