//! Tracks the newest incoming connection of each peer, which is the only one whose messages are handled.
//!
//! A peer writes on one connection at a time. Bytes that still arrive on an earlier connection come from an earlier
//! run of its process, or were written before it reconnected. They are not handled once the handshake of the later
//! connection has been read.

use std::collections::HashMap;

use shaletrail_protocol::NodeId;

/// Maximum number of peers that are tracked; far more than the possible number of coordinators.
const MAX_PEERS: usize = 256;

/// Numbers accepted connections in the order in which they were accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionNumber(u64);

/// The newest accepted connection of each peer.
#[derive(Debug, Default)]
pub struct PeerSessions {
    accepted: u64,
    newest: HashMap<NodeId, SessionNumber>,
}

impl PeerSessions {
    /// Assigns a number to a connection that has been accepted.
    pub fn accept(&mut self) -> SessionNumber {
        self.accepted += 1;
        SessionNumber(self.accepted)
    }

    /// Records that the handshake of a connection names this peer. Returns whether this is the peer's newest
    /// connection. If it is, earlier connections of the peer are no longer current.
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
