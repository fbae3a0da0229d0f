//! Benchmark of the registry, compared with a plain in-memory list that is measured in the same run.

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
use crate::observer::numbered_registration;
use crate::registry::RegistryCluster;
use crate::rng::SeededRng;

/// Parameters of the benchmark. `bench registry` prints its `Debug` form.
#[derive(Clone, Debug, Serialize)]
pub struct Size {
    /// Entries in the list.
    pub servers: usize,
    /// Clients that watch the list at once.
    pub watchers: usize,
    /// Changes whose propagation to all watchers is timed.
    pub changes: usize,
    /// Concurrent writers when throughput is measured.
    pub writers: usize,
    /// How long throughput is measured.
    pub write_s: u64,
    /// How often the leader is killed.
    pub failovers: usize,
    /// Changes made before process starts are timed.
    pub history: usize,
    /// How long memory use is measured under constant changes.
    pub churn_s: u64,
}

/// Median, minimum, maximum and number of measured values; NaN when there are none.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    pub median: f64,
    pub least: f64,
    pub most: f64,
    pub count: usize,
}

impl Spread {
    /// Summarizes the values; with no values, all statistics are NaN and the count is 0.
    pub fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let at = |n: usize| values.get(n).copied().unwrap_or(f64::NAN);
        let count = values.len();
        Spread { median: at(count / 2), least: at(0), most: at(count.saturating_sub(1)), count }
    }
}

/// Results of one variant of the service: the plain list, or the registry with a number of replicas.
#[derive(Debug, Serialize)]
pub struct Variant {
    pub form: String,
    /// Time from the start of a change until the last of all watchers has received it.
    pub last_watcher_ms: Spread,
    /// Bytes of response bodies per watcher and change.
    pub bytes_a_watcher_a_change: f64,
    /// Size of the full list as JSON.
    pub whole_list_bytes: usize,
    /// Throughput: changes acknowledged per second with all writers.
    pub changes_per_s: f64,
}

/// Results of the registry benchmark, with the machine, seed and parameters that they were measured with.
#[derive(Debug, Serialize)]
pub struct Report {
    pub machine: String,
    pub seed: u64,
    pub size: Size,
    pub forms: Vec<Variant>,
    /// Time from SIGKILL of the leader to the next acknowledged change.
    pub failover_ms: Spread,
    /// Reads of the list made throughout the failover measurement, and how many of them no endpoint answered.
    pub failover_reads: u64,
    pub failover_reads_failed: u64,
    /// Time from the start of a replica's process until it is ready, when its data holds a long history (`history`
    /// changes) behind a snapshot.
    pub start_ms: Spread,
    /// Resident memory of a replica after each tenth of the churn period, in KiB.
    pub churn_kib: Vec<u64>,
    /// Changes acknowledged in the churn period.
    pub churn_changes: u64,
}

type BenchError = Box<dyn std::error::Error + Send + Sync>;

/// Runs the whole registry benchmark. `progress` is called with the name of each step as it starts.
///
/// # Errors
/// The first error that makes a measurement fail.
pub async fn measure_registry(
    program: &Path,
    size: Size,
    seed: u64,
    progress: impl Fn(&str),
) -> Result<Report, BenchError> {
    let mut forms = Vec::new();
    progress("plain list in memory: watchers and changes");
    let plain = InMemoryRegistry::start().await?;
    forms.push(measure_variant("plain list in memory", vec![plain], vec![plain], &size, seed).await?);
    for replicas in [1, 3] {
        progress(&format!("{replicas} replica(s): watchers and changes"));
        let service = start(program, replicas).await?;
        forms.push(
            measure_variant(
                &format!("{replicas} replica(s)"),
                service.ops(),
                service.discovery(),
                &size,
                seed,
            )
            .await?,
        );
        stop_service(service).await?;
    }
    progress("failover: killing the leader repeatedly");
    let (failover_ms, failover_reads, failover_reads_failed) = measure_failover(program, &size).await?;
    progress("process starts after a long history, and memory under constant changes");
    let (start_ms, churn_kib, churn_changes) = measure_starts_and_churn(program, &size).await?;
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

/// Starts the service on a blocking thread, because the harness blocks while it waits for processes.
async fn start(program: &Path, replicas: usize) -> Result<RegistryCluster, BenchError> {
    let program = program.to_owned();
    Ok(tokio::task::spawn_blocking(move || RegistryCluster::start(&program, "bench", replicas)).await?)
}

async fn stop_service(service: RegistryCluster) -> Result<(), BenchError> {
    Ok(tokio::task::spawn_blocking(move || drop(service)).await?)
}

/// Cores, CPU model, memory and kernel version of this machine, for reports.
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

async fn register(changes: &mut RegistryClient, id: &str, number: u64) -> Result<u64, BenchError> {
    let registration = Register { incarnation: 0, ..numbered_registration(id, number) };
    let changed: ChangeResult =
        changes.send(Method::PUT, &entry_path(id, ""), &registration, Duration::from_secs(30)).await?;
    Ok(changed.version)
}

/// Runs writers that each send one change after the other on their own connection, until `time` is over or `most`
/// changes are acknowledged. Returns the number of acknowledged changes.
async fn run_writers(ops: &[SocketAddr], writers: usize, time: Duration, most: usize) -> u64 {
    let (until, done) = (Instant::now() + time, Arc::new(AtomicU64::new(0)));
    let mut tasks = Vec::new();
    for writer in 0..writers {
        let (addr, done) = (ops[writer % ops.len()], Arc::clone(&done));
        tasks.push(tokio::spawn(async move {
            let mut line = HttpClient::new(addr);
            for number in 1.. {
                let index = done.load(Ordering::Relaxed);
                if Instant::now() >= until || index >= most as u64 {
                    return;
                }
                let id = format!("s{}", index as usize % most.min(20_000));
                // Without an incarnation, the last write wins, whichever writer it comes from.
                let registration = Register { incarnation: 0, ..numbered_registration(&id, number) };
                let body = serde_json::to_vec(&registration).unwrap_or_default().into();
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

async fn measure_variant(
    name: &str,
    ops: Vec<SocketAddr>,
    discovery: Vec<SocketAddr>,
    size: &Size,
    seed: u64,
) -> Result<Variant, BenchError> {
    let mut changes = RegistryClient::new(ops.clone());
    let mut chance = SeededRng::new(name, seed);
    for n in 0..size.servers {
        // Registers in parallel batches of 64, for speed.
        if n % 64 == 0 {
            let batch = (n..size.servers.min(n + 64)).map(|n| {
                let addr = ops[n % ops.len()];
                tokio::spawn(async move {
                    register(&mut RegistryClient::new(vec![addr]), &format!("s{n}"), 1).await
                })
            });
            for task in batch.collect::<Vec<_>>() {
                task.await??;
            }
        }
    }
    let whole = fetch_list(discovery[0], ListRequest::Whole).await.map_err(|e| e.to_string())?;
    let whole_list_bytes = serde_json::to_vec(&whole)?.len();
    let (update_sender, mut updates) = mpsc::channel::<(u64, usize)>(size.watchers);
    let stop = Arc::new(AtomicBool::new(false));
    let mut watchers = Vec::new();
    for n in 0..size.watchers {
        let (addr, update_sender, mut version) =
            (discovery[n % discovery.len()], update_sender.clone(), whole.version);
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
                    let _ = update_sender.send((version, answer.body.len())).await;
                }
            }
        }));
    }
    // Gives every watcher time to have its request waiting at the service.
    sleep(Duration::from_secs(2)).await;
    let (mut propagation_ms, mut bytes) = (Vec::new(), 0);
    for number in 0..size.changes as u64 {
        let began = Instant::now();
        let version = register(&mut changes, &format!("s{}", chance.below(size.servers)), number + 2).await?;
        let mut reached = 0;
        while reached < size.watchers {
            let update = tokio::time::timeout(Duration::from_secs(30), updates.recv()).await?;
            let Some((seen, length)) = update else { break };
            bytes += length;
            reached += usize::from(seen >= version);
        }
        propagation_ms.push(began.elapsed().as_secs_f64() * 1000.0);
        sleep(Duration::from_millis(100)).await;
    }
    stop.store(true, Ordering::Relaxed);
    for watcher in watchers {
        watcher.abort();
    }
    let time = Duration::from_secs(size.write_s);
    let written = run_writers(&ops, size.writers, time, usize::MAX >> 1).await;
    Ok(Variant {
        form: name.to_owned(),
        last_watcher_ms: Spread::of(propagation_ms),
        bytes_a_watcher_a_change: bytes as f64 / (size.changes * size.watchers) as f64,
        whole_list_bytes,
        changes_per_s: written as f64 / time.as_secs_f64(),
    })
}

async fn measure_failover(program: &Path, size: &Size) -> Result<(Spread, u64, u64), BenchError> {
    let mut service = start(program, 3).await?;
    let mut changes = RegistryClient::new(service.ops());
    register(&mut changes, "s0", 1).await?;
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
        register(&mut changes, "s0", round + 2).await?;
        times.push(killed.elapsed().as_secs_f64() * 1000.0);
        service = tokio::task::spawn_blocking(move || {
            service.heal();
            service
        })
        .await?;
    }
    stop.store(true, Ordering::Relaxed);
    let (all, failed) = reads.await?;
    stop_service(service).await?;
    Ok((Spread::of(times), all, failed))
}

async fn measure_starts_and_churn(
    program: &Path,
    size: &Size,
) -> Result<(Spread, Vec<u64>, u64), BenchError> {
    let mut service = start(program, 1).await?;
    run_writers(&service.ops(), size.writers, Duration::from_secs(120), size.history).await;
    let mut starts = Vec::new();
    for _ in 0..5 {
        let (restarted, took) = tokio::task::spawn_blocking(move || {
            service.kill(0);
            let began = Instant::now();
            service.launch(0);
            service.wait_until_ready(0);
            (service, began.elapsed())
        })
        .await?;
        service = restarted;
        starts.push(took.as_secs_f64() * 1000.0);
    }
    let mut memory = Vec::new();
    let mut churned = 0;
    for _ in 0..10 {
        let tenth = Duration::from_secs_f64(size.churn_s as f64 / 10.0);
        churned += run_writers(&service.ops(), size.writers, tenth, usize::MAX >> 1).await;
        memory.push(resident_kib(service.process(0).id()));
    }
    stop_service(service).await?;
    Ok((Spread::of(starts), memory, churned))
}

/// Resident memory of a process in KiB, as the kernel reports it; 0 when there is no such process.
fn resident_kib(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").trim().parse().unwrap_or(0)
}
