//! Randomized simulation of two operators that change the configuration concurrently through a replicated log.
//! Proposals are duplicated, delayed or lost when a leader is deposed, responses are lost, and replicas lag and restart
//! from snapshots.
//!
//! The tests guard against two accepted changes on one version, and against a call that is first acknowledged and later
//! rejected, or the reverse.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::json;
use shaletrail_configuration::{Change, ChangeKind, ChangeOutcome, ConfigState};

/// Number of histories, each with its own seed.
const HISTORIES: u64 = 200;
/// Steps in each history.
const STEPS: u32 = 150;
/// Number of concurrent operators.
const OPERATORS: usize = 2;
/// Number of replicas of the log.
const REPLICAS: usize = 3;

/// Author in the changes that both operators send identically.
const COMMON_AUTHOR: usize = 9;

/// The final result of a call, as an operator sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallResult {
    Acknowledged,
    Rejected,
}

/// A call that has no result yet.
#[derive(Clone, Debug)]
struct PendingCall {
    entry: Vec<u8>,
    base: u64,
}

/// A replica that applies the log at its own speed.
#[derive(Clone, Default)]
struct Replica {
    state: ConfigState,
    /// Number of log entries applied.
    applied: usize,
}

struct Simulation {
    random: Pcg32,
    /// Committed entries, in the order of the log.
    log: Vec<Vec<u8>>,
    /// Outcome of each entry that at least one replica has applied.
    outcomes: Vec<ChangeOutcome>,
    /// Proposals that are not committed; some of them never will be.
    in_flight: Vec<Vec<u8>>,
    replicas: Vec<Replica>,
    pending_calls: Vec<Option<PendingCall>>,
    /// Results that reached an operator, by entry.
    results: BTreeMap<Vec<u8>, CallResult>,
    /// Entries of the changes that were accepted.
    accepted: BTreeSet<Vec<u8>>,
    /// For each base version, the entry that was acknowledged.
    winners: BTreeMap<u64, Vec<u8>>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            random: Pcg32::seed_from_u64(seed),
            log: Vec::new(),
            outcomes: Vec::new(),
            in_flight: Vec::new(),
            replicas: vec![Replica::default(); REPLICAS],
            pending_calls: vec![None; OPERATORS],
            results: BTreeMap::new(),
            accepted: BTreeSet::new(),
            winners: BTreeMap::new(),
        }
    }

    /// Returns true with a probability of `percent` %.
    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_ratio(percent, 100)
    }

    /// An operator retries its pending call. If it has none, it reads the newest version and sends a change based on
    /// that version.
    fn send(&mut self, operator: usize) {
        if self.pending_calls[operator].is_none() {
            let base = self.newest_state().version();
            let version = base + self.random.random_range(1..3);
            // Sometimes both operators send the same change.
            let author = if self.chance(20) { COMMON_AUTHOR } else { operator };
            let body = json!({"version": version, "upsert": {"author": author}}).to_string();
            let change = Change::parse(ChangeKind::Update, base, body.as_bytes()).expect("a valid body");
            self.pending_calls[operator] = Some(PendingCall { entry: change.encode(), base });
        }
        if let Some(call) = &self.pending_calls[operator] {
            self.in_flight.push(call.entry.clone());
        }
    }

    fn newest_state(&self) -> &ConfigState {
        let newest = self.replicas.iter().max_by_key(|replica| replica.applied);
        &newest.expect("there are replicas").state
    }

    /// A random proposal is committed or lost with a deposed leader; sometimes another copy of it remains in flight.
    fn commit(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.in_flight.len());
        let proposal = self.in_flight[index].clone();
        if !self.chance(30) {
            self.in_flight.swap_remove(index);
        }
        if !self.chance(20) {
            self.log.push(proposal);
        }
    }

    /// A replica applies the next entry, sometimes after a restart from a snapshot.
    fn apply(&mut self, replica: usize) {
        let restarts = self.chance(20);
        let replica = &mut self.replicas[replica];
        if restarts {
            replica.state = ConfigState::restore(&replica.state.snapshot()).expect("a snapshot");
        }
        let Some(entry) = self.log.get(replica.applied) else { return };
        let outcome = replica.state.apply(entry);
        replica.applied += 1;
        match self.outcomes.get(replica.applied - 1) {
            Some(known) => assert_eq!(*known, outcome, "replicas disagree on the outcome"),
            None => self.record_outcome(entry.clone(), outcome),
        }
    }

    /// Checks the outcome of an entry that is applied for the first time, and responds to the operators that wait for
    /// it unless the response is lost.
    fn record_outcome(&mut self, entry: Vec<u8>, outcome: ChangeOutcome) {
        let result = match &outcome {
            ChangeOutcome::Accepted | ChangeOutcome::Duplicate => CallResult::Acknowledged,
            ChangeOutcome::Conflict { .. } => CallResult::Rejected,
            other => {
                panic!("unexpected outcome of a valid change based on a version that was read: {other:?}")
            }
        };
        if outcome == ChangeOutcome::Accepted {
            self.accepted.insert(entry.clone());
        }
        let acknowledged = result == CallResult::Acknowledged;
        assert!(
            acknowledged || !self.accepted.contains(&entry),
            "an accepted change was rejected on a retry"
        );
        if let Some(known) = self.results.get(&entry) {
            assert_eq!(*known, result, "the result of a call changed");
        }
        if !self.chance(40) {
            self.respond(&entry, result);
        }
        self.outcomes.push(outcome);
    }

    fn respond(&mut self, entry: &[u8], result: CallResult) {
        for pending in &mut self.pending_calls {
            let Some(call) = pending.take_if(|call| call.entry == entry) else { continue };
            self.results.insert(entry.to_vec(), result);
            if result == CallResult::Acknowledged {
                let winner = self.winners.entry(call.base).or_insert_with(|| entry.to_vec());
                assert_eq!(winner, entry, "two changes were acknowledged on version {}", call.base);
            }
        }
    }

    fn step(&mut self) {
        match self.random.random_range(0..10) {
            0..2 => {
                let operator = self.random.random_range(0..OPERATORS);
                self.send(operator);
            }
            2..5 => self.commit(),
            _ => {
                let replica = self.random.random_range(0..REPLICAS);
                self.apply(replica);
            }
        }
    }
}

#[test]
fn each_version_has_one_winner_and_results_are_final() {
    let (mut acknowledged, mut rejected) = (0, 0);
    for seed in 0..HISTORIES {
        println!("seed {seed}");
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        // Finally, all proposals are committed and all replicas catch up.
        while let Some(proposal) = simulation.in_flight.pop() {
            simulation.log.push(proposal);
        }
        for replica in 0..REPLICAS {
            while simulation.replicas[replica].applied < simulation.log.len() {
                simulation.apply(replica);
            }
        }
        let states = simulation.replicas.iter().map(|replica| replica.state.snapshot());
        assert!(states.collect::<Vec<_>>().windows(2).all(|pair| pair[0] == pair[1]), "replicas differ");
        acknowledged +=
            simulation.results.values().filter(|result| **result == CallResult::Acknowledged).count();
        rejected += simulation.results.values().filter(|result| **result == CallResult::Rejected).count();
    }
    assert!(acknowledged > 500 && rejected > 200, "{acknowledged} acknowledged, {rejected} rejected");
}
