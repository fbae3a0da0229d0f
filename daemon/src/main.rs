//! The `shaletrail` binary: a subcommand for each role, and one that inspects settings files.
//!
//! The settings are read and validated completely before a role opens any file or socket.

mod arguments;
mod error;
mod logging;
mod role;
mod settings_command;

use std::process::ExitCode;

use arguments::{Arguments, Command, SettingsAction};
use error::UsageError;
use role::Role;

/// The exit code if the settings cannot be used or an option has an invalid value.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    run_command(arguments.command).unwrap_or_else(|error| {
        eprintln!("shaletrail: {error}");
        ExitCode::from(EXIT_USAGE)
    })
}

fn run_command(command: Command) -> Result<ExitCode, UsageError> {
    match command {
        Command::DataPlane(options) => role::start(Role::DataPlane, options.settings, options.log_level),
        Command::Coordinator(options) => role::start(Role::Coordinator, options.settings, options.log_level),
        Command::Settings(settings) => {
            match settings.action {
                SettingsAction::Check(options) => settings_command::check(&options.file)?,
                SettingsAction::Show(options) => settings_command::show(&options.file)?,
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}
