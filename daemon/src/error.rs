//! Errors of the command line and the settings.

use shaletrail_protocol::settings::{SettingsError, SETTINGS_PATH_VARIABLE};
use snafu::Snafu;

/// Why a command cannot be run. The messages are printed for the operator who entered the command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum UsageError {
    /// The value of `--log-level` is not the name of a log level.
    #[snafu(display("--log-level: '{level}' found, expected error, warning, info or debug"))]
    UnknownLogLevel {
        /// The value of the option.
        level: String,
    },
    /// Neither the command line nor the environment specifies a settings file.
    #[snafu(display("no settings file: set {SETTINGS_PATH_VARIABLE} or give --settings FILE"))]
    NoSettingsFile,
    /// The settings file cannot be used.
    #[snafu(context(false), display("{source}"))]
    Settings {
        /// The error of reading or parsing it.
        source: SettingsError,
    },
    /// The settings file lacks a key that this role needs.
    #[snafu(display("{key}: missing, the role needs it"))]
    MissingSetting {
        /// The key, as spelled in the file.
        key: &'static str,
    },
}
