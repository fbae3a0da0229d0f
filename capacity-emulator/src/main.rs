//! `shaletrail-capacity-emulator`: measures what coordinators and edges cost at sizes that no test site has.
#![allow(unsafe_code, reason = "a global allocator that counts has to be `unsafe`")]

mod counting_allocator;

use std::process::ExitCode;

use argh::FromArgs;
use shaletrail_capacity_emulator::measurement::{self, Measurement};
use shaletrail_capacity_emulator::{report, Options};

use crate::counting_allocator::{allocated_bytes, CountingAllocator};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Measures what coordinators and edges cost.
#[derive(FromArgs, Debug)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Measure(Measure),
}

/// Run an emulated fleet through steady load, a herd of restarted edges and the restart of a coordinator.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "measure")]
struct Measure {
    /// data-plane nodes
    #[argh(option, default = "30")]
    edges: usize,
    /// of these, with a router and requests (default: 100 at most)
    #[argh(option, long = "full-edges")]
    routing_edges: Option<usize>,
    /// model servers
    #[argh(option, default = "1000")]
    servers: usize,
    /// coordinators
    #[argh(option, long = "cores", default = "12")]
    coordinators: usize,
    /// services, over which servers and models are spread
    #[argh(option, default = "4")]
    services: usize,
    /// steady virtual seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// real seconds after which a run ends
    #[argh(option, long = "patience", default = "240")]
    time_limit_s: u64,
    /// seed of the random generator
    #[argh(option, default = "1")]
    seed: u64,
    /// sweeps over all sizes, and the exponents by which metrics grow
    #[argh(switch)]
    all: bool,
}

/// Edges with routers, where nothing else is asked for.
const DEFAULT_ROUTING_EDGES: usize = 100;
/// Edges with routers in sweeps over something else than edges.
const FEW_ROUTING_EDGES: usize = 10;
/// Edges with routers in the sweep over edges.
const SWEEP_ROUTING_EDGES: usize = 30;
/// Numbers of edges in the sweep over edges.
const EDGES: [usize; 4] = [30, 100, 300, 880];
/// Numbers of servers in the sweep over servers.
const SERVERS: [usize; 4] = [1_000, 3_000, 4_000, 10_000];
/// Numbers of coordinators in the sweep over coordinators.
const COORDINATORS: [usize; 3] = [5, 12, 28];

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Command::Measure(arguments) = arguments.command;
    let sizes_are_positive = [arguments.edges, arguments.servers, arguments.coordinators, arguments.services]
        .iter()
        .all(|size| *size > 0);
    if !sizes_are_positive || arguments.servers < arguments.services {
        eprintln!(
            "shaletrail-capacity-emulator: sizes must be over 0, and there must be a server for each service"
        );
        return ExitCode::from(2);
    }
    if arguments.all {
        measure_all(&arguments);
    } else {
        run(&arguments, arguments.edges, arguments.servers, arguments.coordinators, arguments.routing_edges);
    }
    ExitCode::SUCCESS
}

fn run(
    arguments: &Measure,
    edges: usize,
    servers: usize,
    coordinators: usize,
    routing_edges: Option<usize>,
) -> Measurement {
    let options = Options {
        routing_edges: routing_edges.unwrap_or(DEFAULT_ROUTING_EDGES).min(edges),
        services: arguments.services,
        seconds: arguments.seconds,
        time_limit_s: arguments.time_limit_s,
        seed: arguments.seed,
        ..Options::of_size(edges, servers, coordinators)
    };
    let measurement = measurement::run(options, Some(allocated_bytes));
    println!("{}", report::measurement(&measurement));
    measurement
}

fn measure_all(arguments: &Measure) {
    let (servers, coordinators) = (SERVERS[0], COORDINATORS[1]);
    let few = Some(FEW_ROUTING_EDGES);
    let by_edges = EDGES.map(|edges| run(arguments, edges, servers, coordinators, Some(SWEEP_ROUTING_EDGES)));
    print_sweep("edges", &EDGES, &by_edges);
    let by_coordinators =
        COORDINATORS.map(|coordinators| run(arguments, EDGES[1], servers, coordinators, few));
    print_sweep("coordinators", &COORDINATORS, &by_coordinators);
    let by_servers = SERVERS.map(|servers| run(arguments, EDGES[0], servers, coordinators, few));
    print_sweep("servers", &SERVERS, &by_servers);
}

fn print_sweep(dimension: &str, sizes: &[usize], runs: &[Measurement]) {
    let runs: Vec<(f64, &Measurement)> = sizes.iter().map(|size| *size as f64).zip(runs).collect();
    println!("{}", report::sweep(dimension, &runs));
}
