//! Why a settings file cannot be used.

use std::path::PathBuf;

use snafu::Snafu;

/// Why a settings file cannot be used. Each text names what an operator has to correct.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("settings file {}: {source}", path.display()))]
    ReadFile {
        /// The path that was tried.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A required key is absent, or its value is empty.
    #[snafu(display("{key}: missing, expected {expected}"))]
    MissingKey {
        /// The key as it is spelled in the file.
        key: String,
        /// The kind of value that belongs there, in words for the operator.
        expected: &'static str,
    },
    /// A value cannot be parsed, or is out of its range.
    #[snafu(display("{key}: '{value}' found, expected {expected}"))]
    InvalidValue {
        /// The key as it is spelled in the file.
        key: String,
        /// The value that was found; of a list, the item that is wrong.
        value: String,
        /// The kind of value that belongs there, in words for the operator.
        expected: &'static str,
    },
}
