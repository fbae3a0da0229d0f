//! `shaletrail-capacity-emulator`: measures what coordinators and edges cost at sizes that no test site has.
#![allow(unsafe_code, reason = "a global allocator that counts has to be `unsafe`")]

use std::alloc::{GlobalAlloc, Layout, System};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};

use argh::FromArgs;
use shaletrail_capacity_emulator::measure::{self, Measurement};
use shaletrail_capacity_emulator::{print, Options};

/// Counts what is allocated.
struct Counting;

static LIVE: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all is handed to the system's allocator as it came; only sizes are added up.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size(), Ordering::Relaxed);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        System.dealloc(pointer, layout);
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn live() -> usize {
    LIVE.load(Ordering::Relaxed)
}

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

/// Run a hollow fleet through steady seconds, a herd of edges and the restart of a coordinator.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "measure")]
struct Measure {
    /// data-plane nodes
    #[argh(option, default = "30")]
    edges: usize,
    /// of these, with a router and requests (default: 100 at most)
    #[argh(option)]
    full_edges: Option<usize>,
    /// model servers
    #[argh(option, default = "1000")]
    servers: usize,
    /// coordinators
    #[argh(option, default = "12")]
    cores: usize,
    /// services, over which servers and models are spread
    #[argh(option, default = "4")]
    services: usize,
    /// steady virtual seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// real seconds after which a run is given up
    #[argh(option, default = "240")]
    patience: u64,
    /// seed of all luck
    #[argh(option, default = "1")]
    seed: u64,
    /// all sizes, and the powers by which figures grow
    #[argh(switch)]
    all: bool,
}

/// Edges with routers where nothing else is said.
const FULL_EDGES: usize = 100;
/// Edges with routers in runs where they are not what is looked at.
const FEW_FULL_EDGES: usize = 10;
/// The same where edges are what is looked at.
const FULL_EDGES_OF_MANY: usize = 30;
/// Sizes of the sweeps.
const EDGES: [usize; 4] = [30, 100, 300, 880];
const SERVERS: [usize; 4] = [1_000, 3_000, 4_000, 10_000];
const CORES: [usize; 3] = [5, 12, 28];

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Command::Measure(wanted) = arguments.command;
    let possible = [wanted.edges, wanted.servers, wanted.cores, wanted.services].iter().all(|size| *size > 0);
    if !possible || wanted.servers < wanted.services {
        eprintln!(
            "shaletrail-capacity-emulator: sizes must be over 0, and there must be a server for each service"
        );
        return ExitCode::from(2);
    }
    if wanted.all {
        measure_all(&wanted);
    } else {
        run(&wanted, wanted.edges, wanted.servers, wanted.cores, wanted.full_edges);
    }
    ExitCode::SUCCESS
}

fn run(wanted: &Measure, edges: usize, servers: usize, cores: usize, full: Option<usize>) -> Measurement {
    let options = Options {
        full_edges: full.unwrap_or(FULL_EDGES).min(edges),
        services: wanted.services,
        seconds: wanted.seconds,
        patience_s: wanted.patience,
        seed: wanted.seed,
        ..Options::of_size(edges, servers, cores)
    };
    let measurement = measure::run(options, Some(live));
    println!("{}", print::measurement(&measurement));
    measurement
}

fn measure_all(wanted: &Measure) {
    let (servers, cores) = (SERVERS[0], CORES[1]);
    let few = Some(FEW_FULL_EDGES);
    let by_edges = EDGES.map(|edges| run(wanted, edges, servers, cores, Some(FULL_EDGES_OF_MANY)));
    print_sweep("edges", &EDGES, &by_edges);
    let by_cores = CORES.map(|cores| run(wanted, EDGES[1], servers, cores, few));
    print_sweep("coordinators", &CORES, &by_cores);
    let by_servers = SERVERS.map(|servers| run(wanted, EDGES[0], servers, cores, few));
    print_sweep("servers", &SERVERS, &by_servers);
}

fn print_sweep(name: &str, sizes: &[usize], runs: &[Measurement]) {
    let sizes: Vec<(f64, &Measurement)> = sizes.iter().map(|size| *size as f64).zip(runs).collect();
    println!("{}", print::sweep(name, &sizes));
}
