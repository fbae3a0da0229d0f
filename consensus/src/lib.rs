//! Consensus of one shard: a Raft replica without clock, socket or disk.
//!
//! A [`Replica`] is driven by calls that carry the time, and asks for [`Effect`]s. The driver calls
//! [`Replica::take_effects`] after each call and carries the effects out in their order. It reports synced records
//! with [`Replica::persisted`], and calls [`Replica::tick`] at [`Replica::next_wake`] or every 50 ms or so.
//!
//! # Modules
//!
//! | concern | modules |
//! | --- | --- |
//! | the state of a replica and its roles; how it begins; calls of the driver | `replica`, `restore`, `step` |
//! | elections, leadership transfer, leases | `election`, `transfer`, `lease` |
//! | the leader: its term, replication and commits, catching up, reads | `leader`, `leader_state`, `progress`, `replication`, `retention`, `read_index` |
//! | the follower: messages of a leader | `follower` |
//! | membership and quorums | `membership`, `voters` |
//! | log, state machine, persistence, sending | `log`, `entry`, `apply`, `persistence`, `record`, `send` |
//!
//! # The protocol
//!
//! Raft as in Ongaro's thesis ("Consensus: Bridging Theory and Practice", 2014): pre-votes (section 9.6), check-quorum
//! (6.2) and leader stickiness (4.2.3), randomized election timeouts (3.4), joint consensus for changes of voters
//! (4.3), learners (4.2.1), snapshots of the whole state (chapter 5), leadership transfer (3.10), reads that a round
//! of heartbeats confirms (6.4), and leases (6.4.1).
//!
//! **Persistence.** A message that rests on stored state (votes, requests for votes, acknowledgements of entries, all
//! that names a new term) waits until the records before it are synced; heartbeats, pre-votes and commit indexes don't
//! wait. Waiting only delays responses, so a replica is equivalent to one that syncs at once and whose responses are
//! slow, and a crash loses only what nobody has been notified of. The leader counts its own log as far as it is synced.
//!
//! **Lease.** Each message of a leader carries a [`RoundStamp`] that responses return. The lease lasts
//! [`Options::lease_ms`] from the moment at which the newest message was *sent* that a majority has responded to. A
//! voter that responds votes for nobody else for the shortest election timeout, which is longer; after a restart it
//! votes for nobody for as long, because it may have responded just before it stopped. The one exception is a vote
//! requested after a leadership transfer, and there the former leader has stopped leading before it prompted its
//! successor.
//!
//! # Recovering voters
//!
//! A voter whose disk was lost has lost votes that it gave and entries that it acknowledged; Raft assumes that this
//! never happens. As in Viewstamped Replication Revisited (section 4.3) such a voter recovers before it counts again.
//! It first stores a hard state with `recovering` set and a newly drawn `disk_id`. As long as it is recovering it
//! gives neither votes nor pre-votes, counts towards no quorum (commit, lease, read), and says so in each response.
//! It rejoins so:
//!
//! 1. A leader of term T receives the voter's `disk_id` and appends an empty entry, the *rejoin point* r.
//! 2. r is committed by a majority M of the whole voter set (of both, where it is joint) in which no recovering
//!    voter is counted.
//! 3. The recovering voter W has acknowledged (synced) everything up to r.
//! 4. The leader sends [`Message::Rejoin`] with the `disk_id`; W, in term T, stores `recovering: false` and a vote for
//!    that leader in T, and counts from then on.
//!
//! A response of another disk than the known one is left out unless it is recovering itself (a newer loss).
//!
//! Why this is safe. Let V be any majority that contains a vote which W gave before the loss, for a term T'. M
//! does not contain W, but M and V are majorities of one set (or of neighbouring sets, which the joint rule makes
//! overlap), so they share a voter x other than W.
//!
//! - *Votes, T' > T.* If x voted in T' before it acknowledged r, it would have refused to acknowledge in T. If it
//!   voted afterwards, it demanded a log at least as up to date as its own, which holds r. The candidate's log is from
//!   before the loss, and so lacks r; and its last term is not over T, since a leader between T and T' would have
//!   been elected before the loss by a majority that overlaps M too, in a voter that then would not have
//!   acknowledged in T. So V does not come about, whatever W responds now. Votes in T itself cannot elect
//!   anybody else, as T has its leader, and W stores that it voted for it.
//! - *Entries.* An entry that is committed with an acknowledgement from before the loss, in a term up to T, is in the
//!   log of the leader of T, below r, by the usual argument (Leader Completeness; section 3.6.3): the leader's voters
//!   overlap those that acknowledged, and none of its voters was W without its former disk. So W holds it when it counts
//!   again. Terms over T had no leader before the loss, as shown.
//! - *Losses one after the other.* x may itself have lost its disk before. Then it had rejoined earlier, and the
//!   claims hold for it by induction over the order of the rejoins.
//!
//! The price: while W is recovering the group needs a majority of the whole set without it.

mod apply;
mod effect;
mod election;
mod entry;
mod error;
mod follower;
mod leader;
mod leader_state;
mod lease;
mod log;
mod membership;
mod message;
mod options;
mod persistence;
mod progress;
mod read_index;
mod record;
mod replica;
mod replication;
mod restore;
mod retention;
mod send;
mod step;
mod transfer;
mod voters;

pub use effect::Effect;
pub use entry::{Entry, Index, LogPosition, Payload, Term};
pub use error::ReplicaError;
pub use message::{AppendOutcome, Message, RoundStamp, VoterStatus};
pub use options::Options;
pub use progress::PeerStatus;
pub use record::{HardState, MalformedRecord, Record, Snapshot};
pub use replica::{Replica, Role};
pub use restore::BOOTSTRAP_INDEX;
pub use voters::VoterSet;
