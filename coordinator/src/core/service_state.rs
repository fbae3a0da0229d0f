//! The replicated state of a service shard: which node last held the right to order the services' servers, and
//! whether it had waited for the orders of the holder before it.

use shaletrail_protocol::NodeId;

/// A holder of the right to order, with its fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct LeaseHolder {
    /// The node.
    pub node: NodeId,
    /// Its fence: the term in which it leads the shard, so that it rises with each holder.
    pub fence: u64,
}

/// An entry of a service shard's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
enum Command {
    /// A holder's turn begins.
    Begin(LeaseHolder),
    /// The holder has waited until the orders of the one before it are over: it orders from now on.
    Waited(LeaseHolder),
}

/// The state machine of a service shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct ServiceState {
    holder: Option<LeaseHolder>,
    /// Whether no other node's orders may be less than a lease old. A holder that was replaced by itself before it had
    /// waited has to wait like one that follows another node.
    waited: bool,
}

/// A turn that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Who holds the right now.
    pub holder: LeaseHolder,
    /// Who held it before.
    pub previous: Option<LeaseHolder>,
    /// Whether another node's orders may be less than a lease old.
    pub must_wait: bool,
}

impl ServiceState {
    /// The command that begins a holder's turn.
    pub fn command(holder: LeaseHolder) -> Vec<u8> {
        bitcode::encode(&Command::Begin(holder))
    }

    /// The command by which a holder tells that it has waited.
    pub fn waited_command(holder: LeaseHolder) -> Vec<u8> {
        bitcode::encode(&Command::Waited(holder))
    }

    /// Applies a command; `None` if it begins no turn, as a later one has begun.
    pub fn apply(&mut self, command: &[u8]) -> Option<Turn> {
        match bitcode::decode(command).ok()? {
            Command::Begin(holder) => self.begin(holder),
            Command::Waited(holder) => {
                self.waited |= self.holder == Some(holder);
                None
            }
        }
    }

    fn begin(&mut self, holder: LeaseHolder) -> Option<Turn> {
        let previous = self.holder;
        if previous.is_some_and(|previous| previous.fence >= holder.fence) {
            return None;
        }
        self.holder = Some(holder);
        self.waited = match previous {
            None => true,
            Some(previous) => previous.node == holder.node && self.waited,
        };
        Some(Turn { holder, previous, must_wait: !self.waited })
    }

    /// Who began the last turn.
    pub fn holder(&self) -> Option<LeaseHolder> {
        self.holder
    }

    /// Whether the last holder had no other node's orders to wait for any more.
    pub fn has_waited(&self) -> bool {
        self.waited
    }

    /// The state in bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    /// The state from bytes; an unreadable one counts as none.
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        bitcode::decode(bytes).ok()
    }
}
