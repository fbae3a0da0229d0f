//! Metrics of runs at several fleet sizes, and the exponents of their growth.

use crate::activity::Activity;
use crate::measurement::{Measurement, Phase};
use crate::usage::Traffic;

/// A metric whose growth with the fleet size is of interest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Metric {
    /// Control-plane bytes per second received by an edge, without load datagrams (mean).
    EdgeBytesIn,
    /// Control-plane bytes per second sent by an edge, without load datagrams (mean).
    EdgeBytesOut,
    /// Control-plane messages per second sent and received by an edge, without load datagrams (mean).
    EdgeMessages,
    /// Bytes per second of load datagrams sent and received by an edge (mean).
    EdgeLoadBytes,
    /// CPU time of an edge for the control plane, in milliseconds per second (mean).
    EdgeControlTime,
    /// CPU time of an edge for client requests, in microseconds per request.
    EdgeRequestTime,
    /// Bytes per second received by a coordinator (mean).
    CoordinatorBytesIn,
    /// Bytes per second sent by a coordinator (mean).
    CoordinatorBytesOut,
    /// Messages per second sent and received by a coordinator (mean).
    CoordinatorMessages,
    /// CPU time of a coordinator, in milliseconds per second (mean).
    CoordinatorTime,
    /// CPU time of the busiest coordinator, in milliseconds per second.
    BusiestCoordinatorTime,
    /// Bytes per second that a coordinator writes to its journal (mean).
    DiskBytes,
    /// Syncs per second of a coordinator's journal (mean).
    Syncs,
    /// Allocated bytes of an edge's router and configuration.
    EdgeMemory,
    /// Allocated bytes of a coordinator that leads no shard (mean).
    CoordinatorMemory,
    /// Allocated bytes of the coordinator that uses most memory.
    LargestCoordinatorMemory,
    /// Bytes sent by the busiest coordinator during the thundering-herd phase.
    HerdBytes,
}

impl Metric {
    /// The value of the metric in a run; `None` if the run ended too early or did not measure it.
    pub fn value_in(self, measurement: &Measurement) -> Option<f64> {
        let memory = measurement.memory.as_ref();
        match self {
            Metric::EdgeMemory => memory.map(|memory| (memory.router + memory.config_view) as f64),
            Metric::CoordinatorMemory => memory.map(|memory| memory.coordinator as f64),
            Metric::LargestCoordinatorMemory => memory.map(|memory| memory.largest_coordinator as f64),
            Metric::HerdBytes => {
                let herd = measurement.phases.get(1)?;
                herd.coordinators
                    .iter()
                    .map(|coordinator| coordinator.all_sent().bytes as f64)
                    .max_by(f64::total_cmp)
            }
            _ => self.value_in_steady_phase(measurement.phases.first()?),
        }
    }

    fn value_in_steady_phase(self, phase: &Phase) -> Option<f64> {
        let (edges, coordinators) = (phase.all_edges(), phase.all_coordinators());
        let edge_seconds = phase.seconds * phase.edges.len() as f64;
        let coordinator_seconds = phase.seconds * phase.coordinators.len() as f64;
        let loads = |traffic: Option<&Traffic>| traffic.copied().unwrap_or_default();
        let (loads_in, loads_out) = (
            loads(edges.received.get(&Activity::LoadDatagram)),
            loads(edges.sent.get(&Activity::LoadDatagram)),
        );
        let (edge_in, edge_out) = (edges.all_received(), edges.all_sent());
        let (coordinator_in, coordinator_out) = (coordinators.all_received(), coordinators.all_sent());
        let time = |activity| edges.cpu.get(&activity).map(|cpu| cpu.time.as_secs_f64()).unwrap_or_default();
        let value = match self {
            Metric::EdgeBytesIn => (edge_in.bytes - loads_in.bytes) as f64 / edge_seconds,
            Metric::EdgeBytesOut => (edge_out.bytes - loads_out.bytes) as f64 / edge_seconds,
            Metric::EdgeMessages => {
                let others = edge_in.messages + edge_out.messages - loads_in.messages - loads_out.messages;
                others as f64 / edge_seconds
            }
            Metric::EdgeLoadBytes => (loads_in.bytes + loads_out.bytes) as f64 / edge_seconds,
            Metric::EdgeControlTime => edges.control_plane_time().as_secs_f64() * 1e3 / edge_seconds,
            Metric::EdgeRequestTime => time(Activity::ClientRequest) * 1e6 / phase.requests.max(1) as f64,
            Metric::CoordinatorBytesIn => coordinator_in.bytes as f64 / coordinator_seconds,
            Metric::CoordinatorBytesOut => coordinator_out.bytes as f64 / coordinator_seconds,
            Metric::CoordinatorMessages => {
                (coordinator_in.messages + coordinator_out.messages) as f64 / coordinator_seconds
            }
            Metric::CoordinatorTime => {
                coordinators.control_plane_time().as_secs_f64() * 1e3 / coordinator_seconds
            }
            Metric::BusiestCoordinatorTime => {
                let times = phase
                    .coordinators
                    .iter()
                    .map(|coordinator| coordinator.control_plane_time().as_secs_f64());
                times.fold(0.0, f64::max) * 1e3 / phase.seconds
            }
            Metric::DiskBytes => coordinators.journal.bytes as f64 / coordinator_seconds,
            Metric::Syncs => coordinators.journal.syncs as f64 / coordinator_seconds,
            Metric::EdgeMemory
            | Metric::CoordinatorMemory
            | Metric::LargestCoordinatorMemory
            | Metric::HerdBytes => return None,
        };
        Some(value)
    }
}

/// The exponent of a power law through two points: 1 if the value grows in proportion to the size. `None` unless all
/// four numbers are positive and the second size is larger than the first.
pub fn growth_exponent(sizes: (f64, f64), values: (f64, f64)) -> Option<f64> {
    let has_exponent = sizes.0 > 0.0 && sizes.1 > sizes.0 && values.0 > 0.0 && values.1 > 0.0;
    has_exponent.then(|| (values.1 / values.0).ln() / (sizes.1 / sizes.0).ln())
}

/// Upper bounds of a metric's growth, as exponents of the number of edges, of servers, and of both together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrowthExponents {
    /// Growth with the number of edges at a fixed number of servers.
    pub with_edges: f64,
    /// Growth with the number of servers at a fixed number of edges.
    pub with_servers: f64,
    /// Growth when both numbers increase by the same factor.
    pub with_both: f64,
}

/// The growth exponents stated for a metric in `docs/CAPACITY.md`; `None` for CPU times and memory, which no test
/// checks.
pub fn stated_exponents(metric: Metric) -> Option<GrowthExponents> {
    let exponents =
        |with_edges, with_servers, with_both| Some(GrowthExponents { with_edges, with_servers, with_both });
    match metric {
        Metric::EdgeBytesIn => exponents(0.0, 1.0, 1.0),
        Metric::EdgeBytesOut => exponents(0.0, 0.5, 0.5),
        Metric::EdgeMessages => exponents(0.0, 1.0, 1.0),
        Metric::EdgeLoadBytes => exponents(1.0, 0.0, 1.0),
        Metric::CoordinatorBytesIn => exponents(1.0, 1.0, 1.0),
        Metric::CoordinatorBytesOut => exponents(1.0, 1.0, 1.25),
        Metric::CoordinatorMessages => exponents(0.5, 0.5, 1.0),
        Metric::DiskBytes => exponents(0.0, 1.0, 1.0),
        Metric::Syncs => exponents(0.0, 0.5, 0.5),
        Metric::HerdBytes => exponents(1.0, 1.0, 2.0),
        Metric::EdgeControlTime
        | Metric::EdgeRequestTime
        | Metric::CoordinatorTime
        | Metric::BusiestCoordinatorTime
        | Metric::EdgeMemory
        | Metric::CoordinatorMemory
        | Metric::LargestCoordinatorMemory => None,
    }
}
