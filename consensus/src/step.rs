//! The calls that drive a replica: received messages, time, synced records, and retrieving effects.

use shaletrail_protocol::{Millis, NodeId};

use crate::effect::Effect;
use crate::message::Message;
use crate::replica::{Replica, RoleState};

impl Replica {
    /// Handles a message from another replica. Implausible messages are ignored.
    pub fn receive(&mut self, now: Millis, from: NodeId, message: Message) {
        self.set_now(now);
        if from == self.options.node || !message.is_plausible() {
            return;
        }
        match message {
            Message::PreVoteRequest { term, last } => self.on_pre_vote_request(from, term, last),
            Message::PreVoteResponse { term, granted } => self.on_pre_vote_response(from, term, granted),
            Message::VoteRequest { term, last, leadership_transfer } => {
                self.on_vote_request(from, term, last, leadership_transfer)
            }
            Message::VoteResponse { term, granted } => self.on_vote_response(from, term, granted),
            Message::Heartbeat { term, commit, stamp } => self.on_heartbeat(from, term, commit, stamp),
            Message::HeartbeatResponse { term, stamp, received, matched, status } => {
                if self.record_response(from, term, stamp, status) {
                    self.on_heartbeat_response(from, stamp, received, matched);
                }
            }
            Message::Append { term, previous, entries, commit, stamp } => {
                if self.follow_or_reject(from, term) {
                    self.on_append(from, previous, entries, commit, stamp);
                }
            }
            Message::AppendResponse { term, stamp, outcome, status } => {
                if self.record_response(from, term, stamp, status) {
                    self.on_append_response(from, outcome, stamp);
                }
            }
            Message::InstallSnapshot { term, snapshot, stamp } => {
                if self.follow_or_reject(from, term) {
                    self.on_install_snapshot(from, snapshot, stamp);
                }
            }
            Message::TimeoutNow { term } => self.on_timeout_now(term),
            Message::Rejoin { term, disk_id } => self.on_rejoin(from, term, disk_id),
        }
    }

    /// Performs actions that are due: a leader's heartbeats and check-quorum, or the election timeout of other roles.
    pub fn tick(&mut self, now: Millis) {
        self.set_now(now);
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_at {
            self.on_election_timeout();
        }
    }

    /// When [`Replica::tick`] has to be called next. May be in the past, or [`Millis::MAX`] if nothing is scheduled.
    pub fn next_wake(&self) -> Millis {
        match &self.role_state {
            RoleState::Leader(leader_state) => leader_state.heartbeat_at,
            _ if self.is_promotable() => self.election_at,
            _ => Millis::MAX,
        }
    }

    /// Reports that all records up to `ticket` are synced, and sends the messages that waited for them.
    pub fn persisted(&mut self, now: Millis, ticket: u64) {
        self.set_now(now);
        self.persistence.on_persisted(ticket);
        while let Some(deferred) = self.persistence.next_sendable() {
            match deferred.message {
                Message::VoteResponse { term, granted } if deferred.to == self.options.node => {
                    self.on_vote_response(deferred.to, term, granted);
                }
                message => self.effects.push(Effect::Send(deferred.to, message)),
            }
        }
        self.advance_commit();
    }

    /// The effects since the last call, for the driver to carry out in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.replicate();
        if let Some(batch) = self.persistence.flush(self.now, self.log.last_position().index) {
            self.effects.push(Effect::Persist { ticket: batch.ticket, records: batch.records });
        }
        std::mem::take(&mut self.effects)
    }
}
