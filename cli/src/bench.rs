//! `shaletrail-fleet bench …`: measures the list service and duties on this machine.

use std::time::Duration;

use clap::Subcommand;
use indicatif::ProgressBar;
use shaletrail_fault_lab::bench::{measure_registry, Size, Spread};
use shaletrail_fault_lab::bench_duty;
use shaletrail_registry_protocol::duty::check_lease;

use crate::Failure;

#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Commands,
}

#[derive(Subcommand)]
enum Commands {
    /// Measure the list service and compare it with a plain list in memory
    Registry(Registry),
    /// Measure hand-overs of a duty and the calls that candidates make
    Duty(Duty),
}

#[derive(clap::Args)]
struct Duty {
    /// Hand-overs of each kind
    #[arg(long, default_value_t = 20)]
    times: usize,
    /// Lease of the duty, in seconds
    #[arg(long, default_value_t = 1.0)]
    lease_s: f64,
    /// Seconds for which calls are counted in each state
    #[arg(long, default_value_t = 10.0)]
    count_s: f64,
    /// Seed for the moments, relative to the renewals, at which hand-overs are caused
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one JSON object instead of text
    #[arg(long)]
    json: bool,
}

#[derive(clap::Args)]
struct Registry {
    /// Cache servers in the list
    #[arg(long, default_value_t = 5000)]
    servers: usize,
    /// Concurrent watchers
    #[arg(long, default_value_t = 1000)]
    watchers: usize,
    /// How often the leader is killed
    #[arg(long, default_value_t = 20)]
    failovers: usize,
    /// Seconds of churn for the measurement of memory
    #[arg(long, default_value_t = 600)]
    churn_s: u64,
    /// Changes in the log before start times are measured
    #[arg(long, default_value_t = 50_000)]
    history: usize,
    /// Seed for the choice of the servers that change
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one JSON object instead of text
    #[arg(long)]
    json: bool,
}

/// Runs the benchmark that the subcommand names.
pub async fn run(args: Args) -> Result<(), Failure> {
    match args.command {
        Commands::Registry(args) => run_registry(args).await,
        Commands::Duty(args) => run_duty(args).await,
    }
}

/// Shows what is being measured, on a terminal or in the log.
struct Progress(ProgressBar);

impl Progress {
    fn new() -> Self {
        // The bar is hidden if standard error is not a terminal.
        let bar = ProgressBar::new_spinner();
        bar.enable_steady_tick(Duration::from_millis(500));
        Progress(bar)
    }

    fn say(&self, what: &str) {
        if self.0.is_hidden() {
            tracing::info!("{what}");
        }
        self.0.set_message(what.to_owned());
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.0.finish_and_clear();
    }
}

fn spread(s: &Spread) -> String {
    format!("{:.1} ({:.1} to {:.1}, {} times)", s.median, s.least, s.most, s.count)
}

async fn run_duty(args: Duty) -> Result<(), Failure> {
    check_lease(args.lease_s).map_err(Failure::invalid)?;
    if args.times == 0 || args.count_s <= 0.0 {
        return Err(Failure::Invalid("--times, --count-s: more than 0 expected".into()));
    }
    let size =
        bench_duty::Size { times: args.times, lease_s: args.lease_s, count_s: args.count_s, seed: args.seed };
    let program = std::env::current_exe().map_err(Failure::failed)?;
    let progress = Progress::new();
    let measured = tokio::task::spawn_blocking(move || {
        bench_duty::measure_duty(&program, size, |what| progress.say(what))
    });
    let report = measured.await.map_err(Failure::failed)?;
    if args.json {
        println!("{}", serde_json::to_string(&report).map_err(Failure::failed)?);
        return Ok(());
    }
    println!("machine: {}\nseed {}, leases of {} s", report.machine, report.size.seed, report.size.lease_s);
    println!("from the cause to the next holder's first call, ms:");
    for kind in &report.hand_overs {
        println!("  {}: {}, bound {:.0}", kind.cause, spread(&kind.ms), kind.bound_ms);
    }
    println!("calls a second at the registry, leases of 10 s:");
    for calls in &report.calls {
        println!("  {}: {:.1}; the log grew by {}", calls.state, calls.per_s, calls.log_entries);
    }
    Ok(())
}

async fn run_registry(args: Registry) -> Result<(), Failure> {
    if args.servers == 0 || args.watchers == 0 || args.history == 0 {
        return Err(Failure::Invalid("--servers, --watchers, --history: 1 or more expected".into()));
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
    let progress = Progress::new();
    let report = measure_registry(&program, size, args.seed, |what| progress.say(what)).await;
    drop(progress);
    let report = report.map_err(Failure::failed)?;
    if args.json {
        println!("{}", serde_json::to_string(&report).map_err(Failure::failed)?);
        return Ok(());
    }
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
