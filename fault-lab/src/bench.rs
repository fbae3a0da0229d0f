//! What the list service costs, measured against a plain list in memory in the same run.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use serde::Serialize;
use shaletrail_registry_client::call::{Call, HttpClient};
use shaletrail_registry_client::client::{entry_path, RegistryClient};
use shaletrail_registry_client::driver::fetch_list;
use shaletrail_registry_client::follow::ListRequest;
use shaletrail_registry_protocol::{ChangeResult, Register, INSTANCES_PATH, MAX_LIST_BYTES};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::loopback::InMemoryRegistry;
use crate::observer::numbered;
use crate::registry::RegistryCluster;
use crate::rng::SeededRng;

/// How much is measured.
#[derive(Clone, Debug, Serialize)]
pub struct Size {
    pub servers: usize,
    pub watchers: usize,
    pub changes: usize,
    pub writers: usize,
    pub write_s: u64,
    pub failovers: usize,
    pub history: usize,
    pub churn_s: u64,
}

/// Median, least and most of some figures.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    pub median: f64,
    pub least: f64,
    pub most: f64,
    pub count: usize,
}

impl Spread {
    pub fn of(mut figures: Vec<f64>) -> Spread {
        figures.sort_by(f64::total_cmp);
        let at = |n: usize| figures.get(n).copied().unwrap_or(f64::NAN);
        let count = figures.len();
        Spread { median: at(count / 2), least: at(0), most: at(count.saturating_sub(1)), count }
    }
}

/// One form of the service under load.
#[derive(Debug, Serialize)]
pub struct Form {
    pub form: String,
    /// From the begin of a change to its being told to the last of all watchers.
    pub last_watcher_ms: Spread,
    /// Of answers' bodies, for each watcher and change.
    pub bytes_a_watcher_a_change: f64,
    pub whole_list_bytes: usize,
    pub changes_per_s: f64,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub machine: String,
    pub seed: u64,
    pub size: Size,
    pub forms: Vec<Form>,
    /// SIGKILL of the leader to the next acknowledged change, and reads that no endpoint answered meanwhile.
    pub failover_ms: Spread,
    pub failover_reads: u64,
    pub failover_reads_failed: u64,
    /// From the start of the process to its ready, with a long history behind a snapshot.
    pub start_ms: Spread,
    /// Resident memory of a replica under churn, each tenth of the time.
    pub churn_kib: Vec<u64>,
    pub churn_changes: u64,
}

type Failed = Box<dyn std::error::Error + Send + Sync>;

/// Runs all of it. `say` is told what is being measured.
///
/// # Errors
/// Whatever keeps a figure from being measured.
pub async fn registry(program: &Path, size: Size, seed: u64, say: impl Fn(&str)) -> Result<Report, Failed> {
    let mut forms = Vec::new();
    say("a plain list in memory");
    let plain = InMemoryRegistry::start().await?;
    forms.push(form("plain list in memory", vec![plain], vec![plain], &size, seed).await?);
    for replicas in [1, 3] {
        say(&format!("{replicas} replica(s): watchers and changes"));
        let service = start(program, replicas).await?;
        forms.push(
            form(&format!("{replicas} replica(s)"), service.ops(), service.discovery(), &size, seed).await?,
        );
        end(service).await?;
    }
    say("the leader killed, again and again");
    let (failover_ms, failover_reads, failover_reads_failed) = failover(program, &size).await?;
    say("starts behind a long history, and churn");
    let (start_ms, churn_kib, churn_changes) = history(program, &size).await?;
    Ok(Report {
        machine: machine(),
        seed,
        size,
        forms,
        failover_ms,
        failover_reads,
        failover_reads_failed,
        start_ms,
        churn_kib,
        churn_changes,
    })
}

/// The harness's processes are waited for by blocking.
async fn start(program: &Path, replicas: usize) -> Result<RegistryCluster, Failed> {
    let program = program.to_owned();
    Ok(tokio::task::spawn_blocking(move || RegistryCluster::start(&program, "bench", replicas)).await?)
}

async fn end(service: RegistryCluster) -> Result<(), Failed> {
    Ok(tokio::task::spawn_blocking(move || drop(service)).await?)
}

pub fn machine() -> String {
    let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
    let field = |text: &str, name: &str| {
        let line = text.lines().find(|line| line.starts_with(name)).unwrap_or_default().to_owned();
        line.split_once(':').map_or(String::new(), |(_, value)| value.trim().to_owned())
    };
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let (cpu, memory) =
        (field(&read("/proc/cpuinfo"), "model name"), field(&read("/proc/meminfo"), "MemTotal"));
    format!("{cores} cores ({cpu}), {memory}, Linux {}", read("/proc/sys/kernel/osrelease").trim())
}

async fn put(changes: &mut RegistryClient, id: &str, number: u64) -> Result<u64, Failed> {
    let question = Register { incarnation: 0, ..numbered(id, number) };
    let changed: ChangeResult =
        changes.send(Method::PUT, &entry_path(id, ""), &question, Duration::from_secs(30)).await?;
    Ok(changed.version)
}

/// Many writers, each one change after the other on a connection of its own, until the time is over or so many
/// are done. Returns how many were acknowledged.
async fn write(ops: &[SocketAddr], writers: usize, time: Duration, most: usize) -> u64 {
    let (until, done) = (Instant::now() + time, Arc::new(AtomicU64::new(0)));
    let mut tasks = Vec::new();
    for writer in 0..writers {
        let (addr, done) = (ops[writer % ops.len()], Arc::clone(&done));
        tasks.push(tokio::spawn(async move {
            let mut line = HttpClient::new(addr);
            for number in 1.. {
                let place = done.load(Ordering::Relaxed);
                if Instant::now() >= until || place >= most as u64 {
                    return;
                }
                let id = format!("s{}", place as usize % most.min(20_000));
                // Without an incarnation the last word counts, whoever wrote before.
                let question = Register { incarnation: 0, ..numbered(&id, number) };
                let body = serde_json::to_vec(&question).unwrap_or_default().into();
                let path = entry_path(&id, "");
                let call = Call {
                    method: Method::PUT,
                    path: &path,
                    headers: &[],
                    body,
                    max_bytes: MAX_LIST_BYTES,
                    close: false,
                };
                let answer = line.send(Duration::from_secs(10), call).await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    done.fetch_add(1, Ordering::Relaxed);
                }
            }
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    done.load(Ordering::Relaxed)
}

async fn form(
    name: &str,
    ops: Vec<SocketAddr>,
    discovery: Vec<SocketAddr>,
    size: &Size,
    seed: u64,
) -> Result<Form, Failed> {
    let mut changes = RegistryClient::new(ops.clone());
    let mut rng = SeededRng::new(name, seed);
    for n in 0..size.servers {
        // Enough at once to be quick; each id once.
        if n % 64 == 0 {
            let batch = (n..size.servers.min(n + 64)).map(|n| {
                let addr = ops[n % ops.len()];
                tokio::spawn(
                    async move { put(&mut RegistryClient::new(vec![addr]), &format!("s{n}"), 1).await },
                )
            });
            for task in batch.collect::<Vec<_>>() {
                task.await??;
            }
        }
    }
    let whole = fetch_list(discovery[0], ListRequest::Whole).await.map_err(|e| e.to_string())?;
    let whole_list_bytes = serde_json::to_vec(&whole)?.len();
    let (told, mut heard) = mpsc::channel::<(u64, usize)>(size.watchers);
    let stop = Arc::new(AtomicBool::new(false));
    let mut watchers = Vec::new();
    for n in 0..size.watchers {
        let (addr, told, mut version) = (discovery[n % discovery.len()], told.clone(), whole.version);
        let stop = Arc::clone(&stop);
        watchers.push(tokio::spawn(async move {
            let mut line = HttpClient::new(addr);
            while !stop.load(Ordering::Relaxed) {
                let path = format!("{INSTANCES_PATH}?from={version}&hold_ms=20000");
                let call = Call { close: false, ..Call::get(&path, MAX_LIST_BYTES) };
                let answer = line.send(Duration::from_secs(30), call).await;
                let Ok(answer) = answer else { continue };
                let list = serde_json::from_slice::<shaletrail_registry_protocol::List>(&answer.body);
                let Ok(list) = list else { continue };
                if list.version > version {
                    version = list.version;
                    let _ = told.send((version, answer.body.len())).await;
                }
            }
        }));
    }
    // Until all wait.
    sleep(Duration::from_secs(2)).await;
    let (mut last, mut bytes) = (Vec::new(), 0);
    for number in 0..size.changes as u64 {
        let began = Instant::now();
        let version = put(&mut changes, &format!("s{}", rng.below(size.servers)), number + 2).await?;
        let mut reached = 0;
        while reached < size.watchers {
            let news = tokio::time::timeout(Duration::from_secs(30), heard.recv()).await?;
            let Some((seen, length)) = news else { break };
            bytes += length;
            reached += usize::from(seen >= version);
        }
        last.push(began.elapsed().as_secs_f64() * 1000.0);
        sleep(Duration::from_millis(100)).await;
    }
    stop.store(true, Ordering::Relaxed);
    for watcher in watchers {
        watcher.abort();
    }
    let time = Duration::from_secs(size.write_s);
    let written = write(&ops, size.writers, time, usize::MAX >> 1).await;
    Ok(Form {
        form: name.to_owned(),
        last_watcher_ms: Spread::of(last),
        bytes_a_watcher_a_change: bytes as f64 / (size.changes * size.watchers) as f64,
        whole_list_bytes,
        changes_per_s: written as f64 / time.as_secs_f64(),
    })
}

async fn failover(program: &Path, size: &Size) -> Result<(Spread, u64, u64), Failed> {
    let mut service = start(program, 3).await?;
    let mut changes = RegistryClient::new(service.ops());
    put(&mut changes, "s0", 1).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let (stopped, discovery) = (Arc::clone(&stop), service.discovery());
    let reads = tokio::spawn(async move {
        let (mut all, mut failed) = (0_u64, 0_u64);
        while !stopped.load(Ordering::Relaxed) {
            all += 1;
            let mut answered = false;
            for addr in &discovery {
                let answer = HttpClient::new(*addr)
                    .send(Duration::from_secs(1), Call::get(INSTANCES_PATH, MAX_LIST_BYTES))
                    .await;
                answered |= answer.is_ok_and(|answer| answer.status.is_success());
                if answered {
                    break;
                }
            }
            failed += u64::from(!answered);
            sleep(Duration::from_millis(10)).await;
        }
        (all, failed)
    });
    let mut times = Vec::new();
    for round in 0..size.failovers as u64 {
        service = tokio::task::spawn_blocking(move || {
            let leader = service.wait_for_leader();
            service.kill(leader);
            service
        })
        .await?;
        let killed = Instant::now();
        put(&mut changes, "s0", round + 2).await?;
        times.push(killed.elapsed().as_secs_f64() * 1000.0);
        service = tokio::task::spawn_blocking(move || {
            service.heal();
            service
        })
        .await?;
    }
    stop.store(true, Ordering::Relaxed);
    let (all, failed) = reads.await?;
    end(service).await?;
    Ok((Spread::of(times), all, failed))
}

async fn history(program: &Path, size: &Size) -> Result<(Spread, Vec<u64>, u64), Failed> {
    let mut service = start(program, 1).await?;
    write(&service.ops(), size.writers, Duration::from_secs(120), size.history).await;
    let mut starts = Vec::new();
    for _ in 0..5 {
        let (again, took) = tokio::task::spawn_blocking(move || {
            service.kill(0);
            let began = Instant::now();
            service.launch(0);
            service.wait_until_ready(0);
            (service, began.elapsed())
        })
        .await?;
        service = again;
        starts.push(took.as_secs_f64() * 1000.0);
    }
    let mut memory = Vec::new();
    let mut churned = 0;
    for _ in 0..10 {
        let tenth = Duration::from_secs_f64(size.churn_s as f64 / 10.0);
        churned += write(&service.ops(), size.writers, tenth, usize::MAX >> 1).await;
        memory.push(resident(service.process(0).id()));
    }
    end(service).await?;
    Ok((Spread::of(starts), memory, churned))
}

/// Resident memory of a process in KiB, by the kernel's account.
fn resident(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").trim().parse().unwrap_or(0)
}
