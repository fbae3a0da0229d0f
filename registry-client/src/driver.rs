//! Follows the list over sockets: runs the logic of [`crate::follow`] with real calls and a real clock.

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

use crate::call::{Call, CallError, HttpClient};
use crate::follow::{Action, CallId, Follower, ListRequest, ListSummary, Retry};

/// Timeout of a call. It is far above the core's own limits, so normally the core cancels the call first.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);

/// If a call on a kept connection breaks off within this time, the server had already closed the connection.
const STALE_CONNECTION_TIME: Duration = Duration::from_millis(50);

/// Why a call did not return a list.
#[derive(Debug)]
pub enum FetchError {
    Call(CallError),
    /// The server had closed the connection that was kept from an earlier call.
    Stale,
    Status(StatusCode),
    /// The body is not a list of this protocol.
    InvalidBody,
}

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FetchError::Call(e) => write!(f, "{e}"),
            FetchError::Stale => write!(f, "closed the kept connection"),
            FetchError::Status(status) => write!(f, "answered {status}"),
            FetchError::InvalidBody => write!(f, "response is not a valid list"),
        }
    }
}

/// What the follower reports.
#[derive(Debug)]
pub enum ListUpdate {
    /// The whole list, or the changes since the last report.
    List(List),
    /// All endpoints failed; the last list stays valid. The text is the last failure.
    Failed(String),
    /// An endpoint answered with an older list than the last one reported. The last list stays valid, and
    /// another call is made.
    Outdated(String),
}

/// Reads the list once from one address.
///
/// # Errors
/// The call failed, or its response is not a list of this protocol.
pub async fn fetch_list(addr: SocketAddr, request: ListRequest) -> Result<List, FetchError> {
    fetch_with(&mut HttpClient::new(addr), request, true).await
}

async fn fetch_with(client: &mut HttpClient, request: ListRequest, close: bool) -> Result<List, FetchError> {
    let path = match request {
        ListRequest::Whole => INSTANCES_PATH.to_owned(),
        ListRequest::Changes { from, hold } => {
            format!("{INSTANCES_PATH}?from={from}&hold_ms={}", hold.as_millis())
        }
    };
    let (was_open, started) = (client.is_open(), Instant::now());
    let call = Call { close, ..Call::get(&path, MAX_LIST_BYTES) };
    let answer = client.send(CALL_TIMEOUT, call).await.map_err(|e| match e {
        CallError::Broken(_) if was_open && started.elapsed() < STALE_CONNECTION_TIME => FetchError::Stale,
        e => FetchError::Call(e),
    })?;
    if answer.status != StatusCode::OK {
        return Err(FetchError::Status(answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|_| FetchError::InvalidBody)
}

/// A call in flight. It returns its client for reuse.
type PendingCall = Pin<Box<dyn Future<Output = (Result<List, FetchError>, HttpClient)> + Send>>;

/// Follows the list at several endpoints.
pub struct ListFollower {
    follower: Follower,
    endpoints: Vec<SocketAddr>,
    started: Instant,
    in_flight: Vec<(CallId, SocketAddr, PendingCall)>,
    /// Clients whose last call was answered, kept with their connections. Without them every watcher would
    /// open a new connection at each change.
    idle_clients: HashMap<SocketAddr, HttpClient>,
    pending_updates: VecDeque<ListUpdate>,
    /// The failure of the last call.
    last_failure: String,
}

impl ListFollower {
    /// `held` is the version of a list that is already known. No call is made before [`ListFollower::start`].
    pub fn new(endpoints: Vec<SocketAddr>, held: Option<u64>, retry: Retry, seed: u64) -> Self {
        ListFollower {
            follower: Follower::new(endpoints.len(), held, retry, seed),
            endpoints,
            started: Instant::now(),
            in_flight: Vec::new(),
            idle_clients: HashMap::new(),
            pending_updates: VecDeque::new(),
            last_failure: String::new(),
        }
    }

    /// Starts following, or retries at once after a failure; see [`Retry::OnStart`].
    pub fn start(&mut self) {
        let mut actions = Vec::new();
        self.follower.start(self.started.elapsed(), &mut actions);
        self.apply(actions, None);
    }

    /// Changes the endpoints. The list at the new ones is read from the start; nothing happens if they are
    /// the same.
    pub fn move_to(&mut self, endpoints: Vec<SocketAddr>) {
        if self.endpoints == endpoints {
            return;
        }
        let mut actions = Vec::new();
        self.endpoints = endpoints;
        self.idle_clients.clear();
        self.follower.replace_endpoints(self.endpoints.len(), self.started.elapsed(), &mut actions);
        self.apply(actions, None);
    }

    /// Waits for the next report. The future is cancel safe: no report is lost if it is dropped.
    pub async fn next(&mut self) -> ListUpdate {
        loop {
            if let Some(update) = self.pending_updates.pop_front() {
                return update;
            }
            let wake = self.follower.wake().map(|at| self.started + at);
            let ended = tokio::select! {
                ended = first_to_end(&mut self.in_flight) => Some(ended),
                () = sleep_until(wake.unwrap_or(self.started).into()), if wake.is_some() => None,
            };
            let now = self.started.elapsed();
            let mut actions = Vec::new();
            match ended {
                None => {
                    self.follower.tick(now, &mut actions);
                    self.apply(actions, None);
                }
                Some(ended_call) => {
                    let (call, addr, (result, client)) = ended_call;
                    if result.is_ok() && self.endpoints.contains(&addr) {
                        self.idle_clients.insert(addr, client);
                    }
                    if matches!(result, Err(FetchError::Stale)) {
                        self.follower.connection_closed(call, now, &mut actions);
                        self.apply(actions, None);
                        continue;
                    }
                    let summary = match &result {
                        Ok(list) => Some(ListSummary {
                            version: list.version,
                            full: list.full,
                            empty: list.servers.is_empty(),
                        }),
                        Err(error) => {
                            self.last_failure = format!("{addr}: {error}");
                            None
                        }
                    };
                    self.follower.call_ended(call, summary, now, &mut actions);
                    if let (Some(summary), false) = (summary, actions.contains(&Action::Report { call })) {
                        let older = format!("{addr}: returned an outdated list, version {}", summary.version);
                        self.last_failure.clone_from(&older);
                        self.pending_updates.push_back(ListUpdate::Outdated(older));
                    }
                    self.apply(actions, result.ok());
                }
            }
        }
    }

    fn apply(&mut self, actions: Vec<Action>, mut list: Option<List>) {
        for action in actions {
            match action {
                Action::Call { call, endpoint, request } => {
                    if let Some(addr) = self.endpoints.get(endpoint).copied() {
                        let mut client =
                            self.idle_clients.remove(&addr).unwrap_or_else(|| HttpClient::new(addr));
                        let pending = async move { (fetch_with(&mut client, request, false).await, client) };
                        self.in_flight.push((call, addr, Box::pin(pending)));
                    }
                }
                Action::Cancel { call } => {
                    if let Some(index) = self.in_flight.iter().position(|(in_flight, ..)| *in_flight == call)
                    {
                        let (_, addr, _) = self.in_flight.swap_remove(index);
                        self.last_failure = format!("{addr}: no answer in time");
                    }
                }
                Action::Report { .. } => self.pending_updates.extend(list.take().map(ListUpdate::List)),
                Action::Failed => {
                    self.pending_updates.push_back(ListUpdate::Failed(self.last_failure.clone()))
                }
            }
        }
    }
}

/// Waits for the first call to end and removes it. It never completes if no call is in flight.
async fn first_to_end(
    in_flight: &mut Vec<(CallId, SocketAddr, PendingCall)>,
) -> (CallId, SocketAddr, (Result<List, FetchError>, HttpClient)) {
    std::future::poll_fn(|context| {
        for index in 0..in_flight.len() {
            if let Poll::Ready(result) = in_flight[index].2.as_mut().poll(context) {
                let (call, addr, _) = in_flight.swap_remove(index);
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
    async fn an_outdated_list_is_reported_and_the_call_is_repeated() {
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
            let mut following = ListFollower::new(vec![addr], Some(5), Retry::Backoff, 7);
            following.start();
            let older = following.next().await;
            assert!(matches!(&older, ListUpdate::Outdated(what) if what.contains("version 3")), "{older:?}");
            let newer = following.next().await;
            assert!(matches!(&newer, ListUpdate::List(list) if list.version == 6), "{newer:?}");
        };
        tokio::select! {
            () = service => {}
            () = following => {}
        }
    }
}
