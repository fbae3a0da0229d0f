//! The log: a line for each event that an operator can act on, to standard error.

use slog::{o, Drain, Level, Logger};

/// The level that the command line names; `None` if there is none of that name.
pub fn parse_level(name: &str) -> Option<Level> {
    match name {
        "error" => Some(Level::Error),
        "warning" => Some(Level::Warning),
        "info" => Some(Level::Info),
        "debug" => Some(Level::Debug),
        _ => None,
    }
}

/// A logger for lines of this level and of more urgent ones. The thread that logs writes them: they are too few for a
/// thread of their own, whose wake-ups would cost more.
pub fn logger(level: Level) -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().filter_level(level).fuse();
    Logger::root(drain, o!())
}
