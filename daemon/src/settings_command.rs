//! The subcommand that inspects settings files.

use std::path::Path;

use shaletrail_protocol::settings::Settings;

use crate::error::UsageError;

/// Prints that a settings file is valid, if it is.
///
/// # Errors
/// The file cannot be used.
pub fn check(path: &Path) -> Result<(), UsageError> {
    Settings::read(path)?;
    println!("{}: right", path.display());
    Ok(())
}

/// Prints the settings that a process would use, including defaults.
///
/// # Errors
/// The file cannot be used.
pub fn show(path: &Path) -> Result<(), UsageError> {
    let settings = Settings::read(path)?;
    println!("{settings:#?}");
    Ok(())
}
