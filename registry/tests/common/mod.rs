//! Runs a single replica inside the test's process, and sends requests to it.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use shaletrail_registry::{run, Options, Settings};
use shaletrail_registry_client::call::{Call, HttpClient};
use shaletrail_registry_protocol::duty::{DUTY_HEADER, FENCE_HEADER};
use tokio::runtime::Builder;
use tokio::sync::oneshot;

/// The replica's name in all stored data.
pub const REPLICA_NAME: &str = "r1";
/// Limit for one answer, and for the start of the replica.
const TIMEOUT: Duration = Duration::from_secs(20);
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// An empty folder for one test, removed when the test ends.
pub struct TestFolder(pub PathBuf);

impl TestFolder {
    pub fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("registry-{test}-{}", std::process::id()));
        drop(std::fs::remove_dir_all(&path));
        std::fs::create_dir_all(&path).expect("a folder for the test");
        TestFolder(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

/// The addresses of a running replica.
#[derive(Clone, Copy)]
pub struct Service {
    pub discovery: SocketAddr,
    pub ops: SocketAddr,
    pub replica: SocketAddr,
}

/// The status and the body of a response.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub body: Bytes,
}

impl Reply {
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("an answer in text")
    }
}

/// Sends one request, under a duty's fencing number if `fence` is given.
pub async fn call_under(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
    fence: Option<(&str, u64)>,
) -> Reply {
    let number = fence.map(|(_, number)| number.to_string()).unwrap_or_default();
    let headers: Vec<_> =
        fence.iter().flat_map(|(duty, _)| [(DUTY_HEADER, *duty), (FENCE_HEADER, number.as_str())]).collect();
    let body = Bytes::copy_from_slice(body.as_bytes());
    let call = Call { method, path, headers: &headers, body, max_bytes: MAX_ANSWER_BYTES, close: true };
    let answer = HttpClient::new(addr).send(TIMEOUT, call).await.expect("an answer");
    Reply { status: answer.status.as_u16(), body: answer.body }
}

pub async fn call(addr: SocketAddr, method: Method, path: &str, body: &str) -> Reply {
    call_under(addr, method, path, body, None).await
}

pub async fn get(addr: SocketAddr, path: &str) -> Reply {
    call(addr, Method::GET, path, "").await
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

/// Runs a replica on the folder while `calls` runs, and stops it afterwards.
pub fn with_service<F, T>(folder: &Path, settings: Settings, calls: impl FnOnce(Service) -> F) -> T
where
    F: std::future::Future<Output = T>,
{
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime");
    let service = Service { discovery: free_address(), ops: free_address(), replica: free_address() };
    let options = Options {
        name: REPLICA_NAME.into(),
        data: folder.to_owned(),
        discovery: service.discovery,
        ops: service.ops,
        replica: Some(service.replica),
        peers: [(REPLICA_NAME.to_owned(), service.replica)].into(),
        join: Vec::new(),
        settings,
    };
    let result = runtime.block_on(async {
        let (ready_sender, ready_receiver) = oneshot::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let ready = move || ready_sender.send(()).expect("the test waits");
        let running = tokio::spawn(run(options, ready, async { drop(stopped.await) }));
        tokio::time::timeout(TIMEOUT, ready_receiver).await.expect("in time").expect("the replica starts");
        let result = calls(service).await;
        drop(stop);
        running.await.expect("the replica stops").expect("without an error");
        result
    });
    runtime.shutdown_timeout(TIMEOUT);
    result
}
