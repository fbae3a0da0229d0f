//! Orders on their way to servers: one connection each, closed after the answer.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{Connection, SendRequest};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use shaletrail_protocol::outside::{Order, Report};
use shaletrail_protocol::{Millis, ServerId};
use slog::{debug, Logger};

use tokio::net::TcpStream;

use super::host::Host;
use super::sockets;
use crate::interface::{Event, OrderId, OrderOutcome};

/// Within which a server answers an order.
const ANSWER_TIME: Duration = Duration::from_millis(1500);

/// The longest report taken, in bytes.
const LONGEST_REPORT: usize = 256 << 10;

/// Sends orders.
pub struct Orders {
    log: Logger,
}

impl Orders {
    /// Nothing under way.
    pub fn new(log: Logger) -> Self {
        Orders { log }
    }

    /// Sends an order unless its lease has run out; an [`Event::Ordered`] follows.
    pub fn send(
        &self,
        host: Rc<Host>,
        order: OrderId,
        server: ServerId,
        address: String,
        body: Order,
        not_after: Millis,
    ) {
        let log = self.log.clone();
        tokio::task::spawn_local(async move {
            let outcome = deliver(&host, &server, &address, &body, not_after).await;
            debug!(log, "order"; "operation" => %body.operation, "model" => &body.model,
                "adapter" => body.adapter.as_deref().unwrap_or(""), "server" => &server, "outcome" => %outcome);
            host.handle(Event::Ordered { order, outcome });
        });
    }

    /// Asks a server for its report; an [`Event::Reported`] follows.
    pub fn ask(&self, host: Rc<Host>, server: ServerId, address: String) {
        tokio::task::spawn_local(async move {
            let report = fetch_report(&server, &address).await;
            host.handle(Event::Reported { server, report });
        });
    }
}

async fn fetch_report(server: &str, address: &str) -> Option<Report> {
    let request = Request::get("/report")
        .header(HOST, address)
        .header("expected-instance", server)
        .header(CONNECTION, "close")
        .body(Full::new(Bytes::new()))
        .ok()?;
    let (sender, connection) = connect(address).await?;
    let asking = async move {
        let answer =
            { sender }.send_request(request).await.ok().filter(|answer| answer.status() == StatusCode::OK)?;
        let body = Limited::new(answer.into_body(), LONGEST_REPORT).collect().await.ok()?;
        sonic_rs::from_slice(&body.to_bytes()).ok()
    };
    let driving = tokio::task::spawn_local(connection);
    let report = tokio::time::timeout(ANSWER_TIME, asking).await.ok().flatten();
    driving.abort();
    report
}

type Connected = (SendRequest<Full<Bytes>>, Connection<TokioIo<TcpStream>, Full<Bytes>>);

async fn connect(address: &str) -> Option<Connected> {
    let stream = sockets::connect(address.parse::<SocketAddrV4>().ok()?).await.ok()?;
    hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()
}

async fn deliver(host: &Host, server: &str, address: &str, order: &Order, not_after: Millis) -> OrderOutcome {
    let Ok(body) = sonic_rs::to_vec(order) else { return OrderOutcome::NotSent };
    let request = Request::post("/order")
        .header(HOST, address)
        .header(CONTENT_TYPE, "application/json")
        .header("expected-instance", server)
        .header(CONNECTION, "close")
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else { return OrderOutcome::NotSent };
    let Some((mut sender, connection)) = connect(address).await else { return OrderOutcome::NotSent };
    // After a long pause of this process the lease may have gone to another node.
    if host.now() >= not_after {
        return OrderOutcome::NotSent;
    }
    let driving = tokio::task::spawn_local(connection);
    let answer = tokio::time::timeout(ANSWER_TIME, sender.send_request(request)).await;
    driving.abort();
    match answer {
        Ok(Ok(answer)) => outcome(answer.status()),
        Ok(Err(_)) | Err(_) => OrderOutcome::Unknown,
    }
}

fn outcome(status: StatusCode) -> OrderOutcome {
    match status {
        StatusCode::ACCEPTED => OrderOutcome::Accepted,
        StatusCode::OK => OrderOutcome::AlreadyHeld,
        StatusCode::CONFLICT => OrderOutcome::Busy,
        StatusCode::PRECONDITION_FAILED => OrderOutcome::Fenced,
        StatusCode::BAD_REQUEST => OrderOutcome::Rejected,
        StatusCode::MISDIRECTED_REQUEST => OrderOutcome::Gone,
        _ => OrderOutcome::Unknown,
    }
}
