//! A scripted coordinator: it responds to polls with the published responses, in order. While there are none,
//! it holds each poll for the time that the poll allows.

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
    /// The response to the next poll, which is sent only after `released`.
    delayed_response: RefCell<Option<PollResponse>>,
    delayed_poll_arrived: Cell<bool>,
    released: Notify,
}

/// A handle to a scripted coordinator, which runs on the test's runtime.
#[derive(Clone)]
pub struct Coordinator {
    pub port: u16,
    shared: Rc<Shared>,
}

impl Coordinator {
    /// Starts a coordinator at 127.0.0.2, on a port chosen by the operating system.
    pub async fn start() -> Coordinator {
        Coordinator::start_at("127.0.0.2", 0).await
    }

    pub async fn start_at(address: &str, port: u16) -> Coordinator {
        let listener = TcpListener::bind((address, port)).await.expect("bind listener");
        let port = listener.local_addr().expect("address of listener").port();
        let shared = Rc::new(Shared::default());
        let coordinator = Coordinator { port, shared: shared.clone() };
        tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("open connection");
                tokio::task::spawn_local(serve_connection(shared.clone(), stream));
            }
        });
        coordinator
    }

    /// Queues a response to a poll.
    pub fn publish(&self, response: PollResponse) {
        self.shared.responses.borrow_mut().push_back(response);
        self.shared.published.notify_waiters();
    }

    /// Queues a response with a configuration update.
    pub fn publish_configuration(&self, config_update: ConfigUpdate) {
        self.publish(PollResponse { config: Some(config_update), ..PollResponse::default() });
    }

    /// Queues a response with the complete directory of servers.
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

    /// Waits until all queued responses have been applied, which a later poll of the edge shows.
    pub async fn wait_until_applied(&self) {
        let expected_polls = self.shared.responses.borrow().len() + self.shared.polls.borrow().len();
        self.wait_until(|shared| {
            shared.responses.borrow().is_empty() && shared.polls.borrow().len() > expected_polls
        })
        .await;
    }

    /// Sets the response to the next poll, which is held back until [`Coordinator::release_delayed`].
    pub fn publish_delayed(&self, response: PollResponse) {
        self.shared.delayed_response.replace(Some(response));
    }

    /// Waits for the poll whose response is held back.
    pub async fn wait_for_delayed_poll(&self) {
        self.wait_until(|shared| shared.delayed_poll_arrived.get()).await;
    }

    /// Sends the response that is held back.
    pub fn release_delayed(&self) {
        self.shared.released.notify_one();
    }

    /// Waits until an edge has sent its handshake.
    pub async fn wait_for_connection(&self) {
        self.wait_for_connections(1).await;
    }

    /// Waits until edges have opened this many connections since the start, as shown by their handshakes.
    pub async fn wait_for_connections(&self, times: usize) {
        self.wait_until(|shared| shared.handshakes.get() >= times).await;
    }

    /// Waits for this many polls since the start.
    pub async fn wait_for_polls(&self, times: usize) {
        self.wait_until(|shared| shared.polls.borrow().len() >= times).await;
    }

    pub async fn wait_for_shutdown_notice(&self) {
        self.wait_until(|shared| shared.has_shutdown_notice.get()).await;
    }

    /// All polls received since the start.
    pub fn polls(&self) -> Vec<PollRequest> {
        self.shared.polls.borrow().clone()
    }

    async fn wait_until(&self, holds: impl Fn(&Shared) -> bool) {
        loop {
            let changed = self.shared.changed.notified();
            if holds(&self.shared) {
                return;
            }
            changed.await;
        }
    }
}

async fn serve_connection(shared: Rc<Shared>, mut stream: TcpStream) {
    let Some(Handshake::Edge(_)) = read_message::<Handshake>(&mut stream).await else { return };
    shared.handshakes.set(shared.handshakes.get() + 1);
    shared.changed.notify_waiters();
    while let Some(request) = read_message::<EdgeRequest>(&mut stream).await {
        let EdgeRequest::Poll(poll) = request else {
            shared.has_shutdown_notice.set(true);
            shared.changed.notify_waiters();
            return;
        };
        let (cursor, max_wait) = (poll.cursor, Duration::from_millis(u64::from(poll.max_wait_ms)));
        shared.polls.borrow_mut().push(poll);
        shared.changed.notify_waiters();
        let delayed = shared.delayed_response.take();
        if let Some(response) = delayed {
            shared.delayed_poll_arrived.set(true);
            shared.changed.notify_waiters();
            shared.released.notified().await;
            // The edge may have closed the connection, so a failed write is ignored.
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

async fn read_message<M: edge_message::Message>(stream: &mut TcpStream) -> Option<M> {
    let mut prefix = [0; frame::PREFIX_BYTES];
    stream.read_exact(&mut prefix).await.ok()?;
    let mut body = vec![0; frame::body_length(prefix).ok()?];
    stream.read_exact(&mut body).await.ok()?;
    M::decode(&body)
}

mod edge_message {
    use shaletrail_protocol::frame;
    use shaletrail_protocol::internal::{EdgeRequest, Handshake};

    /// A message that an edge sends.
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
