//! An open request of this edge, and its phases.

use std::sync::Arc;

use shaletrail_configuration::RouteKind;
use shaletrail_protocol::Millis;
use shaletrail_ring::Key;

use crate::interface::{Attempt, NewRequest, RejectReason, RequestId, Verdict};
use crate::server::ServerHandle;
use crate::target::Target;
use crate::Options;

/// Clients abandon a stream if no event arrives for a certain time. It is the longest of this constant, a
/// multiple of the latency target, and a multiple of the target for gaps between events.
const MIN_CLIENT_STREAM_TIMEOUT_MS: Millis = 2_000;
/// Multiple of the latency target after which clients abandon a stream without events.
const LATENCY_TARGETS_PER_CLIENT_TIMEOUT: Millis = 4;
/// Multiple of the target for gaps between events after which clients abandon a stream without events.
const EVENT_GAPS_PER_CLIENT_TIMEOUT: Millis = 8;

/// A request that has not ended yet.
#[derive(Debug)]
pub(crate) struct Request {
    pub incoming: NewRequest,
    pub target: Arc<Target>,
    /// The key by which the balancer selects its server.
    pub key: Key,
    pub arrived_at: Millis,
    /// When the client must have a response.
    pub deadline_at: Millis,
    /// The highest verdict over all ended attempts. The head of a successful response also sets it.
    pub verdict: Verdict,
    /// Number of attempts, including those that reached no server.
    pub attempts: u32,
    /// Number of attempts that reached a server or may have, including the attempt in flight.
    pub delivered_attempts: u32,
    /// Servers to which an attempt was sent, and which the balancer therefore excludes.
    pub tried_servers: Vec<ServerHandle>,
    /// Distinct servers that the request reached or may have reached.
    pub visited_servers: Vec<ServerHandle>,
    /// While the request is queued, the earliest time at which it may be dispatched.
    pub not_before: Millis,
    /// Whether the head of a server's response was forwarded to the client.
    pub response_started: bool,
    /// Id of the last complete stream event that was forwarded to the client.
    pub last_event: Option<u64>,
    /// The last `Retry-After` that a server sent for this request, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Request {
    /// Creates a request that arrived at `now`. Its deadline is the earlier of the client's and the route's.
    pub fn new(incoming: NewRequest, target: Arc<Target>, key: Key, now: Millis) -> Self {
        let timeout_ms = incoming.deadline_ms.min(incoming.route.timeout_ms);
        Request {
            incoming,
            target,
            key,
            arrived_at: now,
            deadline_at: now.saturating_add(timeout_ms),
            verdict: Verdict::NeverSent,
            attempts: 0,
            delivered_attempts: 0,
            tried_servers: Vec::new(),
            visited_servers: Vec::new(),
            not_before: 0,
            response_started: false,
            last_event: None,
            retry_after_ms: None,
        }
    }

    /// The id by which the driver refers to the request.
    pub fn id(&self) -> RequestId {
        self.incoming.id
    }

    /// Estimated number of prompt tokens that a server has to prefill. If the server has likely cached the
    /// shared prefix, only the last part of the prompt counts.
    pub fn prefill_tokens(&self, has_shared_prefix: bool) -> u32 {
        let prompt_tokens = self.incoming.tokens.map_or(0, |(prompt, _)| prompt);
        match self.incoming.prompt.last() {
            Some((_, own)) if has_shared_prefix && self.incoming.prompt.len() > 1 => {
                (*own).min(prompt_tokens)
            }
            _ => prompt_tokens,
        }
    }

    /// Whether the request has certainly not run. This does not cover an attempt that is in flight.
    pub fn surely_not_run(&self) -> bool {
        self.verdict <= Verdict::SurelyNotRun
    }

    /// Whether another attempt is allowed: the request has certainly not run, or it is idempotent.
    pub fn may_run_again(&self) -> bool {
        self.surely_not_run() || self.incoming.route.kind.is_idempotent()
    }

    /// Whether the response, which the client has received in part, may be resumed at another server.
    pub fn is_resumable(&self) -> bool {
        let resumable_route =
            matches!(self.incoming.route.kind, RouteKind::Streaming { resumable: true, .. });
        resumable_route && self.last_event.is_some()
    }

    /// The reason for rejecting the request when no further attempt is allowed.
    pub fn exhausted_reason(&self) -> RejectReason {
        if self.surely_not_run() {
            RejectReason::Rejected
        } else {
            RejectReason::MayHaveRun
        }
    }

    /// Until when the request may be queued for a model to load. The wait is a fraction of the time until its
    /// deadline, limited to a fraction of the client's time-out for stream events.
    pub fn model_wait_until(&self, options: &Options) -> Millis {
        let total_time = self.deadline_at - self.arrived_at;
        let wait = (total_time as f64 * options.model_wait_fraction) as Millis;
        let client_timeout = self.client_stream_timeout().map_or(Millis::MAX, |client_timeout| {
            (client_timeout as f64 * options.client_timeout_fraction) as Millis
        });
        self.arrived_at + wait.min(client_timeout)
    }

    /// How long clients wait for the next event of a stream, in milliseconds; `None` if the request is not a
    /// stream.
    fn client_stream_timeout(&self) -> Option<Millis> {
        let RouteKind::Streaming { gap_target_ms, .. } = self.incoming.route.kind else { return None };
        let by_latency_target =
            self.incoming.route.target_latency_ms.saturating_mul(LATENCY_TARGETS_PER_CLIENT_TIMEOUT);
        Some(
            MIN_CLIENT_STREAM_TIMEOUT_MS
                .max(by_latency_target)
                .max(gap_target_ms.saturating_mul(EVENT_GAPS_PER_CLIENT_TIMEOUT)),
        )
    }

    /// Until when the request may be queued while every server is full.
    pub fn capacity_wait_until(&self, options: &Options) -> Millis {
        let latency_target = self.incoming.route.target_latency_ms as f64;
        (self.arrived_at + (latency_target * options.capacity_wait_fraction) as Millis).min(self.deadline_at)
    }
}

/// What an open request is waiting for.
#[derive(Debug)]
pub(crate) enum Phase {
    /// The request waits for a server.
    Queued(Queued),
    InFlight(InFlight),
}

impl Phase {
    /// When the timer of the request is due.
    pub fn timer_at(&self) -> Millis {
        match self {
            Phase::Queued(queued) => queued.until,
            Phase::InFlight(in_flight) => {
                in_flight.response_check_at.map_or(in_flight.timeout_at, |at| at.min(in_flight.timeout_at))
            }
        }
    }
}

/// The state of a queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Queued {
    /// When the request is rejected if no server has become available.
    pub until: Millis,
    /// The reason for which the request would be rejected.
    pub reason: RejectReason,
}

/// The state of an attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub attempt: Attempt,
    pub server: ServerHandle,
    pub sent_at: Millis,
    /// When the attempt times out, shortly after the deadline of the request.
    pub timeout_at: Millis,
    /// When the response time-out is checked next. `None` if it is not checked because the request is not
    /// idempotent, the first event has arrived, or the attempt was cancelled.
    pub response_check_at: Option<Millis>,
    /// Estimated number of prompt tokens that the server has to prefill before it responds.
    pub prefill: u32,
    pub has_response: bool,
    /// Whether this is the request's first attempt at the server.
    pub is_first_visit: bool,
    /// Whether this is a retry that was withdrawn from the retry budget.
    pub is_retry: bool,
    /// Whether the router has cancelled the attempt in order to retry at another server.
    pub cancelled: bool,
}
