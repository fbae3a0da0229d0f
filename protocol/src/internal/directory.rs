//! Records of the directory of servers.

use bitcode::{Decode, Encode};

use crate::external::{Heartbeat, LoadedModel};
use crate::{Incarnation, ServerId};

/// A position in one coordinator's log of changes to the directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DirectoryCursor {
    /// The start of the coordinator whose revisions these are; another start counts anew.
    pub epoch: Incarnation,
    /// The newest change that has been received; 0 if none.
    pub revision: u64,
}

/// The state of a server as a coordinator sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode, strum::Display)]
pub enum Presence {
    /// Its heartbeats arrive and it accepts requests.
    #[default]
    Ready,
    /// It has announced its shutdown. Final for this start of the server.
    Draining,
    /// Its heartbeats have stopped, and may arrive again.
    TimedOut,
    /// It has deregistered, or another server has its address. Final.
    Removed,
}

/// A server as the coordinators know it.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ServerRecord {
    /// The start of the server.
    pub id: ServerId,
    /// Its latest heartbeat; `heartbeat.sequence` orders the records of one id.
    pub heartbeat: Heartbeat,
    /// Its state as the sender sees it.
    pub presence: Presence,
    /// What orders have changed about its models since that heartbeat.
    pub overlay: PlacementOverlay,
}

impl ServerRecord {
    /// Whether the server has a model loaded, with one of its adapters where that is given, and is not about to evict it.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        if self.overlay.evicting.iter().any(|entry| covers(entry, model, adapter)) {
            return false;
        }
        let loaded = || {
            let reported = self.heartbeat.models.iter().flatten();
            reported.chain(&self.overlay.added).filter(|entry| entry.name == model)
        };
        let has_adapter =
            |adapter: &str| loaded().flat_map(|entry| &entry.adapters).any(|loaded| loaded == adapter);
        loaded().next().is_some() && adapter.is_none_or(has_adapter)
    }
}

/// Whether an entry of an overlay stands for a model, or for one of its adapters. An entry without adapters stands for
/// the model with all of them.
fn covers(entry: &LoadedModel, model: &str, adapter: Option<&str>) -> bool {
    entry.name == model
        && (entry.adapters.is_empty()
            || adapter.is_some_and(|adapter| entry.adapters.iter().any(|covered| covered == adapter)))
}

/// What the lease holder of a server's orders knows about its models beyond its latest heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct PlacementOverlay {
    /// The lease holder's fencing token; overlays with a higher one replace those with a lower one.
    pub fencing_token: u64,
    /// Rises with each overlay of a lease holder on this server.
    pub revision: u64,
    /// Models, with adapters, that are loaded although no heartbeat has reported them yet.
    pub added: Vec<LoadedModel>,
    /// Models that are about to be evicted: the listed adapters only, or all of the model where none are listed.
    pub evicting: Vec<LoadedModel>,
}

impl PlacementOverlay {
    /// Whether it is later than another overlay on the same server.
    pub fn is_later_than(&self, other: &PlacementOverlay) -> bool {
        (self.fencing_token, self.revision) > (other.fencing_token, other.revision)
    }
}
