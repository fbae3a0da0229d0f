//! Text tables of the results of a run or a sweep.

use std::collections::BTreeMap;
use std::fmt::Write;

use strum::IntoEnumIterator;

use crate::activity::Activity;
use crate::growth::{growth_exponent, Metric};
use crate::measurement::{Measurement, RequestCounts};
use crate::usage::{CpuUsage, ResourceUsage, Traffic};

/// Width of the column of metric names, in characters.
const METRIC_WIDTH: usize = 26;

/// The tables of one run.
pub fn measurement(measurement: &Measurement) -> String {
    let mut text = String::new();
    let options = &measurement.options;
    let _ = writeln!(
        text,
        "== {} edges ({} with routers), {} servers, {} coordinators, {} services, {} models, seed {}",
        options.edges,
        options.routing_edges,
        options.servers,
        options.coordinators,
        options.services,
        options.models,
        options.seed
    );
    let RequestCounts { received, served, failed } = measurement.requests;
    let _ = writeln!(
        text,
        "   {:.1} virtual s in {:.0} real s{}; requests {received}, served {served}, failed {failed}; {} servers known",
        measurement.virtual_time as f64 / 1e3,
        measurement.real_time.as_secs_f64(),
        if measurement.timed_out { ", timed out" } else { "" },
        measurement.known_servers,
    );
    for phase in &measurement.phases {
        let _ = writeln!(text, "-- {}: {:.2} s, {} loads", phase.name, phase.seconds, phase.completed_loads);
        let edges = phase.edges.len().max(1) as f64;
        write_usage_table(&mut text, "edge (mean)", &phase.all_edges(), phase.seconds * edges);
        let coordinators = phase.coordinators.len().max(1) as f64;
        write_usage_table(
            &mut text,
            "coordinator (mean)",
            &phase.all_coordinators(),
            phase.seconds * coordinators,
        );
        if let Some(busiest) =
            phase.coordinators.iter().max_by_key(|coordinator| coordinator.control_plane_time())
        {
            write_usage_table(&mut text, "coordinator (busiest)", busiest, phase.seconds);
        }
    }
    write_sizes(&mut text, measurement);
    text
}

fn write_usage_table(text: &mut String, title: &str, usage: &ResourceUsage, seconds: f64) {
    let _ = writeln!(
        text,
        "{title:24} {:>10} {:>12} {:>10} {:>12} {:>12} {:>10} {:>10}",
        "in msg/s", "in B/s", "out msg/s", "out B/s", "zone B/s", "ms/s", "longest ms"
    );
    for activity in Activity::iter() {
        let traffic = |traffic_by_activity: &BTreeMap<Activity, Traffic>| {
            traffic_by_activity.get(&activity).copied().unwrap_or_default()
        };
        let (received, sent) = (traffic(&usage.received), traffic(&usage.sent));
        let cpu = usage.cpu.get(&activity).copied().unwrap_or_default();
        if received.messages + sent.messages + cpu.events > 0 {
            write_usage_row(text, &activity.to_string(), received, sent, cpu, seconds);
        }
    }
    let longest = usage.cpu.values().map(|cpu| cpu.longest).max().unwrap_or_default();
    let cpu = CpuUsage { time: usage.control_plane_time(), longest, ..CpuUsage::default() };
    write_usage_row(text, "all (time: control)", usage.all_received(), usage.all_sent(), cpu, seconds);
    let journal = &usage.journal;
    if journal.syncs > 0 {
        let _ = writeln!(
            text,
            "  journal: {:.2} syncs/s, {:.2} records/s, {:.0} B/s (directory {:.0} B/s), {} checkpoints",
            journal.syncs as f64 / seconds,
            journal.records as f64 / seconds,
            journal.bytes as f64 / seconds,
            journal.directory_bytes as f64 / seconds,
            journal.checkpoints
        );
    }
}

fn write_usage_row(
    text: &mut String,
    name: &str,
    received: Traffic,
    sent: Traffic,
    cpu: CpuUsage,
    seconds: f64,
) {
    let _ = writeln!(
        text,
        "  {name:22} {:>10.2} {:>12.0} {:>10.2} {:>12.0} {:>12.0} {:>10.3} {:>10.2}",
        received.messages as f64 / seconds,
        received.bytes as f64 / seconds,
        sent.messages as f64 / seconds,
        sent.bytes as f64 / seconds,
        sent.cross_zone_bytes as f64 / seconds,
        cpu.time.as_secs_f64() * 1e3 / seconds,
        cpu.longest.as_secs_f64() * 1e3
    );
}

fn write_sizes(text: &mut String, measurement: &Measurement) {
    let encoded = &measurement.encoded;
    let _ = writeln!(
        text,
        "-- encoded: record {:.0} B, full response {} B ({} servers), configuration {} B, journal {} B",
        encoded.record, encoded.full_response, encoded.servers, encoded.configuration, encoded.journal
    );
    if let Some(memory) = &measurement.memory {
        let _ = writeln!(
            text,
            "-- memory: edge's router {} B (its servers alone {} B), view {} B; coordinator {} B, largest {} B \
             (records {} B, configuration {} B)",
            memory.router,
            memory.router_with_servers_only,
            memory.config_view,
            memory.coordinator,
            memory.largest_coordinator,
            memory.records,
            memory.configuration
        );
    }
    let _ = writeln!(
        text,
        "-- recovered after: {:?}; most polls pending at one coordinator {}",
        measurement.recovery, measurement.max_pending_polls
    );
}

/// The table of a sweep: metrics at sizes that differ in one dimension, and growth exponents between consecutive sizes.
pub fn sweep(dimension: &str, runs: &[(f64, &Measurement)]) -> String {
    let mut text = format!("== growth with {dimension}\n{:METRIC_WIDTH$}", "");
    for (size, _) in runs {
        let _ = write!(text, " {size:>12.0} {:>6}", "power");
    }
    text.push('\n');
    for metric in Metric::iter() {
        write_sweep_row(&mut text, metric, runs);
    }
    text
}

fn write_sweep_row(text: &mut String, metric: Metric, runs: &[(f64, &Measurement)]) {
    let _ = write!(text, "{:METRIC_WIDTH$}", metric.to_string());
    let mut previous: Option<(f64, f64)> = None;
    for (size, measurement) in runs {
        let value = metric.value_in(measurement);
        let exponent = match (previous, value) {
            (Some((previous_size, previous_value)), Some(value)) => {
                growth_exponent((previous_size, *size), (previous_value, value))
            }
            _ => None,
        };
        let value_text = value.map_or("-".to_owned(), |value| format!("{value:.2}"));
        let exponent_text = exponent.map_or(String::new(), |exponent| format!("{exponent:.2}"));
        let _ = write!(text, " {value_text:>12} {exponent_text:>6}");
        previous = value.map(|value| (*size, value)).or(previous);
    }
    text.push('\n');
}
