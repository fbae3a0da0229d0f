//! Dispatch of requests: applies the retry policy and sends attempts to the servers that the balancer
//! selects.

use std::sync::Arc;

use shaletrail_protocol::{Millis, ServerId};

use crate::balance::{select, SelectedServer, SelectionCriteria, Unavailable};
use crate::interface::{Action, Attempt, RejectReason};
use crate::request::{InFlight, Phase, Request};
use crate::retry_budget::SlackShare;
use crate::router::Router;
use crate::target::Target;

/// Maximum number of attempts beyond the route's `max_attempts`. They may only go to servers that were
/// already tried and have certainly not run the request.
const MAX_SAME_SERVER_RETRIES: u32 = 2;
/// The highest valid value of the `Priority` header.
const MAX_PRIORITY: u8 = 9;
/// The lowest value of the `Deadline-Ms` header.
const MIN_DEADLINE_MS: Millis = 1;

/// What happens to a request for which no attempt can be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fallback {
    /// The request is queued, or rejected if it may not wait.
    Queue,
    /// The failed response that the driver has buffered is forwarded to the client.
    ForwardFailure,
    /// The response, which the client has received in part, is aborted.
    AbortResponse,
}

impl Router {
    /// Sends a request if another attempt is allowed and a server is available. Otherwise applies the
    /// fallback.
    pub(crate) fn dispatch(
        &mut self,
        now: Millis,
        request: Request,
        fallback: Fallback,
        actions: &mut Vec<Action>,
    ) {
        if now >= request.deadline_at {
            return self.apply_fallback(now, request, fallback, RejectReason::TooLate, actions);
        }
        if let Some(reason) = self.retry_denied(now, &request) {
            return self.apply_fallback(now, request, fallback, reason, actions);
        }
        match self.select_server(now, &request) {
            Ok(selected) => self.send(now, request, selected, actions),
            Err(unavailable) if fallback == Fallback::Queue => {
                self.enqueue(now, request, unavailable, actions)
            }
            Err(unavailable) => {
                let target = Arc::clone(&request.target);
                self.apply_fallback(now, request, fallback, reject_reason(unavailable, &target), actions);
            }
        }
    }

    fn apply_fallback(
        &mut self,
        now: Millis,
        request: Request,
        fallback: Fallback,
        reason: RejectReason,
        actions: &mut Vec<Action>,
    ) {
        match fallback {
            Fallback::Queue => self.reject(now, request, reason, actions),
            Fallback::ForwardFailure => self.forward_failure(request, actions),
            Fallback::AbortResponse => self.abort_response(request, actions),
        }
    }

    /// The reason why no further attempt is allowed; `None` if one is.
    pub(crate) fn retry_denied(&mut self, now: Millis, request: &Request) -> Option<RejectReason> {
        if !request.may_run_again() {
            return Some(RejectReason::MayHaveRun);
        }
        if request.attempts >= self.options.max_attempts_per_request {
            return Some(RejectReason::NoServer);
        }
        if request.delivered_attempts == 0 {
            return None;
        }
        // A server that has certainly not run the request may be retried. It does not count as another
        // server.
        let may_reuse_server = request.surely_not_run()
            && request.delivered_attempts < request.incoming.route.max_attempts + MAX_SAME_SERVER_RETRIES;
        let may_retry = (self.may_use_another_server(request) || may_reuse_server)
            && self.has_retry_budget(now, &request.target);
        (!may_retry).then(|| request.exhausted_reason())
    }

    /// This edge's share of the retry slack.
    fn slack_share(&self) -> SlackShare {
        SlackShare { edge_count: self.edge_count, expires_at: self.budget_share_until }
    }

    /// Whether the request may be sent to a server that it has not reached before.
    fn may_use_another_server(&self, request: &Request) -> bool {
        (request.visited_servers.len() as u32) < request.incoming.route.max_attempts
    }

    fn has_retry_budget(&mut self, now: Millis, target: &Target) -> bool {
        let share = self.slack_share();
        let pool = self.pools.get_mut(&target.service);
        pool.is_some_and(|pool| pool.budget.has_balance(now, share, &self.options))
    }

    /// The server that a request would be sent to now.
    pub(crate) fn select_server(
        &self,
        now: Millis,
        request: &Request,
    ) -> Result<SelectedServer, Unavailable> {
        let Some(pool) = self.pools.get(&request.target.service) else { return Err(Unavailable::NoServer) };
        let max_connections = self.max_connections_per_server(&request.target.service);
        let restricted_to =
            (!self.may_use_another_server(request)).then_some(request.visited_servers.as_slice());
        let criteria = SelectionCriteria {
            key: request.key,
            target: &request.target,
            tried_servers: &request.tried_servers,
            restricted_to,
            max_connections,
            unshared_prefill_tokens: request.prefill_tokens(true),
        };
        select(pool, &self.servers, &self.load_gossip, &criteria, now, &self.options)
    }

    /// Maximum number of connections of this edge to one server of the service: an equal share of the
    /// service's `max_connections`.
    fn max_connections_per_server(&self, service: &str) -> u32 {
        let total =
            self.view.as_ref().and_then(|view| view.service(service)).map_or(0, |s| s.max_connections);
        if total == 0 || self.edge_count == 0 {
            return u32::MAX;
        }
        (total / self.edge_count).max(1)
    }

    /// Adds an attempt to the counts of its server, pool and demand entry, and withdraws a retry from the
    /// budget. Returns the server's id and address; `None` if the server is no longer known.
    fn record_sent(
        &mut self,
        now: Millis,
        request: &Request,
        selected: SelectedServer,
        prefill: u32,
    ) -> Option<(ServerId, String)> {
        let share = self.slack_share();
        let server = self.servers.get_mut(selected.server)?;
        self.has_urgent_load |= server.local_load.record_sent(now, prefill);
        server.open_requests += 1;
        server.health.record_sent();
        let (id, address) = (server.record.id.clone(), server.record.heartbeat.address.clone());
        if let Some(pool) = self.pools.get_mut(&request.target.service) {
            pool.open_requests += 1;
            if request.delivered_attempts > 0 {
                pool.budget.withdraw(now, share, &self.options);
            }
        }
        if let Some(demand) = self.demand.entry(&request.target, &self.options) {
            demand.in_flight += 1;
            demand.over_capacity += u32::from(selected.over_cap);
        }
        self.counters.attempts += 1;
        self.counters.resumed += u64::from(request.response_started);
        Some((id, address))
    }

    fn send(
        &mut self,
        now: Millis,
        mut request: Request,
        selected: SelectedServer,
        actions: &mut Vec<Action>,
    ) {
        let is_retry = request.delivered_attempts > 0;
        let prefill = request.prefill_tokens(selected.is_home);
        let Some((server, address)) = self.record_sent(now, &request, selected, prefill) else {
            return self.reject(now, request, RejectReason::NoServer, actions);
        };
        let attempt = Attempt(request.attempts);
        request.attempts += 1;
        request.delivered_attempts += 1;
        request.tried_servers.push(selected.server);
        let is_first_visit = !request.visited_servers.contains(&selected.server);
        if is_first_visit {
            request.visited_servers.push(selected.server);
        }
        let remaining_ms =
            request.deadline_at.saturating_sub(now).saturating_sub(self.options.response_margin_ms);
        actions.push(Action::Send {
            request: request.id(),
            attempt,
            server,
            address,
            service: request.target.service.clone(),
            deadline_ms: remaining_ms.max(MIN_DEADLINE_MS),
            priority: request.incoming.route.priority.min(MAX_PRIORITY),
            resume_after: request.last_event.filter(|_| request.response_started),
        });
        let response_timeout =
            request.incoming.route.target_latency_ms.max(self.options.min_response_timeout_ms);
        let in_flight = InFlight {
            attempt,
            server: selected.server,
            sent_at: now,
            timeout_at: request.deadline_at + self.options.deadline_grace_ms,
            response_check_at: request.incoming.route.kind.is_idempotent().then_some(now + response_timeout),
            prefill,
            has_response: false,
            is_first_visit,
            is_retry,
            cancelled: false,
        };
        self.insert_request(request, Phase::InFlight(in_flight));
    }
}

/// The reason for rejecting a request for which no server is available.
pub(crate) fn reject_reason(unavailable: Unavailable, target: &Target) -> RejectReason {
    match unavailable {
        Unavailable::NoReplica { .. } if target.model.is_empty() => RejectReason::NoServer,
        Unavailable::NoServer => RejectReason::NoServer,
        Unavailable::NoReplica { .. } => RejectReason::NoModel,
        Unavailable::Full { .. } => RejectReason::Full,
    }
}
