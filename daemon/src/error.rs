//! Why a command cannot be carried out as it was given.

use shaletrail_protocol::settings::{SettingsError, PATH_VARIABLE};
use snafu::Snafu;

/// Why a command cannot be carried out as it was given. The texts are for the operator who typed it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum UsageError {
    /// `--log-level` is not the name of a level.
    #[snafu(display("--log-level: '{level}' found, expected error, warning, info or debug"))]
    UnknownLogLevel {
        /// The name that was given.
        level: String,
    },
    /// Neither the command line nor the environment names a settings file.
    #[snafu(display("no settings file: set {PATH_VARIABLE} or give --settings FILE"))]
    NoSettingsFile,
    /// The settings file cannot be used.
    #[snafu(context(false), display("{source}"))]
    Settings {
        /// What is wrong with it.
        source: SettingsError,
    },
    /// The settings file lacks a key that this role needs.
    #[snafu(display("{key}: missing, the role needs it"))]
    MissingSetting {
        /// The key as it is spelled in the file.
        key: &'static str,
    },
}
