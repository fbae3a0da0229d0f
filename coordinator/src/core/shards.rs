//! This node's replicas of all shards, their state machines, and the persistence of their records.

mod event;
pub mod limits;
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
/// Number of shards among which the services are divided. They are numbered from 1.
pub const SERVICE_SHARDS: u32 = 2;

/// Returns the shard that holds the order lease of a service. All coordinators must compute the same shard.
pub fn shard_of(service: &str) -> u32 {
    1 + (shaletrail_ring::Key::of(service).0 % u64::from(SERVICE_SHARDS)) as u32
}

/// Records of one shard whose sync is not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct UnsyncedRecords {
    /// The ticket of the [`Action::Persist`] that contains the records.
    ticket: u64,
    shard: usize,
    /// The ticket that the replica has assigned to the records.
    replica_ticket: u64,
}

/// Results of executing the effects of replicas.
#[derive(Default)]
struct EffectsOutput {
    events: Vec<ShardEvent>,
    /// Records to persist with the next ticket: shard and encoded bytes.
    records: Vec<(u32, Vec<u8>)>,
    /// Shard and replica ticket of each group of these records.
    replica_tickets: Vec<(usize, u64)>,
}

/// This node's replicas of all shards.
pub struct Shards {
    node: NodeId,
    shards: Vec<Shard>,
    last_ticket: u64,
    /// In ticket order.
    unsynced: VecDeque<UnsyncedRecords>,
}

impl Shards {
    /// Recovers the shards from the journal's records. Emits a log action for each shard whose records cannot be
    /// decoded.
    pub fn new(
        options: &CoordinatorOptions,
        stored: Vec<StoredRecord>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> Self {
        let shards = recovery::recover(options, stored, now, actions);
        Shards { node: options.node, shards, last_ticket: 0, unsynced: VecDeque::new() }
    }

    /// Returns a shard by its number; `None` if there is no such shard.
    pub fn get(&self, shard: u32) -> Option<&Shard> {
        self.shards.get(shard as usize)
    }

    /// Returns the replica of a shard; `None` if there is no such shard.
    pub fn replica_mut(&mut self, shard: u32) -> Option<&mut Replica> {
        self.shards.get_mut(shard as usize).map(|shard| &mut shard.replica)
    }

    /// Returns the replica of the configuration's shard.
    pub fn configuration_replica(&mut self) -> &mut Replica {
        &mut self.shards[CONFIGURATION as usize].replica
    }

    /// Returns the configuration as applied at this node.
    pub fn configuration(&self) -> &ConfigState {
        match &self.shards[CONFIGURATION as usize].state {
            StateMachine::Configuration(state) => state,
            StateMachine::Service(_) => unreachable!("shard 0 is created with a configuration"),
        }
    }

    /// Returns the voters of all shards that this node knows of, sorted and without duplicates.
    pub fn voters(&self) -> Vec<NodeId> {
        let mut voters: Vec<NodeId> =
            self.shards.iter().flat_map(|shard| shard.replica.voters().members()).collect();
        voters.sort_unstable();
        voters.dedup();
        voters
    }

    /// Returns the numbers of all shards, including [`CONFIGURATION`].
    pub fn numbers(&self) -> std::ops::Range<u32> {
        0..self.shards.len() as u32
    }

    /// Passes a peer's message to a shard. Messages that cannot be decoded, or are for an unknown or halted shard, are
    /// ignored.
    pub fn receive(&mut self, now: Millis, from: NodeId, shard: u32, body: &[u8]) {
        let Ok(message) = bitcode::decode::<Message>(body) else { return };
        if let Some(shard) = self.shards.get_mut(shard as usize).filter(|shard| !shard.is_halted) {
            shard.replica.receive(now, from, message);
        }
    }

    /// Advances the clock of all replicas that are not halted.
    pub fn tick(&mut self, now: Millis) {
        for shard in self.shards.iter_mut().filter(|shard| !shard.is_halted) {
            shard.replica.tick(now);
        }
    }

    /// Tells the replicas that all records up to and including a ticket are synced to disk.
    pub fn on_persisted(&mut self, now: Millis, ticket: u64) {
        while let Some(synced) = self.unsynced.pop_front_if(|unsynced| unsynced.ticket <= ticket) {
            let shard = &mut self.shards[synced.shard];
            if !shard.is_halted {
                shard.replica.persisted(now, synced.replica_ticket);
            }
        }
    }

    /// Persists a record of a journal stream that does not belong to a shard. Returns the ticket.
    pub fn persist_record(&mut self, stream: u32, bytes: Vec<u8>, actions: &mut Vec<Action>) -> u64 {
        self.last_ticket += 1;
        actions.push(Action::Persist { ticket: self.last_ticket, records: vec![(stream, bytes)] });
        self.last_ticket
    }

    /// Returns the stream and bytes of all records of the shards that a checkpoint of the journal must keep.
    pub fn live_records(&self) -> Vec<(u32, Vec<u8>)> {
        let of_shard = |(number, shard): (usize, &Shard)| {
            let records = shard.replica.records();
            records.into_iter().map(move |record| (number as u32, record.encode())).collect::<Vec<_>>()
        };
        self.shards.iter().enumerate().flat_map(of_shard).collect()
    }

    /// Executes the effects of all replicas until none are left, and persists their records in a single action.
    pub fn process_effects(&mut self, actions: &mut Vec<Action>) -> Vec<ShardEvent> {
        let mut output = EffectsOutput::default();
        for number in 0..self.shards.len() {
            while !self.shards[number].is_halted {
                let effects = self.shards[number].replica.take_effects();
                if effects.is_empty() {
                    break;
                }
                for effect in effects {
                    self.execute_effect(number, effect, actions, &mut output);
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

    fn execute_effect(
        &mut self,
        number: usize,
        effect: Effect,
        actions: &mut Vec<Action>,
        output: &mut EffectsOutput,
    ) {
        let shard = number as u32;
        if self.shards[number].is_halted {
            // The remaining effects depend on the snapshot that could not be read: its acknowledgement and its record.
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
                // The snapshot that the bootstrap creates has an empty state.
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

    /// Stops this node's participation in a shard whose snapshot its state machine cannot read. To continue with the
    /// old state would apply later entries to the wrong state, and to acknowledge the snapshot would let the leader
    /// count on it. The node persists that it is a recovering voter, as if its disk had been lost, so that it counts
    /// for no quorum after a restart either until it has received a snapshot that it can read.
    fn halt(&mut self, number: usize, actions: &mut Vec<Action>, output: &mut EffectsOutput) {
        let shard = &mut self.shards[number];
        shard.is_halted = true;
        for record in shard.replica.begin_recovery() {
            output.records.push((number as u32, record.encode()));
        }
        actions.push(Action::LogStateChange(StateChange::UnreadableSnapshot { shard: number as u32 }));
    }

    /// Makes this node campaign early if it was the last holder of the order lease: it may continue to send orders
    /// without a wait, while any other node would have to wait until the lease has expired.
    fn campaign_soon_if_last_holder(&mut self, number: usize) {
        let node = self.node;
        let Some(shard) = self.shards.get_mut(number) else { return };
        let StateMachine::Service(state) = &shard.state else { return };
        if state.holder().is_some_and(|holder| holder.node == node) {
            shard.replica.campaign_soon(shard.started_at);
        }
    }
}
