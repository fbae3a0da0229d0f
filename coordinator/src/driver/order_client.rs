//! Requests to model servers: orders and reports, each on a connection of its own that is closed after the response.

use std::net::SocketAddrV4;
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

use super::lease_guard::LeaseGuardedStream;
use super::sockets;
use crate::core::orders::ORDER_SEND_TIMEOUT;
use crate::interface::OrderOutcome;

/// How long a server may take to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The longest report that is accepted, in bytes.
const MAX_REPORT_BYTES: usize = 256 << 10;
/// Names the start of a server that is meant: another server at the address, or a later start, rejects the request.
const EXPECTED_INSTANCE: &str = "expected-instance";

/// An order with its destination.
#[derive(Clone, Debug)]
pub struct OutgoingOrder {
    /// The start of the server that is meant.
    pub server: ServerId,
    /// The address of the server, `IP:PORT`.
    pub address: String,
    /// The body of the request.
    pub body: Order,
}

/// Sends an order if `may_write` permits it at the moment when the bytes are written. It is never retried here: without
/// a response the outcome is [`OrderOutcome::Unknown`], as the server may have accepted the order.
pub async fn send_order(
    outgoing: &OutgoingOrder,
    may_write: impl Fn() -> bool + Unpin + 'static,
) -> OrderOutcome {
    let Some(request) = order_request(outgoing) else { return OrderOutcome::NotSent };
    let Some(stream) = connect_for_order(&outgoing.address).await else { return OrderOutcome::NotSent };
    let (stream, has_written) = LeaseGuardedStream::new(stream, may_write);
    let Ok((mut sender, connection)) = handshake(TokioIo::new(stream)).await else {
        return OrderOutcome::NotSent;
    };
    let driving = tokio::task::spawn_local(connection);
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, sender.send_request(request)).await;
    driving.abort();
    match response {
        Ok(Ok(response)) => outcome_of(response.status()),
        Ok(Err(_)) | Err(_) if has_written.get() => OrderOutcome::Unknown,
        Ok(Err(_)) | Err(_) => OrderOutcome::NotSent,
    }
}

fn order_request(outgoing: &OutgoingOrder) -> Option<Request<Full<Bytes>>> {
    let body = sonic_rs::to_vec(&outgoing.body).ok()?;
    let request = Request::post("/order")
        .header(HOST, &outgoing.address)
        .header(CONTENT_TYPE, "application/json")
        .header(EXPECTED_INSTANCE, &outgoing.server)
        .header(CONNECTION, "close");
    request.body(Full::new(Bytes::from(body))).ok()
}

/// Asks a server for its report; `None` if it does not send a valid one in time.
pub async fn fetch_report(server: &str, address: &str) -> Option<ServerReport> {
    let request = Request::get("/report")
        .header(HOST, address)
        .header(EXPECTED_INSTANCE, server)
        .header(CONNECTION, "close")
        .body(Full::new(Bytes::new()))
        .ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(connect(address).await?)).await.ok()?;
    let exchange = async move {
        let response = sender.send_request(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_REPORT_BYTES).collect().await.ok()?;
        sonic_rs::from_slice(&body.to_bytes()).ok()
    };
    let driving = tokio::task::spawn_local(connection);
    let report = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.ok().flatten();
    driving.abort();
    report
}

/// A connection whose bytes leave within [`ORDER_SEND_TIMEOUT`] after they were written, or never. `None` if it cannot be
/// established, or the operating system does not guarantee that.
pub async fn connect_for_order(address: &str) -> Option<TcpStream> {
    let stream = connect(address).await?;
    sockets::set_unacknowledged_timeout(&stream, Duration::from_millis(ORDER_SEND_TIMEOUT)).ok()?;
    Some(stream)
}

async fn connect(address: &str) -> Option<TcpStream> {
    sockets::connect(address.parse::<SocketAddrV4>().ok()?).await.ok()
}

fn outcome_of(status: StatusCode) -> OrderOutcome {
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
