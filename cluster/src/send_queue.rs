//! The outgoing messages of a state machine, which wait here until its driver takes them.

use shaletrail_protocol::NodeId;

/// Limit on the messages in one queue.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// A bounded queue of messages with their receivers.
///
/// Messages beyond the limit are dropped. This is safe because both protocols tolerate message loss: they send again
/// what is not acknowledged.
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
