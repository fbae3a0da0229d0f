//! `shaletrail-fleet agent`

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use shaletrail_registry_client::agent::{self, Duty};
use shaletrail_registry_client::changes::Changes;
use shaletrail_registry_protocol::{check_id, Entry, State, LEASE_S};

use crate::{stopped, Failure};

#[derive(clap::Args)]
pub struct Args {
    /// Operators' addresses of the list service
    #[arg(long, value_delimiter = ',', default_value = "127.0.0.1:8501")]
    registry: Vec<SocketAddr>,
    /// The cache server's name in the list
    #[arg(long)]
    id: String,
    /// Where nodes reach it
    #[arg(long)]
    addr: SocketAddr,
    /// Where it is checked, if not there
    #[arg(long)]
    check: Option<SocketAddr>,
    #[arg(long, default_value = "")]
    zone: String,
    #[arg(long, default_value = "")]
    kind: String,
    #[arg(long, default_value_t = 0)]
    cell: u64,
    #[arg(long, default_value_t = 1.0)]
    weight: f64,
    /// Seconds that the entry stands without a renewal
    #[arg(long, default_value_t = 10.0)]
    lease_s: f64,
    /// Seconds between `leaving` and `left`
    #[arg(long, default_value_t = 2.0)]
    drain_s: f64,
    /// The cache server's process, whose start is the entry's `started_ms`; without it, this process's start is
    #[arg(long)]
    pid: Option<u32>,
}

pub async fn run(args: Args) -> Result<(), Failure> {
    check_id(&args.id).map_err(Failure::wrong)?;
    if !LEASE_S.contains(&args.lease_s) {
        let (least, most) = (LEASE_S.start(), LEASE_S.end());
        return Err(Failure::Wrong(format!("--lease-s: {least} to {most} expected, got {}", args.lease_s)));
    }
    let drain =
        Duration::try_from_secs_f64(args.drain_s).map_err(|e| Failure::Wrong(format!("--drain-s: {e}")))?;
    let process = args.pid.map_or("self".to_owned(), |pid| pid.to_string());
    let entry = Entry {
        id: args.id,
        addr: args.addr,
        zone: args.zone,
        kind: args.kind,
        cell: args.cell,
        state: State::Active,
        weight: args.weight,
        started_ms: started_ms(&process)?,
    };
    let check = args.check.unwrap_or(args.addr);
    let duty = Duty { entry, lease: Duration::from_secs_f64(args.lease_s), drain, check };
    let say = |what: String| tracing::info!("{what}");
    agent::run(&duty, &mut Changes::new(args.registry), stopped(), say).await.map_err(Failure::failed)
}

/// When a process started, in milliseconds of Unix time, by the kernel's account: its start after boot in ticks
/// (the 22nd field of `stat`; 100 a second on Linux) and the time of the boot.
fn started_ms(process: &str) -> Result<u64, Failure> {
    let read = |path: PathBuf| {
        std::fs::read_to_string(&path).map_err(|e| Failure::Failed(format!("{}: {e}", path.display())))
    };
    let odd = |what: &str| Failure::Failed(format!("the start of process {process}: no {what}"));
    let stat = read(PathBuf::from("/proc").join(process).join("stat"))?;
    // The name may hold anything; the fields behind it don't.
    let fields = stat.rsplit_once(')').ok_or_else(|| odd("name"))?.1;
    let ticks = fields.split_whitespace().nth(19).and_then(|ticks| ticks.parse::<u64>().ok());
    let system = read(PathBuf::from("/proc/stat"))?;
    let boot = system.lines().find_map(|line| line.strip_prefix("btime ")?.trim().parse::<u64>().ok());
    Ok(boot.ok_or_else(|| odd("boot time"))? * 1000 + ticks.ok_or_else(|| odd("start"))? * 10)
}
