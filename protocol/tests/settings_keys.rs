//! The keys of the settings file, the field that each key sets, and the error messages.
//!
//! Settings files are written by other systems, so a changed key or message breaks existing deployments. If one of
//! these tests fails, restore the key or the message.

use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Duration;

use shaletrail_protocol::settings::{
    Bounds, FaultTolerance, MachineLimits, Settings, SettingsError, SETTINGS_PATH_VARIABLE,
};

/// All keys, each with a value that differs from all other values and from its default.
const ALL_KEYS: &str = "\
nodeName=core-a-1
ip=10.1.0.38
zone=hall-a
region=north
zones.hall-a=south
zones.hall-b=west
listenersMap.ingress=10.1.0.38:8001
listenersMap.readiness=10.1.0.38:8002
listenersMap.controlPlane=10.1.0.38:8003
ephemeralPorts=7660,7675
seedNodes=10.1.0.38:8146,10.2.0.30:8147
bootstrap=true
countsForQuorum=true
dataDir=/data/core
heartbeatMs=1201
faultTolerance.hostsLost=2
faultTolerance.zones=3
faultTolerance.regions=4
limits.memoryMb=301
limits.maxFds=302
limits.linkMbps=303.5
limits.diskMb=304
bounds.seedLagS=11
bounds.addressReuseS=12
bounds.contactMs=13
bounds.ackTimeoutMs=14
bounds.syncS=15
bounds.drainMs=16
bounds.graceS=17
bounds.convergenceMs=18
bounds.downgradeMs=19
bounds.retryRatio=0.21
bounds.retryWindowS=22
bounds.retrySlack=23
bounds.recoveryS=24
bounds.pass_ms=25
bounds.fencing=true
bounds.leaseMs=26
bounds.originWindowS=27
bounds.originOvershoot=28
";

/// The smallest valid file: only the required keys.
const REQUIRED_KEYS: &str = "nodeName=core-a-1\nip=10.1.0.38\nzone=hall-a\nephemeralPorts=7660,7675\n";

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

fn milliseconds(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn each_key_sets_its_field() {
    let settings: Settings = ALL_KEYS.parse().expect("valid settings");
    let address = |text: &str| text.parse().expect("an address");
    let bounds = Bounds {
        seed_lag: seconds(11),
        address_reuse: seconds(12),
        contact: milliseconds(13),
        ack_timeout: milliseconds(14),
        sync: seconds(15),
        drain: milliseconds(16),
        grace: seconds(17),
        convergence: milliseconds(18),
        downgrade: milliseconds(19),
        retry_ratio: 0.21,
        retry_window: seconds(22),
        retry_slack: 23.0,
        recovery: seconds(24),
        stream_delay: milliseconds(25),
        fencing: true,
        lease: milliseconds(26),
        origin_window: seconds(27),
        origin_overshoot: 28.0,
    };
    let expected = Settings {
        node_name: "core-a-1".to_owned(),
        ip: Ipv4Addr::new(10, 1, 0, 38),
        zone: "hall-a".to_owned(),
        region: "north".to_owned(),
        zones: [("hall-a", "south"), ("hall-b", "west")]
            .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
            .into(),
        ingress: Some(address("10.1.0.38:8001")),
        readiness: Some(address("10.1.0.38:8002")),
        control_plane: Some(address("10.1.0.38:8003")),
        ephemeral_ports: (7660, 7675),
        seeds: vec![address("10.1.0.38:8146"), address("10.2.0.30:8147")],
        bootstrap: true,
        counts_for_quorum: true,
        data_dir: Some("/data/core".into()),
        heartbeat_interval: milliseconds(1201),
        fault_tolerance: FaultTolerance { hosts: 2, zones: 3, regions: 4 },
        limits: MachineLimits { memory_mb: 301, max_fds: 302, link_mbps: 303.5, disk_mb: 304 },
        bounds,
    };
    assert_eq!(settings, expected);
}

#[test]
fn absent_keys_have_defaults() {
    let settings: Settings = REQUIRED_KEYS.parse().expect("valid settings");
    let bounds = Bounds {
        seed_lag: seconds(3),
        address_reuse: seconds(2),
        contact: seconds(3),
        ack_timeout: seconds(4),
        sync: seconds(4),
        drain: seconds(2),
        grace: seconds(8),
        convergence: seconds(2),
        downgrade: milliseconds(250),
        retry_ratio: 0.1,
        retry_window: seconds(10),
        retry_slack: 20.0,
        recovery: seconds(12),
        stream_delay: milliseconds(120),
        fencing: false,
        lease: seconds(3),
        origin_window: seconds(5),
        origin_overshoot: 1.0,
    };
    let expected = Settings {
        node_name: "core-a-1".to_owned(),
        ip: Ipv4Addr::new(10, 1, 0, 38),
        zone: "hall-a".to_owned(),
        region: String::new(),
        zones: [].into(),
        ingress: None,
        readiness: None,
        control_plane: None,
        ephemeral_ports: (7660, 7675),
        seeds: Vec::new(),
        bootstrap: false,
        counts_for_quorum: true,
        data_dir: None,
        heartbeat_interval: seconds(1),
        fault_tolerance: FaultTolerance { hosts: 1, zones: 0, regions: 0 },
        limits: MachineLimits { memory_mb: 256, max_fds: 1024, link_mbps: 1000.0, disk_mb: 0 },
        bounds,
    };
    assert_eq!(settings, expected);
    assert_eq!(SETTINGS_PATH_VARIABLE, "SHALETRAIL_BOOT");
}

fn parse_error(text: &str) -> SettingsError {
    text.parse::<Settings>().expect_err("the file cannot be used")
}

#[test]
fn errors_name_missing_keys() {
    let without = |key: &str| {
        let lines = REQUIRED_KEYS.lines().filter(|line| !line.starts_with(key));
        let error = parse_error(&lines.collect::<Vec<_>>().join("\n"));
        assert!(matches!(error, SettingsError::MissingKey { .. }), "{error:?}");
        error.to_string()
    };
    assert_eq!(without("nodeName"), "nodeName: missing, expected the machine's name");
    assert_eq!(without("ip"), "ip: missing, expected an IPv4 address");
    assert_eq!(without("zone"), "zone: missing, expected the machine's zone");
    let ports = "ephemeralPorts: missing, expected the first and the last port, with a comma between them";
    assert_eq!(without("ephemeralPorts"), ports);
}

#[test]
fn errors_name_invalid_values_and_expectations() {
    let expectations = [
        ("ip=10.1", "ip: '10.1' found, expected an IPv4 address"),
        ("listenersMap.ingress=a", "listenersMap.ingress: 'a' found, expected IP:PORT"),
        ("listenersMap.readiness=b", "listenersMap.readiness: 'b' found, expected IP:PORT"),
        ("listenersMap.controlPlane=c", "listenersMap.controlPlane: 'c' found, expected IP:PORT"),
        ("countsForQuorum=1", "countsForQuorum: '1' found, expected true or false"),
        ("faultTolerance.hostsLost=-1", "faultTolerance.hostsLost: '-1' found, expected a whole number"),
        ("faultTolerance.zones=a", "faultTolerance.zones: 'a' found, expected a whole number"),
        ("faultTolerance.regions=1.5", "faultTolerance.regions: '1.5' found, expected a whole number"),
        ("limits.memoryMb=x", "limits.memoryMb: 'x' found, expected a whole number"),
        ("limits.maxFds=y", "limits.maxFds: 'y' found, expected a whole number"),
        ("limits.linkMbps=-2", "limits.linkMbps: '-2' found, expected a number of 0 or more"),
        ("limits.diskMb=z", "limits.diskMb: 'z' found, expected a whole number"),
        ("bounds.leaseMs=0", "bounds.leaseMs: '0' found, expected a number over 0"),
        ("bounds.retryRatio=NaN", "bounds.retryRatio: 'NaN' found, expected a number of 0 or more"),
        ("bounds.fencing=no", "bounds.fencing: 'no' found, expected true or false"),
    ];
    for (line, text) in expectations {
        let error = parse_error(&format!("{REQUIRED_KEYS}{line}\n"));
        assert!(matches!(error, SettingsError::InvalidValue { .. }), "{error:?}");
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn error_names_unreadable_file() {
    let error = Settings::read(Path::new("/nowhere/settings")).expect_err("there is no such file");
    assert!(matches!(error, SettingsError::ReadFile { .. }), "{error:?}");
    assert_eq!(error.to_string(), "settings file /nowhere/settings: No such file or directory (os error 2)");
}
