//! Scenario `calls`: duplicated, delayed and reordered messages between coordinators, reset links, lost or delayed responses,
//! callers that restart while a call is in flight, and orders that reach their servers late.

use shaletrail_protocol::{Millis, NodeId};

use super::{History, Recovery, CATCH_UP_PERIOD, MAX_PENDING_CALLS};
use crate::fixtures;
use crate::network::{Conditions, Disorder};

/// Number of rounds in a history.
const ROUNDS: std::ops::RangeInclusive<u64> = 8..=20;
/// Additional delay of a message between coordinators, in milliseconds.
const MESSAGE_DELAY: std::ops::RangeInclusive<Millis> = 5..=900;
/// Upper bound of the delay of an order, in milliseconds. It is less than the margin by which the wait of a new lease holder
/// exceeds the lease, so late orders of the previous holder must still arrive a lease before the first order of the new one.
const ORDER_DELAY: Millis = 250;
/// Upper bound of the delay of a poll's response, in milliseconds.
const POLL_DELAY: Millis = 900;

impl History {
    pub(super) fn play_disorder(&mut self) {
        let rounds = self.draw(ROUNDS);
        for _ in 0..rounds {
            match self.draw(0..=9) {
                0 | 1 => self.restart_with_calls_in_flight(),
                2 => self.begin_disorder(),
                3 => self.reset_links(),
                4 => self.delay_polls(),
                5 => self.restart_server(),
                6 | 7 => self.disturb_lease_holder(),
                8 => self.inject_edge_fault(),
                _ => self.resend_random_change(),
            }
            for _ in 0..self.draw(0..=3) {
                self.call_any_coordinator();
            }
            self.request_models();
            let pause = self.draw(10..=700);
            self.advance(pause);
        }
    }

    fn call_any_coordinator(&mut self) {
        let coordinators = self.fleet.coordinators();
        let Some(node) = self.choose(&coordinators) else { return };
        if self.world().random_bool(0.6) {
            self.submit_change(Some(node));
        } else {
            self.read_at(node);
        }
    }

    fn request_models(&mut self) {
        for edge in self.fleet.edges() {
            let model = self.draw(0..=5) as usize;
            let path = if self.world().random_bool(0.5) {
                fixtures::NON_IDEMPOTENT_PATH
            } else {
                fixtures::IDEMPOTENT_PATH
            };
            self.fleet.request_model(edge, path, model, None);
            self.fleet.request_web(edge);
        }
    }

    /// A coordinator restarts while calls that it has forwarded to the leader are in flight, and is called again. A response to
    /// a call of the earlier process must not answer a call of the new one.
    fn restart_with_calls_in_flight(&mut self) {
        let Some(leader) = self.fleet.leader() else { return };
        let now = self.fleet.world.now;
        self.unavailable_until.retain(|_, until| *until > now);
        let others = self.coordinators_except(&[leader]);
        let Some(caller) = self.choose(&others) else { return };
        let may_fail = self.unavailable_until.contains_key(&caller)
            || self.unavailable_until.len() < self.fleet.options.hosts_lost as usize;
        if !may_fail || !self.fleet.is_running(caller) {
            return;
        }
        self.record(format!("{caller} restarts with calls in flight"));
        // The leader's responses are delayed.
        let max_delay = self.draw(3..=400);
        self.links_nominal = false;
        self.world()
            .network
            .set_link_conditions((leader, caller), Conditions { delay: 1..=max_delay, loss: 0.0 });
        self.recoveries.push((now + 800, Recovery::Links));
        let (restarts_first, calls) = (self.world().random_bool(0.5), self.draw(1..=2));
        if restarts_first {
            // A restart resets the call numbers, so that the numbers of both processes coincide.
            self.fleet.kill(caller);
            self.fleet.start(caller);
            let pause = self.draw(50..=400);
            self.fleet.run(pause);
        }
        for _ in 0..calls {
            self.call_at(caller);
        }
        let pause = self.draw(0..=12);
        self.fleet.run(pause);
        self.fleet.kill(caller);
        self.fleet.start(caller);
        self.unavailable_until.insert(caller, self.fleet.world.now + CATCH_UP_PERIOD);
        let pause = self.draw(0..=5);
        self.fleet.run(pause);
        for _ in 0..3 {
            self.call_at(caller);
            let pause = self.draw(0..=80);
            self.fleet.run(pause);
        }
    }

    fn call_at(&mut self, node: NodeId) {
        if self.fleet.operator.pending_count() >= MAX_PENDING_CALLS {
            return;
        }
        if self.world().random_bool(0.6) {
            self.submit_change(Some(node));
        } else {
            self.read_at(node);
        }
    }

    /// Duplicates and reorders messages between coordinators until a scheduled repair.
    fn begin_disorder(&mut self) {
        let max_delay = self.draw(MESSAGE_DELAY);
        let (duplicate_probability, reorder_probability) =
            if self.world().random_bool(0.5) { (0.15, 0.05) } else { (0.05, 0.15) };
        self.record(format!(
            "messages are duplicated ({duplicate_probability}) or reordered ({reorder_probability}), up to {max_delay} ms late"
        ));
        self.links_nominal = false;
        self.world().network.set_disorder(Disorder { duplicate_probability, reorder_probability, max_delay });
        let until = self.schedule_recovery(Recovery::Disorder);
        self.recoveries.push((until + max_delay, Recovery::Links));
    }

    /// Resets random links between coordinators: messages in flight are lost.
    fn reset_links(&mut self) {
        let coordinators = self.fleet.coordinators();
        for _ in 0..self.draw(1..=6) {
            let (from, to) = (self.choose(&coordinators), self.choose(&coordinators));
            if let (Some(from), Some(to)) = (from, to) {
                self.record(format!("link from {from} to {to} is reset"));
                self.fleet.reset_link(from, to);
            }
        }
    }

    /// Delays the responses to an edge's polls.
    fn delay_polls(&mut self) {
        let edges = self.fleet.edges();
        let Some(edge) = self.choose(&edges) else { return };
        self.record(format!("responses to polls of {edge} are delayed"));
        self.links_nominal = false;
        for node in self.fleet.coordinators() {
            self.world()
                .network
                .set_link_conditions((node, edge), Conditions { delay: 1..=POLL_DELAY, loss: 0.0 });
        }
        self.fleet.world.contact.record_fault(self.fleet.world.now, edge);
        let until = self.fleet.world.now + self.draw(50..=2_500);
        self.recoveries.push((until, Recovery::Links));
    }

    /// Restarts a server at the same address while requests and orders to it are in flight.
    fn restart_server(&mut self) {
        let servers = self.fleet.servers();
        let Some(node) = self.choose(&servers) else { return };
        let service = self.fleet.server(node).map(|server| server.service().to_owned()).unwrap_or_default();
        self.request_models();
        let pause = self.draw(0..=300);
        self.fleet.run(pause);
        self.record(format!("server {node} restarts at the same address"));
        self.fleet.crash_server(node);
        let pause = self.draw(0..=30);
        self.fleet.run(pause);
        let id = self.fleet.start_server(node, &service, Vec::new());
        self.record(format!("server {node} restarted as {id}"));
    }

    /// The holder of an order lease fails while its delayed orders are in flight.
    fn disturb_lease_holder(&mut self) {
        let now = self.fleet.world.now;
        self.unavailable_until.retain(|_, until| *until > now);
        let shard = self.draw(1..=2) as u32;
        let lease_holder = self.fleet.leader_of(shard).filter(|_| self.unavailable_until.is_empty());
        let Some(lease_holder) = lease_holder else { return };
        self.links_nominal = false;
        for server in self.fleet.servers() {
            self.world().network.set_link_conditions(
                (lease_holder, server),
                Conditions { delay: 1..=ORDER_DELAY, loss: 0.0 },
            );
        }
        self.recoveries.push((now + 6_000, Recovery::Links));
        let orders = self.fleet.world.observer.orders.len();
        self.request_models();
        self.fleet.run_until(600, |fleet| fleet.world.observer.orders.len() > orders);
        self.record(format!("{lease_holder}, the order lease holder, fails"));
        let until = self.fleet.world.now + self.draw(50..=5_000);
        match self.draw(0..=3) {
            0 => {
                self.fleet.kill(lease_holder);
                self.recoveries.push((until, Recovery::Start(lease_holder)));
            }
            1 => {
                self.fleet.lose_power(lease_holder);
                self.recoveries.push((until, Recovery::Start(lease_holder)));
            }
            2 => {
                self.fleet.freeze(lease_holder);
                self.recoveries.push((until, Recovery::Thaw(lease_holder)));
            }
            _ => {
                let mut partitions = Vec::new();
                for other in self.coordinators_except(&[lease_holder]) {
                    partitions.extend([(lease_holder, other), (other, lease_holder)]);
                }
                for (from, to) in &partitions {
                    self.fleet.partition_one_way(*from, *to, true);
                }
                self.recoveries.push((until, Recovery::HealPartitions(partitions)));
            }
        }
        self.unavailable_until.insert(lease_holder, until + CATCH_UP_PERIOD);
        for _ in 0..6 {
            self.request_models();
            let pause = self.draw(100..=900);
            self.advance(pause);
        }
    }
}
