//! One HTTP call at a time to one address. Nothing is sent twice: what became of a call is the caller's to judge.

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

/// An answer whose body has come whole.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Why a call brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The other side surely has not acted.
    #[error("not reached: {0}")]
    NotReached(std::io::Error),
    /// It may have.
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
    pub fn not_run(&self) -> bool {
        matches!(self, CallError::NotReached(_) | CallError::Unusable(_))
    }
}

type Driving = Pin<Box<dyn Future<Output = hyper::Result<()>> + Send>>;

/// A line to one address. Its connection is kept between calls, and driven only in them.
pub struct Line {
    addr: SocketAddr,
    open: Option<(SendRequest<Full<Bytes>>, Driving)>,
}

/// A call to put.
pub struct Call<'a> {
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    pub headers: &'a [(&'static str, &'a str)],
    pub body: Bytes,
    /// Most bytes that the answer may have.
    pub most: usize,
    /// The connection is for this call only.
    pub last: bool,
}

impl<'a> Call<'a> {
    pub fn get(path: &'a str, most: usize) -> Self {
        Call { method: Method::GET, path, headers: &[], body: Bytes::new(), most, last: true }
    }
}

impl Line {
    pub fn new(addr: SocketAddr) -> Self {
        Line { addr, open: None }
    }

    /// A connection of an earlier call is kept.
    pub fn is_open(&self) -> bool {
        self.open.as_ref().is_some_and(|(sender, _)| !sender.is_closed())
    }

    /// Puts the call within this time. A call that is dropped or fails takes its connection with it.
    ///
    /// # Errors
    /// Tells whether the other side may have acted.
    pub async fn within(&mut self, time: Duration, call: Call<'_>) -> Result<Answer, CallError> {
        tokio::time::timeout(time, self.call(call)).await.unwrap_or(Err(CallError::TooLate(time)))
    }

    async fn call(&mut self, call: Call<'_>) -> Result<Answer, CallError> {
        // A kept connection that the other side has closed since is no failure yet.
        let kept = self.open.take().filter(|(sender, _)| !sender.is_closed());
        let (mut sender, mut driving) = match kept {
            Some(open) => open,
            None => open(self.addr).await?,
        };
        let host = self.addr.to_string();
        let mut request = Request::builder().method(call.method).uri(call.path).header(header::HOST, &host);
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        if !call.body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        if call.last {
            request = request.header(header::CONNECTION, "close");
        }
        let request = request.body(Full::new(call.body))?;
        let most = call.most;
        let exchange = async {
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            let (head, body) = response.into_parts();
            let body =
                Limited::new(body, most).collect().await.map_err(|e| match e.downcast::<hyper::Error>() {
                    Ok(e) => CallError::Broken(*e),
                    Err(_) => CallError::TooLong(most),
                })?;
            Ok(Answer { status: head.status, headers: head.headers, body: body.to_bytes() })
        };
        let (answer, over) = {
            let mut exchange = std::pin::pin!(exchange);
            tokio::select! {
                answer = &mut exchange => (answer, false),
                _ = &mut driving => (exchange.await, true),
            }
        };
        if answer.is_ok() && !call.last && !over {
            self.open = Some((sender, driving));
        }
        answer
    }
}

async fn open(addr: SocketAddr) -> Result<(SendRequest<Full<Bytes>>, Driving), CallError> {
    let stream = TcpStream::connect(addr).await.map_err(CallError::NotReached)?;
    stream.set_nodelay(true).map_err(CallError::NotReached)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    Ok((sender, Box::pin(connection)))
}
