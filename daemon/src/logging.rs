//! Logs: one line an event that an operator can act on, to standard error.

use slog::{o, Drain, Level, Logger};

/// The level of a name on the command line.
pub fn level(name: &str) -> Option<Level> {
    match name {
        "error" => Some(Level::Error),
        "warning" => Some(Level::Warning),
        "info" => Some(Level::Info),
        "debug" => Some(Level::Debug),
        _ => None,
    }
}

/// A logger for lines of this level and above. Lines are written at once by the thread that logs: they are few.
pub fn logger(level: Level) -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().filter_level(level).fuse();
    Logger::root(drain, o!())
}
