//! Virtual time: scheduled events, and the delivery of messages and timers to processes.

use shaletrail_protocol::{Millis, NodeId};

use super::{Deferred, Fleet, Machine, Process};
use crate::coordinator::CoordinatorProcess;
use crate::fixtures;
use crate::message::{Call, Message};
use crate::server::ModelServer;
use crate::world::{ScheduledEvent, Timer};

impl Fleet {
    /// Advances virtual time by a duration, in milliseconds.
    pub fn run(&mut self, duration: Millis) {
        self.run_to(self.world.now + duration);
    }

    fn run_to(&mut self, end: Millis) {
        while let Some(event) = self.world.pop_due(end) {
            self.handle_event(event);
        }
        self.world.now = end;
    }

    /// Advances virtual time until a condition holds; false if it doesn't within `limit`, in milliseconds.
    pub fn run_until(&mut self, limit: Millis, initial_models: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.world.now + limit;
        while !initial_models(self) {
            let Some(next) = self.world.next_event_at().filter(|next| *next <= end) else {
                self.world.now = end;
                return initial_models(self);
            };
            self.run_to(next);
        }
        true
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival((from, to)) => {
                let arrivals = self.world.network.take(self.world.now, (from, to));
                for message in arrivals.messages {
                    self.deliver(from, to, message);
                }
                if let Some(retry_at) = arrivals.retry_at {
                    self.world.schedule_at(retry_at, ScheduledEvent::Arrival((from, to)));
                }
            }
            ScheduledEvent::Timer { node, incarnation, timer } => {
                if self.world.incarnation_of(node) == incarnation {
                    self.wake(node, timer);
                }
            }
            ScheduledEvent::Start(node) => self.start(node),
            ScheduledEvent::QuotaRenewed(node) => self.renew_quota(node),
            ScheduledEvent::End { node, incarnation } => {
                if self.world.incarnation_of(node) == incarnation {
                    self.end(node, incarnation);
                }
            }
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, message: Message) {
        if to == fixtures::operator() {
            return self.operator.receive(&mut self.world, message);
        }
        let event = Deferred::Message(from, message);
        let Some(Deferred::Message(from, message)) = self.defer_if_quota_is_spent(to, event) else { return };
        let machine = self.machines.entry(to).or_default();
        if let Some(deferred) = &mut machine.frozen {
            return deferred.push(Deferred::Message(from, message));
        }
        match &mut machine.process {
            Some(Process::Coordinator(coordinator)) => {
                if let Some(disk) = self.disks.get(&to) {
                    coordinator.receive(&mut self.world, disk, from, message);
                }
                self.reap_crashed_coordinator(to);
            }
            Some(Process::Edge(edge)) => edge.receive(&mut self.world, message),
            Some(Process::Server(server)) => {
                server.receive(&mut self.world, from, message);
                self.reap_exited_server(to);
            }
            None => {
                if let Message::Call { number, call } = message {
                    // A poll's connection existed before and is reset; other connections are refused.
                    let accepted = matches!(call, Call::Poll { .. });
                    self.world.send(to, from, Message::ConnectionFailed { number, accepted });
                }
            }
        }
    }

    fn wake(&mut self, node: NodeId, timer: Timer) {
        if node == fixtures::operator() {
            let coordinators = self.published_coordinators();
            return self.operator.wake(&mut self.world, timer, &coordinators);
        }
        let event = Deferred::Timer(timer);
        let Some(Deferred::Timer(timer)) = self.defer_if_quota_is_spent(node, event) else { return };
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if let Some(deferred) = &mut machine.frozen {
            return deferred.push(Deferred::Timer(timer));
        }
        match &mut machine.process {
            Some(Process::Coordinator(coordinator)) => {
                if let Some(disk) = self.disks.get(&node) {
                    coordinator.wake(&mut self.world, disk, timer);
                }
                self.reap_crashed_coordinator(node);
            }
            Some(Process::Edge(edge)) => {
                let seeds = self.seeds.get(&node).map(Vec::as_slice).unwrap_or_default();
                edge.wake(&mut self.world, timer, seeds);
            }
            Some(Process::Server(_)) => self.wake_server(node, timer),
            None => {}
        }
    }

    fn wake_server(&mut self, node: NodeId, timer: Timer) {
        let coordinators = self.published_coordinators();
        if let Some(Machine { process: Some(Process::Server(server)), .. }) = self.machines.get_mut(&node) {
            server.wake(&mut self.world, timer, &coordinators);
        }
        self.reap_exited_server(node);
    }

    /// A process that has come to its crash point is killed, or its machine loses power.
    fn reap_crashed_coordinator(&mut self, node: NodeId) {
        if !self.coordinator(node).is_some_and(CoordinatorProcess::has_crashed) {
            return;
        }
        if self.world.random_bool(0.5) {
            self.kill(node);
        } else {
            self.lose_power(node);
        }
    }

    fn reap_exited_server(&mut self, node: NodeId) {
        if self.server(node).is_some_and(ModelServer::has_exited) {
            self.crash_server(node);
        }
    }

    /// Defers all events of a machine's process from now on.
    pub(crate) fn begin_freeze(&mut self, node: NodeId) {
        if let Some(machine) = self.machines.get_mut(&node).filter(|machine| machine.process.is_some()) {
            machine.frozen.get_or_insert_default();
        }
    }

    /// Delivers the deferred events to the process.
    pub(crate) fn end_freeze(&mut self, node: NodeId) {
        let frozen = self.machines.get_mut(&node).and_then(|machine| machine.frozen.take());
        let mut deferred = frozen.unwrap_or_default();
        // The order in which a thawed process sees its sockets and timers is not defined.
        match self.world.random_range(0..=2) {
            0 => {}
            1 => deferred.sort_by_key(|deferred| matches!(deferred, Deferred::Timer(_))),
            _ => deferred
                .sort_by_key(|deferred| !matches!(deferred, Deferred::Message(_, Message::Call { .. }))),
        }
        self.handle_deferred(node, deferred);
    }

    pub(super) fn handle_deferred(&mut self, node: NodeId, deferred: Vec<Deferred>) {
        for deferred in deferred {
            match deferred {
                Deferred::Message(from, message) => self.deliver(from, node, message),
                Deferred::Timer(timer) => self.wake(node, timer),
            }
        }
    }
}
