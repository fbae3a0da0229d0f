//! `shaletrail-fleet duty …`: runs a command while a duty is held, and shows and moves duties.

use std::ffi::OsString;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

use clap::Subcommand;
use hyper::Method;
use serde::de::DeserializeOwned;
use serde::Serialize;
use shaletrail_registry_client::client::{duty_path, ChangeError, RegistryClient};
use shaletrail_registry_client::clock::unix;
use shaletrail_registry_client::duty::{DutyClient, DutyError};
use shaletrail_registry_client::supervisor::{self, CommandSpec, RunError, RunOutcome};
use shaletrail_registry_protocol::duty::{
    Checkpoint, Duties, Duty, HandoverReason, StoredCheckpoint, Transfer, DUTIES_PATH, MAX_CHECKPOINT_BYTES,
    MAX_EXACT_INTEGER,
};
use shaletrail_registry_protocol::{check_id, MAX_LIST_BYTES};

use crate::{shutdown_signal, Failure};

#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    command: Commands,
}

#[derive(Subcommand)]
enum Commands {
    /// Queue for a duty, and run a command for as long as this process holds it
    Run(Run),
    /// Show all duties: holder, since when, fencing number, waiters, last hand-over and its reason
    List {
        #[command(flatten)]
        service: Service,
        #[arg(long)]
        json: bool,
    },
    /// Show one duty
    Show {
        name: String,
        #[command(flatten)]
        service: Service,
        #[arg(long)]
        json: bool,
    },
    /// Ask the holder to stop, so that the duty passes to the next in the queue
    Release {
        name: String,
        #[command(flatten)]
        service: Service,
    },
    /// Ask the holder to stop, so that the duty passes to a certain candidate in the queue
    Transfer {
        name: String,
        /// Id of the candidate that is to hold it. Default: the next in the queue
        #[arg(long)]
        to: Option<String>,
        #[command(flatten)]
        service: Service,
    },
    /// Show a duty's checkpoint, or replace it under the holder's fencing number
    Checkpoint(CheckpointArgs),
    /// Delete a duty that nobody holds or waits for, and its checkpoint
    Remove {
        name: String,
        #[command(flatten)]
        service: Service,
    },
    /// Run a command until the holder says on standard input that the lease is over
    #[command(hide = true)]
    Supervise {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true, required = true)]
        command: Vec<OsString>,
    },
}

#[derive(clap::Args)]
struct Service {
    /// Operator addresses of the list service
    #[arg(long, value_delimiter = ',', default_value = "127.0.0.1:8501", env = supervisor::REGISTRY_VAR)]
    registry: Vec<SocketAddr>,
}

#[derive(clap::Args)]
struct Run {
    name: String,
    #[command(flatten)]
    service: Service,
    /// Seconds without a renewal after which another candidate may hold the duty. The command gets SIGTERM
    /// after 8 tenths of them, and is killed after 9 tenths
    #[arg(long, default_value_t = 10.0)]
    lease_s: f64,
    /// Id of this candidate. Default: the host's name and the process id
    #[arg(long)]
    id: Option<String>,
    /// Failures of the command in a row after which the duty passes to the next in the queue and this process
    /// exits with 1
    #[arg(long, default_value_t = 5)]
    failures: u32,
    /// The command and its arguments. Its environment contains SHALETRAIL_DUTY, SHALETRAIL_FENCE and
    /// SHALETRAIL_REGISTRY
    #[arg(trailing_var_arg = true, allow_hyphen_values = true, required = true)]
    command: Vec<OsString>,
}

#[derive(clap::Args)]
struct CheckpointArgs {
    /// Name of the duty. Default: $SHALETRAIL_DUTY
    #[arg(env = supervisor::DUTY_VAR)]
    name: String,
    #[command(flatten)]
    service: Service,
    /// Store the text of this file as the checkpoint; `-` reads standard input
    #[arg(long, requires = "expect")]
    set: Option<PathBuf>,
    /// The checkpoint version that it replaces; 0 if there is none
    #[arg(long)]
    expect: Option<u64>,
    /// The holder's fencing number
    #[arg(long, env = supervisor::FENCE_VAR)]
    fence: Option<u64>,
    #[arg(long)]
    json: bool,
}

/// Time limit of a command's calls, including retries.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the `duty` subcommand that the arguments name.
pub async fn run(args: Args) -> Result<(), Failure> {
    match args.command {
        Commands::Run(args) => run_command(args).await,
        Commands::List { service, json } => list(service, json).await,
        Commands::Show { name, service, json } => {
            let duty = show(&service.registry, &name).await?;
            if json {
                return print_json(&duty);
            }
            println!("{}", summary_line(&duty));
            for (place, waiter) in duty.waiters.iter().enumerate() {
                println!("  {}. {waiter}", place + 1);
            }
            Ok(())
        }
        Commands::Release { name, service } => transfer(service, &name, None).await,
        Commands::Transfer { name, to, service } => transfer(service, &name, to).await,
        Commands::Checkpoint(args) => checkpoint(args).await,
        Commands::Remove { name, service } => {
            let path = path(&name, "")?;
            let _: serde_json::Value = put(service.registry, Method::DELETE, &path, &()).await?;
            println!("removed {name}");
            Ok(())
        }
        Commands::Supervise { command } => supervise(&command),
    }
}

fn path(name: &str, call: &str) -> Result<String, Failure> {
    check_id(name).map_err(|e| Failure::Invalid(format!("NAME: {e}")))?;
    Ok(duty_path(name, call))
}

async fn put<A: DeserializeOwned>(
    registry: Vec<SocketAddr>,
    method: Method,
    path: &str,
    request: &impl Serialize,
) -> Result<A, Failure> {
    let result = RegistryClient::new(registry).send(method, path, request, CALL_TIMEOUT).await;
    result.map_err(|e| match e {
        ChangeError::Unusable(e) => Failure::invalid(e),
        e => Failure::failed(e),
    })
}

async fn get<A: DeserializeOwned>(registry: &[SocketAddr], path: &str) -> Result<A, Failure> {
    RegistryClient::new(registry.to_vec()).read(path, MAX_LIST_BYTES).await.map_err(Failure::failed)
}

async fn show(registry: &[SocketAddr], name: &str) -> Result<Duty, Failure> {
    get(registry, &path(name, "")?).await
}

fn print_json(value: &impl Serialize) -> Result<(), Failure> {
    let text = serde_json::to_string(value).map_err(Failure::failed)?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{text}").and_then(|()| out.flush()).map_err(Failure::failed)
}

async fn list(service: Service, as_json: bool) -> Result<(), Failure> {
    let all: Duties = get(&service.registry, DUTIES_PATH).await?;
    if as_json {
        return print_json(&all);
    }
    if all.grants_paused {
        println!(
            "RESTORED FROM A BACKUP: nothing is granted until holders that it does not know have stopped"
        );
    }
    for duty in &all.duties {
        println!("{}", summary_line(duty));
    }
    Ok(())
}

fn summary_line(duty: &Duty) -> String {
    let age = |ms: u64| format!("{} s", (unix().as_millis() as u64).saturating_sub(ms) / 1000);
    let nobody = "nobody".to_owned();
    let mut text = format!("{}: ", duty.name);
    match &duty.holder {
        Some(holder) => {
            text += &format!("held by {holder} for {}, fence {}", age(duty.since_ms), duty.fence);
        }
        None => text += &format!("held by nobody, last fence {}", duty.fence),
    }
    if duty.release_requested {
        text += ", asked to stop";
    }
    text += &format!(", {} waiting, checkpoint {}", duty.waiters.len(), duty.checkpoint_version);
    if let Some(last) = &duty.last {
        let why = match last.why {
            HandoverReason::Free => "it was free",
            HandoverReason::Released => "the holder was done",
            HandoverReason::Asked => "an operator asked",
            HandoverReason::Failed => "its command failed",
            HandoverReason::Lapsed => "the holder was silent",
        };
        let (from, to) = (last.from.as_ref().unwrap_or(&nobody), last.to.as_ref().unwrap_or(&nobody));
        text += &format!("; last from {from} to {to} {} ago: {why}", age(last.at_ms));
    }
    text
}

async fn transfer(service: Service, name: &str, to: Option<String>) -> Result<(), Failure> {
    let seen = show(&service.registry, name).await?;
    let Some(holder) = seen.holder else {
        return Err(Failure::Failed(format!("{name}: the duty has no holder")));
    };
    let request = Transfer { fence: seen.fence, to };
    let asked: Duty = put(service.registry, Method::POST, &path(name, "transfer")?, &request).await?;
    if asked.release_requested {
        let next = asked.waiters.first().map_or("nobody waits", String::as_str);
        println!("{name}: {holder} is asked to stop; next: {next}");
    } else {
        println!("{name}: held by {holder} already");
    }
    Ok(())
}

async fn checkpoint(args: CheckpointArgs) -> Result<(), Failure> {
    let path = path(&args.name, "checkpoint")?;
    let Some(file) = args.set else {
        let checkpoint: StoredCheckpoint = get(&args.service.registry, &path).await?;
        if args.json {
            return print_json(&checkpoint);
        }
        return std::io::stdout().write_all(checkpoint.data.as_bytes()).map_err(Failure::failed);
    };
    let fence =
        args.fence.ok_or_else(|| Failure::Invalid("--fence: the holder's fencing number expected".into()))?;
    let expect = args.expect.unwrap_or(0);
    let mut bytes = Vec::new();
    let failed = |e| Failure::Failed(format!("{}: {e}", file.display()));
    let most = MAX_CHECKPOINT_BYTES as u64 + 1;
    let read = if file.as_os_str() == "-" {
        std::io::stdin().lock().take(most).read_to_end(&mut bytes)
    } else {
        std::fs::File::open(&file).and_then(|opened| opened.take(most).read_to_end(&mut bytes))
    };
    read.map_err(failed)?;
    if bytes.len() > MAX_CHECKPOINT_BYTES {
        return Err(Failure::Invalid(format!("--set: at most {MAX_CHECKPOINT_BYTES} bytes expected")));
    }
    let data = String::from_utf8(bytes).map_err(|_| Failure::Invalid("--set: UTF-8 expected".into()))?;
    let checkpoint: StoredCheckpoint =
        put(args.service.registry, Method::PUT, &path, &Checkpoint { fence, expect, data }).await?;
    if args.json {
        return print_json(&checkpoint);
    }
    println!("checkpoint {} of {}", checkpoint.version, args.name);
    Ok(())
}

/// A random number that identifies this process's candidacy. The hasher's keys are random.
pub fn random_life() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish() % MAX_EXACT_INTEGER
}

/// The default id of a candidate.
pub fn default_id() -> String {
    let host = std::fs::read_to_string("/proc/sys/kernel/hostname").unwrap_or_default();
    format!("{}:{}", host.trim(), std::process::id())
}

async fn run_command(args: Run) -> Result<(), Failure> {
    if args.failures == 0 {
        return Err(Failure::Invalid("--failures: 1 or more expected, got 0".into()));
    }
    let id = args.id.unwrap_or_else(default_id);
    let client = DutyClient::new(args.service.registry, &args.name, &id, random_life(), args.lease_s);
    let mut client = client.map_err(Failure::invalid)?;
    let program = std::env::current_exe().map_err(Failure::failed)?;
    let mut command: Vec<OsString> = vec![program.into(), "duty".into(), "supervise".into(), "--".into()];
    command.extend(args.command);
    let spec = CommandSpec { supervisor: command, failures: args.failures };
    let say = |what: String| tracing::info!("{what}");
    match supervisor::run(&mut client, &spec, shutdown_signal(), say).await {
        Ok(RunOutcome::Done | RunOutcome::Stopped) => Ok(()),
        Ok(RunOutcome::Failed(code)) => Err(Failure::Failed(format!(
            "{}: the command failed {} times in a row, the last time with {code}",
            args.name, args.failures
        ))),
        Err(RunError::Duty(DutyError::Invalid(e))) => Err(Failure::invalid(e)),
        Err(e) => Err(Failure::failed(e)),
    }
}

fn supervise(command: &[OsString]) -> Result<(), Failure> {
    // Installs signal handlers, so that a signal to the whole group does not end the supervisor before its
    // command.
    let ends = tokio::spawn(shutdown_signal());
    let (program, args) =
        command.split_first().ok_or_else(|| Failure::Invalid("a command expected".into()))?;
    let mut starting = Command::new(program);
    starting.args(args).stdin(Stdio::null());
    let input = BufReader::new(std::io::stdin());
    let code = supervisor::supervise(&mut starting, input);
    ends.abort();
    let code = code.map_err(|e| Failure::Failed(format!("{}: {e}", program.display())))?;
    std::process::exit(i32::from(code))
}
