//! The journal on disk. It is opened at the start of the process and then written by a dedicated thread.

mod open;
mod queue;

pub use open::{open_journal, OpenJournalError, OpenedJournal};
pub use queue::{event_for_report, JournalQueue, JournalThread};
