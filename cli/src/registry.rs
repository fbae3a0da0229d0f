//! `shaletrail-fleet registry …`: runs replicas of the list service and operates a running service.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Subcommand;
use serde_json::{json, Value};
use shaletrail_registry::{restore, DataFolder, Options, ServiceError};
use shaletrail_registry_client::client::{ChangeError, RegistryClient};
use shaletrail_registry_client::duty::{run_while_held, DutyClient};
use shaletrail_registry_client::maintenance::{self, BackupPlan};
use shaletrail_registry_protocol::{ConfirmExpiry, ConfirmExpiryResult, Status, MAX_LIST_BYTES};

use crate::{config, duty, shutdown_signal, Failure};

#[derive(clap::Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Args {
    #[command(subcommand)]
    command: Option<Commands>,
    #[command(flatten)]
    start: Start,
}

/// Without any of these options a single replica starts on 127.0.0.1:8500, with its data in ./registry-data
#[derive(clap::Args)]
struct Start {
    /// A TOML file with the same settings under [registry]; options on the command line take precedence
    #[arg(long)]
    config: Option<PathBuf>,
    /// The replica's name, which must be the same after a restart
    #[arg(long)]
    name: Option<String>,
    /// Folder for its data
    #[arg(long)]
    data: Option<PathBuf>,
    /// Address at which nodes read the list
    #[arg(long)]
    discovery: Option<SocketAddr>,
    /// Address at which operators and agents change it
    #[arg(long)]
    ops: Option<SocketAddr>,
    /// Address at which it listens for other replicas
    #[arg(long)]
    replica: Option<SocketAddr>,
    /// All replicas that start the service together, including this one, as NAME=ADDR,NAME=ADDR
    #[arg(long, value_parser = peers)]
    peers: Option<BTreeMap<String, SocketAddr>>,
}

#[derive(Subcommand)]
enum Commands {
    /// Start a new replica that joins a running service
    Join {
        #[command(flatten)]
        start: Start,
        /// Operator addresses of the running service
        #[arg(long, required = true, value_delimiter = ',')]
        registry: Vec<SocketAddr>,
    },
    /// Remove a replica. Refused if the remaining replicas that answer would not be a majority
    Remove {
        name: String,
        #[command(flatten)]
        service: Service,
    },
    /// Show a replica's state and its view of the others
    Status {
        #[command(flatten)]
        service: Service,
        #[arg(long)]
        json: bool,
    },
    /// Let entries expire whose automatic expiry is stopped. Make sure first that their servers are gone
    Confirm {
        /// Highest number of entries that may expire
        #[arg(long)]
        most: usize,
        #[command(flatten)]
        service: Service,
    },
    /// Maintain the service: take backups on schedule, and let entries expire whose automatic expiry is stopped
    /// and whose servers are found gone. Any number of keepers may run; each of the two duties is held by one of
    /// them
    Keeper {
        #[command(flatten)]
        service: Service,
        /// Folder for backups. Default: no backups are taken
        #[arg(long)]
        backups: Option<PathBuf>,
        /// Seconds between two backups
        #[arg(long, default_value_t = 86_400.0)]
        every_s: f64,
        /// Number of backups to keep
        #[arg(long, default_value_t = 7)]
        keep: usize,
        /// Leave entries whose automatic expiry is stopped to operators
        #[arg(long)]
        no_expiry: bool,
        /// Seconds without a renewal after which another keeper takes over
        #[arg(long, default_value_t = 10.0)]
        lease_s: f64,
        /// Id of this keeper. Default: the host's name and the process id
        #[arg(long)]
        id: Option<String>,
    },
    /// Write a backup of the list
    Backup {
        file: PathBuf,
        #[command(flatten)]
        service: Service,
    },
    /// Restore a backup into an empty data folder of a replica
    Restore {
        file: PathBuf,
        #[arg(long, default_value = "registry-data")]
        data: PathBuf,
        #[arg(long, default_value = "r1")]
        name: String,
        /// Address at which it will listen for other replicas, if others are to join it
        #[arg(long)]
        replica: Option<SocketAddr>,
        /// A version that clients are known to have seen; the restored list starts with a higher one
        #[arg(long, default_value_t = 0)]
        beyond: u64,
    },
}

#[derive(clap::Args)]
struct Service {
    /// Operator addresses of the service
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

/// Time limit of a command's calls, including retries.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a registry replica, or runs the subcommand that the arguments name.
pub async fn run(args: Args) -> Result<(), Failure> {
    match args.command {
        None => start(args.start, Vec::new()).await,
        Some(Commands::Join { start: with, registry }) => start(with, registry).await,
        Some(Commands::Remove { name, service }) => {
            let path = format!("/registry/replicas/{name}");
            let result: Value = put(service, hyper::Method::DELETE, &path, &json!({})).await?;
            match result["removed"].as_bool() {
                Some(true) => println!("removed {name}"),
                _ => println!("no replica has the name {name}"),
            }
            Ok(())
        }
        Some(Commands::Status { service, json }) => status(service, json).await,
        Some(Commands::Confirm { most, service }) => {
            let path = "/registry/expiry/confirm";
            let confirmed: ConfirmExpiryResult =
                put(service, hyper::Method::POST, path, &ConfirmExpiry { most }).await?;
            println!("{} entries may expire", confirmed.expired);
            Ok(())
        }
        Some(Commands::Keeper { service, backups, every_s, keep, no_expiry, lease_s, id }) => {
            let every = Duration::try_from_secs_f64(every_s).ok().filter(|every| !every.is_zero());
            let every =
                every.ok_or_else(|| Failure::Invalid("--every-s: more than 0 seconds expected".into()))?;
            if keep == 0 || backups.is_none() && no_expiry {
                return Err(Failure::Invalid(
                    "--keep of 1 or more expected, and --backups if --no-expiry is given".into(),
                ));
            }
            let plan = backups.map(|folder| BackupPlan { folder, every, keep });
            if let Some(plan) = &plan {
                std::fs::create_dir_all(&plan.folder)
                    .map_err(|e| Failure::Failed(format!("{}: {e}", plan.folder.display())))?;
            }
            let id = id.unwrap_or_else(duty::default_id);
            let new_client =
                |name| DutyClient::new(service.registry.clone(), name, &id, duty::random_life(), lease_s);
            let (mut backup_client, mut expiry_client) = (
                new_client(maintenance::BACKUP_DUTY).map_err(Failure::invalid)?,
                new_client(maintenance::EXPIRY_DUTY).map_err(Failure::invalid)?,
            );
            let say = |what: String| tracing::info!("{what}");
            let backing_up = async {
                let Some(plan) = &plan else { return Ok(()) };
                run_while_held(&mut backup_client, shutdown_signal(), say, async |held| {
                    maintenance::run_backups(held, plan, say).await
                })
                .await
            };
            let confirming = async {
                if no_expiry {
                    return Ok(());
                }
                run_while_held(&mut expiry_client, shutdown_signal(), say, async |held| {
                    maintenance::run_expiry(held, say).await
                })
                .await
            };
            let (backups, expiry) = tokio::join!(backing_up, confirming);
            backups.and(expiry).map_err(Failure::failed)
        }
        Some(Commands::Backup { file, service }) => backup(&file, service).await,
        Some(Commands::Restore { file, data, name, replica, beyond }) => {
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
        // The service continues even if the process that reads this line has ended.
        let _ = writeln!(std::io::stdout(), "ready");
        let _ = std::io::stdout().flush();
    };
    shaletrail_registry::run(options, ready, shutdown_signal()).await.map_err(|e| match e {
        ServiceError::Invalid(what) => Failure::Invalid(what),
        e => Failure::failed(e),
    })
}

async fn put<A: serde::de::DeserializeOwned>(
    service: Service,
    method: hyper::Method,
    path: &str,
    request: &impl serde::Serialize,
) -> Result<A, Failure> {
    let result = RegistryClient::new(service.registry).send(method, path, request, CALL_TIMEOUT).await;
    result.map_err(|e| match e {
        ChangeError::Unusable(e) => Failure::invalid(e),
        e => Failure::failed(e),
    })
}

async fn status(service: Service, as_json: bool) -> Result<(), Failure> {
    let status = RegistryClient::new(service.registry).read("/registry/status", MAX_LIST_BYTES).await;
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
    let bytes =
        maintenance::save(&mut RegistryClient::new(service.registry), file).await.map_err(Failure::failed)?;
    println!("{}: {bytes} bytes", file.display());
    Ok(())
}
