//! The internal port: data-plane nodes poll here, other coordinators send their messages.

use std::rc::Rc;
use std::time::Duration;

use shaletrail_protocol::frame;
use shaletrail_protocol::inside::{CoreMessage, EdgeIdentity, EdgeRequest, Hello};
use shaletrail_protocol::NodeId;
use slog::{debug, Logger};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

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
    let hello: Hello = tokio::time::timeout(HELLO_TIME, sockets::read_frame(&mut stream)).await.map_err(late)??;
    match hello {
        Hello::Core { node, .. } => listen_to(host, node, stream).await,
        Hello::Edge(edge) => answer_polls(host, edge, stream).await,
    }
}

async fn listen_to(host: &Rc<Host>, from: NodeId, stream: TcpStream) -> Result<(), ReadError> {
    let mut stream = tokio::io::BufReader::new(stream);
    loop {
        let message: CoreMessage = sockets::read_frame(&mut stream).await?;
        host.handle(Event::Message { from, message });
    }
}

async fn answer_polls(host: &Rc<Host>, edge: EdgeIdentity, mut stream: TcpStream) -> Result<(), ReadError> {
    let late = |_| ReadError::from(std::io::Error::from(std::io::ErrorKind::TimedOut));
    loop {
        let request = tokio::time::timeout(IDLE_TIME, sockets::read_frame(&mut stream)).await.map_err(late)??;
        let request = match request {
            EdgeRequest::Poll(request) => request,
            EdgeRequest::Leave => {
                host.handle(Event::EdgeLeft(edge.node));
                return Ok(());
            }
        };
        let waiting = host.poll(edge.clone(), request);
        tokio::pin!(waiting);
        let reply = loop {
            tokio::select! {
                reply = &mut waiting => break reply,
                _ = stream.readable() => if ended(&stream) {
                    return Ok(());
                },
            }
        };
        let Some(reply) = reply else { return Ok(()) };
        let bytes = frame::encode(&*reply);
        tokio::time::timeout(WRITE_TIME, stream.write_all(&bytes)).await.map_err(late)??;
    }
}

/// Whether the other side has closed; an edge says nothing while it waits.
fn ended(stream: &TcpStream) -> bool {
    let mut byte = [0];
    !matches!(stream.try_read(&mut byte), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}
