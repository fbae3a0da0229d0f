//! `shaletrail-fleet duty …`

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
use shaletrail_registry_client::changes::{duty_path, ChangeError, Changes};
use shaletrail_registry_client::clock::unix;
use shaletrail_registry_client::duty::{DutyError, Seat};
use shaletrail_registry_client::supervisor::{self, Finished, RunError, Work};
use shaletrail_registry_protocol::duty::{
    Checkpoint, Duties, Duty, HandoverReason, StoredCheckpoint, Transfer, DUTIES_PATH, MAX_CHECKPOINT_BYTES,
    MAX_EXACT_INTEGER,
};
use shaletrail_registry_protocol::{check_id, MAX_LIST_BYTES};

use crate::{stopped, Failure};

#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Stand in line for a duty, and run a command for as long as this process holds it
    Run(Run),
    /// Show all duties: holder, since when, fencing number, waiters, last hand-over and why
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
    /// Ask the holder to stop and to give the duty to the next in line
    Release {
        name: String,
        #[command(flatten)]
        service: Service,
    },
    /// Ask the holder to stop and to give the duty to one of those in line
    Transfer {
        name: String,
        /// Who is to hold it; without it the next in line
        #[arg(long)]
        to: Option<String>,
        #[command(flatten)]
        service: Service,
    },
    /// Show what the last holder left, or leave something under the holder's fencing number
    Checkpoint(CheckpointArgs),
    /// Forget a duty that nobody holds or waits for, and its checkpoint
    Remove {
        name: String,
        #[command(flatten)]
        service: Service,
    },
    /// Runs a command until its standard input says that the tenure is over
    #[command(hide = true)]
    Supervise {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true, required = true)]
        command: Vec<OsString>,
    },
}

#[derive(clap::Args)]
struct Service {
    /// Operators' addresses of the list service
    #[arg(long, value_delimiter = ',', default_value = "127.0.0.1:8501", env = supervisor::REGISTRY)]
    registry: Vec<SocketAddr>,
}

#[derive(clap::Args)]
struct Run {
    name: String,
    #[command(flatten)]
    service: Service,
    /// Seconds after which the duty may pass on when this process is silent; the command is told to end after 8 tenths,
    /// and killed after 9
    #[arg(long, default_value_t = 10.0)]
    lease_s: f64,
    /// How operators see this process; without it the host's name and the process's number
    #[arg(long)]
    id: Option<String>,
    /// Failures of the command in a row after which the next in line is to try, and this process ends with 1
    #[arg(long, default_value_t = 5)]
    failures: u32,
    /// The command and its arguments. It sees SHALETRAIL_DUTY, SHALETRAIL_FENCE and SHALETRAIL_REGISTRY
    #[arg(trailing_var_arg = true, allow_hyphen_values = true, required = true)]
    command: Vec<OsString>,
}

#[derive(clap::Args)]
struct CheckpointArgs {
    /// Without it $SHALETRAIL_DUTY
    #[arg(env = supervisor::DUTY)]
    name: String,
    #[command(flatten)]
    service: Service,
    /// Leave this file's text, or standard input with `-`
    #[arg(long, requires = "expect")]
    set: Option<PathBuf>,
    /// The version that it is to replace; 0 where there is none
    #[arg(long)]
    expect: Option<u64>,
    /// The holder's fencing number
    #[arg(long, env = supervisor::FENCE)]
    fence: Option<u64>,
    #[arg(long)]
    json: bool,
}

/// For calls that an operator waits for.
const CALL_TIME: Duration = Duration::from_secs(30);

pub async fn run(args: Args) -> Result<(), Failure> {
    match args.verb {
        Verb::Run(args) => run_command(args).await,
        Verb::List { service, json } => list(service, json).await,
        Verb::Show { name, service, json } => {
            let duty = show(&service.registry, &name).await?;
            if json {
                return print_json(&duty);
            }
            println!("{}", line(&duty));
            for (place, waiter) in duty.waiters.iter().enumerate() {
                println!("  {}. {waiter}", place + 1);
            }
            Ok(())
        }
        Verb::Release { name, service } => transfer(service, &name, None).await,
        Verb::Transfer { name, to, service } => transfer(service, &name, to).await,
        Verb::Checkpoint(args) => checkpoint(args).await,
        Verb::Remove { name, service } => {
            let path = path(&name, "")?;
            let _: serde_json::Value = put(service.registry, Method::DELETE, &path, &()).await?;
            println!("removed {name}");
            Ok(())
        }
        Verb::Supervise { command } => supervise(&command),
    }
}

fn path(name: &str, call: &str) -> Result<String, Failure> {
    check_id(name).map_err(|e| Failure::Wrong(format!("NAME: {e}")))?;
    Ok(duty_path(name, call))
}

async fn put<A: DeserializeOwned>(
    registry: Vec<SocketAddr>,
    method: Method,
    path: &str,
    question: &impl Serialize,
) -> Result<A, Failure> {
    let done = Changes::new(registry).put(method, path, question, CALL_TIME).await;
    done.map_err(|e| match e {
        ChangeError::Unusable(e) => Failure::wrong(e),
        e => Failure::failed(e),
    })
}

async fn get<A: DeserializeOwned>(registry: &[SocketAddr], path: &str) -> Result<A, Failure> {
    Changes::new(registry.to_vec()).read(path, MAX_LIST_BYTES).await.map_err(Failure::failed)
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
        println!("{}", line(duty));
    }
    Ok(())
}

fn line(duty: &Duty) -> String {
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
        return Err(Failure::Failed(format!("{name}: nobody holds it")));
    };
    let question = Transfer { fence: seen.fence, to };
    let asked: Duty = put(service.registry, Method::POST, &path(name, "transfer")?, &question).await?;
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
        let kept: StoredCheckpoint = get(&args.service.registry, &path).await?;
        if args.json {
            return print_json(&kept);
        }
        return std::io::stdout().write_all(kept.data.as_bytes()).map_err(Failure::failed);
    };
    let fence =
        args.fence.ok_or_else(|| Failure::Wrong("--fence: the holder's fencing number expected".into()))?;
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
        return Err(Failure::Wrong(format!("--set: at most {MAX_CHECKPOINT_BYTES} bytes expected")));
    }
    let data = String::from_utf8(bytes).map_err(|_| Failure::Wrong("--set: UTF-8 expected".into()))?;
    let kept: StoredCheckpoint =
        put(args.service.registry, Method::PUT, &path, &Checkpoint { fence, expect, data }).await?;
    if args.json {
        return print_json(&kept);
    }
    println!("checkpoint {} of {}", kept.version, args.name);
    Ok(())
}

/// A life that no other process has: the hasher's keys are drawn by the system.
pub fn life() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish() % MAX_EXACT_INTEGER
}

pub fn own_id() -> String {
    let host = std::fs::read_to_string("/proc/sys/kernel/hostname").unwrap_or_default();
    format!("{}:{}", host.trim(), std::process::id())
}

async fn run_command(args: Run) -> Result<(), Failure> {
    if args.failures == 0 {
        return Err(Failure::Wrong("--failures: 1 or more expected, got 0".into()));
    }
    let id = args.id.unwrap_or_else(own_id);
    let seat = Seat::new(args.service.registry, &args.name, &id, life(), args.lease_s);
    let mut seat = seat.map_err(Failure::wrong)?;
    let program = std::env::current_exe().map_err(Failure::failed)?;
    let mut command: Vec<OsString> = vec![program.into(), "duty".into(), "supervise".into(), "--".into()];
    command.extend(args.command);
    let work = Work { supervisor: command, failures: args.failures };
    let say = |what: String| tracing::info!("{what}");
    match supervisor::run(&mut seat, &work, stopped(), say).await {
        Ok(Finished::Done | Finished::Stopped) => Ok(()),
        Ok(Finished::Failed(code)) => Err(Failure::Failed(format!(
            "{}: the command failed {} times in a row, the last time with {code}",
            args.name, args.failures
        ))),
        Err(RunError::Duty(DutyError::Wrong(e))) => Err(Failure::wrong(e)),
        Err(e) => Err(Failure::failed(e)),
    }
}

fn supervise(command: &[OsString]) -> Result<(), Failure> {
    // Taken, so that what ends the group with a signal does not end its supervisor before its time.
    let ends = tokio::spawn(stopped());
    let (program, args) = command.split_first().ok_or_else(|| Failure::Wrong("a command expected".into()))?;
    let mut starting = Command::new(program);
    starting.args(args).stdin(Stdio::null());
    let input = BufReader::new(std::io::stdin());
    let code = supervisor::supervise(&mut starting, input);
    ends.abort();
    let code = code.map_err(|e| Failure::Failed(format!("{}: {e}", program.display())))?;
    std::process::exit(i32::from(code))
}
