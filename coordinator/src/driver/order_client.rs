//! Requests to model servers: orders, and requests for reports. Each request uses a new connection, which is closed
//! after the response.

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

/// Timeout for a server's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum length of a report, in bytes.
const MAX_REPORT_BYTES: usize = 256 << 10;
/// Header with the id of the server run that a request is addressed to. Another server at the address, or a later run
/// of the server, rejects the request.
const EXPECTED_INSTANCE: &str = "expected-instance";

/// An order with its destination.
#[derive(Clone, Debug)]
pub struct OutgoingOrder {
    /// The id of the server run that the order is addressed to.
    pub server: ServerId,
    /// The address of the server, as `IP:PORT`.
    pub address: String,
    /// The order itself, which is the body of the request.
    pub body: Order,
}

/// Sends an order, if `may_write` returns true when the bytes are about to be written. The order is not retried: if
/// bytes were written but there is no response, the outcome is [`OrderOutcome::Unknown`], because the server may have
/// accepted the order.
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
    let connection_task = tokio::task::spawn_local(connection);
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, sender.send_request(request)).await;
    connection_task.abort();
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

/// Requests a server's report; `None` if the server does not respond in time with a valid report.
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
    let connection_task = tokio::task::spawn_local(connection);
    let report = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.ok().flatten();
    connection_task.abort();
    report
}

/// Opens a connection on which the operating system does not send or retransmit bytes later than
/// [`ORDER_SEND_TIMEOUT`] after they were written. `None` if the connection cannot be established or the operating
/// system does not support this limit.
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
