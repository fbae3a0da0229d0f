//! The subcommand that inspects settings files.

use std::path::Path;

use shaletrail_protocol::settings::Settings;

use crate::error::UsageError;

/// Validates a settings file and reports on standard output that it is valid. Losses that the file asks to tolerate and
/// that its zones do not allow are reported as well; the system runs with the best placement that there is.
///
/// # Errors
/// The file cannot be used.
pub fn check(path: &Path) -> Result<(), UsageError> {
    let settings = Settings::read(path)?;
    println!("{}: right", path.display());
    for unattainable in settings.unattainable_tolerances() {
        println!("{}: warning: {unattainable}", path.display());
    }
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
