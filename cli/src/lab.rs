//! `shaletrail lab …`

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Subcommand;
use indicatif::{ProgressBar, ProgressStyle};
use shaletrail_lab::conduct::{play, Programs};
use shaletrail_lab::judge::{judge, Report, Verdict};
use shaletrail_lab::process::start_guard;
use shaletrail_lab::report::{row, write, ROW_HEAD};
use shaletrail_lab::scenario::{Scenario, CATALOGUE};

use crate::{stopped, Failure};

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
}

#[derive(clap::Args)]
struct Run {
    /// A file, or a name of the catalogue
    scenario: String,
    /// Draws everything by chance; the scenario's own without it
    #[arg(long)]
    seed: Option<u64>,
    /// Folder for report.json, report.md and the plots
    #[arg(long)]
    out: Option<PathBuf>,
    /// The node's program; the one beside this program without it
    #[arg(long)]
    node: Option<PathBuf>,
    /// The report as JSON on standard output
    #[arg(long)]
    json: bool,
}

pub async fn run(args: Args) -> Result<(), Failure> {
    match args.verb {
        Verb::List => list(),
        Verb::Check { scenario, show } => check(&scenario, show),
        Verb::Run(args) => run_once(args).await,
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
fn programs(node: Option<PathBuf>) -> Result<Programs, Failure> {
    let shaletrail = std::env::current_exe().map_err(Failure::failed)?;
    let node = node.unwrap_or_else(|| shaletrail.with_file_name("tackstage"));
    if !node.exists() {
        let node = node.display();
        return Err(Failure::Wrong(format!("{node}: no such program; build it, or name it by --node")));
    }
    Ok(Programs { shaletrail, node })
}

fn guard(programs: &Programs) -> Result<(), Failure> {
    start_guard(std::process::Command::new(&programs.shaletrail).arg("guard")).map_err(Failure::failed)
}

/// Plays a scenario once, with a bar on a terminal.
async fn once(scenario: &Scenario, seed: u64, programs: &Programs) -> Result<Report, Failure> {
    let length = scenario.seconds + scenario.lead_s;
    let bar =
        if std::io::stderr().is_terminal() { ProgressBar::new(length as u64) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} s") {
        bar.set_style(style);
    }
    bar.set_message(format!("{} seed {seed}", scenario.name));
    bar.enable_steady_tick(Duration::from_millis(500));
    let run = play(scenario.clone(), seed, programs, |at| bar.set_position(at as u64));
    let run = tokio::select! {
        run = run => run.map_err(Failure::failed)?,
        () = stopped() => return Err(Failure::Failed("stopped".to_owned())),
    };
    bar.finish_and_clear();
    Ok(judge(&run))
}

fn save(out: Option<&Path>, report: &Report) -> Result<(), Failure> {
    out.map_or(Ok(()), |out| write(out, report)).map_err(Failure::failed)
}

async fn run_once(args: Run) -> Result<(), Failure> {
    let scenario = Scenario::load(&args.scenario).map_err(Failure::wrong)?;
    let programs = programs(args.node)?;
    guard(&programs)?;
    let seed = args.seed.unwrap_or(scenario.seed);
    let report = once(&scenario, seed, &programs).await?;
    save(args.out.as_deref(), &report)?;
    if args.json {
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
