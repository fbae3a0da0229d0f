//! The command line. Doc comments of commands and options are their help texts; some are not sentences for that reason.

use std::path::PathBuf;

use argh::FromArgs;

/// A router and placer for many models.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    /// the role to run, or the command for settings files
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

/// Take requests of clients and send them to servers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "data-plane")]
pub struct DataPlaneOptions {
    /// settings file (else the path in SHALETRAIL_BOOT)
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// least urgent lines to log: error, warning, info, debug
    #[argh(option, default = "String::from(\"info\")")]
    pub log_level: String,
}

/// Keep the configuration and the directory of servers, place models.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "coordinator")]
pub struct CoordinatorOptions {
    /// settings file (else the path in SHALETRAIL_BOOT)
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// least urgent lines to log: error, warning, info, debug
    #[argh(option, default = "String::from(\"info\")")]
    pub log_level: String,
}

/// Look at a settings file.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "settings")]
pub struct SettingsOptions {
    /// what to do with the file
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

/// Say whether a process could run with it, or what is wrong.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct CheckOptions {
    /// the settings file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print what a process would run with.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct ShowOptions {
    /// the settings file
    #[argh(positional)]
    pub file: PathBuf,
}
