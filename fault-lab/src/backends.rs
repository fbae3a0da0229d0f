//! The emulated backends: cache servers and the origin. They listen on sockets and speak the platform's protocol; a
//! [`Machine`] models the time that each takes.

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::Instant;

use crate::loopback::{lock, reply, Reply, MAX_BODY_BYTES};
use crate::machine::{Admission, Machine, MachineSpec};
use crate::net::{at, run_listener, Links, Liveness, PathConditions, SharedRng};
use crate::plan::PlannedRequest;
use crate::registry::free_addr;
use crate::scenario::{Effect, Scenario};

/// The origin's backend number.
pub const ORIGIN: u16 = u16::MAX;
/// How long after a miss a key counts as being fetched.
const FETCH_WINDOW_S: f64 = 0.4;
/// Maximum number of cache servers that store the object after a request that missed at them.
const MAX_STORING_SERVERS: usize = 2;
/// Maximum number of reads whose misses are remembered until the origin answers them.
const MAX_TRACKED_MISSES: usize = 100_000;

/// How an attempt ended, as the backend knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Hit,
    Miss,
    /// The origin returned a value or applied a write.
    Served,
    /// A write of a guarded class that was dropped as a duplicate.
    Duplicate,
    Error,
    /// The deadline had passed on arrival, or the machine was full or crashed on arrival. The request did not run.
    Rejected,
    /// The caller disconnected or the machine crashed before the work was done.
    Aborted,
}

/// One attempt at a request, recorded by the backend that received it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRecord {
    /// Time of arrival, in seconds from the start of the run.
    pub at_s: f64,
    pub server: u16,
    /// The `X-Request-Id`.
    pub id: u64,
    /// Zone of the calling node.
    pub zone: u8,
    pub write: bool,
    /// Whether the machine was still cold when the attempt arrived.
    pub cold: bool,
    pub outcome: AttemptOutcome,
}

/// A machine that crashed from overload.
#[derive(Clone, Copy, Debug)]
pub struct OverloadCrash {
    pub at_s: f64,
    pub server: u16,
}

/// State of a run that clients and backends share: its scenario, plan, clock and observations.
pub struct RunState {
    start: OnceLock<Instant>,
    pub scenario: Scenario,
    pub plan: Vec<PlannedRequest>,
    /// Index of the request in the plan, by the request id of each of its tries.
    tries: Mutex<HashMap<u64, u32>>,
    pub attempts: Mutex<Vec<AttemptRecord>>,
    pub overload_crashes: Mutex<Vec<OverloadCrash>>,
    /// Number of requests with an id that no client sent.
    pub unknown_ids: AtomicUsize,
    /// Set during the warm-up, in which the caches fill and the origin answers at once.
    pub warming_up: AtomicBool,
    /// Whether clients outside the test bench may send requests.
    pub accepts_outside_clients: AtomicBool,
}

impl RunState {
    /// Creates the state of a run whose clock has not started; the run begins in its warm-up.
    pub fn new(scenario: Scenario, plan: Vec<PlannedRequest>) -> Self {
        RunState {
            start: OnceLock::new(),
            scenario,
            plan,
            tries: Mutex::default(),
            attempts: Mutex::default(),
            overload_crashes: Mutex::default(),
            unknown_ids: AtomicUsize::new(0),
            warming_up: AtomicBool::new(true),
            accepts_outside_clients: AtomicBool::new(false),
        }
    }

    /// Starts the clock of the run; a second call has no effect. Returns when it started.
    pub fn start_clock(&self) -> Instant {
        *self.start.get_or_init(Instant::now)
    }

    /// When the clock was started; the current time if it has not been.
    pub fn started_at(&self) -> Instant {
        self.start.get().copied().unwrap_or_else(Instant::now)
    }

    /// Seconds since the start of the run; 0 before it.
    pub fn elapsed_s(&self) -> f64 {
        self.start.get().map_or(0.0, |start| start.elapsed().as_secs_f64())
    }

    /// Records that the try with this request id belongs to this request of the plan.
    pub fn record_try(&self, id: u64, request: u32) {
        lock(&self.tries).insert(id, request);
    }

    /// The planned request of this request id. For a request of an outside client, where those are allowed, one is made
    /// up from its path.
    fn find_request(&self, id: u64, path: &str) -> Option<PlannedRequest> {
        if let Some(request) = lock(&self.tries).get(&id) {
            return self.plan.get(*request as usize).cloned();
        }
        if !self.accepts_outside_clients.load(Ordering::Relaxed) {
            return None;
        }
        let class =
            path.split('/').nth(1).and_then(|name| self.scenario.classes.iter().position(|c| c.name == name));
        let class = class.unwrap_or(0);
        let key = path.bytes().fold(0_u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)));
        let work_s = self.scenario.classes[class].work_ms / 1e3;
        let (at_s, class, hint_us) = (self.elapsed_s(), class as u8, 0);
        Some(PlannedRequest { at_s, zone: 0, class, tenant: 0, key, work_s, hint_us, over_share: false })
    }
}

/// Keys that a cache server holds, with LRU eviction.
#[derive(Default)]
struct Cache {
    capacity: usize,
    use_counter: u64,
    /// Value of `use_counter` at the last use, by key.
    last_use: HashMap<u32, u64>,
    /// The same pairs in order of use, the least recently used key first.
    lru_order: BTreeMap<u64, u32>,
    /// Time of the latest miss, by key, within [`FETCH_WINDOW_S`].
    fetching: HashMap<u32, f64>,
}

impl Cache {
    fn mark_used(&mut self, key: u32) -> bool {
        let Some(last_use) = self.last_use.get_mut(&key) else { return false };
        self.use_counter += 1;
        self.lru_order.remove(last_use);
        *last_use = self.use_counter;
        self.lru_order.insert(self.use_counter, key);
        true
    }

    fn put(&mut self, key: u32) {
        self.fetching.remove(&key);
        if self.mark_used(key) {
            return;
        }
        self.use_counter += 1;
        self.last_use.insert(key, self.use_counter);
        self.lru_order.insert(self.use_counter, key);
        if self.last_use.len() > self.capacity {
            if let Some((_, old)) = self.lru_order.pop_first() {
                self.last_use.remove(&old);
            }
        }
    }

    fn invalidate(&mut self, key: u32) {
        if let Some(last_use) = self.last_use.remove(&key) {
            self.lru_order.remove(&last_use);
        }
    }

    /// Records a miss. Returns whether an earlier miss of the key is still being fetched.
    fn record_miss(&mut self, key: u32, now: f64) -> bool {
        self.fetching.retain(|_, since| now - *since < FETCH_WINDOW_S);
        self.fetching.insert(key, now).is_some()
    }
}

/// One emulated cache server, or the origin.
pub struct Backend {
    pub id: String,
    pub number: u16,
    pub zone: usize,
    pub started_ms: AtomicU64,
    /// Addresses at which callers reach it, by the zone of the caller.
    pub addrs: Vec<SocketAddr>,
    pub liveness: watch::Sender<Liveness>,
    machine: Mutex<Machine>,
    machine_changed: Notify,
    /// Signals to the request handlers that wait for the machine, by job id.
    completions: Mutex<HashMap<u64, oneshot::Sender<()>>>,
    cache: Mutex<Cache>,
    /// Share of reads answered with 500, of all classes or of one.
    errors: Mutex<(f64, Option<u8>)>,
    connections: AtomicUsize,
    /// Time and text of the latest load report.
    report: Mutex<(f64, String)>,
    next_job: AtomicU64,
}

/// All backends of a run.
pub struct Backends {
    pub run_state: Arc<RunState>,
    links: Links,
    all: Mutex<Vec<Arc<Backend>>>,
    pub origin: Arc<Backend>,
    /// Servers at which a read missed, by request id.
    missed: Mutex<HashMap<u64, Vec<Arc<Backend>>>>,
    /// When a write was applied, by idempotency key.
    applied_writes: Mutex<HashMap<u64, f64>>,
    rng: SharedRng,
}

/// One open connection to a backend. Dropping it releases its place in the connection limit.
struct Connection {
    backend: Arc<Backend>,
    /// Zone of the caller.
    zone: u8,
    /// Whether no request has arrived on it yet.
    fresh: AtomicBool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.backend.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Cancels the machine's work when the request's future is dropped early.
struct JobGuard {
    backend: Arc<Backend>,
    backends: Arc<Backends>,
    job: u64,
    record: Option<AttemptRecord>,
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        if let Some(record) = self.record.take() {
            lock(&self.backend.completions).remove(&self.job);
            lock(&self.backend.machine).cancel(self.job);
            self.backend.machine_changed.notify_one();
            lock(&self.backends.run_state.attempts)
                .push(AttemptRecord { outcome: AttemptOutcome::Aborted, ..record });
        }
    }
}

fn not_run_reply() -> Reply {
    let mut reply = reply(StatusCode::SERVICE_UNAVAILABLE, "");
    reply.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
    reply
}

/// The response body for a key. It contains the request id, so that a response to another request is recognised.
pub fn value(id: u64, key: u32) -> String {
    format!("{id:016x} key {key:016x} {}", "v".repeat(160))
}

impl Backends {
    /// Creates the origin from the scenario, without any cache servers; `seed` drives the random choices.
    pub fn new(run_state: Arc<RunState>, links: Links, seed: u64) -> Arc<Self> {
        let origin = &run_state.scenario.origin;
        let fetch_s = origin.takes_ms / 1e3;
        let machine_spec = MachineSpec {
            cores: origin.per_s * fetch_s,
            speed: 1.0,
            slots: (origin.per_s * fetch_s).ceil() as usize * 4,
            queue_limit: (origin.per_s * origin.queue_s) as usize,
            cold_from: 1.0,
            cold_s: 1.0,
            warm_after_work_s: None,
            crash_multiple: origin.fall_multiple,
            crash_window_s: origin.fall_s,
            crashes_when_warm: true,
        };
        let backend = Backends::new_backend(
            &run_state.scenario,
            "origin".to_owned(),
            ORIGIN,
            0,
            0,
            machine_spec,
            (0.0, true),
        );
        Arc::new(Backends {
            run_state,
            links,
            all: Mutex::default(),
            origin: Arc::new(backend),
            missed: Mutex::default(),
            applied_writes: Mutex::default(),
            rng: SharedRng::new(seed),
        })
    }

    fn new_backend(
        scenario: &Scenario,
        id: String,
        number: u16,
        zone: usize,
        started_ms: u64,
        machine_spec: MachineSpec,
        (now, warm): (f64, bool),
    ) -> Backend {
        let cache = Cache { capacity: scenario.servers.keeps, ..Cache::default() };
        Backend {
            id,
            number,
            zone,
            started_ms: AtomicU64::new(started_ms),
            addrs: scenario.fleet.zones.iter().map(|_| free_addr()).collect(),
            liveness: watch::Sender::new(Liveness::Up),
            machine: Mutex::new(Machine::new(machine_spec, now, warm)),
            machine_changed: Notify::new(),
            completions: Mutex::default(),
            cache: Mutex::new(cache),
            errors: Mutex::new((scenario.servers.errors, None)),
            connections: AtomicUsize::new(0),
            report: Mutex::new((f64::NEG_INFINITY, String::new())),
            next_job: AtomicU64::new(0),
        }
    }

    /// Adds a cache server. `index` sets its speed and zone; those of the initial fleet start warm, later ones cold.
    pub fn add(self: &Arc<Self>, id: String, index: usize, started_ms: u64, warm: bool) -> Arc<Backend> {
        let scenario = &self.run_state.scenario;
        let spec = &scenario.servers;
        let speed = scenario.speed(index);
        let warm_after_work_s = (spec.warm_by_requests > 0).then(|| {
            let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
            let work: f64 = scenario.classes.iter().map(|c| c.share * c.work_ms).sum::<f64>() / shares / 1e3;
            spec.warm_by_requests as f64 * work
        });
        let machine_spec = MachineSpec {
            cores: spec.cores,
            speed,
            slots: spec.slots,
            queue_limit: spec.waiting,
            cold_from: spec.cold_from,
            cold_s: spec.cold_s,
            warm_after_work_s,
            crash_multiple: COLD_CRASH_MULTIPLE,
            crash_window_s: COLD_CRASH_WINDOW_S,
            crashes_when_warm: false,
        };
        let mut all = lock(&self.all);
        let zone = index % scenario.fleet.zones.len();
        let now = (self.run_state.elapsed_s(), warm);
        let backend = Arc::new(Backends::new_backend(
            scenario,
            id,
            all.len() as u16,
            zone,
            started_ms,
            machine_spec,
            now,
        ));
        all.push(Arc::clone(&backend));
        drop(all);
        self.open(&backend);
        backend
    }

    /// Restarts a server under its name, with a cold machine and an empty cache.
    pub fn restart(&self, backend: &Backend, started_ms: u64) {
        lock(&backend.machine).restart(self.run_state.elapsed_s());
        let capacity = self.run_state.scenario.servers.keeps;
        *lock(&backend.cache) = Cache { capacity, ..Cache::default() };
        lock(&backend.completions).clear();
        backend.started_ms.store(started_ms, Ordering::Relaxed);
        backend.machine_changed.notify_one();
        backend.liveness.send_replace(Liveness::Up);
    }

    /// All cache servers added so far, without the origin.
    pub fn all(&self) -> Vec<Arc<Backend>> {
        lock(&self.all).clone()
    }

    /// The network links between the zones, which faults change.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Starts a backend's listeners and its machine.
    pub fn open(self: &Arc<Self>, backend: &Arc<Backend>) {
        for (zone, addr) in backend.addrs.iter().enumerate() {
            let path = PathConditions {
                link: self.links.between(zone, backend.zone),
                liveness: backend.liveness.subscribe(),
                rng: SharedRng::new(u64::from(backend.number) * 64 + zone as u64),
            };
            let (backends, backend) = (Arc::clone(self), Arc::clone(backend));
            let serve = move |stream| {
                if backend.connections.fetch_add(1, Ordering::Relaxed)
                    >= backends.run_state.scenario.servers.connections
                {
                    backend.connections.fetch_sub(1, Ordering::Relaxed);
                    return;
                }
                let fresh = AtomicBool::new(true);
                let connection =
                    Arc::new(Connection { backend: Arc::clone(&backend), zone: zone as u8, fresh });
                let backends = Arc::clone(&backends);
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        let (backends, connection) = (Arc::clone(&backends), Arc::clone(&connection));
                        async move { Ok::<_, Infallible>(backends.answer(request, &connection).await) }
                    });
                    // An error only means that the caller has closed the connection.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            };
            tokio::spawn(run_listener(*addr, path, serve));
        }
        tokio::spawn(drive_machine(Arc::clone(self), Arc::clone(backend)));
        if self.run_state.scenario.servers.pause_every_s > 0.0 && backend.number != ORIGIN {
            tokio::spawn(pause_periodically(Arc::clone(self), Arc::clone(backend)));
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>, connection: &Connection) -> Reply {
        let backend = &connection.backend;
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET && (path == "/health/live" || path == "/stats") {
            return self.answer_probe(backend, &path).await;
        }
        let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let Some(id) = header("x-request-id") else { return reply(StatusCode::NOT_FOUND, "") };
        let known = u64::from_str_radix(id, 16)
            .ok()
            .and_then(|id| Some((id, self.run_state.find_request(id, &path)?)));
        let Some((id, planned)) = known else {
            self.run_state.unknown_ids.fetch_add(1, Ordering::Relaxed);
            return reply(StatusCode::BAD_REQUEST, "no client sent this id");
        };
        let expired =
            header("x-deadline-ms").and_then(|ms| ms.parse::<f64>().ok()).is_some_and(|ms| ms <= 0.0);
        let idempotency_key = header("idempotency-key").and_then(|key| u64::from_str_radix(key, 16).ok());
        let write = request.method() == Method::PUT;
        if write && Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.is_err() {
            return reply(StatusCode::BAD_REQUEST, "a body of at most 64 KiB expected");
        }
        let planned = &planned;
        let (at_s, server, zone) = (self.run_state.elapsed_s(), backend.number, connection.zone);
        let cold = !lock(&backend.machine).is_warm();
        let record = AttemptRecord { at_s, server, id, zone, write, cold, outcome: AttemptOutcome::Rejected };
        if expired {
            lock(&self.run_state.attempts).push(record);
            return not_run_reply();
        }
        let spec = &self.run_state.scenario.servers;
        let key = planned.key;
        let (outcome, mut work) = if server == ORIGIN {
            let origin = &self.run_state.scenario.origin;
            let fetch_s = origin.takes_ms / 1e3 * self.rng.log_normal(origin.takes_cv);
            (AttemptOutcome::Served, fetch_s * planned.work_s / self.mean_work_s(planned))
        } else if write {
            (AttemptOutcome::Miss, spec.miss_ms / 1e3)
        } else if backend.draws_error(planned.class, self.rng.uniform()) {
            (AttemptOutcome::Error, spec.miss_ms / 1e3)
        } else if lock(&backend.cache).mark_used(key) {
            (AttemptOutcome::Hit, planned.work_s)
        } else {
            (AttemptOutcome::Miss, spec.miss_ms / 1e3)
        };
        if connection.fresh.swap(false, Ordering::Relaxed) {
            work += spec.handshake_ms / 1e3;
        }
        if server == ORIGIN && self.run_state.warming_up.load(Ordering::Relaxed) {
            return self.finish(record, AttemptOutcome::Served, backend, idempotency_key, planned);
        }
        let Some((done, mut guard)) = self.start_job(backend, work, record) else {
            lock(&self.run_state.attempts).push(record);
            return not_run_reply();
        };
        if done.await.is_err() {
            // The machine crashed. Dropping the guard records the attempt as aborted.
            return reply(StatusCode::INTERNAL_SERVER_ERROR, "");
        }
        guard.record = None;
        self.finish(record, outcome, backend, idempotency_key, planned)
    }

    fn mean_work_s(&self, planned: &PlannedRequest) -> f64 {
        self.run_state.scenario.classes[planned.class as usize].work_ms / 1e3
    }

    /// Offers the work to the machine; `None` if the machine rejected it or crashed.
    fn start_job(
        self: &Arc<Self>,
        backend: &Arc<Backend>,
        work: f64,
        record: AttemptRecord,
    ) -> Option<(oneshot::Receiver<()>, JobGuard)> {
        let job = backend.next_job.fetch_add(1, Ordering::Relaxed);
        let (completion, done) = oneshot::channel();
        lock(&backend.completions).insert(job, completion);
        let now = self.run_state.elapsed_s();
        let (admission, finished) = {
            let mut machine = lock(&backend.machine);
            let finished = machine.advance(now);
            (machine.offer(job, work), finished)
        };
        self.notify_finished(backend, finished);
        backend.machine_changed.notify_one();
        match admission {
            Admission::Accepted => {
                let (backend, backends) = (Arc::clone(backend), Arc::clone(self));
                Some((done, JobGuard { backend, backends, job, record: Some(record) }))
            }
            Admission::Rejected => {
                lock(&backend.completions).remove(&job);
                None
            }
            Admission::Crashed => {
                lock(&backend.completions).clear();
                self.handle_crash(backend);
                None
            }
        }
    }

    fn notify_finished(&self, backend: &Backend, finished: Vec<u64>) {
        let mut completions = lock(&backend.completions);
        for job in finished {
            if let Some(completion) = completions.remove(&job) {
                let _ = completion.send(());
            }
        }
    }

    fn handle_crash(self: &Arc<Self>, backend: &Arc<Backend>) {
        lock(&self.run_state.overload_crashes)
            .push(OverloadCrash { at_s: self.run_state.elapsed_s(), server: backend.number });
        backend.liveness.send_replace(Liveness::Dead);
        if backend.number == ORIGIN {
            let (down, backend) = (self.run_state.scenario.origin.down_s, Arc::clone(backend));
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_secs_f64(down)).await;
                backend.liveness.send_replace(Liveness::Up);
            });
        }
    }

    fn finish(
        &self,
        record: AttemptRecord,
        outcome: AttemptOutcome,
        backend: &Arc<Backend>,
        idempotency_key: Option<u64>,
        planned: &PlannedRequest,
    ) -> Reply {
        let (id, key) = (record.id, planned.key);
        let (mut outcome, mut answer) = (outcome, None);
        match (backend.number, outcome) {
            (ORIGIN, _) if record.write => {
                outcome = self.write(planned, idempotency_key, record.at_s);
            }
            (ORIGIN, _) => {
                for backend in
                    lock(&self.missed).remove(&id).unwrap_or_default().iter().take(MAX_STORING_SERVERS)
                {
                    if *backend.liveness.borrow() == Liveness::Up {
                        lock(&backend.cache).put(key);
                    }
                }
                // The origin has no cache, so it reports a miss for every read, like the platform's origin.
                answer = Some((StatusCode::OK, "miss"));
            }
            (_, AttemptOutcome::Miss) => {
                let pending = !record.write && lock(&backend.cache).record_miss(key, record.at_s);
                let mut missed = lock(&self.missed);
                if !record.write && missed.len() < MAX_TRACKED_MISSES {
                    missed.entry(id).or_default().push(Arc::clone(backend));
                }
                answer = Some((StatusCode::NOT_FOUND, if pending { "pending" } else { "miss" }));
            }
            (_, AttemptOutcome::Error) => answer = Some((StatusCode::INTERNAL_SERVER_ERROR, "miss")),
            _ => answer = Some((StatusCode::OK, "hit")),
        }
        lock(&self.run_state.attempts).push(AttemptRecord { outcome, ..record });
        let (status, word) = answer.unwrap_or((StatusCode::OK, ""));
        let body = if status == StatusCode::OK { value(id, key) } else { String::new() };
        let mut reply = reply(status, body);
        if !word.is_empty() {
            reply.headers_mut().insert("x-cache", HeaderValue::from_static(word));
        }
        reply
    }

    /// Applies a write and invalidates the cached copies. A duplicate within the class's idempotency window is dropped.
    fn write(&self, planned: &PlannedRequest, idempotency_key: Option<u64>, now: f64) -> AttemptOutcome {
        let class = &self.run_state.scenario.classes[planned.class as usize];
        if let (Effect::Guarded, Some(key)) = (class.effect, idempotency_key) {
            let mut applied_writes = lock(&self.applied_writes);
            if applied_writes.get(&key).is_some_and(|before| now - before < class.key_ttl_s) {
                return AttemptOutcome::Duplicate;
            }
            applied_writes.insert(key, now);
        }
        for backend in self.all() {
            lock(&backend.cache).invalidate(planned.key);
        }
        AttemptOutcome::Served
    }

    /// Changes a machine, after advancing it to the current time.
    fn change(&self, backend: &Backend, change: impl FnOnce(&mut Machine)) {
        let finished = {
            let mut machine = lock(&backend.machine);
            let finished = machine.advance(self.run_state.elapsed_s());
            change(&mut machine);
            finished
        };
        self.notify_finished(backend, finished);
        backend.machine_changed.notify_one();
    }

    /// Makes a backend this many times slower than usual.
    pub fn slow(&self, backend: &Backend, times: f64) {
        self.change(backend, |machine| machine.slowdown = times);
    }

    /// Stops the backend's work, or resumes it when `paused` is false.
    pub fn pause(&self, backend: &Backend, paused: bool) {
        self.change(backend, |machine| machine.paused = paused);
    }

    async fn answer_probe(self: &Arc<Self>, backend: &Arc<Backend>, path: &str) -> Reply {
        let work = self.run_state.scenario.servers.probe_ms / 1e3;
        let now = self.run_state.elapsed_s();
        let report = {
            let mut machine = lock(&backend.machine);
            let finished = machine.advance(now);
            let in_flight = machine.in_flight();
            let (queue, service) = (machine.queue_len(), machine.mean_service_s);
            drop(machine);
            self.notify_finished(backend, finished);
            backend.machine_changed.notify_one();
            let mut report = lock(&backend.report);
            if now - report.0 > self.run_state.scenario.servers.report_ms / 1e3 {
                *report = (now, format!("svc_ms={:.2},busy_reqs={in_flight},pending={queue}", service * 1e3));
            }
            report.1.clone()
        };
        // Probes bypass the request queue, like the platform's. A paused machine does not answer them.
        while lock(&backend.machine).paused {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_secs_f64(work)).await;
        let mut answer = reply(StatusCode::OK, if path == "/stats" { report.clone() } else { String::new() });
        if let Ok(value) = HeaderValue::from_str(&report) {
            answer.headers_mut().insert("x-load", value);
        }
        answer
    }
}

impl Backend {
    /// Sets the share of reads that are answered with 500, for one class or for all.
    pub fn set_errors(&self, share: f64, class: Option<u8>) {
        *lock(&self.errors) = (share, class);
    }

    fn draws_error(&self, class: u8, uniform: f64) -> bool {
        let (share, only) = *lock(&self.errors);
        only.is_none_or(|only| only == class) && uniform < share
    }
}

/// A cold server crashes when it is sent more than this multiple of its capacity. Nodes learn it from their settings.
pub const COLD_CRASH_MULTIPLE: f64 = 2.5;
/// Time window of [`COLD_CRASH_MULTIPLE`].
pub const COLD_CRASH_WINDOW_S: f64 = 3.0;

async fn drive_machine(backends: Arc<Backends>, backend: Arc<Backend>) {
    loop {
        let (finished, next) = {
            let mut machine = lock(&backend.machine);
            let finished = machine.advance(backends.run_state.elapsed_s());
            (finished, machine.next_event_s())
        };
        backends.notify_finished(&backend, finished);
        match next {
            None => backend.machine_changed.notified().await,
            Some(next) => tokio::select! {
                () = tokio::time::sleep_until(at(backends.run_state.started_at(), next)) => {}
                () = backend.machine_changed.notified() => {}
            },
        }
    }
}

async fn pause_periodically(backends: Arc<Backends>, backend: Arc<Backend>) {
    let spec = &backends.run_state.scenario.servers;
    loop {
        let wait = spec.pause_every_s * (0.5 + backends.rng.uniform());
        tokio::time::sleep(Duration::from_secs_f64(wait)).await;
        backends.pause(&backend, true);
        tokio::time::sleep(Duration::from_secs_f64(spec.pause_ms / 1e3)).await;
        backends.pause(&backend, false);
    }
}
