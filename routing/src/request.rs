//! A request at this edge and its phases.

use std::sync::Arc;

use shaletrail_configuration::RouteKind;
use shaletrail_protocol::Millis;
use shaletrail_ring::Key;

use crate::interface::{Attempt, NewRequest, RejectReason, RequestId, Verdict};
use crate::report::Target;
use crate::server::ServerHandle;
use crate::Options;

/// Clients give a stream up after the longest of: this silence in milliseconds, ...
const MIN_CLIENT_PATIENCE: Millis = 2_000;
/// ... so many times the latency objective, ...
const PATIENCE_PER_LATENCY_TARGET: Millis = 4;
/// ... and so many times the longest pause between events.
const PATIENCE_PER_EVENT_GAP: Millis = 8;

/// A request that has no final answer yet.
#[derive(Debug)]
pub(crate) struct Request {
    /// As it came.
    pub incoming: NewRequest,
    /// What a server must hold.
    pub target: Arc<Target>,
    /// Where it is at home.
    pub key: Key,
    /// When it came.
    pub arrived_at: Millis,
    /// When it must have been answered.
    pub deadline_at: Millis,
    /// The worst verdict of the attempts that have ended.
    pub verdict: Verdict,
    /// Sendings, those that found nobody among them.
    pub attempts: u32,
    /// Sendings that arrived, or may have; the one under way counts.
    pub arrivals: u32,
    /// Servers that it was sent to.
    pub tried: Vec<ServerHandle>,
    /// Servers at which it arrived, or may have, each once.
    pub visited: Vec<ServerHandle>,
    /// While it waits: when servers that it was sent to may be asked again.
    pub not_before: Millis,
    /// The client has the head of a server's answer.
    pub response_started: bool,
    /// The last event of a stream that the client has whole.
    pub last_event: Option<u64>,
    /// What a server that turned it away said about coming back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Request {
    pub fn new(incoming: NewRequest, target: Arc<Target>, key: Key, now: Millis) -> Self {
        let time = incoming.deadline_ms.min(incoming.route.timeout_ms);
        Request {
            incoming,
            target,
            key,
            arrived_at: now,
            deadline_at: now.saturating_add(time),
            verdict: Verdict::NeverSent,
            attempts: 0,
            arrivals: 0,
            tried: Vec::new(),
            visited: Vec::new(),
            not_before: 0,
            response_started: false,
            last_event: None,
            retry_after_ms: None,
        }
    }

    /// Its name.
    pub fn id(&self) -> RequestId {
        self.incoming.id
    }

    /// Prompt tokens that a server has to read. Where it has likely read the parts that others share, these don't
    /// count.
    pub fn prefill_tokens(&self, has_shared_prefix: bool) -> u32 {
        let prompt_tokens = self.incoming.tokens.map_or(0, |(prompt, _)| prompt);
        match self.incoming.prompt.last() {
            Some((_, own)) if has_shared_prefix && self.incoming.prompt.len() > 1 => {
                (*own).min(prompt_tokens)
            }
            _ => prompt_tokens,
        }
    }

    /// Whether it surely has not run, with no attempt out.
    pub fn surely_not_run(&self) -> bool {
        self.verdict <= Verdict::SurelyNotRun
    }

    /// Whether a verdict of the attempts that have ended allows another.
    pub fn may_run_again(&self) -> bool {
        self.surely_not_run() || self.incoming.route.kind.is_idempotent()
    }

    /// Whether its answer, of which a part has been passed on, may go on at another server.
    pub fn is_resumable(&self) -> bool {
        let resumable_route =
            matches!(self.incoming.route.kind, RouteKind::Streaming { resumable: true, .. });
        resumable_route && self.last_event.is_some()
    }

    /// What it is to be told if it gets no other attempt.
    pub fn exhausted_reason(&self) -> RejectReason {
        if self.surely_not_run() {
            RejectReason::Rejected
        } else {
            RejectReason::MayHaveRun
        }
    }

    /// Until when it may be held for a model to come up: for a share of its time, and of the silence after which
    /// clients give a stream up.
    pub fn model_wait_until(&self, options: &Options) -> Millis {
        let time = self.deadline_at - self.arrived_at;
        let wait = (time as f64 * options.model_wait_fraction) as Millis;
        let patience = self
            .client_patience()
            .map_or(Millis::MAX, |silence| (silence as f64 * options.patience_fraction) as Millis);
        self.arrived_at + wait.min(patience)
    }

    /// Milliseconds of silence after which clients give a stream up.
    fn client_patience(&self) -> Option<Millis> {
        let RouteKind::Streaming { gap_target_ms, .. } = self.incoming.route.kind else { return None };
        let by_latency_target =
            self.incoming.route.target_latency_ms.saturating_mul(PATIENCE_PER_LATENCY_TARGET);
        Some(
            MIN_CLIENT_PATIENCE
                .max(by_latency_target)
                .max(gap_target_ms.saturating_mul(PATIENCE_PER_EVENT_GAP)),
        )
    }

    /// Until when it may be held while every server is full.
    pub fn capacity_wait_until(&self, options: &Options) -> Millis {
        let latency_target = self.incoming.route.target_latency_ms as f64;
        (self.arrived_at + (latency_target * options.capacity_wait_fraction) as Millis).min(self.deadline_at)
    }
}

/// Where a request stands between two events.
#[derive(Debug)]
pub(crate) enum Phase {
    /// It waits for a server.
    Queued(Queued),
    /// An attempt is under way.
    InFlight(InFlight),
}

impl Phase {
    /// When time changes something.
    pub fn next_at(&self) -> Millis {
        match self {
            Phase::Queued(queued) => queued.until,
            Phase::InFlight(in_flight) => {
                in_flight.response_check_at.map_or(in_flight.give_up_at, |response_check_at| {
                    response_check_at.min(in_flight.give_up_at)
                })
            }
        }
    }
}

/// A request that waits for a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Queued {
    /// When it is given up.
    pub until: Millis,
    /// Why there was no server when it was last looked for.
    pub reason: RejectReason,
}

/// An attempt under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    /// Its number.
    pub attempt: Attempt,
    /// The server.
    pub server: ServerHandle,
    /// When it was sent.
    pub sent_at: Millis,
    /// When it is given up.
    pub give_up_at: Millis,
    /// When its silence is looked at, where it may be taken elsewhere.
    pub response_check_at: Option<Millis>,
    /// Prompt tokens that the server has to read before it answers, as far as this edge can tell.
    pub prefill: u32,
    /// Whether the answer has begun.
    pub answered: bool,
    /// Whether it is the first sending to that server.
    pub is_first_visit: bool,
    /// Whether it took a repeat of the budget.
    pub is_retry: bool,
    /// Whether the router called it off in order to go elsewhere.
    pub cancelled: bool,
}
