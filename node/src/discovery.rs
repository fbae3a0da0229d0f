//! The list of servers: followed by the list service's client wherever discovery is, and told to the host.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_policy::{Membership, Seconds, Settings};
use shaletrail_registry_client::driver::{Following, News};
use shaletrail_registry_client::follow::Retry;
use tokio::sync::Notify;

use crate::config::List;
use crate::handle::{Handle, Heard};

/// A pushed list that is out of reach is asked for again so often within the grace for drains, and no more often than
/// this: most of the grace has to do for the answer.
const RETRIES_IN_GRACE: f64 = 4.0;
const LEAST_RETRY: Seconds = 0.02;
const LONGEST_RETRY: Seconds = 0.25;

fn retry_within(drain_grace: Seconds) -> Duration {
    Duration::from_secs_f64((drain_grace / RETRIES_IN_GRACE).clamp(LEAST_RETRY, LONGEST_RETRY))
}

/// What the follower is to do next.
#[derive(Default)]
struct Orders {
    start: Cell<bool>,
    moved: Cell<bool>,
}

pub struct Discovery {
    endpoints: RefCell<Vec<SocketAddr>>,
    orders: Orders,
    ordered: Notify,
    handle: Handle,
}

impl Discovery {
    pub fn new(endpoints: Vec<SocketAddr>, handle: Handle) -> Rc<Self> {
        let ordered = Notify::new();
        Rc::new(Discovery { endpoints: RefCell::new(endpoints), orders: Orders::default(), ordered, handle })
    }

    /// Discovery is somewhere else from now on: a watch that is on goes on there, with the whole list first.
    pub fn move_to(&self, endpoints: Vec<SocketAddr>) {
        if *self.endpoints.borrow() != endpoints {
            self.endpoints.replace(endpoints);
            self.orders.moved.set(true);
            self.ordered.notify_one();
        }
    }

    /// Watches for changes from now on. Where a watch has broken, it begins again.
    pub fn subscribe(&self) {
        self.orders.start.set(true);
        self.ordered.notify_one();
    }

    /// Follows the list for as long as the node runs: from now on and come what may where it is pushed, so that the
    /// node has what there is within the grace for drains, else when the module says so.
    pub async fn follow(self: Rc<Self>, held: Option<u64>, seed: u64, settings: Settings) {
        let retry = match settings.membership {
            Membership::Pushed => Retry::Within(retry_within(settings.guarantees.drain_grace)),
            // When to try again once nobody answers is the module's decision.
            Membership::OnRequest => Retry::OnStart,
        };
        let mut following = Following::new(self.endpoints.borrow().clone(), held, retry, seed);
        if settings.membership == Membership::Pushed {
            following.start();
        }
        loop {
            tokio::select! {
                () = self.ordered.notified() => {
                    if self.orders.moved.take() {
                        following.move_to(self.endpoints.borrow().clone());
                    }
                    if self.orders.start.take() {
                        following.start();
                    }
                }
                news = following.next() => self.tell(news),
            }
        }
    }

    fn tell(&self, news: News) {
        match news {
            News::List(list) => self.handle.tell(Heard::List(List::from(list))),
            News::Older(what) => eprintln!("discovery: {what}"),
            News::Failed(what) => {
                eprintln!("discovery: {what}");
                self.handle.tell(Heard::ListFailed);
            }
        }
    }
}
