//! Errors that end a coordinator's process.

use std::path::PathBuf;

use snafu::Snafu;

use super::journal::OpenJournalError;

/// Why a coordinator cannot be started. Each of these errors ends the process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CoordinatorError {
    /// A listener cannot be opened.
    #[snafu(display("failed to listen on {address}: {source}"))]
    Listen {
        /// The address, `IP:PORT`.
        address: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The settings lack a key that the role needs.
    #[snafu(display("{key}: missing, a coordinator needs it"))]
    MissingSetting {
        /// The key, as spelled in the settings file.
        key: &'static str,
    },
    /// The journal cannot be opened.
    #[snafu(display("failed to open journal in {}: {source}", folder.display()))]
    Journal {
        /// The directory of the journal.
        folder: PathBuf,
        /// The error of the last attempt.
        source: OpenJournalError,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("failed to install signal handlers: {source}"))]
    Signals {
        /// The error of the operating system.
        source: std::io::Error,
    },
}
