//! One connection to each other coordinator, over which this one sends its messages; they come back over the
//! other's own connection. Messages to a node that is out of reach are dropped beyond a bound, oldest first.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{CoordinatorMessage, Handshake};
use shaletrail_protocol::{Incarnation, NodeId};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::sockets;

/// Bytes that may wait for a node.
const QUEUE_BYTES: usize = 24 << 20;
/// Messages that may wait for a node.
const QUEUE_LENGTH: usize = 4096;
/// Pause after a failed connection; messages that come meanwhile wait.
const PAUSE: Duration = Duration::from_millis(150);
/// Nodes to which links are kept: far more than there can be coordinators.
const MOST_LINKS: usize = 256;
/// How long one write may take before the connection is given up.
const WRITE_TIME: Duration = Duration::from_secs(2);
/// Bytes written at once.
const BATCH: usize = 256 << 10;

/// Links to all other coordinators.
pub struct Links {
    port: u16,
    hello: Vec<u8>,
    queues: HashMap<NodeId, Rc<Queue>>,
}

struct Queue {
    waiting: RefCell<Waiting>,
    filled: Notify,
}

#[derive(Default)]
struct Waiting {
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Waiting {
    fn push(&mut self, frame: Vec<u8>) {
        self.bytes += frame.len();
        self.frames.push_back(frame);
        while self.frames.len() > QUEUE_LENGTH || (self.bytes > QUEUE_BYTES && self.frames.len() > 1) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(frame) = self.frames.pop_front() {
            self.bytes -= frame.len();
        }
    }

    /// As many frames as go into one write.
    fn take(&mut self) -> Vec<u8> {
        let mut batch = self.frames.pop_front().unwrap_or_default();
        while let Some(next) = self.frames.front() {
            if batch.len() + next.len() > BATCH {
                break;
            }
            batch.extend_from_slice(next);
            self.frames.pop_front();
        }
        self.bytes = self.frames.iter().map(Vec::len).sum();
        batch
    }

    fn clear(&mut self) {
        self.frames.clear();
        self.bytes = 0;
    }
}

impl Links {
    /// Links of a node to the internal port of others.
    pub fn new(node: NodeId, incarnation: Incarnation, port: u16) -> Self {
        let hello = frame::encode(&Handshake::Coordinator { node, incarnation });
        Links { port, hello, queues: HashMap::new() }
    }

    /// Puts a message on its way.
    pub fn send(&mut self, to: NodeId, message: &CoordinatorMessage) {
        if self.queues.len() >= MOST_LINKS && !self.queues.contains_key(&to) {
            return;
        }
        let queue = self.queues.entry(to).or_insert_with(|| {
            let queue = Rc::new(Queue { waiting: RefCell::default(), filled: Notify::new() });
            let address = SocketAddrV4::new(to.address(), self.port);
            tokio::task::spawn_local(keep(address, self.hello.clone(), Rc::clone(&queue)));
            queue
        });
        queue.waiting.borrow_mut().push(frame::encode(message));
        queue.filled.notify_one();
    }
}

/// Keeps a link for as long as the process runs.
async fn keep(address: SocketAddrV4, hello: Vec<u8>, queue: Rc<Queue>) {
    loop {
        queue.filled.notified().await;
        if let Ok(stream) = sockets::connect(address).await {
            let _ = pump(stream, &hello, &queue).await;
        }
        // What could not be sent is old by the time the node is back; its senders repeat what still matters.
        queue.waiting.borrow_mut().clear();
        tokio::time::sleep(PAUSE).await;
    }
}

/// Writes what waits until the connection fails.
async fn pump(mut stream: TcpStream, hello: &[u8], queue: &Queue) -> std::io::Result<()> {
    let (mut from, mut to) = stream.split();
    let writing = async {
        write(&mut to, hello).await?;
        loop {
            let batch = queue.waiting.borrow_mut().take();
            if batch.is_empty() {
                queue.filled.notified().await;
            } else {
                write(&mut to, &batch).await?;
            }
        }
    };
    // The other side never writes here: what can be read is its end.
    let mut byte = [0];
    tokio::select! {
        written = writing => written,
        _ = tokio::io::AsyncReadExt::read(&mut from, &mut byte) => Ok(()),
    }
}

async fn write(to: &mut (impl tokio::io::AsyncWrite + Unpin), bytes: &[u8]) -> std::io::Result<()> {
    let late = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    tokio::time::timeout(WRITE_TIME, to.write_all(bytes)).await.map_err(late)?
}
