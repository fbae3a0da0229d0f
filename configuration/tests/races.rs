//! Random races of two operators over an agreed log: copies of changes that come late and more than once, lost answers,
//! leaders that leave proposals behind, replicas that lag and restart from snapshots.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::json;
use shaletrail_configuration::{Change, ChangeKind, ChangeOutcome, ConfigState};

/// Histories that are played.
const HISTORIES: u64 = 200;
/// Steps of one history.
const STEPS: u32 = 150;
/// Operators that send at once.
const OPERATORS: u64 = 2;
/// Replicas of the log.
const REPLICAS: usize = 3;

/// The end of a change, as its operator was told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Acknowledged,
    Refused,
}

/// What an operator is about.
#[derive(Clone, Debug)]
struct Sending {
    encoded: Vec<u8>,
    base: u64,
}

/// A replica that applies the log at its own pace.
#[derive(Clone, Default)]
struct Replica {
    state: ConfigState,
    applied: usize,
}

struct Race {
    random: Pcg32,
    /// The log that is agreed on.
    log: Vec<Vec<u8>>,
    /// What became of each entry, where a replica has applied it.
    judgements: Vec<ChangeOutcome>,
    /// Proposals on their way, which reach the log in any order, or never.
    on_the_way: Vec<Vec<u8>>,
    replicas: Vec<Replica>,
    operators: Vec<Option<Sending>>,
    ends: BTreeMap<Vec<u8>, End>,
    /// Changes that were applied.
    taken: BTreeSet<Vec<u8>>,
    /// Who was acknowledged on each version.
    winners: BTreeMap<u64, Vec<u8>>,
}

impl Race {
    fn new(seed: u64) -> Race {
        Race {
            random: Pcg32::seed_from_u64(seed),
            log: Vec::new(),
            judgements: Vec::new(),
            on_the_way: Vec::new(),
            replicas: vec![Replica::default(); REPLICAS],
            operators: vec![None; OPERATORS as usize],
            ends: BTreeMap::new(),
            taken: BTreeSet::new(),
            winners: BTreeMap::new(),
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_ratio(percent, 100)
    }

    /// An operator reads the newest version and sends a change on it, or sends the one without an answer once more.
    fn send(&mut self, operator: usize) {
        if self.operators[operator].is_none() {
            let base = self.newest().version();
            let version = base + self.random.random_range(1..3);
            // Now and then both operators send the very same.
            let author = if self.chance(20) { 9 } else { operator };
            let body = json!({"version": version, "upsert": {"author": author}}).to_string();
            let change = Change::parse(ChangeKind::Update, base, body.as_bytes()).expect("a valid body");
            self.operators[operator] = Some(Sending { encoded: change.encode(), base });
        }
        if let Some(sending) = &self.operators[operator] {
            self.on_the_way.push(sending.encoded.clone());
        }
    }

    fn newest(&self) -> &ConfigState {
        let newest = self.replicas.iter().max_by_key(|replica| replica.applied);
        &newest.expect("replicas").state
    }

    /// A proposal reaches the log, is left behind by a deposed leader, or comes twice.
    fn agree(&mut self) {
        if self.on_the_way.is_empty() {
            return;
        }
        let place = self.random.random_range(0..self.on_the_way.len());
        let proposal = self.on_the_way[place].clone();
        if !self.chance(30) {
            self.on_the_way.swap_remove(place);
        }
        if !self.chance(20) {
            self.log.push(proposal);
        }
    }

    /// A replica applies the next entry, or starts again from a snapshot.
    fn apply(&mut self, number: usize) {
        let restarts = self.chance(20);
        let replica = &mut self.replicas[number];
        if restarts {
            replica.state = ConfigState::restore(&replica.state.snapshot()).expect("a snapshot");
        }
        let Some(entry) = self.log.get(replica.applied) else { return };
        let judgement = replica.state.apply(entry);
        replica.applied += 1;
        match self.judgements.get(replica.applied - 1) {
            Some(known) => assert_eq!(*known, judgement, "replicas judge alike"),
            None => self.judge(entry.clone(), judgement),
        }
    }

    /// The first replica that applies an entry answers, where the answer is not lost.
    fn judge(&mut self, entry: Vec<u8>, judgement: ChangeOutcome) {
        let end = match &judgement {
            ChangeOutcome::Accepted | ChangeOutcome::Duplicate => End::Acknowledged,
            ChangeOutcome::Conflict { .. } => End::Refused,
            other => panic!("a valid change on a version that was read is {other:?}"),
        };
        if judgement == ChangeOutcome::Accepted {
            self.taken.insert(entry.clone());
        }
        assert!(end == End::Acknowledged || !self.taken.contains(&entry), "a taken change is refused");
        if let Some(told) = self.ends.get(&entry) {
            assert_eq!(*told, end, "the end of a change does not change");
        }
        if !self.chance(40) {
            self.answer(&entry, end);
        }
        self.judgements.push(judgement);
    }

    fn answer(&mut self, entry: &[u8], end: End) {
        for operator in &mut self.operators {
            let Some(sending) = operator.take_if(|sending| sending.encoded == entry) else { continue };
            self.ends.insert(entry.to_vec(), end);
            if end == End::Acknowledged {
                let winner = self.winners.entry(sending.base).or_insert_with(|| entry.to_vec());
                assert_eq!(winner, entry, "two winners on version {}", sending.base);
            }
        }
    }

    fn step(&mut self) {
        match self.random.random_range(0..10) {
            0..2 => {
                let operator = self.random.random_range(0..OPERATORS as usize);
                self.send(operator);
            }
            2..5 => self.agree(),
            _ => {
                let number = self.random.random_range(0..REPLICAS);
                self.apply(number);
            }
        }
    }
}

#[test]
fn given_two_operators_when_copies_and_answers_go_astray_then_one_number_has_one_winner_and_an_end_stays() {
    let (mut acknowledged, mut refused) = (0, 0);
    for seed in 0..HISTORIES {
        println!("seed {seed}");
        let mut race = Race::new(seed);
        for _ in 0..STEPS {
            race.step();
        }
        // All copies arrive in the end, and all replicas catch up.
        while let Some(proposal) = race.on_the_way.pop() {
            race.log.push(proposal);
        }
        for number in 0..REPLICAS {
            while race.replicas[number].applied < race.log.len() {
                race.apply(number);
            }
        }
        let states = race.replicas.iter().map(|replica| replica.state.snapshot());
        assert!(states.collect::<Vec<_>>().windows(2).all(|pair| pair[0] == pair[1]), "replicas are equal");
        acknowledged += race.ends.values().filter(|end| **end == End::Acknowledged).count();
        refused += race.ends.values().filter(|end| **end == End::Refused).count();
    }
    assert!(acknowledged > 500 && refused > 200, "{acknowledged} acknowledged, {refused} refused");
}
