//! Registry clients for tests and benchmarks, each in its own thread: observers follow the server list,
//! writers change it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hyper::Method;
use shaletrail_registry_client::client::{entry_path, ChangeError, RegistryClient};
use shaletrail_registry_client::driver::{ListFollower, ListUpdate};
use shaletrail_registry_client::follow::Retry;
use shaletrail_registry_protocol::{ChangeResult, Entry, Register, State};

use crate::checker::{Acknowledged, ClientHistory};
use crate::process::wait_for;

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

/// Follows the server list and records every update.
pub struct Observer {
    seen: Arc<Mutex<ClientHistory>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Observer {
    /// Starts a thread that follows the list from these endpoints and records every version that it receives.
    pub fn start(name: &str, endpoints: Vec<SocketAddr>, seed: u64) -> Observer {
        let seen = Arc::new(Mutex::new(ClientHistory { name: name.into(), lists: Vec::new() }));
        let stop = Arc::new(AtomicBool::new(false));
        let (history, stopped) = (Arc::clone(&seen), Arc::clone(&stop));
        let thread = thread::spawn(move || {
            runtime().block_on(async {
                let mut following = ListFollower::new(endpoints, None, Retry::Backoff, seed);
                following.start();
                while !stopped.load(Ordering::Relaxed) {
                    let news = tokio::time::timeout(Duration::from_millis(50), following.next()).await;
                    if let Ok(ListUpdate::List(list)) = news {
                        history.lock().unwrap_or_else(PoisonError::into_inner).lists.push(list);
                    }
                }
            });
        });
        Observer { seen, stop, thread: Some(thread) }
    }

    /// The newest version received; 0 before the first.
    pub fn version(&self) -> u64 {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.lists.last().map_or(0, |list| list.version)
    }

    /// Waits until this version has been received, then stops and returns the history.
    pub fn stop_at(mut self, version: u64) -> ClientHistory {
        wait_for("the observer receives the last version", || (self.version() >= version).then_some(()));
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.clone()
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Registers one id repeatedly with an increasing number; each registration starts after the previous one has ended.
pub struct Writer {
    stop: Arc<AtomicBool>,
    acknowledged: Arc<Mutex<Vec<(Instant, Acknowledged)>>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts a thread that registers `id` until it is stopped, with `pause` between two registrations.
    pub fn start(id: &str, endpoints: Vec<SocketAddr>, pause: Duration) -> Writer {
        let stop = Arc::new(AtomicBool::new(false));
        let acknowledged = Arc::new(Mutex::new(Vec::new()));
        let (stopped, acks, id) = (Arc::clone(&stop), Arc::clone(&acknowledged), id.to_owned());
        let thread = thread::spawn(move || {
            runtime().block_on(async {
                let mut changes = RegistryClient::new(endpoints);
                for number in 1.. {
                    if stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    if let Ok(changed) = register(&mut changes, &id, number, Duration::from_secs(2)).await {
                        let ack = Acknowledged { id: id.clone(), number, version: changed.version };
                        acks.lock().unwrap_or_else(PoisonError::into_inner).push((Instant::now(), ack));
                    }
                    tokio::time::sleep(pause).await;
                }
            });
        });
        Writer { stop, acknowledged, thread: Some(thread) }
    }

    /// Number of registrations acknowledged after `at`.
    pub fn acknowledged_since(&self, at: Instant) -> usize {
        let acks = self.acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
        acks.iter().filter(|(when, _)| *when > at).count()
    }

    /// Stops the thread, waits for its last registration and returns all acknowledged ones.
    pub fn stop(mut self) -> Vec<Acknowledged> {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        let acks = self.acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
        acks.iter().map(|(_, ack)| ack.clone()).collect()
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// A registration whose weight and incarnation are `number`. Because a higher incarnation replaces a lower one, a
/// delayed duplicate of an older registration has no effect.
pub fn numbered_registration(id: &str, number: u64) -> Register {
    let entry = Entry {
        id: id.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "a".into(),
        kind: "box".into(),
        cell: 0,
        state: State::Active,
        weight: number as f64,
        started_ms: 0,
    };
    Register { incarnation: number, ..Register::new(&entry, None) }
}

async fn register(
    changes: &mut RegistryClient,
    id: &str,
    number: u64,
    timeout: Duration,
) -> Result<ChangeResult, ChangeError> {
    changes.send(Method::PUT, &entry_path(id, ""), &numbered_registration(id, number), timeout).await
}

/// Sends one change to the registry and waits for the acknowledgement. Blocks; must not be called inside an async
/// runtime.
///
/// # Errors
/// The client's error, after its retries.
pub fn put(
    endpoints: &[SocketAddr],
    method: Method,
    path: &str,
    body: &serde_json::Value,
) -> Result<ChangeResult, ChangeError> {
    send(endpoints, method, path, body)
}

/// Like [`put`], for calls with any other response type.
///
/// # Errors
/// The client's error, after its retries.
pub fn send<A: serde::de::DeserializeOwned>(
    endpoints: &[SocketAddr],
    method: Method,
    path: &str,
    body: &serde_json::Value,
) -> Result<A, ChangeError> {
    let mut changes = RegistryClient::new(endpoints.to_vec());
    runtime().block_on(changes.send(method, path, body, Duration::from_secs(30)))
}

/// Reads a path at one endpoint and returns the JSON. Blocks; must not be called inside an async runtime.
///
/// # Errors
/// The client's error, after its retries.
pub fn get(endpoint: SocketAddr, path: &str) -> Result<serde_json::Value, ChangeError> {
    runtime().block_on(RegistryClient::new(vec![endpoint]).read(path, 64 << 20))
}
