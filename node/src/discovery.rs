//! Follows the server list with the registry client and reports it to the host.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_policy::{Membership, Seconds, Settings};
use shaletrail_registry_client::driver::{ListFollower, ListUpdate};
use shaletrail_registry_client::follow::Retry;
use tokio::sync::Notify;

use crate::config::ServerList;
use crate::handle::{HostEvent, HostHandle};

/// If a pushed list can't be reached, the call is retried this many times within the grace period for
/// drains, as most of that period must remain for the answer. The interval is bounded below and above.
const RETRIES_PER_DRAIN_GRACE: f64 = 4.0;
const MIN_RETRY_INTERVAL_S: Seconds = 0.02;
const MAX_RETRY_INTERVAL_S: Seconds = 0.25;

fn retry_within(drain_grace: Seconds) -> Duration {
    Duration::from_secs_f64(
        (drain_grace / RETRIES_PER_DRAIN_GRACE).clamp(MIN_RETRY_INTERVAL_S, MAX_RETRY_INTERVAL_S),
    )
}

/// Pending commands to the follower.
#[derive(Default)]
struct Commands {
    start: Cell<bool>,
    endpoints_changed: Cell<bool>,
}

/// The node's connection to discovery. It reports lists and failed calls to the host.
pub struct Discovery {
    endpoints: RefCell<Vec<SocketAddr>>,
    commands: Commands,
    command_added: Notify,
    handle: HostHandle,
}

impl Discovery {
    /// `endpoints` are the addresses of discovery. No call is made before `follow` runs.
    pub fn new(endpoints: Vec<SocketAddr>, handle: HostHandle) -> Rc<Self> {
        let command_added = Notify::new();
        Rc::new(Discovery {
            endpoints: RefCell::new(endpoints),
            commands: Commands::default(),
            command_added,
            handle,
        })
    }

    /// Changes the addresses of discovery. A watch in progress continues at the new addresses, starting with
    /// the whole list.
    pub fn move_to(&self, endpoints: Vec<SocketAddr>) {
        if *self.endpoints.borrow() != endpoints {
            self.endpoints.replace(endpoints);
            self.commands.endpoints_changed.set(true);
            self.command_added.notify_one();
        }
    }

    /// Starts watching for changes. A broken watch is reopened.
    pub fn subscribe(&self) {
        self.commands.start.set(true);
        self.command_added.notify_one();
    }

    /// Follows the list for as long as the node runs. A pushed list is watched from the start and after
    /// every failure, so that the node sees each change within the grace period for drains; otherwise the
    /// balancer decides when to start.
    pub async fn follow(self: Rc<Self>, held_version: Option<u64>, seed: u64, settings: Settings) {
        let retry = match settings.membership {
            Membership::Pushed => Retry::Within(retry_within(settings.guarantees.drain_grace)),
            // The balancer decides when to retry after all addresses have failed.
            Membership::OnRequest => Retry::OnStart,
        };
        let mut follower = ListFollower::new(self.endpoints.borrow().clone(), held_version, retry, seed);
        if settings.membership == Membership::Pushed {
            follower.start();
        }
        loop {
            tokio::select! {
                () = self.command_added.notified() => {
                    if self.commands.endpoints_changed.take() {
                        follower.move_to(self.endpoints.borrow().clone());
                    }
                    if self.commands.start.take() {
                        follower.start();
                    }
                }
                update = follower.next() => self.report(update),
            }
        }
    }

    fn report(&self, update: ListUpdate) {
        match update {
            ListUpdate::List(list) => self.handle.send(HostEvent::List(ServerList::from(list))),
            ListUpdate::Outdated(reason) => eprintln!("discovery: {reason}"),
            ListUpdate::Failed(reason) => {
                eprintln!("discovery: {reason}");
                self.handle.send(HostEvent::ListFailed);
            }
        }
    }
}
