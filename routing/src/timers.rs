//! Handlers for timer ticks and for the start of the shutdown. They handle queued requests and attempts in
//! flight whose timers are due.

use shaletrail_protocol::Millis;

use crate::interface::{Action, RejectReason, RequestId};
use crate::request::Phase;
use crate::router::Router;
use crate::server_pool::ServerPool;

impl Router {
    pub(crate) fn on_tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let is_due = |pool: &ServerPool| pool.queue_retry_at.is_some_and(|at| at <= now);
        let services: Vec<String> =
            self.pools.iter().filter(|(_, pool)| is_due(pool)).map(|(name, _)| name.clone()).collect();
        for service in services {
            self.drain_queue(now, &service, actions);
        }
        while let Some((_, id)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.on_timer(now, id, actions);
        }
        self.load_gossip.expire(now);
        self.drop_departed_servers(now);
    }

    fn on_timer(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        match self.requests.get(&id) {
            Some((_, Phase::Queued(queued))) => {
                let reason = queued.reason;
                if let Some((request, _)) = self.remove_request(id) {
                    let deadline_passed = now >= request.deadline_at;
                    self.reject(
                        now,
                        request,
                        if deadline_passed { RejectReason::TooLate } else { reason },
                        actions,
                    );
                }
            }
            Some((_, Phase::InFlight(in_flight))) if now >= in_flight.timeout_at => {
                self.expire_request(now, id, actions)
            }
            Some((_, Phase::InFlight(_))) => self.check_response_timeout(now, id, actions),
            None => self.timers.retain(|(_, timer)| *timer != id),
        }
    }

    pub(crate) fn on_shutdown_requested(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.shutting_down = true;
        for key in self.queue.all() {
            let ends_at_shutdown =
                |phase: &Phase| matches!(phase, Phase::Queued(queued) if queued.reason != RejectReason::Full);
            if self.requests.get(&key.id).is_some_and(|(_, phase)| ends_at_shutdown(phase)) {
                if let Some((request, _)) = self.remove_request(key.id) {
                    self.reject(now, request, RejectReason::Stopping, actions);
                }
            }
        }
    }
}
