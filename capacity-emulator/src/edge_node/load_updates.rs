//! Loads that edges tell each other in datagrams.

use std::rc::Rc;

use shaletrail_protocol::internal::EdgeLoadReport;
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_routing::interface::Event;

use super::EdgeNode;
use crate::activity::Activity;
use crate::cpu_timer::CpuTimer;
use crate::deployment;
use crate::environment::Environment;
use crate::events::{EdgeEvent, ScheduledEvent};
use crate::topology::{latency, zone_of};

/// The interval at which the router is asked for load updates, as in the data plane.
pub(super) const LOAD_UPDATE_INTERVAL_MS: Millis = 100;

impl EdgeNode {
    /// Sends the router's load updates to the edges that they are for.
    pub(super) fn send_load_updates(&mut self, environment: &mut Environment) {
        let Some(routing) = &mut self.routing else { return };
        let timer = CpuTimer::start();
        let updates = routing.router.take_load_updates(environment.scheduler.now);
        let datagrams: Vec<Vec<Vec<u8>>> =
            updates.iter().map(|update| self.datagrams.encode(update)).collect();
        self.usage.record_cpu(Activity::LoadDatagram, timer.elapsed());
        for (update, datagrams) in updates.iter().zip(datagrams) {
            for datagram in datagrams {
                self.send_datagram(environment, &update.to, datagram.into());
            }
        }
    }

    fn send_datagram(&mut self, environment: &mut Environment, to: &[NodeId], datagram: Rc<[u8]>) {
        let here = zone_of(self.index);
        for node in to {
            let to = deployment::index_of(*node);
            let there = zone_of(to);
            self.usage.record_sent(Activity::LoadDatagram, datagram.len(), here != there);
            let event = EdgeEvent::LoadDatagram(Rc::clone(&datagram));
            environment.scheduler.schedule_after(
                latency(here, there),
                ScheduledEvent::Edge(to, environment.edge_incarnations[to], event),
            );
        }
    }

    /// Gives the router the loads of another edge.
    pub(super) fn on_load_datagram(&mut self, environment: &mut Environment, datagram: &[u8]) {
        let timer = CpuTimer::start();
        let loads = bitcode::decode::<EdgeLoadReport>(datagram);
        self.usage.record_cpu(Activity::LoadDatagram, timer.elapsed());
        let Ok(loads) = loads else { return };
        let crosses_zones = zone_of(deployment::index_of(loads.edge)) != zone_of(self.index);
        self.usage.record_received(Activity::LoadDatagram, datagram.len(), crosses_zones);
        self.dispatch(
            environment,
            Activity::LoadDatagram,
            Event::PeerLoads { edge: loads.edge, scope: loads.scope, loads: loads.loads },
        );
    }
}
