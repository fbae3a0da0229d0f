//! Datagrams between the edges: each tells the others what it has under way at servers.
//!
//! Nothing rests on them but how well requests are spread: an edge that hears nothing decides by what it has itself.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ahash::AHashMap;
use shaletrail_protocol::internal::EdgeLoadReport;
use shaletrail_protocol::{Incarnation, NodeId};
use shaletrail_routing::interface::{Event, LoadUpdate};
use tokio::net::UdpSocket;

use crate::load_datagrams::LoadDatagrams;
use crate::state::State;

/// Between two looks at what has changed a little.
const INTERVAL: Duration = Duration::from_millis(100);
/// The longest datagram taken, in bytes.
const LONGEST: usize = 2048;
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(50);
/// Edges of which the newest datagram's number is kept.
const MOST_EDGES: usize = 256;

/// The exchange with the other edges.
pub struct Peers {
    state: Rc<State>,
    socket: UdpSocket,
    port: u16,
    datagrams: RefCell<LoadDatagrams>,
    seen: RefCell<AHashMap<NodeId, (Incarnation, u64)>>,
}

impl Peers {
    /// Opens the socket at this machine's address.
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
            datagrams: RefCell::new(LoadDatagrams::new(NodeId::from(*address.ip()), incarnation)),
            seen: RefCell::default(),
        })
    }

    /// Tells and hears for as long as the process runs.
    pub async fn run(&self) {
        tokio::join!(self.tell(), self.hear());
    }

    async fn tell(&self) {
        loop {
            let _ = tokio::time::timeout(INTERVAL, self.state.shares_changed.notified()).await;
            let now = self.state.clock.now();
            for news in self.state.with_router(|router| router.take_load_update(now)) {
                self.send(&news).await;
            }
        }
    }

    async fn send(&self, news: &LoadUpdate) {
        let datagrams = self.datagrams.borrow_mut().encode(news);
        for datagram in datagrams {
            for edge in news.to.iter() {
                // A datagram that is lost is made good by the next.
                let _ = self.socket.send_to(&datagram, SocketAddrV4::new(edge.address(), self.port)).await;
            }
        }
    }

    async fn hear(&self) {
        let mut buffer = [0; LONGEST];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            let Some(Ok(loads)) = buffer.get(..length).map(bitcode::decode::<EdgeLoadReport>) else {
                continue;
            };
            if self.is_new(&loads) {
                self.state.handle(Event::PeerLoads {
                    edge: loads.edge,
                    scope: loads.scope,
                    loads: loads.loads,
                });
            }
        }
    }

    /// Whether it is no earlier one than the edge's newest that was seen.
    fn is_new(&self, loads: &EdgeLoadReport) -> bool {
        let mut seen = self.seen.borrow_mut();
        if seen.len() >= MOST_EDGES && !seen.contains_key(&loads.edge) {
            seen.clear();
        }
        let newest = seen.entry(loads.edge).or_insert((loads.incarnation, 0));
        let is_new = newest.0 != loads.incarnation || loads.sequence > newest.1;
        if is_new {
            *newest = (loads.incarnation, loads.sequence);
        }
        is_new
    }
}
