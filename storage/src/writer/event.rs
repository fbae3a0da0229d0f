//! What the writer's thread reports.

use crate::StorageError;

/// An event of the writer's thread.
#[derive(Debug)]
pub enum WriterEvent {
    /// All records up to this ticket are durable.
    Synced {
        /// The newest durable ticket.
        ticket: u64,
        /// Whether a checkpoint should be submitted soon.
        wants_checkpoint: bool,
        /// Milliseconds of the successful write and its sync, without failed attempts and backoff.
        elapsed_ms: u64,
    },
    /// A checkpoint is durable. A `Synced` follows if it covers appends that were in flight.
    Checkpointed {
        /// Whether the ring is nearly full even so.
        wants_checkpoint: bool,
        /// Milliseconds of its writes and syncs.
        elapsed_ms: u64,
    },
    /// An attempt to make appends durable failed; whether their records are durable is unknown. After
    /// [`StorageError::RingFull`] they wait for a checkpoint or for another append; otherwise the writer retries.
    SyncFailed {
        /// The cause.
        error: StorageError,
        /// The newest ticket of the attempt.
        ticket: u64,
        /// Whether a checkpoint should be submitted.
        wants_checkpoint: bool,
    },
    /// A checkpoint failed and is not retried; nothing has changed. Another may be submitted.
    CheckpointFailed {
        /// The cause.
        error: StorageError,
    },
    /// The thread ends; no event follows.
    Stopped,
}
