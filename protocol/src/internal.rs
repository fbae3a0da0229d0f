//! What the nodes speak among themselves: bitcode in length-prefixed frames over TCP, on the first of the
//! ephemeral ports of each coordinator.
//!
//! Edges poll one coordinator ([`EdgeRequest::Poll`]); coordinators keep one connection to each other, over
//! which each sends [`CoordinatorMessage`]s one way.

use bitcode::{Decode, Encode};

use crate::external::{Heartbeat, LoadedModel};
use crate::{Incarnation, NodeId, ServerId};

/// The first frame on a connection: who calls.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Handshake {
    /// A data-plane node, about to poll.
    Edge(EdgeIdentity),
    /// A coordinator, about to send [`CoordinatorMessage`]s.
    Coordinator {
        /// The machine.
        node: NodeId,
        /// This start of its process.
        incarnation: Incarnation,
    },
}

/// A data-plane node as it introduces itself.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct EdgeIdentity {
    /// The machine.
    pub node: NodeId,
    /// This start of its process.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: String,
}

/// Where an edge stands in one coordinator's directory of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DirectoryCursor {
    /// The coordinator's start that numbered the changes; another start numbers anew.
    pub epoch: Incarnation,
    /// The newest change seen.
    pub revision: u64,
}

/// A long poll: answered at once where there is news, otherwise after `max_wait_ms`.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct PollRequest {
    /// The configuration in force at the edge; 0 if none.
    pub config_version: u64,
    /// What the edge knows of the directory.
    pub cursor: DirectoryCursor,
    /// How long the answer may be held, in milliseconds.
    pub max_wait_ms: u32,
    /// Demand seen since the last poll.
    pub demand: Vec<Demand>,
    /// What the edge found out about servers since the last poll.
    pub server_outcomes: Vec<ServerOutcomes>,
    /// The list of edges that it knows, as `PollResponse::edge_list`.
    pub edge_list_hash: u64,
}

/// Requests for one model (and adapter) that an edge took since its last report.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Demand {
    /// The service.
    pub service: String,
    /// The model; empty for services without models.
    pub model: String,
    /// The adapter, if one was asked for.
    pub adapter: Option<String>,
    /// Requests that arrived.
    pub arrived: u32,
    /// Tokens that they brought and asked for, output counted tenfold.
    pub tokens: u64,
    /// The most urgent rank among them (0 first).
    pub priority: u8,
    /// Requests that wait at this moment because no server holds what they ask for.
    pub queued: u32,
    /// Requests that were refused or found every holder at its cap.
    pub over_capacity: u32,
    /// Requests open at servers at this moment.
    pub in_flight: u32,
}

/// What an edge concluded about a server from its answers.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ServerOutcomes {
    /// The server.
    pub server: ServerId,
    /// Attempts that ended well since the last report.
    pub succeeded: u32,
    /// Attempts that failed by the server's doing.
    pub failed: u32,
    /// Attempts that found nobody at its address, or another instance.
    pub unreachable: u32,
}

/// What one edge has under way at one server, as it tells the other edges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EdgeServerLoad {
    /// Hash of the server's id (`shaletrail_ring::hash_of_name`).
    pub server: u64,
    /// Requests that are open there.
    pub in_flight: u16,
    /// Prompt tokens of those whose answer has not begun.
    pub prefill_tokens: u32,
    /// Requests have been waiting there for long without any sign of life of the server.
    pub unresponsive: bool,
}

/// Whose requests the shares of a datagram count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum LoadScope {
    /// The sender's own.
    #[default]
    Own,
    /// Those of all edges of the sender's group, told among the groups' relays.
    Group,
    /// Those of all edges, told by a relay to its group.
    Fleet,
}

/// A datagram from one edge to others: shares that have changed, or that are told anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EdgeLoadReport {
    /// The sender.
    pub edge: NodeId,
    /// This start of its process.
    pub incarnation: Incarnation,
    /// Rises with each datagram of one incarnation.
    pub sequence: u64,
    /// Whose requests the shares count.
    pub scope: LoadScope,
    /// Its shares, each replacing what it told of that server before in that scope.
    pub loads: Vec<EdgeServerLoad>,
}

/// What an edge may send after its [`Handshake`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum EdgeRequest {
    /// Ask for news.
    Poll(PollRequest),
    /// Demand that cannot wait for the next poll; needs no answer and may be sent while a poll is held.
    Report {
        /// Demand seen since the last report.
        demand: Vec<Demand>,
    },
    /// The edge's process is about to end.
    Leave,
}

/// Answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct PollResponse {
    /// News of the configuration, if there is any.
    pub config: Option<ConfigUpdate>,
    /// Servers that changed after the request's cursor, or all of them where `whole` is set.
    pub servers: Vec<ServerRecord>,
    /// Whether `servers` is the whole directory.
    pub complete: bool,
    /// Where the edge now stands.
    pub cursor: DirectoryCursor,
    /// The coordinators as this one knows them, itself among them.
    pub coordinators: Vec<NodeId>,
    /// Data-plane nodes that the coordinators know to be at work; 0 if unknown.
    pub edge_count: u32,
    /// Those nodes, where they differ from the list that the request names and are few enough to be told.
    pub edge_nodes: Option<Vec<NodeId>>,
    /// Names the list of these nodes: a hash of it.
    pub edge_list_hash: u64,
    /// This coordinator has lost touch with the majority, or is behind: ask another.
    pub isolated: bool,
}

/// A configuration on its way to an edge: whole, or what changed since `base`.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigUpdate {
    /// The version that this builds on; `None` for a whole configuration.
    pub base: Option<u64>,
    /// The version that it makes.
    pub version: u64,
    /// Items added or replaced.
    pub upsert: Vec<ConfigItem>,
    /// Items removed.
    pub remove: Vec<ItemKey>,
}

/// Names an item of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ItemKey {
    /// The list it stands in (`routes`, `services`), or the key of a value that is no list of named items.
    pub list: String,
    /// Its `name`; empty for a value that is no list of named items.
    pub name: String,
}

/// One item of a configuration, as the operator wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ConfigItem {
    /// Its place.
    pub key: ItemKey,
    /// Its JSON.
    pub json: String,
}

/// How the coordinators see a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode, strum::Display)]
pub enum Presence {
    /// Its heartbeats arrive and it takes requests.
    #[default]
    Ready,
    /// It has said that it leaves. Final for this start of the server.
    Draining,
    /// Its heartbeats have stopped; they may come back.
    TimedOut,
    /// It has deregistered, or its address has another server. Final.
    Removed,
}

/// A server as the coordinators know it.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ServerRecord {
    /// This start of the server.
    pub id: ServerId,
    /// What it last said; `heartbeat.sequence` orders records of one id.
    pub heartbeat: Heartbeat,
    /// How it is seen.
    pub presence: Presence,
    /// What its orders change about what it last said that it holds.
    pub overlay: PlacementOverlay,
}

impl ServerRecord {
    /// Whether requests for a model, and one of its adapters, may be sent there by what is known of its contents.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        let said = || self.heartbeat.models.iter().flatten();
        if self.overlay.evicting.iter().any(|gone| holds(gone, model, adapter)) {
            return false;
        }
        let there = said().chain(&self.overlay.added).any(|held| held.name == model);
        let named = |adapter: &str| {
            let on_model = said().chain(&self.overlay.added).filter(|held| held.name == model);
            on_model.flat_map(|held| &held.adapters).any(|held| held == adapter)
        };
        there && adapter.is_none_or(named)
    }
}

/// Whether an entry of a note stands for a model, or for one of its adapters. An entry without adapters stands for
/// the whole model.
fn holds(entry: &LoadedModel, model: &str, adapter: Option<&str>) -> bool {
    entry.name == model
        && (entry.adapters.is_empty()
            || adapter.is_some_and(|adapter| entry.adapters.iter().any(|held| held == adapter)))
}

/// What the holder of a server's orders knows of its contents beyond its last heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct PlacementOverlay {
    /// The holder's fence; notes of a higher one replace those of a lower one.
    pub fencing_token: u64,
    /// Rises with each note of a holder on this server.
    pub revision: u64,
    /// Models, with adapters, that are there though no heartbeat has said so.
    pub added: Vec<LoadedModel>,
    /// What is about to be dropped: whole models where no adapters are named, else those adapters.
    pub evicting: Vec<LoadedModel>,
}

impl PlacementOverlay {
    /// Whether it is later than another one on the same server.
    pub fn is_later_than(&self, other: &PlacementOverlay) -> bool {
        (self.fencing_token, self.revision) > (other.fencing_token, other.revision)
    }
}

/// What one coordinator sends another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum CoordinatorMessage {
    /// Who is there.
    Membership(MembershipMessage),
    /// Agreement of one shard; the body is a `shaletrail_consensus::Message` in bitcode.
    Shard {
        /// The shard.
        shard: u32,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// Servers that changed or live on; the body is a `shaletrail_cluster::directory::DirectoryMessage` in bitcode.
    Directory {
        /// The encoded message.
        body: Vec<u8>,
    },
    /// A directory batch of the receiver has been taken over.
    DirectoryAck {
        /// The batch.
        batch: u64,
    },
    /// A change of the configuration that belongs to the leader of the configuration's shard.
    ForwardRequest {
        /// Names the call at the sender.
        call_id: u64,
        /// The change.
        call: OperatorCall,
    },
    /// Answer to `Forward`.
    ForwardResponse {
        /// The call.
        call_id: u64,
        /// How it ended.
        response: OperatorResponse,
    },
    /// Demand that edges have reported to the sender, for the owners of orders.
    Demand {
        /// Milliseconds over which it was gathered.
        window_ms: u32,
        /// Edges that are at work at the sender.
        edges: Vec<NodeId>,
        /// What they reported.
        reports: Vec<EdgeReport>,
    },
    /// The configuration that is in force at the sender, so that the receiver can tell whether it is behind.
    AppliedConfigVersion {
        /// Its version.
        version: u64,
    },
}

/// What one edge reported over a span.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct EdgeReport {
    /// The edge.
    pub edge: NodeId,
    /// Demand that it saw.
    pub demand: Vec<Demand>,
    /// What it found out about servers.
    pub server_outcomes: Vec<ServerOutcomes>,
}

/// Messages of the membership protocol among coordinators.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum MembershipMessage {
    /// Are you there? Carries what the sender knows.
    Ping {
        /// Echoed by the answer.
        sequence_number: u64,
        /// Members known to the sender.
        members: Vec<MemberRecord>,
    },
    /// I am.
    Ack {
        /// Of the ping.
        sequence_number: u64,
        /// Members known to the sender.
        members: Vec<MemberRecord>,
    },
}

/// A coordinator as another one knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct MemberRecord {
    /// The machine.
    pub node: NodeId,
    /// This start of its process; 0 while it is known from seeds only.
    pub incarnation: Incarnation,
    /// Raised by the member itself to refute a suspicion.
    pub refutation: u64,
    /// How it is seen.
    pub state: MemberState,
}

/// How a coordinator is seen by the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, strum::Display)]
pub enum MemberState {
    /// Answers.
    #[default]
    Alive,
    /// Has missed answers; may refute.
    Suspect,
    /// Taken to be away.
    Dead,
}

/// A call of the operator, handed on inside.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum OperatorCall {
    /// `POST /Config.Replace` or `/Config.Update`.
    Change {
        /// Whether the body replaces the whole configuration.
        replace: bool,
        /// `Base-Version`.
        base_version: u64,
        /// The body as it came.
        body: Vec<u8>,
    },
    /// `GET /Config.Read`.
    Read,
}

/// How a call of the operator ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum OperatorResponse {
    /// Acknowledged; the body for a read.
    Done {
        /// JSON.
        body: Vec<u8>,
    },
    /// Another version is current.
    Conflict {
        /// The current version.
        current_version: u64,
    },
    /// The configuration cannot be taken.
    Invalid {
        /// What is wrong, naming item and field.
        reason: String,
    },
    /// No clear answer: ask again, perhaps elsewhere.
    Unavailable,
}
