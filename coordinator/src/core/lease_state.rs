//! The replicated state of a service shard: which node last acquired the order lease, and whether that node has waited
//! until orders of the previous holder can no longer arrive. Only the holder of a shard's order lease may send orders
//! to the servers of its services.
//!
//! Commands and snapshots are encoded by position (bitcode): no field or variant may be moved, added or removed.

use shaletrail_protocol::NodeId;

/// The holder of a shard's order lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct LeaseHolder {
    /// The node that acquired the lease as the leader of the shard.
    pub node: NodeId,
    /// The term in which the node leads the shard. It increases from each holder to the next.
    pub fencing_token: u64,
}

/// A command in the log of a service shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
enum Command {
    /// Proposed by a new leader to acquire the lease.
    Acquire(LeaseHolder),
    /// Proposed by the holder once orders of the previous holder can no longer arrive and it may send its own.
    WaitCompleted(LeaseHolder),
}

/// The replicated state machine of a service shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct LeaseState {
    holder: Option<LeaseHolder>,
    /// Whether all orders of other nodes are at least one lease duration old. A holder that acquires the lease again
    /// before its wait is complete must wait again, just like a holder that follows another node.
    wait_completed: bool,
}

/// A period in which one holder has the lease: from the log entry by which it acquires the lease to that of the next
/// holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseEpoch {
    /// The node that holds the lease in this epoch, with its fencing token.
    pub holder: LeaseHolder,
    /// The holder of the preceding epoch, if there was one.
    pub previous_holder: Option<LeaseHolder>,
    /// Whether orders of another node may be less than one lease duration old, so that the holder must wait before it
    /// sends its first order.
    pub must_wait: bool,
}

impl LeaseState {
    /// Encodes the command by which a leader acquires the lease.
    pub fn acquire_command(holder: LeaseHolder) -> Vec<u8> {
        bitcode::encode(&Command::Acquire(holder))
    }

    /// Encodes the command by which a holder records that its wait is complete.
    pub fn wait_completed_command(holder: LeaseHolder) -> Vec<u8> {
        bitcode::encode(&Command::WaitCompleted(holder))
    }

    /// Applies a committed command. Returns the epoch that it starts, or `None` if the command cannot be decoded,
    /// records the end of a wait, or carries a fencing token that is not higher than the present holder's.
    pub fn apply(&mut self, command: &[u8]) -> Option<LeaseEpoch> {
        match bitcode::decode(command).ok()? {
            Command::Acquire(holder) => self.acquire(holder),
            Command::WaitCompleted(holder) => {
                self.wait_completed |= self.holder == Some(holder);
                None
            }
        }
    }

    fn acquire(&mut self, holder: LeaseHolder) -> Option<LeaseEpoch> {
        let previous_holder = self.holder;
        if previous_holder.is_some_and(|previous| previous.fencing_token >= holder.fencing_token) {
            return None;
        }
        self.holder = Some(holder);
        self.wait_completed = match previous_holder {
            None => true,
            Some(previous) => previous.node == holder.node && self.wait_completed,
        };
        Some(LeaseEpoch { holder, previous_holder, must_wait: !self.wait_completed })
    }

    /// Returns the holder of the newest epoch.
    pub fn holder(&self) -> Option<LeaseHolder> {
        self.holder
    }

    /// Returns whether the holder of the newest epoch has no orders of other nodes left to wait for.
    pub fn is_wait_completed(&self) -> bool {
        self.wait_completed
    }

    /// Encodes the state.
    pub fn snapshot(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    /// Decodes a state; `None` if the bytes cannot be decoded.
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        bitcode::decode(bytes).ok()
    }
}
