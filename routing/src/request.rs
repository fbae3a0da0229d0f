//! An open request of this edge and its phases.

use std::sync::Arc;

use shaletrail_configuration::RouteKind;
use shaletrail_protocol::Millis;
use shaletrail_ring::Key;

use crate::interface::{Attempt, NewRequest, RejectReason, RequestId, Verdict};
use crate::server::ServerHandle;
use crate::target::Target;
use crate::Options;

/// Clients abandon a stream after the longest of: this time without an event, in milliseconds, ...
const MIN_CLIENT_STREAM_TIMEOUT_MS: Millis = 2_000;
/// ... this multiple of the latency target, ...
const LATENCY_TARGETS_PER_CLIENT_TIMEOUT: Millis = 4;
/// ... and this multiple of the target for the gap between events.
const EVENT_GAPS_PER_CLIENT_TIMEOUT: Millis = 8;

/// A request without a final action yet.
#[derive(Debug)]
pub(crate) struct Request {
    /// The request as the driver received it.
    pub incoming: NewRequest,
    /// The service, model and adapter that it asks for.
    pub target: Arc<Target>,
    /// Its key on the ring.
    pub key: Key,
    /// When it was received.
    pub arrived_at: Millis,
    /// When it must have a response.
    pub deadline_at: Millis,
    /// The worst verdict of the attempts that have ended.
    pub verdict: Verdict,
    /// Attempts, including those that reached no server.
    pub attempts: u32,
    /// Attempts that reached a server, or may have; the one in flight counts.
    pub delivered_attempts: u32,
    /// Servers that it was sent to, which the balancer excludes.
    pub tried_servers: Vec<ServerHandle>,
    /// Servers that it reached, or may have, each once.
    pub visited_servers: Vec<ServerHandle>,
    /// While it is queued: when the servers that it was sent to may be retried.
    pub not_before: Millis,
    /// The client has the head of a server's response.
    pub response_started: bool,
    /// The last complete event of a stream that the client has.
    pub last_event: Option<u64>,
    /// `Retry-After` of the last server that rejected it, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Request {
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

    /// The driver's id of the request.
    pub fn id(&self) -> RequestId {
        self.incoming.id
    }

    /// Prompt tokens that a server has to prefill. Where it has likely cached the shared prefix, only the request's own
    /// part counts.
    pub fn prefill_tokens(&self, has_shared_prefix: bool) -> u32 {
        let prompt_tokens = self.incoming.tokens.map_or(0, |(prompt, _)| prompt);
        match self.incoming.prompt.last() {
            Some((_, own)) if has_shared_prefix && self.incoming.prompt.len() > 1 => {
                (*own).min(prompt_tokens)
            }
            _ => prompt_tokens,
        }
    }

    /// Whether no attempt has run it; holds only without an attempt in flight.
    pub fn surely_not_run(&self) -> bool {
        self.verdict <= Verdict::SurelyNotRun
    }

    /// Whether the verdict of the attempts that have ended allows another.
    pub fn may_run_again(&self) -> bool {
        self.surely_not_run() || self.incoming.route.kind.is_idempotent()
    }

    /// Whether its response, of which the client has a part, may resume at another server.
    pub fn is_resumable(&self) -> bool {
        let resumable_route =
            matches!(self.incoming.route.kind, RouteKind::Streaming { resumable: true, .. });
        resumable_route && self.last_event.is_some()
    }

    /// The reason of the rejection when no attempt is left.
    pub fn exhausted_reason(&self) -> RejectReason {
        if self.surely_not_run() {
            RejectReason::Rejected
        } else {
            RejectReason::MayHaveRun
        }
    }

    /// Until when it may be queued for a model to load: a fraction of its time, and of the client's patience.
    pub fn model_wait_until(&self, options: &Options) -> Millis {
        let total_time = self.deadline_at - self.arrived_at;
        let wait = (total_time as f64 * options.model_wait_fraction) as Millis;
        let client_timeout = self.client_stream_timeout().map_or(Millis::MAX, |client_timeout| {
            (client_timeout as f64 * options.client_timeout_fraction) as Millis
        });
        self.arrived_at + wait.min(client_timeout)
    }

    /// How long clients wait for a stream's next event, in milliseconds.
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

    /// Until when it may be queued while every server is full.
    pub fn capacity_wait_until(&self, options: &Options) -> Millis {
        let latency_target = self.incoming.route.target_latency_ms as f64;
        (self.arrived_at + (latency_target * options.capacity_wait_fraction) as Millis).min(self.deadline_at)
    }
}

/// The phase of a request between two events.
#[derive(Debug)]
pub(crate) enum Phase {
    /// It is queued for a server.
    Queued(Queued),
    /// An attempt is in flight.
    InFlight(InFlight),
}

impl Phase {
    /// When its timer is due.
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
    /// When the wait is over.
    pub until: Millis,
    /// Why the balancer selected no server the last time.
    pub reason: RejectReason,
}

/// The state of an attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    /// The number of the attempt.
    pub attempt: Attempt,
    /// The server.
    pub server: ServerHandle,
    /// When it was sent.
    pub sent_at: Millis,
    /// When it times out.
    pub timeout_at: Millis,
    /// When the response time-out is checked, where the request may move to another server.
    pub response_check_at: Option<Millis>,
    /// Prompt tokens that the server has to prefill before it responds, as estimated by this edge.
    pub prefill: u32,
    /// Whether the response has begun.
    pub has_response: bool,
    /// Whether it is the request's first attempt at that server.
    pub is_first_visit: bool,
    /// Whether it is a retry, withdrawn from the budget.
    pub is_retry: bool,
    /// Whether the router cancelled it in order to retry at another server.
    pub cancelled: bool,
}
