//! Following the list over sockets: gives the pure core of [`crate::follow`] its time and its calls.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use shaletrail_registry_protocol::{List, INSTANCES_PATH, MAX_LIST_BYTES};
use tokio::time::sleep_until;

use crate::call::{Call, CallError, Line};
use crate::follow::{Action, Ask, CallId, Follower, Retry, Told};

/// Far above what the core allows: it gives calls up itself.
const MAX_REQUEST_BYTES: Duration = Duration::from_secs(120);

/// A call on a kept connection that ends sooner than this, without an answer, met a closed one.
const STALE: Duration = Duration::from_millis(50);

/// Why a call brought no list.
#[derive(Debug)]
pub enum NoList {
    Call(CallError),
    /// The connection, kept from an earlier call, had been closed.
    Stale,
    Status(StatusCode),
    Rotten,
}

impl fmt::Display for NoList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NoList::Call(e) => write!(f, "{e}"),
            NoList::Stale => write!(f, "had closed its connection"),
            NoList::Status(status) => write!(f, "answered {status}"),
            NoList::Rotten => write!(f, "answered what is no list"),
        }
    }
}

/// What following brings.
#[derive(Debug)]
pub enum News {
    /// The whole list, or what has changed since the last news.
    List(List),
    /// No endpoint answers; the last list stands.
    Failed(String),
    /// An answer that is older than what was told; the last list stands, and another call is made.
    Older(String),
}

/// One call for the list at one address.
///
/// # Errors
/// Whatever is no list of this protocol.
pub async fn ask(addr: SocketAddr, ask: Ask) -> Result<List, NoList> {
    ask_on(&mut Line::new(addr), ask, true).await
}

async fn ask_on(line: &mut Line, ask: Ask, last: bool) -> Result<List, NoList> {
    let path = match ask {
        Ask::Whole => INSTANCES_PATH.to_owned(),
        Ask::Changes { from, hold } => format!("{INSTANCES_PATH}?from={from}&hold_ms={}", hold.as_millis()),
    };
    let (kept, began) = (line.is_open(), Instant::now());
    let call = Call { last, ..Call::get(&path, MAX_LIST_BYTES) };
    let answer = line.within(MAX_REQUEST_BYTES, call).await.map_err(|e| match e {
        CallError::Broken(_) if kept && began.elapsed() < STALE => NoList::Stale,
        e => NoList::Call(e),
    })?;
    if answer.status != StatusCode::OK {
        return Err(NoList::Status(answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|_| NoList::Rotten)
}

/// A call, which brings its line back.
type Asking = Pin<Box<dyn Future<Output = (Result<List, NoList>, Line)> + Send>>;

/// Follows the list at some endpoints.
pub struct Following {
    follower: Follower,
    endpoints: Vec<SocketAddr>,
    began: Instant,
    out: Vec<(CallId, SocketAddr, Asking)>,
    /// Lines whose last call was answered. Many that watch would else all connect anew at each change.
    lines: HashMap<SocketAddr, Line>,
    news: VecDeque<News>,
    /// Why the last call brought nothing.
    trouble: String,
}

impl Following {
    /// `held`: the version of a list that is known already. Nothing is asked before [`Following::start`].
    pub fn new(endpoints: Vec<SocketAddr>, held: Option<u64>, retry: Retry, seed: u64) -> Self {
        Following {
            follower: Follower::new(endpoints.len(), held, retry, seed),
            endpoints,
            began: Instant::now(),
            out: Vec::new(),
            lines: HashMap::new(),
            news: VecDeque::new(),
            trouble: String::new(),
        }
    }

    pub fn start(&mut self) {
        let mut actions = Vec::new();
        self.follower.start(self.began.elapsed(), &mut actions);
        self.act(actions, None);
    }

    /// The list is at other endpoints from now on. The same ones change nothing.
    pub fn move_to(&mut self, endpoints: Vec<SocketAddr>) {
        if self.endpoints == endpoints {
            return;
        }
        let mut actions = Vec::new();
        self.endpoints = endpoints;
        self.lines.clear();
        self.follower.moved(self.endpoints.len(), self.began.elapsed(), &mut actions);
        self.act(actions, None);
    }

    /// The next news. May be dropped and called again at any time; nothing is lost.
    pub async fn next(&mut self) -> News {
        loop {
            if let Some(news) = self.news.pop_front() {
                return news;
            }
            let wake = self.follower.wake().map(|at| self.began + at);
            let ended = tokio::select! {
                ended = any(&mut self.out) => Some(ended),
                () = sleep_until(wake.unwrap_or(self.began).into()), if wake.is_some() => None,
            };
            let now = self.began.elapsed();
            let mut actions = Vec::new();
            match ended {
                None => {
                    self.follower.tick(now, &mut actions);
                    self.act(actions, None);
                }
                Some(place) => {
                    let (call, addr, (result, line)) = place;
                    if result.is_ok() && self.endpoints.contains(&addr) {
                        self.lines.insert(addr, line);
                    }
                    if matches!(result, Err(NoList::Stale)) {
                        self.follower.stale(call, now, &mut actions);
                        self.act(actions, None);
                        continue;
                    }
                    let told = match &result {
                        Ok(list) => Some(Told {
                            version: list.version,
                            full: list.full,
                            empty: list.servers.is_empty(),
                        }),
                        Err(what) => {
                            self.trouble = format!("{addr}: {what}");
                            None
                        }
                    };
                    self.follower.ended(call, told, now, &mut actions);
                    if let (Some(told), false) = (told, actions.contains(&Action::Tell { call })) {
                        let older = format!("{addr}: answered with an older list, version {}", told.version);
                        self.trouble.clone_from(&older);
                        self.news.push_back(News::Older(older));
                    }
                    self.act(actions, result.ok());
                }
            }
        }
    }

    fn act(&mut self, actions: Vec<Action>, mut list: Option<List>) {
        for action in actions {
            match action {
                Action::Call { call, endpoint, ask: what } => {
                    if let Some(addr) = self.endpoints.get(endpoint).copied() {
                        let mut line = self.lines.remove(&addr).unwrap_or_else(|| Line::new(addr));
                        let asking = async move { (ask_on(&mut line, what, false).await, line) };
                        self.out.push((call, addr, Box::pin(asking)));
                    }
                }
                Action::Drop { call } => {
                    if let Some(place) = self.out.iter().position(|(out, ..)| *out == call) {
                        let (_, addr, _) = self.out.swap_remove(place);
                        self.trouble = format!("{addr}: no answer in time");
                    }
                }
                Action::Tell { .. } => self.news.extend(list.take().map(News::List)),
                Action::Failed => self.news.push_back(News::Failed(self.trouble.clone())),
            }
        }
    }
}

/// The first of the calls to end, taken out. Waits for ever where none is out.
async fn any(
    out: &mut Vec<(CallId, SocketAddr, Asking)>,
) -> (CallId, SocketAddr, (Result<List, NoList>, Line)) {
    std::future::poll_fn(|context| {
        for place in 0..out.len() {
            if let Poll::Ready(result) = out[place].2.as_mut().poll(context) {
                let (call, addr, _) = out.swap_remove(place);
                return Poll::Ready((call, addr, result));
            }
        }
        Poll::Pending
    })
    .await
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
    use tokio::net::TcpListener;

    #[tokio::test]
    async fn an_older_list_is_said_and_the_call_made_again() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let service = async {
            for version in [3, 6] {
                let (stream, _) = listener.accept().await.unwrap();
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                while !line.ends_with("\r\n\r\n") {
                    assert!(stream.read_line(&mut line).await.unwrap() > 0);
                }
                let list = format!("{{\"version\":{version},\"full\":true,\"servers\":[]}}");
                let head =
                    format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n", list.len());
                stream.write_all(format!("{head}\r\n{list}").as_bytes()).await.unwrap();
            }
            std::future::pending().await
        };
        let following = async {
            let mut following = Following::new(vec![addr], Some(5), Retry::Own, 7);
            following.start();
            let older = following.next().await;
            assert!(matches!(&older, News::Older(what) if what.contains("version 3")), "{older:?}");
            let newer = following.next().await;
            assert!(matches!(&newer, News::List(list) if list.version == 6), "{newer:?}");
        };
        tokio::select! {
            () = service => {}
            () = following => {}
        }
    }
}
