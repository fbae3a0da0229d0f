//! `shaletrail-fleet lab …`

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Subcommand;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use shaletrail_fault_lab::evaluation::{evaluate, Report, Verdict};
use shaletrail_fault_lab::experiment::{compare, find_cliff, sweep_step, with_value, Estimate, SweepStep};
use shaletrail_fault_lab::orchestrator::{run_scenario, Programs};
use shaletrail_fault_lab::process::start_reaper;
use shaletrail_fault_lab::report::{plot, row, write, Curve, ROW_HEAD};
use shaletrail_fault_lab::scenario::{Scenario, CATALOGUE};

use crate::{stopped, Failure};

/// In a run's folder, beside its report.
const SCENARIO: &str = "scenario.toml";

#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Name the scenarios that come with the program
    List,
    /// Say whether a scenario can be played, and what it would be
    Check {
        /// A file, or a name of the catalogue
        scenario: String,
        /// Print the whole scenario with every default, as TOML
        #[arg(long)]
        show: bool,
    },
    /// Play a scenario: exit 0 when all that must hold held, 1 when not, 3 when the run says nothing
    Run(Run),
    /// Play again what an earlier run's folder holds, with its seed
    Replay {
        /// The folder that `--out` named
        dir: PathBuf,
        #[command(flatten)]
        told: Told,
    },
    /// Set two builds of the node side by side: runs in turn, each seed with both
    Compare(Compare),
    /// Play a scenario with one figure varied over a range, and look for a cliff
    Sweep(Sweep),
    /// What a holder does in plays of duties: sets a guarded counter one higher, again and again
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

/// With which node, and where the report goes.
#[derive(clap::Args)]
struct Told {
    /// The node's program; the one beside this program without it
    #[arg(long)]
    node: Option<PathBuf>,
    /// Folder for what the run was judged to be, and the plots
    #[arg(long)]
    out: Option<PathBuf>,
    /// JSON on standard output
    #[arg(long)]
    json: bool,
}

#[derive(clap::Args)]
struct Compare {
    /// A file, or a name of the catalogue
    scenario: String,
    /// The node's program A
    #[arg(long)]
    a: PathBuf,
    /// The node's program B
    #[arg(long)]
    b: PathBuf,
    /// Runs of each
    #[arg(long, default_value_t = 5)]
    runs: u64,
    /// Seed of the first pair; the next have the next ones
    #[arg(long)]
    seed: Option<u64>,
    /// Folder for compare.json and compare.md
    #[arg(long)]
    out: Option<PathBuf>,
    /// JSON on standard output
    #[arg(long)]
    json: bool,
}

#[derive(clap::Args)]
struct Sweep {
    /// A file, or a name of the catalogue
    scenario: String,
    /// The figure, by its path in the file
    #[arg(long, default_value = "load.of_capacity")]
    vary: String,
    #[arg(long, default_value_t = 0.3)]
    from: f64,
    #[arg(long, default_value_t = 3.0)]
    to: f64,
    /// Values, the first and the last included
    #[arg(long, default_value_t = 10)]
    steps: usize,
    /// Runs of each value
    #[arg(long, default_value_t = 1)]
    runs: u64,
    #[arg(long)]
    seed: Option<u64>,
    #[command(flatten)]
    told: Told,
}

#[derive(clap::Args)]
struct Run {
    /// A file, or a name of the catalogue
    scenario: String,
    /// Draws everything by chance; the scenario's own without it
    #[arg(long)]
    seed: Option<u64>,
    #[command(flatten)]
    told: Told,
}

pub async fn run(args: Args) -> Result<(), Failure> {
    match args.verb {
        Verb::List => list(),
        Verb::Check { scenario, show } => check(&scenario, show),
        Verb::Run(args) => {
            let scenario = Scenario::load(&args.scenario).map_err(Failure::wrong)?;
            let seed = args.seed.unwrap_or(scenario.seed);
            run_once(&scenario, seed, args.told).await
        }
        Verb::Replay { dir, told } => {
            let file = dir.join(SCENARIO).display().to_string();
            let scenario = Scenario::load(&file).map_err(Failure::wrong)?;
            run_once(&scenario, scenario.seed, told).await
        }
        Verb::Compare(args) => compare_builds(args).await,
        Verb::Sweep(args) => sweep(args).await,
        Verb::Count { at, between_ms, pause_ms } => {
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
    let scenario = Scenario::load(name).map_err(Failure::wrong)?;
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

/// This program and the node's, which must be there.
pub fn programs(node: Option<PathBuf>) -> Result<Programs, Failure> {
    let command = std::env::current_exe().map_err(Failure::failed)?;
    let node = node.unwrap_or_else(|| command.with_file_name("shaletrail-node"));
    if !node.exists() {
        let node = node.display();
        return Err(Failure::Wrong(format!("{node}: no such program; build it, or name it by --node")));
    }
    Ok(Programs { command, node })
}

/// From here on no child outlives this process.
pub fn guard(programs: &Programs) -> Result<(), Failure> {
    start_reaper(std::process::Command::new(&programs.command).arg("guard")).map_err(Failure::failed)
}

/// Plays a scenario once, with a bar on a terminal.
async fn once(scenario: &Scenario, seed: u64, programs: &Programs) -> Result<Report, Failure> {
    let length = scenario.seconds + scenario.lead_s;
    // Hidden where standard error is no terminal.
    let bar = ProgressBar::new(length as u64);
    if let Ok(style) = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} s") {
        bar.set_style(style);
    }
    bar.set_message(format!("{} seed {seed}", scenario.name));
    bar.enable_steady_tick(Duration::from_millis(500));
    let run = run_scenario(scenario.clone(), seed, programs, |at| bar.set_position(at as u64));
    let run = tokio::select! {
        run = run => run.map_err(Failure::failed)?,
        () = stopped() => return Err(Failure::Failed("stopped".to_owned())),
    };
    bar.finish_and_clear();
    Ok(evaluate(&run))
}

async fn run_once(scenario: &Scenario, seed: u64, told: Told) -> Result<(), Failure> {
    let Told { node, out, json } = told;
    let programs = programs(node)?;
    guard(&programs)?;
    let report = once(scenario, seed, &programs).await?;
    if let Some(out) = &out {
        write(out, &report).map_err(Failure::failed)?;
        // What `replay` reads.
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

/// Runs that say nothing are played once more, then given up.
async fn valid(scenario: &Scenario, seed: u64, programs: &Programs) -> Result<Report, Failure> {
    for _ in 0..2 {
        let report = once(scenario, seed, programs).await?;
        if report.verdict != Verdict::Void {
            return Ok(report);
        }
        tracing::warn!("{}: {}", scenario.name, report.reasons.join("; "));
    }
    Err(Failure::Void(format!("{}: the lab is too late on this machine, twice in a row", scenario.name)))
}

/// Writes a table as JSON and Markdown, and prints one of them.
fn tell(
    out: Option<&Path>,
    name: &str,
    value: &impl Serialize,
    text: &str,
    json: bool,
) -> Result<(), Failure> {
    let whole = serde_json::to_string_pretty(value).map_err(Failure::failed)?;
    if let Some(out) = out {
        std::fs::create_dir_all(out).map_err(Failure::failed)?;
        std::fs::write(out.join(format!("{name}.json")), &whole).map_err(Failure::failed)?;
        std::fs::write(out.join(format!("{name}.md")), text).map_err(Failure::failed)?;
    }
    print!("{}", if json { whole + "\n" } else { text.to_owned() });
    Ok(())
}

async fn compare_builds(args: Compare) -> Result<(), Failure> {
    if args.runs < 2 {
        return Err(Failure::Wrong("--runs: 2 or more expected, one says nothing about a spread".into()));
    }
    let scenario = Scenario::load(&args.scenario).map_err(Failure::wrong)?;
    let (a, b) = (programs(Some(args.a))?, programs(Some(args.b))?);
    guard(&a)?;
    let first = args.seed.unwrap_or(scenario.seed);
    let mut pairs = Vec::new();
    for seed in first..first + args.runs {
        // In turn first: what the machine does meanwhile strikes both.
        let (one, other) = if seed % 2 == 0 { (&a, &b) } else { (&b, &a) };
        let x = valid(&scenario, seed, one).await?;
        let y = valid(&scenario, seed, other).await?;
        pairs.push(if seed % 2 == 0 { (x, y) } else { (y, x) });
        tracing::info!("seed {seed} played with both");
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
        let word = if d.shown { "differs" } else { "no difference shown" };
        text += &format!(
            "| {} | {} | {} | {:+.3} ± {within:.3} | {word} |\n",
            d.figure,
            spread(&d.a),
            spread(&d.b),
            d.b_less_a.mean
        );
    }
    tell(args.out.as_deref(), "compare", &differences, &text, args.json)
}

async fn sweep(args: Sweep) -> Result<(), Failure> {
    if args.steps < 2 || args.runs == 0 || args.to <= args.from {
        return Err(Failure::Wrong("--steps 2 or more, --runs 1 or more, --from under --to expected".into()));
    }
    let base = Scenario::load(&args.scenario).map_err(Failure::wrong)?;
    let programs = programs(args.told.node)?;
    let value = |n: usize| args.from + (args.to - args.from) * n as f64 / (args.steps - 1) as f64;
    let scenarios: Result<Vec<_>, _> =
        (0..args.steps).map(|n| Ok((value(n), with_value(&base, &args.vary, value(n))?))).collect();
    let scenarios =
        scenarios.map_err(|e: shaletrail_fault_lab::scenario::ScenarioError| Failure::wrong(e))?;
    guard(&programs)?;
    let first = args.seed.unwrap_or(base.seed);
    let mut steps = Vec::new();
    for (value, scenario) in &scenarios {
        let mut reports = Vec::new();
        for seed in first..first + args.runs {
            reports.push(valid(scenario, seed, &programs).await?);
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
    if let Some(out) = &args.told.out {
        std::fs::create_dir_all(out).map_err(Failure::failed)?;
        let curve = |name: &str, read: fn(&SweepStep) -> f64| Curve {
            name: name.to_owned(),
            points: steps.iter().map(|s| (s.value, read(s))).collect(),
        };
        let curves = [curve("served", |s| s.goodput), curve("offered", |s| s.offered_worth_per_s)];
        let axes = (args.vary.as_str(), "worth a second");
        plot(&out.join("sweep.svg"), "Goodput", axes, &curves, &[]).map_err(Failure::failed)?;
    }
    tell(args.told.out.as_deref(), "sweep", &steps, &text, args.told.json)
}
