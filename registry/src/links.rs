//! Calls between replicas, as the protocol wants them: one kept connection to each, JSON, and a memory of who has
//! answered lately.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{Backoff, RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use shaletrail_registry_client::call::{Call, CallError, HttpClient};

use crate::types::{Member, Types};

/// Most bytes of a call between replicas, and of its answer.
pub const LONGEST: usize = 32 << 20;
/// Pause after a replica could not be reached.
const PAUSE: Duration = Duration::from_millis(150);

/// What all links of one replica share.
#[derive(Default)]
pub struct Links {
    /// Where this replica reaches others, by name, if not where they say.
    by_name: HashMap<String, SocketAddr>,
    answered: Mutex<HashMap<u64, Instant>>,
    /// Until when this replica sends no entries: see [`Links::hush`].
    hushed: Mutex<Option<Instant>>,
}

impl Links {
    pub fn new(by_name: HashMap<String, SocketAddr>) -> Arc<Self> {
        Arc::new(Links { by_name, ..Links::default() })
    }

    pub fn addr(&self, member: &Member) -> Option<SocketAddr> {
        self.by_name.get(&member.name).copied().or_else(|| member.replica.parse().ok())
    }

    /// Who has answered within this time.
    pub fn answered_within(&self, id: u64, time: Duration) -> bool {
        let answered = self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        answered.get(&id).is_some_and(|at| at.elapsed() < time)
    }

    /// A leader that is heard but hears nobody must fall silent, or the others would never elect one.
    pub fn hush(&self, time: Duration) {
        *self.hushed.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now() + time);
    }

    pub fn hushed(&self) -> bool {
        self.hushed.lock().unwrap_or_else(PoisonError::into_inner).is_some_and(|until| Instant::now() < until)
    }
}

/// Makes links for openraft.
pub struct Maker(pub Arc<Links>);

impl RaftNetworkFactory<Types> for Maker {
    type Network = Link;

    async fn new_client(&mut self, target: u64, node: &Member) -> Link {
        let addr = self.0.addr(node);
        Link {
            target,
            node: node.clone(),
            line: addr.map(|addr| Mutex::new(HttpClient::new(addr))),
            links: Arc::clone(&self.0),
        }
    }
}

pub struct Link {
    target: u64,
    node: Member,
    /// Behind a lock only because the protocol wants links that threads can share; they never do.
    line: Option<Mutex<HttpClient>>,
    links: Arc<Links>,
}

type Failed<E> = RPCError<u64, Member, RaftError<u64, E>>;

impl Link {
    async fn call<Q, A, E>(&mut self, path: &str, question: &Q, time: Duration) -> Result<A, Failed<E>>
    where
        Q: Serialize,
        A: DeserializeOwned,
        E: std::error::Error + DeserializeOwned,
    {
        let network = |e: &(dyn std::error::Error + 'static)| {
            RPCError::Network(NetworkError::new(&Text(e.to_string())))
        };
        let Some(line) = &mut self.line else {
            return Err(RPCError::Unreachable(Unreachable::new(&Text(format!("{}: no address", self.node)))));
        };
        let body = serde_json::to_vec(question).map_err(|e| network(&e))?;
        let call = Call {
            method: Method::POST,
            path,
            headers: &[],
            body: body.into(),
            max_bytes: LONGEST,
            close: false,
        };
        let line = line.get_mut().unwrap_or_else(PoisonError::into_inner);
        let answer = line.send(time, call).await.map_err(|e| match e {
            CallError::NotReached(e) => RPCError::Unreachable(Unreachable::new(&e)),
            e => network(&e),
        })?;
        if answer.status != StatusCode::OK {
            let said = String::from_utf8_lossy(&answer.body).into_owned();
            return Err(RPCError::Unreachable(Unreachable::new(&Text(said))));
        }
        let result: Result<A, RaftError<u64, E>> =
            serde_json::from_slice(&answer.body).map_err(|e| network(&e))?;
        self.links
            .answered
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(self.target, Instant::now());
        result.map_err(|e| RPCError::RemoteError(RemoteError::new(self.target, e)))
    }
}

/// An error of which only the words are left.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
struct Text(String);

impl RaftNetwork<Types> for Link {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, Failed<openraft::error::Infallible>> {
        if self.links.hushed() {
            return Err(RPCError::Unreachable(Unreachable::new(&Text(
                "no majority answers: silent for now".into(),
            ))));
        }
        self.call("/raft/append", &rpc, option.hard_ttl()).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, Failed<InstallSnapshotError>> {
        self.call("/raft/snapshot", &rpc, option.hard_ttl()).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, Failed<openraft::error::Infallible>> {
        self.call("/raft/vote", &rpc, option.hard_ttl()).await
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(PAUSE))
    }
}
