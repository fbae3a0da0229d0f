//! `shaletrail-fleet`: the fleet's command. Arguments, configuration and logging; the work is in the crates beside it.

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
    noun: Noun,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Noun {
    /// Start a replica of the list service, or look after a running service
    Registry(Box<registry::Args>),
    /// Show the list of cache servers, once or as it changes
    List(list::Args),
    /// Run beside a cache server and keep it listed while it answers
    Agent(agent::Args),
    /// Work that one process does at a time: hold it, see who does, move it
    Duty(duty::Args),
    /// Start a small fleet on loopback: a registry, emulated cache servers and an origin, and a node
    Up(up::Args),
    /// Play failures on a fleet between emulated parties, and judge what was seen
    Lab(lab::Args),
    /// Ends the processes named on standard input when that ends
    #[command(hide = true)]
    Guard,
    /// Measure what the parts cost on this machine
    Bench(bench::Args),
    /// Check a configuration file, or show every setting with its default
    Config(config::Args),
}

/// How a command ends that does not succeed.
pub enum Failure {
    /// Exit 1.
    Failed(String),
    /// Exit 2: the call or the configuration is wrong.
    Wrong(String),
    /// Exit 3: the run says nothing.
    Void(String),
}

impl Failure {
    pub fn failed(e: impl fmt::Display) -> Self {
        Failure::Failed(e.to_string())
    }

    pub fn wrong(e: impl fmt::Display) -> Self {
        Failure::Wrong(e.to_string())
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
        match cli.noun {
            Noun::Registry(args) => registry::run(*args).await,
            Noun::List(args) => list::run(args).await,
            Noun::Agent(args) => agent::run(args).await,
            Noun::Duty(args) => duty::run(args).await,
            Noun::Up(args) => up::run(args).await,
            Noun::Lab(args) => lab::run(args).await,
            Noun::Guard => {
                shaletrail_fault_lab::process::run_reaper(std::io::stdin().lock());
                Ok(())
            }
            Noun::Bench(args) => bench::run(args).await,
            Noun::Config(args) => config::run(&args),
        }
    }))
}

fn end(result: Result<(), Failure>) -> ExitCode {
    let (what, code) = match result {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Failed(what)) => (what, 1),
        Err(Failure::Wrong(what)) => (what, 2),
        Err(Failure::Void(what)) => (what, 3),
    };
    eprintln!("shaletrail-fleet: {}", what.trim_end().replace('\n', " "));
    ExitCode::from(code)
}

/// Ends with SIGTERM or SIGINT.
pub async fn stopped() {
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
