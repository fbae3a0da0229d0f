//! Sends messages to other coordinators, over one outgoing connection to each of them. The messages of another
//! coordinator arrive over the connection that it has opened. While a coordinator cannot be reached, messages to it
//! are dropped, the oldest first.

mod send_queue;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{CoordinatorMessage, Handshake};
use shaletrail_protocol::{Incarnation, NodeId};
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::sockets::{self, with_timeout};
use send_queue::SendQueue;

/// Delay before reconnecting.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of peers; far more than the possible number of coordinators.
const MAX_PEERS: usize = 256;
/// Timeout for one write, after which the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The outgoing connections to other coordinators.
pub struct PeerConnections {
    port: u16,
    /// The encoded [`Handshake`] of this node.
    handshake: Vec<u8>,
    peers: HashMap<NodeId, Rc<Peer>>,
}

struct Peer {
    queue: RefCell<SendQueue>,
    /// Notified when a message is queued.
    queued: Notify,
}

impl PeerConnections {
    /// Creates the set of connections to the internal `port` of other coordinators. No connection is opened yet.
    pub fn new(node: NodeId, incarnation: Incarnation, port: u16) -> Self {
        let handshake = frame::encode(&Handshake::Coordinator { node, incarnation });
        PeerConnections { port, handshake, peers: HashMap::new() }
    }

    /// Queues a message. The first message to a peer opens the connection to it. Messages may get lost. Must be
    /// called within a `LocalSet`.
    pub fn send(&mut self, to: NodeId, message: &CoordinatorMessage) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&to) {
            return;
        }
        let peer = self.peers.entry(to).or_insert_with(|| {
            let peer = Rc::new(Peer { queue: RefCell::default(), queued: Notify::new() });
            let address = SocketAddrV4::new(to.address(), self.port);
            tokio::task::spawn_local(run_connection(address, self.handshake.clone(), Rc::clone(&peer)));
            peer
        });
        peer.queue.borrow_mut().push(frame::encode(message));
        peer.queued.notify_one();
    }
}

/// Connects to a peer whenever messages are queued for it, for as long as the process runs.
async fn run_connection(address: SocketAddrV4, handshake: Vec<u8>, peer: Rc<Peer>) {
    loop {
        peer.queued.notified().await;
        if let Ok(stream) = sockets::connect(address).await {
            let _ = write_messages(stream, &handshake, &peer).await;
        }
        // Unsent messages would be outdated once the peer can be reached again. Senders retry those that are still
        // needed.
        peer.queue.borrow_mut().clear();
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Writes the handshake, and then queued messages until the connection fails or is closed.
async fn write_messages(mut stream: TcpStream, handshake: &[u8], peer: &Peer) -> std::io::Result<()> {
    let (mut reader, mut writer) = stream.split();
    let writing = async {
        write(&mut writer, handshake).await?;
        loop {
            let batch = peer.queue.borrow_mut().take_batch();
            if batch.is_empty() {
                peer.queued.notified().await;
            } else {
                write(&mut writer, &batch).await?;
            }
        }
    };
    // The peer never writes on this connection, so a completed read means that the peer has closed it.
    let mut byte = [0];
    tokio::select! {
        written = writing => written,
        _ = reader.read(&mut byte) => Ok(()),
    }
}

async fn write(writer: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> std::io::Result<()> {
    with_timeout(WRITE_TIMEOUT, writer.write_all(bytes)).await?
}
