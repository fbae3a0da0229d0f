//! Records of the directory of model servers.

use bitcode::{Decode, Encode};

use crate::external::{Heartbeat, LoadedModel};
use crate::{Incarnation, ServerId};

/// A position in one coordinator's log of changes to the directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DirectoryCursor {
    /// The run of the coordinator that assigned the revisions. Each run numbers its changes from the beginning.
    pub epoch: Incarnation,
    /// The revision of the newest change that has been received; 0 if none.
    pub revision: u64,
}

/// The availability of a server, as a coordinator sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode, strum::Display)]
pub enum Presence {
    /// Its heartbeats arrive, and it accepts requests.
    #[default]
    Ready,
    /// It has announced its shutdown. This run of the server does not become ready again.
    Draining,
    /// Its heartbeats have stopped and may resume.
    TimedOut,
    /// It has deregistered, or another server uses its address. The state is final.
    Removed,
}

/// What coordinators know about a server.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ServerRecord {
    /// The id of this run of the server.
    pub id: ServerId,
    /// The latest heartbeat. `heartbeat.sequence` orders the records of one id.
    pub heartbeat: Heartbeat,
    /// The availability of the server, as the sender sees it.
    pub presence: Presence,
    /// Changes to the loaded models that orders have made since that heartbeat.
    pub overlay: PlacementOverlay,
}

impl ServerRecord {
    /// Whether a model is loaded on the server and not about to be evicted. If `adapter` is given, this must hold for
    /// the adapter as well.
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

/// Whether an entry of an overlay applies to a model, or to the given adapter of it. An entry without adapters
/// applies to the model and all its adapters.
fn covers(entry: &LoadedModel, model: &str, adapter: Option<&str>) -> bool {
    entry.name == model
        && (entry.adapters.is_empty()
            || adapter.is_some_and(|adapter| entry.adapters.iter().any(|covered| covered == adapter)))
}

/// Changes to the models of a server that the holder of the server's order lease knows of, and that the server's
/// latest heartbeat does not contain yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct PlacementOverlay {
    /// The lease holder's fencing token. An overlay with a higher token replaces one with a lower token.
    pub fencing_token: u64,
    /// Increases with each overlay that the lease holder publishes for this server.
    pub revision: u64,
    /// Models, with their adapters, that are loaded but that no heartbeat has reported yet.
    pub added: Vec<LoadedModel>,
    /// Models that are about to be evicted. If an entry lists adapters, only these are evicted, otherwise the whole
    /// model.
    pub evicting: Vec<LoadedModel>,
}

impl PlacementOverlay {
    /// Whether this overlay is newer than another overlay for the same server.
    pub fn is_later_than(&self, other: &PlacementOverlay) -> bool {
        (self.fencing_token, self.revision) > (other.fencing_token, other.revision)
    }
}
