//! Agreement of one shard: a Raft replica without clock, socket or disk.
//!
//! A [`Replica`] is driven by calls that carry the time and answers with [`Effect`]s. The driver calls
//! [`Replica::take_effects`] after each call and carries the effects out in their order. It reports synced records
//! with [`Replica::persisted`], and calls [`Replica::tick`] at [`Replica::next_wake`] or every 50 ms or so.
//!
//! # The protocol
//!
//! Raft with pre-votes, check-quorum and leader stickiness (a voter that heard a leader within the shortest
//! election timeout helps nobody to replace it), randomized election timeouts, joint changes of voters, learners,
//! whole-state snapshots, hand-over of the leadership, reads that a round of heartbeats confirms, and leases.
//!
//! **Persistence.** What promises something (votes, requests for votes, acknowledgements of entries, all that
//! names a new term) waits until the records below it are synced; heartbeats, pre-votes and commit indexes don't
//! wait. Waiting only delays answers, so a replica is equivalent to one that syncs at once and whose answers are
//! slow, and a crash loses only what nobody has been told. The leader counts its own log as far as it is synced.
//!
//! **Lease.** Each message of a leader carries a [`RoundStamp`] that answers return. The lease lasts
//! [`Options::lease_ms`] from the moment at which the newest message was *sent* that a majority has answered. A
//! voter that answers gives no vote to anybody for the shortest election timeout, which is longer; after a start
//! it gives none for as long, because it may have answered just before it stopped. The one exception is a vote
//! asked for after a hand-over, and there the former leader has stopped leading before it told its successor.
//!
//! # Forgetful voters
//!
//! A voter whose disk was lost has forgotten votes it gave and entries it acknowledged. It first stores a hard state
//! with `recovering` set and a newly drawn `boot`, which names the disk. As long as it is recovering it gives neither
//! votes nor pre-votes, counts for no majority (commit, lease, read), and says so in each answer. Readmission:
//!
//! 1. A leader of term T hears the voter's boot and appends an empty entry, the *readmission point* r.
//! 2. r is committed by a majority M of the whole voter set (of both, where it is joint) in which no recovering
//!    voter is counted.
//! 3. The recovering voter W has acknowledged (synced) everything up to r.
//! 4. The leader sends [`Message::Rejoin`] with the boot; W, in term T, stores `recovering: false` and a vote for
//!    that leader in T, and counts from then on.
//!
//! An answer from another boot than the one heard is left out unless it is recovering itself (a newer loss).
//!
//! Why this is safe. Let V be any majority that contains a vote which W gave before the loss, for a term T'. M
//! does not contain W, but M and V are majorities of one set (or of neighbouring sets, which the joint rule makes
//! overlap), so they share a voter x other than W.
//!
//! - *Votes, T' > T.* If x voted in T' before it acknowledged r, it would have refused to acknowledge in T. If it
//!   voted afterwards, it demanded a log at least as new as its own, which holds r. The candidate's log is from
//!   before the loss, and so lacks r; and its last term is not over T, since a leader between T and T' would have
//!   been elected before the loss by a majority that overlaps M too, in a voter that then would not have
//!   acknowledged in T. So V does not come about, whatever W answers now. Votes in T itself cannot elect
//!   anybody else, as T has its leader, and W stores that it voted for it.
//! - *Entries.* An entry that is committed with an acknowledgement from before the loss, in a term up to T, is in the
//!   log of the leader of T, below r, by the usual argument: the leader's voters overlap those that acknowledged,
//!   and none of its voters was W without its memory. So W holds it when it counts again. Terms over T had
//!   no leader before the loss, as shown.
//! - *Losses one after the other.* x may itself have lost its disk before. Then it was readmitted earlier, and the
//!   claims hold for it by induction over the order of readmissions.
//!
//! The price: while W is recovering the group needs a majority of the whole set without it.

mod effect;
mod election;
mod entry;
mod follower;
mod leader;
mod leadership;
mod log;
mod membership;
mod message;
mod options;
mod persistence;
mod progress;
mod record;
mod replica;
mod voters;

pub use effect::{Effect, ReplicaError};
pub use entry::{Entry, Index, Payload, Position, Term};
pub use message::{AppendOutcome, Message, RoundStamp, VoterStatus};
pub use options::Options;
pub use progress::PeerStatus;
pub use record::{HardState, MalformedRecord, Record, Snapshot};
pub use replica::{Replica, Role, BOOTSTRAP_INDEX};
pub use voters::VoterSet;
