//! Commands to the writer thread, and the reasons for which they are rejected.

/// A command to the writer thread.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Makes records durable.
    Append {
        /// Identifies the append in events. Must increase with each append.
        ticket: u64,
        /// Pairs of stream and payload, in order.
        records: Vec<(u32, Vec<u8>)>,
    },
    /// Replaces all records that were appended before.
    Checkpoint {
        /// Pairs of stream and payload, in order. They replace every append submitted before.
        live: Vec<(u32, Vec<u8>)>,
    },
}

/// Why a command was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The queue or the number of bytes in flight is at its limit, or another checkpoint is in flight. The command can
    /// be retried later.
    Busy,
    /// A record exceeds the limit of the journal. Retrying does not help.
    RecordTooLarge,
    /// The writer thread has ended.
    Stopped,
}

/// A rejected command, which is returned to the caller.
#[derive(Debug, PartialEq, Eq)]
pub struct RejectedCommand {
    /// Why the command was rejected.
    pub reason: RejectReason,
    /// The command as it was submitted.
    pub command: Command,
}
