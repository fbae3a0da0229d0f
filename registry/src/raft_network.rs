//! Calls between replicas for openraft: one kept connection to each peer, JSON bodies, and a record of when
//! each peer last answered.

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

/// The largest message between replicas, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;
/// Pause after a peer could not be reached.
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);

/// State shared by this replica's links to all its peers.
#[derive(Default)]
pub struct PeerLinks {
    /// Addresses at which this replica reaches its peers, by name, where they differ from the advertised
    /// ones.
    addr_overrides: HashMap<String, SocketAddr>,
    last_answers: Mutex<HashMap<u64, Instant>>,
    /// Until this time the replica sends no log entries: see [`PeerLinks::mute`].
    muted_until: Mutex<Option<Instant>>,
}

impl PeerLinks {
    /// Creates the links without any connection. `addr_overrides` replaces the addresses of members, by name.
    pub fn new(addr_overrides: HashMap<String, SocketAddr>) -> Arc<Self> {
        Arc::new(PeerLinks { addr_overrides, ..PeerLinks::default() })
    }

    /// The member's address, or its override; `None` if its replica address can't be parsed.
    pub fn addr(&self, member: &Member) -> Option<SocketAddr> {
        self.addr_overrides.get(&member.name).copied().or_else(|| member.replica.parse().ok())
    }

    /// Whether the peer has answered within this time.
    pub fn answered_within(&self, id: u64, time: Duration) -> bool {
        let last_answers = self.last_answers.lock().unwrap_or_else(PoisonError::into_inner);
        last_answers.get(&id).is_some_and(|at| at.elapsed() < time)
    }

    /// Stops sending log entries and heartbeats for a while. A leader whose messages arrive, but who gets no
    /// answers, must stop sending: otherwise its followers would never start an election.
    pub fn mute(&self, time: Duration) {
        *self.muted_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now() + time);
    }

    /// Whether the time given to the last [`PeerLinks::mute`] has not passed yet.
    pub fn is_muted(&self) -> bool {
        self.muted_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_some_and(|until| Instant::now() < until)
    }
}

/// Creates the links for openraft.
pub struct LinkFactory(pub Arc<PeerLinks>);

impl RaftNetworkFactory<Types> for LinkFactory {
    type Network = PeerLink;

    async fn new_client(&mut self, target: u64, node: &Member) -> PeerLink {
        let addr = self.0.addr(node);
        PeerLink {
            target,
            node: node.clone(),
            connection: addr.map(|addr| Mutex::new(HttpClient::new(addr))),
            links: Arc::clone(&self.0),
        }
    }
}

/// The connection over which openraft sends its requests to one peer.
pub struct PeerLink {
    target: u64,
    node: Member,
    /// The lock is never contended. It is needed because openraft requires `Sync`.
    connection: Option<Mutex<HttpClient>>,
    links: Arc<PeerLinks>,
}

type RpcError<E> = RPCError<u64, Member, RaftError<u64, E>>;

impl PeerLink {
    async fn call<Q, A, E>(&mut self, path: &str, request: &Q, time: Duration) -> Result<A, RpcError<E>>
    where
        Q: Serialize,
        A: DeserializeOwned,
        E: std::error::Error + DeserializeOwned,
    {
        let network = |e: &(dyn std::error::Error + 'static)| {
            RPCError::Network(NetworkError::new(&TextError(e.to_string())))
        };
        let Some(connection) = &mut self.connection else {
            return Err(RPCError::Unreachable(Unreachable::new(&TextError(format!(
                "{}: no address",
                self.node
            )))));
        };
        let body = serde_json::to_vec(request).map_err(|e| network(&e))?;
        let call = Call {
            method: Method::POST,
            path,
            headers: &[],
            body: body.into(),
            max_bytes: MAX_MESSAGE_BYTES,
            close: false,
        };
        let connection = connection.get_mut().unwrap_or_else(PoisonError::into_inner);
        let answer = connection.send(time, call).await.map_err(|e| match e {
            CallError::NotReached(e) => RPCError::Unreachable(Unreachable::new(&e)),
            e => network(&e),
        })?;
        if answer.status != StatusCode::OK {
            let reason = String::from_utf8_lossy(&answer.body).into_owned();
            return Err(RPCError::Unreachable(Unreachable::new(&TextError(reason))));
        }
        let result: Result<A, RaftError<u64, E>> =
            serde_json::from_slice(&answer.body).map_err(|e| network(&e))?;
        self.links
            .last_answers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(self.target, Instant::now());
        result.map_err(|e| RPCError::RemoteError(RemoteError::new(self.target, e)))
    }
}

/// An error of which only the text is known.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
struct TextError(String);

impl RaftNetwork<Types> for PeerLink {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RpcError<openraft::error::Infallible>> {
        if self.links.is_muted() {
            return Err(RPCError::Unreachable(Unreachable::new(&TextError(
                "no majority answers: silent for now".into(),
            ))));
        }
        self.call("/raft/append", &rpc, option.hard_ttl()).await
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, RpcError<InstallSnapshotError>> {
        self.call("/raft/snapshot", &rpc, option.hard_ttl()).await
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, RpcError<openraft::error::Infallible>> {
        self.call("/raft/vote", &rpc, option.hard_ttl()).await
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(RECONNECT_PAUSE))
    }
}
