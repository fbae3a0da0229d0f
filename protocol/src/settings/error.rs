//! Errors of reading a settings file.

use std::path::PathBuf;

use snafu::Snafu;

/// Why a settings file cannot be used. Each message says what the operator has to correct.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("settings file {}: {source}", path.display()))]
    ReadFile {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A required key is absent, or its value is empty.
    #[snafu(display("{key}: missing, expected {expected}"))]
    MissingKey {
        /// The key, as spelled in the file.
        key: String,
        /// A description of the expected value for the operator.
        expected: &'static str,
    },
    /// A value cannot be parsed, or is out of range.
    #[snafu(display("{key}: '{value}' found, expected {expected}"))]
    InvalidValue {
        /// The key, as spelled in the file.
        key: String,
        /// The value that was found; for a list, the invalid item.
        value: String,
        /// A description of the expected value for the operator.
        expected: &'static str,
    },
}
