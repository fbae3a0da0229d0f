//! Tests of the settings file: values and their units, ignored keys, and error messages.

use std::time::Duration;

use shaletrail_protocol::settings::{FaultTolerance, Settings};

const COORDINATOR_SETTINGS: &str = "\
nodeName=core-a-1
ip=10.1.0.38
zone=hall-a
region=north
zones.hall-a=north
zones.hall-b=north
listenersMap.controlPlane=10.1.0.38:8146
ephemeralPorts=7660,7675
seedNodes=10.1.0.38:8146,10.2.0.30:8146
bootstrap=true
countsForQuorum=true
limits.memoryMb=256
dataDir=/data/core
heartbeatMs=1200
faultTolerance.hostsLost=2
bounds.drainMs=2500
bounds.retryRatio=0.2
bounds.fencing=false
bounds.somethingNew=7
";

fn parse_error(text: &str) -> String {
    text.parse::<Settings>().map_or_else(|error| error.to_string(), |_| "no error".to_owned())
}

#[test]
fn values_have_units_and_unknown_keys_are_ignored() {
    let settings: Settings = COORDINATOR_SETTINGS.parse().expect("valid settings");

    assert_eq!(settings.node().to_string(), "10.1.0.38");
    assert_eq!(settings.heartbeat_interval, Duration::from_millis(1200));
    assert_eq!(settings.bounds.drain, Duration::from_millis(2500));
    assert_eq!(settings.bounds.retry_ratio, 0.2);
    assert_eq!(settings.fault_tolerance, FaultTolerance { hosts: 2, zones: 0, regions: 0 });
    assert_eq!(settings.internal_port(), 7660);
    assert_eq!(settings.zones.len(), 2);
    assert!(settings.bootstrap && settings.counts_for_quorum && !settings.bounds.fencing);
}

#[test]
fn seed_nodes_exclude_this_machine() {
    let settings: Settings = COORDINATOR_SETTINGS.parse().expect("valid settings");

    let others: Vec<String> = settings.seed_nodes().iter().map(|node| node.to_string()).collect();

    assert_eq!(others, ["10.2.0.30"]);
}

#[test]
fn missing_key_error_names_key_and_expectation() {
    insta::assert_snapshot!(parse_error(&COORDINATOR_SETTINGS.replace("ip=10.1.0.38\n", "")), @"ip: missing, expected an IPv4 address");
    insta::assert_snapshot!(
        parse_error(&COORDINATOR_SETTINGS.replace("ephemeralPorts=7660,7675\n", "")),
        @"ephemeralPorts: missing, expected the first and the last port, with a comma between them"
    );
}

#[test]
fn invalid_value_error_names_key_value_and_expectation() {
    insta::assert_snapshot!(
        parse_error(&COORDINATOR_SETTINGS.replace("heartbeatMs=1200", "heartbeatMs=often")),
        @"heartbeatMs: 'often' found, expected a number over 0"
    );
    insta::assert_snapshot!(
        parse_error(&COORDINATOR_SETTINGS.replace("bounds.drainMs=2500", "bounds.drainMs=-1")),
        @"bounds.drainMs: '-1' found, expected a number over 0"
    );
    insta::assert_snapshot!(
        parse_error(&COORDINATOR_SETTINGS.replace("10.2.0.30:8146", "10.2.0.30")),
        @"seedNodes: '10.2.0.30' found, expected addresses, IP:PORT, with commas between them"
    );
    insta::assert_snapshot!(
        parse_error(&COORDINATOR_SETTINGS.replace("bootstrap=true", "bootstrap=perhaps")),
        @"bootstrap: 'perhaps' found, expected true or false"
    );
    insta::assert_snapshot!(
        parse_error(&COORDINATOR_SETTINGS.replace("7660,7675", "7675,7660")),
        @"ephemeralPorts: '7675,7660' found, expected the first and the last port, with a comma between them"
    );
}
