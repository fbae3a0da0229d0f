//! Sizes of what nodes keep: encoded, and in memory where the process counts its allocations.

use shaletrail_configuration::ConfigState;
use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{PollResponse, ServerRecord};
use shaletrail_routing::interface::Event;
use shaletrail_routing::{Options, Router};

use crate::fleet::Fleet;

/// Tells how many bytes are allocated at this moment.
pub type LiveBytes = fn() -> usize;

/// Encoded sizes, in bytes. Equal seeds give equal figures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EncodedState {
    /// Servers in the directory that was looked at.
    pub servers: usize,
    /// One server's record among others in an answer to a poll.
    pub record: f64,
    /// An answer with the whole directory and the whole configuration.
    pub whole_reply: usize,
    /// The configuration's snapshot, with the memory of past changes.
    pub configuration: usize,
    /// The largest journal of a coordinator.
    pub journal: usize,
}

/// Allocated bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryState {
    /// An edge's router after the run.
    pub router: usize,
    /// A router that knows the servers and nothing else.
    pub router_of_servers: usize,
    /// An edge's typed configuration.
    pub view: usize,
    /// All of a coordinator that leads no shard (mean).
    pub core: usize,
    /// All of the coordinator that allocates most.
    pub largest_core: usize,
    /// The records of a coordinator's directory.
    pub records: usize,
    /// The configuration's state machine.
    pub configuration: usize,
}

/// Encoded sizes in a fleet as it stands.
pub fn encoded(fleet: &Fleet) -> EncodedState {
    let journal = fleet.cores.iter().map(|core| core.journal_bytes()).max().unwrap_or_default();
    let Some(core) = fleet.cores.iter().find_map(|core| core.core()) else { return EncodedState::default() };
    let records: Vec<ServerRecord> = core.directory().records().cloned().collect();
    let servers = records.len();
    let configuration = core.shards().configuration();
    let reply = PollResponse {
        config: configuration.updates_since(0),
        servers: records,
        complete: true,
        ..Default::default()
    };
    let whole_reply = frame::encode(&reply).len();
    let without = frame::encode(&PollResponse { servers: Vec::new(), ..reply }).len();
    EncodedState {
        servers,
        record: (whole_reply - without) as f64 / servers.max(1) as f64,
        whole_reply,
        configuration: configuration.snapshot().len(),
        journal,
    }
}

/// Allocated bytes of a fleet, which is taken apart.
pub fn memory(mut fleet: Fleet, live: LiveBytes) -> MemoryState {
    let mut state = MemoryState::default();
    if let Some(core) = fleet.cores.iter().find_map(|core| core.core()) {
        let records = || core.directory().records().cloned().collect::<Vec<_>>();
        state.records = allocated(live, records);
        let snapshot = core.shards().configuration().snapshot();
        state.configuration = allocated(live, || ConfigState::restore(&snapshot));
        let records = records();
        state.router_of_servers = allocated(live, || {
            let mut router = Router::new(Options::default(), 1);
            router.handle(0, Event::ServersUpdated { records, complete: true }, &mut Vec::new());
            router
        });
    }
    if let Some(decisions) = fleet.edges.first_mut().and_then(|edge| edge.take_decisions()) {
        let (router, view) = (decisions.router, decisions.view);
        state.router = freed(live, router);
        state.view = freed(live, view);
    }
    let leaders: Vec<Option<usize>> = (0..3).map(|shard| fleet.leader_of(shard)).collect();
    let mut plain = Vec::new();
    for place in 0..fleet.cores.len() {
        let Some(core) = fleet.cores[place].take_core() else { continue };
        let bytes = freed(live, core);
        state.largest_core = state.largest_core.max(bytes);
        if !leaders.contains(&Some(place)) {
            plain.push(bytes);
        }
    }
    state.core = plain.iter().sum::<usize>() / plain.len().max(1);
    state
}

/// Bytes that something takes up.
fn allocated<T>(live: LiveBytes, make: impl FnOnce() -> T) -> usize {
    let before = live();
    let made = make();
    let bytes = live().saturating_sub(before);
    drop(made);
    bytes
}

/// Bytes that are free once something is dropped.
fn freed<T>(live: LiveBytes, thing: T) -> usize {
    let before = live();
    drop(thing);
    before.saturating_sub(live())
}
