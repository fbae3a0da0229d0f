//! The messages between the replicas of a group. They are encoded by position, so variants and fields must keep their
//! order.

use bitcode::{Decode, Encode};
use shaletrail_protocol::Millis;

use crate::entry::{Entry, Index, LogPosition, Term};
use crate::record::Snapshot;

/// Identifies a round of a leader's messages. Sent with each message of a leader and returned in the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RoundStamp {
    /// Number of the round. Increases with each round of messages that the leader sends in its term.
    pub round: u64,
    /// When the message was sent, in milliseconds by the leader's clock.
    pub sent_at: Millis,
}

/// The disk of the responding replica, and whether its response counts towards quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VoterStatus {
    /// Identifies the disk; see [`HardState::disk_id`](crate::HardState::disk_id).
    pub disk_id: u64,
    /// Whether a previous disk was lost and no leader has let this disk rejoin yet.
    pub recovering: bool,
}

/// The result of a [`Message::Append`] or [`Message::InstallSnapshot`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum AppendOutcome {
    /// The log matches the leader's up to this index, and is synced up to it.
    Matched(Index),
    /// The entry before the first one is missing or differs. The log matches the leader's up to this index at most.
    Conflict(Index),
}

/// A message between replicas. `term` is the sender's current term, except in pre-votes, where it is the next one.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, strum::IntoStaticStr)]
pub enum Message {
    /// Asks whether the receiver would grant a vote.
    PreVoteRequest {
        /// The term after the sender's current one.
        term: Term,
        /// Last entry of the sender's log.
        last: LogPosition,
    },
    /// Response to [`Message::PreVoteRequest`].
    PreVoteResponse {
        /// The requested term if granted, otherwise the sender's term.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    VoteRequest {
        /// The candidate's term.
        term: Term,
        /// Last entry of the candidate's log.
        last: LogPosition,
        /// Whether the former leader has stepped down and asked the candidate to campaign.
        leadership_transfer: bool,
    },
    /// Response to [`Message::VoteRequest`].
    VoteResponse {
        /// The sender's term.
        term: Term,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Maintains leadership and announces the commit index.
    Heartbeat {
        /// The leader's term.
        term: Term,
        /// The leader's commit index.
        commit: Index,
        /// Returned in the response.
        stamp: RoundStamp,
    },
    /// Response to [`Message::Heartbeat`].
    HeartbeatResponse {
        /// The follower's term.
        term: Term,
        /// The stamp of the heartbeat.
        stamp: RoundStamp,
        /// Highest index up to which the log is known to match the leader's, synced or not.
        received: Index,
        /// Highest index up to which the log is known to match the leader's and is synced.
        matched: Index,
        /// The follower's disk, and whether the response counts towards quorums.
        status: VoterStatus,
    },
    /// Entries to append to the log.
    Append {
        /// The leader's term.
        term: Term,
        /// Position of the entry before the first one in `entries`.
        previous: LogPosition,
        /// Entries in order and without gaps. Empty for a probe, which only asks whether `previous` is in the log.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// Returned in the response.
        stamp: RoundStamp,
    },
    /// Response to [`Message::Append`] and [`Message::InstallSnapshot`].
    AppendResponse {
        /// The follower's term.
        term: Term,
        /// The stamp of the message.
        stamp: RoundStamp,
        /// Whether the log now matches the leader's, and up to which index.
        outcome: AppendOutcome,
        /// The follower's disk, and whether the response counts towards quorums.
        status: VoterStatus,
    },
    /// A snapshot, sent if the leader's log no longer contains the entries that the follower needs.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The leader's latest snapshot.
        snapshot: Snapshot,
        /// Returned in the response.
        stamp: RoundStamp,
    },
    /// Leadership transfer: the leader has stepped down and asks the receiver to campaign immediately.
    TimeoutNow {
        /// The former leader's term.
        term: Term,
    },
    /// Lets a recovering voter count towards quorums again.
    Rejoin {
        /// The leader's term.
        term: Term,
        /// The disk that may rejoin. A voter with another disk stays recovering.
        disk_id: u64,
    },
}

/// Upper bound of plausible terms and indexes. No system reaches it, and arithmetic with larger values could overflow.
const MAX_PLAUSIBLE: u64 = 1 << 62;

impl Message {
    /// Whether the terms and log positions in the message are below [`MAX_PLAUSIBLE`].
    pub(crate) fn is_plausible(&self) -> bool {
        let (term, index) = match self {
            Message::PreVoteRequest { term, last } | Message::VoteRequest { term, last, .. } => {
                (*term, last.index.max(last.term))
            }
            Message::Append { term, previous, .. } => (*term, previous.index.max(previous.term)),
            Message::InstallSnapshot { term, snapshot, .. } => {
                (*term, snapshot.index().max(snapshot.position.term))
            }
            Message::Heartbeat { term, .. }
            | Message::HeartbeatResponse { term, .. }
            | Message::AppendResponse { term, .. }
            | Message::PreVoteResponse { term, .. }
            | Message::VoteResponse { term, .. }
            | Message::TimeoutNow { term }
            | Message::Rejoin { term, .. } => (*term, 0),
        };
        term.max(index) < MAX_PLAUSIBLE
    }

    /// The name of the message variant, for logs.
    pub fn name(&self) -> &'static str {
        self.into()
    }
}
