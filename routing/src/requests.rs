//! A request at this edge and its phases.

use std::sync::Arc;

use shaletrail_configuration::RouteKind;
use shaletrail_protocol::Millis;
use shaletrail_ring::Key;

use crate::interface::{Attempt, NewRequest, RejectReason, RequestId, Verdict};
use crate::report::Wanted;
use crate::servers::ServerHandle;
use crate::Options;

/// Clients give a stream up after the longest of: this silence in milliseconds, ...
const LEAST_SILENCE: Millis = 2_000;
/// ... so many times the latency objective, ...
const SILENCE_PER_AIM: Millis = 4;
/// ... and so many times the longest pause between events.
const SILENCE_PER_PAUSE: Millis = 8;

/// A request that has no final answer yet.
#[derive(Debug)]
pub(crate) struct Request {
    /// As it came.
    pub new: NewRequest,
    /// What a server must hold.
    pub wanted: Arc<Wanted>,
    /// Where it is at home.
    pub key: Key,
    /// When it came.
    pub arrived_at: Millis,
    /// When it must have been answered.
    pub deadline_at: Millis,
    /// The worst verdict of the attempts that have ended.
    pub verdict: Verdict,
    /// Sendings, those that found nobody among them.
    pub sendings: u32,
    /// Sendings that arrived, or may have; the one under way counts.
    pub arrivals: u32,
    /// Servers that it was sent to.
    pub tried: Vec<ServerHandle>,
    /// Servers at which it arrived, or may have, each once.
    pub visited: Vec<ServerHandle>,
    /// While it waits: when servers that it was sent to may be asked again.
    pub not_before: Millis,
    /// The client has the head of a server's answer.
    pub head_passed: bool,
    /// The last event of a stream that the client has whole.
    pub last_event: Option<u64>,
    /// What a server that turned it away said about coming back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Request {
    pub fn new(new: NewRequest, wanted: Arc<Wanted>, key: Key, now: Millis) -> Self {
        let time = new.deadline_ms.min(new.route.timeout_ms);
        Request {
            new,
            wanted,
            key,
            arrived_at: now,
            deadline_at: now.saturating_add(time),
            verdict: Verdict::NeverSent,
            sendings: 0,
            arrivals: 0,
            tried: Vec::new(),
            visited: Vec::new(),
            not_before: 0,
            head_passed: false,
            last_event: None,
            retry_after_ms: None,
        }
    }

    /// Its name.
    pub fn id(&self) -> RequestId {
        self.new.id
    }

    /// Prompt tokens that a server has to read. Where it has likely read the parts that others share, these don't
    /// count.
    pub fn prefill(&self, shared_are_there: bool) -> u32 {
        let whole = self.new.tokens.map_or(0, |(prompt, _)| prompt);
        match self.new.prompt.last() {
            Some((_, own)) if shared_are_there && self.new.prompt.len() > 1 => (*own).min(whole),
            _ => whole,
        }
    }

    /// Whether it surely has not run, with no attempt out.
    pub fn surely_not_run(&self) -> bool {
        self.verdict <= Verdict::SurelyNotRun
    }

    /// Whether a verdict of the attempts that have ended allows another.
    pub fn may_run_again(&self) -> bool {
        self.surely_not_run() || self.new.route.kind.is_idempotent()
    }

    /// Whether its answer, of which a part has been passed on, may go on at another server.
    pub fn may_be_taken_up(&self) -> bool {
        let is_resumable = matches!(self.new.route.kind, RouteKind::Streaming { resumable: true, .. });
        is_resumable && self.last_event.is_some()
    }

    /// What it is to be told if it gets no other attempt.
    pub fn reason_to_end(&self) -> RejectReason {
        if self.surely_not_run() {
            RejectReason::Rejected
        } else {
            RejectReason::MayHaveRun
        }
    }

    /// Until when it may be held for a model to come up: for a share of its time, and of the silence after which
    /// clients give a stream up.
    pub fn model_until(&self, options: &Options) -> Millis {
        let time = self.deadline_at - self.arrived_at;
        let held = (time as f64 * options.hold_share) as Millis;
        let patience = self
            .silence_borne()
            .map_or(Millis::MAX, |silence| (silence as f64 * options.silence_share) as Millis);
        self.arrived_at + held.min(patience)
    }

    /// Milliseconds of silence after which clients give a stream up.
    fn silence_borne(&self) -> Option<Millis> {
        let RouteKind::Streaming { gap_target_ms, .. } = self.new.route.kind else { return None };
        let by_aim = self.new.route.target_latency_ms.saturating_mul(SILENCE_PER_AIM);
        Some(LEAST_SILENCE.max(by_aim).max(gap_target_ms.saturating_mul(SILENCE_PER_PAUSE)))
    }

    /// Until when it may be held while every server is full.
    pub fn full_until(&self, options: &Options) -> Millis {
        let aim = self.new.route.target_latency_ms as f64;
        (self.arrived_at + (aim * options.full_hold_share) as Millis).min(self.deadline_at)
    }
}

/// Where a request stands between two events.
#[derive(Debug)]
pub(crate) enum Phase {
    /// It waits for a server.
    Held(Held),
    /// An attempt is under way.
    Out(Out),
}

impl Phase {
    /// When time changes something.
    pub fn next_at(&self) -> Millis {
        match self {
            Phase::Held(held) => held.until,
            Phase::Out(out) => out.silent_at.map_or(out.until, |silent_at| silent_at.min(out.until)),
        }
    }
}

/// A request that waits for a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    /// When it is given up.
    pub until: Millis,
    /// Why there was no server when it was last looked for.
    pub reason: RejectReason,
}

/// An attempt under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Out {
    /// Its number.
    pub attempt: Attempt,
    /// The server.
    pub server: ServerHandle,
    /// When it was sent.
    pub sent_at: Millis,
    /// When it is given up.
    pub until: Millis,
    /// When its silence is looked at, where it may be taken elsewhere.
    pub silent_at: Option<Millis>,
    /// Prompt tokens that the server has to read before it answers, as far as this edge can tell.
    pub prefill: u32,
    /// Whether the answer has begun.
    pub answered: bool,
    /// Whether it is the first sending to that server.
    pub first_visit: bool,
    /// Whether it took a repeat of the budget.
    pub repeat: bool,
    /// Whether the router called it off in order to go elsewhere.
    pub called_off: bool,
}
