//! Admission of new requests: selects the service by the route and checks the request before it is
//! dispatched.

use std::sync::Arc;

use rand::Rng;
use shaletrail_configuration::Route;
use shaletrail_protocol::Millis;

use crate::balance::request_key;
use crate::dispatch::Fallback;
use crate::interface::{Action, NewRequest, RejectReason};
use crate::report::record_arrival;
use crate::request::Request;
use crate::router::Router;
use crate::server::{Availability, Server};
use crate::target::Target;

impl Router {
    pub(crate) fn on_request(&mut self, now: Millis, new: NewRequest, actions: &mut Vec<Action>) {
        self.counters.received += 1;
        self.counters.open += 1;
        let service = self.pick_service(&new.route);
        let has_models =
            self.view.as_ref().and_then(|view| view.service(&service)).is_some_and(|s| s.runtime.is_some());
        let model = if has_models { new.model.clone().unwrap_or_default() } else { String::new() };
        let adapter = new.adapter.clone().filter(|_| !model.is_empty());
        let target = Arc::new(Target { service, model, adapter });
        let key = request_key(&new, &target);
        let request = Request::new(new, target, key, now);
        if self.requests.len() >= self.options.max_open_requests {
            return self.reject(now, request, RejectReason::Overloaded, actions);
        }
        let Some(pool) = self.pools.get_mut(&request.target.service) else {
            return self.reject(now, request, RejectReason::NoServer, actions);
        };
        pool.budget.deposit(now);
        if self.is_unknown_model(&request.target) {
            return self.reject(now, request, RejectReason::NoModel, actions);
        }
        if let Some(demand) = self.demand.entry(&request.target, &self.options) {
            record_arrival(demand, request.incoming.tokens, request.incoming.route.priority);
        }
        self.dispatch(now, request, Fallback::Queue, actions);
    }

    /// Picks a service of the route's traffic split at random, by weight. Services without a ready server are
    /// left out, unless none has one.
    fn pick_service(&mut self, route: &Route) -> String {
        let has_ready = |service: &str| {
            self.servers_of(service).any(|server| server.availability() == Availability::Ready)
        };
        if let [only] = route.traffic_split.as_slice() {
            return only.service.clone();
        }
        let usable: Vec<_> = route.traffic_split.iter().filter(|part| has_ready(&part.service)).collect();
        let candidates = if usable.is_empty() { route.traffic_split.iter().collect() } else { usable };
        let total_weight: f64 = candidates.iter().map(|part| part.weight).sum();
        let mut point = self.random.random::<f64>() * total_weight;
        for part in &candidates {
            point -= part.weight;
            if point < 0.0 {
                return part.service.clone();
            }
        }
        candidates.last().map(|part| part.service.clone()).unwrap_or_default()
    }

    /// Whether the request's model or adapter is neither configured nor loaded on any server.
    fn is_unknown_model(&self, target: &Target) -> bool {
        if target.model.is_empty() {
            return false;
        }
        let service = self.view.as_ref().and_then(|view| view.service(&target.service));
        let runtime = service.and_then(|service| service.runtime.as_ref());
        let model =
            runtime.and_then(|runtime| runtime.models.iter().find(|model| model.name == target.model));
        let is_configured = model.is_some_and(|model| match &target.adapter {
            None => true,
            Some(adapter) => {
                let number = adapter.strip_prefix('a').and_then(|number| number.parse().ok());
                number.is_some_and(|number: u32| (1..=model.adapters).contains(&number))
            }
        });
        !is_configured && !self.is_loaded_somewhere(target)
    }

    fn is_loaded_somewhere(&self, target: &Target) -> bool {
        self.servers_of(&target.service).any(|server| server.has_loaded(target, Millis::MAX))
    }

    fn servers_of(&self, service: &str) -> impl Iterator<Item = &Server> {
        let members = self.pools.get(service).map(|pool| pool.members.as_slice()).unwrap_or_default();
        members.iter().filter_map(|handle| self.servers.get(*handle))
    }
}
