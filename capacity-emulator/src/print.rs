//! Tables.

use std::fmt::Write;

use strum::IntoEnumIterator;

use crate::growth::{power, Figure};
use crate::ledger::{Kind, Ledger, Tally, Work};
use crate::measure::Measurement;

/// All that came of one run.
pub fn measurement(measurement: &Measurement) -> String {
    let mut text = String::new();
    let options = &measurement.options;
    let _ = writeln!(
        text,
        "== {} edges ({} with routers), {} servers, {} coordinators, {} services, {} models, seed {}",
        options.edges,
        options.full_edges,
        options.servers,
        options.cores,
        options.services,
        options.models,
        options.seed
    );
    let (asked, served, failed) = measurement.requests;
    let _ = writeln!(
        text,
        "   {:.1} virtual s in {:.0} real s{}; requests {asked}, served {served}, failed {failed}; {} servers known",
        measurement.virtual_time as f64 / 1e3,
        measurement.real_time.as_secs_f64(),
        if measurement.given_up { ", given up" } else { "" },
        measurement.servers_known,
    );
    for phase in &measurement.phases {
        let _ = writeln!(text, "-- {}: {:.2} s, {} loads", phase.name, phase.seconds, phase.loads);
        let edges = phase.edges.len().max(1) as f64;
        ledger(&mut text, "edge (mean)", &phase.all_edges(), phase.seconds * edges);
        let cores = phase.cores.len().max(1) as f64;
        ledger(&mut text, "coordinator (mean)", &phase.all_cores(), phase.seconds * cores);
        if let Some(busiest) = phase.cores.iter().max_by_key(|core| core.control_time()) {
            ledger(&mut text, "coordinator (busiest)", busiest, phase.seconds);
        }
    }
    state(&mut text, measurement);
    text
}

fn ledger(text: &mut String, title: &str, ledger: &Ledger, seconds: f64) {
    let _ = writeln!(
        text,
        "{title:24} {:>10} {:>12} {:>10} {:>12} {:>12} {:>10} {:>10}",
        "in msg/s", "in B/s", "out msg/s", "out B/s", "zone B/s", "ms/s", "longest ms"
    );
    for kind in Kind::iter() {
        let tally = |tallies: &std::collections::BTreeMap<Kind, Tally>| {
            tallies.get(&kind).copied().unwrap_or_default()
        };
        let (received, sent) = (tally(&ledger.received), tally(&ledger.sent));
        let work = ledger.work.get(&kind).copied().unwrap_or_default();
        if received.messages + sent.messages + work.events > 0 {
            row(text, &kind.to_string(), received, sent, work, seconds);
        }
    }
    let longest = ledger.work.values().map(|work| work.longest).max().unwrap_or_default();
    let work = Work { time: ledger.control_time(), longest, ..Work::default() };
    row(text, "all (time: control)", ledger.all_received(), ledger.all_sent(), work, seconds);
    let disk = &ledger.disk;
    if disk.syncs > 0 {
        let _ = writeln!(
            text,
            "  disk: {:.2} syncs/s, {:.2} records/s, {:.0} B/s (directory {:.0} B/s), {} checkpoints",
            disk.syncs as f64 / seconds,
            disk.records as f64 / seconds,
            disk.bytes as f64 / seconds,
            disk.directory_bytes as f64 / seconds,
            disk.checkpoints
        );
    }
}

fn row(text: &mut String, name: &str, received: Tally, sent: Tally, work: Work, seconds: f64) {
    let _ = writeln!(
        text,
        "  {name:22} {:>10.2} {:>12.0} {:>10.2} {:>12.0} {:>12.0} {:>10.3} {:>10.2}",
        received.messages as f64 / seconds,
        received.bytes as f64 / seconds,
        sent.messages as f64 / seconds,
        sent.bytes as f64 / seconds,
        sent.between_zones as f64 / seconds,
        work.time.as_secs_f64() * 1e3 / seconds,
        work.longest.as_secs_f64() * 1e3
    );
}

fn state(text: &mut String, measurement: &Measurement) {
    let encoded = &measurement.encoded;
    let _ = writeln!(
        text,
        "-- encoded: record {:.0} B, whole reply {} B ({} servers), configuration {} B, journal {} B",
        encoded.record, encoded.whole_reply, encoded.servers, encoded.configuration, encoded.journal
    );
    if let Some(memory) = &measurement.memory {
        let _ = writeln!(
            text,
            "-- memory: edge's router {} B (its servers alone {} B), view {} B; coordinator {} B, largest {} B \
             (records {} B, configuration {} B)",
            memory.router,
            memory.router_of_servers,
            memory.view,
            memory.core,
            memory.largest_core,
            memory.records,
            memory.configuration
        );
    }
    let _ = writeln!(
        text,
        "-- back after: {:?}; most polls at one coordinator {}",
        measurement.recovery, measurement.most_polls
    );
}

/// A sweep: figures at sizes that differ in one thing, and the powers between neighbours.
pub fn sweep(name: &str, sizes: &[(f64, &Measurement)]) -> String {
    let mut text = format!("== growth with {name}\n{:22}", "");
    for (size, _) in sizes {
        let _ = write!(text, " {size:>12.0} {:>6}", "power");
    }
    text.push('\n');
    for figure in Figure::iter() {
        let _ = write!(text, "{:22}", figure.to_string());
        let mut former: Option<(f64, f64)> = None;
        for (size, measurement) in sizes {
            let value = figure.of(measurement);
            let grows = match (former, value) {
                (Some((smaller, less)), Some(value)) => power((smaller, *size), (less, value)),
                _ => None,
            };
            let shown = value.map_or("-".to_owned(), |value| format!("{value:.2}"));
            let grows = grows.map_or(String::new(), |power| format!("{power:.2}"));
            let _ = write!(text, " {shown:>12} {grows:>6}");
            former = value.map(|value| (*size, value)).or(former);
        }
        text.push('\n');
    }
    text
}
