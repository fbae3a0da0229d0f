//! One coordinator is cut off: from voters, edges, the operator, in both directions or one, for long or for less than
//! a message takes, while the operator, servers and edges reach either side.

use shaletrail_protocol::{Millis, NodeId};

use super::{Ending, History, SYNC};
use crate::fleet::Fleet;
use crate::network::Direction;
use crate::site;

/// How long a cut lasts.
const LONG: std::ops::RangeInclusive<Millis> = 3_000..=14_000;
/// How long a cut lasts that heals within a message's delay or two.
const SHORT: std::ops::RangeInclusive<Millis> = 1..=40;
/// How long a cut lasts about which a leader's lease ends.
const ABOUT_A_LEASE: std::ops::RangeInclusive<Millis> = 350..=1_300;
/// Between two things that happen while a cut lasts.
const BETWEEN: std::ops::RangeInclusive<Millis> = 30..=450;
/// After which a configuration that another one has superseded must not be handed out any more.
const SUPERSEDED_AFTER: Millis = 5_000;
/// Short cuts in a row, at most.
const MOST_SHORT: u64 = 6;

impl History {
    pub(super) fn play_cuts(&mut self) {
        let coordinators = self.fleet.coordinators();
        let Some(first) = self.leader_or_any(&coordinators, 0.6) else { return };
        let mut cut_off = vec![first];
        if self.fleet.options.hosts_lost > 1 && self.world().chance(0.5) {
            let others = self.coordinators_but(&cut_off);
            cut_off.extend(self.pick(&others));
        }
        if self.world().chance(0.35) {
            self.begin_hand_over(first);
        }
        if self.world().chance(0.3) {
            self.cut_shortly(&cut_off);
        }
        match self.draw(0..=7) {
            0 | 1 => return self.cut_by_and_by(),
            2 | 3 => return self.read_across_election(),
            _ => {}
        }
        if self.world().chance(0.75) {
            self.cut_for_long(&cut_off);
        } else {
            let lasts = self.draw(ABOUT_A_LEASE);
            self.cut_during(&cut_off, lasts);
        }
        let after = self.draw(300..=SYNC);
        self.go_on(after);
    }

    /// Something has the leader hand over, just before or while it is cut off.
    fn begin_hand_over(&mut self, node: NodeId) {
        match self.draw(0..=2) {
            0 => {
                self.tell(format!("{node}'s disk hangs"));
                self.fleet.set_disk_stalled(node, true);
                self.later(Ending::Disk(node));
                let wait = self.draw(380..=520);
                self.fleet.run(wait);
            }
            1 => {
                self.take_down(node, "told to end", Fleet::terminate);
                let wait = self.draw(0..=6);
                self.fleet.run(wait);
            }
            _ => {
                self.tell(format!("{node} frozen"));
                self.fleet.freeze(node);
                let wait = self.draw(1..=1_200);
                self.fleet.run(wait);
                self.tell(format!("{node} thawed"));
                self.fleet.thaw(node);
            }
        }
    }

    /// The directions that are cut.
    fn draw_cuts(&mut self, cut_off: &[NodeId]) -> Vec<Direction> {
        let way = self.draw(0..=2);
        let from = self.draw(0..=5);
        let mut others = match from {
            // From the voters only; from them and the edges; from edges and not from voters; from everybody.
            0 | 1 => self.coordinators_but(cut_off),
            2 => [self.coordinators_but(cut_off), self.fleet.edges()].concat(),
            3 => self.fleet.edges(),
            _ => [self.coordinators_but(cut_off), self.fleet.edges(), vec![site::operator()]].concat(),
        };
        if from == 5 {
            others.extend(self.fleet.servers());
        }
        if self.world().chance(0.2) && others.len() > 1 {
            // All but one of them.
            let kept = self.draw(0..=others.len() as u64 - 1) as usize;
            others.remove(kept);
        }
        let apart = cut_off.len() > 1 && self.world().chance(0.3);
        self.tell(format!("cut off: {cut_off:?}, from {others:?}, way {way}, from each other {apart}"));
        let mut cuts = Vec::new();
        for node in cut_off {
            let own: Vec<NodeId> = if apart { cut_off.to_vec() } else { Vec::new() };
            for other in others.iter().chain(&own).filter(|other| *other != node) {
                if way != 1 {
                    cuts.push((*node, *other));
                }
                if way != 2 {
                    cuts.push((*other, *node));
                }
            }
        }
        cuts
    }

    fn set_cuts(&mut self, cuts: &[Direction], cut: bool) {
        for (from, to) in cuts {
            self.fleet.cut_one_way(*from, *to, cut);
        }
    }

    fn cut_shortly(&mut self, cut_off: &[NodeId]) {
        let times = self.draw(1..=MOST_SHORT);
        for _ in 0..times {
            let cuts = self.draw_cuts(cut_off);
            self.set_cuts(&cuts, true);
            let node = cut_off[0];
            self.meet_both_sides(node);
            let lasts = self.draw(SHORT);
            self.fleet.run(lasts);
            self.set_cuts(&cuts, false);
            let pause = self.draw(0..=250);
            self.fleet.run(pause);
        }
    }

    fn cut_for_long(&mut self, cut_off: &[NodeId]) {
        let lasts = self.draw(LONG);
        self.cut_during(cut_off, lasts);
    }

    fn cut_during(&mut self, cut_off: &[NodeId], lasts: Millis) {
        let cuts = self.draw_cuts(cut_off);
        self.set_cuts(&cuts, true);
        let end = self.fleet.world.now + lasts;
        if lasts > SUPERSEDED_AFTER && self.world().chance(0.6) {
            // What the cut-off ones know is superseded long before an edge starts that reaches one of them only.
            let others = self.coordinators_but(cut_off);
            let other = self.pick(&others);
            let change = self.bring(other);
            self.go_on(1_500);
            if let Some(change) = change {
                self.await_answer(change, 1_000);
            }
            self.go_on(SUPERSEDED_AFTER - 1_500);
            self.start_edge_anew(cut_off[0], true);
        }
        while self.fleet.world.now < end {
            let node = self.pick(cut_off).unwrap_or(cut_off[0]);
            self.happen_during(node);
            let pause = self.draw(BETWEEN).min(end.saturating_sub(self.fleet.world.now));
            self.go_on(pause);
        }
        self.tell(format!("joined again: {cut_off:?}"));
        if self.world().chance(0.3) {
            // Link by link.
            for (from, to) in &cuts {
                self.fleet.cut_one_way(*from, *to, false);
                let pause = self.draw(0..=60);
                self.fleet.run(pause);
            }
        } else {
            self.set_cuts(&cuts, false);
        }
        self.meet_both_sides(cut_off[0]);
        let pause = self.draw(0..=5);
        self.fleet.run(pause);
        self.meet_both_sides(cut_off[0]);
    }

    /// A holder of orders is cut off from one voter, and as soon as another one leads, or after a while, from the answers of
    /// all, while it is asked for orders all the time.
    fn cut_by_and_by(&mut self) {
        let shard = self.draw(1..=2) as u32;
        let Some(holder) = self.fleet.leader_of(shard) else { return };
        let others = self.coordinators_but(&[holder]);
        let Some(one) = self.pick(&others) else { return };
        self.tell(format!("{holder}, the holder of orders, is cut off from {one}"));
        let mut cuts = vec![(holder, one), (one, holder)];
        self.set_cuts(&cuts, true);
        let lasts = self.draw(800..=3_000);
        let end = self.fleet.world.now + lasts;
        let replaced = move |fleet: &Fleet| fleet.leader_of(shard).is_some_and(|leader| leader != holder);
        while self.fleet.world.now < end && !self.fleet.run_until(30, replaced) {
            self.ask_for_adapters();
        }
        self.tell(format!("{holder} hears nobody any more"));
        let rest: Vec<Direction> = others.iter().map(|other| (*other, holder)).collect();
        self.set_cuts(&rest, true);
        cuts.extend(rest);
        let lasts = self.draw(3_500..=6_000);
        let end = self.fleet.world.now + lasts;
        while self.fleet.world.now < end {
            self.ask_for_adapters();
            self.go_on(30);
        }
        self.tell(format!("{holder} is joined again"));
        self.set_cuts(&cuts, false);
        let after = self.draw(300..=SYNC);
        self.go_on(after);
    }

    /// The leader is cut off or frozen until another one leads and has acknowledged a change; reads reach it all the while.
    fn read_across_election(&mut self) {
        let Some(former) = self.fleet.leader() else { return };
        let others = self.coordinators_but(&[former]);
        let freezes = self.world().chance(0.4);
        self.tell(format!("{former} leads and is cut off, or frozen: {freezes}"));
        let cuts: Vec<Direction> =
            others.iter().flat_map(|other| [(former, *other), (*other, former)]).collect();
        if freezes {
            self.fleet.freeze(former);
        } else {
            self.set_cuts(&cuts, true);
        }
        self.fleet.run_until(2_500, |fleet| fleet.leader().is_some_and(|leader| leader != former));
        let next = self.fleet.leader();
        let change = self.bring(next);
        let end = self.fleet.world.now + 900;
        while self.fleet.world.now < end {
            self.read_at(former);
            let pause = self.draw(5..=40);
            self.fleet.run(pause);
        }
        if let Some(change) = change {
            self.await_answer(change, 1_000);
        }
        self.tell(format!("{former} is back"));
        self.fleet.thaw(former);
        self.set_cuts(&cuts, false);
        for _ in 0..3 {
            self.read_at(former);
            let pause = self.draw(0..=4);
            self.fleet.run(pause);
        }
        let after = self.draw(300..=SYNC);
        self.go_on(after);
    }

    /// Adapters are asked for, for which orders are needed and done soon.
    fn ask_for_adapters(&mut self) {
        for edge in self.fleet.edges() {
            let adapter = format!("a{}", self.draw(1..=9));
            self.fleet.ask_model(edge, site::AGAIN, 0, Some(&adapter));
        }
    }

    /// The operator reaches a machine and the others at once.
    fn meet_both_sides(&mut self, node: NodeId) {
        let others = self.coordinators_but(&[node]);
        let Some(other) = self.pick(&others) else { return };
        if self.world().chance(0.5) {
            let (one, two) = (self.fleet.write(), self.fleet.write());
            self.sent.extend([one, two]);
            self.resend(one, Some(node));
            self.resend(two, Some(other));
        }
        self.read_at(node);
        self.read_at(other);
    }

    /// Something happens while a machine is cut off.
    fn happen_during(&mut self, node: NodeId) {
        match self.draw(0..=11) {
            0..=2 => self.meet_both_sides(node),
            3 => {
                let others = self.coordinators_but(&[node]);
                let other = self.pick(&others);
                self.bring(other);
            }
            4 => self.read_at(node),
            5 => self.resend_any(),
            6 => {
                let only = self.world().chance(0.5);
                self.start_edge_anew(node, only);
            }
            7 => self.trouble_edge(),
            8 | 9 => self.change_servers(),
            10 if !self.fleet.is_frozen(node) => {
                self.tell(format!("{node} frozen"));
                self.fleet.freeze(node);
                let until = self.fleet.world.now + self.draw(50..=2_500);
                self.endings.push((until, Ending::Thaw(node)));
            }
            _ => {
                let edges = self.fleet.edges();
                if let Some(edge) = self.pick(&edges) {
                    let model = self.draw(0..=5) as usize;
                    self.fleet.ask_model(edge, site::ONCE, model, None);
                }
            }
        }
    }

    /// An edge starts anew, and may reach the machine that is cut off only.
    fn start_edge_anew(&mut self, node: NodeId, only: bool) {
        let edges = self.fleet.edges();
        let Some(edge) = self.pick(&edges) else { return };
        self.tell(format!("edge {edge} starts anew, reaches {node} only: {only}"));
        if only {
            let others = self.coordinators_but(&[node]);
            let cuts: Vec<Direction> =
                others.into_iter().flat_map(|other| [(edge, other), (other, edge)]).collect();
            self.set_cuts(&cuts, true);
            self.later(Ending::Join(cuts));
        }
        self.fleet.kill(edge);
        self.fleet.start(edge);
        for _ in 0..4 {
            let pause = self.draw(1..=40);
            self.fleet.run(pause);
            self.fleet.ask_plain(edge);
        }
    }
}
