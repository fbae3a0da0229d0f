//! The journal on disk: opened at the start of the process, then written by a thread of its own.

mod open;
mod queue;

pub use open::{open_journal, OpenJournalError, OpenedJournal};
pub use queue::{event_of, JournalQueue, JournalThread};
