//! The replicas of all shards at this node, with their state machines and the records that they want on disk.

mod event;
mod recovery;
mod shard;
mod state_machine;

use std::collections::VecDeque;

use shaletrail_configuration::ConfigState;
use shaletrail_consensus::{Effect, Message, Replica};
use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_storage::StoredRecord;

use crate::interface::{Action, CoordinatorOptions, StateChange};
use state_machine::StateMachine;

pub use event::ShardEvent;
pub use shard::Shard;

/// The number of the configuration's shard.
pub const CONFIGURATION: u32 = 0;
/// Number of shards over which services are spread; they are numbered from 1 on.
pub const SERVICE_SHARDS: u32 = 2;

/// The shard that a service's control state belongs to. All coordinators must agree on it.
pub fn shard_of(service: &str) -> u32 {
    1 + (shaletrail_ring::Key::of(service).0 % u64::from(SERVICE_SHARDS)) as u32
}

/// Records of one shard that are not known to be synced.
#[derive(Clone, Copy, Debug)]
struct UnsyncedRecords {
    /// The ticket of the [`Action::Persist`] that holds them.
    ticket: u64,
    shard: usize,
    /// The ticket by which the replica knows them.
    replica_ticket: u64,
}

/// What the effects of replicas have led to, until it is handed out.
#[derive(Default)]
struct EffectsOutput {
    events: Vec<ShardEvent>,
    /// Records that go to the disk with the next ticket: shard and bytes.
    records: Vec<(u32, Vec<u8>)>,
    /// Shard and replica's ticket of these records.
    replica_tickets: Vec<(usize, u64)>,
}

/// All shards at this node.
pub struct Shards {
    node: NodeId,
    shards: Vec<Shard>,
    last_ticket: u64,
    /// In the order of their tickets.
    unsynced: VecDeque<UnsyncedRecords>,
}

impl Shards {
    /// The shards as they are recovered from the journal's records. Shards whose records cannot be decoded are logged.
    pub fn new(
        options: &CoordinatorOptions,
        stored: Vec<StoredRecord>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> Self {
        let shards = recovery::recover(options, stored, now, actions);
        Shards { node: options.node, shards, last_ticket: 0, unsynced: VecDeque::new() }
    }

    /// A shard by its number.
    pub fn get(&self, shard: u32) -> Option<&Shard> {
        self.shards.get(shard as usize)
    }

    /// A shard's replica.
    pub fn replica_mut(&mut self, shard: u32) -> Option<&mut Replica> {
        self.shards.get_mut(shard as usize).map(|shard| &mut shard.replica)
    }

    /// The replica of the configuration's shard.
    pub fn configuration_replica(&mut self) -> &mut Replica {
        &mut self.shards[CONFIGURATION as usize].replica
    }

    /// The configuration as far as it has been applied here.
    pub fn configuration(&self) -> &ConfigState {
        match &self.shards[CONFIGURATION as usize].state {
            StateMachine::Configuration(state) => state,
            StateMachine::Service(_) => unreachable!("shard 0 is created with a configuration"),
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

    /// The numbers of all shards.
    pub fn numbers(&self) -> std::ops::Range<u32> {
        0..self.shards.len() as u32
    }

    /// Delivers a peer's message to a shard; one that cannot be decoded is ignored.
    pub fn receive(&mut self, now: Millis, from: NodeId, shard: u32, body: &[u8]) {
        let Ok(message) = bitcode::decode::<Message>(body) else { return };
        if let Some(shard) = self.shards.get_mut(shard as usize).filter(|shard| !shard.is_halted) {
            shard.replica.receive(now, from, message);
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) {
        for shard in self.shards.iter_mut().filter(|shard| !shard.is_halted) {
            shard.replica.tick(now);
        }
    }

    /// All records up to and including a ticket are synced to disk.
    pub fn on_persisted(&mut self, now: Millis, ticket: u64) {
        while let Some(synced) = self.unsynced.pop_front_if(|unsynced| unsynced.ticket <= ticket) {
            let shard = &mut self.shards[synced.shard];
            if !shard.is_halted {
                shard.replica.persisted(now, synced.replica_ticket);
            }
        }
    }

    /// Writes a record to a stream that is no shard's; its ticket.
    pub fn persist_beside_shards(&mut self, stream: u32, bytes: Vec<u8>, actions: &mut Vec<Action>) -> u64 {
        self.last_ticket += 1;
        actions.push(Action::Persist { ticket: self.last_ticket, records: vec![(stream, bytes)] });
        self.last_ticket
    }

    /// All records of the shards that a checkpoint of the journal must keep.
    pub fn live_records(&self) -> Vec<(u32, Vec<u8>)> {
        let of_shard = |(number, shard): (usize, &Shard)| {
            let records = shard.replica.records();
            records.into_iter().map(move |record| (number as u32, record.encode())).collect::<Vec<_>>()
        };
        self.shards.iter().enumerate().flat_map(of_shard).collect()
    }

    /// Carries out the effects that replicas ask for until there are none left, and persists their records together.
    pub fn process_effects(&mut self, actions: &mut Vec<Action>) -> Vec<ShardEvent> {
        let mut output = EffectsOutput::default();
        for number in 0..self.shards.len() {
            while !self.shards[number].is_halted {
                let effects = self.shards[number].replica.take_effects();
                if effects.is_empty() {
                    break;
                }
                for effect in effects {
                    self.carry_out(number, effect, actions, &mut output);
                }
            }
        }
        self.persist(output.records, output.replica_tickets, actions);
        output.events
    }

    fn persist(
        &mut self,
        records: Vec<(u32, Vec<u8>)>,
        replica_tickets: Vec<(usize, u64)>,
        actions: &mut Vec<Action>,
    ) {
        if records.is_empty() {
            return;
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let unsynced = replica_tickets.into_iter().map(|(shard, replica_ticket)| UnsyncedRecords {
            ticket,
            shard,
            replica_ticket,
        });
        self.unsynced.extend(unsynced);
        actions.push(Action::Persist { ticket, records });
    }

    fn carry_out(
        &mut self,
        number: usize,
        effect: Effect,
        actions: &mut Vec<Action>,
        output: &mut EffectsOutput,
    ) {
        let shard = number as u32;
        if self.shards[number].is_halted {
            // What is left of the effects rests on the snapshot: its acknowledgement, and its record.
            return;
        }
        match effect {
            Effect::Send(to, message) => {
                let body = bitcode::encode(&message);
                actions.push(Action::Send { to, message: CoordinatorMessage::Shard { shard, body } });
            }
            Effect::Persist { ticket, records } => {
                output.records.extend(records.iter().map(|record| (shard, record.encode())));
                output.replica_tickets.push((number, ticket));
            }
            Effect::Apply(entry) => output.events.extend(self.shards[number].apply(shard, entry)),
            Effect::InstallSnapshot(snapshot) => {
                // The snapshot of the bootstrap has an empty state.
                if self.shards[number].state.restore(&snapshot.state) || snapshot.state.is_empty() {
                    self.campaign_soon_if_last_holder(number);
                } else {
                    self.halt(number, actions, output);
                }
            }
            Effect::ReadReady { token, .. } => output.events.push(ShardEvent::ReadReady { token }),
            Effect::ReadFailed { token } => output.events.push(ShardEvent::ReadFailed { token }),
            Effect::BecameLeader { term } => output.events.push(ShardEvent::BecameLeader { shard, term }),
            Effect::LostLeadership { term } => output.events.push(ShardEvent::LostLeadership { shard, term }),
        }
    }

    /// Ends the part that this node takes in a shard whose snapshot its state machine cannot read: to go on from the old
    /// state would apply later entries to it, and to acknowledge the snapshot would let others rely on it. On disk the
    /// voter is recovering from now on, as if its disk had been lost, so that it counts for nothing after a restart either
    /// until it has got a snapshot that it can read.
    fn halt(&mut self, number: usize, actions: &mut Vec<Action>, output: &mut EffectsOutput) {
        let shard = &mut self.shards[number];
        shard.is_halted = true;
        for record in shard.replica.begin_recovery() {
            output.records.push((number as u32, record.encode()));
        }
        actions.push(Action::LogStateChange(StateChange::UnreadableSnapshot { shard: number as u32 }));
    }

    /// A node that held the order lease last may go on at once; any other would have to wait for the lease to end.
    fn campaign_soon_if_last_holder(&mut self, number: usize) {
        let node = self.node;
        let Some(shard) = self.shards.get_mut(number) else { return };
        let StateMachine::Service(state) = &shard.state else { return };
        if state.holder().is_some_and(|holder| holder.node == node) {
            shard.replica.campaign_soon(shard.started_at);
        }
    }
}
