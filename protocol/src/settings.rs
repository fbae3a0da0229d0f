//! The settings file of a process: lines of `a.b=value`, commas between the items of a list.
//!
//! Keys that are not known are passed over, as new ones may appear; a missing or wrong value is one error that
//! names the key, the value and what was expected.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use snafu::Snafu;

use crate::NodeId;

/// The environment variable that holds the file's path.
pub const PATH_VARIABLE: &str = "SHALETRAIL_BOOT";

/// Why a settings file cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("settings file {}: {source}", path.display()))]
    ReadFile {
        /// Its path.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A key that a role needs is not there.
    #[snafu(display("{key}: missing, expected {expected}"))]
    MissingKey {
        /// The key.
        key: String,
        /// What should stand there.
        expected: &'static str,
    },
    /// A value that cannot be read.
    #[snafu(display("{key}: '{value}' found, expected {expected}"))]
    InvalidValue {
        /// The key.
        key: String,
        /// Its value.
        value: String,
        /// What should stand there.
        expected: &'static str,
    },
}

/// The lines of a settings file.
#[derive(Clone, Debug, Default)]
pub struct Lines(BTreeMap<String, String>);

impl FromStr for Lines {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let pairs = text.lines().filter_map(|line| line.trim().split_once('='));
        Ok(Lines(pairs.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned())).collect()))
    }
}

impl Lines {
    fn value(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str).filter(|value| !value.is_empty())
    }

    fn required<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<T, SettingsError> {
        self.optional(key, expected)?.ok_or_else(|| MissingKeySnafu { key, expected }.build())
    }

    fn optional<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.value(key) else { return Ok(None) };
        value.parse().map(Some).map_err(|_| InvalidValueSnafu { key, value, expected }.build())
    }

    fn or<T: FromStr>(&self, key: &str, expected: &'static str, otherwise: T) -> Result<T, SettingsError> {
        Ok(self.optional(key, expected)?.unwrap_or(otherwise))
    }

    fn list<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<Vec<T>, SettingsError> {
        let items =
            self.value(key).unwrap_or_default().split(',').map(str::trim).filter(|item| !item.is_empty());
        let parse =
            |item: &str| item.parse().map_err(|_| InvalidValueSnafu { key, value: item, expected }.build());
        items.map(parse).collect()
    }

    /// A duration that must be over 0, given in `unit`.
    fn duration(&self, key: &str, unit: Duration, otherwise: f64) -> Result<Duration, SettingsError> {
        const EXPECTED: &str = "a number over 0";
        let number: f64 = self.or(key, EXPECTED, otherwise)?;
        if !(number.is_finite() && number > 0.0 && number < 1e9) {
            return InvalidValueSnafu { key, value: number.to_string(), expected: EXPECTED }.fail();
        }
        Ok(unit.mul_f64(number))
    }

    /// A number that must not be below 0.
    fn amount(&self, key: &str, otherwise: f64) -> Result<f64, SettingsError> {
        const EXPECTED: &str = "a number of 0 or more";
        let number: f64 = self.or(key, EXPECTED, otherwise)?;
        if !(number.is_finite() && number >= 0.0) {
            return InvalidValueSnafu { key, value: number.to_string(), expected: EXPECTED }.fail();
        }
        Ok(number)
    }
}

/// Bounds of the operators' rules that the program goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How far the operator's and the servers' list of nodes may be behind.
    pub seed_lag: Duration,
    /// When the address of a server that has ended may be given to another.
    pub address_reuse: Duration,
    /// How long nothing must have gone wrong for a machine to count as in touch.
    pub contact: Duration,
    /// Within which proper calls of the operator are acknowledged.
    pub ack_timeout: Duration,
    /// How long a machine that is back counts as lost.
    pub sync: Duration,
    /// From an acknowledged `draining` to the last request sent there.
    pub drain: Duration,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// From an acknowledged configuration until it is in force everywhere.
    pub convergence: Duration,
    /// Within which no node may go back behind a version that was seen in force.
    pub downgrade: Duration,
    /// Repeats allowed for each request of a service.
    pub retry_ratio: f64,
    /// The window over which repeats are counted.
    pub retry_window: Duration,
    /// Repeats allowed beyond the ratio, in a window.
    pub retry_slack: f64,
    /// From the return of the machines until service is back.
    pub recovery: Duration,
    /// How late an event of a stream may be passed on.
    pub stream_delay: Duration,
    /// Whether servers refuse a fence lower than one they have seen.
    pub fencing: bool,
    /// How far apart the orders of two holders to one server must lie.
    pub lease: Duration,
    /// The window over which loads from the weight store are counted.
    pub origin_window: Duration,
    /// The factor by which the store's rate may be overshot.
    pub origin_overshoot: f64,
}

/// Limits of the machine that the process runs on.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineLimits {
    /// Memory of the process, in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub max_fds: u64,
    /// Bandwidth of the link, in Mbit/s.
    pub link_mbps: f64,
    /// Space of the disk, in MB; 0 where there is none.
    pub disk_mb: u64,
}

/// What a process is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the machine.
    pub node_name: String,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Zones and the regions that they belong to.
    pub zones: BTreeMap<String, String>,
    /// Where clients are served.
    pub ingress: Option<SocketAddrV4>,
    /// Where readiness is asked for.
    pub readiness: Option<SocketAddrV4>,
    /// Where servers and operators are served.
    pub control_plane: Option<SocketAddrV4>,
    /// Ports for the nodes' own use, first and last.
    pub ephemeral_ports: (u16, u16),
    /// `control_plane` addresses of some coordinators, which may be out of date.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Whether the machine counts among those whose loss is limited.
    pub counts_for_quorum: bool,
    /// Where state is kept, on machines with a disk.
    pub data_dir: Option<PathBuf>,
    /// Between two heartbeats of a server.
    pub heartbeat_interval: Duration,
    /// Counted machines that may be lost at once.
    pub tolerated_host_losses: u32,
    /// Limits of the machine.
    pub limits: MachineLimits,
    /// Bounds of the rules.
    pub bounds: Bounds,
}

impl Settings {
    /// Reads the settings from a file.
    pub fn read(path: &std::path::Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::ReadFile { path: path.to_owned(), source })?;
        text.parse()
    }

    /// This machine, as the nodes name it.
    pub fn node(&self) -> NodeId {
        NodeId::from(self.ip)
    }

    /// The port on which coordinators take calls of other nodes.
    pub fn internal_port(&self) -> u16 {
        self.ephemeral_ports.0
    }

    /// The coordinators that the seeds name, this machine left out.
    pub fn seed_nodes(&self) -> Vec<NodeId> {
        let all = self.seeds.iter().map(|seed| NodeId::from(*seed.ip()));
        all.filter(|node| *node != self.node()).collect()
    }
}

impl FromStr for Settings {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, SettingsError> {
        const ADDRESS: &str = "IP:PORT";
        const NUMBER: &str = "a whole number";
        let Ok(lines) = text.parse::<Lines>();
        Ok(Settings {
            node_name: lines.required("nodeName", "the machine's name")?,
            ip: lines.required("ip", "an IPv4 address")?,
            zone: lines.required("zone", "the machine's zone")?,
            region: lines.or("region", "the machine's region", String::new())?,
            zones: zones(&lines),
            ingress: lines.optional("listenersMap.ingress", ADDRESS)?,
            readiness: lines.optional("listenersMap.readiness", ADDRESS)?,
            control_plane: lines.optional("listenersMap.controlPlane", ADDRESS)?,
            ephemeral_ports: ports(&lines)?,
            seeds: lines.list("seedNodes", "addresses, IP:PORT, with commas between them")?,
            bootstrap: lines.or("bootstrap", "true or false", false)?,
            counts_for_quorum: lines.or("countsForQuorum", "true or false", false)?,
            data_dir: lines.value("dataDir").map(PathBuf::from),
            heartbeat_interval: lines.duration("heartbeatMs", MILLISECOND, 1000.0)?,
            tolerated_host_losses: lines.or("faultTolerance.hostsLost", NUMBER, 1)?,
            limits: machine_limits(&lines)?,
            bounds: bounds(&lines)?,
        })
    }
}

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn zones(lines: &Lines) -> BTreeMap<String, String> {
    let pairs = lines.0.iter().filter_map(|(key, region)| Some((key.strip_prefix("zones.")?, region)));
    pairs.map(|(zone, region)| (zone.to_owned(), region.clone())).collect()
}

fn ports(lines: &Lines) -> Result<(u16, u16), SettingsError> {
    const KEY: &str = "ephemeralPorts";
    const EXPECTED: &str = "the first and the last port, with a comma between them";
    let ports: Vec<u16> = lines.list(KEY, EXPECTED)?;
    match ports[..] {
        [first, last] if first <= last => Ok((first, last)),
        [] => MissingKeySnafu { key: KEY, expected: EXPECTED }.fail(),
        _ => InvalidValueSnafu { key: KEY, value: lines.value(KEY).unwrap_or_default(), expected: EXPECTED }
            .fail(),
    }
}

fn machine_limits(lines: &Lines) -> Result<MachineLimits, SettingsError> {
    const NUMBER: &str = "a whole number";
    Ok(MachineLimits {
        memory_mb: lines.or("limits.memoryMb", NUMBER, 256)?,
        max_fds: lines.or("limits.maxFds", NUMBER, 1024)?,
        link_mbps: lines.amount("limits.linkMbps", 1000.0)?,
        disk_mb: lines.or("limits.diskMb", NUMBER, 0)?,
    })
}

fn bounds(lines: &Lines) -> Result<Bounds, SettingsError> {
    Ok(Bounds {
        seed_lag: lines.duration("bounds.seedLagS", SECOND, 3.0)?,
        address_reuse: lines.duration("bounds.addressReuseS", SECOND, 2.0)?,
        contact: lines.duration("bounds.contactMs", MILLISECOND, 3000.0)?,
        ack_timeout: lines.duration("bounds.ackTimeoutMs", MILLISECOND, 4000.0)?,
        sync: lines.duration("bounds.syncS", SECOND, 4.0)?,
        drain: lines.duration("bounds.drainMs", MILLISECOND, 2000.0)?,
        grace: lines.duration("bounds.graceS", SECOND, 8.0)?,
        convergence: lines.duration("bounds.convergenceMs", MILLISECOND, 2000.0)?,
        downgrade: lines.duration("bounds.downgradeMs", MILLISECOND, 250.0)?,
        retry_ratio: lines.amount("bounds.retryRatio", 0.1)?,
        retry_window: lines.duration("bounds.retryWindowS", SECOND, 10.0)?,
        retry_slack: lines.amount("bounds.retrySlack", 20.0)?,
        recovery: lines.duration("bounds.recoveryS", SECOND, 12.0)?,
        stream_delay: lines.duration("bounds.pass_ms", MILLISECOND, 120.0)?,
        fencing: lines.or("bounds.fencing", "true or false", false)?,
        lease: lines.duration("bounds.leaseMs", MILLISECOND, 3000.0)?,
        origin_window: lines.duration("bounds.originWindowS", SECOND, 5.0)?,
        origin_overshoot: lines.amount("bounds.originOvershoot", 1.0)?,
    })
}
