//! The subcommand that looks at settings files.

use std::path::Path;

use shaletrail_protocol::settings::Settings;

use crate::error::UsageError;

/// Says whether a process could run with a settings file.
///
/// # Errors
/// The file cannot be used.
pub fn check(path: &Path) -> Result<(), UsageError> {
    Settings::read(path)?;
    println!("{}: right", path.display());
    Ok(())
}

/// Prints the settings that a process would run with, defaults included.
///
/// # Errors
/// The file cannot be used.
pub fn show(path: &Path) -> Result<(), UsageError> {
    let settings = Settings::read(path)?;
    println!("{settings:#?}");
    Ok(())
}
