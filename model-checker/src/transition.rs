//! Transitions between states of the group, and the budget that limits how many of each kind occur on a path.

use shaletrail_protocol::NodeId;

use crate::config_changes::ChangeId;

/// How many more transitions of each kind a path may contain. Deliveries and syncs are unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FaultBudget {
    /// Messages that may be delivered a second time.
    pub duplicates: u8,
    /// Process crashes.
    pub crashes: u8,
    /// Disk losses. A second node can lose its disk only after the first has recovered.
    pub disk_losses: u8,
    /// Ticks of nodes that do not lead, which start elections.
    pub election_timeouts: u8,
    /// Ticks of leaders, which send heartbeats or end the leadership.
    pub leader_ticks: u8,
    /// Advances of the clock by [`FaultBudget::clock_advance_ms`].
    pub clock_advances: u8,
    /// The duration of one clock advance, in milliseconds.
    pub clock_advance_ms: u16,
    /// Leadership transfers.
    pub leadership_transfers: u8,
    /// Voter changes.
    pub voter_changes: u8,
    /// Reads started by operators.
    pub reads: u8,
    /// Bit set of the change ids that operators may still propose; see [`Transition::Propose`].
    pub proposals: u8,
}

/// A transition from one state of the group to the next.
#[derive(Clone, Debug)]
pub enum Transition {
    /// Delivers the message at this index among those in flight.
    Deliver(usize),
    /// Delivers the message at this index and leaves a duplicate in flight.
    DeliverAndDuplicate(usize),
    /// The oldest pending sync of a node completes.
    Sync(NodeId),
    /// A node runs its timers.
    Tick(NodeId),
    /// The clock advances.
    AdvanceClock,
    /// A process loses all records that are not synced and restarts.
    Crash {
        /// The node whose process crashes.
        node: NodeId,
        /// Whether the first record of the pending write survives.
        torn_write: bool,
    },
    /// A node loses its disk and restarts with an empty one.
    LoseDisk(NodeId),
    /// A leader transfers its leadership.
    TransferLeadership(NodeId),
    /// A leader replaces the third initial voter with the learner.
    ChangeVoters(NodeId),
    /// An operator proposes a change to a leader.
    Propose {
        /// The leader that receives the proposal.
        node: NodeId,
        /// The id of the change, which is its bit number in [`FaultBudget::proposals`].
        change: ChangeId,
    },
    /// An operator reads from a leader.
    Read(NodeId),
}

impl FaultBudget {
    /// Deducts a transition from the budget.
    pub(crate) fn spend(&mut self, transition: &Transition, is_leader: impl Fn(NodeId) -> bool) {
        match transition {
            Transition::Deliver(_) | Transition::Sync(_) => {}
            Transition::DeliverAndDuplicate(_) => self.duplicates -= 1,
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
