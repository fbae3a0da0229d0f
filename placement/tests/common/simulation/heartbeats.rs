//! Simulates heartbeats, time-outs and restarts of servers, and the resulting directory records.

use rand::Rng;
use shaletrail_protocol::external::{Heartbeat, ServerState};
use shaletrail_protocol::internal::{Presence, ServerRecord};
use shaletrail_protocol::Millis;

use super::messages::Message;
use super::{Simulation, HEARTBEAT_INTERVAL, SERVICE};
use crate::common::simulated_server::{loaded_models, SimulatedServer};

/// A server times out after this time without a heartbeat, in milliseconds.
const HEARTBEAT_TIMEOUT: Millis = 3_600;
/// Delay of a heartbeat that is not late, in milliseconds.
const NORMAL_DELAY: Millis = 10;
/// Maximum delay of late heartbeats unless the faults set another one, in milliseconds.
const MAX_LATE_DELAY: Millis = 3_000;

impl Simulation {
    pub(super) fn send_heartbeats(&mut self) {
        for index in 0..self.servers.len() {
            if self.servers[index].restarts_at.is_some_and(|restarts_at| restarts_at <= self.now) {
                self.restart(index);
            }
            if let Some(record) = next_record(&mut self.servers[index], self.now) {
                let max_delay = self.faults.max_heartbeat_delay.unwrap_or(MAX_LATE_DELAY);
                let is_late = self.happens(self.faults.heartbeat_late);
                let delay = if is_late { self.random.random_range(0..max_delay) } else { NORMAL_DELAY };
                self.send(self.now + delay, Message::Record(record));
            }
        }
    }

    /// Restarts a server. The directory removes the record of the previous start, because the address is the same.
    fn restart(&mut self, index: usize) {
        let heartbeat = Heartbeat { service: SERVICE.into(), ..Heartbeat::default() };
        let id = self.servers[index].id();
        let previous = ServerRecord { id, heartbeat, presence: Presence::Removed, ..ServerRecord::default() };
        self.servers[index].restart(self.now);
        self.send(self.now + NORMAL_DELAY, Message::Record(previous));
    }
}

/// Returns the directory's record if the server's heartbeat is due or the server has timed out.
fn next_record(server: &mut SimulatedServer, now: Millis) -> Option<ServerRecord> {
    let is_due = server.next_heartbeat <= now;
    let has_timed_out = !server.is_up() && now.saturating_sub(server.last_heartbeat) >= HEARTBEAT_TIMEOUT;
    if !is_due && !has_timed_out {
        return None;
    }
    server.next_heartbeat = now + HEARTBEAT_INTERVAL;
    if server.is_up() {
        server.heartbeats += 1;
        server.last_heartbeat = now;
    } else if !has_timed_out {
        return None;
    }
    let presence = match (server.is_up(), server.draining) {
        (false, _) => Presence::TimedOut,
        (true, true) => Presence::Draining,
        (true, false) => Presence::Ready,
    };
    let heartbeat = Heartbeat {
        service: SERVICE.into(),
        address: format!("10.0.0.{}:80", server.index),
        zone: "a".into(),
        slots: 64,
        state: if server.draining { ServerState::Draining } else { ServerState::Ready },
        models: Some(loaded_models(&server.loaded)),
        sequence: server.heartbeats,
        ..Heartbeat::default()
    };
    Some(ServerRecord { id: server.id(), heartbeat, presence, ..ServerRecord::default() })
}
