//! Counters for operators. No decision of the node depends on them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use serde_json::{json, Map, Value};
use shaletrail_policy::{ClassId, ServerCounts};

/// How a request ended for its client.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    Success,
    Busy,
    Failure,
}

/// All counters start at 0 with the process.
pub struct Metrics {
    /// Class names, each with the number of its requests per `RequestEnd`.
    classes: Vec<(String, RefCell<[u64; 3]>)>,
    in_flight: Cell<u64>,
    /// Attempts whose request was written completely.
    pub backend_calls: Rc<Cell<u64>>,
    pub reconfig_ok: Cell<u64>,
    pub reconfig_failed: Cell<u64>,
}

impl Metrics {
    /// `classes` are the class names, in the order of their `ClassId`.
    pub fn new(classes: impl Iterator<Item = String>) -> Self {
        Metrics {
            classes: classes.map(|name| (name, RefCell::default())).collect(),
            in_flight: Cell::default(),
            backend_calls: Rc::default(),
            reconfig_ok: Cell::default(),
            reconfig_failed: Cell::default(),
        }
    }

    /// Counts a request of this class as in flight until the returned value is dropped.
    pub fn begin_request(self: &Rc<Self>, class: ClassId) -> ActiveRequest {
        increment(&self.in_flight);
        ActiveRequest { metrics: Rc::clone(self), class, end: Cell::new(None) }
    }

    /// Returns all counters as a JSON object. `state` is the name of the node's state.
    pub fn to_json(&self, servers: ServerCounts, state: &str) -> Value {
        let count = |end: RequestEnd| {
            let count = |(name, counts): &(String, RefCell<[u64; 3]>)| {
                (name.clone(), Value::from(counts.borrow()[end as usize]))
            };
            self.classes.iter().map(count).collect::<Map<_, _>>()
        };
        json!({
            "success": count(RequestEnd::Success),
            "busy": count(RequestEnd::Busy),
            "failure": count(RequestEnd::Failure),
            "backend_calls": self.backend_calls.get(),
            "inflight": self.in_flight.get(),
            "hosts_listed": servers.listed,
            "hosts_down": servers.avoided,
            "reconfig_ok": self.reconfig_ok.get(),
            "reconfig_failed": self.reconfig_failed.get(),
            "state": state,
        })
    }
}

/// Adds 1 to a counter that tasks of the same thread share.
pub fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// A request in flight. If it is dropped without an end, the client has disconnected and no result is
/// counted.
pub struct ActiveRequest {
    metrics: Rc<Metrics>,
    class: ClassId,
    end: Cell<Option<RequestEnd>>,
}

impl ActiveRequest {
    /// Counts the result. Only the first call counts.
    pub fn finish(&self, end: RequestEnd) {
        if self.end.replace(Some(end)).is_some() {
            return;
        }
        if let Some((_, counts)) = self.metrics.classes.get(self.class.0) {
            counts.borrow_mut()[end as usize] += 1;
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.metrics.in_flight.set(self.metrics.in_flight.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_counted_once_and_only_if_it_ended() {
        let metrics = Rc::new(Metrics::new(["read", "write"].map(String::from).into_iter()));
        let json = || metrics.to_json(ServerCounts { listed: 3, avoided: 1 }, "serving");
        assert_eq!(json()["success"], json!({"read": 0, "write": 0}));
        let (served, left) = (metrics.begin_request(ClassId(1)), metrics.begin_request(ClassId(0)));
        assert_eq!(json()["inflight"], 2);
        served.finish(RequestEnd::Success);
        served.finish(RequestEnd::Failure);
        drop((served, left));
        let json = json();
        assert_eq!((&json["inflight"], &json["success"]["write"]), (&json!(0), &json!(1)));
        assert_eq!((&json["failure"]["write"], &json["success"]["read"]), (&json!(0), &json!(0)));
        assert_eq!((&json["hosts_listed"], &json["hosts_down"]), (&json!(3), &json!(1)));
    }
}
