//! A scripted coordinator: it answers polls with what has been published, in order, and holds them otherwise.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{
    ConfigUpdate, DirectoryCursor, EdgeRequest, Handshake, PollRequest, PollResponse, ServerRecord,
};
use shaletrail_protocol::Incarnation;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

#[derive(Default)]
struct Shared {
    replies: RefCell<VecDeque<PollResponse>>,
    published: Notify,
    polls: RefCell<Vec<PollRequest>>,
    hellos: Cell<usize>,
    has_left: Cell<bool>,
    asked: Notify,
    /// The next poll is answered late, with this.
    late_reply: RefCell<Option<PollResponse>>,
    is_late: Cell<bool>,
    released: Notify,
}

/// Its handle. It runs on the test's runtime.
#[derive(Clone)]
pub struct Coordinator {
    pub port: u16,
    shared: Rc<Shared>,
}

impl Coordinator {
    /// One at 127.0.0.2, on any port.
    pub async fn start() -> Coordinator {
        Coordinator::at("127.0.0.2", 0).await
    }

    /// One at an address.
    pub async fn at(address: &str, port: u16) -> Coordinator {
        let listener = TcpListener::bind((address, port)).await.expect("a port");
        let port = listener.local_addr().expect("an address").port();
        let shared = Rc::new(Shared::default());
        let coordinator = Coordinator { port, shared: shared.clone() };
        tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                tokio::task::spawn_local(serve(shared.clone(), stream));
            }
        });
        coordinator
    }

    /// Answers the next poll with this.
    pub fn publish(&self, reply: PollResponse) {
        self.shared.replies.borrow_mut().push_back(reply);
        self.shared.published.notify_waiters();
    }

    /// Tells news of the configuration.
    pub fn publish_configuration(&self, news: ConfigUpdate) {
        self.publish(PollResponse { config: Some(news), ..PollResponse::default() });
    }

    /// Tells the whole directory.
    pub fn publish_servers(&self, servers: Vec<ServerRecord>) {
        let cursor = DirectoryCursor { epoch: Incarnation(1), revision: 1 };
        self.publish(PollResponse {
            servers,
            complete: true,
            cursor,
            edge_count: 1,
            ..PollResponse::default()
        });
    }

    /// Waits until all that was published has been taken over: the edge has asked again after it.
    pub async fn all_taken(&self) {
        let answered = self.shared.replies.borrow().len() + self.shared.polls.borrow().len();
        self.until(|shared| shared.replies.borrow().is_empty() && shared.polls.borrow().len() > answered)
            .await;
    }

    /// Answers the next poll with this, but only once it is released.
    pub fn publish_late(&self, reply: PollResponse) {
        self.shared.late_reply.replace(Some(reply));
    }

    /// Waits until the poll that is answered late has come.
    pub async fn is_late(&self) {
        self.until(|shared| shared.is_late.get()).await;
    }

    /// Sends the late answer.
    pub fn release(&self) {
        self.shared.released.notify_one();
    }

    /// Waits until an edge has introduced itself.
    pub async fn greeted(&self) {
        self.greeted_times(1).await;
    }

    /// Waits until edges have introduced themselves so many times, each on a connection of its own.
    pub async fn greeted_times(&self, times: usize) {
        self.until(|shared| shared.hellos.get() >= times).await;
    }

    /// Waits for so many polls in all.
    pub async fn polled_times(&self, times: usize) {
        self.until(|shared| shared.polls.borrow().len() >= times).await;
    }

    /// Waits until the edge has said that it leaves.
    pub async fn left(&self) {
        self.until(|shared| shared.has_left.get()).await;
    }

    /// All polls so far.
    pub fn polls(&self) -> Vec<PollRequest> {
        self.shared.polls.borrow().clone()
    }

    async fn until(&self, holds: impl Fn(&Shared) -> bool) {
        loop {
            let asked = self.shared.asked.notified();
            if holds(&self.shared) {
                return;
            }
            asked.await;
        }
    }
}

async fn serve(shared: Rc<Shared>, mut stream: TcpStream) {
    let Some(Handshake::Edge(_)) = read::<Handshake>(&mut stream).await else { return };
    shared.hellos.set(shared.hellos.get() + 1);
    shared.asked.notify_waiters();
    while let Some(request) = read::<EdgeRequest>(&mut stream).await {
        let EdgeRequest::Poll(poll) = request else {
            shared.has_left.set(true);
            shared.asked.notify_waiters();
            return;
        };
        let (cursor, hold) = (poll.cursor, Duration::from_millis(u64::from(poll.max_wait_ms)));
        shared.polls.borrow_mut().push(poll);
        shared.asked.notify_waiters();
        let late = shared.late_reply.take();
        if let Some(reply) = late {
            shared.is_late.set(true);
            shared.asked.notify_waiters();
            shared.released.notified().await;
            // The edge may have closed the connection meanwhile.
            drop(stream.write_all(&frame::encode(&reply)).await);
            continue;
        }
        let quiet = PollResponse { cursor, ..PollResponse::default() };
        let reply = tokio::time::timeout(hold, next_reply(&shared)).await.unwrap_or(quiet);
        if stream.write_all(&frame::encode(&reply)).await.is_err() {
            return;
        }
    }
}

async fn next_reply(shared: &Shared) -> PollResponse {
    loop {
        let published = shared.published.notified();
        if let Some(reply) = shared.replies.borrow_mut().pop_front() {
            return reply;
        }
        published.await;
    }
}

async fn read<M: bitcode_message::Message>(stream: &mut TcpStream) -> Option<M> {
    let mut prefix = [0; frame::PREFIX_BYTES];
    stream.read_exact(&mut prefix).await.ok()?;
    let mut body = vec![0; frame::body_length(prefix).ok()?];
    stream.read_exact(&mut body).await.ok()?;
    M::decode(&body)
}

mod bitcode_message {
    use shaletrail_protocol::frame;
    use shaletrail_protocol::internal::{EdgeRequest, Handshake};

    /// What an edge sends.
    pub trait Message: Sized {
        fn decode(body: &[u8]) -> Option<Self>;
    }

    impl Message for Handshake {
        fn decode(body: &[u8]) -> Option<Self> {
            frame::decode(body).ok()
        }
    }

    impl Message for EdgeRequest {
        fn decode(body: &[u8]) -> Option<Self> {
            frame::decode(body).ok()
        }
    }
}
