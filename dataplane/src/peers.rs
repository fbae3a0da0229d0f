//! Exchanges load reports with the other edges by UDP: each edge announces how many requests it has in flight
//! at each server.
//!
//! The reports only improve load balancing: an edge that receives none balances by its own load alone.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ahash::AHashMap;
use shaletrail_protocol::internal::EdgeLoadReport;
use shaletrail_protocol::{Incarnation, NodeId};
use shaletrail_routing::interface::{Event, LoadUpdate};
use tokio::net::UdpSocket;

use crate::load_datagrams::LoadDatagramEncoder;
use crate::state::State;

/// Interval between announcements, unless a change is urgent.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Pause after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Limits the edges whose last sequence number is kept.
const MAX_TRACKED_EDGES: usize = 256;

/// Identifies the most recent load report of an edge.
struct LastReport {
    incarnation: Incarnation,
    sequence: u64,
}

/// Sends load reports to the other edges and receives theirs.
pub struct Peers {
    state: Rc<State>,
    socket: UdpSocket,
    port: u16,
    datagrams: RefCell<LoadDatagramEncoder>,
    last_reports: RefCell<AHashMap<NodeId, LastReport>>,
}

impl Peers {
    /// Opens the socket at `address`. The other edges are assumed to use the same port.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn open(
        state: Rc<State>,
        address: SocketAddrV4,
        incarnation: Incarnation,
    ) -> std::io::Result<Peers> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Peers {
            state,
            socket,
            port: address.port(),
            datagrams: RefCell::new(LoadDatagramEncoder::new(NodeId::from(*address.ip()), incarnation)),
            last_reports: RefCell::default(),
        })
    }

    /// Announces and receives load reports; never returns.
    pub async fn run(&self) {
        tokio::join!(self.announce(), self.receive());
    }

    async fn announce(&self) {
        loop {
            let _ = tokio::time::timeout(ANNOUNCE_INTERVAL, self.state.load_update_ready.notified()).await;
            let now = self.state.clock.now();
            for update in self.state.with_router(|router| router.take_load_updates(now)) {
                self.send(&update).await;
            }
        }
    }

    async fn send(&self, update: &LoadUpdate) {
        let datagrams = self.datagrams.borrow_mut().encode(update);
        for datagram in datagrams {
            for edge in update.to.iter() {
                // Errors are ignored: a later update makes up for a lost datagram.
                let _ = self.socket.send_to(&datagram, SocketAddrV4::new(edge.address(), self.port)).await;
            }
        }
    }

    async fn receive(&self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            };
            let Some(Ok(report)) = buffer.get(..length).map(bitcode::decode::<EdgeLoadReport>) else {
                continue;
            };
            if self.is_new(&report) {
                self.state.handle(Event::PeerLoads {
                    edge: report.edge,
                    scope: report.scope,
                    loads: report.loads,
                });
            }
        }
    }

    /// Whether a report is newer than the previous one from the same edge; if so, records it.
    fn is_new(&self, report: &EdgeLoadReport) -> bool {
        let mut last_reports = self.last_reports.borrow_mut();
        if last_reports.len() >= MAX_TRACKED_EDGES && !last_reports.contains_key(&report.edge) {
            last_reports.clear();
        }
        let first = LastReport { incarnation: report.incarnation, sequence: 0 };
        let last = last_reports.entry(report.edge).or_insert(first);
        let is_new = last.incarnation != report.incarnation || report.sequence > last.sequence;
        if is_new {
            *last = LastReport { incarnation: report.incarnation, sequence: report.sequence };
        }
        is_new
    }
}
