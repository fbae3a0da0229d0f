//! Queueing of requests for which no server is available. They are dispatched when a server becomes
//! available, and rejected when their maximum wait is over or the queue is full.

use std::collections::BTreeSet;
use std::sync::Arc;

use shaletrail_protocol::Millis;

use crate::balance::Unavailable;
use crate::dispatch::{reject_reason, Fallback};
use crate::interface::{Action, RejectReason};
use crate::request::{Phase, Queued, Request};
use crate::request_queue::QueueKey;
use crate::router::Router;
use crate::target::Target;

impl Router {
    /// Queues a request for which no server is available. It is rejected if its maximum wait is already over
    /// or the queue is full of more urgent requests.
    pub(crate) fn enqueue(
        &mut self,
        now: Millis,
        mut request: Request,
        unavailable: Unavailable,
        actions: &mut Vec<Action>,
    ) {
        let unavailable = self.allow_retry_at_same_servers(now, &mut request, unavailable);
        let reason = match request.delivered_attempts {
            0 => reject_reason(unavailable, &request.target),
            _ => request.exhausted_reason(),
        };
        if self.shutting_down && reason != RejectReason::Full {
            return self.reject(now, request, RejectReason::Stopping, actions);
        }
        let until = self.queue_deadline(&request, unavailable);
        if now.max(request.not_before) >= until {
            return self.reject(now, request, reason, actions);
        }
        let key = QueueKey::of(&request);
        if self.queue.len() >= self.options.max_queued_requests {
            match self.queue.least_urgent().filter(|last| key < *last) {
                Some(last) => self.evict_from_queue(now, last, actions),
                None => return self.reject(now, request, RejectReason::Overloaded, actions),
            }
        }
        self.schedule_queue_retry(&request.target, unavailable);
        if request.not_before > now {
            self.retry_queue_by(&request.target.service, request.not_before);
        }
        self.has_urgent_demand |= reason == RejectReason::NoModel;
        if let Some(demand) = self.demand.entry(&request.target, &self.options) {
            demand.queued += 1;
            demand.over_capacity += u32::from(reason == RejectReason::Full);
        }
        self.queue.insert(&request.target.service, key);
        self.counters.queued += 1;
        self.insert_request(request, Phase::Queued(Queued { until, reason }));
    }

    /// Allows the request to be sent again, after a delay, to servers that it was already sent to, if it has
    /// certainly not run. Returns the reason why no server is available under this rule.
    fn allow_retry_at_same_servers(
        &self,
        now: Millis,
        request: &mut Request,
        unavailable: Unavailable,
    ) -> Unavailable {
        if request.tried_servers.is_empty() || !request.surely_not_run() {
            return unavailable;
        }
        request.tried_servers.clear();
        request.not_before =
            now + self.options.same_server_retry_delay_ms.max(request.retry_after_ms.unwrap_or(0));
        match self.select_server(now, request) {
            Ok(_) => Unavailable::Full { retry_at: Some(request.not_before) },
            Err(unavailable) => unavailable,
        }
    }

    fn evict_from_queue(&mut self, now: Millis, key: QueueKey, actions: &mut Vec<Action>) {
        if let Some((request, _)) = self.remove_request(key.id) {
            self.reject(now, request, RejectReason::Overloaded, actions);
        }
    }

    fn queue_deadline(&self, request: &Request, unavailable: Unavailable) -> Millis {
        match unavailable {
            Unavailable::Full { .. } => request.capacity_wait_until(&self.options),
            _ if request.target.model.is_empty() => request.capacity_wait_until(&self.options),
            Unavailable::NoReplica { .. } | Unavailable::NoServer => request.model_wait_until(&self.options),
        }
    }

    fn schedule_queue_retry(&mut self, target: &Target, unavailable: Unavailable) {
        let retry_at = match unavailable {
            Unavailable::NoServer => None,
            Unavailable::NoReplica { retry_at } | Unavailable::Full { retry_at } => retry_at,
        };
        if let Some(pool) = self.pools.get_mut(&target.service) {
            pool.retry_queue_by(retry_at);
        }
    }

    /// Dispatches the queued requests of all services for which a server is now available.
    pub(crate) fn drain_queues(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for service in self.queue.services() {
            self.drain_queue(now, &service, actions);
        }
    }

    /// Dispatches the queued requests of a service for which a server is now available, in queue order.
    pub(crate) fn drain_queue(&mut self, now: Millis, service: &str, actions: &mut Vec<Action>) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.queue_retry_at = None;
        }
        let mut unavailable_targets: BTreeSet<Arc<Target>> = BTreeSet::new();
        for key in self.queue.for_service(service) {
            let Some((request, _)) = self.requests.get(&key.id) else { continue };
            if now < request.not_before {
                let not_before = request.not_before;
                self.retry_queue_by(service, not_before);
                continue;
            }
            if unavailable_targets.contains(&request.target) {
                continue;
            }
            let (target, is_first_attempt) = (Arc::clone(&request.target), request.tried_servers.is_empty());
            match self.select_server(now, request) {
                Ok(_) => self.dispatch_queued(now, key, actions),
                Err(unavailable) => {
                    self.update_queued(key, unavailable);
                    if is_first_attempt {
                        unavailable_targets.insert(target);
                    }
                }
            }
        }
    }

    fn retry_queue_by(&mut self, service: &str, at: Millis) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.retry_queue_by(Some(at));
        }
    }

    fn dispatch_queued(&mut self, now: Millis, key: QueueKey, actions: &mut Vec<Action>) {
        if let Some((request, _)) = self.remove_request(key.id) {
            self.dispatch(now, request, Fallback::Queue, actions);
        }
    }

    /// Updates why a queued request waits, and extends its maximum wait if the new reason allows a longer
    /// one.
    fn update_queued(&mut self, key: QueueKey, unavailable: Unavailable) {
        let Some((request, Phase::Queued(queued))) = self.requests.get(&key.id) else { return };
        let (target, previous_until) = (Arc::clone(&request.target), queued.until);
        let until = self.queue_deadline(request, unavailable).max(previous_until);
        if let Some((_, phase)) = self.requests.get_mut(&key.id) {
            *phase = Phase::Queued(Queued { until, reason: reject_reason(unavailable, &target) });
        }
        if until != previous_until {
            self.timers.remove(&(previous_until, key.id));
            self.timers.insert((until, key.id));
        }
        self.schedule_queue_retry(&target, unavailable);
    }
}
