//! Sending messages, either immediately or after the records that they depend on are synced.
//!
//! A server must not respond before its persistent state is on stable storage (Ongaro's thesis, section 3.8). So a
//! message that grants a vote or acknowledges entries waits for all earlier records, and a response that carries the
//! current term waits until that term is synced. All other messages are sent immediately.

use shaletrail_protocol::NodeId;

use crate::effect::Effect;
use crate::message::Message;
use crate::record::Record;
use crate::replica::Replica;

impl Replica {
    /// Sends a message that does not depend on unsynced state.
    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.effects.push(Effect::Send(to, message));
    }

    /// Sends a message that carries the current term, once that term is synced.
    pub(crate) fn send_in_term(&mut self, to: NodeId, message: Message) {
        self.send_after_ticket(self.hard_state_ticket, to, message);
    }

    /// Sends a message once everything recorded so far is synced.
    pub(crate) fn send_after_sync(&mut self, to: NodeId, message: Message) {
        self.send_after_ticket(self.persistence.covering_ticket(), to, message);
    }

    /// A message to this node itself is always deferred, so that [`Replica::persisted`] is the only place that handles
    /// it.
    fn send_after_ticket(&mut self, ticket: u64, to: NodeId, message: Message) {
        if self.persistence.is_synced(ticket) && to != self.options.node {
            self.send(to, message);
        } else {
            self.persistence.defer(ticket, to, message);
        }
    }

    /// Adds the hard state to the next batch of records.
    pub(crate) fn record_hard_state(&mut self) {
        self.persistence.record(Record::HardState(self.hard_state.clone()));
        self.hard_state_ticket = self.persistence.covering_ticket();
    }
}
