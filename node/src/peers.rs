//! Datagrams between nodes. They may be lost, so nobody waits for one.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::config::Config;
use crate::handle::{Handle, Heard};
use crate::lifecycle::Lifecycle;

/// Longest message that nodes may send.
const LONGEST: usize = 256;
/// Pause before the address is tried again that an older process of this node has not let go yet.
const TAKEN_PAUSE: Duration = Duration::from_millis(50);

pub struct Peers {
    /// `None` while another process of this node has the address: messages may be lost at any time.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    own: SocketAddr,
    /// Processes follow one another here, so the address is let go at a stop.
    handed_on: bool,
    /// By node number, this node among them.
    peers: Vec<SocketAddr>,
    /// What reaches every node at once, where there is such an address.
    all: Option<SocketAddr>,
}

impl Peers {
    /// `None` where the deployment lets nodes not talk.
    pub async fn bind(config: &Config) -> io::Result<Option<Self>> {
        let Some(listen) = config.peer_listen.filter(|_| config.settings.limits.peer_messages) else {
            return Ok(None);
        };
        let socket = match UdpSocket::bind(listen).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && config.socket.is_some() => None,
            bound => Some(Rc::new(bound?)),
        };
        let own = socket.as_ref().map_or(Ok(listen), |socket| socket.local_addr())?;
        Ok(Some(Peers {
            socket: RefCell::new(socket),
            own,
            handed_on: config.socket.is_some(),
            peers: config.peers.clone(),
            all: config.peers_all,
        }))
    }

    /// Sends to all nodes. What the socket does not take at once is lost, as it may be on the way.
    pub fn tell(&self, bytes: &[u8]) {
        if bytes.len() > LONGEST {
            return;
        }
        let Some(socket) = self.socket.borrow().clone() else { return };
        let each = if self.all.is_some() { &[][..] } else { &self.peers };
        for addr in self.all.iter().chain(each).filter(|addr| **addr != self.own) {
            let _ = socket.try_send_to(bytes, *addr);
        }
    }

    /// Hands on what other nodes send, until the address is another process's.
    pub async fn serve(&self, handle: &Handle, lifecycle: &Lifecycle) {
        tokio::select! {
            () = self.listen(handle) => {}
            () = lifecycle.stopped(), if self.handed_on => {}
        }
        self.socket.take();
    }

    /// Drops what comes from elsewhere or is too long.
    async fn listen(&self, handle: &Handle) {
        let socket = self.bound().await;
        let mut buffer = [0; LONGEST + 1];
        loop {
            // An error here reports an earlier send that reached nobody.
            let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            // An own message that comes back must not pass for a second node's finding.
            if sender == self.own {
                continue;
            }
            let Some(from) = self.peers.iter().position(|peer| *peer == sender) else { continue };
            if length <= LONGEST {
                handle.tell(Heard::Peer { from: from as u32, bytes: buffer[..length].to_vec() });
            }
        }
    }

    async fn bound(&self) -> Rc<UdpSocket> {
        loop {
            if let Some(socket) = self.socket.borrow().clone() {
                return socket;
            }
            sleep(TAKEN_PAUSE).await;
            if let Ok(socket) = UdpSocket::bind(self.own).await {
                self.socket.replace(Some(Rc::new(socket)));
            }
        }
    }
}
