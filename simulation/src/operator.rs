//! The operator, who sends changes and reads to random coordinators of the published list until they are answered.

use std::collections::BTreeMap;

use serde_json::Value;
use shaletrail_protocol::internal::{OperatorCall, OperatorResponse};
use shaletrail_protocol::{Millis, NodeId};

use crate::fixtures::{self, version_of, Models};
use crate::message::{Call, CallNumber, Message, Response};
use crate::observer::{ConfigRead, ConflictResponse, Outcome, SentChange};
use crate::world::{Timer, World};

/// Time-out of an attempt, in milliseconds; the next attempt goes to another coordinator.
const CALL_TIMEOUT: Millis = 1_000;
/// Unit of the backoff before the next attempt, in milliseconds; doubled with each attempt.
const BACKOFF_UNIT: Millis = 50;
/// Upper bound of the backoff, in milliseconds.
const MAX_BACKOFF: Millis = 800;

/// Identifies a call of the operator, across all its attempts.
pub type OperatorCallId = u64;

#[derive(Clone, Debug)]
struct PendingCall {
    call: OperatorCall,
    /// The change that it sends; `None` for a read.
    change: Option<u64>,
    started_at: Millis,
    attempts: u32,
    /// The attempt in flight; `None` between two attempts.
    awaited_call: Option<CallNumber>,
    /// The only coordinator to call; `None` for any.
    only: Option<NodeId>,
    /// The coordinator of the first attempt; `None` for a random one.
    first: Option<NodeId>,
    /// The coordinator of the previous attempt, which the next attempt avoids.
    last: Option<NodeId>,
}

/// A change: the call that sends it, and the configuration that results from it.
#[derive(Clone, Debug)]
struct Change {
    call: OperatorCall,
    document: Value,
}

/// The operator, who creates changes and sends them until they are answered.
pub struct Operator {
    models: Models,
    /// The newest configuration that was acknowledged or read.
    known: Value,
    changes: BTreeMap<u64, Change>,
    pending: BTreeMap<OperatorCallId, PendingCall>,
    /// The probability that a response to the operator is lost.
    pub response_loss: f64,
}

impl Operator {
    /// Creates an operator that knows no configuration and has no changes.
    pub fn new(models: Models) -> Self {
        Operator {
            models,
            known: Value::Null,
            changes: BTreeMap::new(),
            pending: BTreeMap::new(),
            response_loss: 0.0,
        }
    }

    /// The version of the newest configuration that was acknowledged or read; 0 for none.
    pub fn known_version(&self) -> u64 {
        version_of(&self.known)
    }

    /// Creates a change that replaces the complete configuration. Returns its number.
    pub fn create_replacement(&mut self, world: &mut World, base: u64, version: u64) -> u64 {
        let change = world.next_id();
        let document = fixtures::configuration(&self.models, change, version);
        let body = document.to_string().into_bytes();
        self.record_change(
            world,
            change,
            base,
            OperatorCall::Change { replace: true, base_version: base, body },
            document,
        )
    }

    /// Creates a change of one item of the known configuration. Returns its number.
    pub fn create_update(&mut self, world: &mut World, version: u64) -> u64 {
        let change = world.next_id();
        let base = self.known_version();
        let mut document = self.known.clone();
        document["version"] = version.into();
        let routes = document["routes"].as_array_mut().expect("known configuration has routes");
        if let Some(marker) = routes.iter_mut().find(|route| route["name"] == fixtures::MARKER_ROUTE) {
            *marker = fixtures::marker_route(change);
        }
        let body = fixtures::marker_update(change, version).to_string().into_bytes();
        self.record_change(
            world,
            change,
            base,
            OperatorCall::Change { replace: false, base_version: base, body },
            document,
        )
    }

    fn record_change(
        &mut self,
        world: &mut World,
        change: u64,
        base: u64,
        call: OperatorCall,
        document: Value,
    ) -> u64 {
        let sent =
            SentChange { base, version: version_of(&document), document: document.clone(), outcomes: vec![] };
        world.observer.change_created(change, sent);
        self.changes.insert(change, Change { call, document });
        change
    }

    /// Sends or resends a change until it is answered, to `only` if given.
    ///
    /// # Panics
    /// There is no such change.
    pub fn send_change(&mut self, world: &mut World, change: u64, only: Option<NodeId>) -> OperatorCallId {
        let call = self.changes[&change].call.clone();
        self.start_call(world, call, Some(change), only, None)
    }

    /// Sends or resends a change until it is answered; the first attempt goes to `first`.
    ///
    /// # Panics
    /// There is no such change.
    pub fn send_change_first_to(&mut self, world: &mut World, change: u64, first: NodeId) -> OperatorCallId {
        let call = self.changes[&change].call.clone();
        self.start_call(world, call, Some(change), None, Some(first))
    }

    /// Reads the configuration; the first attempt goes to `first`.
    pub fn read_first_at(&mut self, world: &mut World, first: NodeId) -> OperatorCallId {
        self.start_call(world, OperatorCall::Read, None, None, Some(first))
    }

    /// Reads the configuration, from `only` if given.
    pub fn read(&mut self, world: &mut World, only: Option<NodeId>) -> OperatorCallId {
        self.start_call(world, OperatorCall::Read, None, only, None)
    }

    fn start_call(
        &mut self,
        world: &mut World,
        call: OperatorCall,
        change: Option<u64>,
        only: Option<NodeId>,
        first: Option<NodeId>,
    ) -> OperatorCallId {
        let id = world.next_id();
        let pending = PendingCall {
            call,
            change,
            started_at: world.now,
            attempts: 0,
            awaited_call: None,
            only,
            first,
            last: None,
        };
        self.pending.insert(id, pending);
        world.set_timer(fixtures::operator(), world.now, Timer::OperatorRetry(id));
        id
    }

    /// Whether a call still waits for its response.
    pub fn is_pending(&self, id: OperatorCallId) -> bool {
        self.pending.contains_key(&id)
    }

    /// The number of calls that have no response yet.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// The calls that have no response yet, each with the time at which it began.
    pub fn pending_since(&self) -> impl Iterator<Item = (OperatorCallId, Millis)> + '_ {
        self.pending.iter().map(|(id, pending)| (*id, pending.started_at))
    }

    /// Abandons all calls that have no response yet.
    pub fn abandon_pending(&mut self) {
        self.pending.clear();
    }

    /// Handles a timer that has expired. `coordinators` is the published list of coordinators.
    pub fn handle_timer(&mut self, world: &mut World, timer: Timer, coordinators: &[NodeId]) {
        match timer {
            Timer::OperatorRetry(id) => self.send(world, id, coordinators),
            Timer::OperatorTimeout(number) => self.attempt_failed(world, number),
            _ => {}
        }
    }

    fn send(&mut self, world: &mut World, id: OperatorCallId, coordinators: &[NodeId]) {
        let Some(pending) = self.pending.get_mut(&id).filter(|pending| pending.awaited_call.is_none()) else {
            return;
        };
        let others: Vec<NodeId> =
            coordinators.iter().copied().filter(|node| Some(*node) != pending.last).collect();
        let candidates = if others.is_empty() { coordinators } else { &others };
        let last_index = (candidates.len() as u64).saturating_sub(1);
        let index = world.random_range(0..=last_index) as usize;
        let first = pending.first.take();
        let Some(to) = pending.only.or(first).or_else(|| candidates.get(index).copied()) else {
            return world.set_timer(fixtures::operator(), world.now + CALL_TIMEOUT, Timer::OperatorRetry(id));
        };
        let number = world.next_id();
        pending.attempts += 1;
        pending.last = Some(to);
        pending.awaited_call = Some(number);
        let call = Call::Operator(pending.call.clone());
        world.send(fixtures::operator(), to, Message::Call { number, call });
        world.set_timer(fixtures::operator(), world.now + CALL_TIMEOUT, Timer::OperatorTimeout(number));
    }

    fn call_awaiting(&self, number: CallNumber) -> Option<OperatorCallId> {
        let mut pending = self.pending.iter();
        pending.find(|(_, pending)| pending.awaited_call == Some(number)).map(|(id, _)| *id)
    }

    fn attempt_failed(&mut self, world: &mut World, number: CallNumber) {
        let Some(id) = self.call_awaiting(number) else { return };
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.awaited_call = None;
        let pause = (BACKOFF_UNIT << pending.attempts.min(6)).min(MAX_BACKOFF);
        world.set_timer(fixtures::operator(), world.now + pause, Timer::OperatorRetry(id));
    }

    /// Handles a message from the network.
    pub fn receive(&mut self, world: &mut World, message: Message) {
        match message {
            Message::Response { number, response: Response::Operator(response) } => {
                self.handle_response(world, number, response);
            }
            Message::ConnectionFailed { number, .. } => self.attempt_failed(world, number),
            _ => {}
        }
    }

    fn handle_response(&mut self, world: &mut World, number: CallNumber, response: OperatorResponse) {
        let Some(id) = self.call_awaiting(number).filter(|_| !world.random_bool(self.response_loss)) else {
            return;
        };
        if response == OperatorResponse::Unavailable {
            return self.attempt_failed(world, number);
        }
        let Some(pending) = self.pending.remove(&id) else { return };
        match (pending.change, response) {
            (Some(change), response) => {
                self.handle_change_response(world, change, pending.started_at, response)
            }
            (None, OperatorResponse::Done { body }) => {
                let document: Value =
                    serde_json::from_slice(&body).expect("the response to a read is valid JSON");
                if version_of(&document) > self.known_version() {
                    self.known = document.clone();
                }
                let read = ConfigRead { call: id, started_at: pending.started_at, at: world.now, document };
                world.observer.config_read(read);
            }
            (None, response) => panic!("unexpected response to a read: {response:?}"),
        }
    }

    fn handle_change_response(
        &mut self,
        world: &mut World,
        change: u64,
        started_at: Millis,
        response: OperatorResponse,
    ) {
        let outcome = match response {
            OperatorResponse::Done { .. } => Outcome::Acknowledged,
            OperatorResponse::Conflict { current_version: current } => Outcome::Conflict { current },
            OperatorResponse::Invalid { .. } | OperatorResponse::Unavailable => Outcome::Invalid,
        };
        if outcome == Outcome::Acknowledged {
            let document = &self.changes[&change].document;
            if version_of(document) > self.known_version() {
                self.known = document.clone();
            }
        }
        if let Outcome::Conflict { current } = outcome {
            world.observer.change_conflicted(ConflictResponse { change, started_at, at: world.now, current });
        }
        world.observer.change_answered(world.now, change, outcome);
    }
}
