//! `shaletrail-fleet agent`: registers a cache server and renews its lease.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use shaletrail_registry_client::agent::{self, AgentConfig};
use shaletrail_registry_client::client::RegistryClient;
use shaletrail_registry_protocol::{check_id, Entry, State, LEASE_S};

use crate::{shutdown_signal, Failure};

#[derive(clap::Args)]
pub struct Args {
    /// Operator addresses of the list service
    #[arg(long, value_delimiter = ',', default_value = "127.0.0.1:8501")]
    registry: Vec<SocketAddr>,
    /// Id of the cache server in the list
    #[arg(long)]
    id: String,
    /// Address at which nodes reach it
    #[arg(long)]
    addr: SocketAddr,
    /// Address that is probed, if it is another one
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
    /// Seconds after which the entry expires without a renewal
    #[arg(long, default_value_t = 10.0)]
    lease_s: f64,
    /// Seconds between the states `leaving` and `left`
    #[arg(long, default_value_t = 2.0)]
    drain_s: f64,
    /// Process id of the cache server; its start time becomes the entry's `started_ms`. Default: the start of
    /// this process
    #[arg(long)]
    pid: Option<u32>,
}

/// Runs the registration agent of a server. Arguments out of range are reported as [`Failure::Invalid`].
pub async fn run(args: Args) -> Result<(), Failure> {
    check_id(&args.id).map_err(Failure::invalid)?;
    if !LEASE_S.contains(&args.lease_s) {
        let (least, most) = (LEASE_S.start(), LEASE_S.end());
        return Err(Failure::Invalid(format!("--lease-s: {least} to {most} expected, got {}", args.lease_s)));
    }
    let drain =
        Duration::try_from_secs_f64(args.drain_s).map_err(|e| Failure::Invalid(format!("--drain-s: {e}")))?;
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
    let probe_addr = args.check.unwrap_or(args.addr);
    let config = AgentConfig { entry, lease: Duration::from_secs_f64(args.lease_s), drain, probe_addr };
    let say = |what: String| tracing::info!("{what}");
    agent::run(&config, &mut RegistryClient::new(args.registry), shutdown_signal(), say)
        .await
        .map_err(Failure::failed)
}

/// When a process started, in milliseconds of Unix time, according to the kernel: its start after boot in
/// ticks (the 22nd field of `stat`; 100 per second on Linux) plus the time of the boot.
fn started_ms(process: &str) -> Result<u64, Failure> {
    let read = |path: PathBuf| {
        std::fs::read_to_string(&path).map_err(|e| Failure::Failed(format!("{}: {e}", path.display())))
    };
    let missing =
        |what: &str| Failure::Failed(format!("can't determine the start of process {process}: no {what}"));
    let stat = read(PathBuf::from("/proc").join(process).join("stat"))?;
    // The name may contain any character, so the fields are counted after its end.
    let fields = stat.rsplit_once(')').ok_or_else(|| missing("name"))?.1;
    let ticks = fields.split_whitespace().nth(19).and_then(|ticks| ticks.parse::<u64>().ok());
    let system = read(PathBuf::from("/proc/stat"))?;
    let boot = system.lines().find_map(|line| line.strip_prefix("btime ")?.trim().parse::<u64>().ok());
    Ok(boot.ok_or_else(|| missing("boot time"))? * 1000 + ticks.ok_or_else(|| missing("start"))? * 10)
}
