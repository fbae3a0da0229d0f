//! Agent of one cache server: registers the server while it answers probes, renews its lease, and deregisters
//! it when the agent is stopped.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use shaletrail_registry_protocol::{ChangeResult, Entry, Register, Stamp, State};
use tokio::time::sleep;

use crate::call::{Call, HttpClient};
use crate::client::{entry_path, ChangeError, RegistryClient};

/// Renewals sent per lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Failed probes in a row after which the lease is no longer renewed.
const MAX_FAILED_PROBES: u32 = 3;
/// Interval of the probes until the server is registered, shortest interval after a failed probe, and pause
/// after a failed call.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest probe response that is read, in bytes.
const MAX_PROBE_RESPONSE_BYTES: usize = 64 << 10;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    pub entry: Entry,
    pub lease: Duration,
    /// Time between the states `leaving` and `left`, for requests in flight.
    pub drain: Duration,
    /// Address that is probed; clients may use another one.
    pub probe_addr: SocketAddr,
}

/// Why an agent ends before it is stopped.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    #[error("{id}: a later start of this server is already registered: {why}")]
    Replaced { id: String, why: String },
    #[error("{id}: the registry refused the registration: {why}")]
    Refused { id: String, why: String },
    #[error("{0}")]
    Change(#[from] ChangeError),
}

/// Probes the server. Every response but 503 counts as alive, because on some sites servers do not implement
/// the probe's path.
pub async fn is_alive(addr: SocketAddr) -> bool {
    let answer =
        HttpClient::new(addr).send(PROBE_TIMEOUT, Call::get("/health/live", MAX_PROBE_RESPONSE_BYTES)).await;
    answer.is_ok_and(|answer| answer.status != StatusCode::SERVICE_UNAVAILABLE)
}

/// Keeps the entry registered for as long as its server answers probes, until `stop` completes. `say` logs
/// progress and failures.
///
/// # Errors
/// The registry refused this start of the server, or it is unknown whether the server was deregistered.
pub async fn run(
    config: &AgentConfig,
    registry: &mut RegistryClient,
    stop: impl Future<Output = ()>,
    mut say: impl FnMut(String),
) -> Result<(), AgentError> {
    tokio::pin!(stop);
    let id = config.entry.id.clone();
    let stamp = Stamp { started_ms: config.entry.started_ms, incarnation: 0 };
    let renew_interval = config.lease / RENEWALS_PER_LEASE;
    let (mut registered, mut failed_probes) = (false, 0);
    loop {
        let step = async {
            if !is_alive(config.probe_addr).await {
                failed_probes += 1;
                if failed_probes == MAX_FAILED_PROBES && registered {
                    say(format!("{id} failed {MAX_FAILED_PROBES} probes in a row; lease no longer renewed"));
                }
                return Ok(PROBE_INTERVAL.max(if registered { renew_interval / 2 } else { PROBE_INTERVAL }));
            }
            let was_alive = failed_probes < MAX_FAILED_PROBES;
            failed_probes = 0;
            if registered && !was_alive {
                say(format!("{id} answers probes again"));
            }
            if !registered {
                let version = register(config, registry).await?;
                say(format!("{id} registered at version {version}"));
                registered = true;
                return Ok(renew_interval);
            }
            match renew(&id, stamp, registry, renew_interval).await {
                Ok(()) => Ok(renew_interval),
                Err(ChangeError::Refused { status: StatusCode::NOT_FOUND, .. }) => {
                    say(format!("{id} is no longer registered; registering it again"));
                    registered = false;
                    Ok(Duration::ZERO)
                }
                Err(ChangeError::Refused { status: StatusCode::CONFLICT, why }) => {
                    Err(AgentError::Replaced { id: id.clone(), why })
                }
                Err(e) => {
                    say(format!("{id}: lease renewal failed: {e}"));
                    Ok(PROBE_INTERVAL)
                }
            }
        };
        let wait = tokio::select! {
            wait = step => wait,
            () = &mut stop => break,
        };
        let wait = match wait {
            // The registry may only be unreachable or full for a short time, so the round is repeated.
            Err(AgentError::Change(e @ (ChangeError::NotDone(_) | ChangeError::Unknown(_)))) => {
                say(format!("{id}: {e}"));
                PROBE_INTERVAL
            }
            wait => wait?,
        };
        tokio::select! {
            () = sleep(wait) => {}
            () = &mut stop => break,
        }
    }
    if registered {
        deregister(config, stamp, registry, &mut say).await?;
    }
    Ok(())
}

async fn register(config: &AgentConfig, registry: &mut RegistryClient) -> Result<u64, AgentError> {
    let id = config.entry.id.clone();
    let entry = Entry { state: State::Active, ..config.entry.clone() };
    let request = Register::new(&entry, Some(config.lease.as_secs_f64()));
    match registry.send::<ChangeResult>(Method::PUT, &entry_path(&id, ""), &request, config.lease).await {
        Ok(changed) => Ok(changed.version),
        Err(ChangeError::Refused { status: StatusCode::CONFLICT, why }) => {
            Err(AgentError::Replaced { id, why })
        }
        Err(ChangeError::Refused { why, .. }) => Err(AgentError::Refused { id, why }),
        Err(e) => Err(e.into()),
    }
}

async fn renew(
    id: &str,
    stamp: Stamp,
    registry: &mut RegistryClient,
    time: Duration,
) -> Result<(), ChangeError> {
    registry.send::<ChangeResult>(Method::POST, &entry_path(id, "renew"), &stamp, time).await.map(drop)
}

/// Sets the state to `leaving`, waits for requests in flight, and deregisters the entry. It is no error if
/// the entry is already gone.
async fn deregister(
    config: &AgentConfig,
    stamp: Stamp,
    registry: &mut RegistryClient,
    say: &mut impl FnMut(String),
) -> Result<(), AgentError> {
    let id = &config.entry.id;
    let gone = |e: &ChangeError| matches!(e, ChangeError::Refused { status: StatusCode::NOT_FOUND, .. });
    let leaving =
        registry.send::<ChangeResult>(Method::POST, &entry_path(id, "leaving"), &stamp, config.lease).await;
    match leaving {
        Ok(changed) => say(format!("{id} leaving at version {}", changed.version)),
        Err(e) if gone(&e) => return Ok(()),
        Err(e) => say(format!("{id}: could not set the state `leaving`: {e}")),
    }
    sleep(config.drain).await;
    match registry.send::<ChangeResult>(Method::DELETE, &entry_path(id, ""), &stamp, config.lease).await {
        Ok(changed) => say(format!("{id} left at version {}", changed.version)),
        Err(e) if gone(&e) => {}
        Err(e) => return Err(e.into()),
    }
    Ok(())
}
