//! The `shaletrail` binary: a subcommand for each role, and one that looks at settings files.
//!
//! Settings are read and checked completely before a role opens anything.

mod arguments;
mod error;
mod logging;
mod role;
mod settings_command;

use std::process::ExitCode;

use arguments::{Arguments, Command, SettingsAction};
use error::UsageError;
use role::Role;

/// The exit code for settings that cannot be used, or options with invalid values.
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
