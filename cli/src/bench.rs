//! `shaletrail bench …`

use std::time::Duration;

use clap::Subcommand;
use indicatif::ProgressBar;
use shaletrail_lab::bench::{registry, Size, Spread};

use crate::Failure;

#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Measure the list service against a plain list in memory
    Registry(Registry),
}

#[derive(clap::Args)]
struct Registry {
    /// Cache servers in the list
    #[arg(long, default_value_t = 5000)]
    servers: usize,
    /// Watches held at once
    #[arg(long, default_value_t = 1000)]
    watchers: usize,
    /// Kills of the leader
    #[arg(long, default_value_t = 20)]
    failovers: usize,
    /// Seconds of churn for the memory's figure
    #[arg(long, default_value_t = 600)]
    churn_s: u64,
    /// Changes before the starts are timed
    #[arg(long, default_value_t = 50_000)]
    history: usize,
    /// Draws which servers change
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// One JSON object instead of text
    #[arg(long)]
    json: bool,
}

pub async fn run(args: Args) -> Result<(), Failure> {
    let Verb::Registry(args) = args.verb;
    if args.servers == 0 || args.watchers == 0 || args.history == 0 {
        return Err(Failure::Wrong("--servers, --watchers, --history: 1 or more expected".into()));
    }
    let size = Size {
        servers: args.servers,
        watchers: args.watchers,
        changes: 20,
        writers: 64,
        write_s: 5,
        failovers: args.failovers,
        history: args.history,
        churn_s: args.churn_s,
    };
    let program = std::env::current_exe().map_err(Failure::failed)?;
    // Hidden where standard error is no terminal.
    let bar = ProgressBar::new_spinner();
    bar.enable_steady_tick(Duration::from_millis(500));
    let say = |what: &str| {
        if bar.is_hidden() {
            tracing::info!("{what}");
        }
        bar.set_message(what.to_owned());
    };
    let report = registry(&program, size, args.seed, say).await;
    bar.finish_and_clear();
    let report = report.map_err(Failure::failed)?;
    if args.json {
        println!("{}", serde_json::to_string(&report).map_err(Failure::failed)?);
        return Ok(());
    }
    let spread = |s: &Spread| format!("{:.1} ({:.1} to {:.1}, {} times)", s.median, s.least, s.most, s.count);
    println!("machine: {}\nseed {}, {:?}", report.machine, report.seed, report.size);
    for form in &report.forms {
        println!("{}", form.form);
        println!("  change to last watcher, ms: {}", spread(&form.last_watcher_ms));
        let (bytes, whole) = (form.bytes_a_watcher_a_change, form.whole_list_bytes);
        println!("  bytes a watcher a change: {bytes:.0} (the whole list: {whole})");
        println!("  acknowledged changes a second: {:.0}", form.changes_per_s);
    }
    println!("leader killed to next acknowledged change, ms: {}", spread(&report.failover_ms));
    println!("  list reads meanwhile: {}, failed: {}", report.failover_reads, report.failover_reads_failed);
    println!("start behind a long history, ms: {}", spread(&report.start_ms));
    println!("resident memory under {} changes of churn, KiB: {:?}", report.churn_changes, report.churn_kib);
    Ok(())
}
