//! Open-loop clients: each request is sent at its planned time, whatever happened to the earlier ones. In each zone a
//! simple connection balancer spreads the connections over the nodes round-robin; it notices a dead node late.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::backends::{value, RunState};
use crate::fleet::{Node, ANSWER_GRACE_S};
use crate::loopback::lock;
use crate::net::{at, SharedRng};
use crate::scenario::Effect;

/// How a try ended, from its client's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    Served,
    /// Status 429 or 503.
    Refused,
    Failed,
    /// Status 200 with a body that was not made for this request.
    WrongBody,
    /// No connection could be opened.
    Unreachable,
    /// The connection was closed before the response was complete.
    ConnectionLost,
    /// No response arrived before the time-out.
    TimedOut,
}

/// One try of a request: the first sending or a retry.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    pub request: u32,
    pub id: u64,
    /// Number of the try within its request, from 0.
    pub try_index: u8,
    pub node: u16,
    pub sent_s: f64,
    /// When the client gives up waiting.
    pub deadline_s: f64,
    pub end_s: f64,
    pub outcome: TryOutcome,
}

/// Added to the platform's limit for an answer, for the delay of real sockets.
const SOCKET_GRACE_S: f64 = 0.05;
/// How much longer the test bench waits for a response, so that a late one is recorded as late and not as missing.
const LATE_RESPONSE_WINDOW_S: f64 = 0.08;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_RESPONSE_BYTES: usize = 1 << 20;
const MAX_RETRY_WAIT_S: f64 = 1.0;
/// Maximum number of idle connections that are kept to one node.
const MAX_IDLE_CONNECTIONS: usize = 256;

type Connection = SendRequest<Full<Bytes>>;

/// The emulated clients of a run. They send requests over pooled connections and record each try.
pub struct Clients {
    run_state: Arc<RunState>,
    nodes: Vec<Arc<Node>>,
    /// Round-robin counter of each zone's connection balancer.
    next_node: Vec<AtomicUsize>,
    /// Idle connections by node.
    idle: Vec<Mutex<Vec<Connection>>>,
    pub tries: Mutex<Vec<Try>>,
    /// Delay of the actual against the planned time of sending, in microseconds. First tries only.
    pub lateness: Mutex<Histogram<u64>>,
    /// Retries of each request while a retry storm is injected; 0 otherwise.
    pub storm_retries: AtomicU32,
    rng: SharedRng,
    seed: u64,
}

/// Result of a try, with the `Retry-After` of its response.
struct TryResult {
    outcome: TryOutcome,
    retry_after_s: Option<f64>,
}

impl Clients {
    /// Creates clients without open connections; `seed` drives their random choices.
    pub fn new(run_state: Arc<RunState>, nodes: Vec<Arc<Node>>, seed: u64) -> Arc<Self> {
        let next_node = (0..run_state.scenario.fleet.zones.len()).map(AtomicUsize::new);
        let lateness =
            Histogram::new_with_max(60_000_000, 3).unwrap_or_else(|_| unreachable!("fixed bounds"));
        Arc::new(Clients {
            next_node: next_node.collect(),
            idle: nodes.iter().map(|_| Mutex::default()).collect(),
            run_state,
            nodes,
            tries: Mutex::default(),
            lateness: Mutex::new(lateness),
            storm_retries: AtomicU32::new(0),
            rng: SharedRng::new(seed ^ 0xc11e),
            seed,
        })
    }

    /// Sends all planned requests and waits until the last one has ended. `progress` gets the planned time of each
    /// request when it is sent.
    pub async fn run(self: &Arc<Self>, mut progress: impl FnMut(f64)) {
        let mut in_flight = JoinSet::new();
        for number in 0..self.run_state.plan.len() {
            let due = at(self.run_state.started_at(), self.run_state.plan[number].at_s);
            if due > Instant::now() {
                sleep_until(due).await;
            }
            let clients = Arc::clone(self);
            in_flight.spawn(async move { clients.request(number as u32).await });
            while in_flight.try_join_next().is_some() {}
            progress(self.run_state.plan[number].at_s);
        }
        while in_flight.join_next().await.is_some() {}
    }

    async fn request(&self, number: u32) {
        let planned = &self.run_state.plan[number as usize];
        let class = &self.run_state.scenario.classes[planned.class as usize];
        let load = &self.run_state.scenario.load;
        let deadline_s = planned.at_s + class.give_up_ms / 1e3;
        let mut backoff_s = load.backoff_ms / 1e3;
        for try_index in 0..=u8::MAX {
            let storm = self.storm_retries.load(Ordering::Relaxed);
            let now = self.run_state.elapsed_s();
            let try_deadline_s = (now + class.give_up_ms / 1e3 * load.try_share).min(deadline_s);
            let result = self.attempt(number, try_index, try_deadline_s).await;
            let may_retry = match class.effect {
                Effect::Free => result.outcome != TryOutcome::Served,
                Effect::Guarded => {
                    result.outcome != TryOutcome::Served
                        && self.run_state.elapsed_s() - planned.at_s < class.key_ttl_s * 0.9
                }
                Effect::SingleShot => matches!(result.outcome, TryOutcome::Refused | TryOutcome::Unreachable),
            };
            let max_retries = if storm > 0 { storm } else { load.retries };
            if !may_retry || result.outcome == TryOutcome::WrongBody || u32::from(try_index) >= max_retries {
                return;
            }
            if storm == 0 {
                let honoured_s = result.retry_after_s.filter(|_| self.rng.uniform() < load.honour);
                let wait_s = honoured_s.unwrap_or(backoff_s).min(MAX_RETRY_WAIT_S);
                backoff_s *= if load.backoff_grows { 2.0 } else { 1.0 };
                sleep(Duration::from_secs_f64(wait_s)).await;
            }
            if self.run_state.elapsed_s() + 0.01 >= deadline_s {
                return;
            }
        }
    }

    /// The node that the zone's balancer picks next: one in the zone if any is in use, otherwise any in use.
    fn pick_node(&self, zone: usize) -> Option<usize> {
        let is_in_use = |node: &&Arc<Node>| node.in_rotation.load(Ordering::Relaxed);
        let same_zone: Vec<_> = self.nodes.iter().filter(is_in_use).filter(|n| n.zone == zone).collect();
        let candidates: Vec<_> =
            if same_zone.is_empty() { self.nodes.iter().filter(is_in_use).collect() } else { same_zone };
        let counter = self.next_node[zone].fetch_add(1, Ordering::Relaxed);
        Some(candidates.get(counter % candidates.len().max(1))?.number)
    }

    async fn attempt(&self, request: u32, try_index: u8, deadline_s: f64) -> TryResult {
        let planned = &self.run_state.plan[request as usize];
        let id = mix(self.seed ^ (u64::from(request) << 8 | u64::from(try_index)));
        self.run_state.record_try(id, request);
        let sent_s = self.run_state.elapsed_s();
        if try_index == 0 {
            let late = ((sent_s - planned.at_s).max(0.0) * 1e6) as u64;
            lock(&self.lateness).saturating_record(late);
        }
        let (node, result) = match self.pick_node(usize::from(planned.zone)) {
            None => (u16::MAX, TryResult { outcome: TryOutcome::Unreachable, retry_after_s: None }),
            Some(node) => {
                let until = deadline_s + ANSWER_GRACE_S + SOCKET_GRACE_S + LATE_RESPONSE_WINDOW_S;
                let call = self.call(node, request, id, deadline_s);
                let left = Duration::from_secs_f64((until - sent_s).max(0.0));
                let none = TryResult { outcome: TryOutcome::TimedOut, retry_after_s: None };
                (node as u16, timeout(left, call).await.unwrap_or(none))
            }
        };
        let end_s = self.run_state.elapsed_s();
        let outcome = result.outcome;
        lock(&self.tries).push(Try { request, id, try_index, node, sent_s, deadline_s, end_s, outcome });
        result
    }

    async fn call(&self, node: usize, request: u32, id: u64, deadline_s: f64) -> TryResult {
        let planned = &self.run_state.plan[request as usize];
        let scenario = &self.run_state.scenario;
        let class = &scenario.classes[planned.class as usize];
        let is_write = class.effect != Effect::Free;
        let (name, tenant) = (&class.name, &scenario.tenants[planned.tenant as usize].name);
        let build = || {
            let left = ((deadline_s - self.run_state.elapsed_s()) * 1e3).max(1.0) as u64;
            let mut builder = Request::builder()
                .method(if is_write { Method::PUT } else { Method::GET })
                .uri(format!("/{name}/{:016x}", planned.key))
                .header("host", "backend.local")
                .header("x-request-id", format!("{id:016x}"))
                .header("x-class", name)
                .header("x-tenant", tenant)
                .header("x-deadline-ms", left)
                .header("x-cost-hint", planned.hint_us);
            if class.effect == Effect::Guarded {
                builder = builder
                    .header("idempotency-key", format!("{:016x}", idempotency_key(self.seed, request)));
            }
            let body = if is_write { Bytes::from_static(b"a new value") } else { Bytes::new() };
            builder.body(Full::new(body))
        };
        let without_retry_after = |outcome| TryResult { outcome, retry_after_s: None };
        // The node may have closed an idle connection. In that case the request is sent once more on a new one.
        for fresh in [false, true] {
            let idle = if fresh { None } else { self.take_idle(node) };
            let reused = idle.is_some();
            let connection = match idle {
                Some(connection) => Some(connection),
                None => connect(self.nodes[node].listen).await,
            };
            let Some(mut connection) = connection else {
                return without_retry_after(TryOutcome::Unreachable);
            };
            let Ok(request) = build() else { return without_retry_after(TryOutcome::Failed) };
            let response = match connection.send_request(request).await {
                Ok(response) => response,
                Err(_) if reused => continue,
                Err(_) => return without_retry_after(TryOutcome::ConnectionLost),
            };
            let status = response.status();
            let retry_after_s = response
                .headers()
                .get("retry-after")
                .and_then(|value| value.to_str().ok()?.parse::<f64>().ok())
                .filter(|s| s.is_finite() && *s >= 0.0);
            let Ok(body) = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await else {
                return without_retry_after(TryOutcome::ConnectionLost);
            };
            let mut idle = lock(&self.idle[node]);
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(connection);
            }
            drop(idle);
            let outcome = match status {
                StatusCode::OK if body.to_bytes() == value(id, planned.key) => TryOutcome::Served,
                StatusCode::OK => TryOutcome::WrongBody,
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => TryOutcome::Refused,
                _ => TryOutcome::Failed,
            };
            return TryResult { outcome, retry_after_s };
        }
        without_retry_after(TryOutcome::ConnectionLost)
    }

    fn take_idle(&self, node: usize) -> Option<Connection> {
        let mut idle = lock(&self.idle[node]);
        while let Some(connection) = idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

async fn connect(addr: SocketAddr) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (connection, driver) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _ = driver.await;
    });
    Some(connection)
}

/// The idempotency key, which all tries of a guarded request share.
pub fn idempotency_key(seed: u64, request: u32) -> u64 {
    mix(!seed ^ u64::from(request))
}

/// The splitmix64 mixing function. It is a bijection, so different inputs give different ids.
fn mix(n: u64) -> u64 {
    let n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}
