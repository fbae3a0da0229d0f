//! A further loss within a message's delay of the moment at which the cores count the one before as repaired.

use shaletrail_protocol::{Millis, NodeId};

use super::{Ending, History};
use crate::coordinator::Coordinator;
use crate::site;
use crate::Fleet;

/// Losses of a history, one after the other.
const LOSSES: std::ops::RangeInclusive<u64> = 2..=5;
/// Within which a loss must be repaired.
const REPAIRED_WITHIN: Millis = 15_000;
/// How long a machine is away.
const AWAY: std::ops::RangeInclusive<Millis> = 1..=1_500;
/// From the moment of the repair to the next loss.
const STRIKES_WITHIN: std::ops::RangeInclusive<Millis> = 0..=4;
/// How long a coordinator that is told to end goes on.
const FAREWELL: Millis = 400;

/// How a machine is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Without power for a while.
    Power,
    /// Without power, and back with an empty disk.
    Disk,
    /// Killed and started again.
    Process,
    /// Told to end, then gone for good; another one replaces it.
    Leaving,
    /// Gone for good without a word; another one replaces it.
    Machine,
    /// Another one joins first, by seeds that may name this machine only.
    Planned,
    /// Cut off from all others, with an empty disk when it is back.
    CutOff,
}

const LOSSES_KNOWN: [Loss; 9] = [
    Loss::Power,
    Loss::Disk,
    Loss::Disk,
    Loss::Process,
    Loss::Leaving,
    Loss::Machine,
    Loss::Machine,
    Loss::Planned,
    Loss::CutOff,
];

impl History {
    pub(super) fn play_losses(&mut self) {
        let losses = self.draw(LOSSES);
        for _ in 0..losses {
            self.await_repair();
            // A change that is on its way, or was just acknowledged.
            let change = self.bring(None);
            let wait = self.world().chance(0.5);
            if let Some(change) = change.filter(|_| wait) {
                self.await_answer(change, 500);
                // As long as nobody takes that long, the repair has not been undone.
                self.await_repair();
            }
            let wait = self.draw(STRIKES_WITHIN);
            self.fleet.run(wait);
            self.lose_some();
        }
        self.await_repair();
    }

    /// Waits until the cores count themselves as whole, while changes come.
    fn await_repair(&mut self) {
        let end = self.fleet.world.now + REPAIRED_WITHIN;
        loop {
            let step = self.draw(20..=250);
            if self.fleet.run_until(step, is_whole) {
                return;
            }
            self.end_what_is_due();
            if self.fleet.operator.waiting() < 3 {
                let coordinators = self.fleet.coordinators();
                let node = self.pick(&coordinators);
                self.bring(node);
            }
            self.strike_newcomer();
            assert!(self.fleet.world.now < end, "not repaired in time\n{}", self.fleet.describe());
        }
    }

    /// A newcomer is lost while the voters are being changed: it may lose what it has as often as it likes.
    fn strike_newcomer(&mut self) {
        let newest = self.fleet.coordinators().last().copied();
        let (Some(leader), Some(newest)) = (self.fleet.leader(), newest) else { return };
        let changing = self.fleet.coordinator(leader).is_some_and(is_changing_voters);
        let is_newcomer = newest.0 >= site::coordinator(self.fleet.options.coordinators).0;
        if changing && is_newcomer && newest != leader && self.world().chance(0.3) {
            self.tell(format!("{newest} is wiped while it joins"));
            self.fleet.lose_power(newest);
            self.fleet.wipe(newest);
            self.fleet.start(newest);
        }
    }

    /// As many machines are lost at once as may be.
    fn lose_some(&mut self) {
        let most = u64::from(self.fleet.options.hosts_lost);
        let count = self.draw(1..=most);
        let mut chosen = Vec::new();
        for _ in 0..count {
            let left = self.coordinators_but(&chosen);
            let Some(node) = self.leader_or_any(&left, 0.4) else { return };
            chosen.push(node);
        }
        for node in chosen {
            let loss = self.pick(&LOSSES_KNOWN).unwrap_or(Loss::Power);
            self.tell(format!("{node} is lost: {loss:?}"));
            self.lose(node, loss);
            let apart = self.draw(0..=3);
            self.fleet.run(apart);
        }
    }

    fn lose(&mut self, node: NodeId, loss: Loss) {
        let back = self.fleet.world.now + self.draw(AWAY);
        match loss {
            Loss::Power => {
                self.fleet.lose_power(node);
                self.endings.push((back, Ending::Start(node)));
            }
            Loss::Disk => {
                self.fleet.lose_power(node);
                self.fleet.wipe(node);
                self.endings.push((back, Ending::Start(node)));
            }
            Loss::Process => {
                self.fleet.kill(node);
                self.endings.push((back, Ending::Start(node)));
            }
            Loss::Leaving => {
                self.fleet.terminate(node);
                let wait = self.draw(0..=FAREWELL);
                self.fleet.run(wait);
                self.fleet.remove_coordinator(node);
                self.endings.push((back, Ending::Successor));
            }
            Loss::Machine => {
                self.fleet.remove_coordinator(node);
                self.endings.push((back, Ending::Successor));
            }
            Loss::Planned => {
                self.join_by_seeds_of(node);
                let wait = self.draw(0..=1_500);
                self.fleet.run(wait);
                self.fleet.terminate(node);
                let wait = self.draw(0..=FAREWELL);
                self.fleet.run(wait);
                self.fleet.remove_coordinator(node);
            }
            Loss::CutOff => {
                let cuts: Vec<(NodeId, NodeId)> = self
                    .coordinators_but(&[node])
                    .into_iter()
                    .flat_map(|other| [(node, other), (other, node)])
                    .collect();
                for (from, to) in &cuts {
                    self.fleet.cut_one_way(*from, *to, true);
                }
                self.endings.push((back, Ending::Join(cuts)));
            }
        }
    }

    /// A machine joins by seeds that name one machine only, or by the usual ones.
    fn join_by_seeds_of(&mut self, seed: NodeId) {
        if self.world().chance(0.5) {
            return self.join_successor();
        }
        let node = site::coordinator(self.coordinators_made);
        self.coordinators_made += 1;
        self.tell(format!("{node} joins by {seed}"));
        self.fleet.join_coordinator_by(node, vec![seed]);
    }
}

fn is_changing_voters(coordinator: &Coordinator) -> bool {
    let shards = coordinator.core().shards();
    shards.numbers().filter_map(|number| shards.get(number)).any(|shard| shard.replica.is_changing_voters())
}

/// Whether the cores count all shards as whole: as many voters as wanted, none being changed, each of them counted by its
/// leader and in possession of all that is committed.
pub fn is_whole(fleet: &Fleet) -> bool {
    let Some(any) = fleet.coordinators().into_iter().find_map(|node| fleet.coordinator(node)) else {
        return false;
    };
    any.core().shards().numbers().all(|number| is_shard_whole(fleet, number))
}

fn is_shard_whole(fleet: &Fleet, number: u32) -> bool {
    let replica_of = |node| Some(&fleet.coordinator(node)?.core().shards().get(number)?.replica);
    let Some((leader, replica)) = fleet.leader_of(number).and_then(|node| Some((node, replica_of(node)?)))
    else {
        return false;
    };
    let voters: Vec<NodeId> = replica.voters().members().collect();
    let serving = fleet.coordinators();
    let holds_all = |node: &NodeId| {
        let peer = replica.peer(*node);
        *node == leader || peer.is_some_and(|peer| peer.counts && peer.matched >= replica.commit_index())
    };
    let follows = |node: &NodeId| {
        replica_of(*node).is_some_and(|other| other.term() == replica.term() && !other.is_forgetful())
    };
    !replica.is_changing_voters()
        && voters.len() == 2 * fleet.options.hosts_lost as usize + 1
        && voters.iter().all(|node| serving.contains(node) && !fleet.is_frozen(*node))
        && voters.iter().all(|node| follows(node) && holds_all(node))
}
