//! `shaletrail-fleet`, the operators' command line: arguments, configuration and logging. The other crates do
//! the work.

#![deny(unsafe_code)]

mod agent;
mod bench;
mod config;
mod duty;
mod lab;
mod list;
mod registry;
mod up;

use std::fmt;
use std::io::IsTerminal;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

#[derive(Parser)]
#[command(
    name = "shaletrail-fleet",
    version,
    about = "Keeps a fleet of load balancer nodes and cache servers together"
)]
struct Cli {
    /// Format of the log on standard error
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
    #[command(subcommand)]
    command: Commands,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Commands {
    /// Start a replica of the list service, or operate a running service
    Registry(Box<registry::Args>),
    /// Show the list of cache servers, once or as it changes
    List(list::Args),
    /// Run beside a cache server and keep it in the list while it answers probes
    Agent(agent::Args),
    /// Duties, each held by one process at a time: run a command under one, show and move them
    Duty(duty::Args),
    /// Start a small fleet on loopback: a registry, emulated cache servers, an origin, and nodes
    Up(up::Args),
    /// Inject faults into a fleet with emulated clients and servers, and judge the results
    Lab(lab::Args),
    /// Kill the processes named on standard input when it closes
    #[command(hide = true)]
    Guard,
    /// Measure the performance of the parts on this machine
    Bench(bench::Args),
    /// Check a configuration file, or show every setting with its default
    Config(config::Args),
}

/// Why a command failed, with its message. Determines the exit code.
pub enum Failure {
    /// Exit code 1.
    Failed(String),
    /// Exit code 2: the arguments or the configuration are invalid.
    Invalid(String),
    /// Exit code 3: the run is void, so it can't be judged.
    Void(String),
}

impl Failure {
    /// Creates a [`Failure::Failed`] with the text of the error.
    pub fn failed(e: impl fmt::Display) -> Self {
        Failure::Failed(e.to_string())
    }

    /// Creates a [`Failure::Invalid`] with the text of the error.
    pub fn invalid(e: impl fmt::Display) -> Self {
        Failure::Invalid(e.to_string())
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = tracing_subscriber::EnvFilter::try_from_env("SHALETRAIL_LOG").unwrap_or_else(|_| {
        tracing_subscriber::EnvFilter::new("warn,shaletrail=info,shaletrail_registry=info,openraft=off")
    });
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_env_filter(filter);
    match cli.log {
        LogFormat::Text => log.with_target(false).with_ansi(std::io::stderr().is_terminal()).init(),
        LogFormat::Json => log.json().init(),
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return end(Err(Failure::failed(e))),
    };
    end(runtime.block_on(async {
        match cli.command {
            Commands::Registry(args) => registry::run(*args).await,
            Commands::List(args) => list::run(args).await,
            Commands::Agent(args) => agent::run(args).await,
            Commands::Duty(args) => duty::run(args).await,
            Commands::Up(args) => up::run(args).await,
            Commands::Lab(args) => lab::run(args).await,
            Commands::Guard => {
                shaletrail_fault_lab::process::run_reaper(std::io::stdin().lock());
                Ok(())
            }
            Commands::Bench(args) => bench::run(args).await,
            Commands::Config(args) => config::run(&args),
        }
    }))
}

fn end(result: Result<(), Failure>) -> ExitCode {
    let (what, code) = match result {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Failed(what)) => (what, 1),
        Err(Failure::Invalid(what)) => (what, 2),
        Err(Failure::Void(what)) => (what, 3),
    };
    eprintln!("shaletrail-fleet: {}", what.trim_end().replace('\n', " "));
    ExitCode::from(code)
}

/// Completes when SIGTERM or SIGINT is received.
pub async fn shutdown_signal() {
    use tokio::signal::unix::{signal, SignalKind};
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
