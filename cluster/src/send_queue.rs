//! Outgoing messages of a state machine, until the driver takes them.

use shaletrail_protocol::NodeId;

/// Messages that wait for the driver, at most.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// A bounded queue of messages with their receivers.
///
/// A message beyond the bound is dropped, as a lossy link would: both protocols repeat what is not acknowledged.
#[derive(Debug)]
pub(crate) struct SendQueue<Message> {
    messages: Vec<(NodeId, Message)>,
}

impl<Message> Default for SendQueue<Message> {
    fn default() -> Self {
        SendQueue { messages: Vec::new() }
    }
}

impl<Message> SendQueue<Message> {
    /// Appends a message, or drops it if the queue is full.
    pub(crate) fn push(&mut self, to: NodeId, message: Message) {
        if self.messages.len() < MAX_QUEUED_MESSAGES {
            self.messages.push((to, message));
        }
    }

    /// Takes all messages, in the order in which they were queued.
    pub(crate) fn take(&mut self) -> Vec<(NodeId, Message)> {
        std::mem::take(&mut self.messages)
    }
}
