//! The replicated state of a service shard: which node last acquired the lease to order the shard's servers, and whether
//! that node has waited until orders of the previous holder can no longer arrive.
//!
//! Commands and snapshots are encoded by position (bitcode): no field or variant may be moved, added or removed.

use shaletrail_protocol::NodeId;

/// A holder of a shard's order lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct LeaseHolder {
    /// The node that leads the shard.
    pub node: NodeId,
    /// The term in which it leads the shard, so that the token rises with each holder.
    pub fencing_token: u64,
}

/// A command in the log of a service shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
enum Command {
    /// A new leader acquires the lease.
    Acquire(LeaseHolder),
    /// The holder has waited until the orders of the previous one are over: it sends orders from now on.
    WaitCompleted(LeaseHolder),
}

/// The state machine of a service shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct LeaseState {
    holder: Option<LeaseHolder>,
    /// Whether no other node's orders may be less than a lease old. A holder that acquires the lease again before its
    /// wait is complete has to wait like one that follows another node.
    wait_completed: bool,
}

/// The time during which one holder has the lease, from the entry by which it acquired the lease to the next holder's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseEpoch {
    /// The node that holds the lease in this epoch.
    pub holder: LeaseHolder,
    /// The holder of the epoch before, if there was one.
    pub previous_holder: Option<LeaseHolder>,
    /// Whether another node's orders may be less than a lease old, so that the holder must wait before it sends any.
    pub must_wait: bool,
}

impl LeaseState {
    /// The encoded command by which a leader acquires the lease.
    pub fn acquire_command(holder: LeaseHolder) -> Vec<u8> {
        bitcode::encode(&Command::Acquire(holder))
    }

    /// The encoded command by which a holder records that its wait is complete.
    pub fn wait_completed_command(holder: LeaseHolder) -> Vec<u8> {
        bitcode::encode(&Command::WaitCompleted(holder))
    }

    /// Applies a committed command. The epoch that it starts; `None` if it starts none, because a later one has started
    /// already or the command cannot be decoded.
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

    /// The holder of the newest epoch.
    pub fn holder(&self) -> Option<LeaseHolder> {
        self.holder
    }

    /// Whether the holder of the newest epoch has no other node's orders left to wait for.
    pub fn is_wait_completed(&self) -> bool {
        self.wait_completed
    }

    /// The encoded state.
    pub fn snapshot(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    /// Decodes a state; `None` if the bytes are not one.
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        bitcode::decode(bytes).ok()
    }
}
