//! Sending: at once, or after the records that a message rests on are synced.
//!
//! A server must not respond before its persistent state is on stable storage (Ongaro's thesis, section 3.8). So a
//! message that gives a vote or acknowledges entries waits for all records before it, and one that names the term waits
//! for the term. All else leaves at once.

use shaletrail_protocol::NodeId;

use crate::effect::Effect;
use crate::message::Message;
use crate::record::Record;
use crate::replica::Replica;

impl Replica {
    /// Sends a message that rests on nothing that is still being synced.
    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.effects.push(Effect::Send(to, message));
    }

    /// Sends a message that names the term, as soon as the term is synced.
    pub(crate) fn send_in_term(&mut self, to: NodeId, message: Message) {
        self.send_after_ticket(self.hard_state_ticket, to, message);
    }

    /// Sends a message as soon as all that was recorded so far is synced.
    pub(crate) fn send_after_sync(&mut self, to: NodeId, message: Message) {
        self.send_after_ticket(self.persistence.covering_ticket(), to, message);
    }

    /// A message to this node itself always waits, so that it is handled in [`Replica::persisted`] alone.
    fn send_after_ticket(&mut self, ticket: u64, to: NodeId, message: Message) {
        if self.persistence.is_synced(ticket) && to != self.options.node {
            self.send(to, message);
        } else {
            self.persistence.defer(ticket, to, message);
        }
    }

    /// Records the hard state with the next batch.
    pub(crate) fn record_hard_state(&mut self) {
        self.persistence.record(Record::HardState(self.hard_state.clone()));
        self.hard_state_ticket = self.persistence.covering_ticket();
    }
}
