//! Requests that wait for a server: the most urgent first, then the one whose deadline comes first.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_protocol::Millis;

use crate::interface::RequestId;
use crate::requests::Request;

/// The place of a request among those that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// The route's rank, 0 first.
    pub priority: u8,
    /// When it must have been answered.
    pub deadline_at: Millis,
    /// The request.
    pub id: RequestId,
}

impl Rank {
    pub fn of(request: &Request) -> Self {
        let (priority, deadline_at) = (request.new.route.priority, request.deadline_at);
        Rank { priority, deadline_at, id: request.id() }
    }
}

/// Requests that wait, by service.
#[derive(Debug, Default)]
pub(crate) struct Holding {
    by_service: BTreeMap<String, BTreeSet<Rank>>,
    count: usize,
}

impl Holding {
    /// Takes a request in.
    pub fn insert(&mut self, service: &str, rank: Rank) {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.to_owned(), BTreeSet::new());
        }
        if self.by_service.get_mut(service).is_some_and(|ranks| ranks.insert(rank)) {
            self.count += 1;
        }
    }

    /// Lets a request go.
    pub fn remove(&mut self, service: &str, rank: Rank) {
        let Some(ranks) = self.by_service.get_mut(service) else { return };
        if ranks.remove(&rank) {
            self.count -= 1;
        }
        if ranks.is_empty() {
            self.by_service.remove(service);
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.count
    }

    /// How many wait for a service.
    pub fn waiting_for(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, BTreeSet::len)
    }

    /// Those that wait for a service, in order.
    pub fn of_service(&self, service: &str) -> Vec<Rank> {
        self.by_service.get(service).map_or_else(Vec::new, |ranks| ranks.iter().copied().collect())
    }

    /// All that wait, by service.
    pub fn all(&self) -> Vec<Rank> {
        self.by_service.values().flatten().copied().collect()
    }

    /// Services that any request waits for.
    pub fn services(&self) -> Vec<String> {
        self.by_service.keys().cloned().collect()
    }

    /// The least urgent of all.
    pub fn last(&self) -> Option<Rank> {
        self.by_service.values().filter_map(|ranks| ranks.last()).max().copied()
    }
}
