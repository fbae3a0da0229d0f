//! Start of a replica, from its stored records or by bootstrapping its group.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use shaletrail_protocol::{Millis, NodeId};

use crate::entry::{Index, LogPosition};
use crate::log::{Log, Retention};
use crate::options::Options;
use crate::persistence::Persistence;
use crate::record::{HardState, Record, Snapshot};
use crate::replica::{Replica, RoleState};
use crate::voters::VoterSet;

/// Index and term of the empty snapshot with which a group is bootstrapped. It is never passed to the state machine.
pub const BOOTSTRAP_INDEX: Index = 1;
const BOOTSTRAP_POSITION: LogPosition = LogPosition { term: 1, index: BOOTSTRAP_INDEX };
/// Maximum duration of the lease, in tenths of the shortest election timeout.
const MAX_LEASE_TENTHS: Millis = 9;

impl Replica {
    /// Creates a replica from the records that it asked to persist earlier, in their original order. Without records,
    /// the replica is new. If a snapshot was restored, the first effect is
    /// [`Effect::InstallSnapshot`](crate::Effect::InstallSnapshot) with its state.
    pub fn new(options: Options, restored: Vec<Record>, now: Millis) -> Replica {
        let options = with_valid_timeouts(options);
        let mut random = Pcg32::seed_from_u64(options.seed);
        let (hard_state, log) = replay(restored);
        let is_new = hard_state.is_none();
        let recovering = options.recovering;
        let new_disk = || HardState { term: 0, voted_for: None, recovering, disk_id: random.random() };
        let hard_state = hard_state.unwrap_or_else(new_disk);
        let mut replica = Replica {
            now,
            hard_state,
            persistence: Persistence::restored(log.last_position().index),
            role_state: RoleState::Follower,
            leader: None,
            commit_index: log.snapshot_index(),
            applied_index: log.snapshot_index(),
            leader_match_index: 0,
            // A restarted voter may have responded to a leader just before it stopped. A new disk cannot have: no
            // response is sent before its hard state is synced.
            leader_lease_until: if is_new { now } else { now + options.election_min_ms },
            election_at: Millis::MAX,
            bootstrapping: false,
            hard_state_ticket: 0,
            random,
            effects: Vec::new(),
            log,
            options,
        };
        if is_new {
            replica.record_hard_state();
        }
        replica.reset_election_timeout();
        if let Some(snapshot) = replica.log.snapshot().cloned() {
            replica.apply_snapshot(snapshot);
        }
        replica
    }

    /// Bootstraps the group. Called with the same voters on each of the first voters when the whole system starts for
    /// the first time. Does nothing if the replica already has entries or is recovering.
    pub fn bootstrap(&mut self, now: Millis, voters: &[NodeId]) {
        self.set_now(now);
        if self.hard_state.recovering || self.log.last_position().index > 0 || voters.is_empty() {
            return;
        }
        if self.hard_state.term < BOOTSTRAP_POSITION.term {
            self.hard_state.term = BOOTSTRAP_POSITION.term;
            self.hard_state.voted_for = None;
            self.record_hard_state();
        }
        let voters = VoterSet::new(voters);
        let snapshot = Snapshot { position: BOOTSTRAP_POSITION, voters, state: [].into() };
        self.install_snapshot(snapshot);
        self.bootstrapping = self.leader.is_none();
        self.reset_election_timeout();
    }
}

/// Limits the lease to less than the shortest election timeout, and raises each longest timeout to at least its
/// shortest.
fn with_valid_timeouts(mut options: Options) -> Options {
    options.lease_ms = options.lease_ms.min(options.election_min_ms * MAX_LEASE_TENTHS / 10);
    options.election_max_ms = options.election_max_ms.max(options.election_min_ms);
    options.bootstrap_election_max_ms =
        options.bootstrap_election_max_ms.max(options.bootstrap_election_min_ms);
    options
}

/// Replays stored records. Returns the latest hard state, if there is one, and the log.
fn replay(records: Vec<Record>) -> (Option<HardState>, Log) {
    let mut hard_state = None;
    let mut log = Log::default();
    for record in records {
        match record {
            Record::HardState(newer) => hard_state = Some(newer),
            Record::Entries(entries) => log.restore(entries),
            Record::Snapshot(snapshot) => log.install(snapshot, Retention::default()),
        }
    }
    (hard_state, log)
}
