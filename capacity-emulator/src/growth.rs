//! Figures of several runs, and the powers by which they grow.

use crate::ledger::Kind;
use crate::measure::{Measurement, Phase};

/// A figure of a run that should be known at other sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Figure {
    /// Bytes a second that an edge takes for control, loads of other edges left out (mean).
    EdgeBytesIn,
    /// Bytes a second that an edge sends for control, loads left out (mean).
    EdgeBytesOut,
    /// Messages a second in and out of an edge for control, loads left out (mean).
    EdgeMessages,
    /// Bytes a second in and out of an edge by which edges tell each other their loads (mean).
    EdgeLoadBytes,
    /// Processor time of an edge for control, in milliseconds a second (mean).
    EdgeControlTime,
    /// Processor time of an edge for its clients' requests, in microseconds a request.
    EdgeRequestTime,
    /// Bytes a second that a coordinator takes (mean).
    CoreBytesIn,
    /// Bytes a second that a coordinator sends (mean).
    CoreBytesOut,
    /// Messages a second in and out of a coordinator (mean).
    CoreMessages,
    /// Processor time of a coordinator, in milliseconds a second (mean).
    CoreTime,
    /// The same of the busiest one.
    BusiestCoreTime,
    /// Bytes a second to the disk of a coordinator (mean).
    DiskBytes,
    /// Syncs a second of a coordinator's disk (mean).
    Syncs,
    /// Bytes in memory of an edge: router and configuration.
    EdgeMemory,
    /// Bytes in memory of a coordinator that leads nothing (mean).
    CoreMemory,
    /// Bytes in memory of the largest coordinator.
    LargestCoreMemory,
    /// Bytes that the busiest coordinator sent in the two seconds of a herd.
    HerdBytes,
}

impl Figure {
    /// Its value in a run, if that came so far and counted it.
    pub fn of(self, measurement: &Measurement) -> Option<f64> {
        let memory = measurement.memory.as_ref();
        match self {
            Figure::EdgeMemory => memory.map(|memory| (memory.router + memory.view) as f64),
            Figure::CoreMemory => memory.map(|memory| memory.core as f64),
            Figure::LargestCoreMemory => memory.map(|memory| memory.largest_core as f64),
            Figure::HerdBytes => {
                let herd = measurement.phases.get(1)?;
                herd.cores.iter().map(|core| core.all_sent().bytes as f64).max_by(f64::total_cmp)
            }
            _ => self.of_steady(measurement.phases.first()?),
        }
    }

    fn of_steady(self, phase: &Phase) -> Option<f64> {
        let (edges, cores) = (phase.all_edges(), phase.all_cores());
        let edge_seconds = phase.seconds * phase.edges.len() as f64;
        let core_seconds = phase.seconds * phase.cores.len() as f64;
        let loads = |tally: Option<&crate::ledger::Tally>| tally.copied().unwrap_or_default();
        let (loads_in, loads_out) =
            (loads(edges.received.get(&Kind::Loads)), loads(edges.sent.get(&Kind::Loads)));
        let (edge_in, edge_out) = (edges.all_received(), edges.all_sent());
        let (core_in, core_out) = (cores.all_received(), cores.all_sent());
        let time = |kind| edges.work.get(&kind).map(|work| work.time.as_secs_f64()).unwrap_or_default();
        let value = match self {
            Figure::EdgeBytesIn => (edge_in.bytes - loads_in.bytes) as f64 / edge_seconds,
            Figure::EdgeBytesOut => (edge_out.bytes - loads_out.bytes) as f64 / edge_seconds,
            Figure::EdgeMessages => {
                let others = edge_in.messages + edge_out.messages - loads_in.messages - loads_out.messages;
                others as f64 / edge_seconds
            }
            Figure::EdgeLoadBytes => (loads_in.bytes + loads_out.bytes) as f64 / edge_seconds,
            Figure::EdgeControlTime => edges.control_time().as_secs_f64() * 1e3 / edge_seconds,
            Figure::EdgeRequestTime => time(Kind::Request) * 1e6 / phase.requests.max(1) as f64,
            Figure::CoreBytesIn => core_in.bytes as f64 / core_seconds,
            Figure::CoreBytesOut => core_out.bytes as f64 / core_seconds,
            Figure::CoreMessages => (core_in.messages + core_out.messages) as f64 / core_seconds,
            Figure::CoreTime => cores.control_time().as_secs_f64() * 1e3 / core_seconds,
            Figure::BusiestCoreTime => {
                let times = phase.cores.iter().map(|core| core.control_time().as_secs_f64());
                times.fold(0.0, f64::max) * 1e3 / phase.seconds
            }
            Figure::DiskBytes => cores.disk.bytes as f64 / core_seconds,
            Figure::Syncs => cores.disk.syncs as f64 / core_seconds,
            Figure::EdgeMemory | Figure::CoreMemory | Figure::LargestCoreMemory | Figure::HerdBytes => {
                return None
            }
        };
        Some(value)
    }
}

/// The power by which a figure grows from one size to another: 1 where it grows as the size does.
pub fn power(sizes: (f64, f64), figures: (f64, f64)) -> Option<f64> {
    let known = sizes.0 > 0.0 && sizes.1 > sizes.0 && figures.0 > 0.0 && figures.1 > 0.0;
    known.then(|| (figures.1 / figures.0).ln() / (sizes.1 / sizes.0).ln())
}

/// How fast a figure may grow: powers of the number of edges, of servers, and of both together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grows {
    /// With edges, servers as they were.
    pub with_edges: f64,
    /// With servers, edges as they were.
    pub with_servers: f64,
    /// With both in step.
    pub with_both: f64,
}

/// What docs/CAPACITY.md states on a figure; `None` for times, which no test holds, and memory.
pub fn stated(figure: Figure) -> Option<Grows> {
    let grows = |with_edges, with_servers, with_both| Some(Grows { with_edges, with_servers, with_both });
    match figure {
        Figure::EdgeBytesIn => grows(0.0, 1.0, 1.0),
        Figure::EdgeBytesOut => grows(0.0, 0.5, 0.5),
        Figure::EdgeMessages => grows(0.0, 1.0, 1.0),
        Figure::EdgeLoadBytes => grows(1.0, 0.0, 1.0),
        Figure::CoreBytesIn => grows(1.0, 1.0, 1.0),
        Figure::CoreBytesOut => grows(1.0, 1.0, 1.25),
        Figure::CoreMessages => grows(0.5, 0.5, 1.0),
        Figure::DiskBytes => grows(0.0, 1.0, 1.0),
        Figure::Syncs => grows(0.0, 0.5, 0.5),
        Figure::HerdBytes => grows(1.0, 1.0, 2.0),
        Figure::EdgeControlTime
        | Figure::EdgeRequestTime
        | Figure::CoreTime
        | Figure::BusiestCoreTime
        | Figure::EdgeMemory
        | Figure::CoreMemory
        | Figure::LargestCoreMemory => None,
    }
}
