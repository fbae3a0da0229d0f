//! The queue of encoded messages to one peer.

use std::collections::VecDeque;

/// Maximum total size of the messages that are queued for a peer, in bytes.
const MAX_QUEUED_BYTES: usize = 24 << 20;
/// Maximum number of messages that are queued for a peer.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// Maximum total size of the messages that are combined into one write, in bytes.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// A bounded queue of frames that drops the oldest frames when it is full.
#[derive(Default)]
pub(super) struct SendQueue {
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl SendQueue {
    /// Queues a frame. A frame that is longer than the limit is kept if it is the only one.
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

    /// Removes as many frames as fit into one write, at least one, and returns their bytes; empty if no frame is
    /// queued.
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
