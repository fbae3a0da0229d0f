//! `shaletrail registry …`

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Subcommand;
use serde_json::{json, Value};
use shaletrail_client::changes::{ChangeError, Changes};
use shaletrail_registry::{restore, Folder, Options, ServiceError};
use shaletrail_wire::{Confirm, Confirmed, Status, LONGEST_LIST};

use crate::{config, stopped, Failure};

#[derive(clap::Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Args {
    #[command(subcommand)]
    verb: Option<Verb>,
    #[command(flatten)]
    start: Start,
}

/// Without any of these a single replica starts on 127.0.0.1:8500, with its data in ./registry-data
#[derive(clap::Args)]
struct Start {
    /// A TOML file with the same settings under [registry]; what is given here goes before it
    #[arg(long)]
    config: Option<PathBuf>,
    /// The replica's name, the same after a restart
    #[arg(long)]
    name: Option<String>,
    /// The folder that holds its data
    #[arg(long)]
    data: Option<PathBuf>,
    /// Where nodes read the list
    #[arg(long)]
    discovery: Option<SocketAddr>,
    /// Where operators and agents change it
    #[arg(long)]
    ops: Option<SocketAddr>,
    /// Where it listens for other replicas
    #[arg(long)]
    replica: Option<SocketAddr>,
    /// All replicas that begin together, as NAME=ADDR,NAME=ADDR, itself among them
    #[arg(long, value_parser = peers)]
    peers: Option<BTreeMap<String, SocketAddr>>,
}

#[derive(Subcommand)]
enum Verb {
    /// Start a new replica and let it join a running service
    Join {
        #[command(flatten)]
        start: Start,
        /// Operators' addresses of the running service
        #[arg(long, required = true, value_delimiter = ',')]
        registry: Vec<SocketAddr>,
    },
    /// Remove a replica, unless those that stay would not be a majority that answers
    Remove {
        name: String,
        #[command(flatten)]
        service: Service,
    },
    /// Show a replica's state and the others as it sees them
    Status {
        #[command(flatten)]
        service: Service,
        #[arg(long)]
        json: bool,
    },
    /// Let entries expire whose expiry was stopped, after making sure that their servers are gone
    Confirm {
        /// No more than so many
        #[arg(long)]
        most: usize,
        #[command(flatten)]
        service: Service,
    },
    /// Write a backup of the list
    Backup {
        file: PathBuf,
        #[command(flatten)]
        service: Service,
    },
    /// Make an empty data folder into a replica that holds a backup's list
    Restore {
        file: PathBuf,
        #[arg(long, default_value = "registry-data")]
        data: PathBuf,
        #[arg(long, default_value = "r1")]
        name: String,
        /// Where it will listen for other replicas, if any are to join it
        #[arg(long)]
        replica: Option<SocketAddr>,
        /// A version that is known to have been told; the list begins beyond it
        #[arg(long, default_value_t = 0)]
        beyond: u64,
    },
}

#[derive(clap::Args)]
struct Service {
    /// Operators' addresses of the service
    #[arg(long, value_delimiter = ',', default_value = "127.0.0.1:8501")]
    registry: Vec<SocketAddr>,
}

fn peers(text: &str) -> Result<BTreeMap<String, SocketAddr>, String> {
    text.split(',')
        .map(|peer| {
            let (name, addr) =
                peer.split_once('=').ok_or_else(|| format!("NAME=ADDR expected, got `{peer}`"))?;
            let addr = addr.parse().map_err(|_| format!("an address with a port expected, got `{addr}`"))?;
            Ok((name.to_owned(), addr))
        })
        .collect()
}

/// For calls that an operator waits for.
const CALL_TIME: Duration = Duration::from_secs(30);

pub async fn run(args: Args) -> Result<(), Failure> {
    match args.verb {
        None => start(args.start, Vec::new()).await,
        Some(Verb::Join { start: with, registry }) => start(with, registry).await,
        Some(Verb::Remove { name, service }) => {
            let path = format!("/registry/replicas/{name}");
            let done: Value = put(service, hyper::Method::DELETE, &path, &json!({})).await?;
            match done["removed"].as_bool() {
                Some(true) => println!("removed {name}"),
                _ => println!("no replica has the name {name}"),
            }
            Ok(())
        }
        Some(Verb::Status { service, json }) => status(service, json).await,
        Some(Verb::Confirm { most, service }) => {
            let path = "/registry/expiry/confirm";
            let told: Confirmed = put(service, hyper::Method::POST, path, &Confirm { most }).await?;
            println!("{} entries may expire", told.expired);
            Ok(())
        }
        Some(Verb::Backup { file, service }) => backup(&file, service).await,
        Some(Verb::Restore { file, data, name, replica, beyond }) => {
            let folder = Folder::hold(&data).map_err(Failure::failed)?;
            let replica = replica.map_or(String::new(), |addr| addr.to_string());
            let version = restore(&folder, &name, &replica, &file, beyond).map_err(Failure::failed)?;
            println!("{}: the list of {} as version {version}", data.display(), file.display());
            Ok(())
        }
    }
}

async fn start(start: Start, join: Vec<SocketAddr>) -> Result<(), Failure> {
    let file = match &start.config {
        Some(path) => config::read(path)?.registry,
        None => config::Registry::default(),
    };
    let settings = file.settings()?;
    let options = Options {
        name: start.name.unwrap_or(file.name),
        data: start.data.unwrap_or(file.data),
        discovery: start.discovery.unwrap_or(file.discovery),
        ops: start.ops.unwrap_or(file.ops),
        replica: start.replica.or(file.replica),
        peers: start.peers.unwrap_or(file.peers),
        join,
        settings,
    };
    let ready = || {
        // Whoever started it may have gone; the service goes on.
        let _ = writeln!(std::io::stdout(), "ready");
        let _ = std::io::stdout().flush();
    };
    shaletrail_registry::run(options, ready, stopped()).await.map_err(|e| match e {
        ServiceError::Wrong(what) => Failure::Wrong(what),
        e => Failure::failed(e),
    })
}

async fn put<A: serde::de::DeserializeOwned>(
    service: Service,
    method: hyper::Method,
    path: &str,
    question: &impl serde::Serialize,
) -> Result<A, Failure> {
    let done = Changes::new(service.registry).put(method, path, question, CALL_TIME).await;
    done.map_err(|e| match e {
        ChangeError::Unusable(e) => Failure::wrong(e),
        e => Failure::failed(e),
    })
}

async fn status(service: Service, as_json: bool) -> Result<(), Failure> {
    let body = Changes::new(service.registry)
        .get("/registry/status", LONGEST_LIST)
        .await
        .map_err(Failure::failed)?;
    let status: Status = serde_json::from_slice(&body).map_err(Failure::failed)?;
    if as_json {
        println!("{}", serde_json::to_string(&status).map_err(Failure::failed)?);
        return Ok(());
    }
    let leader = status.leader.as_deref().unwrap_or("none");
    println!("{} ({}), leader {leader}, term {}", status.name, status.role, status.term);
    println!("version {}, {} entries", status.version, status.entries);
    println!("log to {}, applied to {}, snapshot to {}", status.last_log, status.applied, status.snapshot);
    if let Some(why) = &status.not_ready {
        println!("NOT READY: {why}");
    }
    if status.expiry_held > 0 {
        println!("EXPIRY STOPPED: {} entries are due", status.expiry_held);
    }
    for replica in &status.replicas {
        let role = if replica.voter { "voter" } else { "learner" };
        let behind = replica.behind.map_or(String::new(), |n| format!(", {n} entries behind"));
        println!("  {} {} {role} at {}{behind}", replica.id, replica.name, replica.replica);
    }
    Ok(())
}

async fn backup(file: &std::path::Path, service: Service) -> Result<(), Failure> {
    let body = Changes::new(service.registry).get("/registry/backup", LONGEST_LIST * 4).await;
    let body = body.map_err(Failure::failed)?;
    let failed = |e: std::io::Error| Failure::Failed(format!("{}: {e}", file.display()));
    let mut new = file.as_os_str().to_owned();
    new.push(".new");
    let write = || {
        let mut writing = std::fs::File::create(&new)?;
        writing.write_all(&body)?;
        writing.sync_all()?;
        std::fs::rename(&new, file)
    };
    write().map_err(failed)?;
    println!("{}: {} bytes", file.display(), body.len());
    Ok(())
}
