//! Histories that aim at one point each of what may go wrong on the control side.

use shaletrail_protocol::{Millis, NodeId};

use super::{History, Mix, MOST_CALLS};
use crate::fleet::{Fleet, FleetOptions};

/// The calm in which everything must come into service again.
const RECOVERY: Millis = 5_000;
/// Changes of a history that may be sent again, at most.
const MOST_SENT: usize = 64;

/// What a history aims at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Point {
    /// A coordinator that is cut off for long, or for less than a message takes.
    Cuts,
    /// Operators that race each other, answers that are lost, changes that come again.
    Races,
    /// A further loss right after the repair of the one before.
    Losses,
    /// Hundreds of changes with crashes at every step, and members that start again.
    Storms,
    /// Messages that come twice, late or out of order; callers that start again while their call is out.
    Calls,
}

impl Point {
    /// Its number, from 1 on.
    pub fn number(self) -> u32 {
        self as u32 + 1
    }
}

impl History {
    /// Plays a history that aims at a point, and checks it.
    ///
    /// # Panics
    /// A rule is broken, or the system doesn't come back into service.
    pub fn play_point(point: Point, seed: u64) -> Fleet {
        let large = seed % 3 == 2;
        let options = FleetOptions {
            coordinators: if large { 5 } else { 3 },
            hosts_lost: if large { 2 } else { 1 },
            disk: if seed.is_multiple_of(2) { 0..=2 } else { 3..=15 },
            seed: seed.wrapping_mul(8).wrapping_add(u64::from(point.number())),
            ..FleetOptions::default()
        };
        let coordinators = options.coordinators;
        let mut history = History::begin(Fleet::ready(options), Mix::requests_only(), coordinators);
        match point {
            Point::Cuts => history.play_cuts(),
            Point::Races => history.play_races(),
            Point::Losses => history.play_losses(),
            Point::Storms => history.play_storm(),
            Point::Calls => history.play_calls(),
        }
        history.come_to_rest(RECOVERY);
        history.fleet.check();
        history.fleet
    }

    // ---- What histories of several points do -----------------------------------------------------------

    /// A number within a range, as the length of something.
    pub(super) fn draw(&mut self, range: std::ops::RangeInclusive<Millis>) -> Millis {
        self.world().between(range)
    }

    /// The machine that leads the configuration's shard, or another one of those given.
    pub(super) fn leader_or_any(&mut self, among: &[NodeId], leader_share: f64) -> Option<NodeId> {
        let leader = self.fleet.leader().filter(|leader| among.contains(leader));
        if leader.is_some() && self.world().chance(leader_share) {
            return leader;
        }
        self.pick(among)
    }

    /// All coordinators but some.
    pub(super) fn coordinators_but(&self, not: &[NodeId]) -> Vec<NodeId> {
        self.fleet.coordinators().into_iter().filter(|node| !not.contains(node)).collect()
    }

    /// The operator brings a new change, first to a certain coordinator if one is given.
    pub(super) fn bring(&mut self, first: Option<NodeId>) -> Option<u64> {
        if self.fleet.operator.waiting() >= MOST_CALLS {
            return None;
        }
        let change = self.fleet.write();
        self.resend(change, first);
        if self.sent.len() >= MOST_SENT {
            self.sent.remove(0);
        }
        self.sent.push(change);
        Some(change)
    }

    /// The operator sends a change, perhaps not for the first time.
    pub(super) fn resend(&mut self, change: u64, first: Option<NodeId>) {
        match first {
            Some(first) => self.fleet.send_first_to(first, change),
            None => self.fleet.send(change),
        }
    }

    /// A change from before is sent again, to anybody.
    pub(super) fn resend_any(&mut self) {
        let sent = self.sent.clone();
        let coordinators = self.fleet.coordinators();
        if let (Some(change), Some(node)) = (self.pick(&sent), self.pick(&coordinators)) {
            if self.fleet.operator.waiting() < MOST_CALLS {
                self.resend(change, Some(node));
            }
        }
    }

    /// The operator reads, first at a certain coordinator.
    pub(super) fn read_at(&mut self, node: NodeId) {
        if self.fleet.operator.waiting() < MOST_CALLS {
            self.fleet.operator.read_first_at(&mut self.fleet.world, node);
        }
    }

    /// Waits until the operator has an answer to a change.
    pub(super) fn await_answer(&mut self, change: u64, limit: Millis) -> bool {
        self.fleet.run_until(limit, |fleet| fleet.world.witness.outcome(change).is_some())
    }
}
