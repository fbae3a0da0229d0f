//! `shaletrail-capacity-emulator`: measures the resources that coordinators and edges use at fleet sizes that no test
//! environment has.
#![allow(unsafe_code, reason = "a global allocator that counts has to be `unsafe`")]

mod counting_allocator;

use std::process::ExitCode;

use argh::FromArgs;
use shaletrail_capacity_emulator::measurement::{self, Measurement};
use shaletrail_capacity_emulator::{report, Options};

use crate::counting_allocator::{allocated_bytes, CountingAllocator};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Measures the resources that coordinators and edges use.
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

/// Run an emulated fleet through steady load, the restart of all edges in a zone, and the restart of a coordinator.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "measure")]
struct Measure {
    /// number of edges (data-plane nodes)
    #[argh(option, default = "30")]
    edges: usize,
    /// number of edges that have a router and client requests (default: 100 at most)
    #[argh(option, long = "full-edges")]
    routing_edges: Option<usize>,
    /// number of model servers
    #[argh(option, default = "1000")]
    servers: usize,
    /// number of coordinators
    #[argh(option, long = "cores", default = "12")]
    coordinators: usize,
    /// number of services, over which servers and models are spread
    #[argh(option, default = "4")]
    services: usize,
    /// duration of the steady phase in virtual seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// wall-clock limit for a run in seconds
    #[argh(option, long = "patience", default = "240")]
    time_limit_s: u64,
    /// seed of the random generator
    #[argh(option, default = "1")]
    seed: u64,
    /// run the sweeps over all sizes and print the growth exponents of all metrics
    #[argh(switch)]
    all: bool,
}

/// Edges that have a router, unless an option states the number.
const DEFAULT_ROUTING_EDGES: usize = 100;
/// Edges that have a router in sweeps over a size other than the number of edges.
const FEW_ROUTING_EDGES: usize = 10;
/// Edges that have a router in the sweep over the number of edges.
const SWEEP_ROUTING_EDGES: usize = 30;
/// Numbers of edges in the sweep over edges.
const EDGE_COUNTS: [usize; 4] = [30, 100, 300, 880];
/// Numbers of servers in the sweep over servers.
const SERVER_COUNTS: [usize; 4] = [1_000, 3_000, 4_000, 10_000];
/// Numbers of coordinators in the sweep over coordinators.
const COORDINATOR_COUNTS: [usize; 3] = [5, 12, 28];

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Command::Measure(arguments) = arguments.command;
    let sizes_are_positive = [arguments.edges, arguments.servers, arguments.coordinators, arguments.services]
        .iter()
        .all(|size| *size > 0);
    if !sizes_are_positive || arguments.servers < arguments.services {
        eprintln!(
            "shaletrail-capacity-emulator: --edges, --servers, --cores and --services must be at \
             least 1, and --servers at least --services"
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
    let (servers, coordinators) = (SERVER_COUNTS[0], COORDINATOR_COUNTS[1]);
    let few = Some(FEW_ROUTING_EDGES);
    let by_edges =
        EDGE_COUNTS.map(|edges| run(arguments, edges, servers, coordinators, Some(SWEEP_ROUTING_EDGES)));
    print_sweep("edges", &EDGE_COUNTS, &by_edges);
    let by_coordinators =
        COORDINATOR_COUNTS.map(|coordinators| run(arguments, EDGE_COUNTS[1], servers, coordinators, few));
    print_sweep("coordinators", &COORDINATOR_COUNTS, &by_coordinators);
    let by_servers = SERVER_COUNTS.map(|servers| run(arguments, EDGE_COUNTS[0], servers, coordinators, few));
    print_sweep("servers", &SERVER_COUNTS, &by_servers);
}

fn print_sweep(dimension: &str, sizes: &[usize], runs: &[Measurement]) {
    let runs: Vec<(f64, &Measurement)> = sizes.iter().map(|size| *size as f64).zip(runs).collect();
    println!("{}", report::sweep(dimension, &runs));
}
