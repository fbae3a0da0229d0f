//! A scripted coordinator: it responds to polls with what has been published, in order, and holds them otherwise.

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
    responses: RefCell<VecDeque<PollResponse>>,
    published: Notify,
    polls: RefCell<Vec<PollRequest>>,
    handshakes: Cell<usize>,
    has_shutdown_notice: Cell<bool>,
    changed: Notify,
    /// The response to the next poll, which is held until it is released.
    delayed_response: RefCell<Option<PollResponse>>,
    delayed_poll_arrived: Cell<bool>,
    released: Notify,
}

/// The handle of a scripted coordinator, which runs on the test's runtime.
#[derive(Clone)]
pub struct Coordinator {
    pub port: u16,
    shared: Rc<Shared>,
}

impl Coordinator {
    /// Starts a coordinator at 127.0.0.2, on any port.
    pub async fn start() -> Coordinator {
        Coordinator::at("127.0.0.2", 0).await
    }

    /// Starts a coordinator at an address.
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

    /// Queues the response to a poll.
    pub fn publish(&self, response: PollResponse) {
        self.shared.responses.borrow_mut().push_back(response);
        self.shared.published.notify_waiters();
    }

    /// Publishes an update of the configuration.
    pub fn publish_configuration(&self, config_update: ConfigUpdate) {
        self.publish(PollResponse { config: Some(config_update), ..PollResponse::default() });
    }

    /// Publishes the complete directory.
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

    /// Waits until everything published has been applied: the edge has polled again after it.
    pub async fn all_applied(&self) {
        let answered = self.shared.responses.borrow().len() + self.shared.polls.borrow().len();
        self.until(|shared| shared.responses.borrow().is_empty() && shared.polls.borrow().len() > answered)
            .await;
    }

    /// Sets the response to the next poll, which is sent only once it is released.
    pub fn publish_delayed(&self, response: PollResponse) {
        self.shared.delayed_response.replace(Some(response));
    }

    /// Waits until the poll whose response is delayed has arrived.
    pub async fn delayed_poll_arrived(&self) {
        self.until(|shared| shared.delayed_poll_arrived.get()).await;
    }

    /// Sends the delayed response.
    pub fn release_delayed(&self) {
        self.shared.released.notify_one();
    }

    /// Waits until an edge has sent its handshake.
    pub async fn connected(&self) {
        self.connected_times(1).await;
    }

    /// Waits for this many handshakes, each on a connection of its own.
    pub async fn connected_times(&self, times: usize) {
        self.until(|shared| shared.handshakes.get() >= times).await;
    }

    /// Waits for this many polls in all.
    pub async fn polled_times(&self, times: usize) {
        self.until(|shared| shared.polls.borrow().len() >= times).await;
    }

    /// Waits until the edge has sent its shutdown notice.
    pub async fn received_shutdown_notice(&self) {
        self.until(|shared| shared.has_shutdown_notice.get()).await;
    }

    /// All polls so far.
    pub fn polls(&self) -> Vec<PollRequest> {
        self.shared.polls.borrow().clone()
    }

    async fn until(&self, holds: impl Fn(&Shared) -> bool) {
        loop {
            let changed = self.shared.changed.notified();
            if holds(&self.shared) {
                return;
            }
            changed.await;
        }
    }
}

async fn serve(shared: Rc<Shared>, mut stream: TcpStream) {
    let Some(Handshake::Edge(_)) = read::<Handshake>(&mut stream).await else { return };
    shared.handshakes.set(shared.handshakes.get() + 1);
    shared.changed.notify_waiters();
    while let Some(request) = read::<EdgeRequest>(&mut stream).await {
        let EdgeRequest::Poll(poll) = request else {
            shared.has_shutdown_notice.set(true);
            shared.changed.notify_waiters();
            return;
        };
        let (cursor, max_wait) = (poll.cursor, Duration::from_millis(u64::from(poll.max_wait_ms)));
        shared.polls.borrow_mut().push(poll);
        shared.changed.notify_waiters();
        let late = shared.delayed_response.take();
        if let Some(response) = late {
            shared.delayed_poll_arrived.set(true);
            shared.changed.notify_waiters();
            shared.released.notified().await;
            // The edge may have closed the connection meanwhile.
            drop(stream.write_all(&frame::encode(&response)).await);
            continue;
        }
        let no_update = PollResponse { cursor, ..PollResponse::default() };
        let response = tokio::time::timeout(max_wait, next_response(&shared)).await.unwrap_or(no_update);
        if stream.write_all(&frame::encode(&response)).await.is_err() {
            return;
        }
    }
}

async fn next_response(shared: &Shared) -> PollResponse {
    loop {
        let published = shared.published.notified();
        if let Some(response) = shared.responses.borrow_mut().pop_front() {
            return response;
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
