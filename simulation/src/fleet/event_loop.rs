//! The event loop: advances virtual time from one scheduled event to the next, and delivers messages and timers to processes.

use shaletrail_protocol::{Millis, NodeId};

use super::{DeferredEvent, Fleet, Machine, Process};
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

    /// Advances virtual time until a condition holds; false if it does not hold within `limit` milliseconds.
    pub fn run_until(&mut self, limit: Millis, condition: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.world.now + limit;
        while !condition(self) {
            let Some(next) = self.world.next_event_at().filter(|next| *next <= end) else {
                self.world.now = end;
                return condition(self);
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
                    self.handle_timer(node, timer);
                }
            }
            ScheduledEvent::Start(node) => self.start(node),
            ScheduledEvent::QuotaRenewed(node) => self.renew_quota(node),
            ScheduledEvent::ShutdownCompleted { node, incarnation } => {
                if self.world.incarnation_of(node) == incarnation {
                    self.complete_shutdown(node, incarnation);
                }
            }
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, message: Message) {
        if to == fixtures::operator() {
            return self.operator.receive(&mut self.world, message);
        }
        let event = DeferredEvent::Message(from, message);
        let Some(DeferredEvent::Message(from, message)) = self.defer_if_quota_is_spent(to, event) else {
            return;
        };
        let machine = self.machines.entry(to).or_default();
        if let Some(deferred) = &mut machine.frozen {
            return deferred.push(DeferredEvent::Message(from, message));
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
                    // The connection of a poll was open and is reset; connections of other calls are refused.
                    let accepted = matches!(call, Call::Poll { .. });
                    self.world.send(to, from, Message::ConnectionFailed { number, accepted });
                }
            }
        }
    }

    fn handle_timer(&mut self, node: NodeId, timer: Timer) {
        if node == fixtures::operator() {
            let coordinators = self.published_coordinators();
            return self.operator.handle_timer(&mut self.world, timer, &coordinators);
        }
        let event = DeferredEvent::Timer(timer);
        let Some(DeferredEvent::Timer(timer)) = self.defer_if_quota_is_spent(node, event) else { return };
        let Some(machine) = self.machines.get_mut(&node) else { return };
        if let Some(deferred) = &mut machine.frozen {
            return deferred.push(DeferredEvent::Timer(timer));
        }
        match &mut machine.process {
            Some(Process::Coordinator(coordinator)) => {
                if let Some(disk) = self.disks.get(&node) {
                    coordinator.handle_timer(&mut self.world, disk, timer);
                }
                self.reap_crashed_coordinator(node);
            }
            Some(Process::Edge(edge)) => {
                let seeds = self.seeds.get(&node).map(Vec::as_slice).unwrap_or_default();
                edge.handle_timer(&mut self.world, timer, seeds);
            }
            Some(Process::Server(_)) => self.handle_server_timer(node, timer),
            None => {}
        }
    }

    fn handle_server_timer(&mut self, node: NodeId, timer: Timer) {
        let coordinators = self.published_coordinators();
        if let Some(Machine { process: Some(Process::Server(server)), .. }) = self.machines.get_mut(&node) {
            server.handle_timer(&mut self.world, timer, &coordinators);
        }
        self.reap_exited_server(node);
    }

    /// Ends a coordinator that has reached its crash point: its process is killed, or its machine loses power.
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

    /// Defers all events for a machine's process from now on.
    pub(crate) fn begin_freeze(&mut self, node: NodeId) {
        if let Some(machine) = self.machines.get_mut(&node).filter(|machine| machine.process.is_some()) {
            machine.frozen.get_or_insert_default();
        }
    }

    /// Ends the freeze and delivers the deferred events.
    pub(crate) fn end_freeze(&mut self, node: NodeId) {
        let frozen = self.machines.get_mut(&node).and_then(|machine| machine.frozen.take());
        let mut deferred = frozen.unwrap_or_default();
        // The order in which a thawed process handles its sockets and timers is undefined. Draw one of three: as they
        // arrived, messages first, or calls first.
        match self.world.random_range(0..=2) {
            0 => {}
            1 => deferred.sort_by_key(|deferred| matches!(deferred, DeferredEvent::Timer(_))),
            _ => deferred
                .sort_by_key(|deferred| !matches!(deferred, DeferredEvent::Message(_, Message::Call { .. }))),
        }
        self.handle_deferred(node, deferred);
    }

    pub(super) fn handle_deferred(&mut self, node: NodeId, deferred: Vec<DeferredEvent>) {
        for deferred in deferred {
            match deferred {
                DeferredEvent::Message(from, message) => self.deliver(from, node, message),
                DeferredEvent::Timer(timer) => self.handle_timer(node, timer),
            }
        }
    }
}
