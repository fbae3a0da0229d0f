//! The leader's replication: entries, snapshots and heartbeats to peers, handling of their responses, and commits
//! (Ongaro's thesis, section 3.5).

use shaletrail_protocol::NodeId;

use crate::effect::Effect;
use crate::entry::{Entry, Index, LogPosition, Payload, Term};
use crate::log::Log;
use crate::message::{AppendOutcome, Message, RoundStamp, VoterStatus};
use crate::options::Options;
use crate::progress::{Progress, StatusCheck};
use crate::replica::{Replica, RoleState};

/// The values shared by all messages of one round.
struct Round<'a> {
    term: Term,
    commit: Index,
    stamp: RoundStamp,
    log: &'a Log,
    options: &'a Options,
}

impl Replica {
    /// Starts a new round: sends each peer the entries that it lacks, and heartbeats if they are due.
    pub(crate) fn replicate(&mut self) {
        let RoleState::Leader(leader_state) = &mut self.role_state else { return };
        leader_state.round += 1;
        let stamp = RoundStamp { round: leader_state.round, sent_at: self.now };
        let (term, commit) = (self.hard_state.term, self.commit_index);
        let round = Round { term, commit, stamp, log: &self.log, options: &self.options };
        for (node, peer) in &mut leader_state.peers {
            let has_sent = round.send_entries(*node, peer, &mut self.effects);
            if leader_state.heartbeat_pending || (leader_state.commit_broadcast_pending && !has_sent) {
                self.effects.push(Effect::Send(*node, Message::Heartbeat { term, commit, stamp }));
            }
        }
        if leader_state.heartbeat_pending {
            leader_state.heartbeat_at = self.now + self.options.heartbeat_ms;
        }
        leader_state.heartbeat_pending = false;
        leader_state.commit_broadcast_pending = false;
        self.remove_departed_peers();
        self.confirm_reads();
    }

    /// Records the status and stamp of a peer's response. Returns false if the rest of the response must be ignored.
    pub(crate) fn record_response(
        &mut self,
        from: NodeId,
        term: Term,
        stamp: RoundStamp,
        status: VoterStatus,
    ) -> bool {
        if term != self.hard_state.term {
            self.adopt_newer_term(term);
            return false;
        }
        let next = self.log.last_position().index + 1;
        let RoleState::Leader(leader_state) = &mut self.role_state else { return false };
        let Some(peer) = leader_state.peers.get_mut(&from) else { return false };
        if stamp.round > leader_state.round {
            // A response to a round that was never sent.
            return false;
        }
        match peer.check_status(status, stamp, next) {
            StatusCheck::Stale => return false,
            StatusCheck::Current => peer.record_ack(stamp, self.now, &self.options),
            StatusCheck::NewlyRecovering => {
                peer.record_ack(stamp, self.now, &self.options);
                peer.set_rejoin_index(next);
                self.append_entry(Payload::Empty);
            }
        }
        self.confirm_reads();
        true
    }

    pub(crate) fn on_heartbeat_response(
        &mut self,
        from: NodeId,
        stamp: RoundStamp,
        received: Index,
        matched: Index,
    ) {
        let RoleState::Leader(leader_state) = &mut self.role_state else { return };
        let Some(peer) = leader_state.peers.get_mut(&from) else { return };
        if matched > 0 && matched <= self.log.last_position().index {
            peer.on_matched(matched, self.now);
        }
        peer.resend_if_lost(received, stamp, self.now, &self.options);
        peer.probe_if_restarted(received);
        self.advance_commit();
        self.send_rejoin_if_ready(from);
    }

    pub(crate) fn on_append_response(&mut self, from: NodeId, outcome: AppendOutcome, stamp: RoundStamp) {
        let last = self.log.last_position().index;
        let RoleState::Leader(leader_state) = &mut self.role_state else { return };
        let Some(peer) = leader_state.peers.get_mut(&from) else { return };
        match outcome {
            AppendOutcome::Matched(index) if index <= last => peer.on_matched(index, self.now),
            AppendOutcome::Matched(_) => return,
            AppendOutcome::Conflict(hint) => peer.on_conflict(hint, stamp),
        }
        self.advance_commit();
        self.send_rejoin_if_ready(from);
    }

    /// Lets a recovering voter count again if it is ready.
    fn send_rejoin_if_ready(&mut self, node: NodeId) {
        let RoleState::Leader(leader_state) = &self.role_state else { return };
        let peer = leader_state.peers.get(&node);
        if let Some(disk_id) = peer.and_then(|peer| peer.disk_ready_to_rejoin(self.commit_index)) {
            self.send(node, Message::Rejoin { term: self.hard_state.term, disk_id });
        }
    }

    /// Commits the entries that a quorum has synced, provided that the last of them belongs to the current term. An
    /// entry of an earlier term may still be overwritten, even if a majority holds it (Ongaro's thesis, section 3.6.2).
    pub(crate) fn advance_commit(&mut self) {
        let RoleState::Leader(leader_state) = &self.role_state else { return };
        let synced = self.persistence.synced_index();
        let quorum_matched = leader_state.quorum_matched(self.log.voters(), self.options.node, synced);
        let is_own_term =
            self.log.get(quorum_matched).is_some_and(|entry| entry.term == self.hard_state.term);
        if quorum_matched <= self.commit_index || !is_own_term {
            return;
        }
        self.commit_to(quorum_matched);
        if let RoleState::Leader(leader_state) = &mut self.role_state {
            leader_state.commit_broadcast_pending = true;
        }
        self.leave_joint_if_committed();
        self.confirm_reads();
    }
}

impl Round<'_> {
    /// Sends entries, a probe or the snapshot, as far as the peer's window allows. Returns whether anything was sent.
    fn send_entries(&self, node: NodeId, peer: &mut Progress, effects: &mut Vec<Effect>) -> bool {
        let mut has_sent = false;
        while peer.can_send_entries(self.options) && (peer.needs_probe() || self.has_entries_for(peer)) {
            let message = match self.log.position(peer.next() - 1) {
                Some(previous) => self.append(previous, peer),
                None => self.install_snapshot(peer),
            };
            let Some(message) = message else { break };
            effects.push(Effect::Send(node, message));
            has_sent = true;
        }
        has_sent
    }

    fn has_entries_for(&self, peer: &Progress) -> bool {
        peer.next() <= self.log.last_position().index
    }

    fn append(&self, previous: LogPosition, peer: &mut Progress) -> Option<Message> {
        let is_replicating = peer.is_replicating();
        let limit = if is_replicating { self.options.max_append_bytes } else { self.options.max_probe_bytes };
        let entries = self.log.batch(peer.next(), limit, is_replicating);
        let bytes = entries.iter().map(Entry::size).sum();
        let last = previous.index + entries.len() as Index;
        peer.record_sent(last, bytes, self.stamp);
        let (term, commit, stamp) = (self.term, self.commit, self.stamp);
        Some(Message::Append { term, previous, entries, commit, stamp })
    }

    fn install_snapshot(&self, peer: &mut Progress) -> Option<Message> {
        let snapshot = self.log.snapshot()?.clone();
        peer.record_snapshot_sent(snapshot.index(), snapshot.state.len(), self.stamp);
        Some(Message::InstallSnapshot { term: self.term, snapshot, stamp: self.stamp })
    }
}
