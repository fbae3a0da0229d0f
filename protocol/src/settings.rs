//! The settings file that a process starts with: lines of `a.b=value`, commas between the items of a list.
//!
//! Unknown keys are ignored, as later releases of the platform may write more of them. A missing key or an invalid
//! value is a [`SettingsError`] that names the key, the value and what was expected.

mod bounds;
mod error;
mod limits;
mod lines;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use snafu::ResultExt;

pub use bounds::Bounds;
pub use error::SettingsError;
pub use limits::MachineLimits;

use crate::NodeId;
use error::{InvalidValueSnafu, MissingKeySnafu, ReadFileSnafu};
use lines::{SettingsLines, BOOLEAN, MILLISECOND, SOCKET_ADDRESS, WHOLE_NUMBER};

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "SHALETRAIL_BOOT";

/// The settings of a process. Fields that only one role needs are optional; the role checks that they are there.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the machine, for logs and for orders to servers.
    pub node_name: String,
    /// The IPv4 address of the machine, under which the other nodes know it.
    pub ip: Ipv4Addr,
    /// The zone (failure domain) that the machine stands in.
    pub zone: String,
    /// The region that the zone belongs to; empty if the file names none.
    pub region: String,
    /// The region of each zone, by the zone's name.
    pub zones: BTreeMap<String, String>,
    /// The listen address for clients' requests. Edges only.
    pub ingress: Option<SocketAddrV4>,
    /// The listen address for readiness probes. Edges only.
    pub readiness: Option<SocketAddrV4>,
    /// The listen address for servers' heartbeats and operators' calls. Coordinators only.
    pub control_plane: Option<SocketAddrV4>,
    /// The first and the last of the ports for traffic between nodes.
    pub ephemeral_ports: (u16, u16),
    /// `control_plane` addresses of some coordinators; the list may be out of date.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, so that the seeds found its replica groups.
    pub bootstrap: bool,
    /// Whether the machine is one of those whose losses `tolerated_host_losses` limits.
    pub counts_for_quorum: bool,
    /// The directory of the journal. Coordinators only, which have a disk.
    pub data_dir: Option<PathBuf>,
    /// The time between two heartbeats of a server.
    pub heartbeat_interval: Duration,
    /// Machines that may be lost at once: replica groups have `2 * tolerated_host_losses + 1` voters.
    pub tolerated_host_losses: u32,
    /// The resources of the machine.
    pub limits: MachineLimits,
    /// The time limits and ratios of the operators' rules.
    pub bounds: Bounds,
}

impl Settings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    /// The file cannot be read, lacks a required key or has an invalid value.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        std::fs::read_to_string(path).context(ReadFileSnafu { path })?.parse()
    }

    /// The id of this machine.
    pub fn node(&self) -> NodeId {
        NodeId::from(self.ip)
    }

    /// The port on which coordinators accept connections of other nodes, the same on each of them.
    pub fn internal_port(&self) -> u16 {
        self.ephemeral_ports.0
    }

    /// The coordinators that the seeds name, without this machine.
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
            region: lines.or_default("region", "the machine's region", String::new())?,
            zones: lines.with_prefix("zones."),
            ingress: lines.optional("listenersMap.ingress", SOCKET_ADDRESS)?,
            readiness: lines.optional("listenersMap.readiness", SOCKET_ADDRESS)?,
            control_plane: lines.optional("listenersMap.controlPlane", SOCKET_ADDRESS)?,
            ephemeral_ports: parse_port_range(&lines)?,
            seeds: lines.list("seedNodes", "addresses, IP:PORT, with commas between them")?,
            bootstrap: lines.or_default("bootstrap", BOOLEAN, false)?,
            counts_for_quorum: lines.or_default("countsForQuorum", BOOLEAN, false)?,
            data_dir: lines.value("dataDir").map(PathBuf::from),
            heartbeat_interval: lines.duration("heartbeatMs", MILLISECOND, 1000.0)?,
            tolerated_host_losses: lines.or_default("faultTolerance.hostsLost", WHOLE_NUMBER, 1)?,
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
