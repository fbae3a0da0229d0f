//! Changes of the list, put until they hold or are refused. Every change may be put twice: the second changes
//! nothing.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use percent_encoding::{utf8_percent_encode, AsciiSet, CONTROLS};
use serde::de::DeserializeOwned;
use serde::Serialize;
use shaletrail_registry_protocol::duty::{Fence, DUTIES_PATH, DUTY_HEADER, FENCE_HEADER};
use shaletrail_registry_protocol::{ErrorBody, INSTANCES_PATH, MAX_REQUEST_BYTES};

use crate::call::{Call, Line};

/// For one call at one endpoint; the leader's own limit is below it.
const CALL_TIME: Duration = Duration::from_secs(6);
/// Between two rounds of all endpoints.
const PAUSE: Duration = Duration::from_millis(100);

/// Why a change does not hold.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The service has answered no, and the change has not happened.
    #[error("refused ({status}): {why}")]
    Refused { status: StatusCode, why: String },
    /// No endpoint took it in time, and it surely has not happened.
    #[error("not done: {0}")]
    NotDone(String),
    /// It may have happened, or may yet.
    #[error("unknown whether done: {0}")]
    Unknown(String),
    #[error("can't be put: {0}")]
    Unusable(#[from] serde_json::Error),
}

/// Puts changes at any of some endpoints, the one that last took one first.
pub struct Changes {
    endpoints: Vec<SocketAddr>,
    at: usize,
    /// The duty and the fencing number that each change carries.
    under: Option<(String, String)>,
}

impl Changes {
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Changes { endpoints, at: 0, under: None }
    }

    /// From now on changes hold only while this tenure does.
    pub fn under(&mut self, fence: Option<&Fence>) {
        self.under = fence.map(|fence| (fence.duty.clone(), fence.fence.to_string()));
    }

    /// The next try is at the next endpoint.
    pub fn move_on(&mut self) {
        self.at = (self.at + 1) % self.endpoints.len().max(1);
    }

    pub fn endpoints(&self) -> &[SocketAddr] {
        &self.endpoints
    }

    /// One try at one endpoint. Where it brings no answer that counts, the next try is at the next one.
    ///
    /// # Errors
    /// Tells whether it may have happened.
    pub async fn once<A: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        body: bytes::Bytes,
        time: Duration,
    ) -> Result<A, ChangeError> {
        let Some(addr) = self.endpoints.get(self.at).copied() else {
            return Err(ChangeError::NotDone("no endpoint is known".into()));
        };
        let headers = match &self.under {
            Some((duty, fence)) => vec![(DUTY_HEADER, duty.as_str()), (FENCE_HEADER, fence.as_str())],
            None => Vec::new(),
        };
        let call = Call { method, path, headers: &headers, body, most: MAX_REQUEST_BYTES, last: true };
        let done = match Line::new(addr).within(time, call).await {
            Ok(answer) if answer.status.is_success() => match serde_json::from_slice(&answer.body) {
                Ok(told) => return Ok(told),
                Err(e) => Err(ChangeError::Unknown(format!("{addr}: {e}"))),
            },
            Ok(answer) => {
                let refusal = serde_json::from_slice::<ErrorBody>(&answer.body);
                let why = refusal.map_or_else(|_| String::new(), |refusal| refusal.error);
                if answer.status.is_client_error() {
                    return Err(ChangeError::Refused { status: answer.status, why });
                }
                let trouble = format!("{addr}: {} {why}", answer.status);
                match answer.headers.contains_key(shaletrail_registry_protocol::NOT_EXECUTED_HEADER) {
                    true => Err(ChangeError::NotDone(trouble)),
                    false => Err(ChangeError::Unknown(trouble)),
                }
            }
            Err(e) if e.not_run() => Err(ChangeError::NotDone(format!("{addr}: {e}"))),
            Err(e) => Err(ChangeError::Unknown(format!("{addr}: {e}"))),
        };
        self.move_on();
        done
    }

    /// Puts an idempotent call again and again, for so long at the most.
    ///
    /// # Errors
    /// Tells whether it may have happened.
    pub async fn put<A: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        question: &impl Serialize,
        time: Duration,
    ) -> Result<A, ChangeError> {
        let body: bytes::Bytes = serde_json::to_vec(question)?.into();
        let until = Instant::now() + time;
        let mut ran = false;
        let mut tries = 0;
        loop {
            let left = until.saturating_duration_since(Instant::now()).min(CALL_TIME);
            let trouble = match self.once(method.clone(), path, body.clone(), left).await {
                Err(ChangeError::NotDone(trouble)) => trouble,
                Err(ChangeError::Unknown(trouble)) => {
                    ran = true;
                    trouble
                }
                done => return done,
            };
            tries += 1;
            if Instant::now() >= until {
                return Err(if ran { ChangeError::Unknown(trouble) } else { ChangeError::NotDone(trouble) });
            }
            if tries % self.endpoints.len().max(1) == 0 {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    /// One call that changes nothing, and its answer.
    ///
    /// # Errors
    /// The last endpoint's trouble, or an answer that is not what was asked for.
    pub async fn read<A: DeserializeOwned>(&mut self, path: &str, most: usize) -> Result<A, ChangeError> {
        Ok(serde_json::from_slice(&self.get(path, most).await?)?)
    }

    /// The same as bytes.
    ///
    /// # Errors
    /// The last endpoint's trouble.
    pub async fn get(&mut self, path: &str, most: usize) -> Result<bytes::Bytes, ChangeError> {
        let mut trouble = "no endpoint is known".to_owned();
        for _ in 0..self.endpoints.len() {
            let addr = self.endpoints[self.at];
            match Line::new(addr).within(CALL_TIME, Call::get(path, most)).await {
                Ok(answer) if answer.status.is_success() => return Ok(answer.body),
                Ok(answer) => {
                    trouble = format!("{addr}: {} {}", answer.status, String::from_utf8_lossy(&answer.body));
                }
                Err(e) => trouble = format!("{addr}: {e}"),
            }
            self.at = (self.at + 1) % self.endpoints.len();
        }
        Err(ChangeError::NotDone(trouble))
    }
}

/// What stands in ids but not in a path.
const IN_PATH: &AsciiSet =
    &CONTROLS.add(b' ').add(b'"').add(b'#').add(b'%').add(b'/').add(b'<').add(b'>').add(b'?').add(b'`');

/// The path of one entry's call: none, `renew` or `leaving`.
pub fn entry_path(id: &str, call: &str) -> String {
    path_of(INSTANCES_PATH, id, call)
}

/// The path of one duty's call.
pub fn duty_path(name: &str, call: &str) -> String {
    path_of(DUTIES_PATH, name, call)
}

fn path_of(all: &str, name: &str, call: &str) -> String {
    let slash = if call.is_empty() { "" } else { "/" };
    format!("{all}/{}{slash}{call}", utf8_percent_encode(name, IN_PATH))
}
