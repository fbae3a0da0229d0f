//! Sizes of the state that nodes keep: encoded, and in memory if the process counts its allocations.

use shaletrail_configuration::ConfigState;
use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{PollResponse, ServerRecord};
use shaletrail_routing::interface::Event;
use shaletrail_routing::{Options, Router};

use crate::fleet::Fleet;

/// A function that returns the number of currently allocated bytes.
pub type AllocatedBytes = fn() -> usize;

/// Encoded sizes in bytes. Runs with equal seeds give equal sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EncodedSizes {
    /// The number of servers in the encoded directory.
    pub servers: usize,
    /// The mean size of a server's record in a response that contains all records.
    pub record: f64,
    /// A poll response that contains the complete directory and the complete configuration.
    pub full_response: usize,
    /// A snapshot of the configuration state machine, including its deduplication window.
    pub configuration: usize,
    /// The largest journal of any coordinator.
    pub journal: usize,
}

/// Allocated sizes in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryUsage {
    /// The router of an edge at the end of the run.
    pub router: usize,
    /// A router that has all server records but no configuration.
    pub router_with_servers_only: usize,
    /// The typed configuration of an edge.
    pub config_view: usize,
    /// The mean size of a coordinator that leads no shard.
    pub coordinator: usize,
    /// The coordinator that uses most memory.
    pub largest_coordinator: usize,
    /// The server records of a coordinator's directory.
    pub records: usize,
    /// The configuration state machine.
    pub configuration: usize,
}

/// Determines the encoded sizes in a fleet; all zero if no coordinator is running.
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

/// Determines the allocated sizes in a fleet, mostly by how many bytes are freed when its parts are dropped.
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
        state.config_view = freed(allocated_bytes, view);
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

/// The number of bytes that remain allocated after a value is created.
fn allocated<T>(allocated_bytes: AllocatedBytes, make_value: impl FnOnce() -> T) -> usize {
    let before = allocated_bytes();
    let value = make_value();
    let bytes = allocated_bytes().saturating_sub(before);
    drop(value);
    bytes
}

/// The number of bytes freed by dropping a value.
fn freed<T>(allocated_bytes: AllocatedBytes, value: T) -> usize {
    let before = allocated_bytes();
    drop(value);
    before.saturating_sub(allocated_bytes())
}
