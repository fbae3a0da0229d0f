//! The command-line interface. The doc comments of commands and options are their help texts, so those of options are
//! not full sentences.

use std::path::PathBuf;

use argh::FromArgs;

/// Routes requests to model servers and places models on them.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    /// the role to run, or `settings` to inspect a settings file
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands of the binary.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    DataPlane(DataPlaneOptions),
    Coordinator(CoordinatorOptions),
    Settings(SettingsOptions),
}

/// Accept requests from clients and route them to model servers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "data-plane")]
pub struct DataPlaneOptions {
    /// settings file (default: the path in SHALETRAIL_BOOT)
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// minimum severity of log lines: error, warning, info, debug
    #[argh(option, default = "String::from(\"info\")")]
    pub log_level: String,
}

/// Replicate the configuration, track the model servers and place models on them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "coordinator")]
pub struct CoordinatorOptions {
    /// settings file (default: the path in SHALETRAIL_BOOT)
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// minimum severity of log lines: error, warning, info, debug
    #[argh(option, default = "String::from(\"info\")")]
    pub log_level: String,
}

/// Check or print a settings file.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "settings")]
pub struct SettingsOptions {
    /// whether to check or to print the file
    #[argh(subcommand)]
    pub action: SettingsAction,
}

/// The subcommands of `settings`.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum SettingsAction {
    Check(CheckOptions),
    Show(ShowOptions),
}

/// Check whether a settings file is valid, and print the first error if it is not.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct CheckOptions {
    /// the settings file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print the settings that a process would use, including defaults.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct ShowOptions {
    /// the settings file
    #[argh(positional)]
    pub file: PathBuf,
}
