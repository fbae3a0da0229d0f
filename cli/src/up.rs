//! `shaletrail up`: a small fleet on loopback, to see how the parts work together.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use serde_json::json;
use shaletrail_client::agent::{self, Duty};
use shaletrail_client::call::{Call, Line};
use shaletrail_client::changes::Changes;
use shaletrail_lab::party::Backend;
use shaletrail_lab::process::{Folder, Process};
use shaletrail_lab::service::{free, Service};
use shaletrail_wire::{Entry, State};
use tokio::time::sleep;

use crate::{stopped, Failure};

#[derive(clap::Args)]
pub struct Args {
    /// Emulated cache servers
    #[arg(long, default_value_t = 2)]
    caches: usize,
    /// The node's program; the one beside this program without it
    #[arg(long)]
    node: Option<PathBuf>,
    /// Serve one request, show its answer and end
    #[arg(long)]
    once: bool,
}

const LEASE: Duration = Duration::from_secs(5);
const ORIGIN_TAKES: Duration = Duration::from_millis(40);
/// For the node to have its list.
const READY: Duration = Duration::from_secs(30);

pub async fn run(args: Args) -> Result<(), Failure> {
    let program = std::env::current_exe().map_err(Failure::failed)?;
    let node = args.node.unwrap_or_else(|| program.with_file_name("tackstage"));
    if !node.exists() {
        return Err(Failure::Wrong(format!(
            "{}: no such program; build it, or name it by --node",
            node.display()
        )));
    }
    let registry = tokio::task::spawn_blocking(move || Service::start(&program, "up", 1));
    let registry = registry.await.map_err(Failure::failed)?;
    let (discovery, ops) = (registry.places[0].discovery, registry.places[0].ops);
    let backend = Backend::default();
    let mut servers =
        vec![("origin".to_owned(), backend.origin(ORIGIN_TAKES).await.map_err(Failure::failed)?)];
    let mut asked = Vec::new();
    for n in 0..args.caches {
        let (addr, counts) = backend.cache().await.map_err(Failure::failed)?;
        servers.push((format!("cache-{n}"), addr));
        asked.push(counts);
    }
    for (id, addr) in &servers {
        let duty = Duty { entry: entry(id, *addr), lease: LEASE, drain: Duration::ZERO, check: *addr };
        tokio::spawn(async move {
            let say = |what: String| tracing::info!("{what}");
            if let Err(e) = agent::run(&duty, &mut Changes::new(vec![ops]), std::future::pending(), say).await
            {
                tracing::error!("{e}");
            }
        });
    }
    let folder = Folder::new("up-node");
    let listen = free();
    let config = folder.0.join("node.json");
    std::fs::write(&config, settings(listen, discovery).to_string()).map_err(Failure::failed)?;
    let mut command = Command::new(node);
    command.env("LB_CONFIG", &config);
    let _node = Process::start(&mut command, &folder.0.join("node.log"));
    ready(listen).await?;
    println!("registry: nodes read at {discovery}, operators change at {ops}");
    for (id, addr) in &servers {
        println!("{id}: {addr}");
    }
    println!("node: {listen}\n");
    let path = "/read/7f3a9c21e0b4d655";
    println!("GET http://{listen}{path}\n  {}", read(listen, path).await?);
    if args.once {
        return Ok(());
    }
    println!(
        "\ntry: curl -H 'X-Request-Id: 1' -H 'X-Class: read' -H 'X-Tenant: acme' -H 'X-Deadline-Ms: 900' \\"
    );
    println!("       http://{listen}{path}\n     shaletrail list --watch --registry {discovery}");
    println!("Ctrl-C ends all of it.");
    stopped().await;
    let count = |n: &std::sync::atomic::AtomicU64| n.load(std::sync::atomic::Ordering::Relaxed);
    let (hits, misses) = asked.iter().fold((0, 0), |(h, m), a| (h + count(&a.hits), m + count(&a.misses)));
    println!("\n{hits} hits and {misses} misses at the cache servers, {} fetches", count(&backend.fetched));
    Ok(())
}

fn entry(id: &str, addr: SocketAddr) -> Entry {
    let kind = if id == "origin" { "origin" } else { "box" };
    let (id, kind, zone) = (id.to_owned(), kind.to_owned(), "here".to_owned());
    Entry { id, addr, zone, kind, cell: 0, state: State::Active, weight: 1.0, started_ms: 0 }
}

async fn ready(node: SocketAddr) -> Result<(), Failure> {
    let until = tokio::time::Instant::now() + READY;
    loop {
        let answer = Line::new(node).within(READY, Call::get("/health/ready", 1 << 10)).await;
        if answer.is_ok_and(|answer| answer.status.is_success()) {
            return Ok(());
        }
        if tokio::time::Instant::now() > until {
            return Err(Failure::Failed(format!(
                "the node at {node} is not ready within {} s",
                READY.as_secs()
            )));
        }
        sleep(Duration::from_millis(50)).await;
    }
}

async fn read(node: SocketAddr, path: &str) -> Result<String, Failure> {
    let headers =
        &[("x-request-id", "up-1"), ("x-class", "read"), ("x-tenant", "acme"), ("x-deadline-ms", "2000")];
    let call = Call { headers, ..Call::get(path, 64 << 10) };
    let answer = Line::new(node).within(Duration::from_secs(5), call).await.map_err(Failure::failed)?;
    Ok(format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)))
}

/// What the platform would tell the node.
fn settings(listen: SocketAddr, discovery: SocketAddr) -> serde_json::Value {
    let grade = json!({"name": "read", "effect": "free", "group": "all", "key-ttl-s": 5.0, "target-s": 0.5,
                       "hard-limit-s": 1.0, "importance": 1.0, "late-worth": 0.5, "streamed": false});
    let settings = json!({
        "balancers": 1, "me": 0, "locality": "here", "areas": ["here"], "membership-mode": "on_request",
        "round-s": 0.005, "weight-source": "off", "skus": ["box", "origin"],
        "family-info": {"mode": "aside", "origin-kind": 1}, "grades": [grade],
        "tenants": [{"name": "acme", "quota-per-s": 1000.0, "share": 1.0}],
        "guarantees": {"grace-to-answer-s": 0.02, "ask-every-s": 10.0, "cold-from": 0.3, "ramp-time-s": 2.0,
                       "drain-grace-s": 0.5, "fall-multiple": 3.0, "fall-s": 3.0},
        "limits": {"cancel": true, "probes": false, "peers": false, "parallel-tries": true, "retry-after": true,
                   "max-retry-after-s": 0.75, "max-attempts": 3, "dial-timeout-s": 0.5, "idle-close-s": 60.0}
    });
    json!({"name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
           "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
           "settings": settings})
}
