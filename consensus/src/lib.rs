//! Consensus of one shard: a Raft replica that has no clock, socket or disk of its own.
//!
//! A [`Replica`] is a state machine that a driver calls with the current time, and that returns [`Effect`]s. The driver
//! calls [`Replica::take_effects`] after each call and carries out the effects in order. It reports synced records with
//! [`Replica::persisted`], and calls [`Replica::tick`] at [`Replica::next_wake`], or at a fixed interval of about 50
//! ms.
//!
//! # Modules
//!
//! | topic | modules |
//! | --- | --- |
//! | state and roles of a replica, start-up, the driver's calls | `replica`, `restore`, `step` |
//! | elections, leadership transfer, leases | `election`, `transfer`, `lease` |
//! | the leader: its term, replication and commits, catching up, reads | `leader`, `leader_state`, `progress`, `replication`, `retention`, `read_index` |
//! | the follower: handling the leader's messages | `follower` |
//! | membership and quorums | `membership`, `voters` |
//! | log, state machine, persistence, sending | `log`, `entry`, `apply`, `persistence`, `record`, `send` |
//!
//! # The protocol
//!
//! Raft as in Ongaro's thesis ("Consensus: Bridging Theory and Practice", 2014), with pre-vote (section 9.6),
//! check-quorum (6.2), leader stickiness (4.2.3), randomized election timeouts (3.4), joint consensus for membership
//! changes (4.3), learners (4.2.1), snapshots of the whole state (chapter 5), leadership transfer (3.10), reads
//! confirmed by a round of heartbeats (ReadIndex, 6.4), and leases (6.4.1).
//!
//! **Persistence.** A message that depends on stored state (votes, vote requests, acknowledgements of entries, and
//! every message that carries a new term) is held back until all earlier records are synced. Heartbeats, pre-votes and
//! commit indexes are not held back. Holding a message back only delays it, so a replica behaves like one that syncs
//! synchronously and responds slowly, and a crash loses only state that no other node has been told about. The leader
//! counts its own log only as far as it is synced.
//!
//! **Lease.** Each message from a leader carries a [`RoundStamp`], which responses return. The lease lasts for
//! [`Options::lease_ms`], counted from the time at which the leader *sent* the latest message that a majority has
//! responded to. A voter that responds votes for no other replica for the shortest election timeout, which is longer
//! than the lease. After a restart it votes for nobody for the same time, because it may have responded just before it
//! stopped. The only exception is a vote requested after a leadership transfer: in that case the former leader stopped
//! leading before it told its successor to campaign.
//!
//! # Recovering voters
//!
//! A voter whose disk was lost has forgotten votes that it gave and entries that it acknowledged. Raft assumes that
//! this never happens. As in Viewstamped Replication Revisited (section 4.3), such a voter has to recover before it
//! counts again. It first stores a hard state with `recovering` set and a newly drawn `disk_id`. While it is
//! recovering, it grants neither votes nor pre-votes, counts towards no quorum (commit, lease or read), and says so in
//! each response. It rejoins as follows:
//!
//! 1. A leader of term T receives the voter's `disk_id` and appends an empty entry, the *rejoin point* r.
//! 2. r is committed by a majority M of the whole voter set (of both sets if it is joint). Recovering voters are not
//!    counted towards M.
//! 3. The recovering voter W has acknowledged (synced) all entries up to r.
//! 4. The leader sends [`Message::Rejoin`] with the `disk_id`. W, in term T, stores `recovering: false` and a vote for
//!    that leader in T, and counts from then on.
//!
//! The leader ignores a response that carries another disk than the known one, unless that response says that it is
//! recovering (which means that a disk was lost again).
//!
//! Safety argument. Let V be any majority that includes a vote which W gave before the loss, for a term T'. M does not
//! contain W. M and V are majorities of the same voter set, or of consecutive sets, which joint consensus makes
//! overlap. So they share a voter x other than W.
//!
//! - *Votes, T' > T.* If x voted in T' before it acknowledged r, it would have refused to acknowledge r in T. If it
//!   voted afterwards, it required a log at least as up to date as its own, which contains r. The candidate's log dates
//!   from before the loss, so it lacks r. Its last term is not greater than T either: a leader between T and T' would
//!   have been elected before the loss by a majority that also overlaps M, in a voter that would then not have
//!   acknowledged r in T. So V cannot form, whatever W responds now. Votes in T itself cannot elect another leader,
//!   because T already has its leader and W stores its vote for that leader.
//! - *Entries.* An entry that was committed with an acknowledgement from before the loss, in a term up to T, is in the
//!   log of the leader of T, below r, by the usual argument (Leader Completeness; section 3.6.3): the voters that
//!   elected the leader overlap those that acknowledged the entry, and W without its former disk was not one of them.
//!   So W holds the entry when it counts again. Terms greater than T had no leader before the loss, as shown above.
//! - *Successive losses.* x may have lost its own disk earlier. In that case it rejoined earlier, and the claims hold
//!   for it by induction over the order of rejoins.
//!
//! The cost: while W is recovering, the group needs a majority of the whole voter set without W.

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
