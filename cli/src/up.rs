//! `shaletrail-fleet up`: the small standing form of the lab. A registry, emulated cache servers and an origin, nodes, some
//! load, and live figures.

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use shaletrail_fault_lab::orchestrator::{LiveCounts, RunningFleet};
use shaletrail_fault_lab::scenario::Scenario;
use shaletrail_registry_client::call::{Call, Line};

use crate::lab::{guard, programs};
use crate::{stopped, Failure};

#[derive(clap::Args)]
pub struct Args {
    /// Emulated cache servers
    #[arg(long, default_value_t = 4)]
    caches: usize,
    /// Nodes
    #[arg(long, default_value_t = 2)]
    nodes: usize,
    /// Requests a second
    #[arg(long, default_value_t = 10.0)]
    per_s: f64,
    /// The node's program; the one beside this program without it
    #[arg(long)]
    node: Option<PathBuf>,
    /// Serve one request, show its answer and end
    #[arg(long)]
    once: bool,
}

/// How long the load goes on; the fleet stands until it is ended.
const LOAD_S: u32 = 1_800;
const LOOK: Duration = Duration::from_secs(1);

pub async fn run(args: Args) -> Result<(), Failure> {
    let programs = programs(args.node)?;
    let text = format!(
        "name = 'up'\nabout = 'stands until it is ended'\nseconds = {LOAD_S}.0\nlead_s = 0.0\n\
         [fleet]\nzones = ['here']\nservers = {}\nnodes = {}\n[load]\nper_s = {:?}\nkeys = 60\n",
        args.caches, args.nodes, args.per_s
    );
    let scenario = Scenario::parse("--caches, --nodes, --per-s", &text).map_err(Failure::wrong)?;
    guard(&programs)?;
    let standing = tokio::select! {
        standing = RunningFleet::start(&scenario, &programs) => standing.map_err(Failure::failed)?,
        () = stopped() => return Err(Failure::Failed("stopped".to_owned())),
    };
    let (discovery, ops) = standing.registry();
    println!("registry: nodes read at {}, operators change at {}", discovery[0], ops[0]);
    for (id, addr) in standing.servers() {
        println!("{id}: {addr}");
    }
    for (name, listen, door) in standing.nodes() {
        println!("{name}: {listen}, its door {door}");
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
    println!("Ctrl-C ends all of it.\n");
    let mut whole = LiveCounts::default();
    let mut ticks = tokio::time::interval(LOOK);
    let ended = stopped();
    tokio::pin!(ended);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = &mut ended => break,
        }
        let live = standing.live();
        for (sum, now) in [
            (&mut whole.asked, live.asked),
            (&mut whole.served, live.served),
            (&mut whole.hits, live.hits),
            (&mut whole.misses, live.misses),
            (&mut whole.fetches, live.fetches),
        ] {
            *sum += now;
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
        whole.asked, whole.served, whole.hits, whole.misses, whole.fetches
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
    let answer = Line::new(node).within(Duration::from_secs(5), call).await.map_err(Failure::failed)?;
    Ok(format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)))
}
