//! The result of an attempt, returned to the exchange that made it.

use bytes::Bytes;
use hyper::http::response::Parts;
use shaletrail_routing::interface::{Ending, Outcome, Verdict};

/// A complete failure response of a server.
pub struct BufferedFailure {
    pub head: Parts,
    pub body: Bytes,
}

/// How an attempt ended, with the outcome that is reported to the router.
pub enum AttemptResult {
    /// A successful response has been forwarded completely.
    Served(Outcome),
    /// A failure response has been buffered; it is forwarded if the router does not retry.
    Failed(Outcome, BufferedFailure),
    /// There is no response to forward, or only part of one was forwarded.
    NoResponse(Outcome),
}

impl AttemptResult {
    /// A result that carries neither the server's load nor a `Retry-After`.
    pub fn without_response(verdict: Verdict, ending: Ending) -> Self {
        AttemptResult::NoResponse(Outcome { verdict, ending, load: None, retry_after_ms: None })
    }
}
