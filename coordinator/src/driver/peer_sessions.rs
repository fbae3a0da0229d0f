//! Which connection of each peer is read: the one that was accepted last.
//!
//! A peer writes on one connection at a time. Bytes that still arrive on an earlier one are of an earlier start of its process,
//! or were written before it connected anew; none of them is handled once the later handshake has been read.

use std::collections::HashMap;

use shaletrail_protocol::NodeId;

/// Peers that are remembered: far more than there can be coordinators.
const MAX_PEERS: usize = 256;

/// The number of an accepted connection, in the order of acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionNumber(u64);

/// The newest connection of each peer.
#[derive(Debug, Default)]
pub struct PeerSessions {
    accepted: u64,
    newest: HashMap<NodeId, SessionNumber>,
}

impl PeerSessions {
    /// Numbers a connection that was accepted.
    pub fn accept(&mut self) -> SessionNumber {
        self.accepted += 1;
        SessionNumber(self.accepted)
    }

    /// The handshake of a connection names this peer. Whether it is the peer's newest connection; earlier ones are not
    /// current any more then.
    pub fn open(&mut self, peer: NodeId, session: SessionNumber) -> bool {
        if self.newest.len() >= MAX_PEERS && !self.newest.contains_key(&peer) {
            return false;
        }
        let newest = self.newest.entry(peer).or_insert(session);
        *newest = (*newest).max(session);
        *newest == session
    }

    /// Whether messages of this connection are still handled.
    pub fn is_current(&self, peer: NodeId, session: SessionNumber) -> bool {
        self.newest.get(&peer) == Some(&session)
    }
}
