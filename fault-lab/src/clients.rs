//! Clients in an open loop: requests go at their planned times whatever becomes of those before, through a plain
//! front in each zone that deals connections out and notices a dead node late.

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

use crate::fleet::{Node, ANSWER_GRACE_S};
use crate::net::{at, Dice};
use crate::parties::{value, Book};
use crate::party::lock;
use crate::scenario::Effect;

/// How a try ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    /// 429 or 503.
    Refused,
    Failed,
    /// 200 with a body that was not made for this request.
    Foreign,
    /// No connection came up.
    Unreachable,
    /// The connection ended with no whole answer.
    Broken,
    /// Nothing in time.
    None,
}

/// One try of a request.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    pub request: u32,
    pub id: u64,
    /// Which of the request's tries, from 0.
    pub n: u8,
    pub node: u16,
    pub sent_s: f64,
    /// When its client gives up.
    pub give_up_s: f64,
    pub end_s: f64,
    pub answer: Answer,
}

/// Beyond the platform's limit for an answer, as on real sockets.
const SOCKET_GRACE_S: f64 = 0.05;
/// How much longer the lab listens, so that what is late is seen as late and not as missing.
const LISTEN_S: f64 = 0.08;
const CONNECT: Duration = Duration::from_millis(250);
const LONGEST_ANSWER: usize = 1 << 20;
const LONGEST_WAIT_S: f64 = 1.0;
/// Idle connections kept to one node from one zone.
const MOST_IDLE: usize = 256;

type Connection = SendRequest<Full<Bytes>>;

pub struct Clients {
    book: Arc<Book>,
    nodes: Vec<Arc<Node>>,
    /// By zone: how many connections its front has dealt out.
    fronts: Vec<AtomicUsize>,
    /// By node.
    idle: Vec<Mutex<Vec<Connection>>>,
    pub tries: Mutex<Vec<Try>>,
    /// Planned against actual send, microseconds.
    pub lateness: Mutex<Histogram<u64>>,
    /// Set while a retry storm goes on.
    pub storm: AtomicU32,
    dice: Dice,
    seed: u64,
}

/// What came back, and how long the client should stay away.
struct Told {
    answer: Answer,
    retry_after_s: Option<f64>,
}

impl Clients {
    pub fn new(book: Arc<Book>, nodes: Vec<Arc<Node>>, seed: u64) -> Arc<Self> {
        let fronts = (0..book.scenario.fleet.zones.len()).map(AtomicUsize::new);
        let lateness =
            Histogram::new_with_max(60_000_000, 3).unwrap_or_else(|_| unreachable!("fixed bounds"));
        Arc::new(Clients {
            fronts: fronts.collect(),
            idle: nodes.iter().map(|_| Mutex::default()).collect(),
            book,
            nodes,
            tries: Mutex::default(),
            lateness: Mutex::new(lateness),
            storm: AtomicU32::new(0),
            dice: Dice::new(seed ^ 0xc11e),
            seed,
        })
    }

    /// Sends all that is planned and waits for the last answer.
    pub async fn run(self: &Arc<Self>, mut progress: impl FnMut(f64)) {
        let mut out = JoinSet::new();
        for number in 0..self.book.plan.len() {
            let due = at(self.book.start(), self.book.plan[number].at_s);
            if due > Instant::now() {
                sleep_until(due).await;
            }
            let clients = Arc::clone(self);
            out.spawn(async move { clients.request(number as u32).await });
            while out.try_join_next().is_some() {}
            progress(self.book.plan[number].at_s);
        }
        while out.join_next().await.is_some() {}
    }

    async fn request(&self, number: u32) {
        let asked = &self.book.plan[number as usize];
        let class = &self.book.scenario.classes[asked.class as usize];
        let load = &self.book.scenario.load;
        let give_up = asked.at_s + class.give_up_ms / 1e3;
        let mut wait = load.backoff_ms / 1e3;
        for n in 0..=u8::MAX {
            let storm = self.storm.load(Ordering::Relaxed);
            let now = self.book.now();
            let try_until = (now + class.give_up_ms / 1e3 * load.try_share).min(give_up);
            let told = self.attempt(number, n, try_until).await;
            let may = match class.effect {
                Effect::Free => told.answer != Answer::Served,
                Effect::Guarded => {
                    told.answer != Answer::Served && self.book.now() - asked.at_s < class.key_ttl_s * 0.9
                }
                Effect::SingleShot => matches!(told.answer, Answer::Refused | Answer::Unreachable),
            };
            let most = if storm > 0 { storm } else { load.retries };
            if !may || told.answer == Answer::Foreign || u32::from(n) >= most {
                return;
            }
            if storm == 0 {
                let honoured = told.retry_after_s.filter(|_| self.dice.roll() < load.honour);
                let away = honoured.unwrap_or(wait).min(LONGEST_WAIT_S);
                wait *= if load.backoff_grows { 2.0 } else { 1.0 };
                sleep(Duration::from_secs_f64(away)).await;
            }
            if self.book.now() + 0.01 >= give_up {
                return;
            }
        }
    }

    /// The node to which the zone's front gives the next connection.
    fn pick(&self, zone: usize) -> Option<usize> {
        let in_rotation = |node: &&Arc<Node>| node.in_rotation.load(Ordering::Relaxed);
        let own: Vec<_> = self.nodes.iter().filter(in_rotation).filter(|n| n.zone == zone).collect();
        let any: Vec<_> = if own.is_empty() { self.nodes.iter().filter(in_rotation).collect() } else { own };
        let turn = self.fronts[zone].fetch_add(1, Ordering::Relaxed);
        Some(any.get(turn % any.len().max(1))?.number)
    }

    async fn attempt(&self, request: u32, n: u8, give_up_s: f64) -> Told {
        let asked = &self.book.plan[request as usize];
        let id = mix(self.seed ^ (u64::from(request) << 8 | u64::from(n)));
        self.book.sends(id, request);
        let sent_s = self.book.now();
        if n == 0 {
            let late = ((sent_s - asked.at_s).max(0.0) * 1e6) as u64;
            lock(&self.lateness).saturating_record(late);
        }
        let (node, told) = match self.pick(usize::from(asked.zone)) {
            None => (u16::MAX, Told { answer: Answer::Unreachable, retry_after_s: None }),
            Some(node) => {
                let until = give_up_s + ANSWER_GRACE_S + SOCKET_GRACE_S + LISTEN_S;
                let call = self.call(node, request, id, give_up_s);
                let left = Duration::from_secs_f64((until - sent_s).max(0.0));
                let none = Told { answer: Answer::None, retry_after_s: None };
                (node as u16, timeout(left, call).await.unwrap_or(none))
            }
        };
        let end_s = self.book.now();
        let answer = told.answer;
        lock(&self.tries).push(Try { request, id, n, node, sent_s, give_up_s, end_s, answer });
        told
    }

    async fn call(&self, node: usize, request: u32, id: u64, give_up_s: f64) -> Told {
        let asked = &self.book.plan[request as usize];
        let scenario = &self.book.scenario;
        let class = &scenario.classes[asked.class as usize];
        let write = class.effect != Effect::Free;
        let (name, tenant) = (&class.name, &scenario.tenants[asked.tenant as usize].name);
        let build = || {
            let left = ((give_up_s - self.book.now()) * 1e3).max(1.0) as u64;
            let mut question = Request::builder()
                .method(if write { Method::PUT } else { Method::GET })
                .uri(format!("/{name}/{:016x}", asked.key))
                .header("host", "backend.local")
                .header("x-request-id", format!("{id:016x}"))
                .header("x-class", name)
                .header("x-tenant", tenant)
                .header("x-deadline-ms", left)
                .header("x-cost-hint", asked.hint_us);
            if class.effect == Effect::Guarded {
                question =
                    question.header("idempotency-key", format!("{:016x}", idempotency(self.seed, request)));
            }
            let body = if write { Bytes::from_static(b"a new value") } else { Bytes::new() };
            question.body(Full::new(body))
        };
        let told = |answer| Told { answer, retry_after_s: None };
        // A connection that the node has closed between two requests: once more on a new one.
        for fresh in [false, true] {
            let idle = if fresh { None } else { self.idle(node) };
            let reused = idle.is_some();
            let connection = match idle {
                Some(connection) => Some(connection),
                None => connect(self.nodes[node].listen).await,
            };
            let Some(mut connection) = connection else { return told(Answer::Unreachable) };
            let Ok(question) = build() else { return told(Answer::Failed) };
            let answer = match connection.send_request(question).await {
                Ok(answer) => answer,
                Err(_) if reused => continue,
                Err(_) => return told(Answer::Broken),
            };
            let status = answer.status();
            let retry_after_s = answer
                .headers()
                .get("retry-after")
                .and_then(|value| value.to_str().ok()?.parse::<f64>().ok())
                .filter(|s| s.is_finite() && *s >= 0.0);
            let Ok(body) = Limited::new(answer.into_body(), LONGEST_ANSWER).collect().await else {
                return told(Answer::Broken);
            };
            let mut idle = lock(&self.idle[node]);
            if idle.len() < MOST_IDLE {
                idle.push(connection);
            }
            drop(idle);
            let answer = match status {
                StatusCode::OK if body.to_bytes() == value(id, asked.key) => Answer::Served,
                StatusCode::OK => Answer::Foreign,
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Answer::Refused,
                _ => Answer::Failed,
            };
            return Told { answer, retry_after_s };
        }
        told(Answer::Broken)
    }

    fn idle(&self, node: usize) -> Option<Connection> {
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
    let stream = timeout(CONNECT, TcpStream::connect(addr)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (connection, driver) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _ = driver.await;
    });
    Some(connection)
}

/// The key under which all tries of a guarded request go.
pub fn idempotency(seed: u64, request: u32) -> u64 {
    mix(!seed ^ u64::from(request))
}

/// Spreads the bits of a number (splitmix64), each to one other.
fn mix(n: u64) -> u64 {
    let n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}
