//! Emulated cache servers and the origin on sockets, by the platform's protocol.

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

use crate::machine::{Build, Entry, Machine};
use crate::net::{at, door, Dice, Life, Links, Passage};
use crate::party::{lock, reply, Reply, LONGEST_BODY};
use crate::plan::Asked;
use crate::scenario::{Effect, Scenario};
use crate::service::free;

/// The origin's number among the parties.
pub const ORIGIN: u16 = u16::MAX;
/// A read that missed counts as being fetched for so long.
const FETCHING_S: f64 = 0.4;
/// Servers at which an object is stored that missed for one request.
const STORED_AT: usize = 2;
/// Reads whose misses are remembered until the origin answers them.
const MOST_MISSED: usize = 100_000;

/// How an attempt ended, as the party knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Hit,
    Miss,
    /// By the origin: a value read, or a write carried out.
    Served,
    /// A write of a guarded class that was a repeat, and dropped.
    Repeat,
    Error,
    TurnedAway,
    /// The caller had gone, or the machine fell, before it was done.
    GivenUp,
}

/// One attempt at a party.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// From the start of the run.
    pub at_s: f64,
    pub server: u16,
    /// The `X-Request-Id`.
    pub id: u64,
    /// Of the calling node.
    pub zone: u8,
    pub write: bool,
    /// The server was not warm yet.
    pub cold: bool,
    pub end: End,
}

/// A machine that was pushed over: when, which, and whether it was cold.
#[derive(Clone, Copy, Debug)]
pub struct Fall {
    pub at_s: f64,
    pub server: u16,
}

/// What all parties share: the plan, which try asks what, and what was seen.
pub struct Book {
    start: OnceLock<Instant>,
    pub scenario: Scenario,
    pub plan: Vec<Asked>,
    /// By request id: the request's number in the plan.
    tries: Mutex<HashMap<u64, u32>>,
    pub seen: Mutex<Vec<Seen>>,
    pub falls: Mutex<Vec<Fall>>,
    /// Ids that no client sent.
    pub foreign: AtomicUsize,
    /// While caches fill.
    pub leading: AtomicBool,
    /// Whether others than the lab's clients may send requests.
    pub open: AtomicBool,
}

impl Book {
    pub fn new(scenario: Scenario, plan: Vec<Asked>) -> Self {
        Book {
            start: OnceLock::new(),
            scenario,
            plan,
            tries: Mutex::default(),
            seen: Mutex::default(),
            falls: Mutex::default(),
            foreign: AtomicUsize::new(0),
            leading: AtomicBool::new(true),
            open: AtomicBool::new(false),
        }
    }

    /// The run begins now.
    pub fn begin(&self) -> Instant {
        *self.start.get_or_init(Instant::now)
    }

    /// When the run began; before it has, now.
    pub fn start(&self) -> Instant {
        self.start.get().copied().unwrap_or_else(Instant::now)
    }

    /// Seconds since the start of the run; 0 before it.
    pub fn now(&self) -> f64 {
        self.start.get().map_or(0.0, |start| start.elapsed().as_secs_f64())
    }

    pub fn sends(&self, id: u64, request: u32) {
        lock(&self.tries).insert(id, request);
    }

    /// What the request with this id asks; of one that the lab did not send, by its path, where that is allowed.
    fn asked(&self, id: u64, path: &str) -> Option<Asked> {
        if let Some(request) = lock(&self.tries).get(&id) {
            return self.plan.get(*request as usize).cloned();
        }
        if !self.open.load(Ordering::Relaxed) {
            return None;
        }
        let class =
            path.split('/').nth(1).and_then(|name| self.scenario.classes.iter().position(|c| c.name == name));
        let class = class.unwrap_or(0);
        let key = path.bytes().fold(0_u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)));
        let work_s = self.scenario.classes[class].work_ms / 1e3;
        let (at_s, class, hint_us) = (self.now(), class as u8, 0);
        Some(Asked { at_s, zone: 0, class, tenant: 0, key, work_s, hint_us, over_share: false })
    }
}

/// Keys kept; the one used longest ago goes.
#[derive(Default)]
struct Store {
    most: usize,
    clock: u64,
    used: HashMap<u32, u64>,
    order: BTreeMap<u64, u32>,
    fetching: HashMap<u32, f64>,
}

impl Store {
    fn touch(&mut self, key: u32) -> bool {
        let Some(used) = self.used.get_mut(&key) else { return false };
        self.clock += 1;
        self.order.remove(used);
        *used = self.clock;
        self.order.insert(self.clock, key);
        true
    }

    fn put(&mut self, key: u32) {
        self.fetching.remove(&key);
        if self.touch(key) {
            return;
        }
        self.clock += 1;
        self.used.insert(key, self.clock);
        self.order.insert(self.clock, key);
        if self.used.len() > self.most {
            if let Some((_, old)) = self.order.pop_first() {
                self.used.remove(&old);
            }
        }
    }

    fn void(&mut self, key: u32) {
        if let Some(used) = self.used.remove(&key) {
            self.order.remove(&used);
        }
    }

    /// Whether another fetch of it is out.
    fn misses(&mut self, key: u32, now: f64) -> bool {
        self.fetching.retain(|_, since| now - *since < FETCHING_S);
        self.fetching.insert(key, now).is_some()
    }
}

/// One emulated cache server, or the origin.
pub struct Party {
    pub id: String,
    pub number: u16,
    pub zone: usize,
    pub started_ms: AtomicU64,
    /// Where callers of each zone reach it.
    pub addrs: Vec<SocketAddr>,
    pub life: watch::Sender<Life>,
    machine: Mutex<Machine>,
    changed: Notify,
    waiting: Mutex<HashMap<u64, oneshot::Sender<()>>>,
    store: Mutex<Store>,
    /// Share of reads answered with 500, of all classes or of one.
    errors: Mutex<(f64, Option<u8>)>,
    connections: AtomicUsize,
    /// Load report and when it was made.
    report: Mutex<(f64, String)>,
    next_job: AtomicU64,
}

/// All parties of a run.
pub struct Parties {
    pub book: Arc<Book>,
    links: Links,
    all: Mutex<Vec<Arc<Party>>>,
    pub origin: Arc<Party>,
    /// By request id: where it missed.
    missed: Mutex<HashMap<u64, Vec<Arc<Party>>>>,
    /// By idempotency key: when its write was carried out.
    written: Mutex<HashMap<u64, f64>>,
    dice: Dice,
}

/// What a request's first connection costs, and a count of those open.
struct Connection {
    party: Arc<Party>,
    zone: u8,
    fresh: AtomicBool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.party.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Gives the work up when the request's future is dropped.
struct Job {
    party: Arc<Party>,
    parties: Arc<Parties>,
    job: u64,
    seen: Option<Seen>,
}

impl Drop for Job {
    fn drop(&mut self) {
        if let Some(seen) = self.seen.take() {
            lock(&self.party.waiting).remove(&self.job);
            lock(&self.party.machine).cancel(self.job);
            self.party.changed.notify_one();
            lock(&self.parties.book.seen).push(Seen { end: End::GivenUp, ..seen });
        }
    }
}

fn not_run() -> Reply {
    let mut reply = reply(StatusCode::SERVICE_UNAVAILABLE, "");
    reply.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
    reply
}

/// The value of a key, made for one request: nobody else's answer passes for it.
pub fn value(id: u64, key: u32) -> String {
    format!("{id:016x} key {key:016x} {}", "v".repeat(160))
}

impl Parties {
    pub fn new(book: Arc<Book>, links: Links, seed: u64) -> Arc<Self> {
        let origin = &book.scenario.origin;
        let takes = origin.takes_ms / 1e3;
        let build = Build {
            cores: origin.per_s * takes,
            speed: 1.0,
            slots: (origin.per_s * takes).ceil() as usize * 4,
            waiting: (origin.per_s * origin.queue_s) as usize,
            cold_from: 1.0,
            cold_s: 1.0,
            warm_by_work_s: None,
            fall_multiple: origin.fall_multiple,
            fall_s: origin.fall_s,
            falls_warm: true,
        };
        let party = Parties::party(&book.scenario, "origin".to_owned(), ORIGIN, 0, 0, build, (0.0, true));
        Arc::new(Parties {
            book,
            links,
            all: Mutex::default(),
            origin: Arc::new(party),
            missed: Mutex::default(),
            written: Mutex::default(),
            dice: Dice::new(seed),
        })
    }

    fn party(
        scenario: &Scenario,
        id: String,
        number: u16,
        zone: usize,
        started_ms: u64,
        build: Build,
        (now, warm): (f64, bool),
    ) -> Party {
        let store = Store { most: scenario.servers.keeps, ..Store::default() };
        Party {
            id,
            number,
            zone,
            started_ms: AtomicU64::new(started_ms),
            addrs: scenario.fleet.zones.iter().map(|_| free()).collect(),
            life: watch::Sender::new(Life::Up),
            machine: Mutex::new(Machine::new(build, now, warm)),
            changed: Notify::new(),
            waiting: Mutex::default(),
            store: Mutex::new(store),
            errors: Mutex::new((scenario.servers.errors, None)),
            connections: AtomicUsize::new(0),
            report: Mutex::new((f64::NEG_INFINITY, String::new())),
            next_job: AtomicU64::new(0),
        }
    }

    /// One more cache server: of those at the start warm, a later one cold.
    pub fn add(self: &Arc<Self>, id: String, place: usize, started_ms: u64, warm: bool) -> Arc<Party> {
        let scenario = &self.book.scenario;
        let spec = &scenario.servers;
        let speed = scenario.speed(place);
        let warm_by_work_s = (spec.warm_by_requests > 0).then(|| {
            let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
            let work: f64 = scenario.classes.iter().map(|c| c.share * c.work_ms).sum::<f64>() / shares / 1e3;
            spec.warm_by_requests as f64 * work
        });
        let build = Build {
            cores: spec.cores,
            speed,
            slots: spec.slots,
            waiting: spec.waiting,
            cold_from: spec.cold_from,
            cold_s: spec.cold_s,
            warm_by_work_s,
            fall_multiple: FALL_MULTIPLE,
            fall_s: FALL_S,
            falls_warm: false,
        };
        let mut all = lock(&self.all);
        let zone = place % scenario.fleet.zones.len();
        let now = (self.book.now(), warm);
        let party = Arc::new(Parties::party(scenario, id, all.len() as u16, zone, started_ms, build, now));
        all.push(Arc::clone(&party));
        drop(all);
        self.open(&party);
        party
    }

    /// A server starts anew under its name: cold, empty, with none of its troubles.
    pub fn restart(&self, party: &Party, started_ms: u64) {
        lock(&party.machine).restart(self.book.now());
        let most = self.book.scenario.servers.keeps;
        *lock(&party.store) = Store { most, ..Store::default() };
        lock(&party.waiting).clear();
        party.started_ms.store(started_ms, Ordering::Relaxed);
        party.changed.notify_one();
        party.life.send_replace(Life::Up);
    }

    pub fn all(&self) -> Vec<Arc<Party>> {
        lock(&self.all).clone()
    }

    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Opens a party's doors and starts its machine.
    pub fn open(self: &Arc<Self>, party: &Arc<Party>) {
        for (zone, addr) in party.addrs.iter().enumerate() {
            let way = Passage {
                link: self.links.between(zone, party.zone),
                life: party.life.subscribe(),
                dice: Dice::new(u64::from(party.number) * 64 + zone as u64),
            };
            let (parties, party) = (Arc::clone(self), Arc::clone(party));
            let serve = move |stream| {
                if party.connections.fetch_add(1, Ordering::Relaxed)
                    >= parties.book.scenario.servers.connections
                {
                    party.connections.fetch_sub(1, Ordering::Relaxed);
                    return;
                }
                let fresh = AtomicBool::new(true);
                let connection = Arc::new(Connection { party: Arc::clone(&party), zone: zone as u8, fresh });
                let parties = Arc::clone(&parties);
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        let (parties, connection) = (Arc::clone(&parties), Arc::clone(&connection));
                        async move { Ok::<_, Infallible>(parties.answer(request, &connection).await) }
                    });
                    // An error is the caller's, who has gone.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            };
            tokio::spawn(door(*addr, way, serve));
        }
        tokio::spawn(run_machine(Arc::clone(self), Arc::clone(party)));
        if self.book.scenario.servers.pause_every_s > 0.0 && party.number != ORIGIN {
            tokio::spawn(pauses(Arc::clone(self), Arc::clone(party)));
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>, connection: &Connection) -> Reply {
        let party = &connection.party;
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET && (path == "/health/live" || path == "/stats") {
            return self.probe(party, &path).await;
        }
        let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let Some(id) = header("x-request-id") else { return reply(StatusCode::NOT_FOUND, "") };
        let known = u64::from_str_radix(id, 16).ok().and_then(|id| Some((id, self.book.asked(id, &path)?)));
        let Some((id, asked)) = known else {
            self.book.foreign.fetch_add(1, Ordering::Relaxed);
            return reply(StatusCode::BAD_REQUEST, "no client sent this id");
        };
        let expired =
            header("x-deadline-ms").and_then(|ms| ms.parse::<f64>().ok()).is_some_and(|ms| ms <= 0.0);
        let idempotency = header("idempotency-key").and_then(|key| u64::from_str_radix(key, 16).ok());
        let write = request.method() == Method::PUT;
        if write && Limited::new(request.into_body(), LONGEST_BODY).collect().await.is_err() {
            return reply(StatusCode::BAD_REQUEST, "a body of at most 64 KiB expected");
        }
        let asked = &asked;
        let (at_s, server, zone) = (self.book.now(), party.number, connection.zone);
        let cold = !lock(&party.machine).is_warm();
        let seen = Seen { at_s, server, id, zone, write, cold, end: End::TurnedAway };
        if expired {
            lock(&self.book.seen).push(seen);
            return not_run();
        }
        let spec = &self.book.scenario.servers;
        let key = asked.key;
        let (end, mut work) = if server == ORIGIN {
            let origin = &self.book.scenario.origin;
            let takes = origin.takes_ms / 1e3 * self.dice.log_normal(origin.takes_cv);
            (End::Served, takes * asked.work_s / self.mean_work(asked))
        } else if write {
            (End::Miss, spec.miss_ms / 1e3)
        } else if party.errs(asked.class, self.dice.roll()) {
            (End::Error, spec.miss_ms / 1e3)
        } else if lock(&party.store).touch(key) {
            (End::Hit, asked.work_s)
        } else {
            (End::Miss, spec.miss_ms / 1e3)
        };
        if connection.fresh.swap(false, Ordering::Relaxed) {
            work += spec.handshake_ms / 1e3;
        }
        if server == ORIGIN && self.book.leading.load(Ordering::Relaxed) {
            return self.finish(seen, End::Served, party, idempotency, asked);
        }
        let Some((done, mut guard)) = self.begin(party, work, seen) else {
            lock(&self.book.seen).push(seen);
            return not_run();
        };
        if done.await.is_err() {
            // The machine fell; the guard notes it.
            return reply(StatusCode::INTERNAL_SERVER_ERROR, "");
        }
        guard.seen = None;
        self.finish(seen, end, party, idempotency, asked)
    }

    fn mean_work(&self, asked: &Asked) -> f64 {
        self.book.scenario.classes[asked.class as usize].work_ms / 1e3
    }

    /// Gives the machine the work; `None` if it turned the request away.
    fn begin(
        self: &Arc<Self>,
        party: &Arc<Party>,
        work: f64,
        seen: Seen,
    ) -> Option<(oneshot::Receiver<()>, Job)> {
        let job = party.next_job.fetch_add(1, Ordering::Relaxed);
        let (tell, done) = oneshot::channel();
        lock(&party.waiting).insert(job, tell);
        let now = self.book.now();
        let (entry, finished) = {
            let mut machine = lock(&party.machine);
            let finished = machine.advance(now);
            (machine.offer(job, work), finished)
        };
        self.tell(party, finished);
        party.changed.notify_one();
        match entry {
            Entry::Taken => {
                let (party, parties) = (Arc::clone(party), Arc::clone(self));
                Some((done, Job { party, parties, job, seen: Some(seen) }))
            }
            Entry::TurnedAway => {
                lock(&party.waiting).remove(&job);
                None
            }
            Entry::Fell => {
                lock(&party.waiting).clear();
                self.fell(party);
                None
            }
        }
    }

    fn tell(&self, party: &Party, finished: Vec<u64>) {
        let mut waiting = lock(&party.waiting);
        for job in finished {
            if let Some(tell) = waiting.remove(&job) {
                let _ = tell.send(());
            }
        }
    }

    fn fell(self: &Arc<Self>, party: &Arc<Party>) {
        lock(&self.book.falls).push(Fall { at_s: self.book.now(), server: party.number });
        party.life.send_replace(Life::Dead);
        if party.number == ORIGIN {
            let (down, party) = (self.book.scenario.origin.down_s, Arc::clone(party));
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_secs_f64(down)).await;
                party.life.send_replace(Life::Up);
            });
        }
    }

    fn finish(
        &self,
        seen: Seen,
        end: End,
        party: &Arc<Party>,
        idempotency: Option<u64>,
        asked: &Asked,
    ) -> Reply {
        let (id, key) = (seen.id, asked.key);
        let (mut end, mut answer) = (end, None);
        match (party.number, end) {
            (ORIGIN, _) if seen.write => {
                end = self.write(asked, idempotency, seen.at_s);
            }
            (ORIGIN, _) => {
                for party in lock(&self.missed).remove(&id).unwrap_or_default().iter().take(STORED_AT) {
                    if *party.life.borrow() == Life::Up {
                        lock(&party.store).put(key);
                    }
                }
                // It keeps nothing: as the platform's does, it says miss to all.
                answer = Some((StatusCode::OK, "miss"));
            }
            (_, End::Miss) => {
                let pending = !seen.write && lock(&party.store).misses(key, seen.at_s);
                let mut missed = lock(&self.missed);
                if !seen.write && missed.len() < MOST_MISSED {
                    missed.entry(id).or_default().push(Arc::clone(party));
                }
                answer = Some((StatusCode::NOT_FOUND, if pending { "pending" } else { "miss" }));
            }
            (_, End::Error) => answer = Some((StatusCode::INTERNAL_SERVER_ERROR, "miss")),
            _ => answer = Some((StatusCode::OK, "hit")),
        }
        lock(&self.book.seen).push(Seen { end, ..seen });
        let (status, word) = answer.unwrap_or((StatusCode::OK, ""));
        let body = if status == StatusCode::OK { value(id, key) } else { String::new() };
        let mut reply = reply(status, body);
        if !word.is_empty() {
            reply.headers_mut().insert("x-cache", HeaderValue::from_static(word));
        }
        reply
    }

    /// Carries a write out: copies go void, a repeat within the class's window is dropped.
    fn write(&self, asked: &Asked, idempotency: Option<u64>, now: f64) -> End {
        let class = &self.book.scenario.classes[asked.class as usize];
        if let (Effect::Guarded, Some(key)) = (class.effect, idempotency) {
            let mut written = lock(&self.written);
            if written.get(&key).is_some_and(|before| now - before < class.key_ttl_s) {
                return End::Repeat;
            }
            written.insert(key, now);
        }
        for party in self.all() {
            lock(&party.store).void(asked.key);
        }
        End::Served
    }

    /// Changes a machine, after all that it did until now.
    fn change(&self, party: &Party, change: impl FnOnce(&mut Machine)) {
        let finished = {
            let mut machine = lock(&party.machine);
            let finished = machine.advance(self.book.now());
            change(&mut machine);
            finished
        };
        self.tell(party, finished);
        party.changed.notify_one();
    }

    /// So many times slower than usual.
    pub fn slow(&self, party: &Party, times: f64) {
        self.change(party, |machine| machine.slow = times);
    }

    pub fn pause(&self, party: &Party, paused: bool) {
        self.change(party, |machine| machine.paused = paused);
    }

    async fn probe(self: &Arc<Self>, party: &Arc<Party>, path: &str) -> Reply {
        let work = self.book.scenario.servers.probe_ms / 1e3;
        let now = self.book.now();
        let report = {
            let mut machine = lock(&party.machine);
            let finished = machine.advance(now);
            let held = machine.held();
            let (queue, service) = (machine.queue(), machine.service_s);
            drop(machine);
            self.tell(party, finished);
            party.changed.notify_one();
            let mut report = lock(&party.report);
            if now - report.0 > self.book.scenario.servers.report_ms / 1e3 {
                *report = (now, format!("svc_ms={:.2},busy_reqs={held},pending={queue}", service * 1e3));
            }
            report.1.clone()
        };
        // Beside the queue, as the platform's probes are; a machine that stands still answers none.
        while lock(&party.machine).paused {
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

impl Party {
    /// Sets the share of reads that it answers with 500.
    pub fn set_errors(&self, share: f64, class: Option<u8>) {
        *lock(&self.errors) = (share, class);
    }

    fn errs(&self, class: u8, roll: f64) -> bool {
        let (share, only) = *lock(&self.errors);
        only.is_none_or(|only| only == class) && roll < share
    }
}

/// The rule on cold servers, as nodes are told it.
pub const FALL_MULTIPLE: f64 = 2.5;
pub const FALL_S: f64 = 3.0;

async fn run_machine(parties: Arc<Parties>, party: Arc<Party>) {
    loop {
        let (finished, next) = {
            let mut machine = lock(&party.machine);
            let finished = machine.advance(parties.book.now());
            (finished, machine.next())
        };
        parties.tell(&party, finished);
        match next {
            None => party.changed.notified().await,
            Some(next) => tokio::select! {
                () = tokio::time::sleep_until(at(parties.book.start(), next)) => {}
                () = party.changed.notified() => {}
            },
        }
    }
}

async fn pauses(parties: Arc<Parties>, party: Arc<Party>) {
    let spec = &parties.book.scenario.servers;
    loop {
        let wait = spec.pause_every_s * (0.5 + parties.dice.roll());
        tokio::time::sleep(Duration::from_secs_f64(wait)).await;
        parties.pause(&party, true);
        tokio::time::sleep(Duration::from_secs_f64(spec.pause_ms / 1e3)).await;
        parties.pause(&party, false);
    }
}
