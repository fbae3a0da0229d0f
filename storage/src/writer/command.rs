//! Commands for the writer's thread, and why they are rejected.

/// A command for the writer's thread.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Make records durable.
    Append {
        /// Rises with each append; events refer to it.
        ticket: u64,
        /// Pairs of stream and payload, in order.
        records: Vec<(u32, Vec<u8>)>,
    },
    /// Replace everything that was appended before.
    Checkpoint {
        /// Pairs of stream and payload, in order. Covers every append submitted before.
        live: Vec<(u32, Vec<u8>)>,
    },
}

/// Why a command was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Too much is in flight: retry later.
    Busy,
    /// A record exceeds the journal's limit: a retry cannot help.
    RecordTooLarge,
    /// The thread has ended.
    Stopped,
}

/// A command that was rejected.
#[derive(Debug, PartialEq, Eq)]
pub struct RejectedCommand {
    /// Why it was rejected.
    pub reason: RejectReason,
    /// The command as it was submitted.
    pub command: Command,
}
