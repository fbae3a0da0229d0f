//! Events that the writer thread reports.

use crate::StorageError;

/// An event reported by the writer thread.
#[derive(Debug)]
pub enum WriterEvent {
    /// All appends up to and including `ticket` are durable.
    Synced {
        /// The highest durable ticket.
        ticket: u64,
        /// Whether a checkpoint should be submitted soon.
        wants_checkpoint: bool,
        /// Duration of the successful write and sync in milliseconds, without failed attempts and back-off.
        elapsed_ms: u64,
    },
    /// A checkpoint is durable. A `Synced` event follows if the checkpoint covers appends that were in flight.
    Checkpointed {
        /// Whether the ring is nearly full even after this checkpoint.
        wants_checkpoint: bool,
        /// Duration of the writes and syncs of the checkpoint, in milliseconds.
        elapsed_ms: u64,
    },
    /// An attempt to make appends durable failed. It is unknown whether their records are durable. After
    /// [`StorageError::RingFull`] the appends wait for a checkpoint or another append; after other errors the writer
    /// retries.
    SyncFailed {
        /// The cause of the failure.
        error: StorageError,
        /// The highest ticket of the failed attempt.
        ticket: u64,
        /// Whether a checkpoint should be submitted.
        wants_checkpoint: bool,
    },
    /// A checkpoint failed without changing anything. It is not retried, but another one may be submitted.
    CheckpointFailed {
        /// The cause of the failure.
        error: StorageError,
    },
    /// The writer thread is ending. This is its last event.
    Stopped,
}
