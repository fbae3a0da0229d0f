//! `shaletrail-fleet lab …`: runs scenarios of the fault lab and judges the results.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Subcommand;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use shaletrail_fault_lab::evaluation::{evaluate, Report, Verdict};
use shaletrail_fault_lab::experiment::{compare, find_cliff, sweep_step, with_value, Estimate, SweepStep};
use shaletrail_fault_lab::orchestrator::{self, Programs};
use shaletrail_fault_lab::process::start_reaper;
use shaletrail_fault_lab::report::{plot, row, write, Curve, ROW_HEAD};
use shaletrail_fault_lab::scenario::{Scenario, CATALOGUE};

use crate::{shutdown_signal, Failure};

/// File in the folder of a run's report, which `replay` reads.
const SCENARIO: &str = "scenario.toml";

#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Commands,
}

#[derive(Subcommand)]
enum Commands {
    /// List the built-in scenarios
    List,
    /// Check whether a scenario is valid, and summarize it
    Check {
        /// A file, or the name of a built-in scenario
        scenario: String,
        /// Print the whole scenario with every default, as TOML
        #[arg(long)]
        show: bool,
    },
    /// Run a scenario. Exit code 0: all rules held; 1: a rule was broken; 3: the run is void, because the lab
    /// itself was too late
    Run(Run),
    /// Repeat an earlier run with its scenario and seed
    Replay {
        /// The folder that was given as `--out`
        dir: PathBuf,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Compare two builds of the node by alternating runs, each seed with both
    Compare(Compare),
    /// Run a scenario with one parameter varied over a range, and look for a sharp drop in goodput
    Sweep(Sweep),
    /// Work of a duty's holder in tests: increments a fenced counter again and again
    #[command(hide = true)]
    Count {
        #[arg(long)]
        at: std::net::SocketAddr,
        #[arg(long, default_value_t = 0)]
        between_ms: u64,
        #[arg(long, default_value_t = 5)]
        pause_ms: u64,
    },
}

/// The node's program and where the report goes.
#[derive(clap::Args)]
struct RunOptions {
    /// The node's program. Default: `shaletrail-node` beside this program
    #[arg(long)]
    node: Option<PathBuf>,
    /// Folder for the report and the plots
    #[arg(long)]
    out: Option<PathBuf>,
    /// Print JSON to standard output
    #[arg(long)]
    json: bool,
}

#[derive(clap::Args)]
struct Compare {
    /// A file, or the name of a built-in scenario
    scenario: String,
    /// Build A of the node's program
    #[arg(long)]
    a: PathBuf,
    /// Build B of the node's program
    #[arg(long)]
    b: PathBuf,
    /// Runs of each build
    #[arg(long, default_value_t = 5)]
    runs: u64,
    /// Seed of the first pair of runs; each following pair uses the next number
    #[arg(long)]
    seed: Option<u64>,
    /// Folder for compare.json and compare.md
    #[arg(long)]
    out: Option<PathBuf>,
    /// Print JSON to standard output
    #[arg(long)]
    json: bool,
}

#[derive(clap::Args)]
struct Sweep {
    /// A file, or the name of a built-in scenario
    scenario: String,
    /// The parameter to vary, by its path in the scenario file
    #[arg(long, default_value = "load.of_capacity")]
    vary: String,
    #[arg(long, default_value_t = 0.3)]
    from: f64,
    #[arg(long, default_value_t = 3.0)]
    to: f64,
    /// Number of values, including the first and the last
    #[arg(long, default_value_t = 10)]
    steps: usize,
    /// Runs per value
    #[arg(long, default_value_t = 1)]
    runs: u64,
    #[arg(long)]
    seed: Option<u64>,
    #[command(flatten)]
    options: RunOptions,
}

#[derive(clap::Args)]
struct Run {
    /// A file, or the name of a built-in scenario
    scenario: String,
    /// Seed of all random choices. Default: the scenario's own
    #[arg(long)]
    seed: Option<u64>,
    #[command(flatten)]
    options: RunOptions,
}

/// Runs the `lab` subcommand that the arguments name.
pub async fn run(args: Args) -> Result<(), Failure> {
    match args.command {
        Commands::List => list(),
        Commands::Check { scenario, show } => check(&scenario, show),
        Commands::Run(args) => {
            let scenario = Scenario::load(&args.scenario).map_err(Failure::invalid)?;
            let seed = args.seed.unwrap_or(scenario.seed);
            run_once(&scenario, seed, args.options).await
        }
        Commands::Replay { dir, options } => {
            let file = dir.join(SCENARIO).display().to_string();
            let scenario = Scenario::load(&file).map_err(Failure::invalid)?;
            run_once(&scenario, scenario.seed, options).await
        }
        Commands::Compare(args) => compare_builds(args).await,
        Commands::Sweep(args) => sweep(args).await,
        Commands::Count { at, between_ms, pause_ms } => {
            let (between, pause) = (Duration::from_millis(between_ms), Duration::from_millis(pause_ms));
            shaletrail_fault_lab::fenced_counter::count(at, between, pause).await.map_err(Failure::Failed)
        }
    }
}

fn list() -> Result<(), Failure> {
    for text in CATALOGUE {
        let scenario = Scenario::parse("catalogue", text).map_err(Failure::failed)?;
        println!("{:20} {:4.0} s  {}", scenario.name, scenario.seconds + scenario.lead_s, scenario.about);
    }
    Ok(())
}

fn check(name: &str, show: bool) -> Result<(), Failure> {
    let scenario = Scenario::load(name).map_err(Failure::invalid)?;
    if show {
        print!("{}", toml::to_string(&scenario).map_err(Failure::failed)?);
        return Ok(());
    }
    let fleet = &scenario.fleet;
    println!(
        "{}: {} servers, {} nodes, {} replicas in {} zones; {:.0} requests a second for {:.0} s after {:.0} s; {} faults",
        scenario.name,
        fleet.servers,
        fleet.nodes,
        fleet.replicas,
        fleet.zones.len(),
        scenario.per_s(),
        scenario.seconds,
        scenario.lead_s,
        scenario.faults.len()
    );
    Ok(())
}

/// Paths of this program and the node's program. It is an error if the latter does not exist.
pub fn programs(node: Option<PathBuf>) -> Result<Programs, Failure> {
    let command = std::env::current_exe().map_err(Failure::failed)?;
    let node = node.unwrap_or_else(|| command.with_file_name("shaletrail-node"));
    if !node.exists() {
        let node = node.display();
        return Err(Failure::Invalid(format!(
            "{node}: no such program; build it, or give its path as --node"
        )));
    }
    Ok(Programs { command, node })
}

/// Starts the guard process, which kills all child processes when this process ends.
pub fn start_guard_process(programs: &Programs) -> Result<(), Failure> {
    start_reaper(std::process::Command::new(&programs.command).arg("guard")).map_err(Failure::failed)
}

/// Runs a scenario once, with a progress bar on a terminal.
async fn run_scenario(scenario: &Scenario, seed: u64, programs: &Programs) -> Result<Report, Failure> {
    let length = scenario.seconds + scenario.lead_s;
    // The bar is hidden if standard error is not a terminal.
    let bar = ProgressBar::new(length as u64);
    if let Ok(style) = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} s") {
        bar.set_style(style);
    }
    bar.set_message(format!("{} seed {seed}", scenario.name));
    bar.enable_steady_tick(Duration::from_millis(500));
    let run = orchestrator::run_scenario(scenario.clone(), seed, programs, |at| bar.set_position(at as u64));
    let run = tokio::select! {
        run = run => run.map_err(Failure::failed)?,
        () = shutdown_signal() => return Err(Failure::Failed("stopped".to_owned())),
    };
    bar.finish_and_clear();
    Ok(evaluate(&run))
}

async fn run_once(scenario: &Scenario, seed: u64, options: RunOptions) -> Result<(), Failure> {
    let RunOptions { node, out, json } = options;
    let programs = programs(node)?;
    start_guard_process(&programs)?;
    let report = run_scenario(scenario, seed, &programs).await?;
    if let Some(out) = &out {
        write(out, &report).map_err(Failure::failed)?;
        // `replay` reads this file.
        let scenario = Scenario { seed, ..scenario.clone() };
        let text = toml::to_string(&scenario).map_err(Failure::failed)?;
        std::fs::write(out.join(SCENARIO), text).map_err(Failure::failed)?;
    }
    if json {
        println!("{}", serde_json::to_string(&report).map_err(Failure::failed)?);
    } else {
        println!("{ROW_HEAD}\n{}", row(&report));
    }
    let reasons = report.reasons.join("; ");
    match report.verdict {
        Verdict::Pass => Ok(()),
        Verdict::Fail => Err(Failure::Failed(reasons)),
        Verdict::Void => Err(Failure::Void(reasons)),
    }
}

/// Runs a scenario, and repeats it once if the run is void.
async fn run_until_valid(scenario: &Scenario, seed: u64, programs: &Programs) -> Result<Report, Failure> {
    for _ in 0..2 {
        let report = run_scenario(scenario, seed, programs).await?;
        if report.verdict != Verdict::Void {
            return Ok(report);
        }
        tracing::warn!("{}: {}", scenario.name, report.reasons.join("; "));
    }
    Err(Failure::Void(format!(
        "{}: two void runs in a row; this machine is too slow or too busy",
        scenario.name
    )))
}

/// Writes a result as JSON and as Markdown, and prints one of the two.
fn write_result(
    out: Option<&Path>,
    name: &str,
    value: &impl Serialize,
    text: &str,
    json: bool,
) -> Result<(), Failure> {
    let json_text = serde_json::to_string_pretty(value).map_err(Failure::failed)?;
    if let Some(out) = out {
        std::fs::create_dir_all(out).map_err(Failure::failed)?;
        std::fs::write(out.join(format!("{name}.json")), &json_text).map_err(Failure::failed)?;
        std::fs::write(out.join(format!("{name}.md")), text).map_err(Failure::failed)?;
    }
    print!("{}", if json { json_text + "\n" } else { text.to_owned() });
    Ok(())
}

async fn compare_builds(args: Compare) -> Result<(), Failure> {
    if args.runs < 2 {
        return Err(Failure::Invalid("--runs: 2 or more expected; one run has no spread".into()));
    }
    let scenario = Scenario::load(&args.scenario).map_err(Failure::invalid)?;
    let (a, b) = (programs(Some(args.a))?, programs(Some(args.b))?);
    start_guard_process(&a)?;
    let first = args.seed.unwrap_or(scenario.seed);
    let mut pairs = Vec::new();
    for seed in first..first + args.runs {
        // The builds take turns at being first, so that other load on the machine affects both alike.
        let (first_build, second_build) = if seed % 2 == 0 { (&a, &b) } else { (&b, &a) };
        let report_a = run_until_valid(&scenario, seed, first_build).await?;
        let report_b = run_until_valid(&scenario, seed, second_build).await?;
        pairs.push(if seed % 2 == 0 { (report_a, report_b) } else { (report_b, report_a) });
        tracing::info!("seed {seed} finished with both builds");
    }
    let differences = compare(&pairs);
    let mut text = format!(
        "{}: {} runs of each, seeds {first} to {}\n\n| figure | A | B | B less A, 95% | |\n| --- | --- | --- | --- | --- |\n",
        scenario.name,
        args.runs,
        first + args.runs - 1
    );
    for d in &differences {
        let spread = |e: &Estimate| format!("{:.3} ({:.3} to {:.3})", e.mean, e.least, e.most);
        let within = d.b_less_a.within.unwrap_or(f64::INFINITY);
        let conclusion = if d.shown { "differs" } else { "no difference shown" };
        text += &format!(
            "| {} | {} | {} | {:+.3} ± {within:.3} | {conclusion} |\n",
            d.figure,
            spread(&d.a),
            spread(&d.b),
            d.b_less_a.mean
        );
    }
    write_result(args.out.as_deref(), "compare", &differences, &text, args.json)
}

async fn sweep(args: Sweep) -> Result<(), Failure> {
    if args.steps < 2 || args.runs == 0 || args.to <= args.from {
        return Err(Failure::Invalid(
            "--steps of 2 or more, --runs of 1 or more, and --from below --to expected".into(),
        ));
    }
    let base = Scenario::load(&args.scenario).map_err(Failure::invalid)?;
    let programs = programs(args.options.node)?;
    let value = |n: usize| args.from + (args.to - args.from) * n as f64 / (args.steps - 1) as f64;
    let scenarios: Result<Vec<_>, _> =
        (0..args.steps).map(|n| Ok((value(n), with_value(&base, &args.vary, value(n))?))).collect();
    let scenarios =
        scenarios.map_err(|e: shaletrail_fault_lab::scenario::ScenarioError| Failure::invalid(e))?;
    start_guard_process(&programs)?;
    let first = args.seed.unwrap_or(base.seed);
    let mut steps = Vec::new();
    for (value, scenario) in &scenarios {
        let mut reports = Vec::new();
        for seed in first..first + args.runs {
            reports.push(run_until_valid(scenario, seed, &programs).await?);
        }
        steps.push(sweep_step(*value, &reports));
        tracing::info!("{} = {value:.2}: goodput {:.2}", args.vary, steps[steps.len() - 1].goodput);
    }
    let mut text = format!(
        "{}: {} from {} to {}, {} runs each from seed {first}\n\n\
         | {} | offered worth/s | served worth/s | attempts a request | origin fetches a request |\n\
         | --- | --- | --- | --- | --- |\n",
        base.name, args.vary, args.from, args.to, args.runs, args.vary
    );
    for s in &steps {
        text += &format!(
            "| {:.2} | {:.2} | {:.2} | {:.2} | {:.3} |\n",
            s.value, s.offered_worth_per_s, s.goodput, s.attempts_per_request, s.origin_fetches_per_request
        );
    }
    text += &match find_cliff(&steps) {
        None => "\nNo cliff: served worth is nowhere 20% under the highest before it.\n".to_owned(),
        Some(at) => format!(
            "\nA cliff: at {:.2} served worth is 20% or more under the highest before it.\n",
            at.value
        ),
    };
    if let Some(out) = &args.options.out {
        std::fs::create_dir_all(out).map_err(Failure::failed)?;
        let curve = |name: &str, read: fn(&SweepStep) -> f64| Curve {
            name: name.to_owned(),
            points: steps.iter().map(|s| (s.value, read(s))).collect(),
        };
        let curves = [curve("served", |s| s.goodput), curve("offered", |s| s.offered_worth_per_s)];
        let axes = (args.vary.as_str(), "worth a second");
        plot(&out.join("sweep.svg"), "Goodput", axes, &curves, &[]).map_err(Failure::failed)?;
    }
    write_result(args.options.out.as_deref(), "sweep", &steps, &text, args.options.json)
}
