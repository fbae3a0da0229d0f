//! Sizes of what nodes keep: encoded, and in memory if the process counts its allocations.

use shaletrail_configuration::ConfigState;
use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{PollResponse, ServerRecord};
use shaletrail_routing::interface::Event;
use shaletrail_routing::{Options, Router};

use crate::fleet::Fleet;

/// Returns how many bytes are allocated at the moment of the call.
pub type AllocatedBytes = fn() -> usize;

/// Encoded sizes, in bytes. Equal seeds give equal sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EncodedSizes {
    /// The number of servers in the directory that was encoded.
    pub servers: usize,
    /// A server's record in a response with all records (mean).
    pub record: f64,
    /// A response to a poll with the complete directory and the complete configuration.
    pub full_response: usize,
    /// A snapshot of the configuration's state machine, with its deduplication window.
    pub configuration: usize,
    /// The largest journal among the coordinators.
    pub journal: usize,
}

/// Allocated sizes, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryUsage {
    /// The router of an edge after the run.
    pub router: usize,
    /// A router that has the records of the servers and no configuration.
    pub router_with_servers_only: usize,
    /// The typed configuration of an edge.
    pub view: usize,
    /// A coordinator that leads no shard (mean).
    pub coordinator: usize,
    /// The coordinator that allocates most.
    pub largest_coordinator: usize,
    /// The records of a coordinator's directory.
    pub records: usize,
    /// The state machine of the configuration.
    pub configuration: usize,
}

/// The encoded sizes in a fleet; zeros if no coordinator runs.
pub fn encoded(fleet: &Fleet) -> EncodedSizes {
    let journal =
        fleet.coordinators.iter().map(|coordinator| coordinator.journal_bytes()).max().unwrap_or_default();
    let Some(coordinator) = fleet.coordinators.iter().find_map(|coordinator| coordinator.coordinator())
    else {
        return EncodedSizes::default();
    };
    let records: Vec<ServerRecord> = coordinator.directory().records().cloned().collect();
    let servers = records.len();
    let configuration = coordinator.shards().configuration();
    let response = PollResponse {
        config: configuration.updates_since(0),
        servers: records,
        complete: true,
        ..Default::default()
    };
    let full_response = frame::encode(&response).len();
    let without = frame::encode(&PollResponse { servers: Vec::new(), ..response }).len();
    EncodedSizes {
        servers,
        record: (full_response - without) as f64 / servers.max(1) as f64,
        full_response,
        configuration: configuration.snapshot().len(),
        journal,
    }
}

/// The allocated sizes in a fleet. Measured by what is freed as the fleet is taken apart.
pub fn memory(mut fleet: Fleet, allocated_bytes: AllocatedBytes) -> MemoryUsage {
    let mut state = MemoryUsage::default();
    if let Some(coordinator) = fleet.coordinators.iter().find_map(|coordinator| coordinator.coordinator()) {
        let records = || coordinator.directory().records().cloned().collect::<Vec<_>>();
        state.records = allocated(allocated_bytes, records);
        let snapshot = coordinator.shards().configuration().snapshot();
        state.configuration = allocated(allocated_bytes, || ConfigState::restore(&snapshot));
        let records = records();
        state.router_with_servers_only = allocated(allocated_bytes, || {
            let mut router = Router::new(Options::default(), 1);
            router.handle(0, Event::ServersUpdated { records, complete: true }, &mut Vec::new());
            router
        });
    }
    if let Some(routing) = fleet.edges.first_mut().and_then(|edge| edge.take_routing()) {
        let (router, view) = (routing.router, routing.view);
        state.router = freed(allocated_bytes, router);
        state.view = freed(allocated_bytes, view);
    }
    let leaders: Vec<Option<usize>> = (0..3).map(|shard| fleet.leader_of(shard)).collect();
    let mut non_leaders = Vec::new();
    for index in 0..fleet.coordinators.len() {
        let Some(coordinator) = fleet.coordinators[index].take_coordinator() else { continue };
        let bytes = freed(allocated_bytes, coordinator);
        state.largest_coordinator = state.largest_coordinator.max(bytes);
        if !leaders.contains(&Some(index)) {
            non_leaders.push(bytes);
        }
    }
    state.coordinator = non_leaders.iter().sum::<usize>() / non_leaders.len().max(1);
    state
}

/// The bytes that a value allocates.
fn allocated<T>(allocated_bytes: AllocatedBytes, make_value: impl FnOnce() -> T) -> usize {
    let before = allocated_bytes();
    let value = make_value();
    let bytes = allocated_bytes().saturating_sub(before);
    drop(value);
    bytes
}

/// The bytes that dropping a value frees.
fn freed<T>(allocated_bytes: AllocatedBytes, value: T) -> usize {
    let before = allocated_bytes();
    drop(value);
    before.saturating_sub(allocated_bytes())
}
