//! The operator: sends changes until they are answered, to whichever coordinator its list names, and reads back.

use std::collections::BTreeMap;

use serde_json::Value;
use shaletrail_protocol::internal::{OperatorCall, OperatorResponse};
use shaletrail_protocol::{Millis, NodeId};

use crate::message::{Answer, Call, CallNumber, Message};
use crate::site::{self, Models};
use crate::witness::{ChangeSent, Outcome, ReadBack, Rejection};
use crate::world::{Timer, World};

/// Within which an answer must come before another coordinator is called.
const PATIENCE: Millis = 1_000;
/// The pause before another coordinator is called, at first.
const FIRST_PAUSE: Millis = 50;
/// The longest such pause.
const LONGEST_PAUSE: Millis = 800;

/// Names a call of the operator, with all its tries.
pub type OperatorCallId = u64;

#[derive(Clone, Debug)]
struct Pending {
    call: OperatorCall,
    /// The change that it brings; `None` for a read.
    change: Option<u64>,
    begun: Millis,
    tries: u32,
    /// The try that waits for an answer.
    waits_for: Option<CallNumber>,
    /// Who is called, instead of anybody.
    only: Option<NodeId>,
    /// Who is called with the first try.
    first: Option<NodeId>,
    /// Who was called with the last try: the next one goes to another.
    last: Option<NodeId>,
}

/// A change that was sent, or is to be sent again.
#[derive(Clone, Debug)]
struct Change {
    call: OperatorCall,
    document: Value,
}

/// The operator.
pub struct Operator {
    models: Models,
    /// The newest configuration that the operator knows to be in force.
    known: Value,
    changes: BTreeMap<u64, Change>,
    pending: BTreeMap<OperatorCallId, Pending>,
    /// The share of answers that are lost on the way.
    pub lost_answers: f64,
}

impl Operator {
    /// An operator that has brought nothing yet.
    pub fn new(models: Models) -> Self {
        Operator {
            models,
            known: Value::Null,
            changes: BTreeMap::new(),
            pending: BTreeMap::new(),
            lost_answers: 0.0,
        }
    }

    /// The version of the newest configuration that the operator knows to be in force.
    pub fn known_version(&self) -> u64 {
        version_of(&self.known)
    }

    /// Makes a change that replaces the whole configuration, on a base and with a version.
    pub fn write_replacement(&mut self, world: &mut World, base: u64, version: u64) -> u64 {
        let change = world.number();
        let document = site::configuration(&self.models, change, version);
        let body = document.to_string().into_bytes();
        self.keep(
            world,
            change,
            base,
            OperatorCall::Change { replace: true, base_version: base, body },
            document,
        )
    }

    /// Makes a change of one item of the configuration that is known.
    pub fn write_update(&mut self, world: &mut World, version: u64) -> u64 {
        let change = world.number();
        let base = self.known_version();
        let mut document = self.known.clone();
        document["version"] = version.into();
        let routes = document["routes"].as_array_mut().expect("a known configuration has routes");
        if let Some(mark) = routes.iter_mut().find(|route| route["name"] == "mark") {
            *mark = site::mark(change);
        }
        let body = site::marking_update(change, version).to_string().into_bytes();
        self.keep(
            world,
            change,
            base,
            OperatorCall::Change { replace: false, base_version: base, body },
            document,
        )
    }

    fn keep(
        &mut self,
        world: &mut World,
        change: u64,
        base: u64,
        call: OperatorCall,
        document: Value,
    ) -> u64 {
        let sent =
            ChangeSent { base, version: version_of(&document), document: document.clone(), outcomes: vec![] };
        world.witness.writes(change, sent);
        self.changes.insert(change, Change { call, document });
        change
    }

    /// Sends a change, for the first time or again.
    ///
    /// # Panics
    /// There is no such change.
    pub fn send_change(&mut self, world: &mut World, change: u64, only: Option<NodeId>) -> OperatorCallId {
        let call = self.changes[&change].call.clone();
        self.begin(world, call, Some(change), only, None)
    }

    /// Sends a change, for the first time or again; the first try goes to a certain coordinator.
    ///
    /// # Panics
    /// There is no such change.
    pub fn send_change_first_to(&mut self, world: &mut World, change: u64, first: NodeId) -> OperatorCallId {
        let call = self.changes[&change].call.clone();
        self.begin(world, call, Some(change), None, Some(first))
    }

    /// Reads the configuration; the first try goes to a certain coordinator.
    pub fn read_first_at(&mut self, world: &mut World, first: NodeId) -> OperatorCallId {
        self.begin(world, OperatorCall::Read, None, None, Some(first))
    }

    /// Reads the configuration.
    pub fn read(&mut self, world: &mut World, only: Option<NodeId>) -> OperatorCallId {
        self.begin(world, OperatorCall::Read, None, only, None)
    }

    fn begin(
        &mut self,
        world: &mut World,
        call: OperatorCall,
        change: Option<u64>,
        only: Option<NodeId>,
        first: Option<NodeId>,
    ) -> OperatorCallId {
        let id = world.number();
        let pending =
            Pending { call, change, begun: world.now, tries: 0, waits_for: None, only, first, last: None };
        self.pending.insert(id, pending);
        world.wake(site::operator(), world.now, Timer::OperatorAgain(id));
        id
    }

    /// Whether a call still waits for its answer.
    pub fn waits(&self, id: OperatorCallId) -> bool {
        self.pending.contains_key(&id)
    }

    /// Calls that wait for their answer.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Calls that wait for their answer, with the moments at which they were first sent.
    pub fn waiting_since(&self) -> impl Iterator<Item = (OperatorCallId, Millis)> + '_ {
        self.pending.iter().map(|(id, pending)| (*id, pending.begun))
    }

    /// Gives all calls up that have no answer yet.
    pub fn give_up(&mut self) {
        self.pending.clear();
    }

    /// It has been woken. `coordinators` is the list that it goes by.
    pub fn wake(&mut self, world: &mut World, timer: Timer, coordinators: &[NodeId]) {
        match timer {
            Timer::OperatorAgain(id) => self.send(world, id, coordinators),
            Timer::OperatorLate(number) => self.try_failed(world, number),
            _ => {}
        }
    }

    fn send(&mut self, world: &mut World, id: OperatorCallId, coordinators: &[NodeId]) {
        let Some(pending) = self.pending.get_mut(&id).filter(|pending| pending.waits_for.is_none()) else {
            return;
        };
        let others: Vec<NodeId> =
            coordinators.iter().copied().filter(|node| Some(*node) != pending.last).collect();
        let candidates = if others.is_empty() { coordinators } else { &others };
        let last_index = (candidates.len() as u64).saturating_sub(1);
        let index = world.between(0..=last_index) as usize;
        let first = pending.first.take();
        let Some(to) = pending.only.or(first).or_else(|| candidates.get(index).copied()) else {
            return world.wake(site::operator(), world.now + PATIENCE, Timer::OperatorAgain(id));
        };
        let number = world.number();
        pending.tries += 1;
        pending.last = Some(to);
        pending.waits_for = Some(number);
        let call = Call::Operator(pending.call.clone());
        world.send(site::operator(), to, Message::Call { number, call });
        world.wake(site::operator(), world.now + PATIENCE, Timer::OperatorLate(number));
    }

    fn find(&self, number: CallNumber) -> Option<OperatorCallId> {
        let mut pending = self.pending.iter();
        pending.find(|(_, pending)| pending.waits_for == Some(number)).map(|(id, _)| *id)
    }

    fn try_failed(&mut self, world: &mut World, number: CallNumber) {
        let Some(id) = self.find(number) else { return };
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.waits_for = None;
        let pause = (FIRST_PAUSE << pending.tries.min(6)).min(LONGEST_PAUSE);
        world.wake(site::operator(), world.now + pause, Timer::OperatorAgain(id));
    }

    /// Something has come over a link.
    pub fn receive(&mut self, world: &mut World, message: Message) {
        match message {
            Message::Answer { number, answer: Answer::Operator(answer) } => {
                self.answered(world, number, answer);
            }
            Message::Refused { number, .. } => self.try_failed(world, number),
            _ => {}
        }
    }

    fn answered(&mut self, world: &mut World, number: CallNumber, answer: OperatorResponse) {
        let Some(id) = self.find(number).filter(|_| !world.chance(self.lost_answers)) else { return };
        if answer == OperatorResponse::Unavailable {
            return self.try_failed(world, number);
        }
        let Some(pending) = self.pending.remove(&id) else { return };
        match (pending.change, answer) {
            (Some(change), answer) => self.change_answered(world, change, pending.begun, answer),
            (None, OperatorResponse::Done { body }) => {
                let document: Value = serde_json::from_slice(&body).expect("what is read back is JSON");
                if version_of(&document) > self.known_version() {
                    self.known = document.clone();
                }
                let read = ReadBack { call: id, begun: pending.begun, at: world.now, document };
                world.witness.read_back(read);
            }
            (None, answer) => panic!("a read is answered with {answer:?}"),
        }
    }

    fn change_answered(&mut self, world: &mut World, change: u64, begun: Millis, answer: OperatorResponse) {
        let outcome = match answer {
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
            world.witness.refused(Rejection { change, begun, at: world.now, current });
        }
        world.witness.judged(world.now, change, outcome);
    }
}

/// The version of a configuration; 0 for none.
pub fn version_of(document: &Value) -> u64 {
    document.get("version").and_then(Value::as_u64).unwrap_or_default()
}
