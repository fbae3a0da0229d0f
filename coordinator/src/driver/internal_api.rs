//! Serves the internal port, on which edges poll and other coordinators send their messages.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use shaletrail_protocol::internal::{CoordinatorMessage, Handshake};
use shaletrail_protocol::NodeId;
use slog::{debug, Logger};
use tokio::net::{TcpListener, TcpStream};

use super::accept::accept_connections;
use super::coordinator_driver::CoordinatorDriver;
use super::edge_polls::serve_edge;
use super::frames::{read_frame, ReadFrameError};
use super::peer_sessions::{PeerSessions, SessionNumber};
use super::sockets::with_timeout;
use crate::interface::Event;

/// Timeout for receiving the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of open connections: enough for all nodes of a zone to connect at the same time.
const MAX_CONNECTIONS: usize = 2048;

/// Accepts and serves connections for as long as the process runs.
pub async fn serve(driver: Rc<CoordinatorDriver>, listener: TcpListener, log: Logger) {
    let sessions = Rc::new(RefCell::new(PeerSessions::default()));
    accept_connections(listener, MAX_CONNECTIONS, |stream| {
        let (driver, log, sessions) = (Rc::clone(&driver), log.clone(), Rc::clone(&sessions));
        let session = sessions.borrow_mut().accept();
        async move {
            if let Err(error) = serve_connection(&driver, &sessions, session, stream).await {
                debug!(log, "internal connection closed"; "error" => %error);
            }
        }
    })
    .await;
}

async fn serve_connection(
    driver: &Rc<CoordinatorDriver>,
    sessions: &RefCell<PeerSessions>,
    session: SessionNumber,
    mut stream: TcpStream,
) -> Result<(), ReadFrameError> {
    match with_timeout(HANDSHAKE_TIMEOUT, read_frame(&mut stream)).await?? {
        Handshake::Coordinator { node, .. } => {
            sessions.borrow_mut().open(node, session);
            let is_current = || sessions.borrow().is_current(node, session);
            receive_messages(driver, node, stream, is_current).await
        }
        Handshake::Edge(edge) => serve_edge(driver, edge, stream).await,
    }
}

/// Handles a peer's messages for as long as this connection is the peer's newest one.
async fn receive_messages(
    driver: &Rc<CoordinatorDriver>,
    from: NodeId,
    stream: TcpStream,
    is_current: impl Fn() -> bool,
) -> Result<(), ReadFrameError> {
    let mut stream = tokio::io::BufReader::new(stream);
    while is_current() {
        let message: CoordinatorMessage = read_frame(&mut stream).await?;
        if is_current() {
            driver.handle(Event::Message { from, message });
        }
    }
    Ok(())
}
