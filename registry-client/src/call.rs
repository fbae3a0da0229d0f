//! HTTP client that sends one call at a time to one address. It never retries, because only the caller knows
//! whether a call may be sent twice.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{header, HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A response whose body was received completely.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was established, so the call was certainly not executed.
    #[error("not reached: {0}")]
    NotReached(std::io::Error),
    /// The connection failed; the call may have been executed.
    #[error("broke off: {0}")]
    Broken(#[from] hyper::Error),
    #[error("an answer longer than {0} bytes")]
    TooLong(usize),
    #[error("no answer within {} ms", .0.as_millis())]
    TooLate(Duration),
    #[error("the call can't be put: {0}")]
    Unusable(#[from] hyper::http::Error),
}

impl CallError {
    /// Whether the call was certainly not executed.
    pub fn not_run(&self) -> bool {
        matches!(self, CallError::NotReached(_) | CallError::Unusable(_))
    }
}

type ConnectionTask = Pin<Box<dyn Future<Output = hyper::Result<()>> + Send>>;

/// A client of one address. It can keep its connection open between calls. The connection is polled only
/// during a call.
pub struct HttpClient {
    addr: SocketAddr,
    open: Option<(SendRequest<Full<Bytes>>, ConnectionTask)>,
}

/// A request to be sent.
pub struct Call<'a> {
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    pub headers: &'a [(&'static str, &'a str)],
    pub body: Bytes,
    /// Longest response body that is accepted, in bytes.
    pub max_bytes: usize,
    /// Whether to close the connection after this call.
    pub close: bool,
}

impl<'a> Call<'a> {
    /// A `GET` without headers or body that closes the connection. `max_bytes` limits the response body.
    pub fn get(path: &'a str, max_bytes: usize) -> Self {
        Call { method: Method::GET, path, headers: &[], body: Bytes::new(), max_bytes, close: true }
    }
}

impl HttpClient {
    /// Creates a client without a connection. The first call opens one.
    pub fn new(addr: SocketAddr) -> Self {
        HttpClient { addr, open: None }
    }

    /// Whether the connection of an earlier call is still open.
    pub fn is_open(&self) -> bool {
        self.open.as_ref().is_some_and(|(sender, _)| !sender.is_closed())
    }

    /// Sends the call and waits at most `time` for the response. If the call fails or its future is dropped,
    /// its connection is closed.
    ///
    /// # Errors
    /// [`CallError::not_run`] tells whether the call may have been executed.
    pub async fn send(&mut self, time: Duration, call: Call<'_>) -> Result<Answer, CallError> {
        tokio::time::timeout(time, self.call(call)).await.unwrap_or(Err(CallError::TooLate(time)))
    }

    async fn call(&mut self, call: Call<'_>) -> Result<Answer, CallError> {
        // A kept connection that the other side has closed in the meantime is replaced by a new one.
        let kept = self.open.take().filter(|(sender, _)| !sender.is_closed());
        let (mut sender, mut connection_task) = match kept {
            Some(open) => open,
            None => connect(self.addr).await?,
        };
        let host = self.addr.to_string();
        let mut request = Request::builder().method(call.method).uri(call.path).header(header::HOST, &host);
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        if !call.body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        if call.close {
            request = request.header(header::CONNECTION, "close");
        }
        let request = request.body(Full::new(call.body))?;
        let max_bytes = call.max_bytes;
        let exchange = async {
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, max_bytes).collect().await.map_err(|e| {
                match e.downcast::<hyper::Error>() {
                    Ok(e) => CallError::Broken(*e),
                    Err(_) => CallError::TooLong(max_bytes),
                }
            })?;
            Ok(Answer { status: head.status, headers: head.headers, body: body.to_bytes() })
        };
        let (answer, closed) = {
            let mut exchange = std::pin::pin!(exchange);
            tokio::select! {
                answer = &mut exchange => (answer, false),
                _ = &mut connection_task => (exchange.await, true),
            }
        };
        if answer.is_ok() && !call.close && !closed {
            self.open = Some((sender, connection_task));
        }
        answer
    }
}

async fn connect(addr: SocketAddr) -> Result<(SendRequest<Full<Bytes>>, ConnectionTask), CallError> {
    let stream = TcpStream::connect(addr).await.map_err(CallError::NotReached)?;
    stream.set_nodelay(true).map_err(CallError::NotReached)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    Ok((sender, Box::pin(connection)))
}
