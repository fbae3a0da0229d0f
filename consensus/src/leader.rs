//! What a leader does: replication, commits, reads, readmission.

use shaletrail_protocol::{Millis, NodeId};

use crate::effect::{Effect, ReplicaError};
use crate::entry::{Index, Payload, Position, Term};
use crate::leadership::{Leadership, PendingRead};
use crate::log::Log;
use crate::message::{AppendOutcome, Message, RoundStamp, VoterStatus};
use crate::options::Options;
use crate::progress::{Heard, Progress};
use crate::replica::{Replica, State};

/// What goes into the messages of one round.
struct Round<'a> {
    term: Term,
    commit: Index,
    stamp: RoundStamp,
    log: &'a Log,
    options: &'a Options,
}

impl Replica {
    /// Takes the lead of the present term.
    pub(crate) fn lead(&mut self) {
        let own = self.options.node;
        let first_index = self.log.last().index + 1;
        let peers = self.log.voters().members().filter(|node| *node != own);
        self.state = State::Leader(Box::new(Leadership::new(self.now, first_index, peers)));
        self.leader = Some(own);
        self.founding = false;
        self.effects.push(Effect::Elected { term: self.hard.term });
        self.append_own(Payload::Empty);
    }

    pub(crate) fn tick_leader(&mut self) {
        let own = self.options.node;
        let State::Leader(leadership) = &mut self.state else { return };
        let contact = leadership.contact_since(self.log.voters(), own);
        if contact.saturating_add(self.options.election_max_ms) <= self.now {
            self.become_follower(self.hard.term, None);
        } else if self.now >= leadership.heartbeat_at {
            leadership.wants_round = true;
        }
    }

    /// Whether this replica leads and holds the lease: a majority has answered a message that it sent less than
    /// [`Options::lease_ms`] before `now`, which must be the time of the moment.
    pub fn is_leader_with_lease(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Until when the lease lasts by what has been answered so far; `None` unless this replica leads.
    pub fn lease_until(&self) -> Option<Millis> {
        let State::Leader(leadership) = &self.state else { return None };
        let answered = leadership.answered_by_quorum(self.log.voters(), self.options.node, Millis::MAX);
        Some(if answered == 0 { 0 } else { answered.saturating_add(self.options.lease_ms) })
    }

    /// Adds a command to the log. It has taken effect once it comes back as [`Effect::Apply`] with this index and
    /// the present term; it may be lost if the leadership is.
    pub fn propose(&mut self, now: Millis, command: Vec<u8>) -> Result<Index, ReplicaError> {
        self.set_now(now);
        if !self.is_leader() {
            return self.not_leader();
        }
        let size = command.len();
        if size > self.options.max_command_bytes {
            return Err(ReplicaError::TooLarge { size });
        }
        let uncommitted = self.log.last().index - self.commit;
        let bytes = self.log.size_after(self.commit);
        let is_full = uncommitted >= self.options.max_uncommitted_entries
            || (uncommitted > 0 && bytes + size > self.options.max_uncommitted_bytes);
        if is_full {
            return Err(ReplicaError::Busy);
        }
        Ok(self.append_own(Payload::Command(command.into())))
    }

    /// Asks for a read that sees all that was acknowledged before. Answered by [`Effect::ReadReady`] or
    /// [`Effect::ReadFailed`].
    pub fn read(&mut self, now: Millis, token: u64) -> Result<(), ReplicaError> {
        self.set_now(now);
        let State::Leader(leadership) = &mut self.state else { return self.not_leader() };
        if leadership.reads.len() >= self.options.max_reads {
            return Err(ReplicaError::Busy);
        }
        leadership.reads.push_back(PendingRead { token, round: leadership.round + 1 });
        leadership.wants_round = true;
        Ok(())
    }

    /// Sends what the peers lack, and heartbeats where they are due.
    pub(crate) fn replicate(&mut self) {
        let State::Leader(leadership) = &mut self.state else { return };
        leadership.round += 1;
        let stamp = RoundStamp { round: leadership.round, sent_at: self.now };
        let (term, commit) = (self.hard.term, self.commit);
        let round = Round { term, commit, stamp, log: &self.log, options: &self.options };
        for (node, peer) in &mut leadership.peers {
            let has_sent = round.send_entries(*node, peer, &mut self.effects);
            if leadership.wants_round || (leadership.has_commit_news && !has_sent) {
                self.effects.push(Effect::Send(*node, Message::Heartbeat { term, commit, stamp }));
            }
        }
        if leadership.wants_round {
            leadership.heartbeat_at = self.now + self.options.heartbeat_ms;
        }
        leadership.wants_round = false;
        leadership.has_commit_news = false;
        self.release_peers();
        self.confirm_reads();
    }

    /// Takes the standing and the stamp of a follower's answer; false where the rest of it does not count.
    pub(crate) fn hear_follower(
        &mut self,
        from: NodeId,
        term: Term,
        stamp: RoundStamp,
        standing: VoterStatus,
    ) -> bool {
        if term != self.hard.term {
            self.adopt_newer(term);
            return false;
        }
        let next = self.log.last().index + 1;
        let State::Leader(leadership) = &mut self.state else { return false };
        let Some(peer) = leadership.peers.get_mut(&from) else { return false };
        if stamp.round > leadership.round {
            // Nobody can answer what was not sent.
            return false;
        }
        match peer.hear(standing, stamp, next) {
            Heard::Stale => return false,
            Heard::Known => peer.answered(stamp, self.now),
            Heard::NewlyRecovering => {
                peer.answered(stamp, self.now);
                peer.readmit_at(next);
                self.append_own(Payload::Empty);
            }
        }
        self.confirm_reads();
        true
    }

    pub(crate) fn on_heartbeat_answer(
        &mut self,
        from: NodeId,
        stamp: RoundStamp,
        received: Index,
        matched: Index,
    ) {
        let State::Leader(leadership) = &mut self.state else { return };
        let Some(peer) = leadership.peers.get_mut(&from) else { return };
        if matched > 0 && matched <= self.log.last().index {
            peer.on_matched(matched);
        }
        peer.on_received(received, stamp, self.now, &self.options);
        peer.on_verified(received);
        self.advance_commit();
        self.readmit(from);
    }

    pub(crate) fn on_append_answer(&mut self, from: NodeId, outcome: AppendOutcome, stamp: RoundStamp) {
        let last = self.log.last().index;
        let State::Leader(leadership) = &mut self.state else { return };
        let Some(peer) = leadership.peers.get_mut(&from) else { return };
        match outcome {
            AppendOutcome::Matched(index) if index <= last => peer.on_matched(index),
            AppendOutcome::Matched(_) => return,
            AppendOutcome::Conflict(hint) => peer.on_conflict(hint, stamp),
        }
        self.advance_commit();
        self.readmit(from);
    }

    /// Lets a recovering voter count again, where its readmission point is reached.
    fn readmit(&mut self, node: NodeId) {
        let State::Leader(leadership) = &self.state else { return };
        let boot = leadership.peers.get(&node).and_then(|peer| peer.readmittable(self.commit));
        if let Some(boot) = boot {
            self.send(node, Message::Rejoin { term: self.hard.term, disk_id: boot });
        }
    }

    /// Commits what a majority holds, where that includes an entry of the present term.
    pub(crate) fn advance_commit(&mut self) {
        let State::Leader(leadership) = &self.state else { return };
        let synced = self.persistence.synced_index();
        let replicated = leadership.replicated(self.log.voters(), self.options.node, synced);
        let is_own_term = self.log.get(replicated).is_some_and(|entry| entry.term == self.hard.term);
        if replicated <= self.commit || !is_own_term {
            return;
        }
        self.commit_to(replicated);
        if let State::Leader(leadership) = &mut self.state {
            leadership.has_commit_news = true;
        }
        self.settle_voters();
        self.confirm_reads();
    }

    /// Answers reads that a round has confirmed, once an entry of the present term is committed.
    fn confirm_reads(&mut self) {
        let State::Leader(leadership) = &mut self.state else { return };
        if leadership.reads.is_empty() || self.commit < leadership.first_index {
            return;
        }
        let confirmed = leadership.confirmed_round(self.log.voters(), self.options.node);
        while let Some(read) = leadership.reads.pop_front_if(|read| read.round <= confirmed) {
            self.effects.push(Effect::ReadReady { token: read.token, index: self.commit });
        }
    }
}

impl Round<'_> {
    /// Sends entries, a probe or the snapshot, as far as the peer's window is open. Whether anything was sent.
    fn send_entries(&self, node: NodeId, peer: &mut Progress, effects: &mut Vec<Effect>) -> bool {
        let mut has_sent = false;
        while peer.is_open(self.options) && (peer.needs_probe() || peer.next() <= self.log.last().index) {
            let message = match self.log.position(peer.next() - 1) {
                Some(previous) => self.append(previous, peer),
                None => self.install(peer),
            };
            let Some(message) = message else { break };
            effects.push(Effect::Send(node, message));
            has_sent = true;
        }
        has_sent
    }

    fn append(&self, previous: Position, peer: &mut Progress) -> Option<Message> {
        let limit =
            if peer.is_streaming() { self.options.max_append_bytes } else { self.options.max_probe_bytes };
        let entries = self.log.batch(peer.next(), limit, peer.is_streaming());
        let bytes = entries.iter().map(crate::entry::Entry::size).sum();
        let last = previous.index + entries.len() as Index;
        peer.sent(last, bytes, self.stamp);
        let (term, commit, stamp) = (self.term, self.commit, self.stamp);
        Some(Message::Append { term, previous, entries, commit, stamp })
    }

    fn install(&self, peer: &mut Progress) -> Option<Message> {
        let snapshot = self.log.snapshot()?.clone();
        peer.sent(snapshot.index(), snapshot.state.len(), self.stamp);
        Some(Message::InstallSnapshot { term: self.term, snapshot, stamp: self.stamp })
    }
}
