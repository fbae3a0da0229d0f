//! What replicas of a group send each other. The encoding goes by position: variants and fields keep their order.

use bitcode::{Decode, Encode};
use shaletrail_protocol::Millis;

use crate::entry::{Entry, Index, LogPosition, Term};
use crate::record::Snapshot;

/// Put on each message of a leader and returned by the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RoundStamp {
    /// Rises with each round of messages that the leader sends in its term.
    pub round: u64,
    /// When it was sent, by the leader's clock, in milliseconds.
    pub sent_at: Millis,
}

/// Which disk a response speaks for, and whether it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VoterStatus {
    /// The disk, see [`HardState::disk_id`](crate::HardState::disk_id).
    pub disk_id: u64,
    /// Whether a former disk was lost and no leader has let this one rejoin.
    pub recovering: bool,
}

/// What became of a [`Message::Append`] or [`Message::InstallSnapshot`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum AppendOutcome {
    /// The log matches the leader's up to this index, and is synced.
    Matched(Index),
    /// The entry before is not there; the log may match the leader's up to this index, but not further.
    Conflict(Index),
}

/// A message between replicas. `term` is the sender's, but in pre-votes, where it is the one after the candidate's.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, strum::IntoStaticStr)]
pub enum Message {
    /// Asks whether a vote would be given.
    PreVoteRequest {
        /// The term after the sender's.
        term: Term,
        /// End of the sender's log.
        last: LogPosition,
    },
    /// Responds to [`Message::PreVoteRequest`].
    PreVoteResponse {
        /// The requested term where granted, else the sender's.
        term: Term,
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    VoteRequest {
        /// The candidate's term.
        term: Term,
        /// End of the candidate's log.
        last: LogPosition,
        /// Whether the former leader has stopped leading and prompted this.
        leadership_transfer: bool,
    },
    /// Responds to [`Message::VoteRequest`].
    VoteResponse {
        /// The sender's term.
        term: Term,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Announces that the leader is there, and how far entries are committed.
    Heartbeat {
        /// The leader's term.
        term: Term,
        /// The leader's commit index.
        commit: Index,
        /// Returned by the response.
        stamp: RoundStamp,
    },
    /// Responds to [`Message::Heartbeat`].
    HeartbeatResponse {
        /// The follower's term.
        term: Term,
        /// As in the heartbeat.
        stamp: RoundStamp,
        /// How far the log is known to match the leader's, synced or not.
        received: Index,
        /// How far it is known to match the leader's and synced.
        matched: Index,
        /// The disk, and whether the response counts.
        status: VoterStatus,
    },
    /// Entries to append.
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before the first.
        previous: LogPosition,
        /// Entries in order, without gaps; may be empty, to ask whether `previous` is there.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// Returned by the response.
        stamp: RoundStamp,
    },
    /// Responds to [`Message::Append`] and [`Message::InstallSnapshot`].
    AppendResponse {
        /// The follower's term.
        term: Term,
        /// As in the message.
        stamp: RoundStamp,
        /// Whether the log matches now, and how far.
        outcome: AppendOutcome,
        /// The disk, and whether the response counts.
        status: VoterStatus,
    },
    /// A snapshot, where the leader's log no longer reaches back far enough.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The leader's newest.
        snapshot: Snapshot,
        /// Returned by the response.
        stamp: RoundStamp,
    },
    /// The leader has stopped leading and asks the receiver to campaign at once (leadership transfer).
    TimeoutNow {
        /// The former leader's term.
        term: Term,
    },
    /// A recovering voter counts again.
    Rejoin {
        /// The leader's term.
        term: Term,
        /// The disk that may count; another one stays recovering.
        disk_id: u64,
    },
}

/// Greater terms and indexes than this are not reached in any lifetime; sums with them might overflow.
const MAX_PLAUSIBLE: u64 = 1 << 62;

impl Message {
    /// Whether no term or index in it is absurdly great.
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

    /// The message's name, for logs.
    pub fn name(&self) -> &'static str {
        self.into()
    }
}
