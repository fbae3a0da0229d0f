//! Encoded messages that wait for a peer's connection.

use std::collections::VecDeque;

/// The size of all messages that may be queued for a peer, in bytes.
const MAX_QUEUED_BYTES: usize = 24 << 20;
/// The number of messages that may be queued for a peer.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// Messages are written together up to this size, in bytes.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// A bounded queue of frames, which drops the oldest ones.
#[derive(Default)]
pub(super) struct SendQueue {
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl SendQueue {
    /// Queues a frame. A single one may be longer than the limit on bytes.
    pub(super) fn push(&mut self, frame: Vec<u8>) {
        self.bytes += frame.len();
        self.frames.push_back(frame);
        while self.frames.len() > MAX_QUEUED_MESSAGES
            || (self.bytes > MAX_QUEUED_BYTES && self.frames.len() > 1)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(frame) = self.frames.pop_front() {
            self.bytes -= frame.len();
        }
    }

    /// Takes as many frames as go into one write; empty if none are queued.
    pub(super) fn take_batch(&mut self) -> Vec<u8> {
        let mut batch = self.frames.pop_front().unwrap_or_default();
        while let Some(next) = self.frames.front() {
            if batch.len() + next.len() > MAX_BATCH_BYTES {
                break;
            }
            batch.extend_from_slice(next);
            self.frames.pop_front();
        }
        self.bytes = self.frames.iter().map(Vec::len).sum();
        batch
    }

    pub(super) fn clear(&mut self) {
        self.frames.clear();
        self.bytes = 0;
    }
}
