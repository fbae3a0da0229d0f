//! `shaletrail-fleet up`: runs a small fleet until it is stopped, with a registry, emulated cache servers, an
//! emulated origin, nodes, a little load, and live statistics.

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use shaletrail_fault_lab::orchestrator::{LiveCounts, RunningFleet};
use shaletrail_fault_lab::scenario::Scenario;
use shaletrail_registry_client::call::{Call, HttpClient};

use crate::lab::{programs, start_guard_process};
use crate::{shutdown_signal, Failure};

#[derive(clap::Args)]
pub struct Args {
    /// Number of emulated cache servers
    #[arg(long, default_value_t = 4)]
    caches: usize,
    /// Number of nodes
    #[arg(long, default_value_t = 2)]
    nodes: usize,
    /// Requests per second
    #[arg(long, default_value_t = 10.0)]
    per_s: f64,
    /// The node's program. Default: `shaletrail-node` beside this program
    #[arg(long)]
    node: Option<PathBuf>,
    /// Serve one request, show its response and exit
    #[arg(long)]
    once: bool,
}

/// Duration of the load. The fleet runs on until it is stopped.
const LOAD_S: u32 = 1_800;
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the fleet and shows live statistics until it is stopped.
pub async fn run(args: Args) -> Result<(), Failure> {
    let programs = programs(args.node)?;
    let text = format!(
        "name = 'up'\nabout = 'runs until it is stopped'\nseconds = {LOAD_S}.0\nlead_s = 0.0\n\
         [fleet]\nzones = ['here']\nservers = {}\nnodes = {}\n[load]\nper_s = {:?}\nkeys = 60\n",
        args.caches, args.nodes, args.per_s
    );
    let scenario = Scenario::parse("--caches, --nodes, --per-s", &text).map_err(Failure::invalid)?;
    start_guard_process(&programs)?;
    let standing = tokio::select! {
        standing = RunningFleet::start(&scenario, &programs) => standing.map_err(Failure::failed)?,
        () = shutdown_signal() => return Err(Failure::Failed("stopped".to_owned())),
    };
    let (discovery, ops) = standing.registry();
    println!("registry: discovery at {}, operator API at {}", discovery[0], ops[0]);
    for (id, addr) in standing.servers() {
        println!("{id}: {addr}");
    }
    for (name, listen, operator_api) in standing.nodes() {
        println!("{name}: {listen}, operator API {operator_api}");
    }
    let (_, listen, _) = standing.nodes()[0].clone();
    let path = "/settings-read/7f3a9c21e0b4d655";
    println!("\nGET http://{listen}{path}\n  {}", read(listen, path).await?);
    if args.once {
        return Ok(());
    }
    println!(
        "\ntry: curl -H 'X-Request-Id: 1' -H 'X-Class: settings-read' -H 'X-Tenant: kyma-energy' \\\n       \
         -H 'X-Deadline-Ms: 900' http://{listen}{path}\n     shaletrail-fleet list --watch --registry {}",
        discovery[0]
    );
    println!("Press Ctrl-C to stop everything.\n");
    let mut totals = LiveCounts::default();
    let mut ticks = tokio::time::interval(REFRESH_INTERVAL);
    let ended = shutdown_signal();
    tokio::pin!(ended);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = &mut ended => break,
        }
        let live = standing.live();
        for (sum, increment) in [
            (&mut totals.asked, live.asked),
            (&mut totals.served, live.served),
            (&mut totals.hits, live.hits),
            (&mut totals.misses, live.misses),
            (&mut totals.fetches, live.fetches),
        ] {
            *sum += increment;
        }
        if std::io::stderr().is_terminal() {
            eprint!(
                "\r{} asked, {} served, {} refused; {} hits, {} misses, {} at the origin this second   ",
                live.asked, live.served, live.refused, live.hits, live.misses, live.fetches
            );
        }
    }
    println!(
        "\n{} asked, {} served; {} hits and {} misses at the cache servers, {} calls at the origin",
        totals.asked, totals.served, totals.hits, totals.misses, totals.fetches
    );
    Ok(())
}

async fn read(node: SocketAddr, path: &str) -> Result<String, Failure> {
    let headers = &[
        ("x-request-id", "5a1e7a11"),
        ("x-class", "settings-read"),
        ("x-tenant", "kyma-energy"),
        ("x-deadline-ms", "2000"),
    ];
    let call = Call { headers, ..Call::get(path, 64 << 10) };
    let answer = HttpClient::new(node).send(Duration::from_secs(5), call).await.map_err(Failure::failed)?;
    Ok(format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)))
}
