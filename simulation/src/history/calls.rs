//! Messages between coordinators that come twice, late or out of order, links that are reset, answers that are lost or
//! late, callers that start again while their call is out, and orders that are late at their servers.

use shaletrail_protocol::{Millis, NodeId};

use super::{Ending, History, MOST_CALLS, SYNC};
use crate::network::{Conditions, Disorder};
use crate::site;

/// Rounds of a history.
const ROUNDS: std::ops::RangeInclusive<u64> = 8..=20;
/// By how much a message between coordinators may be late.
const LATE: std::ops::RangeInclusive<Millis> = 5..=900;
/// By how much an order may be late at its server: less than a holder's wait goes beyond the lease.
const LATE_ORDER: Millis = 250;
/// By how much a poll's answer may be late.
const LATE_POLL: Millis = 900;

impl History {
    pub(super) fn play_calls(&mut self) {
        let rounds = self.draw(ROUNDS);
        for _ in 0..rounds {
            match self.draw(0..=9) {
                0 | 1 => self.restart_asker(),
                2 => self.begin_disorder(),
                3 => self.reset_some(),
                4 => self.delay_polls(),
                5 => self.restart_server(),
                6 | 7 => self.disturb_holder(),
                8 => self.trouble_edge(),
                _ => self.resend_any(),
            }
            for _ in 0..self.draw(0..=3) {
                self.call_anybody();
            }
            self.ask_for_models();
            let pause = self.draw(10..=700);
            self.go_on(pause);
        }
    }

    fn call_anybody(&mut self) {
        let coordinators = self.fleet.coordinators();
        let Some(node) = self.pick(&coordinators) else { return };
        if self.world().chance(0.6) {
            self.bring(Some(node));
        } else {
            self.read_at(node);
        }
    }

    fn ask_for_models(&mut self) {
        for edge in self.fleet.edges() {
            let model = self.draw(0..=5) as usize;
            let path = if self.world().chance(0.5) { site::ONCE } else { site::AGAIN };
            self.fleet.ask_model(edge, path, model, None);
            self.fleet.ask_plain(edge);
        }
    }

    /// A coordinator hands calls to the leader, ends and starts again at once, and is called again.
    fn restart_asker(&mut self) {
        let Some(leader) = self.fleet.leader() else { return };
        let now = self.fleet.world.now;
        self.lost.retain(|_, until| *until > now);
        let others = self.coordinators_but(&[leader]);
        let Some(asker) = self.pick(&others) else { return };
        let lost = self.lost.contains_key(&asker) || self.lost.len() < self.fleet.options.hosts_lost as usize;
        if !lost || !self.fleet.is_running(asker) {
            return;
        }
        self.tell(format!("{asker} starts again while its calls are out"));
        // What the leader answers is late.
        let longest = self.draw(3..=400);
        self.links_well = false;
        self.world().network.set_special((leader, asker), Conditions { delay: 1..=longest, loss: 0.0 });
        self.endings.push((now + 800, Ending::Links));
        let (again, calls) = (self.world().chance(0.5), self.draw(1..=2));
        if again {
            // Calls are counted from the start of the process.
            self.fleet.kill(asker);
            self.fleet.start(asker);
            let pause = self.draw(50..=400);
            self.fleet.run(pause);
        }
        for _ in 0..calls {
            self.call_at(asker);
        }
        let pause = self.draw(0..=12);
        self.fleet.run(pause);
        self.fleet.kill(asker);
        self.fleet.start(asker);
        self.lost.insert(asker, self.fleet.world.now + SYNC);
        let pause = self.draw(0..=5);
        self.fleet.run(pause);
        for _ in 0..3 {
            self.call_at(asker);
            let pause = self.draw(0..=80);
            self.fleet.run(pause);
        }
    }

    fn call_at(&mut self, node: NodeId) {
        if self.fleet.operator.waiting() >= MOST_CALLS {
            return;
        }
        if self.world().chance(0.6) {
            self.bring(Some(node));
        } else {
            self.read_at(node);
        }
    }

    /// Messages between coordinators come twice or out of order for a while.
    fn begin_disorder(&mut self) {
        let late = self.draw(LATE);
        let (doubled, overtaken) = if self.world().chance(0.5) { (0.15, 0.05) } else { (0.05, 0.15) };
        self.tell(format!(
            "messages come twice ({doubled}) or out of order ({overtaken}), up to {late} ms late"
        ));
        self.links_well = false;
        self.world().network.set_disorder(Disorder { doubled, overtaken, late });
        let until = self.later(Ending::Disorder);
        self.endings.push((until + late, Ending::Links));
    }

    /// Links are reset: what is on its way is lost.
    fn reset_some(&mut self) {
        let coordinators = self.fleet.coordinators();
        for _ in 0..self.draw(1..=6) {
            let (from, to) = (self.pick(&coordinators), self.pick(&coordinators));
            if let (Some(from), Some(to)) = (from, to) {
                self.tell(format!("link from {from} to {to} is reset"));
                self.fleet.reset_link(from, to);
            }
        }
    }

    /// Answers to polls are late.
    fn delay_polls(&mut self) {
        let edges = self.fleet.edges();
        let Some(edge) = self.pick(&edges) else { return };
        self.tell(format!("answers to polls of {edge} are late"));
        self.links_well = false;
        for node in self.fleet.coordinators() {
            self.world().network.set_special((node, edge), Conditions { delay: 1..=LATE_POLL, loss: 0.0 });
        }
        self.fleet.world.touch.disturb(self.fleet.world.now, edge);
        let until = self.fleet.world.now + self.draw(50..=2_500);
        self.endings.push((until, Ending::Links));
    }

    /// A server ends and starts again at the same address, while requests and orders are on their way to it.
    fn restart_server(&mut self) {
        let servers = self.fleet.servers();
        let Some(node) = self.pick(&servers) else { return };
        let service = self.fleet.server(node).map(|server| server.service().to_owned()).unwrap_or_default();
        self.ask_for_models();
        let pause = self.draw(0..=300);
        self.fleet.run(pause);
        self.tell(format!("server {node} starts again at its address"));
        self.fleet.crash_server(node);
        let pause = self.draw(0..=30);
        self.fleet.run(pause);
        let id = self.fleet.start_server(node, &service, Vec::new());
        self.tell(format!("server {node} is {id}"));
    }

    /// The holder of orders is lost while orders are on their way, which are late.
    fn disturb_holder(&mut self) {
        let now = self.fleet.world.now;
        self.lost.retain(|_, until| *until > now);
        let shard = self.draw(1..=2) as u32;
        let holder = self.fleet.leader_of(shard).filter(|_| self.lost.is_empty());
        let Some(holder) = holder else { return };
        self.links_well = false;
        for server in self.fleet.servers() {
            self.world()
                .network
                .set_special((holder, server), Conditions { delay: 1..=LATE_ORDER, loss: 0.0 });
        }
        self.endings.push((now + 6_000, Ending::Links));
        let orders = self.fleet.world.witness.orders.len();
        self.ask_for_models();
        self.fleet.run_until(600, |fleet| fleet.world.witness.orders.len() > orders);
        self.tell(format!("{holder}, the holder of orders, is lost"));
        let until = self.fleet.world.now + self.draw(50..=5_000);
        match self.draw(0..=3) {
            0 => {
                self.fleet.kill(holder);
                self.endings.push((until, Ending::Start(holder)));
            }
            1 => {
                self.fleet.lose_power(holder);
                self.endings.push((until, Ending::Start(holder)));
            }
            2 => {
                self.fleet.freeze(holder);
                self.endings.push((until, Ending::Thaw(holder)));
            }
            _ => {
                let mut cuts = Vec::new();
                for other in self.coordinators_but(&[holder]) {
                    cuts.extend([(holder, other), (other, holder)]);
                }
                for (from, to) in &cuts {
                    self.fleet.cut_one_way(*from, *to, true);
                }
                self.endings.push((until, Ending::Join(cuts)));
            }
        }
        self.lost.insert(holder, until + SYNC);
        for _ in 0..6 {
            self.ask_for_models();
            let pause = self.draw(100..=900);
            self.go_on(pause);
        }
    }
}
