//! The settings file that a process reads when it starts: lines of the form `a.b=value`, where commas separate the
//! items of a list.
//!
//! Unknown keys are ignored, because later releases of the platform may write additional keys. A missing key or an
//! invalid value is reported as a [`SettingsError`] that names the key, the value and what was expected.

mod bounds;
mod error;
mod fault_tolerance;
mod limits;
mod lines;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use snafu::ResultExt;

pub use bounds::Bounds;
pub use error::SettingsError;
pub use fault_tolerance::{FaultTolerance, TooFewDomains};
pub use limits::MachineLimits;

use crate::NodeId;
use error::{InvalidValueSnafu, MissingKeySnafu, ReadFileSnafu};
use lines::{SettingsLines, BOOLEAN, MILLISECOND, SOCKET_ADDRESS};

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "SHALETRAIL_BOOT";

/// The settings of a process. Fields that only one role needs are optional; the role checks whether they are present.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the machine, as used in logs and in orders to servers.
    pub node_name: String,
    /// The IPv4 address of the machine, by which other nodes identify it.
    pub ip: Ipv4Addr,
    /// The zone (failure domain) in which the machine is located.
    pub zone: String,
    /// The region of the machine's zone; empty if the file does not set it.
    pub region: String,
    /// The region of each zone, by the name of the zone.
    pub zones: BTreeMap<String, String>,
    /// The listen address for client requests. Needed by edges.
    pub ingress: Option<SocketAddrV4>,
    /// The listen address for readiness probes. Needed by edges.
    pub readiness: Option<SocketAddrV4>,
    /// The listen address for heartbeats of servers and calls of operators. Needed by coordinators.
    pub control_plane: Option<SocketAddrV4>,
    /// The first and the last port of the range for traffic between nodes.
    pub ephemeral_ports: (u16, u16),
    /// The `control_plane` addresses of some coordinators. The list may be out of date.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, so that the seeds become the first voters of its replica
    /// groups.
    pub bootstrap: bool,
    /// Whether the machine is one of those to which `fault_tolerance` applies. Of the others any number may be lost, so
    /// that they do not vote.
    pub counts_for_quorum: bool,
    /// The directory of the journal. Needed by coordinators, which have a disk.
    pub data_dir: Option<PathBuf>,
    /// The interval between two heartbeats of a server.
    pub heartbeat_interval: Duration,
    /// The losses that may occur at the same time without loss of service.
    pub fault_tolerance: FaultTolerance,
    /// The resources that the process may use.
    pub limits: MachineLimits,
    /// The time limits and ratios that the operator requires the system to meet.
    pub bounds: Bounds,
}

impl Settings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    /// The file cannot be read, lacks a required key or contains an invalid value.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        std::fs::read_to_string(path).context(ReadFileSnafu { path })?.parse()
    }

    /// The id of this machine.
    pub fn node(&self) -> NodeId {
        NodeId::from(self.ip)
    }

    /// The region of this machine: `region`, or the region that `zones` gives for its zone; empty if neither is set.
    pub fn own_region(&self) -> &str {
        if self.region.is_empty() {
            return self.zones.get(&self.zone).map_or("", String::as_str);
        }
        &self.region
    }

    /// The tolerated losses that no placement of voters can withstand, because the file names too few zones or regions.
    /// Empty if the file names no zones.
    pub fn unattainable_tolerances(&self) -> Vec<TooFewDomains> {
        let regions: BTreeSet<&String> = self.zones.values().collect();
        self.fault_tolerance.unattainable(self.zones.len(), regions.len())
    }

    /// The port on which coordinators accept connections from other nodes. It is the same on all coordinators.
    pub fn internal_port(&self) -> u16 {
        self.ephemeral_ports.0
    }

    /// The coordinators in the list of seeds, except for this machine.
    pub fn seed_nodes(&self) -> Vec<NodeId> {
        let all = self.seeds.iter().map(|seed| NodeId::from(*seed.ip()));
        all.filter(|node| *node != self.node()).collect()
    }
}

impl FromStr for Settings {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, SettingsError> {
        let Ok(lines) = text.parse::<SettingsLines>();
        Ok(Settings {
            node_name: lines.required("nodeName", "the machine's name")?,
            ip: lines.required("ip", "an IPv4 address")?,
            zone: lines.required("zone", "the machine's zone")?,
            region: lines.with_default("region", "the machine's region", String::new())?,
            zones: lines.with_prefix("zones."),
            ingress: lines.optional("listenersMap.ingress", SOCKET_ADDRESS)?,
            readiness: lines.optional("listenersMap.readiness", SOCKET_ADDRESS)?,
            control_plane: lines.optional("listenersMap.controlPlane", SOCKET_ADDRESS)?,
            ephemeral_ports: parse_port_range(&lines)?,
            seeds: lines.list("seedNodes", "addresses, IP:PORT, with commas between them")?,
            bootstrap: lines.with_default("bootstrap", BOOLEAN, false)?,
            counts_for_quorum: lines.with_default("countsForQuorum", BOOLEAN, true)?,
            data_dir: lines.value("dataDir").map(PathBuf::from),
            heartbeat_interval: lines.duration("heartbeatMs", MILLISECOND, 1000.0)?,
            fault_tolerance: FaultTolerance::parse(&lines)?,
            limits: MachineLimits::parse(&lines)?,
            bounds: Bounds::parse(&lines)?,
        })
    }
}

fn parse_port_range(lines: &SettingsLines) -> Result<(u16, u16), SettingsError> {
    const KEY: &str = "ephemeralPorts";
    const EXPECTED: &str = "the first and the last port, with a comma between them";
    let ports: Vec<u16> = lines.list(KEY, EXPECTED)?;
    match ports[..] {
        [first, last] if first <= last => Ok((first, last)),
        [] => MissingKeySnafu { key: KEY, expected: EXPECTED }.fail(),
        _ => {
            let value = lines.value(KEY).unwrap_or_default();
            InvalidValueSnafu { key: KEY, value, expected: EXPECTED }.fail()
        }
    }
}
