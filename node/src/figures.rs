//! What the node counts for its operators. It decides nothing by these.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use serde_json::{json, Map, Value};
use shaletrail_policy::{ClassId, ServerCounts};

/// How a request ended for its client.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum End {
    Success,
    Busy,
    Failure,
}

/// Each starts at 0 with the process.
pub struct Figures {
    /// Names of the classes, and how many of their requests ended in each way.
    classes: Vec<(String, RefCell<[u64; 3]>)>,
    inflight: Cell<u64>,
    /// Attempts written whole.
    pub backend_calls: Rc<Cell<u64>>,
    pub reconfig_ok: Cell<u64>,
    pub reconfig_failed: Cell<u64>,
}

impl Figures {
    pub fn new(classes: impl Iterator<Item = String>) -> Self {
        Figures {
            classes: classes.map(|name| (name, RefCell::default())).collect(),
            inflight: Cell::default(),
            backend_calls: Rc::default(),
            reconfig_ok: Cell::default(),
            reconfig_failed: Cell::default(),
        }
    }

    /// A request of this class is taken.
    pub fn take(self: &Rc<Self>, class: ClassId) -> Taken {
        add_one(&self.inflight);
        Taken { figures: Rc::clone(self), class, end: Cell::new(None) }
    }

    pub fn json(&self, counts: ServerCounts, state: &str) -> Value {
        let count = |end: End| {
            let count = |(name, ends): &(String, RefCell<[u64; 3]>)| {
                (name.clone(), Value::from(ends.borrow()[end as usize]))
            };
            self.classes.iter().map(count).collect::<Map<_, _>>()
        };
        json!({
            "success": count(End::Success),
            "busy": count(End::Busy),
            "failure": count(End::Failure),
            "backend_calls": self.backend_calls.get(),
            "inflight": self.inflight.get(),
            "hosts_listed": counts.listed,
            "hosts_down": counts.avoided,
            "reconfig_ok": self.reconfig_ok.get(),
            "reconfig_failed": self.reconfig_failed.get(),
            "state": state,
        })
    }
}

pub fn add_one(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// A request that has not ended. Dropped without an end, its client has gone, and it counts nowhere.
pub struct Taken {
    figures: Rc<Figures>,
    class: ClassId,
    end: Cell<Option<End>>,
}

impl Taken {
    /// Its final answer is given; what is said later does not count.
    pub fn end(&self, end: End) {
        if self.end.replace(Some(end)).is_some() {
            return;
        }
        if let Some((_, ends)) = self.figures.classes.get(self.class.0) {
            ends.borrow_mut()[end as usize] += 1;
        }
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.figures.inflight.set(self.figures.inflight.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_counts_once_and_not_without_an_end() {
        let figures = Rc::new(Figures::new(["read", "write"].map(String::from).into_iter()));
        let json = || figures.json(ServerCounts { listed: 3, avoided: 1 }, "serving");
        assert_eq!(json()["success"], json!({"read": 0, "write": 0}));
        let (served, left) = (figures.take(ClassId(1)), figures.take(ClassId(0)));
        assert_eq!(json()["inflight"], 2);
        served.end(End::Success);
        served.end(End::Failure);
        drop((served, left));
        let json = json();
        assert_eq!((&json["inflight"], &json["success"]["write"]), (&json!(0), &json!(1)));
        assert_eq!((&json["failure"]["write"], &json["success"]["read"]), (&json!(0), &json!(0)));
        assert_eq!((&json["hosts_listed"], &json["hosts_down"]), (&json!(3), &json!(1)));
    }
}
