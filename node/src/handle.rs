//! Lets the network tasks report events to the host without depending on it.

use std::cell::OnceCell;
use std::rc::Rc;

use crate::config::ServerList;

/// An event from discovery or from another node.
pub enum HostEvent {
    /// A new server list or an update of it.
    List(ServerList),
    /// A call to discovery failed, or the watch broke.
    ListFailed,
    /// A message from the node with the number `from`.
    PeerMessage { from: u32, bytes: Vec<u8> },
}

type EventHandler = Box<dyn Fn(HostEvent)>;

/// Clones report to the same host.
#[derive(Clone, Default)]
pub struct HostHandle(Rc<OnceCell<EventHandler>>);

impl HostHandle {
    /// Sets the receiver of all events. Called once, before the first event; earlier events would be
    /// dropped.
    pub fn set_handler(&self, handler: impl Fn(HostEvent) + 'static) {
        let set = self.0.set(Box::new(handler));
        debug_assert!(set.is_ok(), "the handler is set once");
    }

    /// Passes an event to the host. It is dropped if no handler is set yet.
    pub fn send(&self, event: HostEvent) {
        if let Some(handler) = self.0.get() {
            handler(event);
        }
    }
}
