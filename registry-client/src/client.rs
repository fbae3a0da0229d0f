//! Client of the registry's operator API. It retries changes until they are acknowledged or refused, which is
//! safe because every change is idempotent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use percent_encoding::{utf8_percent_encode, AsciiSet, CONTROLS};
use serde::de::DeserializeOwned;
use serde::Serialize;
use shaletrail_registry_protocol::duty::{Fence, DUTIES_PATH, DUTY_HEADER, FENCE_HEADER};
use shaletrail_registry_protocol::{ErrorBody, INSTANCES_PATH, MAX_REQUEST_BYTES};

use crate::call::{Call, HttpClient};

/// Timeout of one call to one endpoint. It is above the leader's own time limit for a change.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause after all endpoints have been tried once.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Why a change was not acknowledged.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The service refused the change, and it was not made.
    #[error("refused ({status}): {why}")]
    Refused { status: StatusCode, why: String },
    /// No endpoint accepted the change in time, and it was certainly not made.
    #[error("not executed: {0}")]
    NotDone(String),
    /// The change may have been made, or may still be made.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    #[error("invalid JSON: {0}")]
    Unusable(#[from] serde_json::Error),
}

/// A client of the registry's operator API with one or more endpoints. A call starts at the endpoint that
/// last answered.
pub struct RegistryClient {
    endpoints: Vec<SocketAddr>,
    current: usize,
    /// The duty and the fencing number that are sent with each change.
    fence_headers: Option<(String, String)>,
}

impl RegistryClient {
    /// Creates a client without a fence that starts at the first endpoint. It does no I/O.
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        RegistryClient { endpoints, current: 0, fence_headers: None }
    }

    /// Sets the fence that is sent with every change from now on. The registry refuses a change whose fence
    /// is no longer the holder's.
    pub fn set_fence(&mut self, fence: Option<&Fence>) {
        self.fence_headers = fence.map(|fence| (fence.duty.clone(), fence.fence.to_string()));
    }

    /// Sends the next call to the next endpoint.
    pub fn use_next_endpoint(&mut self) {
        self.current = (self.current + 1) % self.endpoints.len().max(1);
    }

    /// All endpoints, in the order in which they are tried.
    pub fn endpoints(&self) -> &[SocketAddr] {
        &self.endpoints
    }

    /// Sends a call once, to one endpoint. If it neither succeeds nor is refused, the next call goes to the
    /// next endpoint.
    ///
    /// # Errors
    /// Tells whether the change may have been made.
    pub async fn send_once<A: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        body: bytes::Bytes,
        time: Duration,
    ) -> Result<A, ChangeError> {
        let Some(addr) = self.endpoints.get(self.current).copied() else {
            return Err(ChangeError::NotDone("no endpoint configured".into()));
        };
        let headers = match &self.fence_headers {
            Some((duty, fence)) => vec![(DUTY_HEADER, duty.as_str()), (FENCE_HEADER, fence.as_str())],
            None => Vec::new(),
        };
        let call = Call { method, path, headers: &headers, body, max_bytes: MAX_REQUEST_BYTES, close: true };
        let result = match HttpClient::new(addr).send(time, call).await {
            Ok(answer) if answer.status.is_success() => match serde_json::from_slice(&answer.body) {
                Ok(value) => return Ok(value),
                Err(e) => Err(ChangeError::Unknown(format!("{addr}: {e}"))),
            },
            Ok(answer) => {
                let refusal = serde_json::from_slice::<ErrorBody>(&answer.body);
                let why = refusal.map_or_else(|_| String::new(), |refusal| refusal.error);
                if answer.status.is_client_error() {
                    return Err(ChangeError::Refused { status: answer.status, why });
                }
                let failure = format!("{addr}: {} {why}", answer.status);
                match answer.headers.contains_key(shaletrail_registry_protocol::NOT_EXECUTED_HEADER) {
                    true => Err(ChangeError::NotDone(failure)),
                    false => Err(ChangeError::Unknown(failure)),
                }
            }
            Err(e) if e.not_run() => Err(ChangeError::NotDone(format!("{addr}: {e}"))),
            Err(e) => Err(ChangeError::Unknown(format!("{addr}: {e}"))),
        };
        self.use_next_endpoint();
        result
    }

    /// Sends an idempotent call, and retries it at all endpoints in turn for at most `time`.
    ///
    /// # Errors
    /// Tells whether the change may have been made.
    pub async fn send<A: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        request: &impl Serialize,
        time: Duration,
    ) -> Result<A, ChangeError> {
        let body: bytes::Bytes = serde_json::to_vec(request)?.into();
        let deadline = Instant::now() + time;
        let mut maybe_made = false;
        let mut attempts = 0;
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now()).min(CALL_TIMEOUT);
            let failure = match self.send_once(method.clone(), path, body.clone(), time_left).await {
                Err(ChangeError::NotDone(failure)) => failure,
                Err(ChangeError::Unknown(failure)) => {
                    maybe_made = true;
                    failure
                }
                result => return result,
            };
            attempts += 1;
            if Instant::now() >= deadline {
                return Err(if maybe_made {
                    ChangeError::Unknown(failure)
                } else {
                    ChangeError::NotDone(failure)
                });
            }
            if attempts % self.endpoints.len().max(1) == 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
        }
    }

    /// Reads a resource as JSON from the first endpoint that answers.
    ///
    /// # Errors
    /// The failure of the last endpoint, or a response that is not the expected JSON.
    pub async fn read<A: DeserializeOwned>(
        &mut self,
        path: &str,
        max_bytes: usize,
    ) -> Result<A, ChangeError> {
        Ok(serde_json::from_slice(&self.get(path, max_bytes).await?)?)
    }

    /// Reads a resource as bytes from the first endpoint that answers, at most `max_bytes` bytes long.
    ///
    /// # Errors
    /// The failure of the last endpoint.
    pub async fn get(&mut self, path: &str, max_bytes: usize) -> Result<bytes::Bytes, ChangeError> {
        let mut failure = "no endpoint configured".to_owned();
        for _ in 0..self.endpoints.len() {
            let addr = self.endpoints[self.current];
            match HttpClient::new(addr).send(CALL_TIMEOUT, Call::get(path, max_bytes)).await {
                Ok(answer) if answer.status.is_success() => return Ok(answer.body),
                Ok(answer) => {
                    failure = format!("{addr}: {} {}", answer.status, String::from_utf8_lossy(&answer.body));
                }
                Err(e) => failure = format!("{addr}: {e}"),
            }
            self.current = (self.current + 1) % self.endpoints.len();
        }
        Err(ChangeError::NotDone(failure))
    }
}

/// Characters of ids that are percent-encoded in a path.
const PATH_ENCODE_SET: &AsciiSet =
    &CONTROLS.add(b' ').add(b'"').add(b'#').add(b'%').add(b'/').add(b'<').add(b'>').add(b'?').add(b'`');

/// The path of a call for one entry. `call` is empty, `renew` or `leaving`.
pub fn entry_path(id: &str, call: &str) -> String {
    resource_path(INSTANCES_PATH, id, call)
}

/// The path of a call for one duty. `call` is empty for the duty itself.
pub fn duty_path(name: &str, call: &str) -> String {
    resource_path(DUTIES_PATH, name, call)
}

fn resource_path(collection: &str, name: &str, call: &str) -> String {
    let slash = if call.is_empty() { "" } else { "/" };
    format!("{collection}/{}{slash}{call}", utf8_percent_encode(name, PATH_ENCODE_SET))
}
