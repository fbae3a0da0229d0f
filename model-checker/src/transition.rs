//! Transitions between states of the group, and how many of each kind a path may hold.

use shaletrail_protocol::NodeId;

use crate::config_changes::ChangeId;

/// How many transitions of each kind a path may hold. Deliveries and syncs are not limited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FaultBudget {
    /// Messages that are delivered twice.
    pub duplicates: u8,
    /// Crashes of processes.
    pub crashes: u8,
    /// Losses of a disk, of which only one at a time is not repaired.
    pub disk_losses: u8,
    /// Ticks of nodes that don't lead: election time-outs.
    pub election_timeouts: u8,
    /// Ticks of leaders: heartbeats, or the loss of leadership.
    pub leader_ticks: u8,
    /// Advances of the clock by [`FaultBudget::clock_advance_ms`].
    pub clock_advances: u8,
    /// How far the clock advances at once, in milliseconds.
    pub clock_advance_ms: u16,
    /// Transfers of leadership.
    pub leadership_transfers: u8,
    /// Changes of voters.
    pub voter_changes: u8,
    /// Reads by operators.
    pub reads: u8,
    /// Changes that operators may still propose, as a bit for each id: see [`Transition::Propose`].
    pub proposals: u8,
}

/// A transition from one state of the group to the next.
#[derive(Clone, Debug)]
pub enum Transition {
    /// A message arrives, by its position among those in flight.
    Deliver(usize),
    /// A message arrives and will arrive once more.
    DeliverAndKeep(usize),
    /// The oldest pending sync of a node completes.
    Sync(NodeId),
    /// A node does what is due.
    Tick(NodeId),
    /// The clock advances.
    AdvanceClock,
    /// A process loses what wasn't synced and starts again.
    Crash {
        /// The node of the process.
        node: NodeId,
        /// Whether the first record of the pending sync is kept.
        torn_write: bool,
    },
    /// A node loses its disk and starts again.
    LoseDisk(NodeId),
    /// A leader transfers its leadership.
    TransferLeadership(NodeId),
    /// A leader replaces the third founder by the learner.
    ChangeVoters(NodeId),
    /// An operator proposes a change to a leader.
    Propose {
        /// The leader that gets the proposal.
        node: NodeId,
        /// The change, by its bit in [`FaultBudget::proposals`].
        change: ChangeId,
    },
    /// An operator reads from a leader.
    Read(NodeId),
}

impl FaultBudget {
    /// Takes a transition out of the budget.
    pub(crate) fn spend(&mut self, transition: &Transition, is_leader: impl Fn(NodeId) -> bool) {
        match transition {
            Transition::Deliver(_) | Transition::Sync(_) => {}
            Transition::DeliverAndKeep(_) => self.duplicates -= 1,
            Transition::Tick(node) if is_leader(*node) => self.leader_ticks -= 1,
            Transition::Tick(_) => self.election_timeouts -= 1,
            Transition::AdvanceClock => self.clock_advances -= 1,
            Transition::Crash { .. } => self.crashes -= 1,
            Transition::LoseDisk(_) => self.disk_losses -= 1,
            Transition::TransferLeadership(_) => self.leadership_transfers -= 1,
            Transition::ChangeVoters(_) => self.voter_changes -= 1,
            Transition::Propose { change, .. } => self.proposals &= !(1 << change),
            Transition::Read(_) => self.reads -= 1,
        }
    }
}
