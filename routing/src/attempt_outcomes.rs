//! Evaluation of an attempt's outcome: it updates the request's verdict, the server's load, capacity and
//! failures, and the retry budget.

use rand::Rng;
use shaletrail_protocol::Millis;

use crate::failure_accrual::FailureKind;
use crate::interface::{Action, Ending, Outcome, Verdict};
use crate::request::{InFlight, Request};
use crate::router::Router;

/// 421 Misdirected Request: the server is not the expected instance, or does not have the model loaded.
const STATUS_MISDIRECTED_REQUEST: u16 = 421;
/// After a stale connection, the same server may be tried again while the request has made fewer attempts
/// than this.
const MAX_STALE_CONNECTION_ATTEMPTS: u32 = 3;

/// A rejection of an attempt by a server.
struct ServerRejection<'a> {
    status: u16,
    /// Id of the instance that responded, if the response contains it.
    instance: Option<&'a str>,
}

impl Router {
    /// Updates the request's verdict, the server's state and the retry budget after the end of an attempt.
    pub(crate) fn record_outcome(
        &mut self,
        now: Millis,
        request: &mut Request,
        in_flight: &InFlight,
        outcome: &Outcome,
        actions: &mut Vec<Action>,
    ) {
        self.record_verdict(now, request, in_flight, outcome);
        self.record_server_load(now, in_flight, outcome);
        match &outcome.ending {
            Ending::Rejected { status, instance } => {
                let rejection = ServerRejection { status: *status, instance: instance.as_deref() };
                self.record_rejection(now, request, in_flight, outcome, rejection, actions);
            }
            _ if in_flight.cancelled => {}
            ending => self.record_health(now, in_flight, ending),
        }
    }

    fn record_verdict(
        &mut self,
        now: Millis,
        request: &mut Request,
        in_flight: &InFlight,
        outcome: &Outcome,
    ) {
        let pool = self.pools.get_mut(&request.target.service);
        if outcome.verdict == Verdict::NeverSent {
            request.delivered_attempts = request.delivered_attempts.saturating_sub(1);
            if in_flight.is_first_visit {
                request.visited_servers.retain(|server| *server != in_flight.server);
            }
            if in_flight.is_retry {
                pool.into_iter().for_each(|pool| pool.budget.refund(now));
            }
            if outcome.ending == Ending::StaleConnection && request.attempts < MAX_STALE_CONNECTION_ATTEMPTS {
                request.tried_servers.retain(|server| *server != in_flight.server);
            }
            return;
        }
        self.counters.retries += u64::from(in_flight.is_retry);
        request.verdict = request.verdict.max(outcome.verdict);
        request.retry_after_ms = outcome.retry_after_ms.or(request.retry_after_ms);
        if let Ending::Truncated { last_event, .. } = outcome.ending {
            request.last_event = last_event.or(request.last_event);
        }
        if matches!(outcome.ending, Ending::Served | Ending::Failed { .. }) {
            pool.into_iter().for_each(|pool| pool.record_completion(now, now - in_flight.sent_at));
        }
    }

    fn record_server_load(&mut self, now: Millis, in_flight: &InFlight, outcome: &Outcome) {
        let has_response =
            matches!(outcome.ending, Ending::Served | Ending::Failed { .. } | Ending::Rejected { .. });
        let Some(server) = self.servers.get_mut(in_flight.server).filter(|_| has_response) else { return };
        server.last_response_at = now;
        if let Some(load) = outcome.load {
            server.record_load(now, load);
        }
    }

    fn record_rejection(
        &mut self,
        now: Millis,
        request: &Request,
        in_flight: &InFlight,
        outcome: &Outcome,
        rejection: ServerRejection<'_>,
        actions: &mut Vec<Action>,
    ) {
        let full_ms = self.rejection_backoff(&request.target.service, outcome.retry_after_ms);
        let Some(server) = self.servers.get_mut(in_flight.server) else { return };
        server.health.readmit();
        if rejection.status == STATUS_MISDIRECTED_REQUEST
            && rejection.instance.is_some_and(|instance| instance != server.record.id)
        {
            server.mark_displaced();
            server.outcomes.unreachable += 1;
            self.close_connections(in_flight.server, actions);
        } else if rejection.status == STATUS_MISDIRECTED_REQUEST {
            server.record_missing_model(&request.target, now + self.options.missing_model_ttl_ms);
        } else if outcome.load.is_some_and(|load| load.waiting == 0 && load.running < load.slots) {
            // The server has free slots, so the rejection concerns the model, which is being loaded or
            // evicted.
            server.record_missing_model(&request.target, now + full_ms);
            server.record_full_without_models(now + full_ms);
        } else {
            server.record_full(now + full_ms);
        }
    }

    /// How long a server that rejected a request counts as full, in milliseconds. It is at most the mean
    /// latency of the service, since slots become free sooner where requests are short.
    fn rejection_backoff(&mut self, service: &str, retry_after_ms: Option<Millis>) -> Millis {
        let max_backoff = self.options.max_full_ttl_ms;
        let capped_mean_latency = self
            .pools
            .get(service)
            .map_or(max_backoff, |pool| pool.mean_latency_ms())
            .clamp(1, max_backoff.max(1));
        let min_backoff = self.options.min_full_ttl_ms.min(capped_mean_latency);
        retry_after_ms
            .unwrap_or_else(|| self.random.random_range(min_backoff..=capped_mean_latency))
            .clamp(min_backoff, capped_mean_latency)
    }

    fn record_health(&mut self, now: Millis, in_flight: &InFlight, ending: &Ending) {
        let Some(server) = self.servers.get_mut(in_flight.server) else { return };
        let failure_kind = match ending {
            Ending::Served => {
                server.outcomes.succeeded += 1;
                return server.health.record_success();
            }
            Ending::Failed { status } if *status < 500 => return server.health.record_success(),
            Ending::StaleConnection | Ending::Cancelled | Ending::Rejected { .. } => {
                return server.health.record_inconclusive_attempt()
            }
            Ending::Unreachable => {
                server.outcomes.unreachable += 1;
                FailureKind::Unreachable
            }
            Ending::Failed { .. }
            | Ending::ConnectionLost
            | Ending::MalformedResponse
            | Ending::Truncated { .. } => {
                server.outcomes.failed += 1;
                FailureKind::FailedAttempt
            }
        };
        server.health.record_failure(now, failure_kind, &self.options, &mut self.random);
    }

    /// Records that the client left while an attempt was in flight. This counts as a response time-out of the
    /// server if the attempt had no response for at least
    /// [`Options::min_response_timeout_ms`](crate::Options::min_response_timeout_ms).
    pub(crate) fn record_client_departure(&mut self, now: Millis, in_flight: &InFlight) {
        if now.saturating_sub(in_flight.sent_at) >= self.options.min_response_timeout_ms
            && !in_flight.has_response
        {
            self.record_response_timeout(now, in_flight);
        } else if let Some(server) = self.servers.get_mut(in_flight.server) {
            server.health.record_inconclusive_attempt();
        }
    }

    /// Records a response time-out. It counts as a failure of the server unless the server has responded to
    /// any request since the attempt was sent.
    pub(crate) fn record_response_timeout(&mut self, now: Millis, in_flight: &InFlight) {
        let Some(server) = self.servers.get_mut(in_flight.server) else { return };
        if in_flight.cancelled {
            return;
        }
        if server.last_response_at > in_flight.sent_at {
            return server.health.record_inconclusive_attempt();
        }
        server.outcomes.failed += 1;
        server.health.record_failure(now, FailureKind::FailedAttempt, &self.options, &mut self.random);
    }
}
