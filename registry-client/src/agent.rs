//! Runs beside one cache server: registers it while it answers, renews its lease, and says goodbye for it.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use shaletrail_registry_protocol::{ChangeResult, Entry, Register, Stamp, State};
use tokio::time::sleep;

use crate::call::{Call, Line};
use crate::changes::{entry_path, ChangeError, Changes};

/// Each lease is renewed so many times.
const RENEWALS: u32 = 3;
/// Answers that a server may owe in a row before it is no longer renewed.
const MISSES: u32 = 3;
/// For the check of a server that only begins.
const CHECK_PAUSE: Duration = Duration::from_millis(200);
const CHECK_TIME: Duration = Duration::from_secs(1);
/// Most of a check's answer that is read.
const LONGEST_CHECK: usize = 64 << 10;

/// What an agent does.
#[derive(Clone, Debug)]
pub struct Duty {
    pub entry: Entry,
    pub lease: Duration,
    /// Between `leaving` and `left`.
    pub drain: Duration,
    /// Where the check connects, if not where clients do.
    pub check: SocketAddr,
}

/// Why an agent ends before it is told to.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    #[error("{id}: a newer life of this server is listed: {why}")]
    Replaced { id: String, why: String },
    #[error("{id}: the registry refuses it: {why}")]
    Refused { id: String, why: String },
    #[error("{0}")]
    Change(#[from] ChangeError),
}

/// Whether the server answers. Whatever it says but 503, it is there: on some sites nobody answers probes.
pub async fn answers(addr: SocketAddr) -> bool {
    let answer = Line::new(addr).within(CHECK_TIME, Call::get("/health/live", LONGEST_CHECK)).await;
    answer.is_ok_and(|answer| answer.status != StatusCode::SERVICE_UNAVAILABLE)
}

/// Keeps the entry listed for as long as its server answers, until `stop`. `say` is told what happens.
///
/// # Errors
/// Where the registry wants no more of this life, or the goodbye is not known to hold.
pub async fn run(
    duty: &Duty,
    changes: &mut Changes,
    stop: impl Future<Output = ()>,
    mut say: impl FnMut(String),
) -> Result<(), AgentError> {
    tokio::pin!(stop);
    let id = duty.entry.id.clone();
    let stamp = Stamp { started_ms: duty.entry.started_ms, incarnation: 0 };
    let pause = duty.lease / RENEWALS;
    let (mut listed, mut missed) = (false, 0);
    loop {
        let round = async {
            if !answers(duty.check).await {
                missed += 1;
                if missed == MISSES && listed {
                    say(format!("{id} does not answer: not renewed any more"));
                }
                return Ok(CHECK_PAUSE.max(if listed { pause / 2 } else { CHECK_PAUSE }));
            }
            let well = missed < MISSES;
            missed = 0;
            if listed && !well {
                say(format!("{id} answers again"));
            }
            if !listed {
                let version = register(duty, changes).await?;
                say(format!("{id} registered at version {version}"));
                listed = true;
                return Ok(pause);
            }
            match renew(&id, stamp, changes, pause).await {
                Ok(()) => Ok(pause),
                Err(ChangeError::Refused { status: StatusCode::NOT_FOUND, .. }) => {
                    say(format!("{id} is not listed any more"));
                    listed = false;
                    Ok(Duration::ZERO)
                }
                Err(ChangeError::Refused { status: StatusCode::CONFLICT, why }) => {
                    Err(AgentError::Replaced { id: id.clone(), why })
                }
                Err(e) => {
                    say(format!("{id}: renewal: {e}"));
                    Ok(CHECK_PAUSE)
                }
            }
        };
        let wait = tokio::select! {
            wait = round => wait,
            () = &mut stop => break,
        };
        let wait = match wait {
            // A registry that can't be reached or is full may be better soon.
            Err(AgentError::Change(e @ (ChangeError::NotDone(_) | ChangeError::Unknown(_)))) => {
                say(format!("{id}: {e}"));
                CHECK_PAUSE
            }
            wait => wait?,
        };
        tokio::select! {
            () = sleep(wait) => {}
            () = &mut stop => break,
        }
    }
    if listed {
        say_goodbye(duty, stamp, changes, &mut say).await?;
    }
    Ok(())
}

async fn register(duty: &Duty, changes: &mut Changes) -> Result<u64, AgentError> {
    let id = duty.entry.id.clone();
    let entry = Entry { state: State::Active, ..duty.entry.clone() };
    let question = Register::new(&entry, Some(duty.lease.as_secs_f64()));
    match changes.put::<ChangeResult>(Method::PUT, &entry_path(&id, ""), &question, duty.lease).await {
        Ok(changed) => Ok(changed.version),
        Err(ChangeError::Refused { status: StatusCode::CONFLICT, why }) => {
            Err(AgentError::Replaced { id, why })
        }
        Err(ChangeError::Refused { why, .. }) => Err(AgentError::Refused { id, why }),
        Err(e) => Err(e.into()),
    }
}

async fn renew(id: &str, stamp: Stamp, changes: &mut Changes, time: Duration) -> Result<(), ChangeError> {
    changes.put::<ChangeResult>(Method::POST, &entry_path(id, "renew"), &stamp, time).await.map(drop)
}

/// `leaving`, the time for what is under way, and `left`. Somebody else's `left` is as good.
async fn say_goodbye(
    duty: &Duty,
    stamp: Stamp,
    changes: &mut Changes,
    say: &mut impl FnMut(String),
) -> Result<(), AgentError> {
    let id = &duty.entry.id;
    let gone = |e: &ChangeError| matches!(e, ChangeError::Refused { status: StatusCode::NOT_FOUND, .. });
    let leaving =
        changes.put::<ChangeResult>(Method::POST, &entry_path(id, "leaving"), &stamp, duty.lease).await;
    match leaving {
        Ok(changed) => say(format!("{id} leaving at version {}", changed.version)),
        Err(e) if gone(&e) => return Ok(()),
        Err(e) => say(format!("{id}: leaving: {e}")),
    }
    sleep(duty.drain).await;
    match changes.put::<ChangeResult>(Method::DELETE, &entry_path(id, ""), &stamp, duty.lease).await {
        Ok(changed) => say(format!("{id} left at version {}", changed.version)),
        Err(e) if gone(&e) => {}
        Err(e) => return Err(e.into()),
    }
    Ok(())
}
