//! The replicas of all shards at this node, their state machines, and the records they want on disk.

use std::collections::VecDeque;

use shaletrail_configuration::{ChangeOutcome, ConfigState};
use shaletrail_consensus::{Effect, Entry, Message, Options, Payload, Record, Replica};
use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_storage::StoredRecord;

use super::lease_state::{LeaseEpoch, LeaseState};
use crate::interface::{Action, CoordinatorOptions, StateChange};

/// The shard of the configuration.
pub const CONFIGURATION: u32 = 0;
/// Shards over which services are spread.
pub const SERVICE_SHARDS: u32 = 2;
/// Applied entries after which the log is replaced by a snapshot, where that is large.
const COMPACT_ENTRIES: u64 = 128;
/// A snapshot of up to this many bytes is taken after each command: a node that starts again then knows all that
/// it has applied, before there is a leader to tell it what is committed.
const SMALL_SNAPSHOT: usize = 96 << 10;
/// Bytes of applied commands after which it is.
const COMPACT_BYTES: usize = 2 << 20;

/// The shard that a service's control state belongs to.
pub fn shard_of(service: &str) -> u32 {
    1 + (shaletrail_ring::Key::of(service).0 % u64::from(SERVICE_SHARDS)) as u32
}

/// A shard's state machine.
enum Machine {
    Configuration(Box<ConfigState>),
    Service(LeaseState),
}

impl Machine {
    fn new(shard: u32) -> Self {
        match shard {
            CONFIGURATION => Machine::Configuration(Box::default()),
            _ => Machine::Service(LeaseState::default()),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        match self {
            Machine::Configuration(state) => state.snapshot(),
            Machine::Service(state) => state.snapshot(),
        }
    }

    /// Whether the bytes could be read.
    fn restore(&mut self, bytes: &[u8]) -> bool {
        match self {
            Machine::Configuration(state) => match ConfigState::restore(bytes) {
                Ok(restored) => **state = restored,
                Err(_) => return false,
            },
            Machine::Service(state) => match LeaseState::restore(bytes) {
                Some(restored) => *state = restored,
                None => return false,
            },
        }
        true
    }
}

/// Whether a shard's machine can be restored from the newest snapshot among its records, which replaces all before it.
/// The founding's is empty.
fn is_state_readable(shard: u32, records: &[Record]) -> bool {
    let newest = records.iter().rev().find_map(|record| match record {
        Record::Snapshot(snapshot) => Some(&snapshot.state),
        _ => None,
    });
    newest.is_none_or(|state| state.is_empty() || Machine::new(shard).restore(state))
}

/// Something a shard has done.
#[derive(Clone, Debug, PartialEq)]
pub enum Done {
    /// A change of the configuration was judged as the entry at this place.
    Judged {
        /// Its index.
        index: u64,
        /// Its term.
        term: u64,
        /// The judgement.
        judgement: ChangeOutcome,
    },
    /// The configuration may have changed without an entry being applied here.
    Installed,
    /// The turn of a holder of orders has begun.
    Turn {
        /// The shard.
        shard: u32,
        /// The turn.
        epoch: LeaseEpoch,
    },
    /// A read may be answered.
    ReadReady {
        /// As given.
        token: u64,
    },
    /// A read cannot be answered here.
    ReadFailed {
        /// As given.
        token: u64,
    },
    /// This node leads a shard.
    Elected {
        /// The shard.
        shard: u32,
        /// Its term.
        term: u64,
    },
    /// This node leads a shard no more.
    Deposed {
        /// The shard.
        shard: u32,
        /// Its term.
        term: u64,
    },
}

/// One shard at this node.
pub struct Shard {
    /// Its replica.
    pub replica: Replica,
    machine: Machine,
    applied_bytes: usize,
    compacted_at: u64,
    snapshot_bytes: usize,
    started: Millis,
}

/// All shards at this node.
pub struct Shards {
    node: NodeId,
    shards: Vec<Shard>,
    next_ticket: u64,
    /// Tickets given to the disk, with the replicas' own.
    unsynced: VecDeque<(u64, usize, u64)>,
    /// Records that go to the disk next.
    gathered: Vec<(u32, Vec<u8>)>,
}

impl Shards {
    /// The shards as the disk held them.
    pub fn new(
        options: &CoordinatorOptions,
        stored: Vec<StoredRecord>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> Self {
        let mut records: Vec<Vec<Record>> = (0..=SERVICE_SHARDS).map(|_| Vec::new()).collect();
        let mut unreadable = vec![false; records.len()];
        for StoredRecord { stream, bytes, .. } in stored {
            let Some(of_shard) = records.get_mut(stream as usize) else { continue };
            match Record::decode(&bytes) {
                Ok(record) => of_shard.push(record),
                Err(_) => unreadable[stream as usize] = true,
            }
        }
        let mut shards = Vec::new();
        for (shard, mut of_shard) in records.into_iter().enumerate() {
            let is_unreadable = unreadable[shard] || !is_state_readable(shard as u32, &of_shard);
            if is_unreadable {
                of_shard.clear();
                actions.push(Action::LogStateChange(StateChange::UnreadableRecords { shard: shard as u32 }));
            }
            let recovering = !options.bootstrap || is_unreadable;
            let seed = options.seed.wrapping_add(shard as u64);
            let replica_options = Options { recovering, ..Options::new(options.node, seed) };
            let mut replica = Replica::new(replica_options, of_shard, now);
            if options.bootstrap && options.seeds.contains(&options.node) {
                replica.bootstrap(now, &options.seeds);
            }
            let machine = Machine::new(shard as u32);
            shards.push(Shard {
                replica,
                machine,
                applied_bytes: 0,
                compacted_at: 0,
                snapshot_bytes: 0,
                started: now,
            });
        }
        let node = options.node;
        Shards { node, shards, next_ticket: 0, unsynced: VecDeque::new(), gathered: Vec::new() }
    }

    /// One shard.
    pub fn get(&self, shard: u32) -> Option<&Shard> {
        self.shards.get(shard as usize)
    }

    /// One shard's replica.
    pub fn replica_mut(&mut self, shard: u32) -> Option<&mut Replica> {
        self.shards.get_mut(shard as usize).map(|shard| &mut shard.replica)
    }

    /// The replica of the configuration's shard.
    pub fn configuration_replica(&mut self) -> &mut Replica {
        &mut self.shards[CONFIGURATION as usize].replica
    }

    /// The configuration as far as it has been applied here.
    pub fn configuration(&self) -> &ConfigState {
        match &self.shards[CONFIGURATION as usize].machine {
            Machine::Configuration(state) => state,
            Machine::Service(_) => unreachable!("shard 0 is made with a configuration"),
        }
    }

    /// The voters of all shards as this node knows them, each once.
    pub fn voters(&self) -> Vec<NodeId> {
        let mut voters: Vec<NodeId> =
            self.shards.iter().flat_map(|shard| shard.replica.voters().members()).collect();
        voters.sort_unstable();
        voters.dedup();
        voters
    }

    /// Numbers of all shards.
    pub fn numbers(&self) -> std::ops::Range<u32> {
        0..self.shards.len() as u32
    }

    /// Hands a message to a shard.
    pub fn receive(&mut self, now: Millis, from: NodeId, shard: u32, body: &[u8]) {
        let Ok(message) = bitcode::decode::<Message>(body) else { return };
        if let Some(replica) = self.replica_mut(shard) {
            replica.receive(now, from, message);
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) {
        for shard in &mut self.shards {
            shard.replica.tick(now);
        }
    }

    /// Records up to a ticket are safe.
    pub fn stored(&mut self, now: Millis, ticket: u64) {
        while let Some((given, shard, own)) = self.unsynced.front().copied() {
            if given > ticket {
                break;
            }
            self.unsynced.pop_front();
            self.shards[shard].replica.persisted(now, own);
        }
    }

    /// Puts a record of another stream on its way to the disk. Nothing waits for it to be safe.
    pub fn store_beside(&mut self, stream: u32, bytes: Vec<u8>, actions: &mut Vec<Action>) {
        self.next_ticket += 1;
        actions.push(Action::Persist { ticket: self.next_ticket, records: vec![(stream, bytes)] });
    }

    /// All that the disk must hold of the shards, for a checkpoint.
    pub fn live_records(&self) -> Vec<(u32, Vec<u8>)> {
        let of_shard = |(number, shard): (usize, &Shard)| {
            let records = shard.replica.records();
            records.into_iter().map(move |record| (number as u32, record.encode())).collect::<Vec<_>>()
        };
        self.shards.iter().enumerate().flat_map(of_shard).collect()
    }

    /// Carries out what replicas ask for, until they ask for nothing more.
    pub fn pump(&mut self, actions: &mut Vec<Action>) -> Vec<Done> {
        let mut done = Vec::new();
        let mut tickets = Vec::new();
        for number in 0..self.shards.len() {
            loop {
                let effects = self.shards[number].replica.take_effects();
                if effects.is_empty() {
                    break;
                }
                for effect in effects {
                    self.carry_out(number, effect, actions, &mut done, &mut tickets);
                }
            }
        }
        if !tickets.is_empty() {
            self.next_ticket += 1;
            let ticket = self.next_ticket;
            self.unsynced.extend(tickets.into_iter().map(|(shard, own)| (ticket, shard, own)));
            actions.push(Action::Persist { ticket, records: std::mem::take(&mut self.gathered) });
        }
        done
    }

    /// Where this node ordered last, it may go on at once; any other would have to wait for the lease to end.
    fn hasten_if_holder(&mut self, number: usize) {
        let node = self.node;
        let Some(shard) = self.shards.get_mut(number) else { return };
        let Machine::Service(state) = &shard.machine else { return };
        if state.holder().is_some_and(|holder| holder.node == node) {
            shard.replica.campaign_soon(shard.started);
        }
    }

    fn carry_out(
        &mut self,
        number: usize,
        effect: Effect,
        actions: &mut Vec<Action>,
        done: &mut Vec<Done>,
        tickets: &mut Vec<(usize, u64)>,
    ) {
        let shard = number as u32;
        match effect {
            Effect::Send(to, message) => {
                let body = bitcode::encode(&message);
                actions.push(Action::Send { to, message: CoordinatorMessage::Shard { shard, body } });
            }
            Effect::Persist { ticket, records } => {
                self.gathered.extend(records.iter().map(|record| (shard, record.encode())));
                tickets.push((number, ticket));
            }
            Effect::Apply(entry) => done.extend(self.shards[number].apply(shard, entry)),
            Effect::InstallSnapshot(snapshot) => {
                if self.shards[number].machine.restore(&snapshot.state) || snapshot.state.is_empty() {
                    self.hasten_if_holder(number);
                    done.push(Done::Installed);
                } else {
                    actions.push(Action::LogStateChange(StateChange::UnreadableRecords { shard }));
                }
            }
            Effect::ReadReady { token, .. } => done.push(Done::ReadReady { token }),
            Effect::ReadFailed { token } => done.push(Done::ReadFailed { token }),
            Effect::Elected { term } => done.push(Done::Elected { shard, term }),
            Effect::Deposed { term } => done.push(Done::Deposed { shard, term }),
        }
    }
}

impl Shard {
    fn apply(&mut self, shard: u32, entry: Entry) -> Option<Done> {
        let (index, term) = (entry.index, entry.term);
        let Payload::Command(command) = entry.payload else { return None };
        self.applied_bytes += command.len();
        let done = match &mut self.machine {
            Machine::Configuration(state) => {
                let judgement = state.apply(&command);
                Some(Done::Judged { index, term, judgement })
            }
            Machine::Service(state) => state.apply(&command).map(|epoch| Done::Turn { shard, epoch }),
        };
        self.compact_if_long(index);
        done
    }

    fn compact_if_long(&mut self, applied: u64) {
        let long = applied >= self.compacted_at + COMPACT_ENTRIES || self.applied_bytes >= COMPACT_BYTES;
        if !long && self.snapshot_bytes > SMALL_SNAPSHOT {
            return;
        }
        let state = self.machine.snapshot();
        self.snapshot_bytes = state.len();
        self.replica.compact(applied, state);
        self.compacted_at = applied;
        self.applied_bytes = 0;
    }
}
