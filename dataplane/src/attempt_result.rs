//! How an attempt ended, for the exchange that made it.

use bytes::Bytes;
use hyper::http::response::Parts;
use shaletrail_routing::interface::{Ending, Outcome, Verdict};

/// A complete failure response of a server.
pub struct BufferedFailure {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt ended.
pub enum AttemptResult {
    /// A complete success has been forwarded.
    Served(Outcome),
    /// A failure response is buffered, to be forwarded if the router does not retry.
    Failed(Outcome, BufferedFailure),
    /// There is no response to forward.
    NoResponse(Outcome),
}

impl AttemptResult {
    /// The result of an attempt without a usable response.
    pub fn without_response(verdict: Verdict, ending: Ending) -> Self {
        AttemptResult::NoResponse(Outcome { verdict, ending, load: None, retry_after_ms: None })
    }
}
