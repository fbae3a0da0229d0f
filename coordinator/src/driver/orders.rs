//! Orders on their way to servers: one connection each, closed after the answer.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::handshake;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use shaletrail_protocol::external::{Order, ServerReport};
use shaletrail_protocol::ServerId;
use tokio::net::TcpStream;

use super::gate::GatedStream;
use super::sockets;
use crate::core::orders::ORDER_SEND_TIMEOUT;
use crate::interface::OrderOutcome;

/// Within which a server answers an order.
const ANSWER_TIME: Duration = Duration::from_millis(1500);
/// The longest report taken, in bytes.
const LONGEST_REPORT: usize = 256 << 10;
/// The header by which another server than the one that is meant, and a later start of it, refuses.
const EXPECTED_INSTANCE: &str = "expected-instance";

/// An order for a server.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The server's id.
    pub server: ServerId,
    /// Where it is, `IP:PORT`.
    pub address: String,
    /// The order.
    pub body: Order,
}

/// Sends an order on a connection of its own, if `may_write` allows it then; how that ended. It is sent once only:
/// no answer is [`OrderOutcome::Unknown`], as the server may have taken the order.
pub async fn deliver(outgoing: &Outgoing, may_write: impl Fn() -> bool + Unpin + 'static) -> OrderOutcome {
    let Some(request) = order_request(outgoing) else { return OrderOutcome::NotSent };
    let Some(stream) = connect_for_order(&outgoing.address).await else { return OrderOutcome::NotSent };
    let (stream, written) = GatedStream::new(stream, may_write);
    let Ok((mut sender, connection)) = handshake(TokioIo::new(stream)).await else {
        return OrderOutcome::NotSent;
    };
    let driving = tokio::task::spawn_local(connection);
    let answer = tokio::time::timeout(ANSWER_TIME, sender.send_request(request)).await;
    driving.abort();
    match answer {
        Ok(Ok(answer)) => outcome(answer.status()),
        Ok(Err(_)) | Err(_) => unanswered(&written),
    }
}

fn order_request(outgoing: &Outgoing) -> Option<Request<Full<Bytes>>> {
    let body = sonic_rs::to_vec(&outgoing.body).ok()?;
    let request = Request::post("/order")
        .header(HOST, &outgoing.address)
        .header(CONTENT_TYPE, "application/json")
        .header(EXPECTED_INSTANCE, &outgoing.server)
        .header(CONNECTION, "close");
    request.body(Full::new(Bytes::from(body))).ok()
}

fn unanswered(written: &Rc<Cell<bool>>) -> OrderOutcome {
    if written.get() {
        OrderOutcome::Unknown
    } else {
        OrderOutcome::NotSent
    }
}

/// Asks a server for its report; `None` if none comes in time.
pub async fn fetch_report(server: &str, address: &str) -> Option<ServerReport> {
    let request = Request::get("/report")
        .header(HOST, address)
        .header(EXPECTED_INSTANCE, server)
        .header(CONNECTION, "close")
        .body(Full::new(Bytes::new()))
        .ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(connect(address).await?)).await.ok()?;
    let asking = async move {
        let answer =
            sender.send_request(request).await.ok().filter(|answer| answer.status() == StatusCode::OK)?;
        let body = Limited::new(answer.into_body(), LONGEST_REPORT).collect().await.ok()?;
        sonic_rs::from_slice(&body.to_bytes()).ok()
    };
    let driving = tokio::task::spawn_local(connection);
    let report = tokio::time::timeout(ANSWER_TIME, asking).await.ok().flatten();
    driving.abort();
    report
}

/// A connection from which bytes leave within [`ORDER_SEND_TIMEOUT`] after they were written, or never; `None` if it
/// does not come up, or the system does not promise that.
pub async fn connect_for_order(address: &str) -> Option<TcpStream> {
    let stream = connect(address).await?;
    sockets::give_up_after(&stream, Duration::from_millis(ORDER_SEND_TIMEOUT)).ok()?;
    Some(stream)
}

async fn connect(address: &str) -> Option<TcpStream> {
    sockets::connect(address.parse::<SocketAddrV4>().ok()?).await.ok()
}

fn outcome(status: StatusCode) -> OrderOutcome {
    match status {
        StatusCode::ACCEPTED => OrderOutcome::Accepted,
        StatusCode::OK => OrderOutcome::AlreadyDone,
        StatusCode::CONFLICT => OrderOutcome::Busy,
        StatusCode::PRECONDITION_FAILED => OrderOutcome::Fenced,
        StatusCode::BAD_REQUEST => OrderOutcome::Rejected,
        StatusCode::MISDIRECTED_REQUEST => OrderOutcome::WrongInstance,
        _ => OrderOutcome::Unknown,
    }
}
