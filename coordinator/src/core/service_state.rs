//! The replicated state of a service shard: which node last held the right to order the services' servers.

use shaletrail_protocol::NodeId;

/// A holder of the right to order, with its fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// Its fence: the term in which it leads the shard, so that it rises with each holder.
    pub fence: u64,
}

/// The state machine of a service shard. Each command is a [`Holder`] that begins its turn.
#[derive(Clone, Debug, Default, PartialEq, Eq, bitcode::Encode, bitcode::Decode)]
pub struct ServiceState {
    holder: Option<Holder>,
}

/// A turn that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Who holds the right now.
    pub holder: Holder,
    /// Who held it before.
    pub previous: Option<Holder>,
}

impl ServiceState {
    /// The command that begins a holder's turn.
    pub fn command(holder: Holder) -> Vec<u8> {
        bitcode::encode(&holder)
    }

    /// Applies a command; `None` if it begins no turn, as a later one has begun.
    pub fn apply(&mut self, command: &[u8]) -> Option<Turn> {
        let holder: Holder = bitcode::decode(command).ok()?;
        let previous = self.holder;
        if previous.is_some_and(|previous| previous.fence >= holder.fence) {
            return None;
        }
        self.holder = Some(holder);
        Some(Turn { holder, previous })
    }

    /// Who began the last turn.
    pub fn holder(&self) -> Option<Holder> {
        self.holder
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
