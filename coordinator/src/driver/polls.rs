//! The internal port: data-plane nodes poll here, other coordinators send their messages.

use std::rc::Rc;
use std::time::Duration;

use shaletrail_protocol::frame;
use shaletrail_protocol::internal::{CoordinatorMessage, EdgeIdentity, EdgeRequest, Handshake};
use shaletrail_protocol::NodeId;
use slog::{debug, Logger};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::host::Host;
use super::sockets::{self, ReadError};
use crate::interface::Event;

/// Pause after a failed accept.
const PAUSE: Duration = Duration::from_millis(20);
/// Within which a caller must say who it is.
const HELLO_TIME: Duration = Duration::from_secs(2);
/// Within which an answer must have been written.
const WRITE_TIME: Duration = Duration::from_secs(5);
/// How long an edge may say nothing between two polls.
const IDLE_TIME: Duration = Duration::from_secs(15);
/// Requests of one edge that may wait to be looked at.
const REQUESTS_WAITING: usize = 4;
/// Connections taken at once; a zone's nodes may all come at the same moment.
const MOST_CONNECTIONS: usize = 2048;

/// Takes connections for as long as the process runs.
pub async fn serve(host: Rc<Host>, listener: TcpListener, log: Logger) {
    let open = std::sync::Arc::new(tokio::sync::Semaphore::new(MOST_CONNECTIONS));
    loop {
        let Ok(permit) = std::sync::Arc::clone(&open).acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                sockets::tune(&stream);
                let (host, log) = (Rc::clone(&host), log.clone());
                tokio::task::spawn_local(async move {
                    let _permit = permit;
                    if let Err(error) = converse(&host, stream).await {
                        debug!(log, "internal connection ended"; "error" => %error);
                    }
                });
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

async fn converse(host: &Rc<Host>, mut stream: TcpStream) -> Result<(), ReadError> {
    let late = |_| ReadError::from(std::io::Error::from(std::io::ErrorKind::TimedOut));
    let hello: Handshake =
        tokio::time::timeout(HELLO_TIME, sockets::read_frame(&mut stream)).await.map_err(late)??;
    match hello {
        Handshake::Coordinator { node, .. } => listen_to(host, node, stream).await,
        Handshake::Edge(edge) => answer_polls(host, edge, stream).await,
    }
}

async fn listen_to(host: &Rc<Host>, from: NodeId, stream: TcpStream) -> Result<(), ReadError> {
    let mut stream = tokio::io::BufReader::new(stream);
    loop {
        let message: CoordinatorMessage = sockets::read_frame(&mut stream).await?;
        host.handle(Event::Message { from, message });
    }
}

async fn answer_polls(host: &Rc<Host>, edge: EdgeIdentity, stream: TcpStream) -> Result<(), ReadError> {
    let late = |_| ReadError::from(std::io::Error::from(std::io::ErrorKind::TimedOut));
    let (from, mut to) = stream.into_split();
    let (sender, mut requests) = mpsc::channel(REQUESTS_WAITING);
    let reading = AbortOnDrop(tokio::task::spawn_local(read_requests(from, sender)));
    let mut next = None;
    loop {
        let request = match next.take() {
            Some(request) => Some(request),
            None => tokio::time::timeout(IDLE_TIME, requests.recv()).await.map_err(late)?,
        };
        let poll = match request {
            Some(EdgeRequest::Poll(poll)) => poll,
            Some(other) => match take(host, &edge, other) {
                true => continue,
                false => return Ok(()),
            },
            None => return Ok(()),
        };
        let waiting = host.poll(edge.clone(), poll);
        tokio::pin!(waiting);
        let reply = loop {
            tokio::select! {
                reply = &mut waiting => break reply,
                request = requests.recv() => match request {
                    Some(EdgeRequest::Poll(poll)) => {
                        // The edge has given the poll up that is held: the newer one counts.
                        next = Some(EdgeRequest::Poll(poll));
                        break None;
                    }
                    Some(other) => if !take(host, &edge, other) {
                        return Ok(());
                    },
                    None => return Ok(()),
                },
            }
        };
        if let Some(reply) = reply {
            let bytes = frame::encode(&*reply);
            tokio::time::timeout(WRITE_TIME, to.write_all(&bytes)).await.map_err(late)??;
        } else if next.is_none() {
            drop(reading);
            return Ok(());
        }
    }
}

/// Takes what needs no answer; whether the edge stays.
fn take(host: &Rc<Host>, edge: &EdgeIdentity, request: EdgeRequest) -> bool {
    match request {
        EdgeRequest::Report { demand } => {
            host.handle(Event::EdgeReport { edge: edge.node, demand });
            true
        }
        EdgeRequest::Leave => {
            host.handle(Event::EdgeDisconnected(edge.node));
            false
        }
        EdgeRequest::Poll(_) => true,
    }
}

/// Reads what an edge sends until its connection ends.
async fn read_requests(mut from: OwnedReadHalf, requests: mpsc::Sender<EdgeRequest>) {
    while let Ok(request) = sockets::read_frame(&mut from).await {
        if requests.send(request).await.is_err() {
            return;
        }
    }
}

/// A task that ends with its owner.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
