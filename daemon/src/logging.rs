//! Logging to standard error, one line for each event that an operator can act on.

use slog::{o, Drain, Level, Logger};

/// Parses a log level of the command line; `None` if the name is unknown.
pub fn parse_level(name: &str) -> Option<Level> {
    match name {
        "error" => Some(Level::Error),
        "warning" => Some(Level::Warning),
        "info" => Some(Level::Info),
        "debug" => Some(Level::Debug),
        _ => None,
    }
}

/// Creates a logger for lines of this level and of more severe levels. Lines are written by the thread that logs
/// them: there are so few that the wake-ups of a separate logging thread would cost more.
pub fn logger(level: Level) -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().filter_level(level).fuse();
    Logger::root(drain, o!())
}
