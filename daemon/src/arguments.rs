//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// A router and placer for many models.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    DataPlane(DataPlane),
    Coordinator(Coordinator),
    Settings(SettingsCommand),
}

/// Take requests of clients and send them to servers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "data-plane")]
pub struct DataPlane {
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
pub struct Coordinator {
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
pub struct SettingsCommand {
    #[argh(subcommand)]
    pub action: SettingsAction,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum SettingsAction {
    Check(CheckFile),
    Show(ShowFile),
}

/// Say whether a process could run with it, or what is wrong.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct CheckFile {
    /// the settings file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print what a process would run with.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct ShowFile {
    /// the settings file
    #[argh(positional)]
    pub file: PathBuf,
}
