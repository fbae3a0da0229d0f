//! UDP messages between nodes. Delivery is not guaranteed, so no code waits for one.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::config::Config;
use crate::handle::{HostEvent, HostHandle};
use crate::lifecycle::Lifecycle;

const MAX_MESSAGE_BYTES: usize = 256;
/// Interval for retrying to bind the address while an older process of this node still holds it.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The socket for messages to and from other nodes, and the nodes' addresses.
pub struct Peers {
    /// `None` while another process of this node holds the address; messages are lost during that time.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    own_addr: SocketAddr,
    /// Another process may succeed this one, so the address is released when this one stops.
    releases_on_stop: bool,
    /// Indexed by node number, including this node.
    peers: Vec<SocketAddr>,
    /// An address that reaches every node at once, if there is one.
    broadcast_addr: Option<SocketAddr>,
}

impl Peers {
    /// Returns `None` if messages between nodes are disabled.
    pub async fn bind(config: &Config) -> io::Result<Option<Self>> {
        let Some(listen) = config.peer_listen.filter(|_| config.settings.limits.peer_messages) else {
            return Ok(None);
        };
        let socket = match UdpSocket::bind(listen).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && config.listener_fd.is_some() => None,
            bound => Some(Rc::new(bound?)),
        };
        let own_addr = socket.as_ref().map_or(Ok(listen), |socket| socket.local_addr())?;
        Ok(Some(Peers {
            socket: RefCell::new(socket),
            own_addr,
            releases_on_stop: config.listener_fd.is_some(),
            peers: config.peers.clone(),
            broadcast_addr: config.peer_broadcast,
        }))
    }

    /// Sends to all other nodes. A message that the socket does not accept at once is lost.
    pub fn send(&self, bytes: &[u8]) {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return;
        }
        let Some(socket) = self.socket.borrow().clone() else { return };
        let unicast_addrs = if self.broadcast_addr.is_some() { &[][..] } else { &self.peers };
        for addr in self.broadcast_addr.iter().chain(unicast_addrs).filter(|addr| **addr != self.own_addr) {
            let _ = socket.try_send_to(bytes, *addr);
        }
    }

    /// Reports messages of other nodes until the address is released for another process.
    pub async fn serve(&self, handle: &HostHandle, lifecycle: &Lifecycle) {
        tokio::select! {
            () = self.listen(handle) => {}
            () = lifecycle.stopped(), if self.releases_on_stop => {}
        }
        self.socket.take();
    }

    /// Messages from unknown senders and oversized ones are dropped.
    async fn listen(&self, handle: &HostHandle) {
        let socket = self.bound_socket().await;
        let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
        loop {
            // An error here belongs to an earlier send that could not be delivered.
            let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            // A message of this node's own that is looped back must not count as another node's observation.
            if sender == self.own_addr {
                continue;
            }
            let Some(from) = self.peers.iter().position(|peer| *peer == sender) else { continue };
            if length <= MAX_MESSAGE_BYTES {
                handle.send(HostEvent::PeerMessage { from: from as u32, bytes: buffer[..length].to_vec() });
            }
        }
    }

    async fn bound_socket(&self) -> Rc<UdpSocket> {
        loop {
            if let Some(socket) = self.socket.borrow().clone() {
                return socket;
            }
            sleep(BIND_RETRY_INTERVAL).await;
            if let Ok(socket) = UdpSocket::bind(self.own_addr).await {
                self.socket.replace(Some(Rc::new(socket)));
            }
        }
    }
}
