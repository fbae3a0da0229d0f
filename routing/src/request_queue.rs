//! Requests that wait for a server: the most urgent first, then the one whose deadline comes first.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::Millis;

use crate::interface::RequestId;
use crate::request::Request;

/// The place of a request among those that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// The route's rank, 0 first.
    pub priority: u8,
    /// When it must have been answered.
    pub deadline_at: Millis,
    /// The request.
    pub id: RequestId,
}

impl QueueKey {
    pub fn of(request: &Request) -> Self {
        let (priority, deadline_at) = (request.incoming.route.priority, request.deadline_at);
        QueueKey { priority, deadline_at, id: request.id() }
    }
}

/// Requests that wait, by service.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    by_service: BTreeMap<String, BTreeSet<QueueKey>>,
    count: usize,
}

impl RequestQueue {
    /// Takes a request in.
    pub fn insert(&mut self, service: &str, key: QueueKey) {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.to_owned(), BTreeSet::new());
        }
        if self.by_service.get_mut(service).is_some_and(|keys| keys.insert(key)) {
            self.count += 1;
        }
    }

    /// Lets a request go.
    pub fn remove(&mut self, service: &str, key: QueueKey) {
        let Some(keys) = self.by_service.get_mut(service) else { return };
        if keys.remove(&key) {
            self.count -= 1;
        }
        if keys.is_empty() {
            self.by_service.remove(service);
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.count
    }

    /// How many wait for a service.
    pub fn len_for(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, BTreeSet::len)
    }

    /// Those that wait for a service, in order.
    pub fn for_service(&self, service: &str) -> Vec<QueueKey> {
        self.by_service.get(service).map_or_else(Vec::new, |keys| keys.iter().copied().collect())
    }

    /// All that wait, by service.
    pub fn all(&self) -> Vec<QueueKey> {
        self.by_service.values().flatten().copied().collect()
    }

    /// Services that any request waits for.
    pub fn services(&self) -> Vec<String> {
        self.by_service.keys().cloned().collect()
    }

    /// The least urgent of all.
    pub fn lowest_priority(&self) -> Option<QueueKey> {
        self.by_service.values().filter_map(|keys| keys.last()).max().copied()
    }
}
