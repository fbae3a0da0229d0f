//! `shaletrail-fleet registry …`

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Subcommand;
use serde_json::{json, Value};
use shaletrail_registry::{restore, DataFolder, Options, ServiceError};
use shaletrail_registry_client::changes::{ChangeError, Changes};
use shaletrail_registry_client::duty::{serve, Seat};
use shaletrail_registry_client::keeper::{self, Backups};
use shaletrail_registry_protocol::{ConfirmExpiry, ConfirmExpiryResult, Status, MAX_LIST_BYTES};

use crate::{config, duty, stopped, Failure};

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
    /// Look after the service: take backups on schedule, and let silent entries expire whose servers are found gone.
    /// Any number may run; each of the two duties is held by one of them
    Keeper {
        #[command(flatten)]
        service: Service,
        /// Folder for backups; without it none are taken
        #[arg(long)]
        backups: Option<PathBuf>,
        /// Seconds between two backups
        #[arg(long, default_value_t = 86_400.0)]
        every_s: f64,
        /// Backups that stay
        #[arg(long, default_value_t = 7)]
        keep: usize,
        /// Leave it to operators to let silent entries expire
        #[arg(long)]
        no_expiry: bool,
        /// Seconds after which another keeper takes over when this one is silent
        #[arg(long, default_value_t = 10.0)]
        lease_s: f64,
        /// How operators see this keeper; without it the host's name and the process's number
        #[arg(long)]
        id: Option<String>,
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
            let told: ConfirmExpiryResult =
                put(service, hyper::Method::POST, path, &ConfirmExpiry { most }).await?;
            println!("{} entries may expire", told.expired);
            Ok(())
        }
        Some(Verb::Keeper { service, backups, every_s, keep, no_expiry, lease_s, id }) => {
            let every = Duration::try_from_secs_f64(every_s).ok().filter(|every| !every.is_zero());
            let every = every.ok_or_else(|| Failure::Wrong("--every-s: over 0 seconds expected".into()))?;
            if keep == 0 || backups.is_none() && no_expiry {
                return Err(Failure::Wrong("--backups or expiry expected, and --keep of 1 or more".into()));
            }
            let plan = backups.map(|folder| Backups { folder, every, keep });
            if let Some(plan) = &plan {
                std::fs::create_dir_all(&plan.folder)
                    .map_err(|e| Failure::Failed(format!("{}: {e}", plan.folder.display())))?;
            }
            let id = id.unwrap_or_else(duty::own_id);
            let seat = |name| Seat::new(service.registry.clone(), name, &id, duty::life(), lease_s);
            let (mut taking, mut confirming) = (
                seat(keeper::BACKUP).map_err(Failure::wrong)?,
                seat(keeper::EXPIRY).map_err(Failure::wrong)?,
            );
            let say = |what: String| tracing::info!("{what}");
            let backing_up = async {
                let Some(plan) = &plan else { return Ok(()) };
                serve(&mut taking, stopped(), say, async |held| keeper::back_up(held, plan, say).await).await
            };
            let expiring = async {
                if no_expiry {
                    return Ok(());
                }
                serve(&mut confirming, stopped(), say, async |held| keeper::confirm(held, say).await).await
            };
            let (backups, expiry) = tokio::join!(backing_up, expiring);
            backups.and(expiry).map_err(Failure::failed)
        }
        Some(Verb::Backup { file, service }) => backup(&file, service).await,
        Some(Verb::Restore { file, data, name, replica, beyond }) => {
            let folder = DataFolder::lock(&data).map_err(Failure::failed)?;
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
        ServiceError::Invalid(what) => Failure::Wrong(what),
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
    let status = Changes::new(service.registry).read("/registry/status", MAX_LIST_BYTES).await;
    let status: Status = status.map_err(Failure::failed)?;
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
    let bytes = keeper::save(&mut Changes::new(service.registry), file).await.map_err(Failure::failed)?;
    println!("{}: {bytes} bytes", file.display());
    Ok(())
}
