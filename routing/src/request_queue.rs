//! The queue of requests that wait for a server. It is ordered by priority, then by deadline.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::Millis;

use crate::interface::RequestId;
use crate::request::Request;

/// The position of a request in the queue. The lowest key is dispatched first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// The route's priority; 0 is the most urgent.
    pub priority: u8,
    pub deadline_at: Millis,
    pub id: RequestId,
}

impl QueueKey {
    /// The key of a request, from the priority of its route and its deadline.
    pub fn of(request: &Request) -> Self {
        let (priority, deadline_at) = (request.incoming.route.priority, request.deadline_at);
        QueueKey { priority, deadline_at, id: request.id() }
    }
}

#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    by_service: BTreeMap<String, BTreeSet<QueueKey>>,
    count: usize,
}

impl RequestQueue {
    /// Adds a request to the queue of a service. Does nothing if it is already queued there.
    pub fn insert(&mut self, service: &str, key: QueueKey) {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.to_owned(), BTreeSet::new());
        }
        if self.by_service.get_mut(service).is_some_and(|keys| keys.insert(key)) {
            self.count += 1;
        }
    }

    /// Removes a request from the queue of a service. Does nothing if it is not queued there.
    pub fn remove(&mut self, service: &str, key: QueueKey) {
        let Some(keys) = self.by_service.get_mut(service) else { return };
        if keys.remove(&key) {
            self.count -= 1;
        }
        if keys.is_empty() {
            self.by_service.remove(service);
        }
    }

    /// The number of queued requests of all services.
    pub fn len(&self) -> usize {
        self.count
    }

    /// The number of queued requests of one service.
    pub fn len_for(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, BTreeSet::len)
    }

    /// The requests queued for a service, most urgent first.
    pub fn for_service(&self, service: &str) -> Vec<QueueKey> {
        self.by_service.get(service).map_or_else(Vec::new, |keys| keys.iter().copied().collect())
    }

    /// All queued requests, grouped by service.
    pub fn all(&self) -> Vec<QueueKey> {
        self.by_service.values().flatten().copied().collect()
    }

    /// The names of the services with queued requests.
    pub fn services(&self) -> Vec<String> {
        self.by_service.keys().cloned().collect()
    }

    /// The least urgent request of all services.
    pub fn least_urgent(&self) -> Option<QueueKey> {
        self.by_service.values().filter_map(|keys| keys.last()).max().copied()
    }
}
